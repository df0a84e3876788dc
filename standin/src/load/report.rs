//! What became of a load.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use hdrhistogram::Histogram;
use serde::Serialize;

use super::client::{RequestOutcome, StreamResult};

/// Quantiles of a time, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Quantiles {
    /// Half are below it.
    pub p50: f64,
    /// 95 in 100 are below it.
    pub p95: f64,
    /// 99 in 100 are below it.
    pub p99: f64,
}

impl Quantiles {
    fn of(histogram: &Histogram<u64>) -> Self {
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        Self { p50: at(0.5), p95: at(0.95), p99: at(0.99) }
    }
}

/// What became of a load.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadReport {
    /// Streamed requests sent.
    pub streams: u64,
    /// Keyed calls sent, each key once.
    pub keyed: u64,
    /// Requests answered once and whole.
    pub whole: u64,
    /// Answers cut after they had begun.
    pub cut: u64,
    /// Answers that were not the one asked for.
    pub wrong: u64,
    /// Requests without any answer.
    pub unanswered: u64,
    /// Refusals, by reason and run state.
    pub refused: BTreeMap<String, u64>,
    /// Times that callers sent a request again, by what they had been told.
    pub retried: BTreeMap<String, u64>,
    /// Tokens received.
    pub tokens: u64,
    /// Time to the first token.
    pub first_token_ms: Quantiles,
    /// Mean time between tokens of a stream.
    pub between_tokens_ms: Quantiles,
    /// Time of keyed calls.
    pub keyed_ms: Quantiles,
    /// Daemons through which answers were cut or missing.
    #[serde(skip)]
    pub cut_at: Vec<SocketAddr>,
    /// Keys whose every answer said that they had not run.
    #[serde(skip)]
    pub said_not_run: Vec<String>,
    /// Keys answered whole.
    #[serde(skip)]
    pub said_run: Vec<String>,
}

/// Gathers a report.
pub(super) struct Gatherer {
    report: LoadReport,
    first: Histogram<u64>,
    between: Histogram<u64>,
    keyed: Histogram<u64>,
}

impl Gatherer {
    /// Nothing yet.
    pub fn new() -> Self {
        let histogram = || Histogram::new(3).unwrap_or_else(|_| unreachable!("3 digits are allowed"));
        Self { report: LoadReport::default(), first: histogram(), between: histogram(), keyed: histogram() }
    }

    /// Adds the end of a streamed request.
    pub fn stream(&mut self, check: &StreamResult, target: SocketAddr) {
        self.report.streams += 1;
        if matches!(check.outcome, RequestOutcome::Truncated | RequestOutcome::Unanswered) {
            self.report.cut_at.push(target);
        }
        self.report.tokens += check.tokens as u64;
        if let Some(first) = check.first {
            self.first.record(micros(first)).ok();
        }
        if let Some(between) = check.between {
            self.between.record(micros(between)).ok();
        }
        self.end(&check.outcome);
    }

    /// Adds the end of a keyed call.
    pub fn keyed(&mut self, key: String, outcome: &RequestOutcome, every_not_run: bool, time: Duration) {
        self.report.keyed += 1;
        self.keyed.record(micros(time)).ok();
        self.end(outcome);
        if every_not_run {
            self.report.said_not_run.push(key);
        } else if *outcome == RequestOutcome::Complete {
            self.report.said_run.push(key);
        }
    }

    /// Adds that a caller sends a request again.
    pub fn retry(&mut self, outcome: &RequestOutcome) {
        let told = match outcome {
            RequestOutcome::Refused(reason, run) => format!("{reason}/{run}"),
            RequestOutcome::Truncated => "cut".into(),
            _ => "unanswered".into(),
        };
        *self.report.retried.entry(told).or_default() += 1;
    }

    /// The report.
    pub fn finish(mut self) -> LoadReport {
        self.report.first_token_ms = Quantiles::of(&self.first);
        self.report.between_tokens_ms = Quantiles::of(&self.between);
        self.report.keyed_ms = Quantiles::of(&self.keyed);
        self.report
    }

    fn end(&mut self, outcome: &RequestOutcome) {
        match outcome {
            RequestOutcome::Complete => self.report.whole += 1,
            RequestOutcome::Truncated => self.report.cut += 1,
            RequestOutcome::Mismatch => self.report.wrong += 1,
            RequestOutcome::Unanswered => self.report.unanswered += 1,
            RequestOutcome::Refused(reason, run) => {
                *self.report.refused.entry(format!("{reason}/{run}")).or_default() += 1
            }
        }
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
