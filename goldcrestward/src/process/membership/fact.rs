//! Facts that only grow: of two with the same kind and key the higher value holds.

use std::{collections::BTreeMap, sync::Arc};

use crate::{
    pb,
    util::{stable_hash, value},
};

/// Facts kept at most; beyond it new ones are dropped.
const FACTS: usize = 20_000;

value! {
    /// What a fact is about.
    pub(crate) enum FactKind {
        /// A version has been taken back; the key is its name.
        TakenBack,
        /// A replica crashed under a request; the key joins the request's fingerprint and the replica.
        Crash,
        /// A replica is leaving; the key is its name.
        Leaving,
        /// An operator has cleared a fingerprint, which is the key.
        Clear,
        /// Step that the move to a version has reached; the key is its name.
        Step,
    }
}

value! {
    /// A statement that all daemons shall learn.
    pub(crate) struct Fact {
        /// What it is about.
        pub kind: FactKind,
        /// Whom it is about.
        pub key: Arc<str>,
        /// The higher of two values holds.
        pub value: u64,
        /// Unix time in ms after which it is forgotten.
        pub until_ms: u64,
        /// Free text for operators.
        pub note: Arc<str>,
    }
}

impl From<&Fact> for pb::Fact {
    fn from(fact: &Fact) -> Self {
        let kind = match fact.kind {
            FactKind::TakenBack => pb::FactKind::TakenBack,
            FactKind::Crash => pb::FactKind::Crash,
            FactKind::Leaving => pb::FactKind::Leaving,
            FactKind::Clear => pb::FactKind::Clear,
            FactKind::Step => pb::FactKind::Step,
        };
        Self {
            kind: kind.into(),
            key: fact.key.to_string(),
            value: fact.value,
            until_ms: fact.until_ms,
            note: fact.note.to_string(),
        }
    }
}

impl Fact {
    /// The fact in a message; `None` for a kind that this version does not know.
    pub fn from_wire(fact: pb::Fact) -> Option<Self> {
        let kind = match fact.kind() {
            pb::FactKind::Unspecified => return None,
            pb::FactKind::TakenBack => FactKind::TakenBack,
            pb::FactKind::Crash => FactKind::Crash,
            pb::FactKind::Leaving => FactKind::Leaving,
            pb::FactKind::Clear => FactKind::Clear,
            pb::FactKind::Step => FactKind::Step,
        };
        let (value, until_ms) = (fact.value, fact.until_ms);
        Some(Self { kind, key: fact.key.into(), value, until_ms, note: fact.note.into() })
    }
}

/// The facts known to a daemon.
#[derive(Default)]
pub(crate) struct Facts {
    rows: BTreeMap<(FactKind, Arc<str>), Fact>,
}

impl Facts {
    /// Takes a fact in; false if it is not new or out of date.
    pub fn merge(&mut self, fact: &Fact, now_ms: u64) -> bool {
        if fact.until_ms <= now_ms {
            return false;
        }
        let key = (fact.kind, fact.key.clone());
        let known = self.rows.get(&key);
        if known.is_some_and(|old| old.value >= fact.value) || (known.is_none() && self.rows.len() >= FACTS) {
            return false;
        }
        self.rows.insert(key, fact.clone());
        true
    }

    /// The value of a fact.
    pub fn get(&self, kind: FactKind, key: &str) -> Option<&Fact> {
        self.rows.get(&(kind, Arc::from(key)))
    }

    /// The facts of one kind.
    pub fn of_kind(&self, kind: FactKind) -> impl Iterator<Item = &Fact> {
        self.rows.values().filter(move |fact| fact.kind == kind)
    }

    /// The facts of one kind whose keys begin with `prefix`.
    pub fn with_prefix<'a>(&'a self, kind: FactKind, prefix: &'a str) -> impl Iterator<Item = &'a Fact> {
        let rows = self.rows.range((kind, Arc::from(prefix))..);
        rows.map(|(_, fact)| fact).take_while(move |fact| fact.kind == kind && fact.key.starts_with(prefix))
    }

    /// All facts.
    pub fn all(&self) -> impl Iterator<Item = &Fact> {
        self.rows.values()
    }

    /// Forgets facts that are out of date; true if there were any.
    pub fn expire(&mut self, now_ms: u64) -> bool {
        let before = self.rows.len();
        self.rows.retain(|_, fact| fact.until_ms > now_ms);
        before != self.rows.len()
    }

    /// A hash over all facts, independent of their order.
    pub fn hash(&self) -> u64 {
        self.rows.values().fold(0, |sum, fact| {
            let kind = [fact.kind as u8];
            sum ^ stable_hash(&[&kind, fact.key.as_bytes(), &fact.value.to_le_bytes()])
        })
    }
}
