//! Errors of the ledger.

use snafu::Snafu;

pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a claim was not answered.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// No owner of the slot answered within the time limit.
    #[snafu(display("could not reach the owner of ledger slot {slot}"))]
    Owner { slot: u32 },
}
