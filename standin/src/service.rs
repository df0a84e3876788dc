//! A plain service that counts the executions of each idempotency key.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use parking_lot::Mutex;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::{net::TcpListener, task::JoinHandle};

use crate::http::{self as web, Body};

/// Injected faults of a plain service.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct ServiceFaults {
    /// Duration of an execution, in milliseconds.
    pub delay_ms: u64,
    /// Share of responses truncated after the execution.
    pub cut_after: f64,
    /// Share of requests that fail with an error before they are executed.
    pub fail: f64,
}

/// Number of executions by idempotency key, shared by the replicas of one service.
pub type Executions = Arc<Mutex<BTreeMap<String, u64>>>;

/// A running replica of a plain service.
#[derive(Clone)]
pub struct Service {
    address: SocketAddr,
    executions: Executions,
    faults: Arc<Mutex<ServiceFaults>>,
    random: Arc<Mutex<SmallRng>>,
    task: Arc<Mutex<Option<JoinHandle<()>>>>,
}

impl Service {
    /// Starts a replica on `listener` that counts its executions in `executions`.
    pub fn start(listener: TcpListener, address: SocketAddr, executions: Executions, seed: u64) -> Self {
        let random = Arc::new(Mutex::new(SmallRng::seed_from_u64(seed)));
        let service = Self { address, executions, faults: Arc::default(), random, task: Arc::default() };
        let handler = service.clone();
        let task = tokio::spawn(web::serve(listener, move |request| {
            let service = handler.clone();
            async move { service.handle(request).await }
        }));
        *service.task.lock() = Some(task);
        service
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        *self.faults.lock() = faults;
    }

    /// Stops the replica at once and closes its connections.
    pub fn kill(&self) {
        if let Some(task) = self.task.lock().take() {
            task.abort();
        }
    }

    fn draw_fault(&self, probability: f64) -> bool {
        probability > 0.0 && self.random.lock().random_bool(probability.min(1.0))
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        match request.uri().path() {
            "/executions" => return web::json(StatusCode::OK, &*self.executions.lock()),
            "/faults" => {
                return match web::read_json(request.into_body()).await {
                    Ok(faults) => {
                        self.set_faults(faults);
                        web::json(StatusCode::OK, &json!({}))
                    }
                    Err(response) => response,
                };
            }
            _ => {}
        }
        let faults = self.faults.lock().clone();
        if self.draw_fault(faults.fail) {
            return web::text(StatusCode::INTERNAL_SERVER_ERROR, "failed on demand");
        }
        let key = request.headers().get("idempotency-key").and_then(|v| v.to_str().ok()).map(str::to_owned);
        let path = request.uri().path().to_owned();
        let connection = request.headers().get("connection").and_then(|v| v.to_str().ok()).map(str::to_owned);
        let headers: Vec<_> = request.headers().keys().map(ToString::to_string).collect();
        let Ok(body) = request.into_body().collect().await else {
            return web::text(StatusCode::BAD_REQUEST, "could not read the body");
        };
        let length = body.to_bytes().len();
        let count = key.as_ref().map(|key| {
            let mut executions = self.executions.lock();
            let count = executions.entry(key.clone()).or_default();
            *count += 1;
            *count
        });
        if faults.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        if self.draw_fault(faults.cut_after) {
            let frames = futures_util::stream::iter([Ok(Frame::data("{".into())), Err(web::InjectedAbort)]);
            return Response::new(web::stream(frames));
        }
        web::json(
            StatusCode::OK,
            &json!({ "path": path, "key": key, "executions": count, "bytes": length, "headers": headers, "connection": connection }),
        )
    }
}
