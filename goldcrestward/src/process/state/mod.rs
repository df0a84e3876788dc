//! The site's state in the platform's store, as this daemon knows it: read, learned from peers, and applied.

mod delayed;
mod pull;
mod pull_lag;
mod site_state;

pub(super) use pull::{adopt_kept, pull_config, watch_instances};
pub(super) use pull_lag::PullLag;
pub(super) use site_state::SiteState;
