//! The site's state in the platform's store, as this daemon knows it: read, learned from peers, and applied.

mod delayed;
mod freshness;
mod lapsed_entries;
mod line_limit;
mod pull;
mod reader;
mod refusals;
mod refused_entries;
mod site_state;
mod state_listing;
mod turn;
mod unconfirmed;
mod unread_changes;

pub(super) use freshness::{Budget, Freshness, Overdue};
pub(crate) use line_limit::LineLimit;
pub(super) use pull::{adopt_kept, pull_config, watch_instances};
pub(super) use reader::StateReader;
pub(crate) use refusals::Refusals;
pub(super) use site_state::SiteState;
pub(super) use turn::Place;
