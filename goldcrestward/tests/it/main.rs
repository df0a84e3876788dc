//! Integration tests: real daemons as processes, stand-ins beside them, faults on the links between.

mod support;

mod answers;
mod callers;
mod command_line;
mod configuration;
mod ledger;
mod membership;
mod rollout;
mod soak;
mod stops;
