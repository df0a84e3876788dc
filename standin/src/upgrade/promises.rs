//! Promises that a run has broken.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use crate::load::LoadReport;

/// The broken promises of a run, one line each.
#[derive(Clone, Debug, Default)]
pub struct BrokenPromises {
    lines: Vec<String>,
}

impl BrokenPromises {
    pub fn push(&mut self, line: impl Into<String>) {
        self.lines.push(line.into());
    }

    pub fn into_lines(self) -> Vec<String> {
        self.lines
    }

    /// Checks what callers and servers saw of a load.
    ///
    /// Only daemons that were killed may cut answers off. `executions` has the number of executions by idempotency key.
    pub fn check_load(
        &mut self,
        report: &LoadReport,
        killed: &BTreeSet<SocketAddr>,
        executions: &BTreeMap<String, u64>,
    ) {
        if report.whole == 0 {
            self.push("no request was answered");
        }
        for (target, count) in counts(&report.cut_at, killed) {
            self.push(format!("{count} streams were cut off or unanswered at {target}, which was not killed"));
        }
        for (target, count) in counts(&report.unanswered_at, killed) {
            self.push(format!("{count} requests were not answered by {target}, which was not killed, and sent again"));
        }
        // Streams without a whole answer are in `cut_at`; the rest are keyed requests, which are sent again.
        let keyed = (report.cut + report.unanswered).saturating_sub(report.cut_at.len() as u64);
        if keyed > 0 {
            self.push(format!("{keyed} keyed requests got no whole answer"));
        }
        if report.wrong > 0 {
            self.push(format!("{} answers were not those of their requests", report.wrong));
        }
        // Whether a keyed request has run may be unknown if the daemon that sent it was killed.
        let is_allowed = |reason: &str| !killed.is_empty() && reason.starts_with("earlier-may-have-run/");
        for (reason, count) in report.refused.iter().filter(|(reason, _)| !is_allowed(reason)) {
            self.push(format!("{count} requests were refused in the end with {reason}"));
        }
        let twice = executions.iter().filter(|(_, count)| **count > 1);
        for (key, count) in twice {
            self.push(format!("{key} was executed {count} times"));
        }
        for key in report.said_not_run.iter().filter(|key| executions.contains_key(*key)) {
            self.push(format!("{key} was executed, but reported as not run"));
        }
        for key in report.said_run.iter().filter(|key| !executions.contains_key(*key)) {
            self.push(format!("{key} was reported as run, but not executed"));
        }
    }

    /// Checks which daemons each one counts as alive, by its name, against those that run.
    pub fn check_members(
        &mut self,
        running: &BTreeSet<String>,
        views: &BTreeMap<String, BTreeSet<String>>,
        after: &str,
    ) {
        for (name, view) in views.iter().filter(|(_, view)| *view != running) {
            let missing: Vec<_> = running.difference(view).collect();
            let extra: Vec<_> = view.difference(running).collect();
            self.push(format!("{name} lacks {missing:?} among the living and counts {extra:?} too, {after}"));
        }
    }
}

/// How often each target is listed, without those that were killed.
fn counts(targets: &[SocketAddr], killed: &BTreeSet<SocketAddr>) -> BTreeMap<SocketAddr, u64> {
    let mut counts = BTreeMap::new();
    for target in targets.iter().filter(|target| !killed.contains(target)) {
        *counts.entry(*target).or_default() += 1;
    }
    counts
}
