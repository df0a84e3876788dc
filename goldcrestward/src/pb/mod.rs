//! Types of the protocol between daemons, generated from `proto/peer.proto`.

mod peer;

pub use peer::*;

#[cfg(test)]
mod compatibility_test;
#[cfg(test)]
mod landed_test;
#[cfg(test)]
mod schema_test;
