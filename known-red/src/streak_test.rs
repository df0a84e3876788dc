//! Tests of the count of passes in a row.

use super::streak::Streak;

#[test]
fn record_counts_passes_since_last_failure() {
    let folder = tempfile::tempdir().expect("the temporary directory is created");
    let file = folder.path().join("passes");
    let results = [(true, 1), (true, 2), (false, 0), (true, 1), (true, 2), (true, 3)];
    for (passed, expected) in results {
        let passes = Streak::new(file.clone()).record(passed).expect("the file can be written");
        assert_eq!(passes, expected);
    }
}
