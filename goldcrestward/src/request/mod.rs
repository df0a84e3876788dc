//! What lives as long as a request.

mod attempt;
mod budget;
mod crash;
mod event;
mod headers;
mod ingress;
mod model;
mod plain;
mod refusal;
mod relay;

pub(crate) use budget::Budgets;
pub(crate) use crash::CrashRecords;
pub(crate) use ingress::Ingress;
pub(crate) use refusal::{Reason, Refusal};

#[cfg(test)]
mod event_test;
