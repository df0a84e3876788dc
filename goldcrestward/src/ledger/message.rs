//! Inputs and outputs of the slot state machine.

use std::sync::Arc;

use super::entry::Key;
use crate::{
    pb::{self, Grant},
    store::{Compare, Error, Put, Row, TxnOutcome},
};

/// Identifies a pending claim at one slot.
pub(crate) type Ticket = u64;

/// The result of [`Effect::Load`] or [`Effect::Txn`].
#[derive(Clone, Debug)]
pub(crate) enum StoreResult {
    /// All rows of the slot.
    Loaded(Result<Vec<Row>, Error>),
    /// Outcome of a transaction; after an error it may or may not have taken effect.
    Executed(Result<TxnOutcome, Error>),
}

/// An action that the state machine requests from its driver.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Effect {
    /// Read all keys of the slot.
    Load,
    /// Run a transaction: conditions, values to store, keys to remove.
    Txn(Vec<Compare>, Vec<Put>, Vec<String>),
    /// Reply to a claim.
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
