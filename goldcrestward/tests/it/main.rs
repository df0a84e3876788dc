//! Integration tests: daemon processes against stand-ins, with faults injected between them.

mod support;

mod bodies;
mod callers;
mod command_line;
mod configuration;
mod early_answers;
mod endless;
mod hedges;
mod held_answers;
mod http_10;
mod late_stops;
mod ledger;
mod logs;
mod membership;
mod odd_entries;
mod partial_heads;
mod pauses;
mod responses;
mod resumed_streams;
mod rollout;
mod shutdown;
mod silent_bodies;
mod soak;
mod steps;
mod stop_limits;
mod stops;
mod unread_answers;
mod upgrade;
mod versions;
