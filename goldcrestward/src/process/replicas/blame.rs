//! Blame of a request for a crash.

/// How suspicious a request is compared with the others that a crashed replica was running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Blame {
    /// Another request is more suspicious.
    None,
    /// Other requests are equally suspicious.
    Shared,
    /// It is more suspicious than any other request.
    Sole,
}

impl Blame {
    /// Value in log lines and metric labels.
    pub fn label(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Shared => "shared",
            Self::Sole => "sole",
        }
    }
}
