//! The daemon's Prometheus metrics.

use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

/// Bucket bounds for the time to the first token and of whole requests, in seconds; 0.34 s is the target.
const REQUEST_BUCKETS_SECONDS: [f64; 12] = [0.01, 0.025, 0.05, 0.1, 0.17, 0.25, 0.34, 0.5, 1.0, 2.5, 10.0, 60.0];
/// Bucket bounds for the time between tokens, in seconds; 0.052 s is the target.
const TOKEN_GAP_BUCKETS_SECONDS: [f64; 9] = [0.005, 0.01, 0.02, 0.03, 0.052, 0.08, 0.15, 0.5, 2.0];
/// Bucket bounds for the time until a configuration is in force, in seconds; 2.5 s is the target.
const CONFIG_DELAY_BUCKETS_SECONDS: [f64; 9] = [0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 2.5, 5.0];

/// All metrics of a daemon.
pub(crate) struct Metrics {
    registry: Registry,
    /// Requests by route and outcome.
    pub requests: IntCounterVec,
    /// Refusals by reason and by whether the request may have run.
    pub refusals: IntCounterVec,
    /// Attempts after the first, by reason.
    pub retries: IntCounterVec,
    /// Parts of streamed answers that were dropped, by reason.
    pub dropped: IntCounterVec,
    /// Tokens forwarded to callers.
    pub tokens: IntCounter,
    /// Tokens that a back end had to compute again.
    pub recomputed: IntCounter,
    /// Streams resumed on another replica, by method.
    pub resumed: IntCounterVec,
    /// Requests that a stop refused, gave up or cut off, by outcome.
    pub stop_outcomes: IntCounterVec,
    /// Requests of callers that got no whole answer, by cause.
    pub unanswered: IntCounterVec,
    /// Connections of callers that were closed over an unanswered request, by reason.
    pub caller_closes: IntCounterVec,
    /// Connections of callers that were closed although their callers may have sent another request, by reason.
    pub unannounced_closes: IntCounterVec,
    pub late_arrivals: IntCounterVec,
    /// Connections of callers that could not be accepted at once.
    pub failed_accepts: IntCounter,
    /// Answers that ended incomplete.
    pub cut_answers: IntCounter,
    /// Time to the first token, by route.
    pub first_token: HistogramVec,
    /// Time between tokens.
    pub between_tokens: Histogram,
    /// Duration of requests to plain services, by route.
    pub plain_seconds: HistogramVec,
    /// Requests in flight.
    pub in_flight: IntGauge,
    /// Connections to backend servers that were to be opened, by result.
    pub backend_connects: IntCounterVec,
    /// Connections that peers were asked to open, by result.
    pub relayed_connects: IntCounterVec,
    /// Connections to backend servers that are carried for peers.
    pub carried: IntGauge,
    /// Servers that this daemon does not reach.
    pub unreached_servers: IntGauge,
    /// Servers in use without an entry.
    pub unconfirmed_servers: IntGauge,
    /// Servers without an entry that were asked whether they are leaving, by answer.
    pub server_questions: IntCounterVec,
    /// Calls to the key-value store, by kind, purpose and result.
    pub kv_calls: IntCounterVec,
    /// Restores of the key-value store from a copy that this daemon has noticed.
    pub store_restores: IntCounter,
    /// Commits of the ledger, by result.
    pub ledger_commits: IntCounterVec,
    /// Answers of the ledger to claims, by kind of grant.
    pub ledger_grants: IntCounterVec,
    /// Messages between daemons, by kind and direction.
    pub peer_messages: IntCounterVec,
    /// Bytes between daemons, by kind and direction.
    pub peer_bytes: IntCounterVec,
    /// Peer messages that were rejected, by reason.
    pub peer_rejections: IntCounterVec,
    /// Parts of messages from peers that a newer build knows and this one does not, by what they are.
    pub peer_unknown: IntCounterVec,
    /// Known daemons, by membership state.
    pub members: IntGaugeVec,
    /// Revision of the configuration that this daemon applies.
    pub config_revision: IntGauge,
    /// Unix time in ms at which that configuration came into force.
    pub config_since: IntGauge,
    pub refused_files: IntGauge,
    /// Configurations that came into force, by source.
    pub config_changes: IntCounterVec,
    /// Time from when a daemon read a configuration in the store until it came into force here.
    pub config_delay: Histogram,
    /// Readings of the site's state in the key-value store that failed, by kind and reason.
    pub state_read_failures: IntCounterVec,
    /// Entries of the site's state that cannot be read.
    pub refused_entries: IntCounter,
    /// Known replicas, by pool.
    pub replicas: IntGaugeVec,
    /// Finished rollouts, by outcome.
    pub rollouts: IntCounterVec,
    /// Requests that a replica ran when it crashed, by whether they are blamed.
    pub crashes: IntCounterVec,
    /// Crash records learned from other daemons.
    pub crash_records: IntCounter,
    /// Accusations of prompt parts, by where they come from and whether they stand.
    pub accusations: IntCounterVec,
    /// Servers whose answers said that they were leaving, by who received the answer.
    pub leaving_statements: IntCounterVec,
    /// Refusals in which servers named a time for which they want nothing, by whether it was believed.
    pub holds: IntCounterVec,
    /// Requests whose callers went before the head of the response had come, by what came of it.
    pub unheard_heads: IntCounterVec,
    /// Attempts that were answered by another instance than the one that has the entry.
    pub misdirected: IntCounter,
    /// Requests sent to replicas that had named a rate limit.
    pub limited_sends: IntCounter,
    /// Requests charged to the rate limits of replicas, by who decided and the result.
    pub send_grants: IntCounterVec,
    /// Sets of prompt parts that are refused.
    pub condemned_parts: IntGauge,
    /// Bytes of responses that are kept.
    pub response_bytes: IntGauge,
    /// Responses that were too long, by kind and limit.
    pub long_responses: IntCounterVec,
    /// Bytes of the bodies of requests that are kept.
    pub request_body_bytes: IntGauge,
    /// Bodies of requests that were given up for want of memory, by kind and limit.
    pub given_up_bodies: IntCounterVec,
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    /// Fails if two metrics have the same name.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new_custom(Some("goldcrestward".into()), None)?;
        let factory = MetricFactory { registry: &registry };
        Ok(Self {
            requests: factory.counters("requests_total", "requests by route and end", &["route", "end"])?,
            refusals: factory.counters("refusals_total", "refusals by reason", &["reason", "run"])?,
            retries: factory.counters("retries_total", "attempts after the first by reason", &["reason"])?,
            dropped: factory.counters("dropped_total", "parts of answers dropped by reason", &["reason"])?,
            tokens: factory.counter("tokens_total", "tokens passed on")?,
            recomputed: factory.counter("recomputed_tokens_total", "tokens computed again")?,
            resumed: factory.counters("resumed_total", "streams moved to another replica by way", &["way"])?,
            stop_outcomes: factory.counters(
                "stop_outcomes_total",
                "requests that a stop refused, gave up or cut off",
                &["outcome"],
            )?,
            unanswered: factory.counters(
                "unanswered_total",
                "requests of callers that got neither a whole answer nor a whole refusal, by cause",
                &["cause"],
            )?,
            caller_closes: factory.counters(
                "caller_closes_total",
                "connections of callers closed over an unanswered request",
                &["reason"],
            )?,
            unannounced_closes: factory.counters(
                "unannounced_closes_total",
                "connections of callers closed with no answer that said so",
                &["reason"],
            )?,
            late_arrivals: factory.counters(
                "late_arrivals_total",
                "requests that came after the notice of a stop, by whether their connection is older than its end",
                &["connection"],
            )?,
            failed_accepts: factory
                .counter("failed_accepts_total", "connections that could not be accepted at once")?,
            cut_answers: factory.counter("cut_answers_total", "answers that could not be ended whole")?,
            first_token: factory.histograms("first_token_seconds", "time to the first token", &["route"])?,
            between_tokens: factory.histogram(
                "between_tokens_seconds",
                "time between tokens",
                &TOKEN_GAP_BUCKETS_SECONDS,
            )?,
            plain_seconds: factory.histograms("plain_seconds", "time of plain requests", &["route"])?,
            in_flight: factory.gauge("in_flight", "requests in flight")?,
            backend_connects: factory.counters(
                "backend_connects_total",
                "connections to backend servers that were to be opened, by result",
                &["result"],
            )?,
            relayed_connects: factory.counters(
                "relayed_connects_total",
                "connections to backend servers that peers were asked to open, by result",
                &["result"],
            )?,
            carried: factory
                .gauge("carried_connections", "connections to backend servers that are carried for peers")?,
            unreached_servers: factory.gauge("unreached_servers", "backend servers that this daemon does not reach")?,
            unconfirmed_servers: factory.gauge("unconfirmed_servers", "backend servers in use without an entry")?,
            server_questions: factory.counters(
                "server_questions_total",
                "servers without an entry that were asked whether they are leaving",
                &["answer"],
            )?,
            kv_calls: factory.counters(
                "kv_calls_total",
                "calls to the key-value service",
                &["kind", "purpose", "result"],
            )?,
            store_restores: factory.counter(
                "store_restores_total",
                "restores of the key-value service from a copy that this daemon has noticed",
            )?,
            ledger_commits: factory.counters("ledger_commits_total", "commits of the ledger by result", &["result"])?,
            ledger_grants: factory.counters("ledger_grants_total", "answers to claims by kind", &["grant"])?,
            peer_messages: factory.counters(
                "peer_messages_total",
                "messages between daemons",
                &["kind", "direction"],
            )?,
            peer_bytes: factory.counters("peer_bytes_total", "bytes between daemons", &["kind", "direction"])?,
            peer_rejections: factory.counters("peer_rejections_total", "messages of peers dropped", &["reason"])?,
            peer_unknown: factory.counters(
                "peer_unknown_total",
                "parts of peers' messages not known here",
                &["what"],
            )?,
            members: factory.gauges("members", "daemons known by state", &["state"])?,
            config_revision: factory.gauge("config_revision", "revision of the configuration in force")?,
            config_since: factory.gauge("config_since_ms", "unix time at which the configuration came into force")?,
            refused_files: factory.gauge("config_refused_files", "files of the configuration that cannot be used")?,
            config_changes: factory.counters("config_changes_total", "configurations taken into force", &["way"])?,
            config_delay: factory.histogram(
                "config_delay_seconds",
                "time from a configuration's reading in the store by any daemon until it is in force",
                &CONFIG_DELAY_BUCKETS_SECONDS,
            )?,
            state_read_failures: factory.counters(
                "state_read_failures_total",
                "readings of the site's state in the key-value store that failed",
                &["kind", "why"],
            )?,
            refused_entries: factory
                .counter("refused_entries_total", "entries of the platform's services that cannot be read")?,
            replicas: factory.gauges("replicas", "replicas known by pool", &["pool"])?,
            rollouts: factory.counters("moves_total", "moves to new versions by outcome", &["outcome"])?,
            crashes: factory.counters("crashes_total", "requests on crashed replicas by blame", &["blame"])?,
            accusations: factory.counters(
                "part_accusations_total",
                "prompt parts accused of a crash by source and result",
                &["source", "result"],
            )?,
            leaving_statements: factory.counters(
                "leaving_statements_total",
                "servers whose answers said that they were leaving, by who received the answer",
                &["source"],
            )?,
            holds: factory.counters(
                "holds_total",
                "refusals in which servers named a time for which they want nothing, by result",
                &["result"],
            )?,
            unheard_heads: factory.counters(
                "unheard_heads_total",
                "requests whose callers went soon after they were sent, by what came of the response head",
                &["result"],
            )?,
            misdirected: factory
                .counter("misdirected_total", "attempts that another instance than that of the entry answered")?,
            limited_sends: factory
                .counter("limited_sends_total", "requests sent to replicas that had named a rate limit")?,
            send_grants: factory.counters(
                "send_grants_total",
                "requests charged to rate limits of replicas by decider and result",
                &["by", "result"],
            )?,
            condemned_parts: factory.gauge("condemned_parts", "sets of prompt parts that are refused")?,
            response_bytes: factory.gauge("response_bytes", "bytes of responses that are kept")?,
            long_responses: factory.counters(
                "long_responses_total",
                "responses that were too long, by kind and by the limit that they did not fit in",
                &["kind", "limit"],
            )?,
            request_body_bytes: factory.gauge("request_body_bytes", "bytes of the bodies of requests that are kept")?,
            given_up_bodies: factory.counters(
                "given_up_bodies_total",
                "bodies of requests that were given up for want of memory, by kind and limit",
                &["kind", "limit"],
            )?,
            crash_records: factory.counter("crash_records_total", "crash records learned from other daemons")?,
            registry,
        })
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text).ok();
        text
    }
}

/// Creates metrics and registers them.
struct MetricFactory<'a> {
    registry: &'a Registry,
}

impl MetricFactory<'_> {
    fn counters(&self, name: &str, help: &str, labels: &[&str]) -> prometheus::Result<IntCounterVec> {
        let metric = IntCounterVec::new(Opts::new(name, help), labels)?;
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    fn counter(&self, name: &str, help: &str) -> prometheus::Result<IntCounter> {
        let metric = IntCounter::new(name, help)?;
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    fn gauge(&self, name: &str, help: &str) -> prometheus::Result<IntGauge> {
        let metric = IntGauge::new(name, help)?;
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    fn gauges(&self, name: &str, help: &str, labels: &[&str]) -> prometheus::Result<IntGaugeVec> {
        let metric = IntGaugeVec::new(Opts::new(name, help), labels)?;
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    fn histograms(&self, name: &str, help: &str, labels: &[&str]) -> prometheus::Result<HistogramVec> {
        let options = HistogramOpts::new(name, help).buckets(REQUEST_BUCKETS_SECONDS.to_vec());
        let metric = HistogramVec::new(options, labels)?;
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    fn histogram(&self, name: &str, help: &str, buckets: &[f64]) -> prometheus::Result<Histogram> {
        let metric = Histogram::with_opts(HistogramOpts::new(name, help).buckets(buckets.to_vec()))?;
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }
}
