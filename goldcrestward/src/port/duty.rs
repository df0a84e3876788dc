//! Calls to the platform that one daemon makes for the whole site.

use std::{collections::BTreeMap, sync::Arc};

use futures_util::future::BoxFuture;

/// The daemon that holds the duties.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The daemon's name.
    pub name: Arc<str>,
    /// Fencing token, which rises whenever the holder changes.
    pub fencing_token: u64,
}

/// Desired number of servers of a pool in an availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolOrder {
    /// The pool.
    pub pool: Arc<str>,
    /// The availability zone.
    pub zone: Arc<str>,
    /// Desired number of servers.
    pub count: u32,
    /// Whether `count` is the number of reclaimable servers or of the others.
    pub reclaimable: bool,
}

/// Result of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DutyAnswer {
    /// It was carried out.
    Done,
    /// It was refused: another holder has a higher fencing token, or the platform has no such capacity.
    Refused,
    /// The call rate is too high or the platform is overloaded; nothing was done.
    Busy,
    /// No response was received; the call may still be carried out.
    Unanswered,
}

/// Calls that only the holder of the duties makes.
pub trait Duties: Send + Sync {
    /// Reports the number of requests of each account that started in the given window.
    fn report_usage<'a>(
        &'a self,
        holder: &'a Holder,
        window: u64,
        counts: &'a BTreeMap<Arc<str>, u64>,
    ) -> BoxFuture<'a, DutyAnswer>;

    /// Sets the desired number of servers.
    fn order_pool<'a>(&'a self, holder: &'a Holder, order: &'a PoolOrder) -> BoxFuture<'a, DutyAnswer>;
}
