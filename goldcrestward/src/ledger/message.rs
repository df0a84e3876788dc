//! Inputs and outputs of the slot state machine.

use std::sync::Arc;

use super::entry::Key;
use crate::{
    pb::{self, Grant},
    store::{Compare, Error, Put, Row, TxnOutcome},
};

/// Identifies a pending claim at one slot.
pub(crate) type Ticket = u64;

/// The key-value service's answer to [`Effect::Load`] or [`Effect::Commit`].
#[derive(Clone, Debug)]
pub(crate) enum StoreResult {
    /// All rows of the slot.
    Loaded(Result<Vec<Row>, Error>),
    /// Outcome of a transaction; after an error it may or may not have taken effect.
    Committed(Result<TxnOutcome, Error>),
}

/// I/O that the state machine asks its driver to perform.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Effect {
    /// Read all keys of the slot.
    Load,
    /// Run a transaction: conditions, values to store, keys to remove.
    Commit(Vec<Compare>, Vec<Put>, Vec<String>),
    /// Answer a claim.
    Reply(Ticket, Grant, Option<pb::Outcome>),
}

/// How a claim ended.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Settlement {
    pub key: Key,
    /// The request that held the claim.
    pub request: Arc<str>,
    /// Whether the request may have run.
    pub ran: bool,
    /// The outcome, if it is known.
    pub outcome: Option<pb::Outcome>,
}
