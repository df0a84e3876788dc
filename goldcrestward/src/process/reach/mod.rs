//! Which backend servers this daemon reaches by itself, and connections by way of peers to those that it does not.

mod carried_observer;
mod connect;
mod helpers;
mod probes;
mod table;

pub(super) use connect::{MAX_SEARCHES, open_for_peer};
pub(crate) use helpers::Helpers;
pub(crate) use probes::Probes;
pub(crate) use table::ReachTable;
