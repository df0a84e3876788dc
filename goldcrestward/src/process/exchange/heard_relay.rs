//! The relay of an availability zone that a daemon listens to, of those that speak for the zone.

use std::sync::Arc;

use super::timing::relay_timeout_ms;
use crate::util::stable_hash;

/// Score that ranks the daemons of an availability zone as its relays; the highest speaks.
pub(crate) fn relay_score(name: &str) -> u64 {
    stable_hash(&[b"relay", name.as_bytes()])
}

/// What to do with a message of a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Hearing {
    /// Another relay speaks for the zone.
    Ignore,
    /// Apply the message.
    Same,
    /// Apply the message; totals continue from another relay's, so differences to earlier ones mean nothing.
    Changed,
}

/// The relay that is listened to: the one with the highest score, unless it has been silent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct HeardRelay {
    current: Option<(Arc<str>, u64)>,
    heard_at: u64,
    /// Time from one of its messages to the next, if that is long.
    period_ms: u64,
}

impl HeardRelay {
    /// Records a message of the relay `name`, whose process started at `life`, and which speaks every `period_ms`.
    pub fn hear(&mut self, name: &str, life: u64, period_ms: u64, now: u64) -> Hearing {
        let same = self.current.as_ref().is_some_and(|(current, of)| **current == *name && *of == life);
        let yields = self.current.as_ref().is_none_or(|(current, _)| {
            **current == *name || relay_score(name) > relay_score(current) || self.is_silent(now)
        });
        if !same && !yields {
            return Hearing::Ignore;
        }
        let resumed = same && self.is_silent(now);
        self.heard_at = now;
        self.period_ms = period_ms;
        if same && !resumed {
            return Hearing::Same;
        }
        self.current = Some((name.into(), life));
        Hearing::Changed
    }

    /// Forgets the relay `name`, which has left the site. Returns whether it was the one that is listened to.
    pub fn forget(&mut self, name: &str) -> bool {
        self.current.take_if(|(current, _)| **current == *name).is_some()
    }

    /// Name of the relay, unless it has been silent.
    pub fn name(&self, now: u64) -> Option<&Arc<str>> {
        self.current.as_ref().filter(|_| !self.is_silent(now)).map(|(name, _)| name)
    }

    /// Age in ms of what it said last.
    pub fn age(&self, now: u64) -> u64 {
        now.saturating_sub(self.heard_at)
    }

    fn is_silent(&self, now: u64) -> bool {
        self.age(now) > relay_timeout_ms(self.period_ms)
    }
}

#[cfg(test)]
#[path = "heard_relay_test.rs"]
mod heard_relay_test;
