//! Commits of a slot at its owner, and checks that it still is the owner.

use prost::Message;

use super::{RETENTION_S, SETTLE_DELAY_MS, Slot};
use crate::{
    ledger::{
        entry::{Entry, EntryState, Key},
        message::Effect,
        rows::{decode_segment, find_head, segment_key, segment_number},
        state::{Batch, OpenSegment, Phase, Segment, WaitingClaim},
    },
    pb::{self, Grant},
    store::{Compare, Put, Revision, Row},
};

impl Slot {
    pub(super) fn flush(&mut self, now_ms: u64, unix_s: u64) -> Vec<Effect> {
        let mut effects = Vec::new();
        let is_due = |since| self.is_closing || now_ms.saturating_sub(since) >= SETTLE_DELAY_MS;
        let overdue = self.dirty_since.is_some_and(is_due);
        let due = !self.waiting.is_empty() || overdue;
        if !due || !self.commit_limiter.allows() {
            return effects;
        }
        if self.open.is_full() {
            self.open = OpenSegment::begin(self.free_number(Some(self.open.number)));
        }
        self.batch = Batch::default();
        while let Some(claim) = self.waiting.pop_front() {
            self.admit(claim, unix_s, &mut effects);
        }
        for key in std::mem::take(&mut self.dirty) {
            self.append(key);
        }
        self.dirty_since = None;
        if !self.batch.writes {
            effects.extend((!self.batch.checked.is_empty()).then(|| self.start_check()));
            return effects;
        }
        self.commit_limiter.record();
        self.batch.removes = self.expired_segments(unix_s);
        effects.push(self.start_commit());
        if self.dispatch_before_commit {
            let granted = self.batch.tickets.drain(..).map(|(ticket, ..)| Effect::Reply(ticket, Grant::Run, None));
            effects.extend(granted);
        }
        effects
    }

    fn admit(&mut self, claim: WaitingClaim, unix_s: u64, effects: &mut Vec<Effect>) {
        if self.shares_commit(&claim) {
            self.batch.tickets.push((claim.ticket, claim.key, claim.request));
            return;
        }
        match self.recorded_answer(&claim, unix_s) {
            Some((Grant::Done, outcome)) => return effects.push(Effect::Reply(claim.ticket, Grant::Done, outcome)),
            Some(_) => return self.batch.checked.push(claim),
            None => {}
        }
        if self.is_full() {
            effects.push(Effect::Reply(claim.ticket, Grant::Full, None));
            return;
        }
        let entry = Entry {
            key: claim.key,
            fingerprint: claim.fingerprint,
            state: EntryState::Open,
            updated_at: unix_s,
            request: claim.request.clone(),
            outcome: None,
        };
        self.entries.insert(claim.key, entry);
        self.append(claim.key);
        self.batch.tickets.push((claim.ticket, claim.key, claim.request));
    }

    fn append(&mut self, key: Key) {
        let Some(entry) = self.entries.get(&key) else { return };
        self.open.add(key, entry.size());
        self.batch.writes = true;
    }

    fn expired_segments(&self, unix_s: u64) -> Vec<u32> {
        let is_expired = |s: &Segment| s.last_updated_at + RETENTION_S <= unix_s;
        self.segments.iter().filter(|(n, s)| **n != self.open.number && is_expired(s)).map(|(n, _)| *n).collect()
    }

    /// Checks that this daemon still owns the slot, without a write.
    fn start_check(&mut self) -> Effect {
        self.phase = Phase::Committing;
        self.call_pending = true;
        Effect::Txn(vec![self.head_compare()], Vec::new(), Vec::new())
    }

    fn head_compare(&self) -> Compare {
        Compare { key: format!("{}head", self.prefix), revision: self.head_revision }
    }

    fn start_commit(&mut self) -> Effect {
        self.phase = Phase::Committing;
        self.call_pending = true;
        self.commit_sequence += 1;
        let entries = self.open.keys.iter().filter_map(|key| self.entries.get(key));
        let segment = pb::LedgerSegment {
            fence: self.fencing_token,
            commit: self.commit_sequence,
            entries: entries.map(Into::into).collect(),
        };
        let key = segment_key(&self.prefix, self.open.number);
        let revision = self.open_revision();
        let compares = vec![self.head_compare(), Compare { key: key.clone(), revision }];
        let removes = self.batch.removes.iter().map(|n| segment_key(&self.prefix, *n)).collect();
        Effect::Txn(compares, vec![Put { key, value: segment.encode_to_vec(), lease: 0 }], removes)
    }

    /// Revision of the open segment as it was last stored.
    fn open_revision(&self) -> Revision {
        self.segments.get(&self.open.number).map_or(Revision::NONE, |segment| segment.revision)
    }

    pub(super) fn on_commit_succeeded(&mut self, revision: Revision, unix_s: u64) -> Vec<Effect> {
        self.phase = Phase::Owned;
        let batch = std::mem::take(&mut self.batch);
        if batch.writes {
            let last_updated_at = self.open.keys.iter().filter_map(|k| self.entries.get(k)).map(|e| e.updated_at).max();
            let last_updated_at = last_updated_at.unwrap_or(0);
            self.segments.insert(self.open.number, Segment { revision, last_updated_at, is_overwritten: false });
        }
        for number in batch.removes {
            self.segments.remove(&number);
        }
        let granted = batch.tickets.into_iter().map(|(ticket, ..)| Effect::Reply(ticket, Grant::Run, None));
        let mut effects: Vec<Effect> = granted.collect();
        for claim in batch.checked {
            match self.recorded_answer(&claim, unix_s) {
                Some((grant, outcome)) => effects.push(Effect::Reply(claim.ticket, grant, outcome)),
                None => self.waiting.push_back(claim),
            }
        }
        effects
    }

    /// Writes the open segment under another number from now on, as another program has written or removed its key. All
    /// its entries are known here, so that the commit which writes them also removes what has overwritten it.
    fn move_open_segment(&mut self, rows: &[Row], unix_s: u64) {
        let before = self.segments.remove(&self.open.number);
        for row in rows {
            let Some(number) = segment_number(row, &self.prefix) else { continue };
            let added = Segment { revision: row.revision, last_updated_at: unix_s, is_overwritten: false };
            self.segments.entry(number).or_insert(added);
        }
        if before.is_some() && self.segments.contains_key(&self.open.number) {
            self.batch.removes.push(self.open.number);
        }
        self.open.number = self.free_number(Some(self.open.number));
    }

    pub(super) fn reconcile_commit(&mut self, rows: &[Row], unix_s: u64) -> Vec<Effect> {
        let head = find_head(rows, &self.prefix).and_then(|row| row.head);
        if head.is_none_or(|head| head.owner != self.owner_id || head.fence != self.fencing_token) {
            return self.lose_ownership();
        }
        if !self.batch.writes {
            return self.on_commit_succeeded(Revision::NONE, unix_s);
        }
        let key = segment_key(&self.prefix, self.open.number);
        let stored = rows.iter().find(|row| row.key == key);
        let segment = stored.and_then(decode_segment);
        let is_stored = segment.is_some_and(|s| s.fence == self.fencing_token && s.commit == self.commit_sequence);
        if let Some(row) = stored.filter(|_| is_stored) {
            return self.on_commit_succeeded(row.revision, unix_s);
        }
        // The commit has not taken effect but may still arrive. The retry compares the same revisions, so at most
        // one of the two succeeds.
        self.commit_sequence -= 1;
        if stored.map_or(Revision::NONE, |row| row.revision) != self.open_revision() {
            self.move_open_segment(rows, unix_s);
        }
        vec![self.start_commit()]
    }
}
