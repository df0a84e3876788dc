//! Servers that are leaving, by what their entries in the store and their own answers say.

mod facts;
mod runs;

pub(super) use facts::learn_leaving_fact;
pub(super) use facts::record_carried;
pub(crate) use facts::record_stated;
pub(super) use runs::{LeavingRuns, LeavingSource};

#[cfg(test)]
mod order_test;
