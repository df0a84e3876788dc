//! HTTP client for back ends and the platform.

use std::{io, net::SocketAddr, time::Duration};

use futures_util::{StreamExt, stream::FuturesUnordered};
use http::{HeaderMap, HeaderValue, Method, Request, header};
use hyper::client::conn::http1::Builder;
use tokio::time::timeout;
use volo_http::{body::Body, response::Response};

use super::{
    idle_lifetime::idle_lifetime, idle_senders::IdleSenders, request_sender::RequestSender, response_head::HeadTooLong,
    socket::open_socket,
};

/// Time limit for opening a connection. Sound servers pause for a second and more.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time after which a connection is asked for anew. The kernel repeats a lost request for one only after 1 s and then 2 s.
const CONNECT_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Says whether a failed request may have reached the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendError {
    /// No byte of the request was written to a connection.
    NotSent,
    /// The server may have read part or all of the request.
    MaybeSent,
    /// The server has read at least a part of the request, and its response has no end of a head within the bounds.
    HeadTooLong(HeadTooLong),
}

/// A client with a bounded pool of idle connections.
#[derive(Clone, Default)]
pub struct HttpClient {
    idle: IdleSenders,
}

impl HttpClient {
    /// Creates a client without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends a request, on an idle connection if there is one.
    ///
    /// # Errors
    /// Says whether the request may have reached the server.
    pub async fn send(&self, request: OutboundRequest) -> Result<Response, SendError> {
        self.send_owned(request, |_| true, || true).await
    }

    /// Sends a request, on an idle connection if there is one. The connection is used again only if the head of the
    /// response is the request's own: after a copy of another's answer, each later answer would be late by one. What
    /// `may_send` refuses once there is a connection is not sent.
    ///
    /// # Errors
    /// Says whether the request may have reached the server.
    pub(crate) async fn send_owned(
        &self,
        request: OutboundRequest,
        is_own: impl Fn(&HeaderMap) -> bool,
        may_send: impl Fn() -> bool,
    ) -> Result<Response, SendError> {
        let address = request.address;
        let mut request = request.build()?;
        while let Some(mut sender) = self.idle.take(address).filter(|_| may_send()) {
            match sender.send(request).await {
                Ok(response) => return Ok(self.keep(address, sender, response, is_own)),
                // The server has closed the connection in the meantime.
                Err((_, Some(unsent))) => request = unsent,
                Err((error, None)) => return Err(error),
            }
        }
        let mut sender = connect(address).await?;
        if !may_send() {
            return Err(SendError::NotSent);
        }
        let response = sender.send(request).await.map_err(|(error, _)| error)?;
        Ok(self.keep(address, sender, response, is_own))
    }

    /// Sends a request on a new connection, so that a failure to connect proves that it was not sent.
    ///
    /// # Errors
    /// Says whether the request may have reached the server.
    pub async fn send_fresh(&self, request: OutboundRequest) -> Result<Response, SendError> {
        self.send_fresh_if(request, || true).await
    }

    /// Like [`HttpClient::send_fresh`], but what `may_send` refuses once the connection is open is not sent.
    ///
    /// # Errors
    /// Says whether the request may have reached the server.
    pub(crate) async fn send_fresh_if(
        &self,
        mut request: OutboundRequest,
        may_send: impl Fn() -> bool,
    ) -> Result<Response, SendError> {
        request.headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        let mut sender = connect(request.address).await?;
        if !may_send() {
            return Err(SendError::NotSent);
        }
        let response = sender.send(request.build()?).await.map_err(|(error, _)| error)?;
        Ok(response.map(Body::from_incoming))
    }

    /// Keeps the connection for reuse once the response has been read to its end, if its head allows it.
    fn keep(
        &self,
        address: SocketAddr,
        mut sender: RequestSender<Body>,
        response: http::Response<hyper::body::Incoming>,
        is_own: impl Fn(&HeaderMap) -> bool,
    ) -> Response {
        let head = response.headers();
        if let Some(lifetime) = idle_lifetime(head).filter(|_| is_own(head)) {
            let idle = self.idle.clone();
            tokio::spawn(async move {
                if sender.ready().await {
                    idle.put(address, sender, lifetime);
                }
            });
        }
        response.map(Body::from_incoming)
    }
}

async fn connect(address: SocketAddr) -> Result<RequestSender<Body>, SendError> {
    let opened = timeout(CONNECT_TIMEOUT, open_first(|| open_socket(address))).await;
    let stream = opened.ok().and_then(Result::ok).ok_or(SendError::NotSent)?;
    let mut builder = Builder::new();
    builder.title_case_headers(true);
    RequestSender::new(stream, builder).await.ok_or(SendError::NotSent)
}

/// The first of several attempts that ends; one begins each interval, and the earlier ones go on.
async fn open_first<T, F: Future<Output = io::Result<T>>>(open: impl Fn() -> F) -> io::Result<T> {
    let mut attempts = FuturesUnordered::new();
    loop {
        attempts.push(open());
        if let Ok(Some(opened)) = timeout(CONNECT_RETRY_INTERVAL, attempts.next()).await {
            return opened;
        }
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
    fn build(self) -> Result<Request<Body>, SendError> {
        let mut request = Request::new(self.body);
        *request.method_mut() = self.method;
        *request.uri_mut() = self.path.parse().map_err(|_| SendError::NotSent)?;
        *request.headers_mut() = self.headers;
        let host = self.address.to_string().try_into().map_err(|_| SendError::NotSent)?;
        request.headers_mut().insert(header::HOST, host);
        Ok(request)
    }
}

#[cfg(test)]
#[path = "client_test.rs"]
mod client_test;
