//! Order of the changes of a key-value service, across restores from a copy.

use std::fmt;

/// Bits of the number within a history.
const NUMBER_BITS: u32 = 40;
const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;
const MAX_HISTORY: u64 = u64::MAX >> NUMBER_BITS;

/// A revision of the key-value service: the history that it belongs to, and the number that the service gave it there.
///
/// The service gives numbers out again after it was restored from a copy, so numbers of different histories say nothing
/// about each other. Any revision of a later history is higher than all of an earlier one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision(u64);

impl Revision {
    /// Before any change; as a condition: the key does not exist.
    pub const NONE: Self = Self(0);

    /// Returns the revision with this number in a history.
    pub const fn new(history: u64, number: u64) -> Self {
        let history = if history > MAX_HISTORY { MAX_HISTORY } else { history };
        let number = if number > MAX_NUMBER { MAX_NUMBER } else { number };
        Self((history << NUMBER_BITS) | number)
    }

    /// The history that it belongs to.
    pub const fn history(self) -> u64 {
        self.0 >> NUMBER_BITS
    }

    /// The number that the service gave it.
    pub const fn number(self) -> u64 {
        self.0 & MAX_NUMBER
    }

    /// The revision after this one in its history.
    pub const fn next(self) -> Self {
        Self::new(self.history(), self.number() + 1)
    }

    /// The revision before this one in its history.
    pub const fn previous(self) -> Self {
        Self::new(self.history(), self.number().saturating_sub(1))
    }

    /// Whether it stands for no change at all.
    pub const fn is_none(self) -> bool {
        self.0 == 0
    }

    /// A number in the same order, for messages, metrics and fencing tokens.
    pub const fn ordinal(self) -> u64 {
        self.0
    }

    /// The revision with this [`Revision::ordinal`].
    pub(crate) const fn from_ordinal(ordinal: u64) -> Self {
        Self(ordinal)
    }
}

impl fmt::Display for Revision {
    /// Writes `HISTORY/NUMBER`, or the number alone where the service does not tell histories apart.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.history() {
            0 => write!(f, "{}", self.number()),
            history => write!(f, "{history}/{}", self.number()),
        }
    }
}

#[cfg(test)]
#[path = "revision_test.rs"]
mod revision_test;
