//! The caller interface: OpenAI-compatible endpoints, plain services, refusals and limits.

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use serde_json::{Value, json};

use crate::support::{KEY, TestSite, eventually};

async fn send(site: &TestSite, request: http::request::Builder, body: impl Into<Bytes>) -> Response<Incoming> {
    let target = site.daemons[0].callers;
    let request = request.header("host", target.to_string()).body(Full::new(body.into())).expect("well formed");
    standin::http::send_request(target, request).await.expect("the daemon answers")
}

async fn read_json(response: Response<Incoming>) -> Value {
    let bytes = response.into_body().collect().await.expect("the body is complete").to_bytes();
    serde_json::from_slice(&bytes).expect("the body is JSON")
}

fn with_key(request: http::request::Builder) -> http::request::Builder {
    request.header("authorization", format!("Bearer {KEY}"))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn refusals_name_reason_and_run_state() {
    let site = TestSite::start(1, 1).await;
    let chat = || Request::post("/v1/chat/completions");
    let large = vec![b'x'; 9 * 1024 * 1024];
    let cases: Vec<(&str, http::request::Builder, Bytes, StatusCode, &str)> = vec![
        ("no key", chat(), "{}".into(), StatusCode::UNAUTHORIZED, "unauthenticated"),
        (
            "wrong key",
            chat().header("authorization", "Bearer nobody"),
            "{}".into(),
            StatusCode::UNAUTHORIZED,
            "unauthenticated",
        ),
        ("no JSON", with_key(chat()), "{".into(), StatusCode::BAD_REQUEST, "bad-request"),
        ("unknown model", with_key(chat()), r#"{"model":"none"}"#.into(), StatusCode::NOT_FOUND, "unknown-model"),
        ("unknown path", with_key(Request::get("/nowhere")), "".into(), StatusCode::NOT_FOUND, "unknown-route"),
        (
            "no idempotency key",
            with_key(Request::post("/orders/confirm")),
            "{}".into(),
            StatusCode::BAD_REQUEST,
            "idempotency-key-required",
        ),
        ("large body", with_key(chat()), large.into(), StatusCode::PAYLOAD_TOO_LARGE, "body-too-large"),
    ];
    for (name, request, body, status, reason) in cases {
        let response = send(&site, request, body).await;
        assert_eq!(response.status(), status, "{name}");
        assert_eq!(response.headers()["x-refusal"], reason, "{name}");
        assert_eq!(response.headers()["x-run-state"], "not-run", "{name}");
        let value = read_json(response).await;
        assert_eq!(value["error"]["code"], reason, "{name}");
        assert!(value["error"]["message"].is_string() && value["error"]["type"].is_string(), "{name}: {value}");
        assert!(site.counter("refusals_total", reason).await >= 1.0, "{name} is not counted");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn unstreamed_completions_and_models_are_openai_compatible() {
    let site = TestSite::start(1, 1).await;
    let response = send(&site, with_key(Request::get("/v1/models")), "").await;
    assert_eq!(read_json(response).await["data"][0]["id"], "meal-planner");
    let body = json!({ "model": "meal-planner", "max_tokens": 3, "messages": [{ "role": "user", "content": "soup" }] });
    let response = send(&site, with_key(Request::post("/v1/chat/completions")), body.to_string()).await;
    assert_eq!(response.status(), StatusCode::OK);
    let value = read_json(response).await;
    assert_eq!(value["choices"][0]["message"]["content"], standin::engine::generated_text("soup", 3));
    assert_eq!(value["usage"]["completion_tokens"], 3);
    let body = json!({ "model": "meal-planner", "max_tokens": 3, "prompt": "soup" });
    let response = send(&site, with_key(Request::post("/v1/completions")), body.to_string()).await;
    assert_eq!(read_json(response).await["choices"][0]["text"], standin::engine::generated_text("soup", 3));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn plain_service_gets_method_body_and_end_to_end_headers() {
    let site = TestSite::start(1, 0).await;
    let request = with_key(Request::put("/orders/notes?tray=4"))
        .header("connection", "x-private")
        .header("x-private", "one hop")
        .header("x-note", "no salt");
    let response = send(&site, request, "no salt on tray four").await;
    assert_eq!(response.status(), StatusCode::OK);
    let value = read_json(response).await;
    assert_eq!((value["path"].as_str(), value["bytes"].as_u64()), (Some("/orders/notes"), Some(20)));
    let headers = value["headers"].as_array().expect("the service returns the header names");
    let has = |name: &str| headers.iter().any(|h| h == name);
    assert!(has("x-note") && has("x-account"), "{headers:?}");
    assert!(!has("x-private") && !has("authorization"), "{headers:?}");
    // The header concerns one connection only, so the service gets the daemon's own, if any.
    assert!(value["connection"].is_null() || value["connection"] == "close", "{value}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn account_over_its_limit_is_refused_with_retry_after() {
    let site = TestSite::start(1, 0).await;
    let mut refused = 0;
    for _ in 0..30 {
        let request = Request::get("/orders/lookup").header("authorization", "Bearer limited-key");
        let response = send(&site, request, "").await;
        if response.status() == StatusCode::TOO_MANY_REQUESTS {
            assert!(response.headers().contains_key("retry-after"));
            assert_eq!(response.headers()["x-refusal"], "request-limit");
            refused += 1;
        }
    }
    assert!(refused > 0, "30 successive requests passed a limit of 5 per second");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn long_body_is_streamed_to_plain_service() {
    let site = TestSite::start(1, 0).await;
    let body = vec![b'x'; 20 * 1024 * 1024];
    let length = body.len() as u64;
    let response = send(&site, with_key(Request::post("/orders/upload")), body).await;
    assert_eq!(response.status(), StatusCode::OK);
    assert_eq!(read_json(response).await["bytes"].as_u64(), Some(length));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn oversized_and_slow_request_headers_are_refused_and_counted() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};

    let site = TestSite::start(1, 0).await;
    let cases = [
        (format!("GET / HTTP/1.1\r\nx-long: {}\r\n\r\n", "x".repeat(100_000)), "431", "header-too-large"),
        ("GET / HTTP/1.1\r\nx-slow: ".to_owned(), "408", "header-timeout"),
    ];
    for (head, status, reason) in cases {
        let mut stream = tokio::net::TcpStream::connect(site.daemons[0].callers).await.expect("the daemon listens");
        stream.write_all(head.as_bytes()).await.ok();
        let mut buffer = [0; 64];
        let length = stream.read(&mut buffer).await.unwrap_or(0);
        let response = String::from_utf8_lossy(&buffer[..length]).into_owned();
        assert!(response.starts_with(&format!("HTTP/1.1 {status}")), "{reason}: {response}");
        let counted = || async { (site.counter("refusals_total", reason).await >= 1.0).then_some(()) };
        eventually(reason, counted).await;
    }
}
