//! One slot of the ledger as a state machine without I/O.
//!
//! The slot's head key holds its owner and a fencing token; its segment keys hold the
//! entries, and only the last segment is still written. Every write is a transaction that
//! compares the revisions of the head and of the segment written, so a write by a previous
//! owner, or one that arrives late, has no effect. When the answer to a write is lost, the
//! slot is read back to learn whether it took effect.

mod commits;

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::Arc,
};

use super::{
    commit_limiter::CommitLimiter,
    entry::{Entry, EntryState, Key},
    message::{Effect, Settlement, StoreResult, Ticket},
    rows::{MAX_SEGMENT, decode_segment, find_head, head_put, segment_number},
    state::{Batch, OpenSegment, Phase, Segment, WaitingClaim},
};
use crate::{
    pb::{self, Grant},
    store::{Compare, Error, Revision, Row, TxnOutcome},
};

/// Segments of a slot at which new keys are refused.
const MAX_SEGMENTS: usize = 256;
/// Time for which a key is kept after its last change.
const RETENTION_S: u64 = 24 * 3600;
/// Age at which an open claim counts as one that may have run.
const CLAIM_TTL_S: u64 = 300;
const MAX_WAITING_CLAIMS: usize = 4096;
/// Time that an outcome waits for a claim to share its commit.
const SETTLE_DELAY_MS: u64 = 1_000;
const RETRY_DELAY_MS: u64 = 300;
/// Consecutive failed calls at which waiting claims are refused.
const MAX_FAILURES: u32 = 3;

/// One slot at one daemon.
#[derive(Clone, Debug, Default)]
pub(crate) struct Slot {
    prefix: String,
    owner_id: String,
    address: String,
    phase: Phase,
    wanted: bool,
    /// Whether the slot is being given up for good.
    is_closing: bool,
    call_pending: bool,
    head_revision: Revision,
    fencing_token: u64,
    commit_sequence: u64,
    entries: HashMap<Key, Entry>,
    segments: BTreeMap<u32, Segment>,
    open: OpenSegment,
    waiting: VecDeque<WaitingClaim>,
    /// Whether a settlement has come that will be sent again, for which the slot has to be owned.
    is_settlement_due: bool,
    dirty: Vec<Key>,
    dirty_since: Option<u64>,
    batch: Batch,
    commit_limiter: CommitLimiter,
    not_before_ms: u64,
    failures: u32,
    dispatch_before_commit: bool,
}

impl Slot {
    /// Creates the slot `number` of a site. `owner_id` must be unique to this process and never reused.
    pub fn new(site: &str, number: u32, owner_id: String, address: String) -> Self {
        Self { prefix: format!("/goldcrestward/{site}/ledger/{number}/"), owner_id, address, ..Self::default() }
    }

    /// Injects a fault that the state-space search must find: requests are granted before the commit.
    #[cfg(test)]
    pub fn inject_early_dispatch(&mut self) {
        self.dispatch_before_commit = true;
    }

    /// Prefix of the slot's keys in the key-value service.
    pub fn prefix(&self) -> &str {
        &self.prefix
    }

    /// Whether this daemon believes that it owns the slot; a new owner shows only at the next commit.
    pub fn is_owned(&self) -> bool {
        matches!(self.phase, Phase::Owned | Phase::Committing | Phase::Reconciling)
    }

    /// Whether no call is pending, no claim waits for an answer and no change waits to be written, and a slot that is
    /// being closed has been given up.
    pub fn is_flushed(&self) -> bool {
        !(self.has_pending() || (self.is_closing && self.is_owned()))
    }

    fn has_pending(&self) -> bool {
        self.call_pending || !self.waiting.is_empty() || !self.dirty.is_empty() || self.phase == Phase::Reconciling
    }

    /// Begins to give the slot up for good: what is pending is written at once, and nothing new is claimed, or others
    /// could keep the slot from ever being flushed.
    pub fn close(&mut self, now_ms: u64, unix_s: u64) -> Vec<Effect> {
        self.is_closing = true;
        let mut effects = self.set_wanted(false, now_ms, unix_s);
        effects.extend(self.advance(now_ms, unix_s));
        effects
    }

    /// The claims that the pending commit grants.
    pub fn committing(&self) -> Vec<Ticket> {
        self.batch.tickets.iter().map(|(ticket, ..)| *ticket).collect()
    }

    /// Sets whether this daemon should own the slot by the current membership.
    pub fn set_wanted(&mut self, wanted: bool, now_ms: u64, unix_s: u64) -> Vec<Effect> {
        self.wanted = wanted && !self.is_closing;
        if self.wanted {
            return self.advance(now_ms, unix_s);
        }
        if self.is_owned() || self.call_pending {
            return Vec::new();
        }
        self.phase = Phase::Idle;
        self.refuse_waiting(Grant::NotOwner)
    }

    /// Claims the right to run a request.
    pub fn claim(
        &mut self,
        ticket: Ticket,
        key: Key,
        fingerprint: u64,
        request: Arc<str>,
        now_ms: u64,
        unix_s: u64,
    ) -> Vec<Effect> {
        let claim = WaitingClaim { ticket, key, fingerprint, request };
        if !self.is_owned() && !self.wanted {
            return vec![Effect::Reply(ticket, Grant::NotOwner, None)];
        }
        if self.is_owned() {
            if self.shares_commit(&claim) {
                self.batch.tickets.push((ticket, claim.key, claim.request));
                return Vec::new();
            }
            if let Some((Grant::Done, outcome)) = self.recorded_answer(&claim, unix_s) {
                return vec![Effect::Reply(ticket, Grant::Done, outcome)];
            }
        }
        if self.is_closing {
            return vec![Effect::Reply(ticket, Grant::NotOwner, None)];
        }
        if self.waiting.len() >= MAX_WAITING_CLAIMS {
            return vec![Effect::Reply(ticket, Grant::Unavailable, None)];
        }
        self.waiting.push_back(claim);
        self.advance(now_ms, unix_s)
    }

    /// Records how a claim ended; false if this daemon does not hold the claim. A claim that still waits is withdrawn.
    pub fn settle(&mut self, settlement: Settlement, now_ms: u64, unix_s: u64) -> (bool, Vec<Effect>) {
        let withdrawn = self.withdraw(&settlement);
        let is_withdrawn = !withdrawn.is_empty();
        let (recorded, mut effects) = self.settle_entry(settlement, now_ms, unix_s);
        effects.extend(withdrawn);
        (recorded || (is_withdrawn && self.is_owned()), effects)
    }

    /// Refuses the waiting claims of a request that is no longer waited for, so that they are not granted later.
    fn withdraw(&mut self, settlement: &Settlement) -> Vec<Effect> {
        let is_given_up = |claim: &WaitingClaim| claim.key == settlement.key && claim.request == settlement.request;
        let (given_up, waiting) = self.waiting.drain(..).partition(is_given_up);
        self.waiting = waiting;
        let given_up: VecDeque<WaitingClaim> = given_up;
        given_up.into_iter().map(|claim| Effect::Reply(claim.ticket, Grant::Unavailable, None)).collect()
    }

    fn settle_entry(&mut self, settlement: Settlement, now_ms: u64, unix_s: u64) -> (bool, Vec<Effect>) {
        if !self.is_owned() {
            // The owner before may be gone for good, and the settlement is what shows that the claim has run.
            self.is_settlement_due = self.wanted;
            return (false, self.advance(now_ms, unix_s));
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
        entry.updated_at = unix_s;
        self.dirty.push(settlement.key);
        self.dirty_since.get_or_insert(now_ms);
        (true, self.advance(now_ms, unix_s))
    }

    /// Starts the calls that have become due.
    pub fn tick(&mut self, now_ms: u64, unix_s: u64) -> Vec<Effect> {
        self.advance(now_ms, unix_s)
    }

    /// Handles the result of the pending `Load` or `Txn`.
    pub fn on_store_result(&mut self, result: StoreResult, now_ms: u64, unix_s: u64) -> Vec<Effect> {
        self.call_pending = false;
        let mut effects = match result {
            StoreResult::Loaded(Ok(rows)) => self.on_loaded(&rows, unix_s),
            StoreResult::Executed(Ok(txn)) => self.on_txn_outcome(txn, unix_s),
            StoreResult::Loaded(Err(_)) => self.on_failure(now_ms),
            StoreResult::Executed(Err(error)) => self.on_txn_error(&error, now_ms),
        };
        effects.extend(self.advance(now_ms, unix_s));
        effects
    }

    /// Whether the pending commit grants this claim to the same request, which has sent it again as the connection of the
    /// first one ended.
    fn shares_commit(&self, claim: &WaitingClaim) -> bool {
        let is_same_content = self.entries.get(&claim.key).is_some_and(|entry| entry.fingerprint == claim.fingerprint);
        let is_same = |(_, key, request): &(Ticket, Key, Arc<str>)| *key == claim.key && *request == claim.request;
        is_same_content && self.batch.tickets.iter().any(is_same)
    }

    fn recorded_answer(&self, claim: &WaitingClaim, unix_s: u64) -> Option<(Grant, Option<pb::Outcome>)> {
        let Some(entry) = self.entries.get(&claim.key) else {
            return self.has_lost_entries(unix_s).then_some((Grant::MayHaveRun, None));
        };
        if entry.state == EntryState::Free || entry.updated_at + RETENTION_S <= unix_s {
            return None;
        }
        if entry.fingerprint != claim.fingerprint {
            return Some((Grant::Mismatch, None));
        }
        let in_batch = self.batch.tickets.iter().any(|(_, key, _)| *key == claim.key);
        Some(match entry.state {
            EntryState::Done => (Grant::Done, entry.outcome.clone()),
            // The same request claims again because the answer to its first claim was lost.
            EntryState::Open if entry.request == claim.request && !in_batch => (Grant::Run, None),
            EntryState::Open if entry.updated_at + CLAIM_TTL_S > unix_s => (Grant::InProgress, None),
            _ => (Grant::MayHaveRun, None),
        })
    }

    /// Whether the key of any request may have been in a segment that another program has overwritten.
    fn has_lost_entries(&self, unix_s: u64) -> bool {
        let is_kept = |segment: &Segment| segment.last_updated_at + RETENTION_S > unix_s;
        self.segments.values().any(|segment| segment.is_overwritten && is_kept(segment))
    }

    fn advance(&mut self, now_ms: u64, unix_s: u64) -> Vec<Effect> {
        self.commit_limiter.refill(now_ms);
        if self.call_pending || now_ms < self.not_before_ms {
            return Vec::new();
        }
        match self.phase {
            Phase::Idle if self.wanted && (self.is_settlement_due || !self.waiting.is_empty()) => {
                self.load(Phase::Loading)
            }
            Phase::Loading | Phase::Entering => self.load(self.phase),
            Phase::Reconciling => self.load(Phase::Reconciling),
            Phase::Owned if self.is_closing && !self.has_pending() => self.lose_ownership(),
            Phase::Owned => self.flush(now_ms, unix_s),
            Phase::Idle | Phase::Acquiring | Phase::Committing => Vec::new(),
        }
    }

    fn load(&mut self, phase: Phase) -> Vec<Effect> {
        self.phase = phase;
        self.is_settlement_due = false;
        self.call_pending = true;
        vec![Effect::Load]
    }

    fn on_loaded(&mut self, rows: &[Row], unix_s: u64) -> Vec<Effect> {
        self.failures = 0;
        if self.phase == Phase::Reconciling {
            return self.reconcile_commit(rows, unix_s);
        }
        let last_fence = self.load_entries(rows, unix_s);
        let row = find_head(rows, &self.prefix);
        let revision = row.as_ref().map_or(Revision::NONE, |row| row.revision);
        let head = row.and_then(|row| row.head);
        if let Some(head) = head.as_ref().filter(|head| head.owner == self.owner_id) {
            self.head_revision = revision;
            self.fencing_token = head.fence;
            self.phase = Phase::Owned;
            return Vec::new();
        }
        if self.phase == Phase::Entering {
            return self.lose_ownership();
        }
        // The head may be absent or not readable although there were owners.
        self.fencing_token = head.map_or(0, |head| head.fence).max(last_fence) + 1;
        self.phase = Phase::Acquiring;
        self.call_pending = true;
        let put = head_put(&self.prefix, self.fencing_token, &self.owner_id, &self.address);
        let compare = Compare { key: put.key.clone(), revision };
        vec![Effect::Txn(vec![compare], vec![put], Vec::new())]
    }

    fn clear_entries(&mut self) {
        self.entries.clear();
        self.segments.clear();
        self.dirty.clear();
        self.dirty_since = None;
    }

    /// Loads the entries of all segments, and returns the highest fencing token of any. An entry that a previous owner left
    /// open becomes unknown, as its request may have run.
    fn load_entries(&mut self, rows: &[Row], unix_s: u64) -> u64 {
        self.clear_entries();
        let (mut last_fence, mut last_number) = (0, None);
        for row in rows {
            let Some(number) = segment_number(row, &self.prefix) else { continue };
            let Some(segment) = decode_segment(row) else {
                self.segments.insert(number, Segment::unreadable(row, unix_s));
                continue;
            };
            last_fence = last_fence.max(segment.fence);
            last_number = last_number.max(Some(number));
            let mut last_updated_at = 0;
            for mut entry in segment.entries.into_iter().filter_map(Entry::from_wire) {
                last_updated_at = last_updated_at.max(entry.updated_at);
                if entry.state == EntryState::Open {
                    entry.state = EntryState::Unknown;
                }
                if entry.updated_at + RETENTION_S > unix_s {
                    self.entries.insert(entry.key, entry);
                }
            }
            self.segments.insert(number, Segment { revision: row.revision, last_updated_at, is_overwritten: false });
        }
        self.open = OpenSegment::begin(self.free_number(last_number));
        last_fence
    }

    /// First number after another one, or of all, under which no segment is known.
    fn free_number(&self, after: Option<u32>) -> u32 {
        let first = after.map_or(0, |number| number + 1);
        (first..).find(|number| !self.segments.contains_key(number)).unwrap_or(first)
    }

    /// Whether no further key can be recorded.
    fn is_full(&self) -> bool {
        self.segments.len() >= MAX_SEGMENTS || self.open.number > MAX_SEGMENT
    }

    fn on_txn_outcome(&mut self, txn: TxnOutcome, unix_s: u64) -> Vec<Effect> {
        self.failures = 0;
        match self.phase {
            Phase::Acquiring => {
                self.phase = if txn.succeeded { Phase::Entering } else { Phase::Loading };
                Vec::new()
            }
            Phase::Committing if txn.succeeded => self.on_commit_succeeded(txn.revision, unix_s),
            // A condition failed: another daemon took the slot, or an earlier attempt at this commit arrived late.
            _ => {
                self.phase = Phase::Reconciling;
                Vec::new()
            }
        }
    }

    /// Gives the slot up to another daemon: requests whose claim was not committed must not run here.
    fn lose_ownership(&mut self) -> Vec<Effect> {
        self.phase = Phase::Idle;
        self.clear_entries();
        let mut effects = self.refuse_waiting(Grant::NotOwner);
        let batch = std::mem::take(&mut self.batch);
        effects.extend(batch.tickets.into_iter().map(|(ticket, ..)| Effect::Reply(ticket, Grant::NotOwner, None)));
        effects
    }

    fn refuse_waiting(&mut self, grant: Grant) -> Vec<Effect> {
        let claims = self.batch.checked.drain(..).chain(self.waiting.drain(..));
        claims.map(|claim| Effect::Reply(claim.ticket, grant, None)).collect()
    }

    fn on_failure(&mut self, now_ms: u64) -> Vec<Effect> {
        self.failures += 1;
        self.not_before_ms = now_ms + RETRY_DELAY_MS;
        if self.failures < MAX_FAILURES {
            return Vec::new();
        }
        if matches!(self.phase, Phase::Loading | Phase::Entering) {
            self.phase = Phase::Idle;
        }
        self.refuse_waiting(Grant::Unavailable)
    }

    fn on_txn_error(&mut self, error: &Error, now_ms: u64) -> Vec<Effect> {
        let effects = self.on_failure(now_ms);
        self.phase = match (self.phase, error) {
            (Phase::Acquiring, _) => Phase::Loading,
            _ => Phase::Reconciling,
        };
        effects
    }
}
