//! The HTTP side of the platform: etcd's v3 JSON gateway, the instance list, and faults on demand.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::body::{Frame, Incoming};
use parking_lot::Mutex;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::{net::TcpListener, sync::watch};

use super::{
    instances::{Instance, Instances},
    store::{Compare, Entry, Event, Operation, Rows, Store},
};
use crate::{
    error::Result,
    http::{self as web, Body},
};

/// Interval at which lapsed leases are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);

/// Faults of the key-value service on demand.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct PlatformFaults {
    /// Every call fails.
    pub outage: bool,
    /// Added to every answer, in milliseconds.
    pub delay_ms: u64,
    /// Share of writes whose answer is lost after the write has taken effect.
    pub lost_answers: f64,
    /// Lag of the instance list, in milliseconds.
    pub list_lag_ms: u64,
    /// The instance list fails too.
    pub list_outage: bool,
}

/// Calls met so far, by kind and by the purpose that the caller states.
pub type Counters = BTreeMap<String, u64>;

#[derive(Deserialize, Default)]
#[serde(default)]
struct RangeRequest {
    key: String,
    range_end: String,
    min_mod_revision: String,
}

#[derive(Deserialize)]
struct CompareRequest {
    key: String,
    #[serde(default)]
    target: String,
    #[serde(default)]
    result: String,
    #[serde(default)]
    mod_revision: String,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct PutRequest {
    key: String,
    value: String,
    lease: String,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct StepRequest {
    request_put: Option<PutRequest>,
    request_range: Option<RangeRequest>,
    request_delete_range: Option<RangeRequest>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct TxnRequest {
    compare: Vec<CompareRequest>,
    success: Vec<StepRequest>,
    failure: Vec<StepRequest>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct WatchCreate {
    key: String,
    range_end: String,
    start_revision: String,
}

#[derive(Deserialize)]
struct WatchRequest {
    create_request: WatchCreate,
}

#[derive(Deserialize, Default)]
#[serde(default, rename_all = "UPPERCASE")]
struct LeaseRequest {
    id: String,
    ttl: String,
}

struct Shared {
    store: Mutex<Store>,
    instances: Mutex<Instances>,
    faults: Mutex<PlatformFaults>,
    counters: Mutex<Counters>,
    random: Mutex<SmallRng>,
    changed: watch::Sender<i64>,
}

/// The platform's services on one listener.
#[derive(Clone)]
pub struct Platform {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl Platform {
    /// Starts the services on `listener`; `seed` decides which answers are lost.
    ///
    /// # Errors
    /// Fails when the listener's address cannot be read.
    pub fn start(listener: TcpListener, seed: u64) -> Result<Self> {
        let address =
            listener.local_addr().map_err(|e| crate::error::Error::File { path: "listener".into(), source: e })?;
        let shared = Arc::new(Shared {
            store: Mutex::default(),
            instances: Mutex::default(),
            faults: Mutex::default(),
            counters: Mutex::default(),
            random: Mutex::new(SmallRng::seed_from_u64(seed)),
            changed: watch::channel(0).0,
        });
        let platform = Self { shared, address };
        let handler = platform.clone();
        tokio::spawn(web::serve(listener, move |request| {
            let platform = handler.clone();
            async move { platform.handle(request).await }
        }));
        tokio::spawn(platform.clone().expire());
        Ok(platform)
    }

    /// Where the services listen.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the faults in force from now on.
    pub fn set_faults(&self, faults: PlatformFaults) {
        let lag = Duration::from_millis(faults.list_lag_ms);
        self.shared.instances.lock().set_lag(lag);
        *self.shared.faults.lock() = faults;
        self.shared.changed.send_modify(|_| ());
    }

    /// Stores an instance's state in the list.
    pub fn put_instance(&self, instance: Instance) {
        self.shared.instances.lock().put(instance, Instant::now());
    }

    /// The calls met so far.
    pub fn counters(&self) -> Counters {
        self.shared.counters.lock().clone()
    }

    async fn expire(self) {
        loop {
            tokio::time::sleep(EXPIRY_INTERVAL).await;
            self.shared.store.lock().expire(Instant::now());
            self.announce();
        }
    }

    fn announce(&self) {
        let revision = self.shared.store.lock().revision();
        self.shared.changed.send_if_modified(|seen| std::mem::replace(seen, revision) != revision);
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        let query = request.uri().query().unwrap_or_default().to_owned();
        match path.as_str() {
            "/faults" => return self.take_faults(request).await,
            "/counters" => return web::json(StatusCode::OK, &self.counters()),
            "/v1/instances" if request.method() == http::Method::PUT => return self.take_instance(request).await,
            "/v1/instances" => return self.list(&query),
            _ => {}
        }
        self.count(&path, &request);
        let faults = self.shared.faults.lock().clone();
        if faults.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        if faults.outage {
            return web::text(StatusCode::SERVICE_UNAVAILABLE, "outage on demand");
        }
        match path.as_str() {
            "/v3/kv/range" => self.range(request).await,
            "/v3/kv/txn" => self.transact(request, faults.lost_answers).await,
            "/v3/watch" => self.watch(request).await,
            "/v3/lease/grant" => self.grant(request).await,
            "/v3/lease/keepalive" => self.keep(request).await,
            "/v3/lease/revoke" => self.revoke(request).await,
            _ => web::text(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn count(&self, path: &str, request: &Request<Incoming>) {
        let purpose = request.headers().get("x-purpose").and_then(|v| v.to_str().ok()).unwrap_or("none");
        let kind = path.rsplit('/').next().unwrap_or_default();
        *self.shared.counters.lock().entry(format!("{kind}:{purpose}")).or_default() += 1;
    }

    async fn take_faults(&self, request: Request<Incoming>) -> Response<Body> {
        match web::read_json(request.into_body()).await {
            Ok(faults) => self.set_faults(faults),
            Err(answer) => return answer,
        }
        web::json(StatusCode::OK, &json!({}))
    }

    async fn take_instance(&self, request: Request<Incoming>) -> Response<Body> {
        match web::read_json(request.into_body()).await {
            Ok(instance) => self.put_instance(instance),
            Err(answer) => return answer,
        }
        web::json(StatusCode::OK, &json!({}))
    }

    fn list(&self, query: &str) -> Response<Body> {
        *self.shared.counters.lock().entry("list:instances".into()).or_default() += 1;
        if self.shared.faults.lock().list_outage {
            return web::text(StatusCode::SERVICE_UNAVAILABLE, "outage on demand");
        }
        let find = |name: &str| query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
        let position = find("since").and_then(|v| v.parse().ok()).unwrap_or(0);
        let page = self.shared.instances.lock().page(position, find("region"), Instant::now());
        web::json(StatusCode::OK, &page)
    }

    async fn range(&self, request: Request<Incoming>) -> Response<Body> {
        let ask: RangeRequest = match web::read_json(request.into_body()).await {
            Ok(ask) => ask,
            Err(answer) => return answer,
        };
        let store = self.shared.store.lock();
        let rows = store.range(&decode(&ask.key), &decode(&ask.range_end), number(&ask.min_mod_revision));
        let mut answer = rows_json(&rows);
        answer["header"] = header(store.revision());
        web::json(StatusCode::OK, &answer)
    }

    async fn transact(&self, request: Request<Incoming>, lost: f64) -> Response<Body> {
        let ask: TxnRequest = match web::read_json(request.into_body()).await {
            Ok(ask) => ask,
            Err(answer) => return answer,
        };
        if ask.compare.iter().any(|c| c.target != "MOD" || c.result != "EQUAL") {
            return web::text(StatusCode::NOT_IMPLEMENTED, "only MOD EQUAL compares are known here");
        }
        let compares: Vec<_> =
            ask.compare.iter().map(|c| Compare { key: decode(&c.key), modified: number(&c.mod_revision) }).collect();
        let success: Vec<_> = ask.success.into_iter().filter_map(operation).collect();
        let failure: Vec<_> = ask.failure.into_iter().filter_map(operation).collect();
        let (succeeded, rows, revision) = {
            let mut store = self.shared.store.lock();
            let (succeeded, rows) = store.transact(&compares, &success, &failure);
            (succeeded, rows, store.revision())
        };
        self.announce();
        if lost > 0.0 && self.shared.random.lock().random_bool(lost) {
            return web::text(StatusCode::GATEWAY_TIMEOUT, "answer lost on demand");
        }
        let responses: Vec<_> = rows.iter().map(|r| json!({ "response_range": rows_json(r) })).collect();
        let answer = json!({ "header": header(revision), "succeeded": succeeded, "responses": responses });
        web::json(StatusCode::OK, &answer)
    }

    async fn watch(&self, request: Request<Incoming>) -> Response<Body> {
        let ask: WatchRequest = match web::read_json(request.into_body()).await {
            Ok(ask) => ask,
            Err(answer) => return answer,
        };
        let create = ask.create_request;
        let (key, end) = (decode(&create.key), decode(&create.range_end));
        let from = match number(&create.start_revision) {
            0 => self.shared.store.lock().revision() + 1,
            given => given,
        };
        let changed = self.shared.changed.subscribe();
        let state = Watch { platform: self.clone(), key, end, from, changed, created: false };
        Response::new(web::stream(futures_util::stream::unfold(state, Watch::next)))
    }

    async fn grant(&self, request: Request<Incoming>) -> Response<Body> {
        let ask: LeaseRequest = match web::read_json(request.into_body()).await {
            Ok(ask) => ask,
            Err(answer) => return answer,
        };
        let ttl = Duration::from_secs(u64::try_from(number(&ask.ttl)).unwrap_or(1));
        let id = self.shared.store.lock().grant(ttl, Instant::now());
        web::json(StatusCode::OK, &json!({ "ID": id.to_string(), "TTL": ask.ttl }))
    }

    async fn keep(&self, request: Request<Incoming>) -> Response<Body> {
        let ask: LeaseRequest = match web::read_json(request.into_body()).await {
            Ok(ask) => ask,
            Err(answer) => return answer,
        };
        let kept = self.shared.store.lock().renew(number(&ask.id), Instant::now());
        let ttl = if kept { "1" } else { "0" };
        web::json(StatusCode::OK, &json!({ "result": { "ID": ask.id, "TTL": ttl } }))
    }

    async fn revoke(&self, request: Request<Incoming>) -> Response<Body> {
        let ask: LeaseRequest = match web::read_json(request.into_body()).await {
            Ok(ask) => ask,
            Err(answer) => return answer,
        };
        self.shared.store.lock().revoke(number(&ask.id));
        self.announce();
        web::json(StatusCode::OK, &json!({}))
    }
}

struct Watch {
    platform: Platform,
    key: Vec<u8>,
    end: Vec<u8>,
    from: i64,
    changed: watch::Receiver<i64>,
    created: bool,
}

impl Watch {
    async fn next(mut self) -> Option<(Result<Frame<Bytes>, web::InjectedAbort>, Self)> {
        if !self.created {
            self.created = true;
            let revision = self.platform.shared.store.lock().revision();
            return Some((line(&json!({ "header": header(revision), "created": true })), self));
        }
        loop {
            self.changed.mark_unchanged();
            if self.platform.shared.faults.lock().outage {
                return Some((Err(web::InjectedAbort), self));
            }
            let (events, revision) = {
                let store = self.platform.shared.store.lock();
                (store.events(&self.key, &self.end, self.from), store.revision())
            };
            if !events.is_empty() {
                self.from = revision + 1;
                let events: Vec<_> = events.iter().map(event_json).collect();
                return Some((line(&json!({ "header": header(revision), "events": events })), self));
            }
            if self.changed.changed().await.is_err() {
                return None;
            }
        }
    }
}

fn line(result: &Value) -> Result<Frame<Bytes>, web::InjectedAbort> {
    Ok(Frame::data(Bytes::from(format!("{}\n", json!({ "result": result })))))
}

fn operation(step: StepRequest) -> Option<Operation> {
    if let Some(put) = step.request_put {
        let lease = number(&put.lease);
        return Some(Operation::Put { key: decode(&put.key), value: decode(&put.value), lease });
    }
    if let Some(range) = step.request_range {
        return Some(Operation::Range { key: decode(&range.key), end: decode(&range.range_end) });
    }
    let range = step.request_delete_range?;
    Some(Operation::Delete { key: decode(&range.key), end: decode(&range.range_end) })
}

fn header(revision: i64) -> Value {
    json!({ "revision": revision.to_string() })
}

fn rows_json(rows: &Rows) -> Value {
    let kvs: Vec<_> = rows.iter().map(|(key, entry)| entry_json(key, entry)).collect();
    json!({ "kvs": kvs, "count": rows.len().to_string() })
}

fn entry_json(key: &[u8], entry: &Entry) -> Value {
    json!({
        "key": STANDARD.encode(key),
        "create_revision": entry.create.to_string(),
        "mod_revision": entry.modified.to_string(),
        "version": entry.version.to_string(),
        "value": STANDARD.encode(&entry.value),
        "lease": entry.lease.to_string(),
    })
}

fn event_json(event: &Event) -> Value {
    match &event.entry {
        Some(entry) => json!({ "kv": entry_json(&event.key, entry) }),
        None => json!({
            "type": "DELETE",
            "kv": { "key": STANDARD.encode(&event.key), "mod_revision": event.revision.to_string() },
        }),
    }
}

fn decode(text: &str) -> Vec<u8> {
    STANDARD.decode(text).unwrap_or_default()
}

fn number(text: &str) -> i64 {
    text.parse().unwrap_or(0)
}
