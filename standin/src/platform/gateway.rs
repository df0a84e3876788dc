//! HTTP server of the platform: the etcd v3 JSON gateway, the instance list and fault injection.

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
    instances::{Instance, InstanceList},
    store::{Compare, Entry, Event, Operation, Rows, Store},
};
use crate::{
    error::Result,
    http::{self as web, Body},
};

/// Interval at which expired leases are revoked.
const LEASE_EXPIRY_INTERVAL: Duration = Duration::from_millis(50);

/// Injected faults of the key-value service and the instance list.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct PlatformFaults {
    /// Every call to the key-value service fails and open watches break.
    pub outage: bool,
    /// Delay added to every response of the key-value service, in milliseconds.
    pub delay_ms: u64,
    /// Share of transactions whose response is lost after they have taken effect.
    pub lost_answers: f64,
    /// Time until a change shows in the instance list, in milliseconds.
    pub list_lag_ms: u64,
    /// Every request for the instance list fails.
    pub list_outage: bool,
    /// Items of another writer in the middle of each page of the instance list.
    pub list_items: Vec<Value>,
    /// Items of another writer in the middle of each answer to a range.
    pub range_items: Vec<Value>,
    /// Events of another writer in the middle of those that a watch sends at once.
    pub watch_events: Vec<Value>,
}

/// Number of calls, by kind and by the purpose that the caller states.
pub type CallCounters = BTreeMap<String, u64>;

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
struct RequestOp {
    request_put: Option<PutRequest>,
    request_range: Option<RangeRequest>,
    request_delete_range: Option<RangeRequest>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct TxnRequest {
    compare: Vec<CompareRequest>,
    success: Vec<RequestOp>,
    failure: Vec<RequestOp>,
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
    instances: Mutex<InstanceList>,
    faults: Mutex<PlatformFaults>,
    call_counters: Mutex<CallCounters>,
    random: Mutex<SmallRng>,
    revision_sender: watch::Sender<i64>,
}

/// The platform's services on one listener.
#[derive(Clone)]
pub struct Platform {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl Platform {
    /// Starts the services on `listener`; `seed` decides which responses are lost.
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
            call_counters: Mutex::default(),
            random: Mutex::new(SmallRng::seed_from_u64(seed)),
            revision_sender: watch::channel(0).0,
        });
        let platform = Self { shared, address };
        let handler = platform.clone();
        tokio::spawn(web::serve(listener, move |request| {
            let platform = handler.clone();
            async move { platform.handle(request).await }
        }));
        tokio::spawn(platform.clone().expire_leases());
        Ok(platform)
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the injected faults, also for open watches.
    pub fn set_faults(&self, faults: PlatformFaults) {
        let lag = Duration::from_millis(faults.list_lag_ms);
        self.shared.instances.lock().set_lag(lag);
        *self.shared.faults.lock() = faults;
        self.shared.revision_sender.send_modify(|_| ());
    }

    /// Adds an instance to the list or replaces it.
    pub fn put_instance(&self, instance: Instance) {
        self.shared.instances.lock().put(instance, Instant::now());
    }

    /// Writes an entry of the key-value service, as another writer does.
    pub fn put_entry(&self, key: &str, value: &[u8]) {
        let put = Operation::Put { key: key.into(), value: value.to_vec(), lease: 0 };
        self.shared.store.lock().transact(&[], &[put], &[]);
        self.publish_revision();
    }

    pub fn counters(&self) -> CallCounters {
        self.shared.call_counters.lock().clone()
    }

    async fn expire_leases(self) {
        loop {
            tokio::time::sleep(LEASE_EXPIRY_INTERVAL).await;
            self.shared.store.lock().expire_leases(Instant::now());
            self.publish_revision();
        }
    }

    fn publish_revision(&self) {
        let revision = self.shared.store.lock().revision();
        self.shared.revision_sender.send_if_modified(|known| std::mem::replace(known, revision) != revision);
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        let query = request.uri().query().unwrap_or_default().to_owned();
        match path.as_str() {
            "/faults" => return self.put_faults(request).await,
            "/counters" => return web::json(StatusCode::OK, &self.counters()),
            "/v1/instances" if request.method() == http::Method::PUT => return self.register_instance(request).await,
            "/v1/instances" => return self.list_instances(&query),
            _ => {}
        }
        self.count_call(&path, &request);
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
            "/v3/lease/grant" => self.grant_lease(request).await,
            "/v3/lease/keepalive" => self.keep_lease_alive(request).await,
            "/v3/lease/revoke" => self.revoke_lease(request).await,
            _ => web::text(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn count_call(&self, path: &str, request: &Request<Incoming>) {
        let purpose = request.headers().get("x-purpose").and_then(|v| v.to_str().ok()).unwrap_or("none");
        let kind = path.rsplit('/').next().unwrap_or_default();
        *self.shared.call_counters.lock().entry(format!("{kind}:{purpose}")).or_default() += 1;
    }

    async fn put_faults(&self, request: Request<Incoming>) -> Response<Body> {
        match web::read_json(request.into_body()).await {
            Ok(faults) => self.set_faults(faults),
            Err(response) => return response,
        }
        web::json(StatusCode::OK, &json!({}))
    }

    async fn register_instance(&self, request: Request<Incoming>) -> Response<Body> {
        match web::read_json(request.into_body()).await {
            Ok(instance) => self.put_instance(instance),
            Err(response) => return response,
        }
        web::json(StatusCode::OK, &json!({}))
    }

    fn list_instances(&self, query: &str) -> Response<Body> {
        *self.shared.call_counters.lock().entry("list:instances".into()).or_default() += 1;
        if self.shared.faults.lock().list_outage {
            return web::text(StatusCode::SERVICE_UNAVAILABLE, "outage on demand");
        }
        let parameter = |name: &str| query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
        let position = parameter("since").and_then(|v| v.parse().ok()).unwrap_or(0);
        let page = self.shared.instances.lock().page(position, parameter("region"), Instant::now());
        let mut page = json!(page);
        insert_items(&mut page["instances"], &self.shared.faults.lock().list_items);
        web::json(StatusCode::OK, &page)
    }

    async fn range(&self, request: Request<Incoming>) -> Response<Body> {
        let body: RangeRequest = match web::read_json(request.into_body()).await {
            Ok(body) => body,
            Err(response) => return response,
        };
        let store = self.shared.store.lock();
        let rows =
            store.range(&decode_base64(&body.key), &decode_base64(&body.range_end), parse_i64(&body.min_mod_revision));
        let mut response = rows_json(&rows);
        response["header"] = response_header(store.revision());
        insert_items(&mut response["kvs"], &self.shared.faults.lock().range_items);
        web::json(StatusCode::OK, &response)
    }

    async fn transact(&self, request: Request<Incoming>, loss_probability: f64) -> Response<Body> {
        let body: TxnRequest = match web::read_json(request.into_body()).await {
            Ok(body) => body,
            Err(response) => return response,
        };
        if body.compare.iter().any(|c| c.target != "MOD" || c.result != "EQUAL") {
            return web::text(StatusCode::NOT_IMPLEMENTED, "only MOD EQUAL compares are supported");
        }
        let compares: Vec<_> = body
            .compare
            .iter()
            .map(|c| Compare { key: decode_base64(&c.key), mod_revision: parse_i64(&c.mod_revision) })
            .collect();
        let success: Vec<_> = body.success.into_iter().filter_map(parse_operation).collect();
        let failure: Vec<_> = body.failure.into_iter().filter_map(parse_operation).collect();
        let (succeeded, rows, revision) = {
            let mut store = self.shared.store.lock();
            let (succeeded, rows) = store.transact(&compares, &success, &failure);
            (succeeded, rows, store.revision())
        };
        self.publish_revision();
        if loss_probability > 0.0 && self.shared.random.lock().random_bool(loss_probability) {
            return web::text(StatusCode::GATEWAY_TIMEOUT, "answer lost on demand");
        }
        let responses: Vec<_> = rows.iter().map(|r| json!({ "response_range": rows_json(r) })).collect();
        let response = json!({ "header": response_header(revision), "succeeded": succeeded, "responses": responses });
        web::json(StatusCode::OK, &response)
    }

    async fn watch(&self, request: Request<Incoming>) -> Response<Body> {
        let body: WatchRequest = match web::read_json(request.into_body()).await {
            Ok(body) => body,
            Err(response) => return response,
        };
        let create = body.create_request;
        let (key, end) = (decode_base64(&create.key), decode_base64(&create.range_end));
        let from = match parse_i64(&create.start_revision) {
            0 => self.shared.store.lock().revision() + 1,
            start => start,
        };
        let revisions = self.shared.revision_sender.subscribe();
        let state = WatchStream { platform: self.clone(), key, end, from, revisions, created: false };
        Response::new(web::stream(futures_util::stream::unfold(state, WatchStream::next_frame)))
    }

    async fn grant_lease(&self, request: Request<Incoming>) -> Response<Body> {
        let body: LeaseRequest = match web::read_json(request.into_body()).await {
            Ok(body) => body,
            Err(response) => return response,
        };
        let ttl = Duration::from_secs(u64::try_from(parse_i64(&body.ttl)).unwrap_or(1));
        let id = self.shared.store.lock().grant_lease(ttl, Instant::now());
        web::json(StatusCode::OK, &json!({ "ID": id.to_string(), "TTL": body.ttl }))
    }

    async fn keep_lease_alive(&self, request: Request<Incoming>) -> Response<Body> {
        let body: LeaseRequest = match web::read_json(request.into_body()).await {
            Ok(body) => body,
            Err(response) => return response,
        };
        let renewed = self.shared.store.lock().renew_lease(parse_i64(&body.id), Instant::now());
        let ttl = if renewed { "1" } else { "0" };
        web::json(StatusCode::OK, &json!({ "result": { "ID": body.id, "TTL": ttl } }))
    }

    async fn revoke_lease(&self, request: Request<Incoming>) -> Response<Body> {
        let body: LeaseRequest = match web::read_json(request.into_body()).await {
            Ok(body) => body,
            Err(response) => return response,
        };
        self.shared.store.lock().revoke_lease(parse_i64(&body.id));
        self.publish_revision();
        web::json(StatusCode::OK, &json!({}))
    }
}

struct WatchStream {
    platform: Platform,
    key: Vec<u8>,
    end: Vec<u8>,
    /// Revision of the first event not yet sent.
    from: i64,
    revisions: watch::Receiver<i64>,
    /// Whether the reply that the watch is created has been sent.
    created: bool,
}

impl WatchStream {
    async fn next_frame(mut self) -> Option<(Result<Frame<Bytes>, web::InjectedAbort>, Self)> {
        if !self.created {
            self.created = true;
            let revision = self.platform.shared.store.lock().revision();
            return Some((watch_line(&json!({ "header": response_header(revision), "created": true })), self));
        }
        loop {
            self.revisions.mark_unchanged();
            if self.platform.shared.faults.lock().outage {
                return Some((Err(web::InjectedAbort), self));
            }
            let (events, revision) = {
                let store = self.platform.shared.store.lock();
                (store.events(&self.key, &self.end, self.from), store.revision())
            };
            if !events.is_empty() {
                self.from = revision + 1;
                let mut events: Value = events.iter().map(event_json).collect();
                insert_items(&mut events, &self.platform.shared.faults.lock().watch_events);
                return Some((watch_line(&json!({ "header": response_header(revision), "events": events })), self));
            }
            if self.revisions.changed().await.is_err() {
                return None;
            }
        }
    }
}

/// Inserts items in the middle of those of an answer.
fn insert_items(items: &mut Value, inserted: &[Value]) {
    if let Value::Array(items) = items {
        let middle = items.len() / 2;
        items.splice(middle..middle, inserted.iter().cloned());
    }
}

fn watch_line(result: &Value) -> Result<Frame<Bytes>, web::InjectedAbort> {
    Ok(Frame::data(Bytes::from(format!("{}\n", json!({ "result": result })))))
}

fn parse_operation(request: RequestOp) -> Option<Operation> {
    if let Some(put) = request.request_put {
        let lease = parse_i64(&put.lease);
        return Some(Operation::Put { key: decode_base64(&put.key), value: decode_base64(&put.value), lease });
    }
    if let Some(range) = request.request_range {
        return Some(Operation::Range { key: decode_base64(&range.key), end: decode_base64(&range.range_end) });
    }
    let range = request.request_delete_range?;
    Some(Operation::Delete { key: decode_base64(&range.key), end: decode_base64(&range.range_end) })
}

fn response_header(revision: i64) -> Value {
    json!({ "revision": revision.to_string() })
}

fn rows_json(rows: &Rows) -> Value {
    let kvs: Vec<_> = rows.iter().map(|(key, entry)| entry_json(key, entry)).collect();
    json!({ "kvs": kvs, "count": rows.len().to_string() })
}

fn entry_json(key: &[u8], entry: &Entry) -> Value {
    json!({
        "key": STANDARD.encode(key),
        "create_revision": entry.create_revision.to_string(),
        "mod_revision": entry.mod_revision.to_string(),
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

fn decode_base64(text: &str) -> Vec<u8> {
    STANDARD.decode(text).unwrap_or_default()
}

fn parse_i64(text: &str) -> i64 {
    text.parse().unwrap_or(0)
}
