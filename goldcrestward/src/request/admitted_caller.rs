//! Whose request is proxied, and by which version of the configuration.

use super::admission::Admission;
use crate::port::RequestMetadata;

/// An authenticated caller, with what its request takes from the configuration and its metadata.
pub(crate) struct AdmittedCaller {
    /// What the request takes from the version that admitted it.
    pub admission: Admission,
    /// The request's metadata.
    pub metadata: RequestMetadata,
}
