//! The engine's limited prefix cache, in blocks with eviction of the least recently used.

use std::collections::{BTreeMap, HashMap};

use rapidhash::v3::{RapidSecrets, rapidhash_v3_seeded};

/// Tokens in a cache block.
pub(crate) const BLOCK_TOKENS: usize = 16;

static SECRETS: RapidSecrets = RapidSecrets::seed(7);

/// Blocks of prompts that need no prefill.
#[derive(Debug, Default)]
pub struct PrefixCache {
    capacity: usize,
    tick: u64,
    blocks: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
}

impl PrefixCache {
    /// A cache of at most `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, ..Self::default() }
    }

    /// Looks a prompt up, stores its blocks, and gives the number of tokens found.
    pub fn admit(&mut self, tokens: &[&str]) -> usize {
        let mut found = 0;
        let mut hash = 0;
        let mut prefix = true;
        for block in tokens.chunks_exact(BLOCK_TOKENS) {
            hash = chain(hash, block);
            prefix &= self.blocks.contains_key(&hash);
            if prefix {
                found += BLOCK_TOKENS;
            }
            self.touch(hash);
        }
        found
    }

    fn touch(&mut self, hash: u64) {
        self.tick += 1;
        if let Some(old) = self.blocks.insert(hash, self.tick) {
            self.order.remove(&old);
        }
        self.order.insert(self.tick, hash);
        if self.blocks.len() <= self.capacity {
            return;
        }
        if let Some((_, oldest)) = self.order.pop_first() {
            self.blocks.remove(&oldest);
        }
    }
}

fn chain(before: u64, block: &[&str]) -> u64 {
    block.iter().fold(before.wrapping_add(1), |hash, word| {
        rapidhash_v3_seeded(word.as_bytes(), &SECRETS)
            .wrapping_add(hash.rotate_left(5))
            .wrapping_mul(0x9E37_79B9_7F4A_7C15)
    })
}
