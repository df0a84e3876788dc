//! HTTP client for back ends and the platform.

use std::{error::Error, io, net::SocketAddr, time::Duration};

use http::{HeaderMap, HeaderValue, Method, header};
use motore::layer::Identity;
use volo::loadbalance::MkLbLayer;
use volo_http::{
    body::Body,
    client::{Client, ClientBuilder},
    error::client::{ClientError, ErrorKind},
    response::Response,
};

use super::error::{BuildSnafu, Result};

/// Most idle connections kept per host.
const IDLE_CONNECTIONS: usize = 64;
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Says whether a failed request may have reached the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendError {
    /// No byte of the request was written to a connection.
    NotSent,
    /// The server may have read part or all of the request.
    MaybeSent,
}

/// Disables load balancing and name resolution, as all requests go to IP addresses.
struct NoBalance;

impl MkLbLayer for NoBalance {
    type Layer = Identity;

    fn make(self) -> Identity {
        Identity::new()
    }
}

/// A client with a bounded pool of idle connections, and one that opens a connection for each request.
#[derive(Clone)]
pub struct HttpClient {
    pooled: Client,
    fresh: Client,
}

impl HttpClient {
    /// Builds both clients.
    ///
    /// # Errors
    /// Fails when the HTTP library rejects the options.
    pub fn new() -> Result<Self> {
        Ok(Self { pooled: build(IDLE_CONNECTIONS)?, fresh: build(0)? })
    }

    /// Sends a request, on an idle connection if there is one.
    ///
    /// # Errors
    /// Says whether the request may have reached the server.
    pub async fn send(&self, request: OutboundRequest) -> Result<Response, SendError> {
        request.send(&self.pooled).await
    }

    /// Sends a request on a new connection, so that a failure to connect proves that it was not sent.
    ///
    /// # Errors
    /// Says whether the request may have reached the server.
    pub async fn send_fresh(&self, mut request: OutboundRequest) -> Result<Response, SendError> {
        // Without idle connections, the library still hands a connection whose response has been read to a request that
        // is waiting for a new one.
        request.headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        request.send(&self.fresh).await
    }
}

/// An HTTP request to a back end or the platform.
pub struct OutboundRequest {
    pub address: SocketAddr,
    pub method: Method,
    /// Path with query.
    pub path: String,
    /// Headers; `Host` is set when the request is sent.
    pub headers: HeaderMap,
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

/// Says whether a failed request may have been sent.
///
/// The HTTP library reports a failure to connect as a failed request whose direct source is the
/// system's error; a failure on an open connection has hyper's error as its source.
fn send_error(error: &ClientError) -> SendError {
    let is_unopened = error.source().is_some_and(|source| source.is::<io::Error>());
    match error.kind() {
        ErrorKind::Builder | ErrorKind::Context | ErrorKind::Connect | ErrorKind::LoadBalance => SendError::NotSent,
        _ if is_unopened => SendError::NotSent,
        _ => SendError::MaybeSent,
    }
}

fn build(max_idle: usize) -> Result<Client> {
    let mut builder = ClientBuilder::new().mk_load_balance(NoBalance);
    builder.set_max_idle_per_host(max_idle).set_pool_idle_timeout(IDLE_TIMEOUT).set_connect_timeout(CONNECT_TIMEOUT);
    builder.build().map_err(|error| BuildSnafu { reason: error.to_string() }.build())
}

#[cfg(test)]
#[path = "client_test.rs"]
mod client_test;
