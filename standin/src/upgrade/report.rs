//! Results of an upgrade.

use std::io::{self, Write};

use serde::Serialize;

use super::plan::{Build, Phase};
use crate::load::LoadReport;

/// What one step took.
#[derive(Clone, Debug, Serialize)]
pub struct StepReport {
    pub phase: Phase,
    /// Name of the daemon that was stopped.
    pub stopped: String,
    /// The program that replaced it.
    pub build: Build,
    /// Seconds from SIGTERM to the exit; absent if the process did not exit.
    pub stop_s: Option<f64>,
    /// Seconds from the start of the new process until it was ready; absent if it was not.
    pub ready_s: Option<f64>,
    /// Name of the daemon that was killed before the change.
    pub killed: Option<String>,
    /// Whether an engine was reclaimed.
    pub reclaimed: bool,
    /// Seconds from the acknowledgement of the change until the last daemon followed; absent if one did not, or if there
    /// was no acknowledgement.
    pub in_force_s: Option<f64>,
    /// Seconds from there until all daemons agreed on who is alive; absent if they did not.
    pub agreed_s: Option<f64>,
}

/// The steps of an upgrade and the promises that were broken.
#[derive(Clone, Debug, Serialize)]
pub struct UpgradeReport {
    pub seed: u64,
    pub daemons: usize,
    pub steps: Vec<StepReport>,
    pub load: LoadReport,
    /// One line for each broken promise.
    pub broken: Vec<String>,
}

impl UpgradeReport {
    /// The longest time until a change was in force everywhere, among those that were.
    pub fn max_in_force_s(&self) -> f64 {
        self.steps.iter().filter_map(|s| s.in_force_s).fold(0.0, f64::max)
    }

    /// Writes the steps as a table, then the load and the broken promises.
    ///
    /// # Errors
    /// Fails when the output cannot be written.
    pub fn write_table(&self, out: &mut impl Write) -> io::Result<()> {
        let headings =
            ["step", "phase", "stopped", "to", "stop s", "ready s", "killed", "reclaim", "force s", "agreed s"];
        let mut rows = vec![headings.map(str::to_owned).to_vec()];
        rows.extend(self.steps.iter().enumerate().map(|(number, step)| step.cells(number)));
        let width = |column: usize| rows.iter().map(|row| row[column].len()).max().unwrap_or(0);
        let widths: Vec<_> = (0..headings.len()).map(width).collect();
        for row in &rows {
            let cells: Vec<_> = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}")).collect();
            writeln!(out, "{}", cells.join("  ").trim_end())?;
        }
        let LoadReport { streams, keyed, whole, cut, unanswered, refused, retried, .. } = &self.load;
        writeln!(out, "streams {streams}, keyed {keyed}, whole {whole}, cut {cut}, unanswered {unanswered}")?;
        writeln!(out, "refused {refused:?}, sent again {retried:?}")?;
        for line in &self.broken {
            writeln!(out, "broken: {line}")?;
        }
        let (seed, daemons, count, in_force_s) = (self.seed, self.daemons, self.broken.len(), self.max_in_force_s());
        writeln!(
            out,
            "seed {seed}, {daemons} daemons: {count} promises broken, changes in force after {in_force_s:.2} s at most"
        )
    }
}

impl StepReport {
    fn cells(&self, number: usize) -> Vec<String> {
        let seconds = |value: Option<f64>| value.map_or("-".into(), |value| format!("{value:.2}"));
        let build = match self.build {
            Build::Old => "old",
            Build::New => "new",
        };
        vec![
            number.to_string(),
            self.phase.label().into(),
            self.stopped.clone(),
            build.into(),
            seconds(self.stop_s),
            seconds(self.ready_s),
            self.killed.clone().unwrap_or_default(),
            if self.reclaimed { "yes".into() } else { String::new() },
            seconds(self.in_force_s),
            seconds(self.agreed_s),
        ]
    }
}
