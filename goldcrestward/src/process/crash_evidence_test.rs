use super::{ANSWER_TTL_MS, CrashEvidence, MOMENT_GAP_MS, SETTLE_MS};

const TTL_MS: u64 = 900_000;
const START_MS: u64 = 1_000_000;
const DEADLY: u64 = 7;
const COMMON: u64 = 1;

/// One daemon's evidence, with the agreed clock starting at [`START_MS`].
#[derive(Default)]
struct Daemon {
    evidence: CrashEvidence,
    now: u64,
}

impl Daemon {
    fn agreed(&self) -> u64 {
        START_MS + self.now
    }

    /// A replica's run crashes while it begins to answer requests with these parts.
    fn crash(&mut self, run: u64, parts: &[u64]) {
        for part in parts {
            if !self.evidence.is_cleared(*part, self.agreed()) {
                self.evidence.accuse(*part, run, self.agreed(), self.agreed() + TTL_MS, self.now);
            }
        }
    }

    fn answer(&mut self, parts: &[u64]) {
        for (part, until) in self.evidence.record_answer(parts.iter().copied(), START_MS + self.now) {
            self.evidence.clear(part, until);
        }
    }

    fn pass(&mut self, ms: u64) {
        self.now += ms;
        self.evidence.judge(START_MS + self.now, self.now);
    }

    fn refuses(&self, parts: &[u64]) -> bool {
        self.evidence.refusal(parts.iter().copied()).is_some()
    }
}

#[test]
fn judge_part_of_three_crashes_is_refused_alone() {
    let mut daemon = Daemon::default();
    daemon.answer(&[COMMON, 2]);
    for run in 0..3 {
        assert!(!daemon.refuses(&[COMMON, DEADLY]), "refused after {run} crashes");
        daemon.crash(run, &[COMMON, DEADLY]);
        daemon.pass(600);
    }
    assert!(daemon.refuses(&[COMMON, DEADLY]));
    assert!(daemon.refuses(&[DEADLY, 99]));
    assert!(!daemon.refuses(&[COMMON, 3]), "a sound request that shares the first part is refused");
    assert!(!daemon.refuses(&[COMMON]));
}

#[test]
fn judge_waits_for_contradiction_when_crashes_come_at_once() {
    let mut daemon = Daemon::default();
    for run in 0..5 {
        daemon.crash(run, &[COMMON, DEADLY]);
        daemon.pass(MOMENT_GAP_MS);
    }
    daemon.evidence.judge(daemon.agreed(), SETTLE_MS / 2);
    assert!(!daemon.refuses(&[COMMON, DEADLY]));
    // Another daemon says that the common part was answered lately.
    daemon.evidence.clear(COMMON, daemon.agreed() + ANSWER_TTL_MS);
    daemon.pass(SETTLE_MS / 2);
    assert!(daemon.refuses(&[COMMON, DEADLY]));
    assert!(!daemon.refuses(&[COMMON, 3]));
}

#[test]
fn judge_replicas_that_crash_at_the_same_time_condemn_nothing() {
    let mut daemon = Daemon::default();
    for run in 0..40 {
        daemon.crash(run, &[50 + run % 3]);
    }
    daemon.pass(SETTLE_MS);
    assert!((50..53).all(|part| !daemon.refuses(&[part])), "the replicas of a zone were lost at once");
    for run in 40..42 {
        daemon.crash(run, &[50]);
        daemon.pass(MOMENT_GAP_MS);
    }
    assert!(daemon.refuses(&[50]) && !daemon.refuses(&[51]));
}

#[test]
fn judge_bystander_of_explained_crashes_is_not_refused() {
    let mut daemon = Daemon::default();
    for run in 0..6 {
        daemon.crash(run, &[DEADLY]);
        if run < 3 {
            daemon.crash(run, &[50]);
        }
        daemon.pass(SETTLE_MS);
    }
    assert!(daemon.refuses(&[DEADLY]));
    assert!(!daemon.refuses(&[50]), "its crashes are explained by another part");
}

#[test]
fn judge_parts_that_always_come_together_are_refused_together() {
    let mut daemon = Daemon::default();
    for run in 0..4 {
        daemon.crash(run, &[8, DEADLY]);
        daemon.pass(SETTLE_MS);
    }
    assert!(daemon.refuses(&[8, DEADLY]));
    assert!(!daemon.refuses(&[8, 9]));
    daemon.answer(&[8, 9]);
    daemon.pass(100);
    assert!(daemon.refuses(&[DEADLY, 9]), "the other part was cleared, so that this one is left");
}

#[test]
fn judge_two_parts_at_the_same_time_are_both_refused() {
    let mut daemon = Daemon::default();
    for run in 0..3 {
        daemon.crash(2 * run, &[COMMON, 70]);
        daemon.answer(&[COMMON, 2]);
        daemon.crash(2 * run + 1, &[COMMON, 71]);
        daemon.pass(SETTLE_MS);
    }
    assert!(daemon.refuses(&[COMMON, 70]) && daemon.refuses(&[COMMON, 71]));
    assert!(!daemon.refuses(&[COMMON, 2]));
}

#[test]
fn accuse_same_run_twice_counts_once() {
    let mut daemon = Daemon::default();
    for _ in 0..5 {
        daemon.crash(1, &[DEADLY]);
        daemon.crash(2, &[DEADLY]);
        daemon.pass(SETTLE_MS);
    }
    assert!(!daemon.refuses(&[DEADLY]));
}

#[test]
fn judge_accusations_expire() {
    let mut daemon = Daemon::default();
    for run in 0..3 {
        daemon.crash(run, &[DEADLY]);
        daemon.pass(MOMENT_GAP_MS);
    }
    daemon.pass(SETTLE_MS);
    assert!(daemon.refuses(&[DEADLY]));
    daemon.pass(TTL_MS);
    assert!(!daemon.refuses(&[DEADLY]));
}

#[test]
fn clear_by_operator_lifts_a_refusal() {
    let mut daemon = Daemon::default();
    for run in 0..3 {
        daemon.crash(run, &[DEADLY]);
        daemon.pass(MOMENT_GAP_MS);
    }
    daemon.pass(SETTLE_MS);
    assert!(daemon.refuses(&[DEADLY]));
    daemon.evidence.clear(DEADLY, daemon.agreed());
    daemon.pass(100);
    assert!(!daemon.refuses(&[DEADLY]));
}

#[test]
fn accuse_flood_of_parts_is_bounded() {
    let mut daemon = Daemon::default();
    for part in 0..100_000 {
        daemon.crash(part % 64, &[1_000 + part]);
        daemon.answer(&[1_000_000 + part]);
    }
    daemon.pass(SETTLE_MS);
    assert!(daemon.evidence.suspects.len() <= super::MAX_SUSPECTS);
    assert!(daemon.evidence.answers.current.len() <= super::MAX_ANSWERED);
}

/// Guards against a loss of many replicas after which no new part can be accused.
#[test]
fn judge_deadly_part_is_found_after_a_flood_of_accusations() {
    let mut daemon = Daemon::default();
    for part in 0..3 * super::MAX_SUSPECTS as u64 {
        daemon.crash(part % 300, &[1_000 + part]);
    }
    for run in 1_000..1_003 {
        daemon.crash(run, &[DEADLY]);
        daemon.pass(SETTLE_MS);
        (0..100).for_each(|part| daemon.crash(run, &[900_000 + 100 * run + part]));
    }
    assert!(daemon.refuses(&[DEADLY]));
}
