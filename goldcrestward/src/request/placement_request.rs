//! Places a request at a server of its pool, or refuses it as soon as it is clear that none will be free in time.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use log::info;
use tokio::time::sleep;

use super::{
    proxy::MIN_RETRY_TIME,
    refusal::{Reason, Refusal, RunState},
};
use crate::{
    config::{Route, Site},
    logs::is_sampled,
    port::{PromptPart, RequestMetadata},
    process::{
        Gateway, NoReplica, Offer, Placement, PlacementQuery, PromptCost, Rank, ReplicaGuard, Replicas, RunKind,
    },
    util::stable_hash,
};

/// Prompt tokens that a server is assumed to prefill per ms until its responses show its actual speed.
const PREFILL_TOKENS_PER_MS: f64 = 100.0;
/// Server time per output token that is decoded in a batch with other requests, in ms.
const DECODE_MS_PER_TOKEN: f64 = 0.15;
/// How long a queued request waits to be woken before it checks for a place itself.
const RECHECK_INTERVAL: Duration = Duration::from_millis(40);
/// How long a request waits while its pool has no server.
const NO_SERVER_TIMEOUT: Duration = Duration::from_millis(150);
/// Share of the remaining time to the latency target that a request may spend in the admission queue.
const QUEUE_TARGET_SHARE: f64 = 0.6;
/// Estimated wait at a server, in ms, up to which a request is placed even if it would miss its target.
const SHORT_QUEUE_MS: f64 = 40.0;
/// Bounds of the `Retry-After` of a refusal.
const RETRY_AFTER_RANGE: (Duration, Duration) = (Duration::from_millis(150), Duration::from_secs(2));

/// Longest `Retry-After` while all servers want nothing, before the spread, as others may be started.
const MAX_HELD_RETRY_AFTER: Duration = Duration::from_secs(30);
/// Time over which callers come back that were refused while all servers wanted nothing.
const RETURN_SPREAD_MS: u64 = 3_000;

/// Why a request has no place yet.
enum Obstacle {
    /// No server is eligible.
    NoServer,
    /// The best server is busy, and would answer after this time in ms.
    Busy(f64),
    /// All servers have got what their rate limits allow; the first takes another request after this time.
    RateLimited(Duration),
    /// All servers have said that they want nothing; the first wants requests after this time.
    Held(Duration),
}

/// What a request needs from a pool.
pub(crate) struct PlacementRequest {
    /// The request's id.
    pub id: Arc<str>,
    /// The pool.
    pub pool: Arc<str>,
    /// Estimated prefill cost of the prompt.
    pub prompt_cost: PromptCost,
    /// Estimated server time for the output tokens, in ms.
    pub decode_ms: f64,
    /// Its rank in the admission queue.
    pub rank: Rank,
    /// The kind of its run.
    pub run_kind: RunKind,
    /// When the route's latency target ends.
    pub target: Instant,
    /// When the request is refused if it has no answer.
    pub deadline: Instant,
    /// Hash of the request's id.
    pub salt: u64,
    /// Requests with the same key use the same version during a rollout.
    pub conversation_key: u64,
}

impl PlacementRequest {
    /// Derives the needs of a request from its route and metadata.
    pub fn new(
        gateway: &Gateway,
        route: &Route,
        priority: i32,
        pool: Arc<str>,
        metadata: &RequestMetadata,
        arrived: Instant,
        deadline: Instant,
    ) -> Self {
        let due_ms = gateway.shared.now() + route.latency_target.as_millis() as u64;
        Self {
            id: metadata.id.clone(),
            pool,
            prompt_cost: prompt_cost(metadata),
            decode_ms: decode_ms(metadata),
            rank: Rank { priority, due_ms },
            run_kind: RunKind::new(route.name.clone(), Some(metadata.max_tokens())),
            target: arrived + route.latency_target,
            deadline,
            salt: stable_hash(&[metadata.id.as_bytes()]),
            conversation_key: conversation_key(metadata),
        }
    }

    /// Waits in the pool's admission queue for a place. `crash_score` is asked again while the request waits. One that may
    /// have run waits as long as it can still be answered, since its caller may not be able to send it again.
    ///
    /// # Errors
    /// Returns a refusal if there is none in time, or that of `crash_score`.
    pub async fn acquire(
        &self,
        gateway: &Gateway,
        tried: &[Arc<str>],
        run: RunState,
        crash_score: impl Fn() -> Result<u64, Refusal>,
    ) -> Result<ReplicaGuard, Refusal> {
        let queue = gateway.shared.replicas.admission_queues.for_pool(&self.pool);
        let started = Instant::now();
        let queue_timeout = self.target.saturating_duration_since(started).mul_f64(QUEUE_TARGET_SHARE);
        let has_run = run == RunState::MayHaveRun;
        let blocked_timeout = if has_run { queue_timeout.max(self.spare(gateway, started)) } else { queue_timeout };
        let rank = self.rank_at(gateway, started);
        let mut woken = false;
        loop {
            let mut offer = self.offer(gateway, tried, crash_score()?);
            let (limit, obstacle) = match &offer {
                Ok(offer) => {
                    let limit = if has_run || self.is_late(started) {
                        self.late_timeout(gateway, started, offer).max(queue_timeout)
                    } else {
                        queue_timeout
                    };
                    (limit, Obstacle::Busy(offer.placement.first_response_ms))
                }
                Err(NoReplica::RateLimited(wait)) => (blocked_timeout, Obstacle::RateLimited(*wait)),
                Err(NoReplica::Held(wait)) => (blocked_timeout, Obstacle::Held(*wait)),
                Err(_) => (NO_SERVER_TIMEOUT.min(blocked_timeout), Obstacle::NoServer),
            };
            let is_last_chance = started + queue_timeout <= Instant::now();
            // A repeat that has waited for as long as a first try goes after all that wait. It may have failed at the very
            // server that they want, so it does not wait in the queue ahead of them.
            let is_left_behind = is_last_chance && has_run;
            let rank = if is_left_behind { self.late_rank(gateway, Instant::now()) } else { rank };
            let mut is_left_over = false;
            if is_last_chance
                && offer.as_ref().is_ok_and(|offer| !offer.placement.has_free_slot)
                && let Some(free) = self.free_offer(gateway, tried, crash_score()?)
            {
                // Those that wait prefer a full server to this one.
                is_left_over = true;
                offer = Ok(free);
            }
            if let Some(offer) = offer.ok().filter(|offer| self.is_acceptable(offer))
                && (woken || is_left_over || queue.is_next(rank))
            {
                let placed = offer.placement.clone();
                let guard = offer.accept();
                if gateway.admit_to_server(&self.id, guard.replica()).await.is_err() {
                    // The server is not offered again until it takes another request.
                    continue;
                }
                gateway.add_work(&self.pool, placed.prefill_ms + self.decode_ms);
                self.log(&guard, &placed, started);
                queue.wake_next();
                return Ok(guard);
            }
            let left = (started + limit).min(self.deadline).saturating_duration_since(Instant::now());
            if left.is_zero() || matches!(obstacle, Obstacle::RateLimited(wait) | Obstacle::Held(wait) if wait > left) {
                return Err(self.refuse(&obstacle));
            }
            let interval = left.min(RECHECK_INTERVAL);
            if is_left_behind {
                sleep(interval).await;
                woken = false;
            } else {
                woken = queue.wait(rank, interval).await;
            }
        }
    }

    /// The best place at the moment, even if the request would rather wait for a better one.
    ///
    /// # Errors
    /// Returns why there is none.
    pub fn offer(&self, gateway: &Gateway, tried: &[Arc<str>], score: u64) -> Result<Offer, NoReplica> {
        self.query(gateway, tried, score, Replicas::place)
    }

    /// The best place at a server with a free slot.
    pub fn free_offer(&self, gateway: &Gateway, tried: &[Arc<str>], score: u64) -> Option<Offer> {
        self.query(gateway, tried, score, Replicas::place_free).ok()
    }

    fn query<T>(
        &self,
        gateway: &Gateway,
        tried: &[Arc<str>],
        score: u64,
        place: impl Fn(&Replicas, &PlacementQuery<'_>) -> T,
    ) -> T {
        let settings = &gateway.shared.settings;
        let query = PlacementQuery {
            pool: &self.pool,
            prompt_cost: &self.prompt_cost,
            versions: &gateway.shared.version_rule(&self.pool, self.conversation_key),
            tried,
            zone: &settings.zone,
            region: &settings.region,
            crash_score: score,
            salt: self.salt,
            daemon: gateway.shared.daemon_rank(),
            agreed_ms: gateway.shared.agreed_ms(),
            now: gateway.shared.now(),
        };
        place(&gateway.shared.replicas, &query)
    }

    fn is_late(&self, now: Instant) -> bool {
        self.target <= now
    }

    /// Its rank in the admission queue. A request that is late already goes after those that can still be in time.
    fn rank_at(&self, gateway: &Gateway, now: Instant) -> Rank {
        if self.is_late(now) { self.late_rank(gateway, now) } else { self.rank }
    }

    /// The rank of a request that only its deadline binds.
    fn late_rank(&self, gateway: &Gateway, now: Instant) -> Rank {
        let left = self.deadline.saturating_duration_since(now);
        Rank { due_ms: gateway.shared.now() + left.as_millis() as u64, ..self.rank }
    }

    /// Time from `started` that a request may wait so that its run still ends by its deadline.
    fn spare(&self, gateway: &Gateway, started: Instant) -> Duration {
        let run = gateway.shared.run_times.usual(&self.run_kind, Instant::now()).unwrap_or_default();
        self.deadline.saturating_duration_since(started).saturating_sub(run.max(MIN_RETRY_TIME))
    }

    /// How long a request that is late or may have run may wait for a slot, so that its run still ends by its deadline.
    fn late_timeout(&self, gateway: &Gateway, started: Instant, offer: &Offer) -> Duration {
        let now = Instant::now();
        let run = gateway.shared.run_times.usual(&self.run_kind, now).unwrap_or_default();
        let wait = Duration::from_secs_f64(offer.placement.first_response_ms.max(0.0) / 1000.0);
        let ends_in_time = now + wait + run <= self.deadline;
        if ends_in_time { self.spare(gateway, started) } else { Duration::ZERO }
    }

    /// The refusal of a request while all servers of the pool have said that they want nothing.
    pub fn refuse_if_held(&self, gateway: &Gateway) -> Option<Refusal> {
        match self.offer(gateway, &[], 0) {
            Err(NoReplica::Held(wait)) => Some(self.refuse(&Obstacle::Held(wait))),
            _ => None,
        }
    }

    /// Added to the `Retry-After` of callers that are refused for the same reason, so that they do not all come back at once.
    fn return_delay(&self) -> Duration {
        Duration::from_millis(self.salt % RETURN_SPREAD_MS)
    }

    fn log(&self, guard: &ReplicaGuard, placed: &Placement, started: Instant) {
        if is_sampled(&self.id) {
            let (id, pool, instance) = (&self.id, &self.pool, &guard.replica().id);
            let (waited, first) = (started.elapsed().as_millis(), placed.first_response_ms);
            info!("event=placed id={id} instance={instance} pool={pool} waited_ms={waited} first_ms={first:.0}");
        }
    }

    fn is_acceptable(&self, offer: &Offer) -> bool {
        let placed = &offer.placement;
        let left_ms = self.target.saturating_duration_since(Instant::now()).as_secs_f64() * 1000.0;
        let queue_ms = placed.first_response_ms - placed.prefill_ms;
        placed.has_free_slot && (placed.first_response_ms <= left_ms || queue_ms <= SHORT_QUEUE_MS)
    }

    fn refuse(&self, obstacle: &Obstacle) -> Refusal {
        let first_ms = match obstacle {
            Obstacle::Busy(first_ms) => *first_ms,
            Obstacle::NoServer => {
                let message = format!("no replica of pool {} can take the request", self.pool);
                return Refusal::not_run(Reason::NoReplica, message).with_retry_after(RETRY_AFTER_RANGE.1 / 2);
            }
            Obstacle::Held(wait) => {
                let (pool, ms) = (&self.pool, wait.as_millis());
                let message = format!("all replicas of pool {pool} want no requests; the first does in {ms} ms");
                let wait = (*wait).min(MAX_HELD_RETRY_AFTER) + self.return_delay();
                return Refusal::not_run(Reason::Overloaded, message).with_retry_after(wait);
            }
            Obstacle::RateLimited(wait) => {
                let (pool, ms) = (&self.pool, wait.as_millis());
                let message =
                    format!("all replicas of pool {pool} have got what they take; the next request in {ms} ms");
                let wait = (*wait).clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1);
                return Refusal::not_run(Reason::Overloaded, message).with_retry_after(wait);
            }
        };
        let message = format!("all replicas of pool {} are busy; the best would answer in {first_ms:.0} ms", self.pool);
        let wait = Duration::from_secs_f64(first_ms.max(0.0) / 1000.0).clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1);
        Refusal::not_run(Reason::Overloaded, message).with_retry_after(wait)
    }
}

/// Chooses the pool of a request, by weight if the route is split over several pools.
pub(crate) fn choose_pool(route: &Route, site: &Site, salt: u64) -> Option<Arc<str>> {
    let known = route.shares.iter().filter(|share| site.pools.contains_key(&share.pool));
    let shares: Vec<_> = known.filter(|share| share.weight > 0).collect();
    let total: u64 = shares.iter().map(|share| u64::from(share.weight)).sum();
    if total == 0 {
        return Some(route.pool.clone()).filter(|pool| !pool.is_empty());
    }
    let mut point = salt.rotate_left(17) % total;
    for share in shares {
        let weight = u64::from(share.weight);
        if point < weight {
            return Some(share.pool.clone());
        }
        point -= weight;
    }
    None
}

fn decode_ms(metadata: &RequestMetadata) -> f64 {
    let output = metadata.expected_tokens.or(metadata.tokens.map(|(_, output)| output)).unwrap_or(0);
    f64::from(output) * DECODE_MS_PER_TOKEN
}

/// Key of the conversation: the last part of the prompt, which is specific to the request or its session.
fn conversation_key(metadata: &RequestMetadata) -> u64 {
    metadata.prompt_parts.last().map_or_else(|| stable_hash(&[metadata.id.as_bytes()]), |part| part.id)
}

/// Estimates the prefill cost. Servers may have cached the parts shared with other requests; the last part is the
/// request's own.
fn prompt_cost(metadata: &RequestMetadata) -> PromptCost {
    let tokens = |parts: &[PromptPart]| parts.iter().map(|part| f64::from(part.tokens)).sum::<f64>();
    let (shared, suffix_tokens) = match metadata.prompt_parts.split_last() {
        Some((last, shared)) => (shared, f64::from(last.tokens)),
        None => (&[][..], metadata.tokens.map_or(0.0, |(input, _)| f64::from(input))),
    };
    let affinity = shared.last().map(|part| part.id);
    PromptCost {
        affinity,
        prefix_ms: tokens(shared) / PREFILL_TOKENS_PER_MS,
        suffix_ms: suffix_tokens / PREFILL_TOKENS_PER_MS,
    }
}
