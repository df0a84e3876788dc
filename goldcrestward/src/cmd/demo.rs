//! `goldcrestward demo`: runs a complete site with stand-in back ends.

use std::{
    env,
    fs::File,
    io::{self, IsTerminal},
};

use snafu::ResultExt;

use super::{
    Run,
    table::{print_json, print_table},
};
use crate::{
    args::DemoArgs,
    demo::{ProgressDetail, Scenario, Summary},
    error::{DemoSnafu, LogFileSnafu, Result, RuntimeSnafu},
    logs::{self, FlushGuard},
    util::unix_ms,
};

/// Worker threads of the traffic and the stand-ins.
const WORKERS: usize = 4;

impl Run for DemoArgs {
    fn run(self) -> Result<()> {
        let _flush = self.start_logging()?;
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        let runtime = builder.worker_threads(WORKERS).enable_all().build().context(RuntimeSnafu)?;
        runtime.block_on(run_demo(&self))
    }
}

impl DemoArgs {
    fn start_logging(&self) -> Result<FlushGuard> {
        if self.logs {
            return Ok(logs::init_to(io::stderr()));
        }
        let path = env::temp_dir().join(format!("goldcrestward-demo-{}.log", unix_ms()));
        let file = File::create_new(&path).context(LogFileSnafu { path: path.display().to_string() })?;
        let flush = logs::init_to(file);
        if !self.json {
            eprintln!("Log lines of all daemons: {}", path.display());
        }
        Ok(flush)
    }

    fn progress_detail(&self) -> ProgressDetail {
        match (self.json, self.logs) {
            (true, _) => ProgressDetail::Quiet,
            // Log lines would be written over the progress line.
            (false, true) => ProgressDetail::Events,
            (false, false) => ProgressDetail::Live,
        }
    }
}

async fn run_demo(args: &DemoArgs) -> Result<()> {
    let fail = |error: crate::demo::Error| DemoSnafu { reason: error.to_string() }.build();
    let mut scenario = Scenario::start(args.seed).await.map_err(fail)?;
    let summary = scenario.run(args.progress_detail()).await.map_err(fail)?;
    print(&summary, args.json)?;
    if !summary.is_success() {
        return DemoSnafu { reason: "not every accepted request was answered once and whole" }.fail();
    }
    // Without a terminal there is no Ctrl-C to wait for.
    if args.once || !io::stdin().is_terminal() {
        return Ok(());
    }
    print_hints(&scenario);
    tokio::signal::ctrl_c().await.context(RuntimeSnafu)
}

fn print(summary: &Summary, json: bool) -> Result<()> {
    if json {
        return print_json(&serde_json::to_value(summary).unwrap_or_default());
    }
    print_table(&["WHAT", "FIGURE"], &summary.rows())
}

/// Prints example commands against the running site.
fn print_hints(scenario: &Scenario) {
    let Some((callers, admin)) = scenario.first_daemon() else { return };
    eprintln!("\nThe site runs until Ctrl-C. Commands to try on it:\n");
    eprintln!(
        "  curl -N {callers}/v1/chat/completions -H 'Authorization: Bearer demo-kitchens' -d '{{\"model\":\"meal-planner\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"a low-salt supper\"}}]}}'"
    );
    eprintln!(
        "  curl {callers}/orders/confirm -H 'Authorization: Bearer demo-kitchens' -H 'Idempotency-Key: order-1' -d '{{}}'"
    );
    eprintln!("  goldcrestward rollout status --admin {admin} --token demo-operator");
}
