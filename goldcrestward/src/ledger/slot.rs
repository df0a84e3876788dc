//! One slot of the ledger as a plain state machine.
//!
//! The slot's head key names its owner and a fencing number; its segment keys hold the
//! entries, of which only the last is still written. Every write is a transaction that
//! compares the head and the segment written, so that a write of an earlier owner, or one
//! that arrives late, takes no effect. A write whose answer was lost is settled by reading back.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::Arc,
};

use prost::Message;

use super::{
    commit_limiter::Pace,
    entry::{Entry, EntryState, Key},
    message::{Effect, Settlement, StoreResult, Ticket},
    rows::{find_head, head_put, parse_segment},
    state::{Batch, Claim, Phase, Segment},
};
use crate::{
    pb::{self, Grant},
    store::{Compare, Error, Put, Row, TxnOutcome},
};

/// Bytes after which a segment is not written any more.
const SEGMENT_BYTES: usize = 32 * 1024;
/// Segments of a slot; beyond it new keys are refused.
const SEGMENTS: usize = 256;
/// Time for which a key is kept, in seconds.
const RETENTION_S: u64 = 24 * 3600;
/// Time after which an open claim counts as one that may have run, in seconds.
const CLAIM_S: u64 = 300;
/// Claims waiting for a commit at most.
const WAITING: usize = 4096;
/// Time that an outcome waits for a claim to share its commit, in ms.
const SETTLE_DELAY_MS: u64 = 1_000;
/// Pause after a failed call before the next one, in ms.
const RETRY_MS: u64 = 300;
/// Failed calls in a row after which waiting claims are refused.
const PATIENCE: u32 = 3;

/// One slot at one daemon.
#[derive(Clone, Debug)]
pub(crate) struct Slot {
    prefix: String,
    me: String,
    address: String,
    phase: Phase,
    wanted: bool,
    busy: bool,
    head_revision: u64,
    fence: u64,
    commit: u64,
    entries: HashMap<Key, Entry>,
    segments: BTreeMap<u32, Segment>,
    open: u32,
    open_entries: Vec<Key>,
    open_bytes: usize,
    waiting: VecDeque<Claim>,
    dirty: Vec<Key>,
    dirty_since: Option<u64>,
    batch: Batch,
    pace: Pace,
    not_before: u64,
    failures: u32,
    unsafe_dispatch: bool,
}

impl Slot {
    /// The slot `number` of a site; `me` names this process and no other, ever.
    pub fn new(site: &str, number: u32, me: String, address: String) -> Self {
        Self {
            prefix: format!("/goldcrestward/{site}/ledger/{number}/"),
            me,
            address,
            phase: Phase::Idle,
            wanted: false,
            busy: false,
            head_revision: 0,
            fence: 0,
            commit: 0,
            entries: HashMap::new(),
            segments: BTreeMap::new(),
            open: 0,
            open_entries: Vec::new(),
            open_bytes: 0,
            waiting: VecDeque::new(),
            dirty: Vec::new(),
            dirty_since: None,
            batch: Batch::default(),
            pace: Pace::default(),
            not_before: 0,
            failures: 0,
            unsafe_dispatch: false,
        }
    }

    /// Plants a fault for a test of the tests: rights to run are given before the commit.
    #[cfg(test)]
    pub fn inject_early_dispatch(&mut self) {
        self.unsafe_dispatch = true;
    }

    /// Prefix of the slot's keys in the service.
    pub fn prefix(&self) -> &str {
        &self.prefix
    }

    /// Whether this daemon holds the slot, as far as it knows.
    pub fn is_owned(&self) -> bool {
        matches!(self.phase, Phase::Owned | Phase::Committing | Phase::Settling)
    }

    /// Whether nothing waits to be written or answered.
    pub fn is_settled(&self) -> bool {
        !self.busy && self.waiting.is_empty() && self.dirty.is_empty() && self.phase != Phase::Settling
    }

    /// Says whether the membership wants this daemon to own the slot.
    pub fn want(&mut self, wanted: bool, now: u64, unix: u64) -> Vec<Effect> {
        self.wanted = wanted;
        if wanted {
            return self.advance(now, unix);
        }
        if self.is_owned() || self.busy {
            return Vec::new();
        }
        self.phase = Phase::Idle;
        self.refuse_waiting(Grant::NotOwner)
    }

    /// Asks for the right to run a request. `unix` is the time in seconds.
    pub fn claim(
        &mut self,
        ticket: Ticket,
        key: Key,
        fingerprint: u64,
        request: Arc<str>,
        now: u64,
        unix: u64,
    ) -> Vec<Effect> {
        let claim = Claim { ticket, key, fingerprint, request };
        if !self.is_owned() && !self.wanted {
            return vec![Effect::Reply(ticket, Grant::NotOwner, None)];
        }
        if self.is_owned()
            && let Some((grant, outcome)) = self.known(&claim, unix)
        {
            return vec![Effect::Reply(ticket, grant, outcome)];
        }
        if self.waiting.len() >= WAITING {
            return vec![Effect::Reply(ticket, Grant::Unavailable, None)];
        }
        self.waiting.push_back(claim);
        self.advance(now, unix)
    }

    /// Ends a claim; false if this daemon does not hold it.
    pub fn settle(&mut self, settlement: Settlement, now: u64, unix: u64) -> (bool, Vec<Effect>) {
        if !self.is_owned() {
            return (false, Vec::new());
        }
        let Some(entry) = self.entries.get_mut(&settlement.key) else { return (false, Vec::new()) };
        if entry.request != settlement.request || entry.state == EntryState::Done {
            return (entry.state == EntryState::Done, Vec::new());
        }
        entry.state = match (settlement.ran, &settlement.outcome) {
            (_, Some(_)) => EntryState::Done,
            (true, None) => EntryState::Unknown,
            (false, None) => EntryState::Free,
        };
        entry.outcome = settlement.outcome;
        entry.at = unix;
        self.dirty.push(settlement.key);
        self.dirty_since.get_or_insert(now);
        (true, self.advance(now, unix))
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: u64, unix: u64) -> Vec<Effect> {
        self.advance(now, unix)
    }

    /// Takes the service's answer to the last `Load` or `Commit`.
    pub fn answered(&mut self, result: StoreResult, now: u64, unix: u64) -> Vec<Effect> {
        self.busy = false;
        let mut effects = match result {
            StoreResult::Loaded(Ok(rows)) => self.loaded(&rows, unix),
            StoreResult::Committed(Ok(txn)) => self.committed(txn),
            StoreResult::Loaded(Err(_)) => self.failed(now),
            StoreResult::Committed(Err(error)) => self.uncertain(&error, now),
        };
        effects.extend(self.advance(now, unix));
        effects
    }

    fn known(&self, claim: &Claim, unix: u64) -> Option<(Grant, Option<pb::Outcome>)> {
        let entry = self.entries.get(&claim.key)?;
        if entry.state == EntryState::Free || entry.at + RETENTION_S <= unix {
            return None;
        }
        if entry.fingerprint != claim.fingerprint {
            return Some((Grant::Mismatch, None));
        }
        let in_batch = self.batch.tickets.iter().any(|(_, key, _)| *key == claim.key);
        Some(match entry.state {
            EntryState::Done => (Grant::Done, entry.outcome.clone()),
            // The same request asks again because the answer to it was lost.
            EntryState::Open if entry.request == claim.request && !in_batch => (Grant::Run, None),
            EntryState::Open if entry.at + CLAIM_S > unix => (Grant::InProgress, None),
            _ => (Grant::MayHaveRun, None),
        })
    }

    fn advance(&mut self, now: u64, unix: u64) -> Vec<Effect> {
        self.pace.refill(now);
        if self.busy || now < self.not_before {
            return Vec::new();
        }
        match self.phase {
            Phase::Idle if self.wanted && !self.waiting.is_empty() => self.load(Phase::Loading),
            Phase::Loading => self.load(Phase::Loading),
            Phase::Settling => self.load(Phase::Settling),
            Phase::Owned => self.flush(now, unix),
            Phase::Idle | Phase::Taking | Phase::Committing => Vec::new(),
        }
    }

    fn load(&mut self, phase: Phase) -> Vec<Effect> {
        self.phase = phase;
        self.busy = true;
        vec![Effect::Load]
    }

    fn loaded(&mut self, rows: &[Row], unix: u64) -> Vec<Effect> {
        self.failures = 0;
        if self.phase == Phase::Settling {
            return self.settle_commit(rows);
        }
        self.read(rows, unix);
        let head = find_head(rows, &self.prefix);
        if let Some((head, revision)) = &head
            && head.owner == self.me
        {
            // An earlier write of the head took effect although its answer was lost.
            self.head_revision = *revision;
            self.fence = head.fence;
            self.phase = Phase::Owned;
            return Vec::new();
        }
        let (fence, revision) = head.map_or((0, 0), |(head, revision)| (head.fence, revision));
        self.fence = fence + 1;
        self.phase = Phase::Taking;
        self.busy = true;
        let put = head_put(&self.prefix, self.fence, &self.me, &self.address);
        let compare = Compare { key: put.key.clone(), revision };
        vec![Effect::Commit(vec![compare], vec![put], Vec::new())]
    }

    /// Drops what is known of the slot's keys.
    fn forget(&mut self) {
        self.entries.clear();
        self.segments.clear();
        self.dirty.clear();
        self.dirty_since = None;
    }

    /// Reads all segments; what an earlier owner left open may have run.
    fn read(&mut self, rows: &[Row], unix: u64) {
        self.forget();
        for row in rows {
            let Some((number, segment)) = parse_segment(row, &self.prefix) else { continue };
            let mut newest = 0;
            for mut entry in segment.entries.into_iter().filter_map(Entry::from_wire) {
                newest = newest.max(entry.at);
                if entry.state == EntryState::Open {
                    entry.state = EntryState::Unknown;
                }
                if entry.at + RETENTION_S > unix {
                    self.entries.insert(entry.key, entry);
                }
            }
            self.segments.insert(number, Segment { revision: row.revision, newest });
        }
        self.open = self.segments.keys().next_back().map_or(0, |last| last + 1);
        self.open_entries.clear();
        self.open_bytes = 0;
    }

    fn flush(&mut self, now: u64, unix: u64) -> Vec<Effect> {
        let mut effects = Vec::new();
        let overdue = self.dirty_since.is_some_and(|since| now.saturating_sub(since) >= SETTLE_DELAY_MS);
        let due = !self.waiting.is_empty() || overdue;
        if !due || !self.pace.allows() {
            return effects;
        }
        self.roll();
        self.batch = Batch::default();
        while let Some(claim) = self.waiting.pop_front() {
            self.admit(claim, unix, &mut effects);
        }
        for key in std::mem::take(&mut self.dirty) {
            self.append(key);
        }
        self.dirty_since = None;
        if self.open_entries.is_empty() {
            return effects;
        }
        self.pace.spend();
        self.batch.removes = self.expired(unix);
        effects.push(self.commit());
        if self.unsafe_dispatch {
            let granted = self.batch.tickets.drain(..).map(|(ticket, ..)| Effect::Reply(ticket, Grant::Run, None));
            effects.extend(granted);
        }
        effects
    }

    fn admit(&mut self, claim: Claim, unix: u64, effects: &mut Vec<Effect>) {
        if let Some((grant, outcome)) = self.known(&claim, unix) {
            effects.push(Effect::Reply(claim.ticket, grant, outcome));
            return;
        }
        if self.segments.len() >= SEGMENTS {
            effects.push(Effect::Reply(claim.ticket, Grant::Full, None));
            return;
        }
        let entry = Entry {
            key: claim.key,
            fingerprint: claim.fingerprint,
            state: EntryState::Open,
            at: unix,
            request: claim.request.clone(),
            outcome: None,
        };
        self.entries.insert(claim.key, entry);
        self.append(claim.key);
        self.batch.tickets.push((claim.ticket, claim.key, claim.request));
    }

    fn append(&mut self, key: Key) {
        let Some(entry) = self.entries.get(&key) else { return };
        self.open_bytes += entry.size();
        if !self.open_entries.contains(&key) {
            self.open_entries.push(key);
        }
    }

    /// Begins a new segment when the open one is large.
    fn roll(&mut self) {
        if self.open_bytes >= SEGMENT_BYTES {
            self.open += 1;
            self.open_entries.clear();
            self.open_bytes = 0;
        }
    }

    fn expired(&self, unix: u64) -> Vec<u32> {
        let old = |s: &Segment| s.newest + RETENTION_S <= unix;
        self.segments.iter().filter(|(n, s)| **n != self.open && old(s)).map(|(n, _)| *n).collect()
    }

    fn commit(&mut self) -> Effect {
        self.phase = Phase::Committing;
        self.busy = true;
        self.commit += 1;
        let entries = self.open_entries.iter().filter_map(|key| self.entries.get(key));
        let segment =
            pb::LedgerSegment { fence: self.fence, commit: self.commit, entries: entries.map(Into::into).collect() };
        let key = self.segment_key(self.open);
        let revision = self.segments.get(&self.open).map_or(0, |s| s.revision);
        let head = Compare { key: format!("{}head", self.prefix), revision: self.head_revision };
        let compares = vec![head, Compare { key: key.clone(), revision }];
        let removes = self.batch.removes.iter().map(|n| self.segment_key(*n)).collect();
        Effect::Commit(compares, vec![Put { key, value: segment.encode_to_vec(), lease: 0 }], removes)
    }

    fn segment_key(&self, number: u32) -> String {
        format!("{}segment/{number:08}", self.prefix)
    }

    fn committed(&mut self, txn: TxnOutcome) -> Vec<Effect> {
        self.failures = 0;
        match self.phase {
            Phase::Taking if txn.succeeded => {
                self.head_revision = txn.revision;
                self.phase = Phase::Owned;
                Vec::new()
            }
            Phase::Taking => {
                self.phase = Phase::Loading;
                Vec::new()
            }
            Phase::Committing if txn.succeeded => self.succeeded(txn.revision),
            // A condition failed: another daemon took the slot, or an earlier try of this commit arrived late.
            _ => {
                self.phase = Phase::Settling;
                Vec::new()
            }
        }
    }

    fn succeeded(&mut self, revision: u64) -> Vec<Effect> {
        self.phase = Phase::Owned;
        let newest = self.open_entries.iter().filter_map(|k| self.entries.get(k)).map(|e| e.at).max();
        self.segments.insert(self.open, Segment { revision, newest: newest.unwrap_or(0) });
        let batch = std::mem::take(&mut self.batch);
        for number in batch.removes {
            self.segments.remove(&number);
        }
        batch.tickets.into_iter().map(|(ticket, ..)| Effect::Reply(ticket, Grant::Run, None)).collect()
    }

    fn settle_commit(&mut self, rows: &[Row]) -> Vec<Effect> {
        let head = find_head(rows, &self.prefix);
        if head.is_none_or(|(head, _)| head.owner != self.me || head.fence != self.fence) {
            return self.lose();
        }
        let key = self.segment_key(self.open);
        let stored = rows.iter().find(|row| row.key == key);
        let segment = stored.and_then(|row| pb::LedgerSegment::decode(&row.value[..]).ok());
        let done = segment.is_some_and(|s| s.fence == self.fence && s.commit == self.commit);
        if let Some(row) = stored.filter(|_| done) {
            return self.succeeded(row.revision);
        }
        // It took no effect and may still arrive; the same comparison admits only one of the two.
        self.commit -= 1;
        vec![self.commit()]
    }

    /// Another daemon owns the slot: nothing that was not committed may run here.
    fn lose(&mut self) -> Vec<Effect> {
        self.phase = Phase::Idle;
        self.forget();
        let batch = std::mem::take(&mut self.batch);
        let refused = batch.tickets.into_iter().map(|(ticket, ..)| Effect::Reply(ticket, Grant::NotOwner, None));
        let mut effects: Vec<_> = refused.collect();
        effects.extend(self.refuse_waiting(Grant::NotOwner));
        effects
    }

    fn refuse_waiting(&mut self, grant: Grant) -> Vec<Effect> {
        self.waiting.drain(..).map(|claim| Effect::Reply(claim.ticket, grant, None)).collect()
    }

    fn failed(&mut self, now: u64) -> Vec<Effect> {
        self.failures += 1;
        self.not_before = now + RETRY_MS;
        if self.failures < PATIENCE {
            return Vec::new();
        }
        if self.phase == Phase::Loading {
            self.phase = Phase::Idle;
        }
        self.refuse_waiting(Grant::Unavailable)
    }

    fn uncertain(&mut self, error: &Error, now: u64) -> Vec<Effect> {
        let effects = self.failed(now);
        self.phase = match (self.phase, error) {
            (Phase::Taking, _) => Phase::Loading,
            _ => Phase::Settling,
        };
        effects
    }
}
