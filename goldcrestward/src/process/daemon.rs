//! Assembly, start and graceful stop of a daemon.

use std::{
    collections::HashMap,
    future::ready,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use log::{info, warn};
use parking_lot::Mutex;
use snafu::ResultExt;
use tokio::{
    net::UdpSocket,
    sync::{Notify, Semaphore},
    task::JoinSet,
    time::timeout,
};
use tokio_util::task::TaskTracker;
use volo_http::{
    body::Body,
    request::Request,
    response::Response,
    server::{
        Router,
        route::{any, get},
    },
};

use super::{
    admin::Admin,
    configure::Configurer,
    duty::Duty,
    error::{ConnectionSnafu, DatagramsSnafu, MetricsSnafu, Result},
    exchange::{Exchange, UsageHandover, learn_zone_usage},
    gateway::Gateway,
    gossip::Gossip,
    lifecycle::{Draining, Serving, Stage, Starting},
    lifetime::Lifetime,
    line_budget::LineBudget,
    membership::{Member, State, Timing, View},
    metrics::Metrics,
    peer_service::{PeerService, report_limit_demand},
    replicas::Replicas,
    response_memory::{RequestBodies, ResponseMemory},
    rollout::RolloutController,
    run_times::RunTimes,
    seeds::Seeder,
    settings::Settings,
    shared::{InForce, Shared},
    state::{Refusals, SiteState, StateReader, watch_instances},
    stopped::{EXIT_TIME, Stopped},
    verdict_keeper::VerdictKeeper,
};
use crate::{
    cmd::PortsFactory,
    connection::{
        CallerCloses, CarriedConnections, DatagramSealer, Drain, HttpClient, IsStopping, LimitsInForce, Listener,
        PeerClient, Secrets, bind, serve_peers,
    },
    ledger::{Ledger, OwnerLookup, SLOTS},
    platform::Etcd,
    port::Ports,
    request::{Ingress, ProxyIngress, RouteRetryBudgets},
    store::{Kv, StorePort},
    util::{stable_hash, unix_ms},
};

/// Interval at which expired idle connections and those to unknown instances are closed.
const EVICTION_INTERVAL: Duration = Duration::from_secs(1);
/// Time before the end of the drain's time limit that is left for the last steps.
const STOP_MARGIN: Duration = Duration::from_millis(300);
/// Time before the end of the drain by which each request has its final answer, so that it still reaches the caller.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(200);
/// Time on stop for the ledger to write pending records, and for operators' requests to finish, without a time limit.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);
/// Most lines on requests that are sent to servers during the stop.
const MAX_STOP_LINES: u32 = 1_000;

/// A daemon that serves. Dropping it aborts its tasks; [`Daemon::stop`] stops it gracefully.
pub struct Daemon {
    parts: Parts,
    serving: Serving,
}

/// A daemon that has opened its sockets and waits for its first configuration.
pub struct StartingDaemon {
    parts: Parts,
    starting: Starting,
}

struct Parts {
    shared: Arc<Shared>,
    gossip: Gossip,
    secrets: Secrets,
    tasks: JoinSet<()>,
    callers: Drain,
    operators: Drain,
}

/// Selected counters of a daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DaemonCounts {
    /// Streams resumed on another replica.
    pub resumed: u64,
    /// Tokens that had to be recomputed.
    pub recomputed: u64,
}

impl StartingDaemon {
    /// Opens the sockets and joins the site.
    ///
    /// # Errors
    /// Fails when a socket cannot be opened, or when the HTTP client or the metrics cannot be created.
    pub async fn launch(settings: Settings, ports: Option<PortsFactory>) -> Result<Self> {
        let callers_socket = bind(settings.callers).context(ConnectionSnafu)?;
        let admin_socket = settings.admin.map(bind).transpose().context(ConnectionSnafu)?;
        let peers_socket = bind(settings.peers).context(ConnectionSnafu)?;
        let address = settings.peers;
        let datagrams = UdpSocket::bind(address).await.context(DatagramsSnafu { address })?;
        let client = HttpClient::new();
        let response_memory = ResponseMemory::new(settings.response_bytes);
        let ports = ports.map(|make| make(&settings, client.clone(), response_memory.clone()));
        let store = ports.as_ref().map(|ports| ports.store.clone());
        let (starting, shared, secrets) = build(settings, client, response_memory, store)?;
        let sealer = DatagramSealer::new(shared.settings.name.clone(), shared.epoch, secrets.clone());
        let gossip = Gossip::new(shared.clone(), Arc::new(datagrams), sealer);
        let configurer = Configurer::new(shared.clone());
        let peer_service = PeerService::new(shared.clone(), gossip.clone());
        let rejected_handshakes = shared.metrics.peer_rejections.with_label_values(&["handshake"]);

        let mut tasks = JoinSet::new();
        tasks.spawn(gossip.clone().receive());
        tasks.spawn(gossip.clone().tick());
        tasks.spawn(gossip.clone().announce());
        tasks.spawn(serve_peers(peers_socket, secrets.clone(), peer_service.clone(), rejected_handshakes));
        tasks.spawn(Seeder::new(shared.clone(), gossip.clone()).run());
        let operators = Drain::new();
        let callers = Drain::new();
        let refusals = shared.metrics.refusals.clone();
        let limits = {
            let (shared, lag) = (shared.clone(), shared.settings.config_apply);
            Arc::new(LimitsInForce::new(move || shared.in_force.load().site.caller_limits.clone(), lag))
        };
        let new_closes = || {
            let Metrics { caller_closes, unannounced_closes, failed_accepts, late_arrivals, .. } = &shared.metrics;
            CallerCloses::new(
                caller_closes.clone(),
                unannounced_closes.clone(),
                failed_accepts.clone(),
                late_arrivals.clone(),
            )
        };
        let operator_closes = Arc::new(new_closes());
        let caller_closes = Arc::new(new_closes().with_unanswered(shared.metrics.unanswered.clone()));
        let listen = |socket, router, drain: &Drain, closes: &Arc<CallerCloses>| {
            let (drain, refusals, limits, closes) = (drain.clone(), refusals.clone(), limits.clone(), closes.clone());
            Listener { socket, router, drain, refusals, closes, limits }.run()
        };
        let router = match ports {
            None => {
                tasks.spawn(configurer.clone().watch());
                tasks.spawn(configurer.clone().compile());
                tasks.spawn(watch_instances(shared.clone()));
                tasks.spawn(report_limit_demand(peer_service));
                tasks.spawn(RolloutController::new(shared.clone(), None).run());
                callers_router(Ingress::new(shared.clone()))
            }
            Some(ports) => start_gateway(&shared, &gossip, ports, &mut tasks),
        };
        if let Some(socket) = admin_socket {
            tasks.spawn(listen(socket, Admin::new(shared.clone(), configurer).router(), &operators, &operator_closes));
        }
        for (kind, address, router) in [
            ("ready", shared.settings.ready, ready_router(shared.clone())),
            ("metrics", shared.settings.metrics, metrics_router(shared.clone())),
        ] {
            let Some(address) = address else { continue };
            let socket = match bind(address) {
                Ok(socket) => socket,
                Err(error) if kind == "metrics" => {
                    warn!("event=listener-missing kind={kind} address={address} error={:?}", error.to_string());
                    continue;
                }
                Err(error) => return Err(error).context(ConnectionSnafu),
            };
            info!("event=listening kind={kind} address={address}");
            tasks.spawn(listen(socket, router, &operators, &operator_closes));
        }
        tasks.spawn(listen(callers_socket, router, &callers, &caller_closes));

        info!("event=started daemon={} zone={}", shared.settings.name, shared.settings.zone);
        warn_of_cut_notice(&shared.settings);
        Ok(Self { parts: Parts { shared, gossip, secrets, tasks, callers, operators }, starting })
    }

    /// Waits until there is a configuration.
    pub async fn configured(&self) {
        wait_until_configured(&self.parts.shared).await;
    }

    /// Starts serving.
    pub fn serve(self) -> Daemon {
        info!("event=serving daemon={}", self.parts.shared.settings.name);
        Daemon { parts: self.parts, serving: self.starting.serve() }
    }

    /// Stops gracefully. Callers may have been served already, though the daemon has never said that it is ready.
    pub async fn stop(self) -> Stopped {
        let Self { parts, starting } = self;
        parts.stop(|| starting.drain(), Duration::ZERO).await
    }
}

impl Daemon {
    /// Opens the sockets, joins the site, and starts serving once there is a configuration.
    ///
    /// # Errors
    /// Fails when a socket cannot be opened, or when the HTTP client or the metrics cannot be created.
    pub async fn start(settings: Settings, ports: Option<PortsFactory>) -> Result<Self> {
        let starting = StartingDaemon::launch(settings, ports).await?;
        starting.configured().await;
        Ok(starting.serve())
    }

    pub fn settings(&self) -> &Settings {
        &self.parts.shared.settings
    }

    /// Replaces the shared secrets by which daemons authenticate each other.
    pub fn rotate_secrets(&self, secrets: &[String]) {
        self.parts.secrets.rotate(secrets);
        info!("event=peer-secrets-replaced count={}", secrets.len());
    }

    /// Returns selected counters.
    pub fn counts(&self) -> DaemonCounts {
        let metrics = &self.parts.shared.metrics;
        let resumed = ["import", "recompute"].map(|way| metrics.resumed.with_label_values(&[way]).get());
        DaemonCounts { resumed: resumed.iter().sum(), recomputed: metrics.recomputed.get() }
    }

    /// Stops gracefully: accepts no new requests, lets those in flight and the connections that are carried for peers
    /// finish, and writes pending ledger records.
    pub async fn stop(self) -> Stopped {
        let Self { parts, serving } = self;
        let notice = parts.shared.settings.notice;
        parts.stop(|| serving.drain(), notice).await
    }
}

impl Parts {
    /// Stops within the limit of the settings; new connections are accepted for the time of `notice`.
    async fn stop(mut self, drain: impl FnOnce() -> Draining, notice: Duration) -> Stopped {
        let begun = Instant::now();
        let shared = self.shared.clone();
        let name = &shared.settings.name;
        let limit = stop_limit(&shared.settings);
        shared.lifetime.begin_stop(limit.map(|limit| limit.saturating_sub(LAST_ANSWERS_TIME)));
        let ends_in_ms = limit.map_or("-".to_owned(), |limit| limit.as_millis().to_string());
        info!("event=stopping daemon={name} ends_in_ms={ends_in_ms} carried={}", shared.carried.count());
        let _draining = drain();
        self.gossip.announce_stop();
        tokio::select! {
            () = tokio::time::sleep(notice) => {}
            () = shared.lifetime.ended() => {}
        }
        let mut usage = UsageHandover::new(shared.clone());
        let drained = async {
            self.callers.finish(shared.lifetime.ended()).await;
            shared.tasks.close();
            let finished = async {
                shared.tasks.wait().await;
                shared.ledger.settled().await;
            };
            // No request is sent to a server any more.
            let handed = async {
                tokio::select! {
                    () = shared.tasks.wait() => {}
                    () = shared.lifetime.ended() => {}
                }
                usage.run(limit.map_or(FLUSH_TIMEOUT, |limit| limit.saturating_sub(begun.elapsed()))).await;
            };
            tokio::join!(finished, handed);
            // Last, as none is taken any more then.
            shared.carried.finish().await;
        };
        let whole = match limit {
            Some(limit) => timeout(limit.saturating_sub(begun.elapsed()), drained).await.is_ok(),
            None => {
                drained.await;
                true
            }
        };
        let log_step = |step: &str| {
            info!("event=stop-step daemon={name} step={step} after_ms={}", begun.elapsed().as_millis());
        };
        log_step("drained");
        shared.carried.close();
        let left = shared.carried.count();
        if left > 0 {
            warn!("event=carried-cut daemon={name} count={left}");
        }
        let unsettled = shared.ledger.unsettled();
        if unsettled > 0 {
            warn!("event=settlements-cut daemon={name} count={unsettled}");
        }
        let limit = limit.map(|limit| limit + STOP_MARGIN - EXIT_TIME);
        let rest = || limit.map_or(FLUSH_TIMEOUT, |limit| limit.saturating_sub(begun.elapsed()));
        // What it has learnt since, or all of it if the drain was cut.
        tokio::join!(shared.ledger.close(rest()), usage.run(rest()));
        log_step("ledger");
        self.gossip.leave();
        timeout(rest(), self.operators.finish(ready(()))).await.ok();
        log_step("operators");
        // A lease that is kept leaves the duties without a holder until it ends.
        shared.duty_task.close();
        timeout(rest(), shared.duty_task.wait()).await.ok();
        log_step("duties");
        self.tasks.shutdown().await;
        let Metrics { stop_outcomes, late_arrivals, unanswered, .. } = &shared.metrics;
        Stopped::new(name.clone(), stop_outcomes.clone(), late_arrivals.clone(), unanswered.clone(), whole)
    }
}

/// Time within which a stop has to end but for its last steps; `None` if there is no limit.
fn stop_limit(settings: &Settings) -> Option<Duration> {
    let seconds = Some(settings.drain_seconds).filter(|seconds| *seconds > 0)?;
    Some(Duration::from_secs(seconds).saturating_sub(STOP_MARGIN))
}

/// Warns if the balancer may still send requests when a stop has to end.
fn warn_of_cut_notice(settings: &Settings) {
    let Some(limit) = stop_limit(settings) else { return };
    let (notice_ms, ends_in_ms) = (settings.notice.as_millis(), limit.saturating_sub(LAST_ANSWERS_TIME).as_millis());
    if notice_ms >= ends_in_ms {
        warn!(
            "event=notice-too-long daemon={} notice_ms={notice_ms} drain_seconds={} ends_in_ms={ends_in_ms}",
            settings.name, settings.drain_seconds
        );
    }
}

fn build(
    settings: Settings,
    client: HttpClient,
    response_memory: ResponseMemory,
    store: Option<Arc<dyn StorePort>>,
) -> Result<(Starting, Arc<Shared>, Secrets)> {
    let metrics = Metrics::new().context(MetricsSnafu)?;
    response_memory.measure(metrics.response_bytes.clone(), metrics.long_responses.clone());
    let (body_bytes, given_up) = (metrics.request_body_bytes.clone(), metrics.given_up_bodies.clone());
    let request_bodies = RequestBodies::new(settings.request_bytes, body_bytes, given_up);
    let refusals = Refusals::new(metrics.refused_entries.clone());
    let secrets = Secrets::new(&settings.secrets);
    let peer_client = PeerClient::new(secrets.clone());
    let store = store.unwrap_or_else(|| {
        Arc::new(Etcd::new(settings.platform, client.clone(), response_memory.clone(), refusals.clone()))
    });
    let kv = Kv::new(store, metrics.kv_calls.clone(), metrics.store_restores.clone());
    let epoch = unix_ms();
    let local = Member {
        name: settings.name.clone(),
        address: settings.advertise,
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        incarnation: epoch,
        state: State::Alive,
    };
    let seed = stable_hash(&[settings.name.as_bytes(), &epoch.to_le_bytes()]);
    let view = Arc::new(Mutex::new(View::new(local, Timing::default(), seed, 0)));
    let process = format!("{}/{epoch}", settings.name);
    let owner_of = slot_owner(view.clone());
    let commits = &metrics.ledger_commits;
    let ledger = Ledger::start(&settings.site, &process, &kv, peer_client.clone(), owner_of, commits, &refusals);
    let (starting, stage) = Starting::new();
    let is_stopping: IsStopping = {
        let stage = stage.clone();
        Arc::new(move || stage.get() == Stage::Draining)
    };
    let carried = CarriedConnections::new(metrics.carried.clone(), is_stopping);
    let run_times = RunTimes::new(stop_limit(&settings));
    let shared = Arc::new(Shared {
        settings,
        metrics,
        in_force: ArcSwap::from_pointee(InForce::default()),
        config: Mutex::default(),
        view,
        replicas: Replicas::default(),
        client,
        response_memory,
        request_bodies,
        peer_client,
        kv,
        ledger,
        crash_evidence: Mutex::default(),
        route_retry_budgets: RouteRetryBudgets::default(),
        limits: Arc::default(),
        evidence: crate::version::EvidenceTable::default(),
        version_choices: ArcSwap::from_pointee(HashMap::new()),
        clock: Mutex::default(),
        daemons: AtomicUsize::new(1),
        rank: AtomicUsize::new(0),
        instances_listed: AtomicBool::new(false),
        last_store_error_ms: AtomicU64::new(0),
        holds_duties: AtomicBool::new(false),
        kept_pulls: AtomicU32::new(0),
        freshness: Mutex::default(),
        refusals,
        pull_failures: Mutex::default(),
        unread_parts: Mutex::default(),
        pull_permit: Arc::new(Semaphore::new(1)),
        long_pull_permit: Semaphore::new(1),
        config_changed: Notify::new(),
        announce: Notify::new(),
        exchange: OnceLock::new(),
        report_due: Notify::new(),
        stage,
        carried,
        lifetime: Lifetime::default(),
        stop_lines: LineBudget::new(MAX_STOP_LINES),
        run_times,
        tasks: TaskTracker::new(),
        duty_task: TaskTracker::new(),
        start: Instant::now(),
        epoch,
    });
    Ok((starting, shared, secrets))
}

/// Returns a function that finds the owner of a ledger slot by rendezvous hashing among the present daemons.
fn slot_owner(view: Arc<Mutex<View>>) -> OwnerLookup {
    let keys: Vec<_> = (0..SLOTS).map(|slot| format!("ledger/{slot}")).collect();
    Arc::new(move |slot| {
        let view = view.lock();
        let owner = view.owner(&keys[slot as usize]);
        (owner.name != view.local().name).then_some(owner.address)
    })
}

fn callers_router(ingress: Ingress) -> Router {
    let (ready, models) = (ingress.clone(), ingress.clone());
    Router::new()
        .route("/healthz", get(|| async { "ok" }))
        .route(
            "/readyz",
            get(move || {
                let ready = ready.clone();
                async move { ready.ready() }
            }),
        )
        .route("/v1/models", get(move |request: Request| models.clone().models(request)))
        .fallback_service(any(move |request: Request| ingress.clone().handle(request)))
}

/// Starts the tasks that serve requests with a platform's back ends; returns the router for callers.
fn start_gateway(shared: &Arc<Shared>, gossip: &Gossip, ports: Ports, tasks: &mut JoinSet<()>) -> Router {
    let Ports { catalog, header_codec, engines, duties, .. } = ports;
    let gateway = Arc::new(Gateway::new(shared.clone(), header_codec, engines));
    let exchange = Exchange::new(&gateway);
    shared.exchange.set(exchange.clone()).ok();
    tasks.spawn(RolloutController::new(shared.clone(), Some(catalog.clone())).run());
    tasks.spawn(SiteState::new(shared.clone(), catalog.clone()).apply());
    tasks.spawn(StateReader::new(shared.clone(), catalog).run());
    tasks.spawn(exchange.run(gossip.clone()));
    tasks.spawn(learn_zone_usage(gateway.clone()));
    tasks.spawn(VerdictKeeper::new(shared.clone()).run());
    tasks.spawn(shared.duty_task.track_future(Duty::new(gateway.clone(), duties).run()));
    tasks.spawn(evict_idle_connections(gateway.clone()));
    let ingress = ProxyIngress::new(gateway);
    Router::new().fallback_service(any(move |request: Request| ingress.clone().handle(request)))
}

async fn evict_idle_connections(gateway: Arc<Gateway>) {
    loop {
        tokio::time::sleep(EVICTION_INTERVAL).await;
        gateway.backend_connections.evict(|instance| gateway.shared.replicas.is_used(instance));
        let (now, is_known) = (gateway.shared.now(), |instance: &str| gateway.shared.replicas.is_known(instance));
        gateway.reach.lock().forget(is_known, now);
        gateway.helpers.lock().forget(is_known, now);
    }
}

fn ready_router(shared: Arc<Shared>) -> Router {
    let ingress = Ingress::new(shared);
    Router::new().route("/readyz", get(move || async move { ingress.ready() }))
}

fn metrics_router(shared: Arc<Shared>) -> Router {
    Router::new().route("/metrics", get(move || async move { Response::new(Body::from(shared.metrics.render())) }))
}

async fn wait_until_configured(shared: &Shared) {
    /// Interval between checks.
    const POLL_INTERVAL: Duration = Duration::from_millis(20);
    /// Time to wait for the list of instances. The daemon then serves without it, as refusals need no instances.
    const INSTANCE_LIST_TIMEOUT: Duration = Duration::from_secs(5);

    while shared.in_force.load().revision.is_none() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let deadline = Instant::now() + INSTANCE_LIST_TIMEOUT;
    while !shared.instances_listed.load(Ordering::Relaxed) && Instant::now() < deadline {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
