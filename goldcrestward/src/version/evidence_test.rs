use super::{AddedHarm, Evidence, StandardizedTally};
use crate::version::{Tally, standardized::TallyPair};

/// Guards against steps of a rollout whose log lines do not say what evidence they were taken on.
#[test]
fn evidence_names_counts_and_harm() {
    let mut tally = StandardizedTally::default();
    tally.add(&TallyPair {
        old: Tally { count: 100, failed: 2, slow: 10 },
        new: Tally { count: 50, failed: 1, slow: 12 },
    });
    let evidence = Evidence { tally, harm: AddedHarm { estimate: 0.14, upper: 0.2712 } };
    let expected = "requests=50 failed=1 late=12 old_requests=100 old_failed=2 old_late=10 harm=0.140 harm_upper=0.271";
    assert_eq!(evidence.to_string(), expected);
}
