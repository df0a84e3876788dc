//! Which daemons of the site run, and facts that only grow, spread by gossip.
//!
//! The protocol follows SWIM: each daemon probes one other a period, asks others to
//! probe where no answer comes, and spreads changes on the datagrams it sends anyway.

mod fact;
mod member;
mod protocol;
mod view;

pub(crate) use fact::{Fact, FactKind, Facts};
pub(crate) use member::{Member, State};
pub(crate) use protocol::{Effect, Timing};
pub(crate) use view::View;

#[cfg(test)]
mod view_test;
