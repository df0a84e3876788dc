//! Waits for a way to servers that could not be reached.
//!
//! A request that may have run cannot be refused truly. The peer that carried it may just have ended, and others may reach
//! its servers a moment later, so it waits as long as another attempt can still be answered.

use std::{sync::Arc, time::Duration};

use log::info;
use tokio::time::sleep;

use super::{
    proxy::{MIN_RETRY_TIME, ProxyCall},
    proxy_outcome::ProxyFailure,
    refusal::{Reason, Refusal, RunState},
};

/// Time between two rounds of attempts to reach servers.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);

impl ProxyCall {
    /// Excludes a server from further attempts; only from those of this round if the way to it has failed.
    pub(super) fn exclude(&mut self, server: Arc<str>, failure: &ProxyFailure) {
        let is_way_lost = match failure {
            ProxyFailure::ConnectFailed | ProxyFailure::NoPath => true,
            ProxyFailure::Indeterminate(cause) => self.is_carriers_end(cause),
            // A server that wants nothing now may take the request later, and has not got it yet.
            ProxyFailure::Withdrawn => return,
            _ => false,
        };
        if is_way_lost { self.unreached.push(server) } else { self.tried.push(server) }
    }

    /// Whether an attempt has failed since the peer that carried it has ended, which says nothing about the server.
    pub(super) fn is_carriers_end(&self, cause: &str) -> bool {
        cause == "cut" && self.has_carrier_left()
    }

    /// Whether the peer that carried the last attempt is being stopped or gone.
    pub(super) fn has_carrier_left(&self) -> bool {
        self.via.as_ref().is_some_and(|peer| self.gateway.has_left(peer))
    }

    /// Servers that get no attempt in this round.
    pub(super) fn excluded(&self) -> Vec<Arc<str>> {
        let excluded = self.tried.iter().chain(&self.unreached).cloned();
        if self.has_attempt() || self.sends.addresses_to_name().is_empty() {
            return excluded.collect();
        }
        // No other server may get the request, but one that it was sent to under another instance's name.
        let pool = self.gateway.shared.replicas.pool(&self.placement.pool);
        let elsewhere = pool.iter().filter(|replica| !self.sends.addresses_to_name().contains(&replica.address));
        excluded.chain(elsewhere.map(|replica| replica.id.clone())).collect()
    }

    /// Whether the request is to wait for a way to servers that could not be reached.
    pub(super) fn may_await_way(&self) -> bool {
        let has_run = self.run_state == RunState::MayHaveRun && self.held.is_none();
        has_run && !self.unreached.is_empty() && self.time_left() >= ROUND_INTERVAL + MIN_RETRY_TIME
    }

    /// Whether the request is to wait for a way rather than be refused like this.
    pub(super) fn prefers_way(&self, refusal: &Refusal) -> bool {
        matches!(refusal.reason, Reason::NoReplica | Reason::Overloaded) && self.may_await_way()
    }

    /// Begins another round after a moment.
    pub(super) async fn await_way(&mut self) {
        let (id, unreached, left_ms) = (&self.metadata.id, self.unreached.len(), self.time_left().as_millis());
        info!("event=way-awaited id={id} unreached={unreached} left_ms={left_ms}");
        sleep(ROUND_INTERVAL).await;
        self.unreached.clear();
        self.connect_failures = 0;
    }
}
