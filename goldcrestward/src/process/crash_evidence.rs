//! Evidence on which requests and prompt parts crash back ends.
//!
//! Every part of a request that a replica was beginning to answer when it crashed is accused of the crash, and so is the request as a
//! whole: its fingerprint counts as a part that only requests like it have. A complete answer to a request clears its parts. A part
//! that alone explains several crashes is condemned. Accusations and answers reach the other daemons as facts.

use std::collections::{BTreeMap, HashMap};

use crate::util::derive_value_traits;

/// Replicas that must have crashed, each at another time, before a part is condemned.
const CONDEMN_CRASHES: usize = 3;
/// Time within which crashes count as one event.
const MOMENT_GAP_MS: u64 = 200;
/// Time from the first accusation until a part may be condemned, in which other daemons can clear it.
const SETTLE_MS: u64 = 1_000;
/// Time for which a complete answer speaks for a part.
const ANSWER_TTL_MS: u64 = 10_000;
/// Rounding of the end of that time, so that daemons that clear the same part mostly agree on it.
const CLEAR_GRANULARITY_MS: u64 = 1_000;
/// Parts, and whole requests, with a recent answer that are remembered in one period of [`ANSWER_TTL_MS`].
const MAX_ANSWERED: usize = 16_384;
/// Parts about which accusations are kept.
const MAX_SUSPECTS: usize = 4_096;

/// Parts with a complete answer in this period and in the one before.
#[derive(Debug, Default)]
struct RecentAnswers {
    current: HashMap<u64, u64>,
    previous: HashMap<u64, u64>,
    period: u64,
}

impl RecentAnswers {
    fn record(&mut self, part: u64, agreed_ms: u64) {
        let period = agreed_ms / ANSWER_TTL_MS;
        if period != self.period {
            self.previous = std::mem::take(&mut self.current);
            self.period = period;
        }
        if self.current.len() < MAX_ANSWERED || self.current.contains_key(&part) {
            self.current.insert(part, agreed_ms);
        }
    }

    /// The time until which the last answer speaks for the part; 0 if there is none.
    fn clears_until(&self, part: u64) -> u64 {
        let answered = self.current.get(&part).or_else(|| self.previous.get(&part));
        answered.map_or(0, |at| clear_end(*at))
    }
}

fn clear_end(answered_ms: u64) -> u64 {
    (answered_ms + ANSWER_TTL_MS).next_multiple_of(CLEAR_GRANULARITY_MS)
}

#[derive(Clone, Copy, Debug)]
struct Accusation {
    /// Time of the crash that the daemons agree on, as Unix time in ms.
    crashed_ms: u64,
    /// When this daemon learned of it, in ms since its start.
    learned_at: u64,
    /// Unix time in ms at which it expires.
    until_ms: u64,
}

#[derive(Debug, Default)]
struct Suspect {
    /// Accusations by the replica's run.
    crashes: BTreeMap<u64, Accusation>,
    /// Accusations up to this agreed Unix time in ms are void.
    cleared_until: u64,
}

impl Suspect {
    fn valid_crashes(&self) -> impl Iterator<Item = (u64, &Accusation)> {
        let valid = self.crashes.iter().filter(|(_, accusation)| accusation.crashed_ms > self.cleared_until);
        valid.map(|(run, accusation)| (*run, accusation))
    }
}

derive_value_traits! {
    /// Parts that crash replicas: a request with all of them is refused. There are several if the crashes do not tell them apart.
    pub(crate) struct Condemned {
        pub parts: Vec<u64>,
        /// Replicas that crashed.
        pub crashes: usize,
    }
}

/// What this daemon knows about the parts of prompts that may crash replicas.
#[derive(Debug, Default)]
pub(crate) struct CrashEvidence {
    suspects: HashMap<u64, Suspect>,
    answers: RecentAnswers,
    /// Apart from those of parts, as most requests come once and would leave no room for parts.
    request_answers: RecentAnswers,
    condemned: Vec<Condemned>,
}

impl CrashEvidence {
    /// Records a complete answer to a request with these parts. Returns the parts that it clears of accusations, with the agreed
    /// Unix time in ms up to which they are cleared.
    pub fn record_answer(&mut self, parts: impl Iterator<Item = u64>, agreed_ms: u64) -> Vec<(u64, u64)> {
        let mut cleared = Vec::new();
        for part in parts {
            self.answers.record(part, agreed_ms);
            cleared.extend(self.cleared_by_answer(part, agreed_ms));
        }
        cleared
    }

    /// Records a complete answer to a request with this fingerprint; see [`Self::record_answer`].
    pub fn record_request_answer(&mut self, fingerprint: u64, agreed_ms: u64) -> Option<(u64, u64)> {
        self.request_answers.record(fingerprint, agreed_ms);
        self.cleared_by_answer(fingerprint, agreed_ms)
    }

    fn cleared_by_answer(&self, part: u64, agreed_ms: u64) -> Option<(u64, u64)> {
        let is_accused = self.suspects.get(&part)?.valid_crashes().next().is_some();
        is_accused.then(|| (part, clear_end(agreed_ms)))
    }

    /// The time until which the last answer of this daemon speaks for the part; 0 if there is none.
    fn answered_until(&self, part: u64) -> u64 {
        self.answers.clears_until(part).max(self.request_answers.clears_until(part))
    }

    /// Whether this daemon has a recent answer that speaks for a part accused of a crash at this time. Returns the time up to which it does.
    pub fn contradicts(&self, part: u64, crashed_ms: u64) -> Option<u64> {
        let until = self.answered_until(part);
        let known = self.suspects.get(&part).map_or(0, |suspect| suspect.cleared_until);
        (until >= crashed_ms && known < crashed_ms).then_some(until)
    }

    /// Whether an answer that this daemon knows of speaks for the part at this time.
    pub fn is_cleared(&self, part: u64, crashed_ms: u64) -> bool {
        let known = self.suspects.get(&part).map_or(0, |suspect| suspect.cleared_until);
        self.answered_until(part).max(known) >= crashed_ms
    }

    /// Accuses a part of the crash of a replica's run at `crashed_ms`. The accusation expires at `until_ms`.
    pub fn accuse(&mut self, part: u64, run: u64, crashed_ms: u64, until_ms: u64, now: u64) {
        self.make_room(part);
        let suspect = self.suspects.entry(part).or_default();
        suspect.crashes.entry(run).or_insert(Accusation { crashed_ms, learned_at: now, until_ms });
    }

    /// Voids the accusations of a part up to this agreed Unix time in ms.
    pub fn clear(&mut self, part: u64, until_ms: u64) {
        self.make_room(part);
        let suspect = self.suspects.entry(part).or_default();
        suspect.cleared_until = suspect.cleared_until.max(until_ms);
    }

    /// Removes what has expired and decides again which parts are condemned. Returns those that were not before.
    pub fn judge(&mut self, unix_ms: u64, now: u64) -> Vec<Condemned> {
        if self.suspects.is_empty() {
            return Vec::new();
        }
        self.suspects.retain(|_, suspect| {
            suspect.crashes.retain(|_, accusation| accusation.until_ms > unix_ms);
            !suspect.crashes.is_empty() || suspect.cleared_until > unix_ms
        });
        let before = std::mem::take(&mut self.condemned);
        self.condemned = self.explain(now);
        let is_new = |new: &&Condemned| before.iter().all(|old| old.parts != new.parts);
        self.condemned.iter().filter(is_new).cloned().collect()
    }

    /// Number of crashes of which the part is accused and not cleared.
    pub fn crash_count(&self, part: u64) -> usize {
        self.suspects.get(&part).map_or(0, |suspect| suspect.valid_crashes().count())
    }

    /// Whether one of these parts is accused of enough crashes to be condemned, once other daemons have had time to clear it.
    pub fn is_suspect(&self, mut parts: impl Iterator<Item = u64>) -> bool {
        parts.any(|part| self.crash_count(part) >= CONDEMN_CRASHES)
    }

    /// The condemned parts that these parts include, if any.
    pub fn refusal(&self, parts: impl Iterator<Item = u64> + Clone) -> Option<&Condemned> {
        self.condemned.iter().find(|condemned| condemned.parts.iter().all(|part| parts.clone().any(|own| own == *part)))
    }

    pub fn condemned(&self) -> &[Condemned] {
        &self.condemned
    }

    /// The accusations of a part that are not void: the replica's run, the time of the crash and the time of expiry, both as Unix time in ms.
    pub fn accusations(&self, part: u64) -> Vec<(u64, u64, u64)> {
        let Some(suspect) = self.suspects.get(&part) else { return Vec::new() };
        suspect.valid_crashes().map(|(run, accusation)| (run, accusation.crashed_ms, accusation.until_ms)).collect()
    }

    /// Attributes crashes to as few parts as possible: that with the most crashes first, which takes its crashes from the others.
    fn explain(&self, now: u64) -> Vec<Condemned> {
        // Runs of crashed replicas with the times of their crashes, by part.
        let mut open: BTreeMap<u64, BTreeMap<u64, u64>> = BTreeMap::new();
        for (part, suspect) in &self.suspects {
            let runs: BTreeMap<u64, u64> =
                suspect.valid_crashes().map(|(run, crash)| (run, crash.crashed_ms)).collect();
            if runs.len() >= CONDEMN_CRASHES {
                open.insert(*part, runs);
            }
        }
        let mut condemned = Vec::new();
        while let Some(runs) = open.values().max_by_key(|runs| runs.len()).cloned() {
            if runs.len() < CONDEMN_CRASHES {
                break;
            }
            let has_same_runs = |own: &BTreeMap<u64, u64>| own.keys().eq(runs.keys());
            let parts: Vec<u64> = open.iter().filter(|(_, own)| has_same_runs(own)).map(|(part, _)| *part).collect();
            if count_moments(runs.values().copied()) >= CONDEMN_CRASHES
                && parts.iter().all(|part| self.is_settled(*part, now))
            {
                condemned.push(Condemned { crashes: runs.len(), parts });
            }
            for own in open.values_mut() {
                own.retain(|run, _| !runs.contains_key(run));
            }
        }
        condemned
    }

    /// Forgets parts if there is no room for another: those with the fewest crashes, which were mostly accused by chance, and of these the oldest.
    fn make_room(&mut self, part: u64) {
        if self.suspects.len() < MAX_SUSPECTS || self.suspects.contains_key(&part) {
            return;
        }
        let latest = |suspect: &Suspect| suspect.valid_crashes().map(|(_, accusation)| accusation.learned_at).max();
        let rank = |(part, suspect): (&u64, &Suspect)| (suspect.valid_crashes().count(), latest(suspect), *part);
        let mut ranked: Vec<_> = self.suspects.iter().map(rank).collect();
        ranked.sort_unstable();
        for (.., part) in ranked.into_iter().take(MAX_SUSPECTS / 4) {
            self.suspects.remove(&part);
        }
    }

    fn is_settled(&self, part: u64, now: u64) -> bool {
        let Some(suspect) = self.suspects.get(&part) else { return false };
        let first = suspect.valid_crashes().map(|(_, accusation)| accusation.learned_at).min();
        first.is_some_and(|first| now.saturating_sub(first) >= SETTLE_MS)
    }
}

/// Number of times at which crashes happened. Replicas that crash at the same time do so for a reason of their own, such as a loss of power.
fn count_moments(crashed_ms: impl Iterator<Item = u64>) -> usize {
    let mut times: Vec<u64> = crashed_ms.collect();
    times.sort_unstable();
    let mut last = None;
    times.retain(|time| {
        let is_apart = last.is_none_or(|last| time - last >= MOMENT_GAP_MS);
        last = if is_apart { Some(*time) } else { last };
        is_apart
    });
    times.len()
}

#[cfg(test)]
#[path = "crash_evidence_test.rs"]
mod crash_evidence_test;
