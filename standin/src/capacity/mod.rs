//! Measures the cost of each role of a daemon as the site grows, and writes the tables of the
//! capacity page.

mod control;
mod fit;
mod fleet;
mod ledger;
mod page;
mod plot;
mod replicas;
mod rows;
mod streams;

use std::path::Path;

pub use fit::LinearFit;
pub use page::{render, tables};
pub use rows::{ControlRow, LedgerRow, ReplicaRow, StreamRow, read, write};

use crate::{args::CapacityArgs, error::Result};

/// Runs the selected measurements and writes their CSV files, the plots and the tables.
///
/// # Errors
/// Fails when a process cannot be run or a file cannot be read or written.
pub async fn run(args: &CapacityArgs) -> Result<()> {
    let is_selected = |name: &str| !args.tables && args.only.as_deref().is_none_or(|only| only == name);
    let folder = args.docs.join("measurements");
    if is_selected("replicas") {
        write(&folder.join("replicas.csv"), &replicas::measure(args.seed).await?)?;
    }
    if is_selected("streams") {
        write(&folder.join("streams.csv"), &streams::measure(args.seed).await?)?;
    }
    if is_selected("ledger") {
        write(&folder.join("ledger.csv"), &ledger::measure(args.seed).await?)?;
    }
    if is_selected("control") {
        write(&folder.join("control.csv"), &control::measure(&args.daemons, args.seed).await?)?;
    }
    draw_plots(&folder)?;
    page::update(&args.docs)
}

fn draw_plots(folder: &Path) -> Result<()> {
    let control: Vec<ControlRow> = read(&folder.join("control.csv"))?;
    let points = |y: fn(&ControlRow) -> f64| control.iter().map(|row| (row.daemons as f64, y(row))).collect::<Vec<_>>();
    plot::draw(
        &folder.join("control-bytes.svg"),
        "bytes/s sent by a daemon",
        &points(|r| r.idle_bytes_per_s),
        Some(9_000.0),
    )?;
    plot::draw(&folder.join("control-cpu.svg"), "% of a core of a daemon", &points(|r| r.idle_cpu_percent), Some(1.2))?;
    plot::draw(&folder.join("control-in-force.svg"), "s to the last daemon", &points(|r| r.one_in_force_s), Some(6.0))
}
