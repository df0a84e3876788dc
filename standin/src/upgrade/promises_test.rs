//! Tests of the checks of promises.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use super::promises::BrokenPromises;
use crate::load::LoadReport;

/// Name, load, executions by key, and the lines that are expected.
type Case = (&'static str, LoadReport, &'static [(&'static str, u64)], &'static [&'static str]);

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

#[test]
fn check_load_names_each_broken_promise() {
    let whole = LoadReport { streams: 5, keyed: 5, whole: 10, ..LoadReport::default() };
    let cases: [Case; 11] = [
        ("whole", whole.clone(), &[("a", 1)], &[]),
        ("none", LoadReport::default(), &[], &["no request was answered"]),
        ("cut at a killed daemon", LoadReport { cut: 1, cut_at: vec![address(1)], ..whole.clone() }, &[], &[]),
        (
            "cut elsewhere",
            LoadReport { cut: 2, cut_at: vec![address(1), address(2)], ..whole.clone() },
            &[],
            &["1 streams were cut off or unanswered at 127.0.0.1:2, which was not killed"],
        ),
        (
            "sent again",
            LoadReport { unanswered_at: vec![address(1), address(2), address(2)], ..whole.clone() },
            &[],
            &["2 requests were not answered by 127.0.0.1:2, which was not killed, and sent again"],
        ),
        ("keyed", LoadReport { unanswered: 2, ..whole.clone() }, &[], &["2 keyed requests got no whole answer"]),
        ("wrong", LoadReport { wrong: 1, ..whole.clone() }, &[], &["1 answers were not those of their requests"]),
        (
            "refused",
            LoadReport { refused: BTreeMap::from([("overloaded/not-run".into(), 3)]), ..whole.clone() },
            &[],
            &["3 requests were refused in the end with overloaded/not-run"],
        ),
        ("twice", whole.clone(), &[("a", 2), ("b", 1)], &["a was executed 2 times"]),
        (
            "said not to have run",
            LoadReport { said_not_run: vec!["a".into(), "b".into()], ..whole.clone() },
            &[("a", 1)],
            &["a was executed, but reported as not run"],
        ),
        (
            "said to have run",
            LoadReport { said_run: vec!["a".into(), "b".into()], ..whole },
            &[("a", 1)],
            &["b was reported as run, but not executed"],
        ),
    ];
    for (name, report, executions, expected) in cases {
        let mut broken = BrokenPromises::default();
        let executions = executions.iter().map(|(key, count)| ((*key).to_owned(), *count)).collect();
        broken.check_load(&report, &BTreeSet::from([address(1)]), &executions);
        assert_eq!(broken.into_lines(), expected, "{name}");
    }
}

#[test]
fn check_members_names_those_that_differ() {
    let names = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect::<BTreeSet<_>>();
    let running = names(&["a", "b"]);
    let views = BTreeMap::from([("a".to_owned(), names(&["a", "b"])), ("b".to_owned(), names(&["b", "c"]))]);
    let mut broken = BrokenPromises::default();
    broken.check_members(&running, &views, "20 s after a kill");
    let expected = r#"b lacks ["a"] among the living and counts ["c"] too, 20 s after a kill"#;
    assert_eq!(broken.into_lines(), [expected]);
}

#[test]
fn check_load_allows_unknown_runs_only_after_kills() {
    let refused = BTreeMap::from([("earlier-may-have-run/may-have-run".to_owned(), 1)]);
    let report = LoadReport { keyed: 2, whole: 1, refused, ..LoadReport::default() };
    let expected = ["1 requests were refused in the end with earlier-may-have-run/may-have-run"];
    for (killed, expected) in [(BTreeSet::new(), &expected[..]), (BTreeSet::from([address(1)]), &[])] {
        let mut broken = BrokenPromises::default();
        broken.check_load(&report, &killed, &BTreeMap::new());
        assert_eq!(broken.into_lines(), expected, "{} killed", killed.len());
    }
}
