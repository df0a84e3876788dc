//! Replacement of all daemons by the same program under load, with changes, a reclaim and a kill in between.

use std::path::PathBuf;

use standin::upgrade::{self, Phase, UpgradeOptions};

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn replacing_all_daemons_breaks_no_promise() {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_goldcrestward"));
    let logs = tempfile::tempdir().expect("a temporary folder");
    let options = UpgradeOptions {
        old: program.clone(),
        new: program,
        daemons: 3,
        phases: vec![Phase::Forward],
        seed: 1,
        logs: Some(logs.path().into()),
    };
    let report = upgrade::run(options).await.expect("the site starts");
    let mut table = Vec::new();
    report.write_table(&mut table).expect("the table is written");
    let table = String::from_utf8_lossy(&table);
    println!("{table}");
    if !report.broken.is_empty() {
        panic!("promises were broken; the daemons' logs are in {}:\n{table}", logs.keep().display());
    }
    let steps: Vec<_> = report.steps.iter().map(|s| (s.in_force_s.is_some(), s.agreed_s.is_some())).collect();
    assert_eq!(steps, [(true, true); 3], "{table}");
    assert!(report.steps.iter().any(|s| s.killed.is_some()) && report.steps.iter().any(|s| s.reclaimed), "{table}");
}
