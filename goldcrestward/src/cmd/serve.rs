//! `goldcrestward serve`: one daemon.

use log::error;
use snafu::ResultExt;
use tokio::signal::unix::{SignalKind, signal};

use super::Run;
use crate::{
    args::ServeArgs,
    connection::HttpClient,
    error::{DaemonSnafu, Result, RuntimeSnafu, SettingsSnafu},
    logs,
    port::Ports,
    process::{Daemon, Overrides, Settings},
};

/// Makes the edges of a daemon on a platform of which the product itself knows nothing.
pub type PortsFactory = fn(&Settings, HttpClient) -> Ports;

impl Run for ServeArgs {
    fn run(self) -> Result<()> {
        self.run_on(None)
    }
}

impl ServeArgs {
    /// Runs a daemon on a platform, or on the product's own adapters.
    ///
    /// # Errors
    /// Says what could not be started.
    pub fn run_on(self, ports: Option<PortsFactory>) -> Result<()> {
        let settings = self.read()?;
        logs::set_daemon(&settings.name);
        let mut builder = match settings.workers {
            1 => tokio::runtime::Builder::new_current_thread(),
            _ => tokio::runtime::Builder::new_multi_thread(),
        };
        let runtime = builder.worker_threads(settings.workers).enable_all().build().context(RuntimeSnafu)?;
        runtime.block_on(serve(&self, settings, ports))
    }

    fn read(&self) -> Result<Settings> {
        let file = self.settings.as_deref().map(Overrides::read).transpose().context(SettingsSnafu)?;
        let given = file.unwrap_or_default().overridden_by(self.overrides.clone().into());
        Settings::try_from(given).context(SettingsSnafu)
    }
}

async fn serve(args: &ServeArgs, settings: Settings, ports: Option<PortsFactory>) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context(RuntimeSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(RuntimeSnafu)?;
    let mut reread = signal(SignalKind::hangup()).context(RuntimeSnafu)?;
    let stopped = async {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    };
    tokio::pin!(stopped);
    let daemon = tokio::select! {
        daemon = Daemon::start(settings, ports) => daemon.context(DaemonSnafu)?,
        () = &mut stopped => return Ok(()),
    };
    loop {
        tokio::select! {
            () = &mut stopped => break,
            _ = reread.recv() => match args.read() {
                Ok(settings) => daemon.rotate(&settings.secrets),
                // A wrong file changes nothing, so the daemon goes on with what it has.
                Err(error) => error!("event=settings-refused error={:?}", error.to_string()),
            },
        }
    }
    daemon.stop().await;
    Ok(())
}
