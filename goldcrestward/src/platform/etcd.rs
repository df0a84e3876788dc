//! Client of an etcd-compatible key-value service, through etcd's v3 JSON gateway.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use http_body_util::BodyExt;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use volo_http::{body::Body, response::Response};

use crate::{
    connection::{HttpClient, OutboundRequest, SendError},
    process::{ReadError, Refusals, ResponseBuffer, ResponseMemory},
    store::{Cause, Change, Changes, Error, Lease, Page, Result, Revision, Row, StorePort, Txn, TxnOutcome, WatchPort},
    util::repaired_text,
};

const SERVICE: &str = "key-value service";
const WATCH_PATH: &str = "/v3/watch";
/// Size limit of a response: a listing has all entries of the site.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Size limit of the changes that a watch sends at once.
const MAX_CHANGES_BYTES: usize = 4 * 1024 * 1024;

/// Returns the exclusive end of the range of all keys that begin with `prefix`.
fn prefix_end(prefix: &str) -> String {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        *last += 1;
    }
    String::from_utf8(end).unwrap_or_default()
}

#[derive(Serialize)]
struct RangeRequest<'a> {
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
    #[serde(default)]
    create_revision: String,
}

impl RawRow {
    /// Decodes key, value and revisions; a revision that is absent is none.
    fn decode(self) -> Result<Row, String> {
        let key = decode_key(&self.key)?;
        let value = STANDARD.decode(&self.value).map_err(|error| format!("the value is not base64: {error}"))?;
        let [revision, create_revision] = [&self.mod_revision, &self.create_revision].map(|text| {
            let is_number = text.is_empty() || text.parse::<u64>().is_ok();
            if is_number { Ok(parse_revision(text)) } else { Err(format!("the revision {text:?} is not a number")) }
        });
        Ok(Row { key, value: value.into(), revision: revision?, create_revision: create_revision? })
    }
}

/// What must be readable of a row to tell which key it is of.
#[derive(Deserialize)]
struct RowKey {
    key: String,
}

/// What tells the versions of a row apart.
#[derive(Deserialize, Default)]
struct RowRevisions {
    #[serde(default)]
    mod_revision: String,
    #[serde(default)]
    create_revision: String,
}

/// Rows are decoded one by one, so that one that cannot be read leaves the others.
#[derive(Deserialize)]
struct RangeResponse<'a> {
    #[serde(default)]
    header: Header,
    #[serde(borrow, default)]
    kvs: Vec<&'a RawValue>,
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
    #[serde(skip_serializing_if = "String::is_empty")]
    lease: String,
}

#[derive(Serialize)]
struct RawDelete {
    key: String,
}

#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
enum TxnOp {
    RequestPut(RawPut),
    RequestDeleteRange(RawDelete),
}

#[derive(Serialize)]
struct TxnRequest {
    compare: Vec<RawCompare>,
    success: Vec<TxnOp>,
}

#[derive(Deserialize)]
struct TxnResponse {
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
struct WatchRequest<'a> {
    create_request: WatchCreate<'a>,
}

#[derive(Deserialize)]
struct RawEvent<'a> {
    #[serde(default, rename = "type")]
    kind: String,
    #[serde(borrow)]
    kv: &'a RawValue,
}

/// Events are decoded one by one, so that one that cannot be read leaves the others.
#[derive(Deserialize, Default)]
struct WatchResult<'a> {
    #[serde(borrow, default)]
    events: Vec<&'a RawValue>,
}

#[derive(Serialize, Deserialize)]
struct RawLease {
    #[serde(rename = "ID")]
    id: String,
    #[serde(rename = "TTL", default)]
    ttl: String,
}

#[derive(Deserialize)]
struct KeepAliveResponse {
    result: RawLease,
}

#[derive(Deserialize)]
struct RevokeResponse {}

#[derive(Deserialize)]
struct WatchResponse<'a> {
    #[serde(borrow, default)]
    result: WatchResult<'a>,
}

/// [`StorePort`] on an etcd-compatible service.
pub(crate) struct Etcd {
    address: SocketAddr,
    client: HttpClient,
    memory: ResponseMemory,
    /// Name of the service where memory is taken for its responses.
    name: Arc<str>,
    refusals: Refusals,
}

impl Etcd {
    pub fn new(address: SocketAddr, client: HttpClient, memory: ResponseMemory, refusals: Refusals) -> Self {
        Self { address, client, memory, name: SERVICE.replace(' ', "-").into(), refusals }
    }

    async fn range(
        &self,
        purpose: &'static str,
        key: &str,
        end: &str,
        since: Revision,
    ) -> Result<(Vec<Row>, Revision)> {
        let key = STANDARD.encode(key);
        let end = if end.is_empty() { String::new() } else { STANDARD.encode(end) };
        let request = RangeRequest { key: &key, range_end: &end, min_mod_revision: since.number().to_string() };
        let response = self.request("/v3/kv/range", purpose, &request).await?;
        let response: RangeResponse<'_> = response.json(&self.refusals)?;
        let revision = parse_revision(&response.header.revision);
        let rows = response.kvs.iter().enumerate();
        let rows = rows.filter_map(|(index, raw)| decode_row(raw, index, &self.refusals)).collect();
        Ok((rows, revision))
    }

    async fn request<Q: Serialize>(&self, path: &'static str, purpose: &'static str, request: &Q) -> Result<Answer> {
        let response = self.send(path, purpose, request).await?;
        let body = self.memory.collect_protected(response.into_body(), &self.name, MAX_RESPONSE_BYTES).await;
        let bytes = body.map_err(|error| {
            let ReadError::TooLong(error) = error else { return unanswered(Cause::Broken) };
            self.memory.record_too_long("-", &self.name, "service", &error);
            unanswered(Cause::TooLong)
        })?;
        Ok(Answer { path, body: repaired_text(bytes) })
    }

    async fn send<Q: Serialize>(&self, path: &str, purpose: &'static str, request: &Q) -> Result<Response> {
        let mut headers = HeaderMap::new();
        headers.insert(http::header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert("x-purpose", HeaderValue::from_static(purpose));
        let body =
            serde_json::to_vec(request).map_err(|_| Error::Unreached { service: SERVICE, cause: Cause::Unsendable })?;
        let (address, method) = (self.address, Method::POST);
        let call = OutboundRequest { address, method, path: path.to_owned(), headers, body: Body::from(body) };
        match self.client.send(call).await {
            Ok(response) if response.status() == StatusCode::OK => Ok(response),
            Ok(_) => Err(unanswered(Cause::Status)),
            Err(SendError::MaybeSent) => Err(unanswered(Cause::Broken)),
            Err(SendError::HeadTooLong(_)) => Err(unanswered(Cause::TooLong)),
            Err(SendError::NotSent) => Err(Error::Unreached { service: SERVICE, cause: Cause::Connection }),
        }
    }
}

/// Body of an answer to a call.
struct Answer {
    path: &'static str,
    body: Bytes,
}

impl Answer {
    fn json<'a, T: Deserialize<'a>>(&'a self, refusals: &Refusals) -> Result<T> {
        serde_json::from_slice(&self.body).map_err(|error| {
            refusals.record_answer(SERVICE, self.path, self.body.len(), &error.to_string());
            unanswered(Cause::Undecodable)
        })
    }
}

impl StorePort for Etcd {
    fn get<'a>(&'a self, purpose: &'static str, key: &'a str) -> BoxFuture<'a, Result<Option<Row>>> {
        Box::pin(async move {
            let (rows, _) = self.range(purpose, key, "", Revision::NONE).await?;
            Ok(rows.into_iter().find(|row| row.key == key))
        })
    }

    fn list_page<'a>(
        &'a self,
        purpose: &'static str,
        prefix: &'a str,
        since: Revision,
        _after: &'a str,
    ) -> BoxFuture<'a, Result<Page>> {
        Box::pin(async move {
            let (rows, revision) = self.range(purpose, prefix, &prefix_end(prefix), since).await?;
            Ok(Page { rows, revision, next: None })
        })
    }

    fn watch<'a>(
        &'a self,
        purpose: &'static str,
        prefix: &'a str,
        after: Revision,
    ) -> BoxFuture<'a, Result<Box<dyn WatchPort>>> {
        Box::pin(async move {
            let (key, end) = (STANDARD.encode(prefix), STANDARD.encode(prefix_end(prefix)));
            let start_revision = (after.number() + 1).to_string();
            let create_request = WatchCreate { key: &key, range_end: &end, start_revision };
            let response = self.send(WATCH_PATH, purpose, &WatchRequest { create_request }).await?;
            let buffer = self.memory.protected_buffer(&self.name, MAX_CHANGES_BYTES);
            let (body, memory, name) = (response.into_body(), self.memory.clone(), self.name.clone());
            let refusals = self.refusals.clone();
            let watch = Watch { body, buffer, lines: Bytes::new(), memory, name, refusals, revision: after };
            Ok(Box::new(watch) as Box<dyn WatchPort>)
        })
    }

    fn txn<'a>(&'a self, purpose: &'static str, txn: &'a Txn) -> BoxFuture<'a, Result<TxnOutcome>> {
        let compare = txn.compares.iter().map(|c| RawCompare {
            key: STANDARD.encode(&c.key),
            target: "MOD",
            result: "EQUAL",
            mod_revision: c.revision.number().to_string(),
        });
        let puts = txn.puts.iter().map(|p| {
            let lease = if p.lease == 0 { String::new() } else { p.lease.to_string() };
            TxnOp::RequestPut(RawPut { key: STANDARD.encode(&p.key), value: STANDARD.encode(&p.value), lease })
        });
        let removes = txn.removes.iter();
        let removes = removes.map(|key| TxnOp::RequestDeleteRange(RawDelete { key: STANDARD.encode(key) }));
        let request = TxnRequest { compare: compare.collect(), success: puts.chain(removes).collect() };
        Box::pin(async move {
            let response = self.request("/v3/kv/txn", purpose, &request).await?;
            let response: TxnResponse = response.json(&self.refusals)?;
            Ok(TxnOutcome { succeeded: response.succeeded, revision: parse_revision(&response.header.revision) })
        })
    }

    fn grant(&self, purpose: &'static str, ttl: Duration) -> BoxFuture<'_, Result<Lease>> {
        Box::pin(async move {
            let request = RawLease { id: "0".into(), ttl: ttl.as_secs().max(1).to_string() };
            let lease: RawLease = self.request("/v3/lease/grant", purpose, &request).await?.json(&self.refusals)?;
            Ok(Lease { id: parse_number(&lease.id), ttl: Duration::from_secs(parse_number(&lease.ttl)) })
        })
    }

    fn renew(&self, purpose: &'static str, lease: u64) -> BoxFuture<'_, Result<()>> {
        Box::pin(async move {
            let request = RawLease { id: lease.to_string(), ttl: String::new() };
            let response = self.request("/v3/lease/keepalive", purpose, &request).await?;
            let response: KeepAliveResponse = response.json(&self.refusals)?;
            if parse_number(&response.result.ttl) == 0 {
                return Err(Error::LeaseEnded { service: SERVICE });
            }
            Ok(())
        })
    }

    fn revoke(&self, purpose: &'static str, lease: u64) -> BoxFuture<'_, Result<()>> {
        Box::pin(async move {
            let request = RawLease { id: lease.to_string(), ttl: String::new() };
            let _: RevokeResponse = self.request("/v3/lease/revoke", purpose, &request).await?.json(&self.refusals)?;
            Ok(())
        })
    }
}

struct Watch {
    body: Body,
    /// The beginning of a line.
    buffer: ResponseBuffer,
    /// Received lines, the last of which may be incomplete.
    lines: Bytes,
    memory: ResponseMemory,
    name: Arc<str>,
    refusals: Refusals,
    revision: Revision,
}

impl Watch {
    fn keep(&mut self, data: &[u8]) -> Result<()> {
        self.buffer.append(data).map_err(|error| {
            self.memory.record_too_long("-", &self.name, "watch", &error);
            unanswered(Cause::TooLong)
        })
    }
}

impl WatchPort for Watch {
    fn next(&mut self, _limit: Duration) -> BoxFuture<'_, Result<Changes>> {
        Box::pin(async move {
            let ended = || unanswered(Cause::Broken);
            loop {
                if let Some(end) = self.lines.iter().position(|b| *b == b'\n') {
                    let line = Answer { path: WATCH_PATH, body: repaired_text(self.lines.split_to(end + 1)) };
                    let response: WatchResponse<'_> = line.json(&self.refusals)?;
                    let events = response.result.events.iter().enumerate();
                    let changes = events.filter_map(|(index, raw)| decode_change(raw, index, &self.refusals));
                    let changes: Vec<_> = changes.collect();
                    let revisions = changes.iter().map(|change| match change {
                        Change::Put(row) => row.revision,
                        Change::Removed(_, revision) => *revision,
                    });
                    self.revision = revisions.max().unwrap_or_default().max(self.revision);
                    return Ok(Changes { changes, revision: self.revision });
                }
                let rest = std::mem::take(&mut self.lines);
                self.keep(&rest)?;
                let frame = self.body.frame().await.and_then(std::result::Result::ok);
                let data = frame.and_then(|frame| frame.into_data().ok()).ok_or_else(ended)?;
                self.keep(&data)?;
                if data.contains(&b'\n') {
                    self.lines = self.buffer.take().map_err(|_| ended())?;
                }
            }
        })
    }
}

/// Decodes the event at a place of an answer; `None` if it does not tell which key has changed.
fn decode_change(raw: &RawValue, index: usize, refusals: &Refusals) -> Option<Change> {
    let event: RawEvent<'_> = match serde_json::from_str(raw.get()) {
        Ok(event) => event,
        Err(error) => {
            refusals.record_entry(&format!("#{index}"), Revision::NONE, raw.get().len(), &error.to_string());
            return None;
        }
    };
    let row = decode_row(event.kv, index, refusals)?;
    Some(if event.kind == "DELETE" { Change::Removed(row.key, row.revision) } else { Change::Put(row) })
}

/// Decodes the row at a place of an answer. One whose value or revision cannot be read gets one byte that is no text for its
/// value, which whoever reads the entry refuses; one whose key cannot be read is left out.
fn decode_row(raw: &RawValue, index: usize, refusals: &Refusals) -> Option<Row> {
    let row = serde_json::from_str::<RawRow>(raw.get()).map_err(|error| error.to_string());
    let error = match row.and_then(RawRow::decode) {
        Ok(row) => return Some(row),
        Err(error) => error,
    };
    let encoded = serde_json::from_str(raw.get()).ok().map(|RowKey { key }| key);
    let key = encoded.as_deref().and_then(|key| decode_key(key).ok());
    let revisions: RowRevisions = serde_json::from_str(raw.get()).unwrap_or_default();
    let revision = parse_revision(&revisions.mod_revision);
    let name = key.clone().or(encoded).unwrap_or_else(|| format!("#{index}"));
    refusals.record_entry(&name, revision, raw.get().len(), &error);
    let create_revision = parse_revision(&revisions.create_revision);
    Some(Row { key: key?, value: Bytes::from_static(&[0xff]), revision, create_revision })
}

fn decode_key(encoded: &str) -> Result<String, String> {
    let bytes = STANDARD.decode(encoded).map_err(|error| format!("the key is not base64: {error}"))?;
    String::from_utf8(bytes).map_err(|error| format!("the key is not text: {error}"))
}

/// The gateway does not tell histories apart, so all revisions are of one.
fn parse_revision(text: &str) -> Revision {
    Revision::new(0, parse_number(text))
}

fn parse_number(text: &str) -> u64 {
    text.parse().unwrap_or(0)
}

fn unanswered(cause: Cause) -> Error {
    Error::Unanswered { service: SERVICE, cause }
}

#[cfg(test)]
#[path = "etcd_test.rs"]
mod etcd_test;
