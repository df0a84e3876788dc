//! Refusals of requests, each with a reason and whether the request may have run.

use std::time::Duration;

use http::{HeaderValue, StatusCode, header};
use serde_json::json;
use volo_http::{body::Body, response::Response};

use crate::util::derive_value_traits;

derive_value_traits! {
    /// Whether a refused request may have run at a back end.
    pub(crate) enum RunState {
        /// No back end has run the request, and none will.
        NotRun,
        /// A back end may have run the request.
        MayHaveRun,
    }
}

impl RunState {
    /// Value in headers, bodies and log lines.
    pub fn label(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
        }
    }
}

derive_value_traits! {
    /// Why a request was refused.
    pub(crate) enum Reason {
        /// The API key is missing or belongs to no account.
        Unauthenticated,
        /// The account may not use the route.
        Forbidden,
        /// The model is not configured.
        UnknownModel,
        /// No route matches the request.
        UnknownRoute,
        /// The request is malformed.
        BadRequest,
        /// The request head is too large.
        HeaderTooLarge,
        /// The request head was not received in time.
        HeaderTimeout,
        /// The request crossed the close of its connection.
        ConnectionClosing,
        /// The request body is too large.
        BodyTooLarge,
        /// The request body was not received in time.
        BodyTimeout,
        /// The route requires an idempotency key.
        KeyRequired,
        /// The idempotency key was used with different content.
        KeyMismatch,
        /// Another request with this key is running.
        InProgress,
        /// An earlier request with this key may have run; its outcome is unknown.
        EarlierMayHaveRun,
        /// The ledger has no room for new keys.
        LedgerFull,
        /// The ledger cannot be written.
        LedgerUnavailable,
        /// The account has exceeded its request rate.
        RequestLimit,
        /// The account has exceeded its token rate.
        TokenLimit,
        /// The account has reached its limit of requests in flight.
        ConcurrencyLimit,
        /// No replica of the pool can take the request.
        NoReplica,
        /// The pool is too busy to answer within the latency target.
        Overloaded,
        /// Requests with this content have crashed back ends.
        CrashesBackends,
        /// The request's deadline has passed.
        Deadline,
        /// Back ends failed and no further retry is allowed.
        BackendFailed,
        /// The daemon has no memory for the body.
        NoMemory,
        /// The daemon is shutting down.
        Stopping,
        /// The daemon has no configuration yet.
        NoConfiguration,
    }
}

impl Reason {
    /// Value in headers, bodies, log lines and metric labels.
    pub fn label(self) -> &'static str {
        match self {
            Self::Unauthenticated => "unauthenticated",
            Self::Forbidden => "forbidden",
            Self::UnknownModel => "unknown-model",
            Self::UnknownRoute => "unknown-route",
            Self::BadRequest => "bad-request",
            Self::HeaderTooLarge => "header-too-large",
            Self::HeaderTimeout => "header-timeout",
            Self::ConnectionClosing => "connection-closing",
            Self::BodyTooLarge => "body-too-large",
            Self::BodyTimeout => "body-timeout",
            Self::KeyRequired => "idempotency-key-required",
            Self::KeyMismatch => "idempotency-key-mismatch",
            Self::InProgress => "in-progress",
            Self::EarlierMayHaveRun => "earlier-may-have-run",
            Self::LedgerFull => "ledger-full",
            Self::LedgerUnavailable => "ledger-unavailable",
            Self::RequestLimit => "request-limit",
            Self::TokenLimit => "token-limit",
            Self::ConcurrencyLimit => "concurrency-limit",
            Self::NoReplica => "no-replica",
            Self::Overloaded => "overloaded",
            Self::CrashesBackends => "crashes-back-ends",
            Self::Deadline => "deadline",
            Self::BackendFailed => "back-end-failed",
            Self::NoMemory => "no-memory",
            Self::Stopping => "stopping",
            Self::NoConfiguration => "no-configuration",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            Self::Unauthenticated => StatusCode::UNAUTHORIZED,
            Self::Forbidden => StatusCode::FORBIDDEN,
            Self::UnknownModel | Self::UnknownRoute => StatusCode::NOT_FOUND,
            Self::BadRequest | Self::KeyRequired => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::HeaderTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTimeout | Self::HeaderTimeout | Self::ConnectionClosing => StatusCode::REQUEST_TIMEOUT,
            Self::KeyMismatch | Self::CrashesBackends => StatusCode::UNPROCESSABLE_ENTITY,
            Self::InProgress | Self::EarlierMayHaveRun => StatusCode::CONFLICT,
            Self::RequestLimit | Self::TokenLimit | Self::ConcurrencyLimit => StatusCode::TOO_MANY_REQUESTS,
            Self::Deadline => StatusCode::GATEWAY_TIMEOUT,
            Self::BackendFailed => StatusCode::BAD_GATEWAY,
            Self::LedgerFull
            | Self::LedgerUnavailable
            | Self::NoReplica
            | Self::Overloaded
            | Self::NoMemory
            | Self::Stopping
            | Self::NoConfiguration => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Error type in the body, as OpenAI-compatible clients expect it.
    fn error_type(self) -> &'static str {
        match self.status() {
            StatusCode::UNAUTHORIZED => "authentication_error",
            StatusCode::FORBIDDEN => "permission_error",
            StatusCode::NOT_FOUND => "not_found_error",
            StatusCode::TOO_MANY_REQUESTS => "rate_limit_error",
            status if status.is_client_error() => "invalid_request_error",
            _ => "server_error",
        }
    }
}

/// A refusal, as it is reported to the caller.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Refusal {
    /// Why the request is refused.
    pub reason: Reason,
    /// Whether the request may have run.
    pub run: RunState,
    /// Error message for the caller.
    pub message: String,
    /// Delay after which a retry makes sense; `None` if unknown.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal of a request that no back end has run.
    pub fn not_run(reason: Reason, message: impl Into<String>) -> Self {
        Self { reason, run: RunState::NotRun, message: message.into(), retry_after: None }
    }

    /// Creates a refusal of a request that a back end may have run.
    pub fn may_have_run(reason: Reason, message: impl Into<String>) -> Self {
        Self { reason, run: RunState::MayHaveRun, message: message.into(), retry_after: None }
    }

    /// Sets the delay after which a retry makes sense.
    pub fn with_retry_after(self, wait: Duration) -> Self {
        Self { retry_after: Some(wait), ..self }
    }

    fn status(&self) -> StatusCode {
        match (self.reason, self.run) {
            // 503 would say that the request has not run.
            (Reason::Stopping, RunState::MayHaveRun) => StatusCode::BAD_GATEWAY,
            (reason, _) => reason.status(),
        }
    }

    fn body(&self) -> String {
        let body = json!({
            "error": {
                "message": self.message,
                "type": self.reason.error_type(),
                "param": null,
                "code": self.reason.label(),
                "run": self.run.label(),
            }
        });
        body.to_string()
    }

    /// Formats the response as HTTP/1.1 text, for connections on which no request could be parsed.
    pub fn to_http_text(&self) -> String {
        let (status, reason, run, body) = (self.status(), self.reason.label(), self.run.label(), self.body());
        let length = body.len();
        format!(
            "HTTP/1.1 {status}\r\ncontent-type: application/json\r\nx-refusal: {reason}\r\nx-run-state: {run}\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}"
        )
    }

    /// Builds the response to a proxied request: callers take 429 and 503 as a guarantee that the request has not run,
    /// so that a retry is safe, and accept fractions of a second in `Retry-After`.
    pub fn retry_safe_response(&self) -> Response {
        let status = match (self.run, self.status()) {
            (RunState::NotRun, StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT) => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            (RunState::MayHaveRun, StatusCode::GATEWAY_TIMEOUT) => StatusCode::GATEWAY_TIMEOUT,
            (RunState::MayHaveRun, _) | (RunState::NotRun, StatusCode::UNPROCESSABLE_ENTITY) => StatusCode::BAD_GATEWAY,
            (RunState::NotRun, status) => status,
        };
        let mut response = self.response();
        *response.status_mut() = status;
        // A caller that may not repeat the request must not be told when to.
        let retry_after = self.retry_after.filter(|_| self.run == RunState::NotRun);
        let seconds = retry_after.and_then(|wait| HeaderValue::from_str(&format!("{:.3}", wait.as_secs_f64())).ok());
        match seconds {
            Some(seconds) => response.headers_mut().insert(header::RETRY_AFTER, seconds),
            None => response.headers_mut().remove(header::RETRY_AFTER),
        };
        response
    }

    /// Builds the response to a request for a model or a plain service, with `Retry-After` rounded up to seconds.
    pub fn response(&self) -> Response {
        let mut response = Response::new(Body::from(self.body()));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert("x-refusal", HeaderValue::from_static(self.reason.label()));
        headers.insert("x-run-state", HeaderValue::from_static(self.run.label()));
        if let Some(wait) = self.retry_after {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(wait.as_secs_f64().ceil() as u64));
        }
        response
    }
}

#[cfg(test)]
#[path = "refusal_test.rs"]
mod refusal_test;
