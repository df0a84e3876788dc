//! What an attempt of a proxied request leads to: a response, or another attempt.

use std::sync::Arc;

use log::info;

use super::{
    numbered_events::EventSequence,
    proxy::ProxyCall,
    proxy_outcome::{ProxyFailure, ProxyResponse},
    refusal::Refusal,
};

impl ProxyCall {
    /// The response that the attempt at a server leads to; `None` if another attempt is to be made.
    pub(super) async fn conclude(
        &mut self,
        instance: &Arc<str>,
        result: Result<ProxyResponse, ProxyFailure>,
        sequence: &mut EventSequence,
    ) -> Option<Result<ProxyResponse, Refusal>> {
        let failed = match result {
            Ok(response) => {
                (self.held, self.silent) = (None, None);
                return Some(Ok(response));
            }
            Err(failure) => failure.locate(instance.clone()),
        };
        let (instance, failure) = match failed {
            (_, ProxyFailure::Migrated(run)) => {
                let (migrated, source) = *run;
                let response = self.resume_migrated(migrated, source, sequence).await;
                return Some(match response {
                    Ok(response) => {
                        (self.held, self.silent) = (None, None);
                        Ok(response)
                    }
                    Err(refusal) => self.pass_held(refusal.reason.label()).ok_or(refusal),
                });
            }
            located => located,
        };
        self.record_unserved(&failure);
        self.exclude(instance.clone(), &failure);
        let repeat = self.may_retry(&failure);
        let (id, label, sends) = (&self.metadata.id, failure.label(), self.sends.servers());
        let connection = &self.connection_label;
        info!(
            "event=attempt-failed id={id} instance={instance} cause={label} sends={sends} repeat={repeat} {connection}"
        );
        if !repeat {
            return Some(self.final_result(failure));
        }
        self.retry_cause = Some(label);
        // A stream that has begun cannot be answered with an error any more.
        if let ProxyFailure::ErrorResponse(answer) = failure
            && !self.is_answering
        {
            self.held = Some(answer);
        }
        None
    }

    /// Makes further attempts if that at the server has led to no response.
    pub(super) async fn go_on(
        &mut self,
        instance: &Arc<str>,
        result: Result<ProxyResponse, ProxyFailure>,
        sequence: &mut EventSequence,
    ) -> Result<ProxyResponse, Refusal> {
        match self.conclude(instance, result, sequence).await {
            Some(response) => response,
            None => self.attempts(sequence).await,
        }
    }
}
