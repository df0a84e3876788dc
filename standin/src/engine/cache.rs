//! The engine's prefix cache: blocks of tokens with LRU eviction.

use std::collections::{BTreeMap, HashMap};

use rapidhash::v3::{RapidSecrets, rapidhash_v3_seeded};

pub(crate) const BLOCK_TOKENS: usize = 16;

static HASH_SECRETS: RapidSecrets = RapidSecrets::seed(7);

/// Hashes of prompt blocks that need no prefill.
#[derive(Debug, Default)]
pub struct PrefixCache {
    capacity: usize,
    /// Logical time of the latest access.
    clock: u64,
    /// Time of the last access, by block hash.
    last_access: HashMap<u64, u64>,
    /// Block hash by time of the last access, the oldest first.
    lru_order: BTreeMap<u64, u64>,
}

impl PrefixCache {
    /// Creates a cache of at most `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, ..Self::default() }
    }

    /// Stores the blocks of a prompt and returns the length of its prefix that was cached, in
    /// tokens.
    pub fn lookup_and_store(&mut self, tokens: &[&str]) -> usize {
        let mut cached_tokens = 0;
        let mut hash = 0;
        let mut in_prefix = true;
        for block in tokens.chunks_exact(BLOCK_TOKENS) {
            hash = chained_hash(hash, block);
            in_prefix &= self.last_access.contains_key(&hash);
            if in_prefix {
                cached_tokens += BLOCK_TOKENS;
            }
            self.touch(hash);
        }
        cached_tokens
    }

    fn touch(&mut self, hash: u64) {
        self.clock += 1;
        if let Some(previous) = self.last_access.insert(hash, self.clock) {
            self.lru_order.remove(&previous);
        }
        self.lru_order.insert(self.clock, hash);
        if self.last_access.len() <= self.capacity {
            return;
        }
        if let Some((_, oldest)) = self.lru_order.pop_first() {
            self.last_access.remove(&oldest);
        }
    }
}

fn chained_hash(previous: u64, block: &[&str]) -> u64 {
    block.iter().fold(previous.wrapping_add(1), |hash, word| {
        rapidhash_v3_seeded(word.as_bytes(), &HASH_SECRETS)
            .wrapping_add(hash.rotate_left(5))
            .wrapping_mul(0x9E37_79B9_7F4A_7C15)
    })
}
