//! Errors of calls to the platform's services.

use snafu::Snafu;

pub type Result<T, E = Error> = std::result::Result<T, E>;

/// What went wrong with a call that has no usable answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The request cannot be written as HTTP.
    Unsendable,
    /// No connection.
    Connection,
    /// The connection broke before the end of the answer.
    Broken,
    /// The time limit of the call is over.
    TimedOut,
    /// The service declined to execute the call.
    Refused,
    /// A status that the protocol does not have for this call.
    Status,
    /// The answer is longer than the client takes.
    TooLong,
    /// The answer cannot be decoded.
    Undecodable,
    /// The answer is from a history that has ended.
    Outdated,
    /// A page of a listing does not lead to the next one.
    PageStuck,
}

impl Cause {
    /// Value in metric labels and log lines.
    pub fn label(self) -> &'static str {
        match self {
            Self::Unsendable => "unsendable",
            Self::Connection => "connection",
            Self::Broken => "broken",
            Self::TimedOut => "timed-out",
            Self::Refused => "refused",
            Self::Status => "status",
            Self::TooLong => "too-long",
            Self::Undecodable => "undecodable",
            Self::Outdated => "outdated",
            Self::PageStuck => "page-stuck",
        }
    }
}

/// Why a call to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The service certainly did not execute the call.
    #[snafu(display("could not reach the platform's {service}"))]
    Unreached { service: &'static str, cause: Cause },
    /// No answer arrived; the call may have taken effect.
    #[snafu(display("no answer from the platform's {service}"))]
    Unanswered { service: &'static str, cause: Cause },
    /// The call was not made because calls pause after repeated failures.
    #[snafu(display("no calls left for {purpose} in the platform's budget"))]
    Budget { purpose: &'static str },
    /// The service has compacted the changes that a watch asked for.
    #[snafu(display("the platform's {service} no longer has the changes asked for"))]
    Compacted { service: &'static str },
    /// The service was restored from a copy, so that the answer or the condition belongs to an earlier history.
    #[snafu(display("the platform's {service} was restored from a copy meanwhile"))]
    Restored { service: &'static str },
    /// The lease has expired or was revoked.
    #[snafu(display("the lease has ended at the platform's {service}"))]
    LeaseEnded { service: &'static str },
}

impl Error {
    /// Value in metric labels and log lines.
    pub(crate) fn label(&self) -> &'static str {
        match self {
            Self::Unreached { cause, .. } | Self::Unanswered { cause, .. } => cause.label(),
            Self::Budget { .. } => "paused",
            Self::Compacted { .. } => "history-lost",
            Self::Restored { .. } => "restored",
            Self::LeaseEnded { .. } => "lease-ended",
        }
    }

    /// Whether the service may be away: it has not answered, or has declined to. An answer that is too long or odd says
    /// nothing of other calls.
    pub(crate) fn is_outage(&self) -> bool {
        let (Self::Unreached { cause, .. } | Self::Unanswered { cause, .. }) = self else { return false };
        !matches!(cause, Cause::Unsendable | Cause::TooLong | Cause::Undecodable | Cause::PageStuck)
    }

    /// Whether the service has answered with more than the client takes.
    pub(crate) fn is_too_long(&self) -> bool {
        matches!(self, Self::Unanswered { cause: Cause::TooLong, .. })
    }
}
