//! Tables of the capacity page, generated from the measurements.

use std::{fmt::Write as _, fs, path::Path};

use super::{
    fit::LinearFit,
    rows::{ControlRow, LedgerRow, ReplicaRow, StreamRow, read},
};
use crate::error::{Error, Result};

/// Number of daemons that the design assumes.
const DESIGN_DAEMONS: f64 = 730.0;
/// Tokens per second and daemon if the site's 17 million are spread evenly.
const DAEMON_TOKENS_PER_S: f64 = 23_288.0;
/// Requests per second and daemon if the site's 53,000 are spread evenly.
const DAEMON_REQUESTS_PER_S: f64 = 72.6;
/// Number of replicas that the design assumes.
const DESIGN_REPLICAS: f64 = 12_000.0;

/// A table and the name of its marker in the page.
pub struct Table {
    /// Name of the marker.
    pub name: &'static str,
    /// Markdown text of the table.
    pub text: String,
}

/// A quantity that is fitted over the number of daemons.
struct FittedQuantity {
    name: &'static str,
    value: fn(&ControlRow) -> f64,
    /// Maps the number of daemons to the x axis of the fit.
    scale: fn(f64) -> f64,
    /// Unit of the scaled x axis.
    x_unit: &'static str,
    budget: Option<f64>,
}

fn identity(x: f64) -> f64 {
    x
}

const FITTED_QUANTITIES: [FittedQuantity; 8] = [
    FittedQuantity {
        name: "CPU of a daemon at rest, % of a core",
        value: |r| r.idle_cpu_percent,
        scale: identity,
        x_unit: "daemon",
        budget: Some(1.2),
    },
    FittedQuantity {
        name: "CPU of a daemon at 0.9 changes/s, %",
        value: |r| r.changing_cpu_percent,
        scale: identity,
        x_unit: "daemon",
        budget: Some(1.2),
    },
    FittedQuantity {
        name: "memory of a daemon, MB",
        value: |r| r.rss_mb,
        scale: identity,
        x_unit: "daemon",
        budget: Some(256.0),
    },
    FittedQuantity {
        name: "bytes/s sent at rest",
        value: |r| r.idle_bytes_per_s,
        scale: identity,
        x_unit: "daemon",
        budget: Some(9_000.0),
    },
    FittedQuantity {
        name: "bytes/s sent at 0.9 changes/s",
        value: |r| r.changing_bytes_per_s,
        scale: identity,
        x_unit: "daemon",
        budget: Some(9_000.0),
    },
    FittedQuantity {
        name: "site's calls/s to the service at rest",
        value: |r| r.idle_kv_calls_per_s,
        scale: identity,
        x_unit: "daemon",
        budget: Some(2_000.0),
    },
    FittedQuantity {
        name: "one change in force everywhere, s",
        value: |r| r.one_in_force_s,
        scale: f64::log2,
        x_unit: "doubling",
        budget: Some(6.0),
    },
    FittedQuantity {
        name: "a killed daemon found dead, s",
        value: |r| r.detect_s,
        scale: f64::log2,
        x_unit: "doubling",
        budget: None,
    },
];

/// Generates all tables from the measurements in `folder`.
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

/// Returns the page with each table replaced that has a marker in it.
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

/// Regenerates the tables of the page from the measurements.
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
    let cells = FITTED_QUANTITIES.iter().map(|q| {
        let points: Vec<_> = rows.iter().map(|r| ((q.scale)(r.daemons as f64), (q.value)(r))).collect();
        let fit = LinearFit::new(&points);
        let at = |daemons: f64| fit.at((q.scale)(daemons));
        let (extrapolated, half_width) = at(DESIGN_DAEMONS);
        let weak = if fit.weak { ", weak" } else { "" };
        vec![
            q.name.to_owned(),
            format!("{} ± {} a {}{weak}", format_figure(fit.slope), format_figure(fit.slope_error), q.x_unit),
            format_figure(at(7.0).0),
            format_figure(at(100.0).0),
            format!("{} ± {}", format_figure(extrapolated), format_figure(half_width)),
            q.budget.map_or_else(|| "-".into(), format_figure),
            q.budget.map_or_else(|| "-".into(), |b| format!("{:.0}%", 100.0 * extrapolated / b)),
        ]
    });
    table(&headings, &cells.collect::<Vec<_>>())
}

fn replicas_table(rows: &[ReplicaRow]) -> String {
    let mut cells: Vec<Vec<String>> = rows
        .iter()
        .map(|r| vec![r.replicas.to_string(), format!("{:.1}", r.rss_mb), format!("{:.2}", r.cpu_percent)])
        .collect();
    let memory = LinearFit::new(&rows.iter().map(|r| (r.replicas as f64, r.rss_mb)).collect::<Vec<_>>());
    let cpu = LinearFit::new(&rows.iter().map(|r| (r.replicas as f64, r.cpu_percent)).collect::<Vec<_>>());
    cells.push(vec![
        "each 1,000".into(),
        format!("{} ± {}", format_figure(1000.0 * memory.slope), format_figure(1000.0 * memory.slope_error)),
        format!("{} ± {}", format_figure(1000.0 * cpu.slope), format_figure(1000.0 * cpu.slope_error)),
    ]);
    cells.push(vec![
        format!("line at {DESIGN_REPLICAS}"),
        format!("{} ± {}", format_figure(memory.at(DESIGN_REPLICAS).0), format_figure(memory.at(DESIGN_REPLICAS).1)),
        format!("{} ± {}", format_figure(cpu.at(DESIGN_REPLICAS).0), format_figure(cpu.at(DESIGN_REPLICAS).1)),
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
    let cpu = LinearFit::new(&rows.iter().map(|r| (r.tokens_per_s, r.cpu_percent)).collect::<Vec<_>>());
    let memory = LinearFit::new(&rows.iter().map(|r| (r.streams as f64, r.rss_mb)).collect::<Vec<_>>());
    cells.push(vec![
        "slope".into(),
        String::new(),
        format!("{} ± {} µs a token", format_figure(10_000.0 * cpu.slope), format_figure(10_000.0 * cpu.slope_error)),
        format!(
            "{} ± {} KB a stream",
            format_figure(1024.0 * memory.slope),
            format_figure(1024.0 * memory.slope_error)
        ),
        String::new(),
        String::new(),
        String::new(),
    ]);
    cells.push(vec![
        format!("at {DAEMON_REQUESTS_PER_S} requests/s, extrapolated"),
        format!("{DAEMON_TOKENS_PER_S:.0}"),
        format!("{} ± {}", format_figure(cpu.at(DAEMON_TOKENS_PER_S).0), format_figure(cpu.at(DAEMON_TOKENS_PER_S).1)),
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

/// Formats a value with about three significant digits.
fn format_figure(value: f64) -> String {
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
