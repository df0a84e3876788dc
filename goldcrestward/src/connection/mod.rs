//! Listeners, clients and connections, and the authentication of peers.

mod activity;
mod backend;
mod caller_closes;
mod carried;
mod carried_exchanges;
mod client;
mod close_notice;
mod drain;
mod error;
mod framing;
mod http_messages;
mod idle_lifetime;
mod idle_senders;
mod limits_in_force;
mod listener;
mod observed_stream;
mod open_requests;
mod peer;
mod request_record;
mod request_sender;
mod response_head;
mod running_requests;
mod seal;
mod server_stream;
mod socket;
mod tunnel;
mod unanswered;
mod unread_body;

pub(crate) use activity::AmbiguousFraming;
pub(crate) use backend::{BackendConnection, BackendConnections, ConnectError};
pub(crate) use caller_closes::CallerCloses;
pub(crate) use carried::{CarriedConnection, CarriedConnections, IsStopping};
pub(crate) use carried_exchanges::{Notice, ResponseObserver};
pub use client::{HttpClient, OutboundRequest, SendError};
pub(crate) use drain::Drain;
pub(crate) use error::Error;
pub(crate) use limits_in_force::LimitsInForce;
pub(crate) use listener::{Listener, MAX_HEAD_BYTES, bind};
pub(crate) use peer::{PeerClient, PeerHandler, serve_peers};
pub(crate) use request_record::{BrokenAnswer, RequestRecord};
pub use response_head::HeadTooLong;
pub(crate) use seal::{DatagramSealer, Secrets};
pub(crate) use socket::open_socket;
pub(crate) use unanswered::UnansweredCause;

#[cfg(test)]
mod framing_test;
#[cfg(test)]
mod seal_test;
#[cfg(test)]
mod tunnel_test;
