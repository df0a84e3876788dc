//! Servers that fall over if they have to turn away too many requests: what each daemon may send to them.

mod facts;
mod recent_high;
mod recent_low;
mod room;

pub(super) use facts::learn_brittle_fact;
pub(crate) use facts::record_stated;
pub(crate) use room::DaemonRank;
pub(super) use room::{Places, Room};
