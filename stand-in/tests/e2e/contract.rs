//! The caller interface: faulty requests are refused with the right status and code, or closed.

use std::net;

use crate::support;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

/// A raw request, and the status and code of the answer that it must get.
struct Case {
    name: &'static str,
    request: Vec<u8>,
    status: u16,
    code: &'static str,
}

fn case(name: &'static str, request: impl Into<Vec<u8>>, status: u16, code: &'static str) -> Case {
    Case {
        name,
        request: request.into(),
        status,
        code,
    }
}

fn post(path: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nhost: e\r\nconnection: close\r\n{headers}\
         content-length: {length}\r\n\r\n{body}"
    )
}

fn keyed(path: &str, body: &str) -> String {
    let key = support::KEY;
    post(path, &format!("authorization: Bearer {key}\r\n"), body)
}

fn get(path: &str, headers: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: e\r\nconnection: close\r\n{headers}\r\n")
}

fn cases() -> Vec<Case> {
    let chat = "/v1/chat/completions";
    let key = support::KEY;
    let good = r#"{"model":"resipi","messages":[{"role":"user","content":"hi"}]}"#;
    let unknown = r#"{"model":"none","messages":[{"role":"user","content":"hi"}]}"#;
    let long =
        r#"{"model":"resipi","messages":[{"role":"user","content":"hi"}],"max_tokens":9999999}"#;
    let zero = r#"{"model":"resipi","messages":[{"role":"user","content":"hi"}],"max_tokens":0}"#;
    let exposed =
        format!(r#"{{"model":"resipi","messages":[{{"role":"user","content":"{key}"}}]}}"#);
    let bad_header = [
        b"GET /v1/models HTTP/1.1\r\nhost: e\r\nconnection: close\r\nx-name: \xff\xfe\r\n\r\n"
            .as_slice(),
    ]
    .concat();
    vec![
        case("not JSON", keyed(chat, "{"), 400, "bad_request"),
        case(
            "no messages",
            keyed(chat, r#"{"model":"resipi"}"#),
            400,
            "bad_request",
        ),
        case(
            "no model",
            keyed(chat, r#"{"messages":[]}"#),
            400,
            "bad_request",
        ),
        case("unknown model", keyed(chat, unknown), 404, "unknown_model"),
        case("too many tokens", keyed(chat, long), 400, "bad_request"),
        case("no tokens", keyed(chat, zero), 400, "bad_request"),
        case("no key", post(chat, "", good), 401, "missing_key"),
        case(
            "wrong key",
            post(chat, "authorization: Bearer no\r\n", good),
            401,
            "invalid_key",
        ),
        case("key in body", keyed(chat, &exposed), 400, "exposed_key"),
        case(
            "key in query",
            get(
                &format!("/v1/models?k={key}"),
                &format!("x-api-key: {key}\r\n"),
            ),
            400,
            "exposed_key",
        ),
        case("wrong method", get(chat, ""), 405, "wrong_method"),
        case("unknown path", get("/none", ""), 404, "unknown_path"),
        case(
            "models without key",
            get("/v1/models", ""),
            401,
            "missing_key",
        ),
        case("header not UTF-8", bad_header, 400, "bad_header"),
        case(
            "oversized body",
            keyed(chat, &"x".repeat(2 << 20)),
            413,
            "body_too_large",
        ),
        case(
            "order without idempotency key",
            keyed(&order_path(), "{}"),
            400,
            "missing_idempotency_key",
        ),
    ]
}

fn order_path() -> String {
    stand_in::load::plan::Traffic::default().order_path
}

async fn send_raw(entry: net::SocketAddr, request: &[u8]) -> String {
    let mut stream = tokio::net::TcpStream::connect(entry).await.unwrap();
    // The gateway may refuse and close before it has read the whole request.
    let _ = stream.write_all(request).await;
    read_all(stream).await
}

async fn read_all(mut stream: tokio::net::TcpStream) -> String {
    let mut buf = Vec::new();
    let read = stream.read_to_end(&mut buf);
    let _ = tokio::time::timeout(support::HANG_TIMEOUT, read)
        .await
        .expect("the gateway did not answer or close in time");
    String::from_utf8_lossy(&buf).into_owned()
}

#[tokio::test]
async fn every_faulty_request_gets_its_status_and_code() {
    let deployment = support::Deployment::start().await;
    let entry = deployment.entry(0);
    for case in cases() {
        let answer = send_raw(entry, &case.request).await;
        let start = format!("HTTP/1.1 {} ", case.status);
        assert!(answer.starts_with(&start), "{}: {answer}", case.name);
        let code = format!("\"code\":\"{}\"", case.code);
        assert!(answer.contains(&code), "{}: {answer}", case.name);
        assert!(
            answer.contains("buckthorncleat-outcome: not-run"),
            "{}: {answer}",
            case.name
        );
    }
    malformed_requests_are_refused_or_closed(entry).await;
    keys_never_reach_a_service(&deployment).await;
}

/// Checks that garbage, an oversized head and an incomplete body get a 4xx answer or a close.
async fn malformed_requests_are_refused_or_closed(entry: net::SocketAddr) {
    let head = format!(
        "GET / HTTP/1.1\r\nhost: e\r\nx-long: {}\r\n\r\n",
        "a".repeat(64 << 10)
    );
    for request in [b"\x00\x01\x02\r\n\r\n".as_slice(), head.as_bytes()] {
        let answer = send_raw(entry, request).await;
        assert!(
            answer.is_empty() || answer.starts_with("HTTP/1.1 4"),
            "{answer}"
        );
    }
    let mut half = tokio::net::TcpStream::connect(entry).await.unwrap();
    half.write_all(
        b"POST /v1/chat/completions HTTP/1.1\r\nhost: e\r\ncontent-length: 100\r\n\r\n{",
    )
    .await
    .unwrap();
    half.shutdown().await.unwrap();
    let answer = read_all(half).await;
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 4"),
        "{answer}"
    );
}

async fn keys_never_reach_a_service(deployment: &support::Deployment) {
    let key = support::KEY;
    let headers = [
        format!("authorization: Bearer {key}\r\n"),
        format!("x-api-key: {key}\r\n"),
        format!("api-key: {key}\r\n"),
        format!("authorization: bearer {key}\r\nproxy-authorization: Basic {key}\r\n"),
    ];
    let path = stand_in::load::plan::Traffic::default().lookup_path;
    for headers in headers {
        let answer = send_raw(deployment.entry(1), get(&path, &headers).as_bytes()).await;
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    }
    for i in deployment
        .cluster
        .servers_of(buckthorncleat::state::model::Role::Plain)
    {
        let heads = send_raw(deployment.server(i), get("/_stand-in/heads", "").as_bytes()).await;
        assert!(!heads.contains(key), "{heads}");
    }
}
