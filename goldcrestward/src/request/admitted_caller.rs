//! Whose request is proxied, and on which route.

use std::sync::Arc;

use crate::{
    config::{Account, Route},
    port::RequestMetadata,
};

/// An authenticated caller, with the route and the metadata of its request.
pub(crate) struct AdmittedCaller {
    /// The route.
    pub route: Arc<Route>,
    /// The account; `None` if the route allows anonymous requests or the site has no accounts.
    pub account: Option<Arc<Account>>,
    /// The request's metadata.
    pub metadata: RequestMetadata,
}
