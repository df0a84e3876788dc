//! Asks versions of the configuration whether a request may run, and how.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use super::{
    admission::Admission,
    placement_request::choose_pool,
    refusal::{Reason, Refusal},
    target::Target,
};
use crate::{
    config::{Account, Site},
    process::InForce,
};

/// Upper limit of a proxied request's body, whatever the configuration allows, since the body is buffered for retries.
const BODY_BYTES: usize = 64 * 1024 * 1024;
/// Time for the request and its final answer to travel, both of which count for a caller that names how long it waits.
const TRAVEL_TIME: Duration = Duration::from_millis(10);
/// Largest part of a caller's time that is left for that.
const TRAVEL_PART: u32 = 10;

/// What a request asks of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct AdmissionRequest {
    pub target: Target,
    /// The key of its account.
    pub key: Option<Arc<str>>,
    /// Hash of the request's id.
    pub salt: u64,
    pub arrived: Instant,
    /// How long the caller waits, if it says so.
    pub timeout: Option<Duration>,
}

impl AdmissionRequest {
    /// What the request takes from a version of the configuration.
    ///
    /// # Errors
    /// Returns a refusal if that version does not allow the request.
    pub fn admit(&self, in_force: &InForce) -> Result<Admission, Refusal> {
        let site = &in_force.site;
        let (account, route) = match &self.target {
            Target::Host { .. } => {
                let route = self.target.route(site).ok_or_else(|| self.target.refuse())?;
                let account = self.key.as_deref().and_then(|key| site.account(key));
                if account.is_none() && !route.allows_anonymous && !site.accounts.is_empty() {
                    return Err(Refusal::not_run(Reason::Unauthenticated, "the request needs the key of an account"));
                }
                (account.cloned(), route)
            }
            Target::Path(_) | Target::Model(_) => {
                let account = authenticate(site, self.key.as_deref())?;
                let route = self.target.route(site).ok_or_else(|| self.target.refuse())?;
                if !account.routes.is_empty() && !account.routes.contains(&route.name) {
                    let message = format!("the account may not use route {}", route.name);
                    return Err(Refusal::not_run(Reason::Forbidden, message));
                }
                (Some(account), route)
            }
        };
        let pool = choose_pool(route, site, self.salt);
        let time = self.timeout.unwrap_or(route.timeout);
        let travel_time = self.timeout.map_or(Duration::ZERO, |time| TRAVEL_TIME.min(time / TRAVEL_PART));
        Ok(Admission {
            request: self.clone(),
            revision: in_force.revision,
            version: site.version,
            route: route.clone(),
            account,
            concurrency: pool.as_ref().and_then(|pool| site.pools.get(pool)).map_or(0, |pool| pool.concurrency),
            pool,
            body_bytes: site.caller_limits.body_bytes.min(BODY_BYTES),
            deadline: self.arrived + time.min(route.timeout),
            answer_by: self.arrived + (time - travel_time).min(route.timeout),
        })
    }
}

/// The account of a request that needs one.
///
/// # Errors
/// Returns a refusal if no account has this key.
pub(super) fn authenticate(site: &Site, key: Option<&str>) -> Result<Arc<Account>, Refusal> {
    let refuse = |message: &str| Refusal::not_run(Reason::Unauthenticated, message);
    let key = key.ok_or_else(|| refuse("the request needs an account's key as bearer token"))?;
    site.account(key).cloned().ok_or_else(|| refuse("no account has this key"))
}
