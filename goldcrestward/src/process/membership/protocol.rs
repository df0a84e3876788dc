//! Timing of the membership protocol, and the effects that it requests.

use std::{net::SocketAddr, sync::Arc};

use super::{fact::Fact, member::State};
use crate::pb::datagram::Body;

/// Timing of the protocol, in ms unless noted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timing {
    /// Time from one probe to the next.
    pub probe_interval: u64,
    /// Time to wait for an answer before other daemons are asked to probe.
    pub ack_timeout: u64,
    /// Probe intervals that a suspicion lasts, for each factor of ten in the number of daemons.
    pub suspicion_intervals: u64,
    /// Time for which a daemon that is dead or has left is remembered.
    pub retention: u64,
    /// Time from one probe of a dead daemon to the next.
    pub dead_probe_interval: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            probe_interval: 1_000,
            ack_timeout: 400,
            suspicion_intervals: 4,
            retention: 2 * 3_600_000,
            dead_probe_interval: 5_000,
        }
    }
}

/// An effect that the state machine requests of its caller.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Effect {
    /// Send a datagram to this address.
    Send(SocketAddr, Body),
    /// Exchange the full view with the daemon at this address.
    Sync(SocketAddr),
    /// The state of the named daemon has changed.
    MemberChanged(Arc<str>, State),
    /// A peer has sent a fact that is new to this daemon.
    FactLearned(Fact),
}
