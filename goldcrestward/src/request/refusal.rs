//! Refusals: one typed reason each, and the truth on whether the request can have run.

use std::time::Duration;

use http::{HeaderValue, StatusCode, header};
use serde_json::json;
use volo_http::{body::Body, response::Response};

use crate::util::value;

value! {
    /// Whether a refused request can have run at a back end.
    pub(crate) enum RunState {
        /// No attempt can have reached a back end, and none will.
        NotRun,
        /// An attempt may have reached a back end.
        MayHaveRun,
    }
}

impl RunState {
    /// The state as it stands in headers and bodies.
    pub fn label(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
        }
    }
}

value! {
    /// Why a request was refused.
    pub(crate) enum Reason {
        /// No key, or a key of no account.
        Unauthenticated,
        /// The account may not use the route.
        Forbidden,
        /// There is no such model.
        UnknownModel,
        /// There is no such route.
        UnknownRoute,
        /// The request cannot be understood.
        BadRequest,
        /// The head is too large.
        HeaderTooLarge,
        /// The head did not arrive in time.
        HeaderTimeout,
        /// The body is too large.
        BodyTooLarge,
        /// The body did not arrive in time.
        BodyTimeout,
        /// The route needs an idempotency key.
        KeyRequired,
        /// The idempotency key was used with other content.
        KeyMismatch,
        /// Another request with this key is running.
        InProgress,
        /// An earlier request with this key may have run.
        EarlierMayHaveRun,
        /// The ledger has no room for new keys.
        LedgerFull,
        /// The ledger cannot be written.
        LedgerUnavailable,
        /// The account's requests a second are used up.
        RequestLimit,
        /// The account's tokens a second are used up.
        TokenLimit,
        /// The account has as many requests in flight as it may.
        ConcurrencyLimit,
        /// There is no replica that can take it.
        NoReplica,
        /// The pool is too busy to answer within the latency target.
        Overloaded,
        /// The request has crashed back ends.
        CrashesBackends,
        /// The request's time is over.
        Deadline,
        /// Back ends failed and no retry is left.
        BackendFailed,
        /// This daemon is stopping.
        Stopping,
        /// This daemon has no configuration yet.
        NoConfiguration,
    }
}

impl Reason {
    /// The reason as a label of a counter and in bodies.
    pub fn label(self) -> &'static str {
        match self {
            Self::Unauthenticated => "unauthenticated",
            Self::Forbidden => "forbidden",
            Self::UnknownModel => "unknown-model",
            Self::UnknownRoute => "unknown-route",
            Self::BadRequest => "bad-request",
            Self::HeaderTooLarge => "header-too-large",
            Self::HeaderTimeout => "header-timeout",
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
            Self::BodyTimeout | Self::HeaderTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::KeyMismatch | Self::CrashesBackends => StatusCode::UNPROCESSABLE_ENTITY,
            Self::InProgress | Self::EarlierMayHaveRun => StatusCode::CONFLICT,
            Self::RequestLimit | Self::TokenLimit | Self::ConcurrencyLimit => StatusCode::TOO_MANY_REQUESTS,
            Self::Deadline => StatusCode::GATEWAY_TIMEOUT,
            Self::BackendFailed => StatusCode::BAD_GATEWAY,
            Self::LedgerFull
            | Self::LedgerUnavailable
            | Self::NoReplica
            | Self::Overloaded
            | Self::Stopping
            | Self::NoConfiguration => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// The error type in the body that OpenAI-compatible clients know.
    fn kind(self) -> &'static str {
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

/// A refusal with what the caller needs to know.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Whether the request can have run.
    pub run: RunState,
    /// What to tell the caller.
    pub message: String,
    /// When it makes sense to come back.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal of a request that no back end can have seen.
    pub fn not_run(reason: Reason, message: impl Into<String>) -> Self {
        Self { reason, run: RunState::NotRun, message: message.into(), retry_after: None }
    }

    /// A refusal of a request that a back end may have acted on.
    pub fn may_have_run(reason: Reason, message: impl Into<String>) -> Self {
        Self { reason, run: RunState::MayHaveRun, message: message.into(), retry_after: None }
    }

    /// Adds when it makes sense to come back.
    pub fn with_retry_after(self, wait: Duration) -> Self {
        Self { retry_after: Some(wait), ..self }
    }

    fn body(&self) -> String {
        let body = json!({
            "error": {
                "message": self.message,
                "type": self.reason.kind(),
                "param": null,
                "code": self.reason.label(),
                "run": self.run.label(),
            }
        });
        body.to_string()
    }

    /// The answer as text, for a connection on which no request could be read.
    pub fn to_http_text(&self) -> String {
        let (status, reason, run, body) = (self.reason.status(), self.reason.label(), self.run.label(), self.body());
        let length = body.len();
        format!(
            "HTTP/1.1 {status}\r\ncontent-type: application/json\r\nx-refusal: {reason}\r\nx-run-state: {run}\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}"
        )
    }

    /// The answer to a caller that takes 429 and 503 as a promise that the request has not run,
    /// and a `Retry-After` with fractions of a second.
    pub fn strict_response(&self) -> Response {
        let status = match (self.run, self.reason.status()) {
            (RunState::NotRun, StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT) => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            (RunState::MayHaveRun, StatusCode::GATEWAY_TIMEOUT) => StatusCode::GATEWAY_TIMEOUT,
            (RunState::MayHaveRun, _) | (RunState::NotRun, StatusCode::UNPROCESSABLE_ENTITY) => StatusCode::BAD_GATEWAY,
            (RunState::NotRun, status) => status,
        };
        let mut response = self.response();
        *response.status_mut() = status;
        if let Some(wait) = self.retry_after {
            let seconds = format!("{:.3}", wait.as_secs_f64());
            if let Ok(seconds) = HeaderValue::from_str(&seconds) {
                response.headers_mut().insert(header::RETRY_AFTER, seconds);
            }
        }
        response
    }

    /// The answer to the caller.
    pub fn response(&self) -> Response {
        let mut response = Response::new(Body::from(self.body()));
        *response.status_mut() = self.reason.status();
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
