//! Client of the platform's instance list, which lags behind the instances' actual state.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use serde::Deserialize;
use serde_json::value::RawValue;
use tokio::time::timeout;
use volo_http::body::Body;

use crate::{
    connection::{HttpClient, OutboundRequest, SendError},
    port::{Instance, InstanceState},
    process::{ReadError, Refusals, ResponseMemory},
    store::{Cause, Error, Result, Revision},
    util::repaired_text,
};

const SERVICE: &str = "instance list";
/// Size limit of a page.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
enum RawState {
    Live,
    Leaving,
    Gone,
}

#[derive(Deserialize)]
struct RawInstance {
    id: Arc<str>,
    address: SocketAddr,
    pool: Arc<str>,
    version: Arc<str>,
    zone: Arc<str>,
    region: Arc<str>,
    state: RawState,
}

impl From<RawInstance> for Instance {
    fn from(raw: RawInstance) -> Self {
        let RawInstance { id, address, pool, version, zone, region, state } = raw;
        let state = match state {
            RawState::Live => InstanceState::Live,
            RawState::Leaving => InstanceState::Leaving,
            RawState::Gone => InstanceState::Gone,
        };
        let warm_up = Duration::ZERO;
        Self {
            id,
            address,
            pool,
            version,
            zone,
            region,
            state,
            slots: 0,
            reclaimable: false,
            warm_up,
            leaves_in: None,
            started_unix_ms: 0,
        }
    }
}

/// What must be readable of an item to tell which instance it is of.
#[derive(Deserialize)]
struct InstanceId {
    id: Arc<str>,
}

/// Items are decoded one by one, so that one that cannot be read leaves the others.
#[derive(Deserialize)]
struct Page<'a> {
    position: u64,
    #[serde(borrow)]
    instances: Vec<&'a RawValue>,
}

/// Changes of the instance list.
#[derive(Debug, Default)]
pub(crate) struct ListedChanges {
    pub instances: Vec<Instance>,
    /// Ids of the instances whose items cannot be read: their addresses and states are unknown.
    pub unreadable: Vec<Arc<str>>,
}

/// Polls the instance list for changes.
pub(crate) struct InstanceList {
    address: SocketAddr,
    client: HttpClient,
    memory: ResponseMemory,
    /// Name of the list where memory is taken for its responses.
    name: Arc<str>,
    refusals: Refusals,
    position: u64,
}

impl InstanceList {
    /// Creates a client whose first poll fetches the list from its start.
    pub fn new(address: SocketAddr, client: HttpClient, memory: ResponseMemory, refusals: Refusals) -> Self {
        Self { address, client, memory, name: SERVICE.replace(' ', "-").into(), refusals, position: 0 }
    }

    /// Fetches the instances that have changed since the last successful call.
    ///
    /// # Errors
    /// Fails if no valid page arrives within [`REQUEST_TIMEOUT`].
    pub async fn changes(&mut self) -> Result<ListedChanges> {
        let timed_out = unanswered(Cause::TimedOut);
        let bytes = timeout(REQUEST_TIMEOUT, self.request()).await.unwrap_or(Err(timed_out))?;
        let page: Page<'_> = serde_json::from_slice(&bytes).map_err(|error| {
            self.refusals.record_answer(SERVICE, "instances", bytes.len(), &error.to_string());
            unanswered(Cause::Undecodable)
        })?;
        self.position = page.position;
        Ok(self.decode(&page))
    }

    async fn request(&self) -> Result<Bytes> {
        let path = format!("/v1/instances?since={}", self.position);
        let (address, method) = (self.address, Method::GET);
        let call = OutboundRequest { address, method, path, headers: HeaderMap::new(), body: Body::empty() };
        let response = self.client.send(call).await.map_err(|error| match error {
            SendError::NotSent => Error::Unreached { service: SERVICE, cause: Cause::Connection },
            SendError::MaybeSent => unanswered(Cause::Broken),
            SendError::HeadTooLong(_) => unanswered(Cause::TooLong),
        })?;
        if response.status() != StatusCode::OK {
            return Err(unanswered(Cause::Status));
        }
        let body = self.memory.collect_protected(response.into_body(), &self.name, MAX_RESPONSE_BYTES).await;
        let bytes = body.map_err(|error| {
            let ReadError::TooLong(error) = error else { return unanswered(Cause::Broken) };
            self.memory.record_too_long("-", &self.name, "service", &error);
            unanswered(Cause::TooLong)
        })?;
        Ok(repaired_text(bytes))
    }

    fn decode(&self, page: &Page<'_>) -> ListedChanges {
        let mut changes = ListedChanges::default();
        for (index, item) in page.instances.iter().enumerate() {
            let error = match serde_json::from_str::<RawInstance>(item.get()) {
                Ok(instance) => {
                    changes.instances.push(instance.into());
                    continue;
                }
                Err(error) => error.to_string(),
            };
            let id = serde_json::from_str(item.get()).ok().map(|InstanceId { id }| id);
            let key = id.as_ref().map_or_else(|| format!("instances/#{index}"), |id| format!("instances/{id}"));
            self.refusals.record_entry(&key, Revision::new(0, page.position), item.get().len(), &error);
            changes.unreadable.extend(id);
        }
        changes
    }
}

fn unanswered(cause: Cause) -> Error {
    Error::Unanswered { service: SERVICE, cause }
}

#[cfg(test)]
#[path = "instances_test.rs"]
mod instances_test;
