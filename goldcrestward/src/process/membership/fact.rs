//! Grow-only facts: of two facts with the same kind and key, the one with the higher value is kept.

use std::{collections::BTreeMap, sync::Arc};

use crate::{
    pb,
    util::{derive_value_traits, stable_hash},
};

/// New facts are dropped once this many are stored.
const MAX_FACTS: usize = 20_000;

derive_value_traits! {
    /// The event that a fact reports.
    pub(crate) enum FactKind {
        /// A version was rolled back; the key is that of its `VersionPlan`.
        TakenBack,
        /// A replica crashed while it ran a request; the key starts with the request's fingerprint and the
        /// replica's id.
        Crash,
        /// A replica is leaving; the key is its id.
        Leaving,
        /// A fingerprint was cleared of its crashes, by an operator or by an answer; the key is the fingerprint.
        Clear,
        /// A rollout has reached a step, which is the value; the key is that of its `VersionPlan`.
        Step,
        /// A part of a prompt is accused of the crash of a replica; the key joins the part and the replica's run, the
        /// value is the agreed time of the crash.
        PartCrash,
        /// Accusations of a part up to the agreed time that is the value are void; the key is the part.
        PartAnswered,
        /// A replica has named a rate limit, or withdrawn it; the key is its run, the value is the agreed time.
        ServerLimit,
        /// The servers of a pool are brittle; the key is the pool, the value is the agreed time.
        ServerBrittle,
        /// A daemon is being stopped; the key is its name, the value the Unix time in ms at which that began.
        Stopping,
        /// A replica's answers say that it is leaving; the key is its run, the value is the agreed time of the first one.
        ServerLeaving,
        /// An event that this build does not know, with its number in messages. Such a fact is kept and passed on.
        Unknown(i32),
    }
}

impl FactKind {
    /// The kind with this number in messages; `None` if the number stands for none.
    fn from_number(number: i32) -> Option<Self> {
        Some(match pb::FactKind::try_from(number) {
            Ok(pb::FactKind::Unspecified) => return None,
            Ok(pb::FactKind::TakenBack) => Self::TakenBack,
            Ok(pb::FactKind::Crash) => Self::Crash,
            Ok(pb::FactKind::Leaving) => Self::Leaving,
            Ok(pb::FactKind::Clear) => Self::Clear,
            Ok(pb::FactKind::Step) => Self::Step,
            Ok(pb::FactKind::PartCrash) => Self::PartCrash,
            Ok(pb::FactKind::PartAnswered) => Self::PartAnswered,
            Ok(pb::FactKind::ServerLimit) => Self::ServerLimit,
            Ok(pb::FactKind::ServerBrittle) => Self::ServerBrittle,
            Ok(pb::FactKind::Stopping) => Self::Stopping,
            Ok(pb::FactKind::ServerLeaving) => Self::ServerLeaving,
            Err(_) => Self::Unknown(number),
        })
    }

    /// The number in messages.
    fn number(self) -> i32 {
        let kind = match self {
            Self::TakenBack => pb::FactKind::TakenBack,
            Self::Crash => pb::FactKind::Crash,
            Self::Leaving => pb::FactKind::Leaving,
            Self::Clear => pb::FactKind::Clear,
            Self::Step => pb::FactKind::Step,
            Self::PartCrash => pb::FactKind::PartCrash,
            Self::PartAnswered => pb::FactKind::PartAnswered,
            Self::ServerLimit => pb::FactKind::ServerLimit,
            Self::ServerBrittle => pb::FactKind::ServerBrittle,
            Self::Stopping => pb::FactKind::Stopping,
            Self::ServerLeaving => pb::FactKind::ServerLeaving,
            Self::Unknown(number) => return number,
        };
        kind.into()
    }
}

derive_value_traits! {
    /// A statement that is propagated to all daemons.
    pub(crate) struct Fact {
        pub kind: FactKind,
        /// The subject; its format depends on `kind`.
        pub key: Arc<str>,
        /// Of two facts with the same kind and key, the one with the higher value is kept.
        pub value: u64,
        /// Unix time in ms at which the fact expires.
        pub until_ms: u64,
        /// Free text for operators.
        pub note: Arc<str>,
    }
}

impl From<&Fact> for pb::Fact {
    fn from(fact: &Fact) -> Self {
        Self {
            kind: fact.kind.number(),
            key: fact.key.to_string(),
            value: fact.value,
            until_ms: fact.until_ms,
            note: fact.note.to_string(),
        }
    }
}

impl Fact {
    /// Decodes a fact from a message; `None` if it states no kind.
    pub fn from_wire(fact: pb::Fact) -> Option<Self> {
        let kind = FactKind::from_number(fact.kind)?;
        let (value, until_ms) = (fact.value, fact.until_ms);
        Some(Self { kind, key: fact.key.into(), value, until_ms, note: fact.note.into() })
    }
}

/// The unexpired facts that a daemon knows, at most one per kind and key.
#[derive(Default)]
pub(crate) struct Facts {
    entries: BTreeMap<(FactKind, Arc<str>), Fact>,
}

impl Facts {
    /// Stores a fact; false if it has expired, is no newer than the stored one, or finds no space.
    pub fn merge(&mut self, fact: &Fact, now_ms: u64) -> bool {
        if fact.until_ms <= now_ms {
            return false;
        }
        let key = (fact.kind, fact.key.clone());
        let known = self.entries.get(&key);
        if known.is_some_and(|old| old.value >= fact.value) || (known.is_none() && self.entries.len() >= MAX_FACTS) {
            return false;
        }
        self.entries.insert(key, fact.clone());
        true
    }

    pub fn get(&self, kind: FactKind, key: &str) -> Option<&Fact> {
        self.entries.get(&(kind, Arc::from(key)))
    }

    pub fn of_kind(&self, kind: FactKind) -> impl Iterator<Item = &Fact> {
        self.entries.values().filter(move |fact| fact.kind == kind)
    }

    /// Facts of one kind whose keys start with `prefix`, in the order of their keys.
    pub fn with_prefix<'a>(&'a self, kind: FactKind, prefix: &'a str) -> impl Iterator<Item = &'a Fact> {
        let entries = self.entries.range((kind, Arc::from(prefix))..);
        entries.map(|(_, fact)| fact).take_while(move |fact| fact.kind == kind && fact.key.starts_with(prefix))
    }

    pub fn all(&self) -> impl Iterator<Item = &Fact> {
        self.entries.values()
    }

    /// Removes expired facts; true if there were any.
    pub fn expire(&mut self, now_ms: u64) -> bool {
        let before = self.entries.len();
        self.entries.retain(|_, fact| fact.until_ms > now_ms);
        before != self.entries.len()
    }

    /// Order-independent hash of all facts.
    pub fn hash(&self) -> u64 {
        self.entries.values().fold(0, |sum, fact| {
            // Every build must compute the same hash for a fact, whether it knows the kind or not.
            let kind = [fact.kind.number().wrapping_sub(1) as u8];
            sum ^ stable_hash(&[&kind, fact.key.as_bytes(), &fact.value.to_le_bytes()])
        })
    }
}
