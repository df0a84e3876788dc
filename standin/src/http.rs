//! Minimal HTTP/1 server and client shared by the stand-ins.

use std::{convert::Infallible, future::Future, net::SocketAddr};

use bytes::Bytes;
use futures_util::Stream;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::{Frame, Incoming};
use hyper::{client::conn::http1 as client, server::conn::http1 as server, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::{Serialize, de::DeserializeOwned};
use snafu::ResultExt;
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    task::JoinSet,
};

use crate::error::{Error, ListenSnafu, Result};

const LISTEN_BACKLOG: u32 = 4096;

/// A response body of a stand-in. An error in it closes the connection before the body is complete.
pub type Body = UnsyncBoxBody<Bytes, InjectedAbort>;

/// Body error that truncates a response as an injected fault.
#[derive(Debug)]
pub struct InjectedAbort;

impl std::fmt::Display for InjectedAbort {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("answer cut short on demand")
    }
}

impl std::error::Error for InjectedAbort {}

/// Opens a listening socket with a long backlog.
///
/// # Errors
/// Fails when the address cannot be bound.
pub fn listen(address: SocketAddr) -> Result<TcpListener> {
    let socket = TcpSocket::new_v4().context(ListenSnafu { address })?;
    socket.set_reuseaddr(true).context(ListenSnafu { address })?;
    socket.bind(address).context(ListenSnafu { address })?;
    socket.listen(LISTEN_BACKLOG).context(ListenSnafu { address })
}

/// Serves HTTP/1 on `listener` until the task is dropped, which also closes its connections.
pub async fn serve<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
            continue;
        };
        stream.set_nodelay(true).ok();
        let handler = handler.clone();
        connections.spawn(async move {
            let service = service_fn(move |request| {
                let response = handler(request);
                async move { Ok::<_, Infallible>(response.await) }
            });
            server::Builder::new().timer(TokioTimer::new()).serve_connection(TokioIo::new(stream), service).await.ok();
        });
    }
}

/// A body that is complete in memory.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// A body that is streamed frame by frame.
pub fn stream<S>(frames: S) -> Body
where
    S: Stream<Item = Result<Frame<Bytes>, InjectedAbort>> + Send + 'static,
{
    StreamBody::new(frames).boxed_unsync()
}

pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    Response::builder()
        .status(status)
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(full(text))
        .unwrap_or_default()
}

pub fn text(status: StatusCode, message: &'static str) -> Response<Body> {
    let mut response = Response::new(full(message));
    *response.status_mut() = status;
    response
}

/// Reads a JSON body.
///
/// # Errors
/// Returns the 400 response to send when the body cannot be read or parsed.
pub async fn read_json<T: DeserializeOwned>(body: Incoming) -> Result<T, Response<Body>> {
    let bytes = body.collect().await.map_err(|_| text(StatusCode::BAD_REQUEST, "could not read the body"))?.to_bytes();
    serde_json::from_slice(&bytes).map_err(|_| text(StatusCode::BAD_REQUEST, "could not parse the body"))
}

/// Sends one request on a new connection and returns the response once its head has arrived.
///
/// # Errors
/// Fails when the connection fails before the head of the response has arrived.
pub async fn send_request(address: SocketAddr, request: Request<Full<Bytes>>) -> Result<Response<Incoming>> {
    let fail = |reason: String| Error::Request { address, reason };
    let stream = TcpStream::connect(address).await.map_err(|e| fail(e.to_string()))?;
    stream.set_nodelay(true).ok();
    let (mut sender, connection) = client::handshake(TokioIo::new(stream)).await.map_err(|e| fail(e.to_string()))?;
    tokio::spawn(connection);
    sender.send_request(request).await.map_err(|e| fail(e.to_string()))
}

/// Posts JSON to `path` and reads the JSON response.
///
/// # Errors
/// Fails when the request fails or the response is not JSON of type `R`.
pub async fn post<T: Serialize, R: DeserializeOwned>(address: SocketAddr, path: &str, value: &T) -> Result<R> {
    send_json(address, Request::post(path), value).await
}

/// Posts JSON to `path` with a bearer token and reads the JSON response.
///
/// # Errors
/// Fails when the request fails or the response is not JSON of type `R`.
pub async fn post_with_token<T, R>(address: SocketAddr, path: &str, token: &str, value: &T) -> Result<R>
where
    T: Serialize,
    R: DeserializeOwned,
{
    let request = Request::post(path).header(http::header::AUTHORIZATION, format!("Bearer {token}"));
    send_json(address, request, value).await
}

/// Puts JSON to `path` and reads the JSON response.
///
/// # Errors
/// Fails when the request fails or the response is not JSON of type `R`.
pub async fn put<T: Serialize, R: DeserializeOwned>(address: SocketAddr, path: &str, value: &T) -> Result<R> {
    send_json(address, Request::put(path), value).await
}

async fn send_json<T, R>(address: SocketAddr, request: http::request::Builder, value: &T) -> Result<R>
where
    T: Serialize,
    R: DeserializeOwned,
{
    let fail = |reason: String| Error::Request { address, reason };
    let body = serde_json::to_vec(value).map_err(|e| fail(e.to_string()))?;
    let request = request
        .header(http::header::HOST, address.to_string())
        .body(Full::new(Bytes::from(body)))
        .map_err(|e| fail(e.to_string()))?;
    let response = send_request(address, request).await?;
    let bytes = response.into_body().collect().await.map_err(|e| fail(e.to_string()))?.to_bytes();
    serde_json::from_slice(&bytes).map_err(|e| fail(e.to_string()))
}

/// Sends a GET request, with a bearer token if there is one, and reads the response as text.
///
/// # Errors
/// Fails when the request fails.
pub async fn get(address: SocketAddr, path: &str, token: Option<&str>) -> Result<String> {
    let fail = |reason: String| Error::Request { address, reason };
    let mut request = Request::get(path).header(http::header::HOST, address.to_string());
    if let Some(token) = token {
        request = request.header(http::header::AUTHORIZATION, format!("Bearer {token}"));
    }
    let request = request.body(Full::default()).map_err(|e| fail(e.to_string()))?;
    let response = send_request(address, request).await?;
    let bytes = response.into_body().collect().await.map_err(|e| fail(e.to_string()))?.to_bytes();
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}
