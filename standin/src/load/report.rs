//! Results of a load.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use hdrhistogram::Histogram;
use serde::Serialize;

use super::client::{RequestOutcome, StreamResult};

/// Quantiles of a duration, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Quantiles {
    pub p50: f64,
    pub p95: f64,
    pub p99: f64,
}

impl Quantiles {
    fn of(histogram: &Histogram<u64>) -> Self {
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        Self { p50: at(0.5), p95: at(0.95), p99: at(0.99) }
    }
}

/// Counts and latencies of a load.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadReport {
    /// Streamed requests, each counted once.
    pub streams: u64,
    /// Requests with an idempotency key, each key counted once.
    pub keyed: u64,
    /// Requests with a complete and correct response.
    pub whole: u64,
    /// Responses truncated after they had begun.
    pub cut: u64,
    /// Responses that were complete but not the expected ones.
    pub wrong: u64,
    /// Requests without any response.
    pub unanswered: u64,
    /// Requests refused in the end, by reason and run state.
    pub refused: BTreeMap<String, u64>,
    /// Retries, by the outcome that caused them.
    pub retried: BTreeMap<String, u64>,
    /// Tokens received.
    pub tokens: u64,
    /// Time from the planned start to the first token.
    pub first_token_ms: Quantiles,
    /// Mean time between tokens of a stream.
    pub between_tokens_ms: Quantiles,
    /// Time from the planned start to the end of a keyed request, retries included.
    pub keyed_ms: Quantiles,
    /// Targets of streamed requests whose response was truncated or missing.
    #[serde(skip)]
    pub cut_at: Vec<SocketAddr>,
    /// Targets of retried requests that they had received, but not answered.
    #[serde(skip)]
    pub unanswered_at: Vec<SocketAddr>,
    /// Idempotency keys for which every response said that the request had not run.
    #[serde(skip)]
    pub said_not_run: Vec<String>,
    /// Idempotency keys with a complete response.
    #[serde(skip)]
    pub said_run: Vec<String>,
}

/// Collects the outcomes of requests into a report.
pub(super) struct ReportBuilder {
    report: LoadReport,
    first_token: Histogram<u64>,
    token_interval: Histogram<u64>,
    keyed: Histogram<u64>,
}

impl ReportBuilder {
    pub fn new() -> Self {
        let histogram = || Histogram::new(3).unwrap_or_else(|_| unreachable!("3 digits are allowed"));
        Self {
            report: LoadReport::default(),
            first_token: histogram(),
            token_interval: histogram(),
            keyed: histogram(),
        }
    }

    /// Adds the result of a streamed request.
    pub fn add_stream(&mut self, result: &StreamResult, target: SocketAddr) {
        self.report.streams += 1;
        if matches!(result.outcome, RequestOutcome::Truncated | RequestOutcome::Unanswered | RequestOutcome::Unreached)
        {
            self.report.cut_at.push(target);
        }
        self.report.tokens += result.tokens as u64;
        if let Some(first_token) = result.first_token {
            self.first_token.record(micros(first_token)).ok();
        }
        if let Some(token_interval) = result.token_interval {
            self.token_interval.record(micros(token_interval)).ok();
        }
        self.count_outcome(&result.outcome);
    }

    /// Adds the outcome of a keyed request.
    pub fn add_keyed(&mut self, key: String, outcome: &RequestOutcome, every_not_run: bool, time: Duration) {
        self.report.keyed += 1;
        self.keyed.record(micros(time)).ok();
        self.count_outcome(outcome);
        if every_not_run {
            self.report.said_not_run.push(key);
        } else if *outcome == RequestOutcome::Complete {
            self.report.said_run.push(key);
        }
    }

    /// Adds a retry caused by the `outcome` of a request to `target`.
    pub fn add_retry(&mut self, outcome: &RequestOutcome, target: SocketAddr) {
        if *outcome == RequestOutcome::Unanswered {
            self.report.unanswered_at.push(target);
        }
        let cause = match outcome {
            RequestOutcome::Refused(reason, run) => format!("{reason}/{run}"),
            RequestOutcome::Truncated => "cut".into(),
            RequestOutcome::Unreached => "unreached".into(),
            _ => "unanswered".into(),
        };
        *self.report.retried.entry(cause).or_default() += 1;
    }

    /// Computes the quantiles and returns the report.
    pub fn finish(mut self) -> LoadReport {
        self.report.first_token_ms = Quantiles::of(&self.first_token);
        self.report.between_tokens_ms = Quantiles::of(&self.token_interval);
        self.report.keyed_ms = Quantiles::of(&self.keyed);
        self.report
    }

    fn count_outcome(&mut self, outcome: &RequestOutcome) {
        match outcome {
            RequestOutcome::Complete => self.report.whole += 1,
            RequestOutcome::Truncated => self.report.cut += 1,
            RequestOutcome::Mismatch => self.report.wrong += 1,
            RequestOutcome::Unreached | RequestOutcome::Unanswered => self.report.unanswered += 1,
            RequestOutcome::Refused(reason, run) => {
                *self.report.refused.entry(format!("{reason}/{run}")).or_default() += 1
            }
        }
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
