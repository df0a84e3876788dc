//! The commands, one a file.

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

/// A command that can be carried out.
pub trait Run {
    /// Carries the command out.
    ///
    /// # Errors
    /// Says what could not be done.
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
