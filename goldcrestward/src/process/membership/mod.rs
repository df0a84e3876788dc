//! Membership of the site's daemons, and grow-only facts propagated by gossip.
//!
//! The protocol follows SWIM: each daemon probes one other daemon per interval, asks others to
//! probe on its behalf when it gets no answer, and piggybacks changes on the datagrams it sends anyway.

mod fact;
mod member;
mod protocol;
mod view;

pub(crate) use fact::{Fact, FactKind, Facts};
pub(crate) use member::{Member, State};
pub(crate) use protocol::{Effect, Timing};
pub(crate) use view::View;

#[cfg(test)]
mod fact_test;
#[cfg(test)]
mod view_test;
