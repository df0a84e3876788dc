//! What a request names its route by.

use std::sync::Arc;

use super::refusal::{Reason, Refusal};
use crate::config::{Route, Site};

/// What a request names its route by.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Target {
    /// Host and path of a proxied request.
    Host { host: Arc<str>, path: Arc<str> },
    /// Path of a request to a plain service.
    Path(Arc<str>),
    /// Name of a model.
    Model(Arc<str>),
}

impl Target {
    /// The route to which a version of the configuration sends the request.
    pub fn route<'a>(&self, site: &'a Site) -> Option<&'a Arc<Route>> {
        match self {
            Self::Host { host, path } => site.host_route(host, path),
            Self::Path(path) => site.path_route(path),
            Self::Model(model) => site.model_route(model),
        }
    }

    /// The refusal of a request that has no route.
    pub fn refuse(&self) -> Refusal {
        match self {
            Self::Host { host, path } => {
                Refusal::not_run(Reason::UnknownRoute, format!("there is no route for {host}{path}"))
            }
            Self::Path(path) => Refusal::not_run(Reason::UnknownRoute, format!("there is no route for {path}")),
            Self::Model(model) => Refusal::not_run(Reason::UnknownModel, format!("there is no model {model}")),
        }
    }
}
