//! HTTP API for operators: status, configuration, requests and rollouts, in JSON.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use futures_util::future::join_all;
use http::{HeaderValue, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use serde::{Deserialize, Serialize};
use serde_json::json;
use volo_http::{
    body::Body,
    request::Request,
    response::Response,
    server::{
        Router,
        route::{get, post},
    },
};

use super::{
    configure::{Change, Configurer, ProposalOutcome},
    crash_evidence::Condemned,
    crash_watch::{clear_part, part_names},
    membership::{FactKind, State},
    rollout_record::{read_records, record_prefix},
    shared::Shared,
};
use crate::{
    pb::{self, answer, request},
    request::CrashRecords,
    store::Revision,
    util::{sha256_hex, unix_ms},
    version::Rollout,
};

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Time for another daemon to answer a status query.
const STATUS_TIMEOUT: Duration = Duration::from_millis(1500);

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Proposal {
    changes: Vec<Change>,
    #[serde(default)]
    base: Option<u64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Clear {
    fingerprint: String,
}

/// Status of a daemon; revision and requests in flight are absent if it did not answer.
#[derive(Debug, Serialize)]
struct DaemonStatus {
    name: Arc<str>,
    zone: Arc<str>,
    state: &'static str,
    revision: Option<u64>,
    in_flight: Option<u64>,
    in_force: bool,
    note: &'static str,
}

/// Handles requests from operators.
#[derive(Clone)]
pub(crate) struct Admin {
    shared: Arc<Shared>,
    configurer: Configurer,
}

impl Admin {
    pub fn new(shared: Arc<Shared>, configurer: Configurer) -> Self {
        Self { shared, configurer }
    }

    /// Returns the router of the operators' API. All paths but the health check need the token.
    pub fn router(self) -> Router {
        let metrics = self.clone();
        let route = |admin: &Self, endpoint: Endpoint| {
            let admin = admin.clone();
            get(move |request: Request| admin.clone().answer(endpoint, request))
        };
        Router::new()
            .route("/healthz", get(|| async { "ok" }))
            .route("/metrics", get(move |request: Request| metrics.clone().metrics(request)))
            .route("/admin/config", route(&self, Endpoint::Config))
            .route("/admin/status", route(&self, Endpoint::Status))
            .route("/admin/peers", route(&self, Endpoint::Peers))
            .route("/admin/requests", route(&self, Endpoint::Requests))
            .route("/admin/refusals", route(&self, Endpoint::Refusals))
            .route("/admin/rollout", route(&self, Endpoint::Rollout))
            .route("/admin/config/propose", {
                let admin = self.clone();
                post(move |request: Request| admin.clone().propose(request))
            })
            .route("/admin/clear", post(move |request: Request| self.clone().clear(request)))
    }

    fn is_authorised(&self, request: &Request) -> bool {
        use subtle::ConstantTimeEq;

        let value = request.headers().get(header::AUTHORIZATION).and_then(|v| v.to_str().ok());
        let token = value.and_then(|v| v.strip_prefix("Bearer ")).unwrap_or_default();
        let hash = sha256_hex(token.as_bytes());
        hash.as_bytes().ct_eq(self.shared.settings.token_hash.as_bytes()).into()
    }

    async fn metrics(self, request: Request) -> Response {
        if !self.is_authorised(&request) {
            return unauthorised();
        }
        Response::new(Body::from(self.shared.metrics.render()))
    }

    async fn answer(self, endpoint: Endpoint, request: Request) -> Response {
        if !self.is_authorised(&request) {
            return unauthorised();
        }
        match endpoint {
            Endpoint::Config => self.config(),
            Endpoint::Status => self.status().await,
            Endpoint::Peers => self.peers(),
            Endpoint::Requests => self.requests(),
            Endpoint::Refusals => self.refusals(),
            Endpoint::Rollout => self.rollout().await,
        }
    }

    async fn propose(self, request: Request) -> Response {
        if !self.is_authorised(&request) {
            return unauthorised();
        }
        let proposal: Proposal = match read_json(request).await {
            Ok(proposal) => proposal,
            Err(response) => return response,
        };
        let outcome = self.configurer.propose(proposal.changes, proposal.base).await;
        let status = match &outcome {
            ProposalOutcome::Accepted { .. } | ProposalOutcome::Unchanged { .. } => StatusCode::OK,
            ProposalOutcome::Invalid { .. } => StatusCode::UNPROCESSABLE_ENTITY,
            ProposalOutcome::Conflict { .. } => StatusCode::CONFLICT,
            ProposalOutcome::Unavailable { .. } => StatusCode::SERVICE_UNAVAILABLE,
            ProposalOutcome::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
        };
        json_response(status, &outcome)
    }

    async fn clear(self, request: Request) -> Response {
        if !self.is_authorised(&request) {
            return unauthorised();
        }
        let clear: Clear = match read_json(request).await {
            Ok(clear) => clear,
            Err(response) => return response,
        };
        let Ok(fingerprint) = u64::from_str_radix(&clear.fingerprint, 16) else {
            return error_response(StatusCode::BAD_REQUEST, "fingerprint: must be hexadecimal digits");
        };
        self.shared.publish_fact(CrashRecords::clear(fingerprint, "operator"));
        clear_part(&self.shared, fingerprint);
        json_response(StatusCode::OK, &json!({ "cleared": clear.fingerprint }))
    }

    fn config(&self) -> Response {
        let delta = self.shared.config.lock().delta(Revision::NONE);
        let files = delta.files.into_iter().filter_map(|file| {
            let text = file.text?;
            Some(json!({ "name": file.name, "revision": file.revision, "text": text }))
        });
        json_response(StatusCode::OK, &json!({ "revision": delta.revision, "files": files.collect::<Vec<_>>() }))
    }

    /// Queries every daemon for the configuration revision that it has in force.
    async fn status(&self) -> Response {
        let newest = self.shared.config.lock().revision().ordinal();
        let members: Vec<_> = {
            let view = self.shared.view.lock();
            let others = view.others().filter(|m| m.state != State::Left);
            others.map(|m| (m.name.clone(), m.zone.clone(), m.state, m.address)).collect()
        };
        let queries = members
            .into_iter()
            .map(|(name, zone, state, address)| self.query_status(name, zone, state, address, newest));
        let mut daemons = join_all(queries).await;
        let own_revision = self.shared.in_force.load().revision.ordinal();
        daemons.push(DaemonStatus {
            name: self.shared.settings.name.clone(),
            zone: self.shared.settings.zone.clone(),
            state: self.shared.stage.get().label(),
            revision: Some(own_revision),
            in_flight: Some(self.shared.metrics.in_flight.get().unsigned_abs()),
            in_force: own_revision >= newest,
            note: "",
        });
        daemons.sort_by(|a, b| a.name.cmp(&b.name));
        let lagging = daemons.iter().filter(|d| !d.in_force).count();
        let everywhere = lagging == 0;
        let status = json!({ "revision": newest, "everywhere": everywhere, "lagging": lagging, "daemons": daemons });
        json_response(StatusCode::OK, &status)
    }

    async fn query_status(
        &self,
        name: Arc<str>,
        zone: Arc<str>,
        state: State,
        address: SocketAddr,
        newest: u64,
    ) -> DaemonStatus {
        let body = request::Body::AskStatus(pb::AskStatus {});
        let answer = self.shared.peer_client.request(address, body, STATUS_TIMEOUT).await;
        let label = state.label();
        match answer {
            Ok(answer::Body::StatusReport(report)) if report.name == *name => {
                let revision = report.config_revision;
                let in_force = revision >= newest;
                let note = if in_force { "" } else { "lags" };
                let (revision, in_flight) = (Some(revision), Some(report.in_flight));
                DaemonStatus { name, zone, state: label, revision, in_flight, in_force, note }
            }
            Ok(_) => {
                let note = "replaced by another daemon at its address";
                DaemonStatus { name, zone, state: label, revision: None, in_flight: None, in_force: true, note }
            }
            Err(_) => {
                // A daemon that does not answer may still be running and serving an older revision.
                let note = "cannot be heard; if it runs, it may serve an older revision";
                DaemonStatus { name, zone, state: label, revision: None, in_flight: None, in_force: false, note }
            }
        }
    }

    fn peers(&self) -> Response {
        let view = self.shared.view.lock();
        let row = |m: &super::membership::Member| {
            json!({
                "name": m.name, "address": m.address, "region": m.region, "zone": m.zone,
                "state": m.state.label(), "incarnation": m.incarnation,
            })
        };
        let mut rows = vec![row(view.local())];
        rows.extend(view.others().map(row));
        json_response(StatusCode::OK, &json!({ "peers": rows }))
    }

    fn requests(&self) -> Response {
        let replicas = self.shared.replicas.all();
        let mut rows: Vec<_> = replicas
            .iter()
            .map(|r| {
                json!({
                    "replica": r.id, "version": r.version, "zone": r.zone,
                    "in_flight": r.in_flight(), "leaving": r.is_leaving(),
                })
            })
            .collect();
        rows.sort_by_key(|row| row["replica"].to_string());
        let body = json!({
            "in_flight": self.shared.metrics.in_flight.get(),
            "ended": counters(&self.shared.metrics.requests),
            "replicas": rows,
        });
        json_response(StatusCode::OK, &body)
    }

    fn refusals(&self) -> Response {
        let crashes: Vec<_> = {
            let view = self.shared.view.lock();
            view.facts().of_kind(FactKind::Crash).map(|f| f.key.clone()).collect()
        };
        let refused_parts: Vec<_> = {
            let evidence = self.shared.crash_evidence.lock();
            let row =
                |condemned: &Condemned| json!({ "parts": part_names(&condemned.parts), "crashes": condemned.crashes });
            evidence.condemned().iter().map(row).collect()
        };
        let body = json!({
            "refusals": counters(&self.shared.metrics.refusals),
            "retries": counters(&self.shared.metrics.retries),
            "crashes": crashes,
            "refused_parts": refused_parts,
        });
        json_response(StatusCode::OK, &body)
    }

    async fn rollout(&self) -> Response {
        let records = read_records(&self.shared, &record_prefix(&self.shared.settings.site)).await;
        let answered = records.is_some();
        let records: BTreeMap<_, _> = records
            .unwrap_or_default()
            .into_iter()
            .filter_map(|stored| stored.record)
            .map(|r| (r.version.clone(), r))
            .collect();
        let in_force = self.shared.in_force.load();
        let rows: Vec<_> = in_force
            .site
            .versions
            .values()
            .map(|plan| {
                let record = records.get(&plan.rollout_key);
                let (step, taken_back) = {
                    let view = self.shared.view.lock();
                    let step = view.facts().get(FactKind::Step, &plan.name).map_or(0, |f| f.value as usize);
                    (step, view.facts().get(FactKind::TakenBack, &plan.name).is_some())
                };
                let share = if taken_back { 0.0 } else { Rollout::share(plan, step) };
                json!({
                    "version": plan.name, "pool": plan.pool, "start_ms": plan.start_ms, "date_ms": plan.date_ms,
                    "step": step, "share": if plan.start_ms.is_none() { 1.0 } else { share },
                    "taken_back": taken_back,
                    "outcome": record.and_then(|r| r.outcome.clone()),
                    "reason": record.map(|r| r.reason.clone()),
                    "holder": record.map(|r| r.holder.clone()),
                    "evidence": record.map(|r| r.evidence),
                    "obstacle": record.map(|r| r.obstacle.clone()),
                    "seconds_left": plan.date_ms.map(|date| date.saturating_sub(unix_ms()) / 1000),
                })
            })
            .collect();
        json_response(StatusCode::OK, &json!({ "service_answered": answered, "versions": rows }))
    }
}

#[derive(Clone, Copy)]
enum Endpoint {
    Config,
    Status,
    Peers,
    Requests,
    Refusals,
    Rollout,
}

#[derive(Serialize)]
struct Counter {
    labels: Vec<String>,
    count: u64,
}

fn counters(vector: &prometheus::IntCounterVec) -> Vec<Counter> {
    use prometheus::core::Collector;

    let families = vector.collect();
    let metrics = families.iter().flat_map(|family| family.get_metric());
    metrics
        .map(|metric| Counter {
            labels: metric.get_label().iter().map(|label| label.value().to_owned()).collect(),
            count: metric.get_counter().get_value() as u64,
        })
        .collect()
}

async fn read_json<T: serde::de::DeserializeOwned>(request: Request) -> Result<T, Response> {
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await;
    let bytes = body.map_err(|_| error_response(StatusCode::BAD_REQUEST, "could not read the body"))?.to_bytes();
    serde_json::from_slice(&bytes).map_err(|error| error_response(StatusCode::BAD_REQUEST, &error.to_string()))
}

fn json_response<T: Serialize>(status: StatusCode, body: &T) -> Response {
    let mut response = Response::new(Body::from(serde_json::to_vec(body).unwrap_or_default()));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn error_response(status: StatusCode, message: &str) -> Response {
    json_response(status, &json!({ "error": message }))
}

fn unauthorised() -> Response {
    error_response(StatusCode::UNAUTHORIZED, "the operators' token is needed")
}
