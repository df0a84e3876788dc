//! The site's state in the platform's store, as this daemon knows it: read, learned from peers, and applied.

mod delayed;
mod pull;
mod site_state;

pub(super) use pull::{adopt_kept, pull_config, watch_instances};
pub(super) use site_state::SiteState;
