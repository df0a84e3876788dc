//! Tests of the configuration that remains beside files of other writers.

use std::sync::Arc;

use super::{Compilation, Document, StoredDocument};
use crate::store::Revision;

const SITE: &str = "pools: { orders: { kind: plain } }\nroutes: { a: { pool: orders, prefix: /a/ } }";
const ZONE: &str = "zones: { north-a: { region: north } }";
const POOLS: &str = "pools: { orders: { kind: plain } }";
const ROUTE_A: &str = "routes: { a: { pool: orders, prefix: /a/ } }";
const ROUTE_B: &str = "routes: { b: { pool: orders, prefix: /b/ } }";
/// Takes the prefix of the route `a`, before it in the order of names.
const CONTRADICTING: &str = "routes: { _a: { pool: orders, prefix: /a/ } }";
const UNREADABLE: &str = "routes: [";

/// Name, revision and text of each file.
type Files = &'static [(&'static str, u64, &'static str)];
/// Routes in force, and refused files; `None` if the result is not valid.
type Outcome = Option<(&'static [&'static str], &'static [&'static str])>;

fn document(name: &str, text: &str) -> Arc<Document> {
    Arc::new(Document::parse(&name.into(), text.into()))
}

fn file(name: &str, revision: u64, text: &str) -> StoredDocument {
    let (name, document) = (name.into(), document(name, text));
    StoredDocument { name, revision: Revision::new(0, revision), document, last_readable: None }
}

/// Routes in force, and refused files; `None` if the result is not valid.
fn result(compilation: Compilation) -> Option<(Vec<String>, Vec<String>)> {
    let Compilation { merged, refused } = compilation;
    let routes = merged.site.routes.keys().map(ToString::to_string).collect();
    let refused = refused.iter().map(|problem| problem.file.to_string()).collect();
    merged.problems.is_empty().then_some((routes, refused))
}

#[test]
fn readable_files_are_compiled_without_the_others() {
    let cases: [(&str, Files, Outcome); 6] = [
        ("all valid", &[("1", 1, SITE), ("2", 2, ROUTE_B)], Some((&["a", "b"], &[]))),
        ("one unreadable", &[("1", 1, SITE), ("2", 2, UNREADABLE)], Some((&["a"], &["2"]))),
        ("first unreadable", &[("0", 3, UNREADABLE), ("1", 1, SITE)], Some((&["a"], &["0"]))),
        ("the others need it", &[("1", 3, UNREADABLE), ("2", 2, ROUTE_A)], None),
        ("nothing else", &[("1", 1, UNREADABLE)], None),
        ("contradicting", &[("1", 1, SITE), ("2", 2, CONTRADICTING)], None),
    ];
    for (what, files, expected) in cases {
        let files: Vec<_> = files.iter().map(|(name, revision, text)| file(name, *revision, text)).collect();
        assert_eq!(result(Compilation::of_readable(&files)), expected.map(owned), "{what}");
    }
}

#[test]
fn last_readable_content_replaces_that_which_cannot_be_read() {
    let last_readable = Some(document("1", SITE));
    let files = [StoredDocument { last_readable, ..file("1", 3, UNREADABLE) }, file("2", 2, ROUTE_B)];
    assert_eq!(result(Compilation::of_readable(&files)), Some(owned((&["a", "b"], &["1"]))));
}

#[test]
fn newer_files_that_contradict_older_ones_are_left_out() {
    // The revision of what was written last is given where it is none of the files.
    let cases: [(&str, Files, Option<u64>, Outcome); 8] = [
        ("contradicting", &[("1", 1, SITE), ("2", 2, CONTRADICTING)], None, Some((&["a"], &["2"]))),
        ("before the others by name", &[("0", 2, CONTRADICTING), ("1", 1, SITE)], None, Some((&["a"], &["0"]))),
        (
            "and a newer one that does not",
            &[("1", 1, SITE), ("2", 2, CONTRADICTING), ("3", 3, ROUTE_B)],
            None,
            Some((&["a", "b"], &["2"])),
        ),
        (
            "files of one change that need each other",
            &[("1", 1, ROUTE_A), ("2", 1, POOLS), ("3", 2, CONTRADICTING)],
            None,
            Some((&["a"], &["3"])),
        ),
        ("no older file is valid", &[("1", 1, ROUTE_A), ("2", 2, ROUTE_B)], None, None),
        ("a newer one cannot be read", &[("1", 1, SITE), ("2", 2, CONTRADICTING), ("3", 3, UNREADABLE)], None, None),
        (
            "a file that others need is overwritten",
            &[("0", 1, ZONE), ("1", 3, UNREADABLE), ("2", 2, ROUTE_A)],
            None,
            None,
        ),
        ("a file that others need is gone", &[("0", 1, ZONE), ("2", 2, ROUTE_A)], Some(3), None),
    ];
    for (what, files, newest, expected) in cases {
        let files: Vec<_> = files.iter().map(|(name, revision, text)| file(name, *revision, text)).collect();
        let newest = newest.map(|number| Revision::new(0, number)).or(files.iter().map(|file| file.revision).max());
        let compilation = Compilation::of_oldest(&files, newest.expect("some files"));
        assert_eq!(compilation.and_then(result), expected.map(owned), "{what}");
    }
}

fn owned((routes, refused): (&[&str], &[&str])) -> (Vec<String>, Vec<String>) {
    let texts = |texts: &[&str]| texts.iter().map(ToString::to_string).collect();
    (texts(routes), texts(refused))
}
