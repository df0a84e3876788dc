//! Times of the membership protocol, and what it wants done.

use std::{net::SocketAddr, sync::Arc};

use super::{fact::Fact, member::State};
use crate::pb::datagram::Body;

/// The protocol's times in ms.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timing {
    /// Time from one probe to the next.
    pub period: u64,
    /// Time for an answer before others are asked to probe.
    pub ack: u64,
    /// Suspicion lasts this many periods for each factor of ten in the number of daemons.
    pub suspicion: u64,
    /// Time that a dead or departed daemon is remembered.
    pub memory: u64,
    /// Time from one probe of a dead daemon to the next.
    pub dead_probe: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self { period: 1_000, ack: 400, suspicion: 4, memory: 2 * 3_600_000, dead_probe: 5_000 }
    }
}

/// What the state machine wants done.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Effect {
    /// Send a datagram to this address.
    Send(SocketAddr, Body),
    /// Exchange the whole view with the daemon at this address.
    Sync(SocketAddr),
    /// A daemon's state has changed.
    MemberChanged(Arc<str>, State),
    /// A fact has been learnt.
    FactLearned(Fact),
}
