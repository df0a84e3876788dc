//! The HTTP client towards back ends and the platform.

use std::{error::Error, io, net::SocketAddr, time::Duration};

use http::{HeaderMap, Method, header};
use motore::layer::Identity;
use volo::loadbalance::MkLbLayer;
use volo_http::{
    body::Body,
    client::{Client, ClientBuilder},
    error::client::{ClientError, ErrorKind},
    response::Response,
};

use super::error::{BuildSnafu, Result};

/// Idle connections kept to one host.
const IDLE_CONNECTIONS: usize = 64;
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Time allowed for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Whether a failed request can have reached the other side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendError {
    /// No byte of it was written to a connection.
    NotSent,
    /// Some of it may have been read by the other side.
    MaybeSent,
}

/// Addresses are given by IP, so nothing needs to be balanced or looked up.
struct NoBalance;

impl MkLbLayer for NoBalance {
    type Layer = Identity;

    fn make(self) -> Identity {
        Identity::new()
    }
}

/// An HTTP client with a bounded pool, and one that opens a connection for each request.
#[derive(Clone)]
pub struct HttpClient {
    pooled: Client,
    fresh: Client,
}

impl HttpClient {
    /// Builds both clients.
    ///
    /// # Errors
    /// Fails when the library refuses the options.
    pub fn new() -> Result<Self> {
        Ok(Self { pooled: build(IDLE_CONNECTIONS)?, fresh: build(0)? })
    }

    /// Sends a request, on an idle connection where there is one.
    ///
    /// # Errors
    /// Tells whether the request can have reached the other side.
    pub async fn send(&self, call: OutboundRequest) -> Result<Response, SendError> {
        call.send(&self.pooled).await
    }

    /// Sends a request on a new connection, so that a failure to connect proves that it was not sent.
    ///
    /// # Errors
    /// Tells whether the request can have reached the other side.
    pub async fn send_fresh(&self, call: OutboundRequest) -> Result<Response, SendError> {
        call.send(&self.fresh).await
    }
}

/// A request to be sent.
pub struct OutboundRequest {
    /// Where to.
    pub address: SocketAddr,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Body,
}

impl OutboundRequest {
    async fn send(mut self, client: &Client) -> Result<Response, SendError> {
        let uri = format!("http://{}{}", self.address, self.path);
        if let Ok(host) = self.address.to_string().try_into() {
            self.headers.insert(header::HOST, host);
        }
        let mut request = client.request(self.method, uri.as_str());
        *request.headers_mut() = self.headers;
        request.body(self.body).send().await.map_err(|error| send_error(&error))
    }
}

/// Tells whether a failed request can have been sent.
///
/// The library reports a connection that could not be opened as a failed request, with the
/// system's error as its direct source; what fails on an open connection has hyper's error there.
fn send_error(error: &ClientError) -> SendError {
    let unopened = error.source().is_some_and(|source| source.is::<io::Error>());
    match error.kind() {
        ErrorKind::Builder | ErrorKind::Context | ErrorKind::Connect | ErrorKind::LoadBalance => SendError::NotSent,
        _ if unopened => SendError::NotSent,
        _ => SendError::MaybeSent,
    }
}

fn build(idle: usize) -> Result<Client> {
    let mut builder = ClientBuilder::new().mk_load_balance(NoBalance);
    builder.set_max_idle_per_host(idle).set_pool_idle_timeout(IDLE_TIMEOUT).set_connect_timeout(CONNECT_TIMEOUT);
    builder.build().map_err(|error| BuildSnafu { reason: error.to_string() }.build())
}
