//! The last steps of a daemon that has been stopped.

use std::{sync::Arc, time::Duration};

use log::info;
use prometheus::IntCounterVec;
use tokio::runtime::Runtime;

use crate::connection::UnansweredCause;

/// Time before the end of a limited stop in which the process exits.
pub(super) const EXIT_TIME: Duration = Duration::from_millis(100);

/// A daemon that serves nothing any more, though tasks of its connections may still run.
#[must_use = "the last line of the log is written when the daemon's tasks have ended"]
pub struct Stopped {
    name: Arc<str>,
    outcomes: IntCounterVec,
    arrivals: IntCounterVec,
    unanswered: IntCounterVec,
    whole: bool,
}

impl Stopped {
    /// Says with `whole` whether everything had ended by itself.
    pub(super) fn new(
        name: Arc<str>,
        outcomes: IntCounterVec,
        arrivals: IntCounterVec,
        unanswered: IntCounterVec,
        whole: bool,
    ) -> Self {
        Self { name, outcomes, arrivals, unanswered, whole }
    }

    /// Ends the tasks that are left, which log and count what they cut, and logs the end of the daemon after them.
    pub(crate) fn finish(self, runtime: Runtime) {
        runtime.shutdown_timeout(EXIT_TIME);
        self.log();
    }

    /// Logs the end of the daemon.
    pub(crate) fn log(self) {
        let Self { name, outcomes, arrivals, unanswered, whole } = self;
        let [refused, given_up, cut] =
            ["refused", "given-up", "cut"].map(|outcome| outcomes.with_label_values(&[outcome]).get());
        let [kept, new] = ["kept", "new"].map(|connection| arrivals.with_label_values(&[connection]).get());
        let unanswered = UnansweredCause::summary(&unanswered);
        info!(
            "event=stopped daemon={name} whole={whole} late_kept={kept} late_new={new} unanswered=[{unanswered}] refused={refused} given_up={given_up} cut={cut}"
        );
    }
}
