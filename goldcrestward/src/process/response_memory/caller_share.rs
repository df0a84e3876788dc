//! Decides which whole responses may be kept until their callers have read them.

use std::collections::HashMap;

use super::byte_budget::HolderId;

#[derive(Debug)]
struct Holder {
    bytes: usize,
    /// When the caller took something last, counted in pieces that any caller has taken.
    taken_at: u64,
}

/// Bytes of whole responses on their way to callers, apart from those that are being read from servers.
///
/// When there are too many, the responses give way first whose callers have taken nothing for the longest.
#[derive(Debug)]
pub(crate) struct CallerShare {
    limit: usize,
    holders: HashMap<HolderId, Holder>,
    total: usize,
    pieces: u64,
}

impl CallerShare {
    /// Creates a share of `limit` bytes. A single response may have more.
    pub fn new(limit: usize) -> Self {
        Self { limit, holders: HashMap::new(), total: 0, pieces: 0 }
    }

    /// Bytes of all responses.
    pub fn total(&self) -> usize {
        self.total
    }

    /// Adds a whole response; returns those that have given way to it and hold nothing now.
    pub fn add(&mut self, id: HolderId, bytes: usize) -> Vec<HolderId> {
        let mut victims = Vec::new();
        while self.total + bytes > self.limit {
            let Some(victim) = self.slowest() else { break };
            self.remove(victim);
            victims.push(victim);
        }
        self.pieces += 1;
        self.total += bytes;
        self.holders.insert(id, Holder { bytes, taken_at: self.pieces });
        victims
    }

    /// Records that the caller of a response has taken a piece of it.
    pub fn record_taken(&mut self, id: HolderId) {
        self.pieces += 1;
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.taken_at = self.pieces;
        }
    }

    /// Gives back what a response holds.
    pub fn remove(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.remove(&id) {
            self.total -= holder.bytes;
        }
    }

    fn slowest(&self) -> Option<HolderId> {
        self.holders.iter().min_by_key(|(_, holder)| holder.taken_at).map(|(id, _)| *id)
    }
}

#[cfg(test)]
#[path = "caller_share_test.rs"]
mod caller_share_test;
