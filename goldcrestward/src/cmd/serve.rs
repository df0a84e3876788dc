//! `goldcrestward serve`: runs a daemon.

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
    process::{Overrides, ResponseMemory, Settings, StartingDaemon, Stopped},
};

/// Builds a daemon's ports to a platform for which this crate has no adapters.
pub type PortsFactory = fn(&Settings, HttpClient, ResponseMemory) -> Ports;

impl Run for ServeArgs {
    fn run(self) -> Result<()> {
        self.run_with_ports(None)
    }
}

impl ServeArgs {
    /// Runs a daemon with the ports that `ports` builds, or with the adapters of this crate if it is `None`.
    ///
    /// # Errors
    /// Returns the reason why the daemon could not start.
    pub fn run_with_ports(self, ports: Option<PortsFactory>) -> Result<()> {
        let result = self.run_daemon(ports);
        if let Err(error) = &result {
            error!("event=start-failed error={:?}", error.to_string());
        }
        result
    }

    fn run_daemon(&self, ports: Option<PortsFactory>) -> Result<()> {
        let settings = self.read_settings()?;
        logs::set_daemon(&settings.name);
        let mut builder = match settings.workers {
            1 => tokio::runtime::Builder::new_current_thread(),
            _ => tokio::runtime::Builder::new_multi_thread(),
        };
        let runtime = builder.worker_threads(settings.workers).enable_all().build().context(RuntimeSnafu)?;
        runtime.block_on(serve(self, settings, ports))?.finish(runtime);
        Ok(())
    }

    fn read_settings(&self) -> Result<Settings> {
        let file = self.settings.as_deref().map(Overrides::read).transpose().context(SettingsSnafu)?;
        let settings = file.unwrap_or_default().overridden_by(self.overrides.clone().into());
        Settings::try_from(settings).context(SettingsSnafu)
    }
}

async fn serve(args: &ServeArgs, settings: Settings, ports: Option<PortsFactory>) -> Result<Stopped> {
    let mut terminate = signal(SignalKind::terminate()).context(RuntimeSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(RuntimeSnafu)?;
    let mut reload = signal(SignalKind::hangup()).context(RuntimeSnafu)?;
    let shutdown = async {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    };
    tokio::pin!(shutdown);
    let starting = StartingDaemon::launch(settings, ports).await.context(DaemonSnafu)?;
    let is_configured = tokio::select! {
        () = starting.configured() => true,
        () = &mut shutdown => false,
    };
    if !is_configured {
        return Ok(starting.stop().await);
    }
    let daemon = starting.serve();
    loop {
        tokio::select! {
            () = &mut shutdown => break,
            _ = reload.recv() => match args.read_settings() {
                Ok(settings) => daemon.rotate_secrets(&settings.secrets),
                // The daemon keeps its secrets if the new settings are invalid.
                Err(error) => error!("event=settings-refused error={:?}", error.to_string()),
            },
        }
    }
    Ok(daemon.stop().await)
}
