//! What lives as long as a request.

mod attempt;
mod budget;
mod crash;
mod event;
mod events;
mod forward;
mod headers;
mod ingress;
mod model;
mod outcome;
mod passing;
mod place;
mod plain;
mod proxy_ingress;
mod refusal;
mod relay;

pub(crate) use budget::RouteRetryBudgets;
pub(crate) use crash::CrashRecords;
pub(crate) use ingress::Ingress;
pub(crate) use proxy_ingress::ProxyIngress;
pub(crate) use refusal::{Reason, Refusal};

#[cfg(test)]
mod event_test;
