//! The rate limit that a replica names in its answers, as one daemon knows it.

use crate::port::StatedLimit;

/// Change of a limit, relative to it, from which other daemons are told.
const NEWS_FRACTION: f64 = 0.1;

/// The rate limit that a replica has named.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct NamedLimit {
    /// Requests a second from all daemons together; `None` if it has named none or withdrawn it.
    pub per_second: Option<f64>,
    /// Agreed Unix time in ms of the answer that last said so; 0 if none has.
    pub named_ms: u64,
}

impl NamedLimit {
    /// Applies an answer to a request that was sent at `sent_ms`, received at `now_ms`. Returns whether the limit changes.
    ///
    /// Answers may overtake each other, so only one to a request that was sent after the limit was named can raise or withdraw it.
    pub fn apply_answer(&mut self, stated: StatedLimit, sent_ms: u64, now_ms: u64) -> bool {
        let per_second = match stated {
            StatedLimit::Unreadable => return false,
            StatedLimit::Unlimited => None,
            StatedLimit::PerSecond(rate) => Some(rate),
        };
        let loosens = match (self.per_second, per_second) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(known), Some(rate)) => rate > known,
        };
        if loosens && sent_ms < self.named_ms {
            return false;
        }
        let changes = self.per_second != per_second;
        if changes || per_second.is_some() {
            *self = Self { per_second, named_ms: now_ms };
        }
        changes
    }

    /// Whether other daemons should be told of this limit, which was `before`. They learn small changes from their own answers.
    pub fn is_news(&self, before: &Self) -> bool {
        match (before.per_second, self.per_second) {
            (Some(before), Some(rate)) => (rate - before).abs() > NEWS_FRACTION * before,
            (before, rate) => before.is_some() != rate.is_some(),
        }
    }

    /// Applies what another daemon knows as of `named_ms`. Returns whether the limit changes.
    pub fn learn(&mut self, per_second: Option<f64>, named_ms: u64) -> bool {
        if named_ms <= self.named_ms {
            return false;
        }
        let changes = self.per_second != per_second;
        *self = Self { per_second, named_ms };
        changes
    }
}

#[cfg(test)]
#[path = "named_limit_test.rs"]
mod named_limit_test;
