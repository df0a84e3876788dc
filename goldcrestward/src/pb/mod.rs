//! Types of the protocol between daemons, generated from `proto/peer.proto`.

mod peer;

pub use peer::*;
