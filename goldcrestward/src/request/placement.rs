//! Finds a place for a request at one of a pool's servers, or says at once that there is none in time.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use log::info;

use super::refusal::{Reason, Refusal};
use crate::{
    config::{Route, Site},
    logs::is_sampled,
    port::{PromptPart, RequestMetadata},
    process::{Gateway, Offer, PlaceQuery, Placement, PromptCost, Rank, ReplicaGuard},
    util::stable_hash,
};

/// Prompt tokens that a server reads in a ms, until its answers tell.
const READ_TOKENS_PER_MS: f64 = 100.0;
/// Time of a server that a token takes among others in a batch, in ms.
const WRITE_TOKEN_MS: f64 = 0.15;
/// Longest wait for a call before a request looks by itself.
const LOOK_AGAIN: Duration = Duration::from_millis(40);
/// Time for which a request waits where a pool has no server at all.
const NO_SERVER_PATIENCE: Duration = Duration::from_millis(150);
/// Part of the target for which a request waits for a place.
const PATIENCE: f64 = 0.6;
/// Queue at a server that is short enough to join whatever the target says, in ms.
const SHORT_QUEUE_MS: f64 = 40.0;
/// Bounds of the time after which a refused caller shall come back.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(150), Duration::from_secs(2));

/// What a request asks of a pool.
pub(crate) struct PlacementRequest {
    /// The request's id.
    pub id: Arc<str>,
    /// The pool.
    pub pool: Arc<str>,
    /// The request's cost.
    pub demand: PromptCost,
    /// Time that a server spends on the answer after the prompt, in ms.
    pub writing_ms: f64,
    /// Its place in the line.
    pub rank: Rank,
    /// Time until which its answer is in time.
    pub target: Instant,
    /// End of its time.
    pub deadline: Instant,
    /// Differs between requests.
    pub salt: u64,
    /// Requests with the same one use the same version while traffic moves.
    pub conversation: u64,
}

impl PlacementRequest {
    /// The metadata under which a request on a route looks for a place.
    pub fn new(
        gateway: &Gateway,
        route: &Route,
        priority: i32,
        pool: Arc<str>,
        metadata: &RequestMetadata,
        arrived: Instant,
        deadline: Instant,
    ) -> Self {
        let due = gateway.shared.now() + route.latency_target.as_millis() as u64;
        Self {
            id: metadata.id.clone(),
            pool,
            demand: demand(metadata),
            writing_ms: writing_ms(metadata),
            rank: Rank { priority, due },
            target: arrived + route.latency_target,
            deadline,
            salt: stable_hash(&[metadata.id.as_bytes()]),
            conversation: conversation(metadata),
        }
    }

    /// Waits for a place.
    ///
    /// # Errors
    /// Gives a refusal when there will be none in time.
    pub async fn find(&self, gateway: &Gateway, tried: &[Arc<str>], points: u64) -> Result<ReplicaGuard, Refusal> {
        let turns = gateway.shared.replicas.admission_queues.of(&self.pool);
        let began = Instant::now();
        let patience = self.target.saturating_duration_since(began).mul_f64(PATIENCE);
        let mut called = false;
        loop {
            let offer = self.offer(gateway, tried, points);
            let limit = if offer.is_some() { patience } else { NO_SERVER_PATIENCE.min(patience) };
            let first_ms = offer.as_ref().map(|offer| offer.placed.first_ms);
            if let Some(offer) = offer.filter(|offer| self.is_acceptable(offer))
                && (called || turns.is_next(self.rank))
            {
                gateway.add_work(&self.pool, offer.placed.prefill_ms + self.writing_ms);
                let placed = offer.placed.clone();
                let guard = offer.take();
                self.log(&guard, &placed, began);
                turns.wake_next();
                return Ok(guard);
            }
            let left = (began + limit).min(self.deadline).saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(self.refuse(first_ms));
            }
            called = turns.wait(self.rank, left.min(LOOK_AGAIN)).await;
        }
    }

    /// The best place now, whether or not it is good enough to wait for none.
    pub fn offer(&self, gateway: &Gateway, tried: &[Arc<str>], points: u64) -> Option<Offer> {
        let settings = &gateway.shared.settings;
        let query = PlaceQuery {
            pool: &self.pool,
            demand: &self.demand,
            versions: &gateway.shared.version_rule(&self.pool, self.conversation),
            tried,
            zone: &settings.zone,
            region: &settings.region,
            daemons: gateway.shared.daemon_count(),
            crash_score: points,
            salt: self.salt,
            now: gateway.shared.now(),
        };
        gateway.shared.replicas.place(&query).ok()
    }

    fn log(&self, guard: &ReplicaGuard, placed: &Placement, began: Instant) {
        if is_sampled(&self.id) {
            let (id, pool, instance) = (&self.id, &self.pool, &guard.replica().id);
            let (waited, first) = (began.elapsed().as_millis(), placed.first_ms);
            info!("event=placed id={id} instance={instance} pool={pool} waited_ms={waited} first_ms={first:.0}");
        }
    }

    fn is_acceptable(&self, offer: &Offer) -> bool {
        let placed = &offer.placed;
        let left_ms = self.target.saturating_duration_since(Instant::now()).as_secs_f64() * 1000.0;
        let queue_ms = placed.first_ms - placed.prefill_ms;
        placed.free && (placed.first_ms <= left_ms || queue_ms <= SHORT_QUEUE_MS)
    }

    fn refuse(&self, first_ms: Option<f64>) -> Refusal {
        let Some(first_ms) = first_ms else {
            let message = format!("no replica of pool {} can take the request", self.pool);
            return Refusal::not_run(Reason::NoReplica, message).with_retry_after(RETRY_AFTER.1 / 2);
        };
        let message = format!("all replicas of pool {} are busy; the best would answer in {first_ms:.0} ms", self.pool);
        let wait = Duration::from_secs_f64(first_ms.max(0.0) / 1000.0).clamp(RETRY_AFTER.0, RETRY_AFTER.1);
        Refusal::not_run(Reason::Overloaded, message).with_retry_after(wait)
    }
}

/// The pool that a request goes to, by the weights of a route that is split.
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

fn writing_ms(metadata: &RequestMetadata) -> f64 {
    let output = metadata.expected_tokens.or(metadata.tokens.map(|(_, output)| output)).unwrap_or(0);
    f64::from(output) * WRITE_TOKEN_MS
}

/// The last part of a prompt is the request's own or that of its session.
fn conversation(metadata: &RequestMetadata) -> u64 {
    metadata.prompt_parts.last().map_or_else(|| stable_hash(&[metadata.id.as_bytes()]), |part| part.id)
}

/// The cost of a request: the parts that others share may be kept by a server, the last part is its own.
fn demand(metadata: &RequestMetadata) -> PromptCost {
    let tokens = |parts: &[PromptPart]| parts.iter().map(|part| f64::from(part.tokens)).sum::<f64>();
    let (shared, own) = match metadata.prompt_parts.split_last() {
        Some((last, shared)) => (shared, f64::from(last.tokens)),
        None => (&[][..], metadata.tokens.map_or(0.0, |(input, _)| f64::from(input))),
    };
    let affinity = shared.last().map(|part| part.id);
    PromptCost { affinity, prefix_ms: tokens(shared) / READ_TOKENS_PER_MS, suffix_ms: own / READ_TOKENS_PER_MS }
}
