//! Reasons for which no server is chosen.

use std::time::Duration;

/// Why no replica could be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoReplica {
    /// No replica is eligible.
    None,
    /// All eligible replicas have as many requests in flight as they may.
    Overloaded,
    /// All eligible replicas have got what they take; the first takes another request after this time.
    RateLimited(Duration),
    /// All eligible replicas have got what they take or want nothing; the first wants requests after this time.
    Held(Duration),
}
