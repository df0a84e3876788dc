//! A daemon's lifecycle as a type state: each stage offers only the transitions that are valid in it.

use std::sync::{
    Arc,
    atomic::{AtomicU8, Ordering},
};

use crate::util::derive_value_traits;

derive_value_traits! {
    /// Stage of a daemon's lifecycle.
    pub(crate) enum Stage {
        /// Waits for its first configuration.
        Starting,
        /// Accepts requests.
        Serving,
        /// Finishes running requests and accepts no new ones.
        Draining,
    }
}

impl Stage {
    /// Name of the stage in status output.
    pub fn label(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Serving => "serving",
            Self::Draining => "draining",
        }
    }
}

/// Read-only view of a daemon's stage.
#[derive(Clone, Debug)]
pub(crate) struct StageView(Arc<AtomicU8>);

impl StageView {
    /// Returns the current stage.
    pub fn get(&self) -> Stage {
        match self.0.load(Ordering::Acquire) {
            0 => Stage::Starting,
            1 => Stage::Serving,
            _ => Stage::Draining,
        }
    }
}

/// A daemon that waits for its first configuration.
#[derive(Debug)]
pub(crate) struct Starting(StageView);

/// A daemon that accepts requests.
#[derive(Debug)]
pub(crate) struct Serving(StageView);

/// A daemon that finishes its running requests and then stops.
#[derive(Debug)]
pub(crate) struct Draining;

impl Starting {
    /// Returns the initial stage and a view that follows its transitions.
    pub fn new() -> (Self, StageView) {
        let view = StageView(Arc::new(AtomicU8::new(0)));
        (Self(view.clone()), view)
    }

    /// Enters the draining stage, when the daemon is asked to stop before it has served.
    pub fn drain(self) -> Draining {
        self.0.0.store(2, Ordering::Release);
        Draining
    }

    /// Enters the serving stage, once a configuration is in force.
    pub fn serve(self) -> Serving {
        self.0.0.store(1, Ordering::Release);
        Serving(self.0)
    }
}

impl Serving {
    /// Enters the draining stage, when the daemon is asked to stop.
    pub fn drain(self) -> Draining {
        self.0.0.store(2, Ordering::Release);
        Draining
    }
}
