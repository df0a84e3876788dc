//! `goldcrestward serve`: one daemon.

use snafu::ResultExt;
use tokio::signal::unix::{SignalKind, signal};

use super::Run;
use crate::{
    args::ServeArgs,
    error::{DaemonSnafu, Result, RuntimeSnafu, SettingsSnafu},
    process::{Daemon, Overrides, Settings},
};

impl Run for ServeArgs {
    fn run(self) -> Result<()> {
        let file = self.settings.as_deref().map(Overrides::read).transpose().context(SettingsSnafu)?;
        let given = file.unwrap_or_default().overridden_by(self.overrides.into());
        let settings = Settings::try_from(given).context(SettingsSnafu)?;
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        let runtime = builder.worker_threads(settings.workers).enable_all().build().context(RuntimeSnafu)?;
        runtime.block_on(serve(settings))
    }
}

async fn serve(settings: Settings) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context(RuntimeSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(RuntimeSnafu)?;
    let stopped = async {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    };
    tokio::pin!(stopped);
    let daemon = tokio::select! {
        daemon = Daemon::start(settings) => daemon.context(DaemonSnafu)?,
        () = &mut stopped => return Ok(()),
    };
    stopped.await;
    daemon.stop().await;
    Ok(())
}
