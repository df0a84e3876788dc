//! Which backend servers this daemon reaches by itself, and connections by way of peers to those that it does not.

mod carried_observer;
mod connect;
mod table;

pub(super) use connect::open_for_peer;
pub(crate) use table::ReachTable;
