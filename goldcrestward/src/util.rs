//! Utilities used throughout the crate.

use std::{
    borrow::Cow,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use sha2::{Digest, Sha256};

/// Derives `Clone`, `Debug` and `PartialEq` for a struct, and for an enum also `Copy`, `Eq`, `Hash` and the orderings.
macro_rules! derive_value_traits {
    ($(#[$meta:meta])* $vis:vis struct $name:ident $body:tt) => {
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq)]
        $vis struct $name $body
    };
    ($(#[$meta:meta])* $vis:vis enum $name:ident $body:tt) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        $vis enum $name $body
    };
}

pub(crate) use derive_value_traits;

/// Current Unix time in milliseconds.
pub(crate) fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// Hash that is the same in every process, as placement and fingerprints require.
pub(crate) fn stable_hash(parts: &[&[u8]]) -> u64 {
    use rapidhash::v3::{RapidSecrets, rapidhash_v3_seeded};

    static SECRETS: RapidSecrets = RapidSecrets::seed(0x6763_7264);
    parts.iter().fold(0, |hash: u64, part| {
        let next = rapidhash_v3_seeded(part, &SECRETS);
        (hash.rotate_left(23) ^ next).wrapping_mul(0x9E37_79B9_7F4A_7C15)
    })
}

/// SHA-256 digest in lowercase hexadecimal digits.
pub(crate) fn sha256_hex(bytes: &[u8]) -> String {
    Sha256::digest(bytes).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Replaces bytes that are not UTF-8, so that one key with such bytes leaves the rest of an answer readable.
pub fn repaired_text(body: Bytes) -> Bytes {
    match String::from_utf8_lossy(&body) {
        Cow::Borrowed(_) => body,
        Cow::Owned(text) => text.into(),
    }
}

#[cfg(test)]
#[path = "util_test.rs"]
mod util_test;
