//! Client that sends requests on keep-alive connections and checks the responses.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::{net::TcpStream, time::timeout};

use crate::engine::generated_text;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(120);

type Sender = SendRequest<Full<Bytes>>;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The response was complete and correct.
    Complete,
    /// The response was truncated.
    Truncated,
    /// The response was complete but not the expected one.
    Mismatch,
    /// The request was refused, with this reason and run state.
    Refused(String, String),
    /// No connection could be opened, or it closed before the request was sent.
    Unreached,
    /// No response arrived in time, or the connection ended without one.
    Unanswered,
}

/// Result of a streamed request.
#[derive(Clone, Debug)]
pub struct StreamResult {
    pub outcome: RequestOutcome,
    /// Time from the planned start to the first token.
    pub first_token: Option<Duration>,
    /// Mean time between tokens.
    pub token_interval: Option<Duration>,
    /// Tokens received.
    pub tokens: usize,
}

/// Sends requests to daemons or engines. Clones share their idle connections.
#[derive(Clone, Default)]
pub struct Client {
    idle_connections: Arc<Mutex<HashMap<SocketAddr, Vec<Sender>>>>,
}

impl Client {
    /// Sends a streamed chat request and checks the generated text. The time to the first token
    /// counts from `planned`.
    pub async fn stream(
        &self,
        target: SocketAddr,
        account_key: &str,
        model: &str,
        prompt: &str,
        tokens: usize,
        planned: Instant,
    ) -> StreamResult {
        let without_tokens = |outcome| StreamResult { outcome, first_token: None, token_interval: None, tokens: 0 };
        let body = json!({
            "model": model, "stream": true, "max_tokens": tokens,
            "messages": [{ "role": "user", "content": prompt }],
        });
        let attempt = async {
            let request = build_request(target, account_key, "/v1/chat/completions", None, body.to_string());
            let (response, sender) = match self.send(target, request).await {
                Ok(answer) => answer,
                Err(outcome) => return without_tokens(outcome),
            };
            if response.status() != StatusCode::OK {
                return without_tokens(refusal_outcome(response).await);
            }
            let result = read_stream(response.into_body(), prompt, tokens, planned).await;
            if result.outcome == RequestOutcome::Complete {
                self.release(target, sender);
            }
            result
        };
        timeout(REQUEST_TIMEOUT, attempt).await.unwrap_or_else(|_| without_tokens(RequestOutcome::Unanswered))
    }

    /// Sends a request with an idempotency key and checks that the service echoes the key.
    pub async fn keyed(
        &self,
        target: SocketAddr,
        account_key: &str,
        path: &str,
        idempotency_key: &str,
    ) -> RequestOutcome {
        let body = json!({ "order": idempotency_key }).to_string();
        let attempt = async {
            let request = build_request(target, account_key, path, Some(idempotency_key), body);
            let (response, sender) = match self.send(target, request).await {
                Ok(answer) => answer,
                Err(outcome) => return outcome,
            };
            if response.status() != StatusCode::OK {
                return refusal_outcome(response).await;
            }
            let Ok(body) = response.into_body().collect().await else { return RequestOutcome::Truncated };
            self.release(target, sender);
            let value: Value = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
            if value["key"] == idempotency_key { RequestOutcome::Complete } else { RequestOutcome::Mismatch }
        };
        timeout(REQUEST_TIMEOUT, attempt).await.unwrap_or(RequestOutcome::Unanswered)
    }

    async fn send(
        &self,
        target: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Sender), RequestOutcome> {
        let mut sender = match self.idle_connection(target).await {
            Some(sender) => sender,
            None => connect(target).await.ok_or(RequestOutcome::Unreached)?,
        };
        match sender.send_request(request).await {
            Ok(response) => Ok((response, sender)),
            Err(error) if error.is_canceled() => Err(RequestOutcome::Unreached),
            Err(_) => Err(RequestOutcome::Unanswered),
        }
    }

    async fn idle_connection(&self, target: SocketAddr) -> Option<Sender> {
        loop {
            let mut sender = self.idle_connections.lock().get_mut(&target)?.pop()?;
            if sender.ready().await.is_ok() && !sender.is_closed() {
                return Some(sender);
            }
        }
    }

    fn release(&self, target: SocketAddr, sender: Sender) {
        self.idle_connections.lock().entry(target).or_default().push(sender);
    }
}

async fn connect(target: SocketAddr) -> Option<Sender> {
    let stream = TcpStream::connect(target).await.ok()?;
    stream.set_nodelay(true).ok();
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}

fn build_request(
    target: SocketAddr,
    key: &str,
    path: &str,
    idempotency_key: Option<&str>,
    body: String,
) -> Request<Full<Bytes>> {
    let mut request = Request::post(path)
        .header(header::HOST, target.to_string())
        .header(header::AUTHORIZATION, format!("Bearer {key}"))
        .header(header::CONTENT_TYPE, "application/json")
        .header("x-request-id", "direct")
        .header("x-attempt", "1");
    if let Some(idempotency_key) = idempotency_key {
        request = request.header("idempotency-key", idempotency_key);
    }
    request.body(Full::new(Bytes::from(body))).unwrap_or_default()
}

async fn refusal_outcome(response: Response<Incoming>) -> RequestOutcome {
    let status = response.status();
    let header = |name: &str| response.headers().get(name).and_then(|v| v.to_str().ok()).map(str::to_owned);
    let reason = header("x-refusal").unwrap_or_else(|| status.as_u16().to_string());
    let run = header("x-run-state").unwrap_or_else(|| "unsaid".into());
    response.into_body().collect().await.ok();
    RequestOutcome::Refused(reason, run)
}

async fn read_stream(mut body: Incoming, prompt: &str, tokens: usize, planned: Instant) -> StreamResult {
    let mut buffer = Vec::new();
    let mut text = String::new();
    let mut result =
        StreamResult { outcome: RequestOutcome::Truncated, first_token: None, token_interval: None, tokens: 0 };
    let mut first_token_at = None;
    let mut saw_done = false;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return result };
        buffer.extend_from_slice(frame.data_ref().map(|b| &b[..]).unwrap_or_default());
        while let Some(end) = buffer.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = buffer.drain(..end + 2).collect();
            let data = event.strip_prefix(b"data: ").unwrap_or_default().trim_ascii();
            if data == b"[DONE]" {
                saw_done = true;
                continue;
            }
            let Some(content) = chunk_content(data) else { continue };
            let now = Instant::now();
            first_token_at.get_or_insert(now);
            result.first_token.get_or_insert(now.saturating_duration_since(planned));
            result.tokens += 1;
            text.push_str(&content);
        }
    }
    if let Some(first_token_at) = first_token_at.filter(|_| result.tokens > 1) {
        result.token_interval = Some(first_token_at.elapsed() / (result.tokens as u32 - 1));
    }
    result.outcome = match (saw_done, text == generated_text(prompt, tokens)) {
        (false, _) => RequestOutcome::Truncated,
        (true, true) => RequestOutcome::Complete,
        (true, false) => RequestOutcome::Mismatch,
    };
    result
}

/// Extracts the text of a chunk without parsing the whole JSON.
fn chunk_content(data: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(data).ok()?;
    let (_, rest) = text.split_once(r#""content":""#)?;
    let (content, _) = rest.split_once('"')?;
    Some(content.to_owned())
}
