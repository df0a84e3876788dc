//! Handling of a request: admission, placement, attempts and the response.

mod admission;
mod admission_request;
mod admitted_caller;
mod attempt;
mod attempt_result;
mod awaited_head;
mod awaited_way;
mod bounded_body;
mod budget;
mod caller_body;
mod crash;
mod fallback;
mod first_events;
mod headers;
mod held_answer;
mod ingress;
mod kept_body;
mod migration;
mod model;
mod model_body;
mod numbered_events;
mod passed_body;
mod pending_answer;
mod placement_request;
mod plain;
mod proxy;
mod proxy_body;
mod proxy_ingress;
mod proxy_outcome;
mod proxy_refusal;
mod refusal;
mod request_head;
mod response_owner;
mod run_window;
mod send_count;
mod sent_attempt;
mod silent_server;
mod silent_stream;
mod takeover;
mod target;
mod token_events;

pub(crate) use budget::RouteRetryBudgets;
pub(crate) use crash::CrashRecords;
pub(crate) use ingress::Ingress;
pub(crate) use proxy_ingress::ProxyIngress;
pub(crate) use refusal::{Reason, Refusal};
pub(crate) use run_window::RunWindow;

#[cfg(test)]
mod token_events_test;
