//! Tests of the responses to refused requests.

use std::time::Duration;

use http::{StatusCode, header};

use super::{Reason, Refusal};

#[test]
fn retry_safe_response_has_one_retry_after() {
    let refusal = Refusal::not_run(Reason::TokenLimit, "used up").with_retry_after(Duration::from_millis(29));
    let response = refusal.retry_safe_response();
    let waits: Vec<_> = response.headers().get_all(header::RETRY_AFTER).iter().collect();
    assert_eq!(waits, ["0.029"]);
}

// Guards against a caller that is asked to repeat a request that may have run.
#[test]
fn retry_safe_response_to_what_may_have_run_has_no_retry_after() {
    let refusal = Refusal::may_have_run(Reason::Stopping, "stopping").with_retry_after(Duration::from_millis(100));
    assert_eq!(refusal.retry_safe_response().headers().get(header::RETRY_AFTER), None);
}

#[test]
fn retry_safe_response_uses_429_and_503_only_for_not_run() {
    let cases = [
        (Refusal::not_run(Reason::TokenLimit, ""), StatusCode::TOO_MANY_REQUESTS),
        (Refusal::not_run(Reason::Overloaded, ""), StatusCode::SERVICE_UNAVAILABLE),
        (Refusal::not_run(Reason::Deadline, ""), StatusCode::SERVICE_UNAVAILABLE),
        (Refusal::not_run(Reason::BackendFailed, ""), StatusCode::SERVICE_UNAVAILABLE),
        (Refusal::not_run(Reason::CrashesBackends, ""), StatusCode::BAD_GATEWAY),
        (Refusal::not_run(Reason::BodyTooLarge, ""), StatusCode::PAYLOAD_TOO_LARGE),
        (Refusal::may_have_run(Reason::Overloaded, ""), StatusCode::BAD_GATEWAY),
        (Refusal::may_have_run(Reason::TokenLimit, ""), StatusCode::BAD_GATEWAY),
        (Refusal::may_have_run(Reason::BackendFailed, ""), StatusCode::BAD_GATEWAY),
        (Refusal::may_have_run(Reason::Deadline, ""), StatusCode::GATEWAY_TIMEOUT),
    ];
    for (refusal, status) in cases {
        assert_eq!(refusal.retry_safe_response().status(), status, "{:?} {:?}", refusal.reason, refusal.run);
    }
}
