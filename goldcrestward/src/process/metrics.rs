//! The daemon's counters, gauges and histograms.

use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

/// Bounds of the buckets for the first token and whole requests, in seconds; 0.34 s is the target.
const FIRST_TOKEN_SECONDS: [f64; 12] = [0.01, 0.025, 0.05, 0.1, 0.17, 0.25, 0.34, 0.5, 1.0, 2.5, 10.0, 60.0];
/// Bounds of the buckets between tokens, in seconds; 0.052 s is the target.
const BETWEEN_TOKENS_SECONDS: [f64; 9] = [0.005, 0.01, 0.02, 0.03, 0.052, 0.08, 0.15, 0.5, 2.0];

/// All metrics of a daemon.
pub(crate) struct Metrics {
    registry: Registry,
    /// Requests by route and how they ended.
    pub requests: IntCounterVec,
    /// Refusals by reason and whether the request can have run.
    pub refusals: IntCounterVec,
    /// Attempts after the first, by reason.
    pub retries: IntCounterVec,
    /// Parts of answers dropped, by reason.
    pub dropped: IntCounterVec,
    /// Tokens passed on.
    pub tokens: IntCounter,
    /// Tokens that had to be computed again.
    pub recomputed: IntCounter,
    /// Streams moved to another replica.
    pub resumed: IntCounterVec,
    /// Answers that could not be ended whole.
    pub cut_answers: IntCounter,
    /// Time to the first token.
    pub first_token: HistogramVec,
    /// Time between tokens.
    pub between_tokens: Histogram,
    /// Time of whole plain requests.
    pub plain_seconds: HistogramVec,
    /// Requests in flight.
    pub in_flight: IntGauge,
    /// Calls to the key-value service by kind, purpose and result.
    pub kv_calls: IntCounterVec,
    /// Commits of the ledger by result.
    pub ledger_commits: IntCounterVec,
    /// Grants of the ledger by kind.
    pub ledger_grants: IntCounterVec,
    /// Messages between daemons by kind and direction.
    pub peer_messages: IntCounterVec,
    /// Bytes between daemons by kind and direction.
    pub peer_bytes: IntCounterVec,
    /// Messages of peers dropped, by reason.
    pub peer_rejections: IntCounterVec,
    /// Daemons known, by state.
    pub members: IntGaugeVec,
    /// Revision of the configuration in force here.
    pub config_revision: IntGauge,
    /// Unix time in ms at which it came into force.
    pub config_since: IntGauge,
    /// Configurations taken into force, by the way they came.
    pub config_changes: IntCounterVec,
    /// Replicas known, by pool.
    pub replicas: IntGaugeVec,
    /// Moves to new versions that ended, by outcome.
    pub moves: IntCounterVec,
}

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Errors
    /// Fails when two metrics have one name.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new_custom(Some("goldcrestward".into()), None)?;
        let maker = Maker { registry: &registry };
        Ok(Self {
            requests: maker.counters("requests_total", "requests by route and end", &["route", "end"])?,
            refusals: maker.counters("refusals_total", "refusals by reason", &["reason", "run"])?,
            retries: maker.counters("retries_total", "attempts after the first by reason", &["reason"])?,
            dropped: maker.counters("dropped_total", "parts of answers dropped by reason", &["reason"])?,
            tokens: maker.counter("tokens_total", "tokens passed on")?,
            recomputed: maker.counter("recomputed_tokens_total", "tokens computed again")?,
            resumed: maker.counters("resumed_total", "streams moved to another replica by way", &["way"])?,
            cut_answers: maker.counter("cut_answers_total", "answers that could not be ended whole")?,
            first_token: maker.histograms("first_token_seconds", "time to the first token", &["route"])?,
            between_tokens: maker.between_tokens()?,
            plain_seconds: maker.histograms("plain_seconds", "time of plain requests", &["route"])?,
            in_flight: maker.gauge("in_flight", "requests in flight")?,
            kv_calls: maker.counters(
                "kv_calls_total",
                "calls to the key-value service",
                &["kind", "purpose", "result"],
            )?,
            ledger_commits: maker.counters("ledger_commits_total", "commits of the ledger by result", &["result"])?,
            ledger_grants: maker.counters("ledger_grants_total", "answers to claims by kind", &["grant"])?,
            peer_messages: maker.counters("peer_messages_total", "messages between daemons", &["kind", "direction"])?,
            peer_bytes: maker.counters("peer_bytes_total", "bytes between daemons", &["kind", "direction"])?,
            peer_rejections: maker.counters("peer_rejections_total", "messages of peers dropped", &["reason"])?,
            members: maker.gauges("members", "daemons known by state", &["state"])?,
            config_revision: maker.gauge("config_revision", "revision of the configuration in force")?,
            config_since: maker.gauge("config_since_ms", "unix time at which the configuration came into force")?,
            config_changes: maker.counters("config_changes_total", "configurations taken into force", &["way"])?,
            replicas: maker.gauges("replicas", "replicas known by pool", &["pool"])?,
            moves: maker.counters("moves_total", "moves to new versions by outcome", &["outcome"])?,
            registry,
        })
    }

    /// All metrics in the text format of prometheus.
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text).ok();
        text
    }
}

struct Maker<'a> {
    registry: &'a Registry,
}

impl Maker<'_> {
    fn counters(&self, name: &str, help: &str, labels: &[&str]) -> prometheus::Result<IntCounterVec> {
        let made = IntCounterVec::new(Opts::new(name, help), labels)?;
        self.registry.register(Box::new(made.clone()))?;
        Ok(made)
    }

    fn counter(&self, name: &str, help: &str) -> prometheus::Result<IntCounter> {
        let made = IntCounter::new(name, help)?;
        self.registry.register(Box::new(made.clone()))?;
        Ok(made)
    }

    fn gauge(&self, name: &str, help: &str) -> prometheus::Result<IntGauge> {
        let made = IntGauge::new(name, help)?;
        self.registry.register(Box::new(made.clone()))?;
        Ok(made)
    }

    fn gauges(&self, name: &str, help: &str, labels: &[&str]) -> prometheus::Result<IntGaugeVec> {
        let made = IntGaugeVec::new(Opts::new(name, help), labels)?;
        self.registry.register(Box::new(made.clone()))?;
        Ok(made)
    }

    fn histograms(&self, name: &str, help: &str, labels: &[&str]) -> prometheus::Result<HistogramVec> {
        let options = HistogramOpts::new(name, help).buckets(FIRST_TOKEN_SECONDS.to_vec());
        let made = HistogramVec::new(options, labels)?;
        self.registry.register(Box::new(made.clone()))?;
        Ok(made)
    }

    fn between_tokens(&self) -> prometheus::Result<Histogram> {
        let options = HistogramOpts::new("between_tokens_seconds", "time between tokens");
        let made = Histogram::with_opts(options.buckets(BETWEEN_TOKENS_SECONDS.to_vec()))?;
        self.registry.register(Box::new(made.clone()))?;
        Ok(made)
    }
}
