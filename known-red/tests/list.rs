//! KNOWN-RED.txt lists exactly the tests that are marked in the sources.

use std::{
    fs,
    path::{Path, PathBuf},
};

use known_red::List;

const PACKAGES: [&str; 3] = ["goldcrestward", "platform", "standin"];
const MARK: &str = "known_red::report!();";

/// A marked test, by the crate of its package and the name of its function.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Marked {
    package: String,
    function: String,
}

fn source_files(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).unwrap_or_else(|error| panic!("{}: {error}", folder.display()));
    let paths = entries.map(|entry| entry.expect("the folder can be read").path());
    paths
        .flat_map(|path| match path.is_dir() {
            true if path.file_name().is_some_and(|name| name == "target") => Vec::new(),
            true => source_files(&path),
            false if path.extension().is_some_and(|extension| extension == "rs") => vec![path],
            false => Vec::new(),
        })
        .collect()
}

/// The crate's name of the package in a folder.
fn crate_name(folder: &Path) -> String {
    let manifest = fs::read_to_string(folder.join("Cargo.toml")).expect("the manifest can be read");
    let name = manifest.lines().find_map(|line| line.strip_prefix("name = \"")?.strip_suffix('"'));
    name.expect("the package has a name").replace('-', "_")
}

/// The tests that are marked in a source file, by the names of their functions.
fn marked_functions(text: &str) -> Vec<String> {
    let lines: Vec<&str> = text.lines().map(str::trim).collect();
    let marks = lines.iter().enumerate().filter(|(_, line)| line.contains(MARK));
    marks
        .map(|(index, line)| {
            let before = index.checked_sub(1).map_or("", |index| lines[index]);
            let name = before.split_once("fn ").and_then(|(_, rest)| rest.split_once("() {"));
            let is_first = *line == MARK && name.is_some_and(|(_, rest)| rest.is_empty());
            assert!(is_first, "{MARK} is not the first statement of a test: {before}");
            name.map(|(name, _)| name.to_owned()).unwrap_or_default()
        })
        .collect()
}

#[test]
fn known_red_lists_exactly_the_marked_tests() {
    let mut marked = Vec::new();
    for folder in PACKAGES.map(|package| List::root().join(package)) {
        for path in source_files(&folder) {
            let text = fs::read_to_string(&path).expect("the source can be read");
            let package = crate_name(&folder);
            marked.extend(
                marked_functions(&text).into_iter().map(|function| Marked { package: package.clone(), function }),
            );
        }
    }
    // Modules are compared when a marked test runs: it fails unless the list has its full name.
    let mut listed: Vec<Marked> = List::read()
        .tests
        .iter()
        .map(|name| {
            let (package, path) = name.split_once("::").unwrap_or_else(|| panic!("{name} is not a full name"));
            let function = path.rsplit("::").next().unwrap_or(path);
            Marked { package: package.to_owned(), function: function.to_owned() }
        })
        .collect();
    marked.sort();
    listed.sort();
    assert_eq!(listed, marked, "KNOWN-RED.txt (left) and the tests marked with {MARK} (right) differ");
}

#[test]
fn known_red_lists_each_test_once() {
    let mut tests = List::read().tests;
    let count = tests.len();
    tests.sort();
    tests.dedup();
    assert_eq!(tests.len(), count);
}

#[test]
fn marked_functions_finds_synchronous_and_asynchronous_tests() {
    let text = "#[test]\nfn one() {\n    known_red::report!();\n}\n\n#[tokio::test]\nasync fn two() {\n    known_red::report!();\n    one();\n}\n";
    assert_eq!(marked_functions(text), ["one", "two"]);
}
