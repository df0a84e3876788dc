//! Client of a daemon's listener for operators.

use std::{sync::Arc, time::Duration};

use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use serde_json::Value;
use snafu::ResultExt;
use tokio::time::timeout;
use volo_http::body::Body;

use crate::{
    args::AdminArgs,
    connection::{HttpClient, OutboundRequest},
    error::{Error, RequestSnafu, Result, RuntimeSnafu},
    process::{ReadError, ResponseMemory},
};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Size limit of a response.
const MAX_RESPONSE_BYTES: usize = 32 * 1024 * 1024;

/// Sends a request to the operators' listener and blocks until it returns the response's status and JSON body.
pub(crate) fn request(
    admin: &AdminArgs,
    method: Method,
    path: &str,
    body: Option<&Value>,
) -> Result<(StatusCode, Value)> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().context(RuntimeSnafu)?;
    runtime.block_on(async {
        let response = send_request(admin, method, path, body);
        let fail = |_| RequestSnafu { address: admin.admin, reason: "no answer in time" }.build();
        timeout(REQUEST_TIMEOUT, response).await.map_err(fail)?
    })
}

/// Sends a `GET` request to the operators' listener; any status but 200 is an error.
pub(crate) fn get(admin: &AdminArgs, path: &str) -> Result<Value> {
    let (status, value) = request(admin, Method::GET, path, None)?;
    if status == StatusCode::OK {
        return Ok(value);
    }
    let reason = value["error"].as_str().unwrap_or("unexpected answer").to_owned();
    RequestSnafu { address: admin.admin, reason }.fail()
}

/// Sends a request to the operators' listener and returns the response's status and JSON body.
pub(crate) async fn send_request(
    admin: &AdminArgs,
    method: Method,
    path: &str,
    body: Option<&Value>,
) -> Result<(StatusCode, Value)> {
    let fail = |reason: String| Error::Request { address: admin.admin, reason };
    let client = HttpClient::new();
    let mut headers = HeaderMap::new();
    let token = HeaderValue::from_str(&format!("Bearer {}", admin.token));
    headers.insert(header::AUTHORIZATION, token.map_err(|_| fail("the token is not printable".into()))?);
    let body = body.map_or_else(Body::empty, |body| Body::from(body.to_string()));
    let request = OutboundRequest { address: admin.admin, method, path: path.to_owned(), headers, body };
    let response = client.send(request).await.map_err(|_| fail("the connection failed".into()))?;
    let status = response.status();
    let (memory, daemon) = (ResponseMemory::new(2 * MAX_RESPONSE_BYTES), Arc::from("daemon"));
    let body = memory.collect_protected(response.into_body(), &daemon, MAX_RESPONSE_BYTES).await;
    let bytes = body.map_err(|error| match error {
        ReadError::Broken => fail("the connection broke before the end of the answer".into()),
        ReadError::TooLong(_) => fail(format!("the answer has more than {MAX_RESPONSE_BYTES} bytes")),
    })?;
    let value = serde_json::from_slice(&bytes).map_err(|e| fail(e.to_string()))?;
    Ok((status, value))
}
