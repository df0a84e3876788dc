//! What the caller of a proxied request gets when no further attempt is made.

use std::time::Duration;

use super::{
    proxy::{MIN_RETRY_TIME, ProxyCall},
    proxy_outcome::{ProxyFailure, ProxyResponse},
    refusal::{Reason, Refusal},
};

impl ProxyCall {
    /// The result of the last attempt, as an answer that is passed on or as a refusal.
    pub(super) fn final_result(&self, failure: ProxyFailure) -> Result<ProxyResponse, Refusal> {
        let refusal = |reason, message: &str| Err(Refusal { run: self.run_state, ..Refusal::not_run(reason, message) });
        match failure {
            ProxyFailure::ErrorResponse(response) => Ok(ProxyResponse::Buffered(response)),
            ProxyFailure::TooLate(refusal) => Err(Refusal { run: self.run_state, ..*refusal }),
            _ if self.window.has_ended() => Err(self.window.give_up(self.run_state)),
            ProxyFailure::Stopped => Err(self.window.give_up(self.run_state)),
            ProxyFailure::ConnectFailed | ProxyFailure::NoPath => {
                refusal(Reason::NoReplica, "no backend server could be reached")
            }
            ProxyFailure::Withdrawn | ProxyFailure::NotRun => {
                if let Some(held) = self.placement.refuse_if_held(&self.gateway) {
                    return Err(Refusal { run: self.run_state, ..held });
                }
                let overloaded = refusal(Reason::Overloaded, "the backend server had no room");
                overloaded.map_err(|refusal| refusal.with_retry_after(Duration::from_millis(200)))
            }
            ProxyFailure::Indeterminate(_) | ProxyFailure::Migrated(_) if self.time_left() < MIN_RETRY_TIME => {
                refusal(Reason::Deadline, "the request's time is over")
            }
            ProxyFailure::Indeterminate(_) | ProxyFailure::Migrated(_) => {
                refusal(Reason::BackendFailed, "the backend server gave no whole answer")
            }
        }
    }
}
