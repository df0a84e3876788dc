//! Client of the platform's instance list, which lags behind the instances' actual state.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::{HeaderMap, Method, StatusCode};
use serde::Deserialize;
use tokio::time::timeout;
use volo_http::body::Body;

use crate::{
    connection::{HttpClient, OutboundRequest},
    port::{Instance, InstanceState},
    process::{ReadError, ResponseMemory},
    store::{Cause, Error, Result},
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

#[derive(Deserialize)]
struct Page {
    position: u64,
    instances: Vec<RawInstance>,
}

/// Polls the instance list for changes.
pub(crate) struct InstanceList {
    address: SocketAddr,
    client: HttpClient,
    memory: ResponseMemory,
    /// Name of the list where memory is taken for its responses.
    name: Arc<str>,
    position: u64,
}

impl InstanceList {
    /// Creates a client whose first poll fetches the list from its start.
    pub fn new(address: SocketAddr, client: HttpClient, memory: ResponseMemory) -> Self {
        Self { address, client, memory, name: SERVICE.replace(' ', "-").into(), position: 0 }
    }

    /// Fetches the instances that have changed since the last successful call.
    ///
    /// # Errors
    /// Fails with [`Error::Unanswered`] if no valid page arrives within [`REQUEST_TIMEOUT`].
    pub async fn changes(&mut self) -> Result<Vec<Instance>> {
        let path = format!("/v1/instances?since={}", self.position);
        let (address, method) = (self.address, Method::GET);
        let call = OutboundRequest { address, method, path, headers: HeaderMap::new(), body: Body::empty() };
        let exchange = async {
            let response = self.client.send(call).await.ok()?;
            if response.status() != StatusCode::OK {
                return None;
            }
            let body = self.memory.collect_protected(response.into_body(), &self.name, MAX_RESPONSE_BYTES).await;
            if let Err(ReadError::TooLong(error)) = &body {
                self.memory.record_too_long("-", &self.name, "service", error);
            }
            serde_json::from_slice::<Page>(&body.ok()?).ok()
        };
        let page = timeout(REQUEST_TIMEOUT, exchange).await.ok().flatten();
        let Some(page) = page else { return Err(Error::Unanswered { service: SERVICE, cause: Cause::Broken }) };
        self.position = page.position;
        Ok(page.instances.into_iter().map(Into::into).collect())
    }
}
