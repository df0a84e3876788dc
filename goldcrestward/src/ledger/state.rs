//! Parts of a slot's state.

use std::sync::Arc;

use super::{entry::Key, message::Ticket};

/// A claim that waits for a commit.
#[derive(Clone, Debug)]
pub(super) struct Claim {
    pub ticket: Ticket,
    pub key: Key,
    pub fingerprint: u64,
    pub request: Arc<str>,
}

/// How a slot stands at this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Another daemon's, or nobody's.
    Idle,
    /// Reading the slot, or waiting to.
    Loading,
    /// Raising the fencing number.
    Taking,
    /// This daemon's.
    Owned,
    /// This daemon's, with a commit on its way.
    Committing,
    /// A commit's answer was lost; reading back.
    Settling,
}

/// What is known of a stored segment.
#[derive(Clone, Debug, Default)]
pub(super) struct Segment {
    pub revision: u64,
    pub newest: u64,
}

/// What the commit on its way will bring.
#[derive(Clone, Debug, Default)]
pub(super) struct Batch {
    pub tickets: Vec<(Ticket, Key, Arc<str>)>,
    pub removes: Vec<u32>,
}
