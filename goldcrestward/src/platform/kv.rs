//! The platform's key-value service, through etcd's v3 JSON gateway.
//!
//! Every call of a daemon goes through [`Kv`], which counts it by purpose, stops
//! calling for a while after repeated failures, and limits its time.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use http_body_util::BodyExt;
use prometheus::IntCounterVec;
use rand::Rng;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::time::timeout;
use volo_http::{body::Body, response::Response};

use super::error::{BudgetSnafu, Result, UnansweredSnafu, UnreachedSnafu};
use crate::connection::{Call, HttpClient, Sent};

const SERVICE: &str = "key-value service";
/// Time allowed for one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Failures in a row after which calls pause.
const BREAKER_FAILURES: u32 = 3;
/// First pause after repeated failures.
const BREAKER_PAUSE_MS: u64 = 500;
/// Longest pause after repeated failures.
const BREAKER_PAUSE_MAX_MS: u64 = 8_000;

/// What a call is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// Reading and accepting configuration.
    Config,
    /// The list of daemons to join.
    Seeds,
    /// The ledger of calls that may not be repeated.
    Ledger,
    /// Moves to new versions.
    Rollout,
}

impl Purpose {
    /// The purpose as a label of a counter.
    pub fn label(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Seeds => "seeds",
            Self::Ledger => "ledger",
            Self::Rollout => "rollout",
        }
    }
}

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Row {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// Revision of the last change.
    pub revision: u64,
}

/// A condition of a transaction: the key's last change is of this revision; 0 if it must not exist.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Compare {
    /// The key.
    pub key: String,
    /// The revision.
    pub revision: u64,
}

/// A value to be stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Put {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
}

/// Outcome of a transaction that was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Txn {
    /// Whether all conditions held, so that the values were stored.
    pub succeeded: bool,
    /// Revision of the service after it.
    pub revision: u64,
}

/// The end of the range of all keys that begin with `prefix`.
pub(crate) fn prefix_end(prefix: &str) -> String {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        *last += 1;
    }
    String::from_utf8(end).unwrap_or_default()
}

#[derive(Serialize)]
struct RangeAsk<'a> {
    key: &'a str,
    #[serde(skip_serializing_if = "str::is_empty")]
    range_end: &'a str,
    min_mod_revision: String,
}

#[derive(Deserialize, Default)]
struct Header {
    #[serde(default)]
    revision: String,
}

#[derive(Deserialize)]
struct RawRow {
    key: String,
    #[serde(default)]
    value: String,
    #[serde(default)]
    mod_revision: String,
}

#[derive(Deserialize)]
struct RangeAnswer {
    #[serde(default)]
    header: Header,
    #[serde(default)]
    kvs: Vec<RawRow>,
}

#[derive(Serialize)]
struct RawCompare {
    key: String,
    target: &'static str,
    result: &'static str,
    mod_revision: String,
}

#[derive(Serialize)]
struct RawPut {
    key: String,
    value: String,
}

#[derive(Serialize)]
struct RawDelete {
    key: String,
}

#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
enum Step {
    RequestPut(RawPut),
    RequestDeleteRange(RawDelete),
}

#[derive(Serialize)]
struct TxnAsk {
    compare: Vec<RawCompare>,
    success: Vec<Step>,
}

#[derive(Deserialize)]
struct TxnAnswer {
    #[serde(default)]
    header: Header,
    #[serde(default)]
    succeeded: bool,
}

#[derive(Serialize)]
struct WatchCreate<'a> {
    key: &'a str,
    range_end: &'a str,
    start_revision: String,
}

#[derive(Serialize)]
struct WatchAsk<'a> {
    create_request: WatchCreate<'a>,
}

#[derive(Deserialize)]
struct RawEvent {
    kv: RawRow,
}

#[derive(Deserialize, Default)]
struct WatchResult {
    #[serde(default)]
    events: Vec<RawEvent>,
}

#[derive(Deserialize)]
struct WatchLine {
    #[serde(default)]
    result: WatchResult,
}

struct Breaker {
    failures: AtomicU32,
    closed_at: AtomicU64,
    start: Instant,
}

impl Breaker {
    fn is_open(&self) -> bool {
        let now = self.start.elapsed().as_millis() as u64;
        self.closed_at.load(Ordering::Relaxed) > now
    }

    fn note(&self, answered: bool) {
        if answered {
            self.failures.store(0, Ordering::Relaxed);
            return;
        }
        let failures = self.failures.fetch_add(1, Ordering::Relaxed) + 1;
        if failures < BREAKER_FAILURES {
            return;
        }
        let doublings = (failures - BREAKER_FAILURES).min(6);
        let limit = (BREAKER_PAUSE_MS << doublings).min(BREAKER_PAUSE_MAX_MS);
        // Jitter keeps the daemons from calling together when the service returns.
        let pause = rand::rng().random_range(limit / 2..=limit);
        let now = self.start.elapsed().as_millis() as u64;
        self.closed_at.store(now + pause, Ordering::Relaxed);
    }
}

/// The one client of a daemon to the key-value service.
#[derive(Clone)]
pub(crate) struct Kv {
    address: SocketAddr,
    client: HttpClient,
    calls: IntCounterVec,
    breaker: Arc<Breaker>,
}

impl Kv {
    /// A client to the service at `address`; `calls` counts by kind, purpose and result.
    pub fn new(address: SocketAddr, client: HttpClient, calls: IntCounterVec) -> Self {
        let start = Instant::now();
        let breaker = Arc::new(Breaker { failures: AtomicU32::new(0), closed_at: AtomicU64::new(0), start });
        Self { address, client, calls, breaker }
    }

    /// Whether calls pause after repeated failures.
    pub fn is_paused(&self) -> bool {
        self.breaker.is_open()
    }

    /// Reads the keys from `key` up to `end` that were changed at revision `since` or later.
    ///
    /// # Errors
    /// Fails when the service does not answer.
    pub async fn range(&self, purpose: Purpose, key: &str, end: &str, since: u64) -> Result<(Vec<Row>, u64)> {
        let key = STANDARD.encode(key);
        let end = if end.is_empty() { String::new() } else { STANDARD.encode(end) };
        let ask = RangeAsk { key: &key, range_end: &end, min_mod_revision: since.to_string() };
        let answer: RangeAnswer = self.call("range", purpose, &ask).await?;
        let rows = answer.kvs.into_iter().filter_map(row).collect();
        Ok((rows, number(&answer.header.revision)))
    }

    /// Stores `puts` and removes `removes` if all conditions hold.
    ///
    /// # Errors
    /// With [`super::Error::Unanswered`] the values may have been stored; read back to learn it.
    pub async fn txn(
        &self,
        purpose: Purpose,
        compares: Vec<Compare>,
        puts: Vec<Put>,
        removes: Vec<String>,
    ) -> Result<Txn> {
        let compare = compares.into_iter().map(|c| RawCompare {
            key: STANDARD.encode(c.key),
            target: "MOD",
            result: "EQUAL",
            mod_revision: c.revision.to_string(),
        });
        let puts = puts
            .into_iter()
            .map(|p| Step::RequestPut(RawPut { key: STANDARD.encode(p.key), value: STANDARD.encode(p.value) }));
        let removes = removes.into_iter().map(|key| Step::RequestDeleteRange(RawDelete { key: STANDARD.encode(key) }));
        let ask = TxnAsk { compare: compare.collect(), success: puts.chain(removes).collect() };
        let answer: TxnAnswer = self.call("txn", purpose, &ask).await?;
        Ok(Txn { succeeded: answer.succeeded, revision: number(&answer.header.revision) })
    }

    /// Opens a watch on the keys with `prefix` from revision `from` on.
    ///
    /// # Errors
    /// Fails when the service does not answer.
    pub async fn watch(&self, purpose: Purpose, prefix: &str, from: u64) -> Result<Watch> {
        let (key, end) = (STANDARD.encode(prefix), STANDARD.encode(prefix_end(prefix)));
        let create_request = WatchCreate { key: &key, range_end: &end, start_revision: from.to_string() };
        let response = self.send("watch", purpose, &WatchAsk { create_request }).await?;
        Ok(Watch { body: response.into_body(), buffer: Vec::new() })
    }

    async fn call<A: Serialize, R: DeserializeOwned>(&self, kind: &str, purpose: Purpose, ask: &A) -> Result<R> {
        let exchange = async {
            let response = self.send(kind, purpose, ask).await?;
            let body = response.into_body().collect().await.ok();
            let bytes = body.map(http_body_util::Collected::to_bytes);
            let parsed = bytes.and_then(|b| serde_json::from_slice(&b).ok());
            parsed.ok_or(UnansweredSnafu { service: SERVICE }.build())
        };
        let result = timeout(CALL_TIMEOUT, exchange).await;
        let result = result.unwrap_or_else(|_| UnansweredSnafu { service: SERVICE }.fail());
        if result.is_err() && !self.breaker.is_open() {
            self.breaker.note(false);
        }
        result
    }

    async fn send<A: Serialize>(&self, kind: &str, purpose: Purpose, ask: &A) -> Result<Response> {
        if self.breaker.is_open() {
            self.calls.with_label_values(&[kind, purpose.label(), "paused"]).inc();
            return BudgetSnafu { purpose: purpose.label() }.fail();
        }
        let path = match kind {
            "watch" => "/v3/watch".to_owned(),
            _ => format!("/v3/kv/{kind}"),
        };
        let mut headers = HeaderMap::new();
        headers.insert(http::header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert("x-purpose", HeaderValue::from_static(purpose.label()));
        let body = Body::from(serde_json::to_vec(ask).unwrap_or_default());
        let call = Call { address: self.address, method: Method::POST, path, headers, body };
        let result = match self.client.send(call).await {
            Ok(response) if response.status() == StatusCode::OK => Ok(response),
            Ok(_) | Err(Sent::Maybe) => UnansweredSnafu { service: SERVICE }.fail(),
            Err(Sent::No) => UnreachedSnafu { service: SERVICE }.fail(),
        };
        let label = if result.is_ok() { "answered" } else { "failed" };
        self.calls.with_label_values(&[kind, purpose.label(), label]).inc();
        if result.is_ok() {
            self.breaker.note(true);
        }
        result
    }
}

/// An open watch.
pub(crate) struct Watch {
    body: Body,
    buffer: Vec<u8>,
}

impl Watch {
    /// Waits for the next changes; `None` when the watch has ended. A removed key has an empty value.
    pub async fn next(&mut self) -> Option<Vec<Row>> {
        loop {
            if let Some(end) = self.buffer.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                let line: WatchLine = serde_json::from_slice(&line).ok()?;
                return Some(line.result.events.into_iter().filter_map(|e| row(e.kv)).collect());
            }
            let frame = self.body.frame().await?.ok()?;
            self.buffer.extend_from_slice(frame.data_ref()?);
        }
    }
}

fn row(raw: RawRow) -> Option<Row> {
    let key = String::from_utf8(STANDARD.decode(raw.key).ok()?).ok()?;
    let value = Bytes::from(STANDARD.decode(raw.value).ok()?);
    Some(Row { key, value, revision: number(&raw.mod_revision) })
}

fn number(text: &str) -> u64 {
    text.parse().unwrap_or(0)
}
