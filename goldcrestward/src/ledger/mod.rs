//! At-most-once execution: a ledger of idempotency keys in the platform's key-value service, split into slots.
//!
//! A slot belongs to the daemon that last raised its fencing token. The owner commits a
//! claim to the service before any daemon may send the request to a back end.

mod commit_limiter;
mod entry;
mod error;
mod message;
mod owner;
mod rows;
mod slot;
mod state;

pub(crate) use entry::{Key, SLOTS, ledger_key};
pub(crate) use message::Settlement;
pub(crate) use owner::{Claim, ClaimAnswer, Ledger, OwnerLookup};

#[cfg(test)]
mod odd_rows_test;
#[cfg(test)]
mod owner_test;
#[cfg(test)]
mod search_test;
#[cfg(test)]
mod slot_test;
#[cfg(test)]
mod stale_owner_test;
#[cfg(test)]
mod store_test;
