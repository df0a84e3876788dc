//! The order of statements that runs are leaving.

use quickcheck::quickcheck;

use super::{LeavingRuns, LeavingSource, RETENTION_MS};

const RUN: u64 = 1;

fn source(is_entry: bool) -> LeavingSource {
    if is_entry { LeavingSource::Entry } else { LeavingSource::Answer }
}

quickcheck! {
    fn first_is_the_earliest_statement_in_any_order(statements: Vec<(bool, u16)>) -> bool {
        let state_all = |statements: &mut dyn Iterator<Item = &(bool, u16)>| {
            let mut runs = LeavingRuns::default();
            let news = statements.filter(|(is_entry, at)| runs.state(RUN, source(*is_entry), u64::from(*at), 0)).count();
            (news, runs.first(RUN).map(|(_, at)| at))
        };
        let forward = state_all(&mut statements.iter());
        let earliest = statements.iter().map(|(_, at)| u64::from(*at)).min();
        forward == state_all(&mut statements.iter().rev())
            && forward == (usize::from(!statements.is_empty()), earliest)
    }
}

#[test]
fn first_names_the_source_that_said_so_earlier() {
    let mut runs = LeavingRuns::default();
    assert_eq!(runs.first(RUN), None);
    assert!(runs.state(RUN, LeavingSource::Answer, 50, 60));
    assert!(!runs.state(RUN, LeavingSource::Entry, 70, 70));
    assert_eq!(runs.first(RUN), Some((LeavingSource::Answer, 50)));
    assert!(!runs.state(RUN, LeavingSource::Entry, 40, 80));
    assert_eq!(runs.first(RUN), Some((LeavingSource::Entry, 40)));
    assert_eq!(runs.first(RUN + 1), None);
}

#[test]
fn state_forgets_runs_long_after_their_last_statement() {
    let mut runs = LeavingRuns::default();
    runs.state(RUN, LeavingSource::Answer, 0, 0);
    runs.state(RUN + 1, LeavingSource::Answer, 0, RETENTION_MS - 1);
    assert!(runs.first(RUN).is_some());
    runs.state(RUN + 1, LeavingSource::Answer, 0, RETENTION_MS);
    assert_eq!(runs.first(RUN), None);
    assert!(runs.first(RUN + 1).is_some());
}
