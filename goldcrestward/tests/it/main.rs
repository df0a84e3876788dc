//! Integration tests: real daemons as processes, stand-ins beside them, faults on the links between.

mod support;

mod callers;
mod command_line;
mod configuration;
mod ledger;
mod membership;
mod responses;
mod rollout;
mod shutdown;
mod soak;
