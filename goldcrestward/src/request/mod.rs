//! What lives as long as a request.

mod attempt;
mod budget;
mod event;
mod gate;
mod headers;
mod model;
mod plain;
mod refusal;
mod relay;
mod suspect;

pub(crate) use budget::Budgets;
pub(crate) use gate::Gate;
pub(crate) use refusal::{Reason, Refusal};
pub(crate) use suspect::Suspects;
