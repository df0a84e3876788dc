//! `goldcrestward config`: validates, changes and shows the configuration.

use std::{collections::BTreeMap, path::Path, sync::Arc, time::Duration};

use http::{Method, StatusCode};
use serde_json::{Value, json};
use snafu::ResultExt;

use super::{
    Run,
    client::{get, request},
    table::{print_json, print_table, rows},
};
use crate::{
    args::{AdminArgs, ConfigAction},
    config::{Document, Error as ConfigError, merge},
    error::{ConfigSnafu, Error, RefusedSnafu, Result},
};

/// Interval between requests for the status.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait for a change to be in force on all daemons.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Exit code for an invalid configuration.
const EXIT_INVALID: u8 = 3;
/// Exit code for a conflict with another change.
const EXIT_CONFLICT: u8 = 4;
/// Exit code if the configuration is not in force on all daemons.
const EXIT_LAGGING: u8 = 5;

impl Run for ConfigAction {
    fn run(self) -> Result<()> {
        match self {
            Self::Check { json, folder } => check(&folder, json),
            Self::Diff { admin, folder } => diff(&admin, &folder),
            Self::Apply { admin, wait, base, folder } => apply(&admin, &folder, base, wait),
            Self::Put { admin, wait, base, file } => put(&admin, &file, base, wait),
            Self::Remove { admin, wait, base, name } => {
                propose(&admin, vec![json!({ "name": name, "text": null })], base, wait)
            }
            Self::List(admin) => list(&admin),
            Self::Status { admin, wait } => status(&admin, wait),
            Self::Watch(admin) => watch(&admin),
        }
    }
}

/// Reads a folder; any problem in it is an error.
fn read_valid_folder(folder: &Path) -> Result<BTreeMap<Arc<str>, Arc<Document>>> {
    let documents = Document::read_folder(folder).context(ConfigSnafu)?;
    let problems = merge(&documents).problems;
    if problems.is_empty() {
        return Ok(documents);
    }
    Err(Error::Config { source: ConfigError::Invalid { problems } })
}

fn check(folder: &Path, json: bool) -> Result<()> {
    let documents = Document::read_folder(folder).context(ConfigSnafu)?;
    let merged = merge(&documents);
    if json {
        print_json(&json!({ "problems": merged.problems, "overrides": merged.overrides }))?;
    } else {
        let rows: Vec<_> = merged
            .overrides
            .iter()
            .map(|o| vec![o.entry.clone(), o.later.to_string(), o.earlier.to_string()])
            .collect();
        print_table(&["ENTRY", "IN FORCE FROM", "OVERRIDES"], &rows)?;
    }
    if merged.problems.is_empty() {
        return Ok(());
    }
    Err(Error::Config { source: ConfigError::Invalid { problems: merged.problems } })
}

/// Changes that make the configuration in force equal to a folder.
fn changes(admin: &AdminArgs, folder: &Path) -> Result<Vec<Value>> {
    let documents = read_valid_folder(folder)?;
    let in_force = get(admin, "/admin/config")?;
    let files = in_force["files"].as_array().cloned().unwrap_or_default();
    let text = |name: &str| files.iter().find(|f| f["name"] == name).and_then(|f| f["text"].as_str());
    let set = documents
        .iter()
        .filter(|(name, document)| text(name) != Some(&**document.text()))
        .map(|(name, document)| json!({ "name": name, "text": document.text() }));
    let names = files.iter().filter_map(|f| f["name"].as_str());
    let obsolete = names.filter(|name| !documents.contains_key(*name));
    let removed = obsolete.map(|name| json!({ "name": name, "text": null }));
    Ok(set.chain(removed).collect())
}

fn diff(admin: &AdminArgs, folder: &Path) -> Result<()> {
    let changes = changes(admin, folder)?;
    if admin.json {
        return print_json(&json!({ "changes": changes }));
    }
    let rows: Vec<_> = changes
        .iter()
        .map(|change| {
            let what = if change["text"].is_null() { "remove" } else { "set" };
            vec![what.to_owned(), change["name"].as_str().unwrap_or_default().to_owned()]
        })
        .collect();
    print_table(&["CHANGE", "FILE"], &rows)
}

fn apply(admin: &AdminArgs, folder: &Path, base: Option<u64>, wait: bool) -> Result<()> {
    let changes = changes(admin, folder)?;
    propose(admin, changes, base, wait)
}

fn put(admin: &AdminArgs, file: &Path, base: Option<u64>, wait: bool) -> Result<()> {
    let path = file.display().to_string();
    let text =
        std::fs::read_to_string(file).map_err(|source| Error::Config { source: ConfigError::Read { path, source } })?;
    let name = file.file_name().map(|n| n.to_string_lossy().into_owned()).unwrap_or_default();
    propose(admin, vec![json!({ "name": name, "text": text })], base, wait)
}

fn propose(admin: &AdminArgs, changes: Vec<Value>, base: Option<u64>, wait: bool) -> Result<()> {
    let body = json!({ "changes": changes, "base": base });
    let (http_status, value) = request(admin, Method::POST, "/admin/config/propose", Some(&body))?;
    if http_status != StatusCode::OK {
        return fail_refused(&value);
    }
    if admin.json {
        print_json(&value)?;
    } else {
        let result = value["result"].as_str().unwrap_or_default();
        print_table(&["RESULT", "REVISION"], &[vec![result.to_owned(), value["revision"].to_string()]])?;
    }
    if wait { status(admin, true) } else { Ok(()) }
}

/// Fails with the message and exit code of a refused change.
fn fail_refused(value: &Value) -> Result<()> {
    match value["result"].as_str() {
        Some("invalid") => {
            let problems = rows(&value["problems"], &["file", "line", "field", "message"]);
            let lines: Vec<_> = problems.iter().map(|p| format!("{}:{}: {}: {}", p[0], p[1], p[2], p[3])).collect();
            RefusedSnafu { message: lines.join("\n"), code: EXIT_INVALID }.fail()
        }
        Some("conflict") => {
            let changed = rows(&json!([value]), &["changed"]);
            let message = format!(
                "another change came first: revision {} is in force; changed files: {}",
                value["revision"], changed[0][0]
            );
            RefusedSnafu { message, code: EXIT_CONFLICT }.fail()
        }
        _ => {
            let message = value["message"].as_str().or(value["error"].as_str()).unwrap_or("unexpected answer");
            RefusedSnafu { message, code: 1_u8 }.fail()
        }
    }
}

fn list(admin: &AdminArgs) -> Result<()> {
    let value = get(admin, "/admin/config")?;
    if admin.json {
        return print_json(&value);
    }
    print_table(&["FILE", "REVISION"], &rows(&value["files"], &["name", "revision"]))
}

fn status(admin: &AdminArgs, wait: bool) -> Result<()> {
    let start = std::time::Instant::now();
    loop {
        let value = get(admin, "/admin/status")?;
        let everywhere = value["everywhere"].as_bool().unwrap_or(false);
        if wait && !everywhere && start.elapsed() < WAIT_TIMEOUT {
            std::thread::sleep(POLL_INTERVAL);
            continue;
        }
        show_status(admin, &value)?;
        if everywhere {
            return Ok(());
        }
        let message = format!("revision {} is not in force on {} daemons", value["revision"], value["lagging"]);
        return RefusedSnafu { message, code: EXIT_LAGGING }.fail();
    }
}

fn show_status(admin: &AdminArgs, value: &Value) -> Result<()> {
    if admin.json {
        return print_json(value);
    }
    let fields = ["name", "zone", "state", "revision", "in_force", "note"];
    print_table(&["DAEMON", "ZONE", "STATE", "REVISION", "IN FORCE", "NOTE"], &rows(&value["daemons"], &fields))
}

fn watch(admin: &AdminArgs) -> Result<()> {
    let mut last = String::new();
    loop {
        let value = get(admin, "/admin/status")?;
        let lagging: Vec<_> = rows(&value["daemons"], &["name", "in_force"])
            .into_iter()
            .filter(|row| row[1] == "false")
            .map(|row| row[0].clone())
            .collect();
        let line = match lagging.is_empty() {
            true => format!("revision {} is in force everywhere", value["revision"]),
            false => format!("revision {} is not in force on {}", value["revision"], lagging.join(", ")),
        };
        if line != last {
            print_table(&[&line], &[])?;
        }
        last = line;
        std::thread::sleep(POLL_INTERVAL);
    }
}
