//! The head of a request to proxy.

use http::{HeaderMap, Method};

/// The head of a request to proxy.
pub(crate) struct RequestHead {
    /// The request method.
    pub method: Method,
    /// Path and query, as the caller sent them.
    pub path: String,
    /// The caller's headers.
    pub headers: HeaderMap,
}
