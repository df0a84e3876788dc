//! A caller: sends requests on kept connections and checks what comes back.

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

/// Time for a whole request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(120);

type Sender = SendRequest<Full<Bytes>>;

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The answer was whole and right.
    Complete,
    /// The answer was cut.
    Truncated,
    /// The answer was whole but not the one asked for.
    Mismatch,
    /// It was refused, for this reason and with this run state.
    Refused(String, String),
    /// No answer came.
    Unanswered,
}

/// A streamed answer as it was seen.
#[derive(Clone, Debug)]
pub struct StreamResult {
    /// How it ended.
    pub outcome: RequestOutcome,
    /// Time from the planned start to the first token.
    pub first: Option<Duration>,
    /// Mean time between tokens.
    pub between: Option<Duration>,
    /// Tokens received.
    pub tokens: usize,
}

/// Sends requests to daemons.
#[derive(Clone, Default)]
pub struct Client {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Sender>>>>,
}

impl Client {
    /// Sends a streamed chat request and checks the answer's text.
    pub async fn stream(
        &self,
        target: SocketAddr,
        key: &str,
        model: &str,
        prompt: &str,
        tokens: usize,
        planned: Instant,
    ) -> StreamResult {
        let nothing = |outcome| StreamResult { outcome, first: None, between: None, tokens: 0 };
        let body = json!({
            "model": model, "stream": true, "max_tokens": tokens,
            "messages": [{ "role": "user", "content": prompt }],
        });
        let exchange = async {
            let request = build(target, key, "/v1/chat/completions", None, body.to_string());
            let Some((response, sender)) = self.send(target, request).await else {
                return nothing(RequestOutcome::Unanswered);
            };
            if response.status() != StatusCode::OK {
                return nothing(refusal(response).await);
            }
            let check = read_stream(response.into_body(), prompt, tokens, planned).await;
            if check.outcome == RequestOutcome::Complete {
                self.keep(target, sender);
            }
            check
        };
        timeout(REQUEST_TIMEOUT, exchange).await.unwrap_or_else(|_| nothing(RequestOutcome::Unanswered))
    }

    /// Sends a call with an idempotency key.
    pub async fn keyed(&self, target: SocketAddr, key: &str, path: &str, idempotency: &str) -> RequestOutcome {
        let body = json!({ "order": idempotency }).to_string();
        let exchange = async {
            let request = build(target, key, path, Some(idempotency), body);
            let Some((response, sender)) = self.send(target, request).await else { return RequestOutcome::Unanswered };
            if response.status() != StatusCode::OK {
                return refusal(response).await;
            }
            let Ok(whole) = response.into_body().collect().await else { return RequestOutcome::Truncated };
            self.keep(target, sender);
            let value: Value = serde_json::from_slice(&whole.to_bytes()).unwrap_or_default();
            if value["key"] == idempotency { RequestOutcome::Complete } else { RequestOutcome::Mismatch }
        };
        timeout(REQUEST_TIMEOUT, exchange).await.unwrap_or(RequestOutcome::Unanswered)
    }

    async fn send(&self, target: SocketAddr, request: Request<Full<Bytes>>) -> Option<(Response<Incoming>, Sender)> {
        let mut sender = match self.take(target).await {
            Some(sender) => sender,
            None => connect(target).await?,
        };
        match sender.send_request(request.clone()).await {
            Ok(response) => Some((response, sender)),
            Err(_) => None,
        }
    }

    async fn take(&self, target: SocketAddr) -> Option<Sender> {
        loop {
            let mut sender = self.idle.lock().get_mut(&target)?.pop()?;
            if sender.ready().await.is_ok() && !sender.is_closed() {
                return Some(sender);
            }
        }
    }

    fn keep(&self, target: SocketAddr, sender: Sender) {
        self.idle.lock().entry(target).or_default().push(sender);
    }
}

async fn connect(target: SocketAddr) -> Option<Sender> {
    let stream = TcpStream::connect(target).await.ok()?;
    stream.set_nodelay(true).ok();
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}

fn build(target: SocketAddr, key: &str, path: &str, idempotency: Option<&str>, body: String) -> Request<Full<Bytes>> {
    let mut request = Request::post(path)
        .header(header::HOST, target.to_string())
        .header(header::AUTHORIZATION, format!("Bearer {key}"))
        .header(header::CONTENT_TYPE, "application/json")
        .header("x-request-id", "direct")
        .header("x-attempt", "1");
    if let Some(idempotency) = idempotency {
        request = request.header("idempotency-key", idempotency);
    }
    request.body(Full::new(Bytes::from(body))).unwrap_or_default()
}

async fn refusal(response: Response<Incoming>) -> RequestOutcome {
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
    let mut check = StreamResult { outcome: RequestOutcome::Truncated, first: None, between: None, tokens: 0 };
    let mut began = None;
    let mut done = false;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return check };
        buffer.extend_from_slice(frame.data_ref().map(|b| &b[..]).unwrap_or_default());
        while let Some(end) = buffer.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = buffer.drain(..end + 2).collect();
            let data = event.strip_prefix(b"data: ").unwrap_or_default().trim_ascii();
            if data == b"[DONE]" {
                done = true;
                continue;
            }
            let Some(piece) = content(data) else { continue };
            let now = Instant::now();
            began.get_or_insert(now);
            check.first.get_or_insert(now.saturating_duration_since(planned));
            check.tokens += 1;
            text.push_str(&piece);
        }
    }
    if let Some(began) = began.filter(|_| check.tokens > 1) {
        check.between = Some(began.elapsed() / (check.tokens as u32 - 1));
    }
    check.outcome = match (done, text == generated_text(prompt, tokens)) {
        (false, _) => RequestOutcome::Truncated,
        (true, true) => RequestOutcome::Complete,
        (true, false) => RequestOutcome::Mismatch,
    };
    check
}

/// The text of a chunk, found without parsing the whole of it.
fn content(data: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(data).ok()?;
    let (_, rest) = text.split_once(r#""content":""#)?;
    let (content, _) = rest.split_once('"')?;
    Some(content.to_owned())
}
