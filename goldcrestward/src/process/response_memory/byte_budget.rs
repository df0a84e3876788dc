//! Decides which responses may be kept in a limited number of bytes, and which give way.

use std::{collections::HashMap, sync::Arc};

use crate::util::derive_value_traits;

/// Bytes of each response that compete with other responses only for the whole budget, not for the parts of it that are
/// meant for large ones. Hence large responses never keep small ones out.
pub(crate) const SMALL_RESPONSE_BYTES: usize = 64 * 1024;
/// Part of the budget for what responses have beyond [`SMALL_RESPONSE_BYTES`], as a fraction.
const LARGE_SHARE: (usize, usize) = (3, 4);
/// Part of the budget for what the responses of one server have beyond [`SMALL_RESPONSE_BYTES`], as a fraction.
const SERVER_SHARE: (usize, usize) = (1, 4);

/// Number of a response that holds bytes.
pub(crate) type HolderId = u64;

derive_value_traits! {
    /// The limit that a response does not fit in.
    pub enum MemoryLimit {
        /// That of a single response of its kind.
        Response,
        /// That of all responses of its server.
        Server,
        /// That of all responses.
        Daemon,
    }
}

impl MemoryLimit {
    /// Value in metric labels and log lines.
    pub fn label(self) -> &'static str {
        match self {
            Self::Response => "response",
            Self::Server => "server",
            Self::Daemon => "daemon",
        }
    }
}

derive_value_traits! {
    /// Which responses give way to others.
    pub(crate) enum Precedence {
        /// The largest incomplete ones.
        BySize,
        /// None of these, for calls that the daemon depends on. What others hold of the shares does not count for them, only what they hold of the whole budget.
        Always,
    }
}

#[derive(Debug)]
struct Holder {
    server: Arc<str>,
    precedence: Precedence,
    bytes: usize,
    is_whole: bool,
}

impl Holder {
    fn may_give_way(&self) -> bool {
        !self.is_whole && self.precedence == Precedence::BySize
    }
}

/// Shares a number of bytes out among responses.
///
/// When the bytes do not suffice, the largest responses that are incomplete give way to smaller ones.
#[derive(Debug)]
pub(crate) struct ByteBudget {
    limit: usize,
    /// What the responses of one server may have beyond [`SMALL_RESPONSE_BYTES`].
    server_limit: usize,
    holders: HashMap<HolderId, Holder>,
    next: HolderId,
    total: usize,
    /// What responses have beyond [`SMALL_RESPONSE_BYTES`], in all and by server.
    large: usize,
    server_large: HashMap<Arc<str>, usize>,
}

fn large_part(bytes: usize) -> usize {
    bytes.saturating_sub(SMALL_RESPONSE_BYTES)
}

fn share(limit: usize, (part, whole): (usize, usize)) -> usize {
    limit / whole * part
}

impl ByteBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        let server_limit = share(limit, SERVER_SHARE);
        Self { limit, server_limit, holders: HashMap::new(), next: 0, total: 0, large: 0, server_large: HashMap::new() }
    }

    /// Creates a budget of `limit` bytes in which no server has a share of its own.
    pub fn undivided(limit: usize) -> Self {
        Self { server_limit: usize::MAX, ..Self::new(limit) }
    }

    /// The most that one response can hold.
    pub fn largest(&self) -> usize {
        (share(self.limit, LARGE_SHARE) + SMALL_RESPONSE_BYTES).min(self.limit)
    }

    /// Bytes held by all responses.
    pub fn total(&self) -> usize {
        self.total
    }

    /// Adds an incomplete response of a server, which holds no bytes yet.
    pub fn open(&mut self, server: Arc<str>, precedence: Precedence) -> HolderId {
        let id = self.next;
        self.next += 1;
        self.holders.insert(id, Holder { server, precedence, bytes: 0, is_whole: false });
        id
    }

    /// Lets a response hold `bytes` in all. Returns the larger ones that have given way to it; they hold nothing now.
    ///
    /// # Errors
    /// Returns the limit that it does not fit in, if it would be the one to give way. It holds as much as before then.
    pub fn grow(&mut self, id: HolderId, bytes: usize) -> Result<Vec<(HolderId, MemoryLimit)>, MemoryLimit> {
        let victims = self.victims(id, bytes)?;
        for (victim, _) in &victims {
            self.close(*victim);
        }
        self.set_bytes(id, bytes);
        Ok(victims)
    }

    /// Records that a response is complete and holds `bytes`, not more than before. It does not give way any longer.
    pub fn finish(&mut self, id: HolderId, bytes: usize) {
        let Some(holder) = self.holders.get_mut(&id) else { return };
        holder.is_whole = true;
        let bytes = bytes.min(holder.bytes);
        self.set_bytes(id, bytes);
    }

    /// Gives back what a response holds.
    pub fn close(&mut self, id: HolderId) {
        self.set_bytes(id, 0);
        self.holders.remove(&id);
    }

    fn set_bytes(&mut self, id: HolderId, bytes: usize) {
        let Some(holder) = self.holders.get_mut(&id) else { return };
        let (before, after) = (large_part(holder.bytes), large_part(bytes));
        self.total = self.total - holder.bytes + bytes;
        self.large = self.large - before + after;
        holder.bytes = bytes;
        if before == after {
            return;
        }
        let server_large = self.server_large.entry(holder.server.clone()).or_default();
        *server_large = *server_large - before + after;
        if *server_large == 0 {
            self.server_large.remove(&holder.server);
        }
    }

    /// The responses that have to give way to one that is to hold `bytes`, the largest first.
    fn victims(&self, id: HolderId, bytes: usize) -> Result<Vec<(HolderId, MemoryLimit)>, MemoryLimit> {
        let Some(growing) = self.holders.get(&id) else { return Err(MemoryLimit::Daemon) };
        let mut shortage = self.shortage(growing, bytes);
        let mut victims = Vec::new();
        if shortage.limit().is_none() {
            return Ok(victims);
        }
        let gives_way = |holder: &Holder| match growing.precedence {
            Precedence::BySize => holder.may_give_way() && holder.bytes > bytes,
            Precedence::Always => holder.may_give_way(),
        };
        let others = self.holders.iter().filter(|(other, holder)| **other != id && gives_way(holder));
        let mut others: Vec<_> = others.collect();
        others.sort_unstable_by_key(|(other, holder)| (std::cmp::Reverse(holder.bytes), **other));
        for (other, holder) in others {
            let Some(limit) = shortage.limit() else { break };
            let is_same = holder.server == growing.server;
            if shortage.is_eased_by(holder.bytes, is_same) {
                shortage.ease(holder.bytes, is_same);
                victims.push((*other, limit));
            }
        }
        shortage.limit().map_or(Ok(victims), Err)
    }

    /// What the daemon's own calls have beyond [`SMALL_RESPONSE_BYTES`].
    fn protected_large(&self) -> usize {
        let protected = self.holders.values().filter(|holder| holder.precedence == Precedence::Always);
        protected.map(|holder| large_part(holder.bytes)).sum()
    }

    fn shortage(&self, growing: &Holder, bytes: usize) -> Shortage {
        let more_large = large_part(bytes).saturating_sub(large_part(growing.bytes));
        let over =
            |held: usize, more: usize, limit: usize| if more == 0 { 0 } else { (held + more).saturating_sub(limit) };
        let server_large = self.server_large.get(&growing.server).copied().unwrap_or(0);
        let large_share = share(self.limit, LARGE_SHARE);
        let (server, large) = match growing.precedence {
            Precedence::BySize => {
                (over(server_large, more_large, self.server_limit), over(self.large, more_large, large_share))
            }
            // Whole responses may fill the shares until their callers have read them, which the daemon's own calls must not
            // wait for.
            Precedence::Always => (0, over(self.protected_large(), more_large, large_share)),
        };
        Shortage { server, large, total: over(self.total, bytes.saturating_sub(growing.bytes), self.limit) }
    }
}

/// Bytes that a response lacks to grow.
#[derive(Clone, Copy, Debug)]
struct Shortage {
    /// In its server's share.
    server: usize,
    /// In the share of large responses.
    large: usize,
    /// In the budget.
    total: usize,
}

impl Shortage {
    fn limit(self) -> Option<MemoryLimit> {
        if self.server > 0 {
            return Some(MemoryLimit::Server);
        }
        (self.large > 0 || self.total > 0).then_some(MemoryLimit::Daemon)
    }

    /// Whether a response of `bytes` that gives way helps. `is_same` says whether it is of the same server.
    fn is_eased_by(self, bytes: usize, is_same: bool) -> bool {
        let large = large_part(bytes);
        (self.server > 0 && is_same && large > 0) || (self.large > 0 && large > 0) || self.total > 0
    }

    fn ease(&mut self, bytes: usize, is_same: bool) {
        let large = large_part(bytes);
        if is_same {
            self.server = self.server.saturating_sub(large);
        }
        self.large = self.large.saturating_sub(large);
        self.total = self.total.saturating_sub(bytes);
    }
}

#[cfg(test)]
#[path = "byte_budget_test.rs"]
mod byte_budget_test;
