//! What lives as long as a request.

mod attempt;
mod budget;
mod crash;
mod entry;
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
mod refusal;
mod relay;

pub(crate) use budget::RouteRetryBudgets;
pub(crate) use crash::CrashRecords;
pub(crate) use entry::Entry;
pub(crate) use ingress::Ingress;
pub(crate) use refusal::{Reason, Refusal};

#[cfg(test)]
mod event_test;
