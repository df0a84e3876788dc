//! A daemon of the demonstration.

use snafu::ResultExt;
use tokio::runtime::{Builder, Runtime};

use super::error::{DaemonSnafu, Result, RuntimeSnafu, TaskSnafu};
use crate::{
    logs,
    process::{Daemon, DaemonCounts, Settings},
};

/// Worker threads of a daemon.
const WORKERS: usize = 2;

/// A daemon with threads of its own, whose log lines carry its name.
pub(crate) struct DemoDaemon {
    daemon: Option<Daemon>,
    settings: Settings,
    runtime: Option<Runtime>,
}

impl DemoDaemon {
    pub async fn start(settings: Settings) -> Result<Self> {
        let name = settings.name.clone();
        let mut builder = Builder::new_multi_thread();
        builder.worker_threads(WORKERS).enable_all();
        builder.on_thread_start(move || logs::set_thread_daemon(&name));
        let runtime = builder.build().context(RuntimeSnafu)?;
        let started = runtime.spawn(Daemon::start(settings.clone(), None)).await;
        // Built before an error is returned, because a bare runtime must not be dropped here.
        let mut daemon = Self { daemon: None, settings, runtime: Some(runtime) };
        daemon.daemon = Some(started.context(TaskSnafu)?.context(DaemonSnafu)?);
        Ok(daemon)
    }

    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns selected counters, `None` once the daemon has stopped.
    pub fn counts(&self) -> Option<DaemonCounts> {
        self.daemon.as_ref().map(Daemon::counts)
    }

    /// Stops gracefully.
    pub async fn stop(mut self) -> Result<()> {
        let (Some(daemon), Some(runtime)) = (self.daemon.take(), &self.runtime) else { return Ok(()) };
        runtime.spawn(async { daemon.stop().await.log() }).await.context(TaskSnafu)
    }
}

impl Drop for DemoDaemon {
    fn drop(&mut self) {
        // A runtime that is dropped within another one must not wait for its threads.
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
