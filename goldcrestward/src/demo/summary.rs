//! Summary of the demonstration's traffic.

use std::collections::BTreeMap;

use serde::Serialize;
use standin::load::{LoadReport, Quantiles};

/// Results that the demonstration prints, for the traffic of both users.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Summary {
    /// Requests that were not refused in the end.
    pub accepted: u64,
    /// Requests with a complete and correct response.
    pub whole: u64,
    /// Requests whose response was truncated, wrong or missing.
    pub broken: u64,
    /// Requests refused in the end, by reason and run state.
    pub refused: BTreeMap<String, u64>,
    /// Retries by callers, by the outcome that caused them.
    pub sent_again: BTreeMap<String, u64>,
    /// Streams resumed on another replica.
    pub resumed: u64,
    /// Tokens computed again after a stream was resumed.
    pub recomputed: u64,
    /// Idempotency keys executed more than once.
    pub doubles: usize,
    /// Idempotency keys reported as not run that were executed.
    pub false_not_run: usize,
    /// Outcome of the rollout of the new version.
    pub outcome: String,
    /// Reason for the outcome of the rollout.
    pub reason: String,
    /// Time to the first token, by user.
    pub first_token_ms: [Quantiles; 2],
    /// Time between tokens, by user.
    pub between_tokens_ms: [Quantiles; 2],
}

impl Summary {
    /// Combines the reports of both users.
    pub fn from_reports(reports: &[LoadReport; 2]) -> Self {
        let mut summary = Self {
            first_token_ms: [reports[0].first_token_ms, reports[1].first_token_ms],
            between_tokens_ms: [reports[0].between_tokens_ms, reports[1].between_tokens_ms],
            ..Self::default()
        };
        for report in reports {
            let broken = report.cut + report.wrong + report.unanswered;
            summary.whole += report.whole;
            summary.broken += broken;
            summary.accepted += report.whole + broken;
            for (cause, count) in &report.retried {
                *summary.sent_again.entry(cause.clone()).or_default() += count;
            }
            for (reason, count) in &report.refused {
                *summary.refused.entry(reason.clone()).or_default() += count;
            }
        }
        summary
    }

    /// Whether every accepted request got a complete and correct response, no keyed request was executed
    /// twice, and none reported as not run was executed.
    pub fn is_success(&self) -> bool {
        self.broken == 0 && self.doubles == 0 && self.false_not_run == 0 && self.accepted > 0
    }

    pub fn rows(&self) -> Vec<Vec<String>> {
        let row = |name: &str, value: String| vec![name.to_owned(), value];
        let mut rows = vec![
            row("accepted", self.accepted.to_string()),
            row("answered once and whole", self.whole.to_string()),
            row("cut, wrong or missing", self.broken.to_string()),
            row("resumed", self.resumed.to_string()),
            row("tokens recomputed", self.recomputed.to_string()),
            row("double executions", self.doubles.to_string()),
            row("false not-run", self.false_not_run.to_string()),
            row("rollout to planner-2", format!("{}: {}", self.outcome, self.reason)),
        ];
        rows.extend(
            self.sent_again.iter().map(|(cause, count)| row(&format!("sent again: {cause}"), count.to_string())),
        );
        rows.extend(self.refused.iter().map(|(reason, count)| row(&format!("refused: {reason}"), count.to_string())));
        for (user, first_token, between_tokens) in [
            ("swanvale", self.first_token_ms[0], self.between_tokens_ms[0]),
            ("klaasvikat", self.first_token_ms[1], self.between_tokens_ms[1]),
        ] {
            rows.push(row(&format!("{user}: first token p50/p95/p99 ms"), format_quantiles(first_token)));
            rows.push(row(&format!("{user}: between tokens p50/p95/p99 ms"), format_quantiles(between_tokens)));
        }
        rows
    }
}

fn format_quantiles(q: Quantiles) -> String {
    format!("{:.1} / {:.1} / {:.1}", q.p50, q.p95, q.p99)
}
