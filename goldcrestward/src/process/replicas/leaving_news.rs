//! What a daemon learns when a run states that it is leaving.

use std::sync::Arc;

use super::Replica;

/// A run that was not known to be leaving until now.
pub(crate) struct LeavingNews {
    /// The replica; `None` if its entry is not known.
    pub replica: Option<Arc<Replica>>,
    /// Replicas of its pool that still take requests.
    pub ready_in_pool: usize,
}
