//! Errors of calls to the platform's services.

use snafu::Snafu;

pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a call to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The service certainly did not execute the call.
    #[snafu(display("could not reach the platform's {service}"))]
    Unreached { service: &'static str },
    /// No answer arrived; the call may have taken effect.
    #[snafu(display("no answer from the platform's {service}"))]
    Unanswered { service: &'static str },
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
