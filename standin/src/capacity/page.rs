//! The tables of the capacity page, made from the measurements.

use std::{fmt::Write as _, fs, path::Path};

use super::{
    fit::Fit,
    rows::{ControlRow, LedgerRow, ReplicaRow, StreamRow, read},
};
use crate::error::{Error, Result};

/// The size of the site that is designed for.
const DAEMONS: f64 = 730.0;
/// Tokens a second of one daemon at an even spread of 17 million.
const TOKENS_PER_DAEMON: f64 = 23_288.0;
/// Requests a second of one daemon at an even spread of 53,000.
const REQUESTS_PER_DAEMON: f64 = 72.6;
/// Replicas of the site.
const REPLICAS: f64 = 12_000.0;

/// A table with the name of its place in the page.
pub struct Table {
    /// Name of the place.
    pub name: &'static str,
    /// The table in Markdown.
    pub text: String,
}

/// A quantity that is fitted over the number of daemons.
struct Quantity {
    name: &'static str,
    value: fn(&ControlRow) -> f64,
    scale: fn(f64) -> f64,
    over: &'static str,
    budget: Option<f64>,
}

fn linear(x: f64) -> f64 {
    x
}

const QUANTITIES: [Quantity; 8] = [
    Quantity {
        name: "CPU of a daemon at rest, % of a core",
        value: |r| r.idle_cpu_percent,
        scale: linear,
        over: "daemon",
        budget: Some(1.2),
    },
    Quantity {
        name: "CPU of a daemon at 0.9 changes/s, %",
        value: |r| r.changing_cpu_percent,
        scale: linear,
        over: "daemon",
        budget: Some(1.2),
    },
    Quantity {
        name: "memory of a daemon, MB",
        value: |r| r.rss_mb,
        scale: linear,
        over: "daemon",
        budget: Some(256.0),
    },
    Quantity {
        name: "bytes/s sent at rest",
        value: |r| r.idle_bytes_per_s,
        scale: linear,
        over: "daemon",
        budget: Some(9_000.0),
    },
    Quantity {
        name: "bytes/s sent at 0.9 changes/s",
        value: |r| r.changing_bytes_per_s,
        scale: linear,
        over: "daemon",
        budget: Some(9_000.0),
    },
    Quantity {
        name: "site's calls/s to the service at rest",
        value: |r| r.idle_kv_calls_per_s,
        scale: linear,
        over: "daemon",
        budget: Some(2_000.0),
    },
    Quantity {
        name: "one change in force everywhere, s",
        value: |r| r.one_in_force_s,
        scale: f64::log2,
        over: "doubling",
        budget: Some(6.0),
    },
    Quantity {
        name: "a killed daemon found dead, s",
        value: |r| r.detect_s,
        scale: f64::log2,
        over: "doubling",
        budget: None,
    },
];

/// All tables from the measurements in `folder`.
///
/// # Errors
/// Fails when a measurement cannot be read.
pub fn tables(folder: &Path) -> Result<Vec<Table>> {
    let control: Vec<ControlRow> = read(&folder.join("control.csv"))?;
    let replicas: Vec<ReplicaRow> = read(&folder.join("replicas.csv"))?;
    let streams: Vec<StreamRow> = read(&folder.join("streams.csv"))?;
    let ledger: Vec<LedgerRow> = read(&folder.join("ledger.csv"))?;
    Ok(vec![
        Table { name: "control", text: control_table(&control) },
        Table { name: "control-fit", text: control_fit(&control) },
        Table { name: "replicas", text: replicas_table(&replicas) },
        Table { name: "streams", text: streams_table(&streams) },
        Table { name: "ledger", text: ledger_table(&ledger) },
    ])
}

/// The page with its tables replaced.
pub fn render(page: &str, tables: &[Table]) -> String {
    let mut page = page.to_owned();
    for table in tables {
        let begin = format!("<!-- table: {} -->\n", table.name);
        let Some((head, rest)) = page.split_once(&begin) else { continue };
        let Some((_, tail)) = rest.split_once("<!-- end -->") else { continue };
        page = format!("{head}{begin}{}<!-- end -->{tail}", table.text);
    }
    page
}

/// Writes the tables into the page.
pub(crate) fn update(docs: &Path) -> Result<()> {
    let path = docs.join("CAPACITY.md");
    let fail = |source| Error::File { path: path.display().to_string(), source };
    let page = fs::read_to_string(&path).map_err(fail)?;
    let tables = tables(&docs.join("measurements"))?;
    fs::write(&path, render(&page, &tables)).map_err(fail)
}

fn table(headings: &[&str], rows: &[Vec<String>]) -> String {
    let mut text = format!("| {} |\n|{}\n", headings.join(" | "), " --- |".repeat(headings.len()));
    for row in rows {
        writeln!(text, "| {} |", row.join(" | ")).ok();
    }
    text
}

fn control_table(rows: &[ControlRow]) -> String {
    let headings = [
        "daemons",
        "CPU %",
        "MB",
        "messages/s",
        "bytes/s",
        "site's calls/s",
        "CPU % changing",
        "bytes/s changing",
        "calls/s changing",
        "one change, s",
        "50 changes, s",
        "kill found, s",
    ];
    let cells = rows.iter().map(|r| {
        vec![
            r.daemons.to_string(),
            format!("{:.2}", r.idle_cpu_percent),
            format!("{:.1}", r.rss_mb),
            format!("{:.1}", r.idle_messages_per_s),
            format!("{:.0}", r.idle_bytes_per_s),
            format!("{:.2}", r.idle_kv_calls_per_s),
            format!("{:.2}", r.changing_cpu_percent),
            format!("{:.0}", r.changing_bytes_per_s),
            format!("{:.1}", r.changing_kv_calls_per_s),
            format!("{:.2}", r.one_in_force_s),
            format!("{:.2}", r.burst_in_force_s),
            format!("{:.1}", r.detect_s),
        ]
    });
    table(&headings, &cells.collect::<Vec<_>>())
}

fn control_fit(rows: &[ControlRow]) -> String {
    let headings = ["quantity", "slope", "at 7", "at 100", "at 730, extrapolated", "budget", "of the budget at 730"];
    let cells = QUANTITIES.iter().map(|q| {
        let points: Vec<_> = rows.iter().map(|r| ((q.scale)(r.daemons as f64), (q.value)(r))).collect();
        let fit = Fit::new(&points);
        let at = |daemons: f64| fit.at((q.scale)(daemons));
        let (far, half) = at(DAEMONS);
        let weak = if fit.weak { ", weak" } else { "" };
        vec![
            q.name.to_owned(),
            format!("{} ± {} a {}{weak}", short(fit.slope), short(fit.error), q.over),
            short(at(7.0).0),
            short(at(100.0).0),
            format!("{} ± {}", short(far), short(half)),
            q.budget.map_or_else(|| "-".into(), short),
            q.budget.map_or_else(|| "-".into(), |b| format!("{:.0}%", 100.0 * far / b)),
        ]
    });
    table(&headings, &cells.collect::<Vec<_>>())
}

fn replicas_table(rows: &[ReplicaRow]) -> String {
    let mut cells: Vec<Vec<String>> = rows
        .iter()
        .map(|r| vec![r.replicas.to_string(), format!("{:.1}", r.rss_mb), format!("{:.2}", r.cpu_percent)])
        .collect();
    let memory = Fit::new(&rows.iter().map(|r| (r.replicas as f64, r.rss_mb)).collect::<Vec<_>>());
    let cpu = Fit::new(&rows.iter().map(|r| (r.replicas as f64, r.cpu_percent)).collect::<Vec<_>>());
    cells.push(vec![
        "each 1,000".into(),
        format!("{} ± {}", short(1000.0 * memory.slope), short(1000.0 * memory.error)),
        format!("{} ± {}", short(1000.0 * cpu.slope), short(1000.0 * cpu.error)),
    ]);
    cells.push(vec![
        format!("line at {REPLICAS}"),
        format!("{} ± {}", short(memory.at(REPLICAS).0), short(memory.at(REPLICAS).1)),
        format!("{} ± {}", short(cpu.at(REPLICAS).0), short(cpu.at(REPLICAS).1)),
    ]);
    table(&["replicas", "MB", "CPU %"], &cells)
}

fn streams_table(rows: &[StreamRow]) -> String {
    let mut cells: Vec<Vec<String>> = rows
        .iter()
        .map(|r| {
            vec![
                r.streams.to_string(),
                format!("{:.0}", r.tokens_per_s),
                format!("{:.1}", r.cpu_percent),
                format!("{:.1}", r.rss_mb),
                format!("{:.1}", r.first_token_p50_ms),
                format!("{:.1}", r.first_token_p95_ms),
                r.broken.to_string(),
            ]
        })
        .collect();
    let cpu = Fit::new(&rows.iter().map(|r| (r.tokens_per_s, r.cpu_percent)).collect::<Vec<_>>());
    let memory = Fit::new(&rows.iter().map(|r| (r.streams as f64, r.rss_mb)).collect::<Vec<_>>());
    cells.push(vec![
        "slope".into(),
        String::new(),
        format!("{} ± {} µs a token", short(10_000.0 * cpu.slope), short(10_000.0 * cpu.error)),
        format!("{} ± {} KB a stream", short(1024.0 * memory.slope), short(1024.0 * memory.error)),
        String::new(),
        String::new(),
        String::new(),
    ]);
    cells.push(vec![
        format!("at {REQUESTS_PER_DAEMON} requests/s, extrapolated"),
        format!("{TOKENS_PER_DAEMON:.0}"),
        format!("{} ± {}", short(cpu.at(TOKENS_PER_DAEMON).0), short(cpu.at(TOKENS_PER_DAEMON).1)),
        String::new(),
        String::new(),
        String::new(),
        String::new(),
    ]);
    let headings = ["streams", "tokens/s", "CPU %", "MB", "first token p50 ms", "first token p95 ms", "not whole"];
    table(&headings, &cells)
}

fn ledger_table(rows: &[LedgerRow]) -> String {
    let headings =
        ["keyed calls/s", "writes a call", "writes/s", "p50 ms", "p95 ms", "CPU % a daemon", "MB", "doubles"];
    let cells = rows.iter().map(|r| {
        vec![
            format!("{:.0}", r.calls_per_s),
            format!("{:.3}", r.writes_per_call),
            format!("{:.1}", r.calls_per_s * r.writes_per_call),
            format!("{:.0}", r.p50_ms),
            format!("{:.0}", r.p95_ms),
            format!("{:.2}", r.cpu_percent),
            format!("{:.1}", r.rss_mb),
            r.doubles.to_string(),
        ]
    });
    table(&headings, &cells.collect::<Vec<_>>())
}

/// A figure with three digits that count.
fn short(value: f64) -> String {
    if !value.is_finite() {
        return "unknown".into();
    }
    let size = value.abs();
    match size {
        s if s >= 100.0 => format!("{value:.0}"),
        s if s >= 10.0 => format!("{value:.1}"),
        s if s >= 0.1 || s == 0.0 => format!("{value:.2}"),
        _ => format!("{value:.4}"),
    }
}
