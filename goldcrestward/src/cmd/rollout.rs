//! `goldcrestward rollout`: shows rollouts of new versions.

use std::time::Duration;

use serde_json::Value;

use super::{
    Run,
    client::get,
    table::{print_json, print_table, rows},
};
use crate::{
    args::{AdminArgs, RolloutAction},
    error::Result,
};

/// Interval between requests for the state of rollouts.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

impl Run for RolloutAction {
    fn run(self) -> Result<()> {
        match self {
            Self::Status(admin) => show(&admin, &get(&admin, "/admin/rollout")?),
            Self::Watch(admin) => watch(&admin),
        }
    }
}

fn show(admin: &AdminArgs, value: &Value) -> Result<()> {
    if admin.json {
        return print_json(value);
    }
    let fields = ["version", "pool", "step", "share", "seconds_left", "obstacle", "outcome", "reason", "holder"];
    let headings = ["VERSION", "POOL", "STEP", "SHARE", "SECONDS LEFT", "OBSTACLE", "OUTCOME", "REASON", "HOLDER"];
    print_table(&headings, &rows(&value["versions"], &fields))?;
    let evidence: Vec<_> = rows(&value["versions"], &["version", "evidence"]);
    evidence
        .iter()
        .filter(|row| row[1] != "-")
        .try_for_each(|row| print_table(&[&format!("{}: {}", row[0], row[1])], &[]))
}

fn watch(admin: &AdminArgs) -> Result<()> {
    let mut last = Value::Null;
    loop {
        let value = get(admin, "/admin/rollout")?;
        if value != last {
            show(admin, &value)?;
        }
        last = value;
        std::thread::sleep(POLL_INTERVAL);
    }
}
