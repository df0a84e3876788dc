//! What goes into a slot and comes out of it.

use std::sync::Arc;

use super::entry::Key;
use crate::{
    pb::{self, Grant},
    store::{Compare, Error, Put, Row, TxnOutcome},
};

/// Names a claim until it is answered.
pub(crate) type Ticket = u64;

/// Answer of the key-value service to an effect.
#[derive(Clone, Debug)]
pub(crate) enum StoreResult {
    /// Rows of the slot, or why there are none.
    Loaded(Result<Vec<Row>, Error>),
    /// Outcome of a transaction, or why it is not known.
    Committed(Result<TxnOutcome, Error>),
}

/// What the state machine wants done.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Effect {
    /// Read all keys of the slot.
    Load,
    /// Run a transaction.
    Commit(Vec<Compare>, Vec<Put>, Vec<String>),
    /// Answer a claim.
    Reply(Ticket, Grant, Option<pb::Outcome>),
}

/// How a claim ended.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Settlement {
    /// The key.
    pub key: Key,
    /// The request that held the claim.
    pub request: Arc<str>,
    /// Whether the request may have run.
    pub ran: bool,
    /// The outcome, where it is known.
    pub outcome: Option<pb::Outcome>,
}
