//! What the caller of a proxied request gets when no further attempt is made.

use std::time::Duration;

use log::info;

use super::{
    held_answer::HeldAnswer,
    proxy::{MIN_RETRY_TIME, ProxyCall},
    proxy_outcome::{ProxyFailure, ProxyResponse},
    refusal::{Reason, Refusal, RunState},
};
use crate::connection::{BrokenAnswer, UnansweredCause};

impl ProxyCall {
    /// The result of the last attempt, as an answer that is passed on or as a refusal.
    pub(super) fn final_result(&mut self, failure: ProxyFailure) -> Result<ProxyResponse, Refusal> {
        let failure = match failure {
            ProxyFailure::ErrorResponse(answer) => return Ok(self.pass_on(*answer)),
            failure => failure,
        };
        if let Some(response) = self.pass_held(failure.label()) {
            return Ok(response);
        }
        let refusal = |reason, message: &str| Err(Refusal { run: self.run_state, ..Refusal::not_run(reason, message) });
        match failure {
            ProxyFailure::TooLate(refusal) => Err(Refusal { run: self.run_state, ..*refusal }),
            _ if self.window.has_ended() => Err(self.window.give_up(self.run_state)),
            ProxyFailure::Stopped => Err(self.window.give_up(self.run_state)),
            ProxyFailure::ConnectFailed | ProxyFailure::NoPath => {
                refusal(Reason::NoReplica, "no backend server could be reached")
            }
            ProxyFailure::OverBudget if self.run_state == RunState::MayHaveRun => {
                refusal(Reason::BackendFailed, "the backend server gave no whole answer")
            }
            ProxyFailure::Misdirected => {
                let refused = refusal(Reason::NoReplica, "another instance has the backend server's address");
                refused.map_err(|refusal| refusal.with_retry_after(Duration::from_millis(200)))
            }
            ProxyFailure::Withdrawn | ProxyFailure::NotRun | ProxyFailure::OverBudget => {
                if let Some(held) = self.placement.refuse_if_held(&self.gateway) {
                    return Err(Refusal { run: self.run_state, ..held });
                }
                let overloaded = refusal(Reason::Overloaded, "the backend server had no room");
                overloaded.map_err(|refusal| refusal.with_retry_after(Duration::from_millis(200)))
            }
            ProxyFailure::Indeterminate(_) | ProxyFailure::Migrated(_) if self.time_left() < MIN_RETRY_TIME => {
                refusal(Reason::Deadline, "the request's time is over")
            }
            ProxyFailure::Indeterminate(_)
            | ProxyFailure::ErrorResponse(_)
            | ProxyFailure::Migrated(_)
            | ProxyFailure::TakenOver(_) => refusal(Reason::BackendFailed, "the backend server gave no whole answer"),
        }
    }

    /// The error of an answer that ends before it is whole.
    pub(super) fn broken_answer(&self, message: String) -> BrokenAnswer {
        let cause = if self.window.has_ended() {
            UnansweredCause::DaemonEnd
        } else if self.time_left().is_zero() {
            UnansweredCause::Deadline
        } else {
            UnansweredCause::Server
        };
        BrokenAnswer::new(cause, message)
    }

    /// The answer that is held, as no repeat has been answered; `why` is the reason in log lines.
    pub(super) fn pass_held(&mut self, why: &str) -> Option<ProxyResponse> {
        let answer = self.held.take()?;
        let (id, instance, status) = (&self.metadata.id, &answer.instance, answer.status().as_u16());
        if !answer.is_whole() {
            info!("event=held-answer-lost id={id} instance={instance} status={status} why={why}");
            return None;
        }
        info!("event=held-answer-passed id={id} instance={instance} status={status} why={why}");
        Some(self.pass_on(*answer))
    }

    fn pass_on(&self, answer: HeldAnswer) -> ProxyResponse {
        ProxyResponse::Buffered(Box::new(answer.into_response(&self.gateway.shared, &self.metadata.id)))
    }
}
