//! The life cycle of a daemon, as types: what it may do depends on where it stands.

use std::sync::{
    Arc,
    atomic::{AtomicU8, Ordering},
};

use crate::util::value;

value! {
    /// Where a daemon stands in its life.
    pub(crate) enum Stage {
        /// It has no configuration yet.
        Starting,
        /// It takes requests.
        Serving,
        /// It ends its requests and takes no new ones.
        Draining,
    }
}

impl Stage {
    /// The stage's name for operators.
    pub fn label(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Serving => "serving",
            Self::Draining => "draining",
        }
    }
}

/// Shows a daemon's stage to those who cannot change it.
#[derive(Clone, Debug)]
pub(crate) struct StageView(Arc<AtomicU8>);

impl StageView {
    /// The stage now.
    pub fn get(&self) -> Stage {
        match self.0.load(Ordering::Acquire) {
            0 => Stage::Starting,
            1 => Stage::Serving,
            _ => Stage::Draining,
        }
    }
}

/// A daemon that has no configuration yet.
#[derive(Debug)]
pub(crate) struct Starting(StageView);

/// A daemon that takes requests.
#[derive(Debug)]
pub(crate) struct Serving(StageView);

/// A daemon that ends its requests.
#[derive(Debug)]
pub(crate) struct Draining;

impl Starting {
    /// The first stage, and a view of it.
    pub fn new() -> (Self, StageView) {
        let view = StageView(Arc::new(AtomicU8::new(0)));
        (Self(view.clone()), view)
    }

    /// The daemon has a configuration and takes requests.
    pub fn serve(self) -> Serving {
        self.0.0.store(1, Ordering::Release);
        Serving(self.0)
    }
}

impl Serving {
    /// The daemon is being stopped.
    pub fn drain(self) -> Draining {
        self.0.0.store(2, Ordering::Release);
        Draining
    }
}
