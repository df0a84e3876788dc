//! The entry of the platform's store that outlives the terms of the holders of the duties.

use std::sync::Arc;

/// The last holder of the duties, and in which history of the store it acquired them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LastTerm {
    /// Stated here, as a row's revision is of the history in which it is read.
    pub history: u64,
    pub holder: Arc<str>,
}

impl LastTerm {
    /// Name of the entry.
    pub const KEY: &str = "duty-term";

    /// Reads an entry; what follows the holder's name is for later builds.
    pub fn parse(text: &str) -> Option<Self> {
        let mut words = text.split(' ');
        let (history, holder) = (words.next()?.parse().ok()?, words.next()?.into());
        Some(Self { history, holder })
    }

    pub fn text(&self) -> String {
        format!("{} {}", self.history, self.holder)
    }

    /// Whether no holder of an earlier history can still act in the history with this number: the daemon that acquired the
    /// duties in it waited for that.
    pub fn ended_earlier_terms(&self, number: Option<u64>) -> bool {
        number == Some(self.history)
    }
}

#[cfg(test)]
#[path = "last_term_test.rs"]
mod last_term_test;
