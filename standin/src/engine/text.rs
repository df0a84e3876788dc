//! Text that an engine generates. It is a function of the prompt, so the load generator can
//! check it.

use rapidhash::v3::{RapidSecrets, rapidhash_v3_seeded};

static HASH_SECRETS: RapidSecrets = RapidSecrets::seed(11);

const WORDS: [&str; 32] = [
    "rice", "lentil", "glass", "amber", "lead", "salt", "broth", "pear", "oat", "blue", "panel", "fish", "mint",
    "arch", "soup", "bean", "ruby", "plum", "leaf", "frame", "bread", "cobalt", "stew", "kale", "solder", "apple",
    "rose", "barley", "putty", "millet", "pane", "corn",
];

/// Hash of a prompt that determines the tokens of its answer, see [`token`].
pub fn prompt_hash(prompt: &str) -> u64 {
    rapidhash_v3_seeded(prompt.as_bytes(), &HASH_SECRETS)
}

/// The token at `index` of the answer to the prompt with this hash, with a trailing space.
pub fn token(hash: u64, index: usize) -> String {
    let mixed = (hash ^ (index as u64).wrapping_mul(0x9E37_79B9_7F4A_7C15)).wrapping_mul(0xD134_2543_DE82_EF95);
    let word = WORDS[(mixed >> 59) as usize];
    format!("{word}{} ", (mixed >> 40) & 0xff)
}

/// The complete answer of `tokens` tokens to a prompt.
pub fn generated_text(prompt: &str, tokens: usize) -> String {
    let hash = prompt_hash(prompt);
    (0..tokens).map(|index| token(hash, index)).collect()
}
