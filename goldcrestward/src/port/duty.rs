//! Calls that one daemon makes for all.

use std::{collections::BTreeMap, sync::Arc};

use futures_util::future::BoxFuture;

/// Who calls, and under which fencing number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The daemon's name.
    pub name: Arc<str>,
    /// The number, which rises whenever the holder changes.
    pub fencing_token: u64,
}

/// The number of servers that a pool shall have in an availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolOrder {
    /// The pool.
    pub pool: Arc<str>,
    /// The availability zone.
    pub zone: Arc<str>,
    /// The number.
    pub count: u32,
    /// Whether it is that of reclaimable servers or that of the others.
    pub reclaimable: bool,
}

/// What became of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DutyAnswer {
    /// It was carried out.
    Done,
    /// It was refused: another holder has a higher fencing number, or what was ordered is not to be had.
    Refused,
    /// Calls come too fast, or the platform is busy; nothing was done.
    Busy,
    /// No answer came; it may be carried out later.
    Unanswered,
}

/// The platform's calls that one daemon makes for all.
pub trait Duties: Send + Sync {
    /// Reports the requests of each account that began in a window of time.
    fn report_usage<'a>(
        &'a self,
        holder: &'a Holder,
        window: u64,
        counts: &'a BTreeMap<Arc<str>, u64>,
    ) -> BoxFuture<'a, DutyAnswer>;

    /// Orders a number of servers.
    fn order_pool<'a>(&'a self, holder: &'a Holder, order: &'a PoolOrder) -> BoxFuture<'a, DutyAnswer>;
}
