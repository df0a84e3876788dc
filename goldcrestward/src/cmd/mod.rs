//! Commands of the command line.

mod client;
mod config;
mod demo;
mod explain;
mod overview;
mod rollout;
mod serve;
mod table;

pub(crate) use client::send_request;
pub use serve::PortsFactory;

use crate::{args::Command, error::Result};

/// A command that can be run.
pub trait Run {
    /// Runs the command to its end.
    ///
    /// # Errors
    /// Returns the reason why the command failed.
    fn run(self) -> Result<()>;
}

impl Run for Command {
    fn run(self) -> Result<()> {
        match self {
            Self::Serve(serve) => serve.run(),
            Self::Demo(demo) => demo.run(),
            Self::Explain(explain) => explain.run(),
            Self::Config(config) => config.run(),
            Self::Rollout(rollout) => rollout.run(),
            Self::Peers(admin) => overview::peers(&admin),
            Self::Requests(admin) => overview::requests(&admin),
            Self::Refusals { admin, clear } => overview::refusals(&admin, clear),
        }
    }
}
