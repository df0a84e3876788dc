//! Errors of the ledger.

use snafu::Snafu;

/// Result of a ledger's operation.
pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;

/// Why the ledger gave no answer to a claim.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// No owner of the slot could be asked in time.
    #[snafu(display("could not reach the owner of ledger slot {slot}"))]
    Owner {
        /// The slot.
        slot: u32,
    },
}
