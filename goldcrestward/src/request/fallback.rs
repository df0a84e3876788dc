//! Another server for a request whose server is silent.
//!
//! A silent server may be sound and go on a moment later, so another one is asked only once the way on is certain: it has a
//! place and a connection, and the retry budget allows it. Without a way on the request waits.

use std::{
    future::Future,
    pin::pin,
    time::{Duration, Instant},
};

use futures_util::future::BoxFuture;
use log::info;
use tokio::time::timeout;

use super::{
    migration::Migration,
    proxy::{MIN_RETRY_TIME, ProxyCall},
};
use crate::{connection::BackendConnection, process::ReplicaGuard};

/// Time without a response after which the path to a server is looked at.
const SUSPECT_AFTER: Duration = Duration::from_millis(300);
/// Interval at which a request whose path is being looked at checks whether it has failed.
const PATH_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two searches for another server while one is silent.
pub(super) const SEARCH_INTERVAL: Duration = Duration::from_millis(200);

/// A place at another server, with a connection to it.
pub(super) struct Fallback {
    pub guard: ReplicaGuard,
    pub connection: BackendConnection,
    /// When the silence of the other server began.
    pub since: Instant,
}

impl Fallback {
    /// Gives the place up; a new connection is kept for other requests.
    fn release(self) {
        if self.connection.is_unused() {
            self.connection.keep();
        }
    }
}

/// A search for another server under way; `None` if there is none at the moment.
pub(super) type Search = BoxFuture<'static, Option<Fallback>>;

impl ProxyCall {
    /// Starts to look for another server than the silent one; `None` if the request may not be sent to another one now.
    pub(super) fn search_fallback(&self, silent: &ReplicaGuard, since: Instant) -> Option<Search> {
        let gateway = self.gateway.clone();
        let may_repeat = self.may_end_elsewhere(since) && self.route.kind.is_idempotent() && self.has_attempt();
        // A run that is being migrated goes on at its new server.
        if !may_repeat
            || matches!(self.migration, Migration::Pending(_))
            || self.time_left() < MIN_RETRY_TIME
            || self.is_suspect()
        {
            return None;
        }
        if !self.allows_retry() {
            return None;
        }
        let mut excluded = self.excluded();
        excluded.push(silent.replica().id.clone());
        let offer = self.placement.free_offer(&gateway, &excluded, self.crash_score().ok()?)?;
        let (guard, id, window) = (offer.accept(), self.metadata.id.clone(), self.window.clone());
        Some(Box::pin(async move {
            gateway.admit_to_server(&id, guard.replica()).await.ok()?;
            let connection = gateway.connect(&id, guard.replica(), &window).await.ok()?;
            Some(Fallback { guard, connection, since })
        }))
    }

    /// Whether another server that goes on now, where this one has been silent since then, usually ends before the request's
    /// deadline and the daemon.
    fn may_end_elsewhere(&self, since: Instant) -> bool {
        match self.is_answering {
            true => self.window.allows_rest(since.saturating_duration_since(self.run_started)),
            false if self.route.kind.is_stream() => self.may_send() && self.window.allows_rest(Duration::ZERO),
            false => self.may_send(),
        }
    }

    /// Takes the place to ask that server too, if a run can still end there and the retry budget still allows it.
    pub(super) fn accept_fallback(&mut self, fallback: Fallback, silent: &ReplicaGuard, since: Instant) -> bool {
        let is_leaving = fallback.guard.replica().is_leaving();
        if is_leaving
            || matches!(self.migration, Migration::Pending(_))
            || !self.may_end_elsewhere(since)
            || !self.withdraw_retry()
        {
            fallback.release();
            return false;
        }
        let (id, instance, to) = (&self.metadata.id, &silent.replica().id, &fallback.guard.replica().id);
        let silent_ms = since.elapsed().as_millis();
        info!("event=successor-asked id={id} instance={instance} silent_ms={silent_ms} to={to}");
        self.fallback = Some(fallback);
        true
    }

    /// Waits for a step of the exchange with a server. Returns `None` once the server has been silent for the idle
    /// timeout and there is another place for the request, or its time is over.
    pub(super) async fn wait_for<T>(&mut self, guard: &ReplicaGuard, step: impl Future<Output = T>) -> Option<T> {
        let (mut step, sent_at) = (pin!(step), self.gateway.shared.now());
        let started = self.silent_since.take().unwrap_or_else(Instant::now);
        let time_left = self.time_left();
        let idle_timeout = self.idle_timeout().map_or(time_left, |idle_timeout| idle_timeout.min(time_left));
        let mut limit = SUSPECT_AFTER.min(idle_timeout);
        let mut is_suspect = false;
        loop {
            if let Ok(output) = timeout(limit, &mut step).await {
                return Some(output);
            }
            if !is_suspect {
                self.gateway.suspect_path(guard.replica(), self.via.as_ref(), sent_at);
                is_suspect = true;
            }
            if self.time_left().is_zero() {
                return None;
            }
            let silent_for = started.elapsed();
            if silent_for < idle_timeout && (self.via.is_some() || !self.gateway.has_lost_link(guard.replica())) {
                limit = PATH_CHECK_INTERVAL.min(idle_timeout - silent_for);
                continue;
            }
            if let Some(search) = self.search_fallback(guard, started) {
                let found = tokio::select! {
                    output = &mut step => return Some(output),
                    found = search => found,
                };
                if found.is_some_and(|fallback| self.accept_fallback(fallback, guard, started)) {
                    return None;
                }
            }
            limit = SEARCH_INTERVAL.min(self.time_left());
        }
    }
}
