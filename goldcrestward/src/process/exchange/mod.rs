//! The exchange of load, quota use and request counts between daemons.
//!
//! Each daemon reports to the relays of its availability zone. The relay sums the reports, swaps sums with the relays of
//! the other zones, and tells each daemon of its zone about all others. What a daemon sends and receives depends on the
//! size of its zone at most, and not on the size of the site.

mod changed_rows;
mod fleet_table;
mod heard_relay;
mod relay_role;
mod relays;
mod rows;
mod run;
mod sent;
mod timing;
mod usage_fetch;
mod usage_handover;
mod window_clock;

pub(crate) use changed_rows::RowValue;
pub(crate) use fleet_table::Reach;
#[cfg(test)]
pub(crate) use fleet_table::{FleetTable, SumHead};
pub(crate) use run::Exchange;
pub(crate) use timing::{REPORT_TIMEOUT_MS, SILENCE_MS};
pub(crate) use usage_fetch::{fetch_usage, learn_zone_usage};
pub(crate) use usage_handover::UsageHandover;
