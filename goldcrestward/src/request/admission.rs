//! What a request takes from one version of the configuration.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use super::{
    admission_request::AdmissionRequest,
    refusal::{Reason, Refusal},
};
use crate::{
    config::{Account, Route},
    process::{AdmissionPermit, InForce, Shared},
    store::Revision,
};

/// What a request takes from one version of the configuration. Placement, attempts and the answer ask for nothing else
/// of it, so that a change in between can't mix two versions.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Admission {
    /// What the request asks of the configuration.
    pub request: AdmissionRequest,
    /// The revision of that configuration.
    pub revision: Revision,
    /// The number that the operator gave it.
    pub version: u64,
    pub route: Arc<Route>,
    /// `None` if the route allows anonymous requests or the site has no accounts.
    pub account: Option<Arc<Account>>,
    /// The pool; `None` if the route leads to none.
    pub pool: Option<Arc<str>>,
    /// Intended number of requests in flight at each server of the pool.
    pub concurrency: u32,
    /// Largest body of a proxied request, in bytes.
    pub body_bytes: usize,
    /// When a proxied request times out.
    pub deadline: Instant,
    /// When a proxied request without an answer is refused, so that the refusal reaches its caller by the deadline.
    pub answer_by: Instant,
}

impl Admission {
    /// Admits a request again whose body is complete now, by the version that is in force by then.
    ///
    /// # Errors
    /// Returns a refusal if that version does not allow the request, or would not have let it send its body.
    pub fn renew(self, in_force: &InForce, bytes: usize, now: Instant) -> Result<Self, Refusal> {
        if self.is_by(in_force) {
            return Ok(self);
        }
        let admission = self.request.admit(in_force)?;
        if bytes > admission.body_bytes {
            let message = format!("the body has more than {} bytes", admission.body_bytes);
            return Err(Refusal::not_run(Reason::BodyTooLarge, message));
        }
        if admission.answer_by <= now {
            return Err(Refusal::not_run(Reason::BodyTimeout, "the body did not arrive in time"));
        }
        Ok(admission)
    }

    /// Checks that the request, which has waited since it was admitted, has lost neither its key nor its route.
    ///
    /// # Errors
    /// Returns a refusal if it has.
    pub fn check_withdrawn(&self, in_force: &InForce) -> Result<(), Refusal> {
        if self.is_by(in_force) {
            return Ok(());
        }
        self.request.admit(in_force).map(drop)
    }

    fn is_by(&self, in_force: &InForce) -> bool {
        (self.revision, self.version) == (in_force.revision, in_force.site.version)
    }

    /// The permit of the account, which may not be the one whose permit the request has held while its body was read.
    ///
    /// # Errors
    /// Returns a refusal if a limit of that account is used up.
    pub fn renew_permit(&self, held: AdmissionPermit, shared: &Shared) -> Result<AdmissionPermit, Refusal> {
        match &self.account {
            Some(account) if !held.is_of(account) => shared.limits.admit(account, shared.daemon_count(), shared.now()),
            _ => Ok(held),
        }
    }

    /// Time in which a request without an answer is refused.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.answer_by.saturating_duration_since(now)
    }

    /// Name of the account; empty if there is none.
    pub fn account_name(&self) -> Arc<str> {
        self.account.as_ref().map_or_else(|| Arc::from(""), |account| account.name.clone())
    }
}

#[cfg(test)]
#[path = "admission_test.rs"]
mod admission_test;
