//! Sends one request as a caller would, to test a deployment.

use std::io::Write as _;
use std::net;

use bytes::Bytes;
use futures_util::StreamExt as _;
use futures_util::stream;
use hyper::header;

use crate::backend::client;
use crate::cli::args;
use crate::cli::failure;
use crate::cli::output;
use crate::clock;
use crate::error;
use crate::http::caller::answer;

use eventsource_stream::Eventsource as _;

/// The longest time to wait for the head of a streamed answer, and for the whole of a plain one.
const TIMEOUT: clock::Millis = clock::Millis::from_secs(60);
/// The largest plain answer, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// The time after which an error tells the operator to try again.
const RETRY_AFTER: clock::Millis = clock::Millis::from_secs(1);

/// Asks a gateway for the addresses that callers should use.
///
/// # Errors
///
/// Fails if the gateway does not answer or refuses the request.
pub async fn entries(entry: net::SocketAddr) -> failure::Result<output::Output> {
    let request = request(entry, "GET", "/v1/entries", None, Bytes::new())?;
    plain(entry, request).await
}

/// Sends a prompt to a model and prints the answer as it arrives.
///
/// # Errors
///
/// Fails if the key file can't be read, the gateway does not answer or refuses the request, or the
/// answer breaks off.
pub async fn chat(chat: args::Chat) -> failure::Result<output::Output> {
    let body = serde_json::json!({
        "model": chat.model,
        "messages": [{"role": "user", "content": chat.text}],
        "max_tokens": chat.max_tokens,
        "stream": true,
    });
    let secret = read_secret(Some(&chat.key_file))?;
    let body = Bytes::from(body.to_string());
    let path = "/v1/chat/completions";
    let request = request(chat.entry, "POST", path, secret.as_deref(), body)?;
    let mut streaming = client::open(chat.entry, request, TIMEOUT)
        .await
        .map_err(|e| unavailable(&e))?;
    if !streaming.status.is_success() {
        let mut text = Vec::new();
        while let Some(Ok(data)) = streaming.next().await {
            text.extend_from_slice(&data);
        }
        return Err(refused(streaming.status, &text));
    }
    let id = header_text(&streaming.headers, answer::REQUEST_HEADER);
    let mut output = print_stream(streaming).await?;
    eprintln!("request {}", id.as_deref().unwrap_or("without an id"));
    output.json["request"] = id.into();
    Ok(output)
}

/// Calls a plain service and returns its answer.
///
/// # Errors
///
/// Fails if the key file can't be read, an argument is invalid, or the gateway does not answer or
/// refuses the call.
pub async fn call(call: args::Call) -> failure::Result<output::Output> {
    let secret = read_secret(call.key_file.as_deref())?;
    let body = Bytes::from(call.body.unwrap_or_default());
    let mut request = request(
        call.entry,
        &call.method,
        &call.path,
        secret.as_deref(),
        body,
    )?;
    if let Some(key) = call.idempotency_key {
        let value = header::HeaderValue::from_str(&key)
            .map_err(|e| error::Error::bad_value("idempotency-key", e, "use visible ASCII"))?;
        request.headers_mut().insert("idempotency-key", value);
    }
    plain(call.entry, request).await
}

async fn plain(
    entry: net::SocketAddr,
    request: hyper::Request<client::Body>,
) -> failure::Result<output::Output> {
    let answer = client::call(entry, request, TIMEOUT, MAX_ANSWER_BYTES)
        .await
        .map_err(|e| unavailable(&e))?;
    if !answer.status.is_success() {
        return Err(refused(answer.status, &answer.body));
    }
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let header = |name| header_text(&answer.headers, name);
    let json = serde_json::json!({
        "status": answer.status.as_u16(),
        "outcome": header(answer::OUTCOME_HEADER),
        "request": header(answer::REQUEST_HEADER),
        "replayed": header("idempotency-replayed").is_some(),
        "body": serde_json::from_str(&text).unwrap_or(serde_json::Value::String(text.clone())),
    });
    Ok(output::Output { text, json })
}

fn header_text(headers: &header::HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?;
    Some(String::from_utf8_lossy(value.as_bytes()).into_owned())
}

async fn print_stream(streaming: client::Streaming) -> failure::Result<output::Output> {
    let bytes = stream::unfold(streaming, |mut streaming| async {
        let next = streaming.next().await?;
        Some((next, streaming))
    });
    let mut events = Box::pin(bytes.eventsource());
    let mut text = String::new();
    while let Some(event) = events.next().await {
        let event = event.map_err(|e| broken(&e.to_string()))?;
        if event.data == "[DONE]" {
            println!();
            let json = serde_json::json!({ "text": text });
            return Ok(output::Output {
                text: String::new(),
                json,
            });
        }
        if event.event == "error" {
            return Err(broken(&event.data));
        }
        let delta = delta_text(&event.data);
        print!("{delta}");
        // Standard output is line-buffered; without a flush the text would appear line by line.
        let _ = std::io::stdout().flush();
        text.push_str(&delta);
    }
    Err(broken("the answer ended before its final event `[DONE]`"))
}

fn delta_text(data: &str) -> String {
    let chunk: serde_json::Value = serde_json::from_str(data).unwrap_or_default();
    let content = &chunk["choices"][0]["delta"]["content"];
    content.as_str().unwrap_or_default().to_owned()
}

fn request(
    entry: net::SocketAddr,
    method: &str,
    path: &str,
    secret: Option<&str>,
    body: Bytes,
) -> error::Result<hyper::Request<client::Body>> {
    let mut builder = hyper::Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, entry.to_string())
        .header(header::CONTENT_TYPE, "application/json");
    if let Some(secret) = secret {
        builder = builder.header(header::AUTHORIZATION, format!("Bearer {secret}"));
    }
    builder
        .body(client::Body::from(body))
        .map_err(|e| error::Error::bad_value("request", e, "check the method, path and key"))
}

fn read_secret(file: Option<&std::path::Path>) -> error::Result<Option<String>> {
    let Some(file) = file else {
        return Ok(None);
    };
    let text = std::fs::read_to_string(file)
        .map_err(|e| error::Error::io(format!("reading key file {}", file.display()), e))?;
    Ok(Some(text.trim().to_owned()))
}

fn unavailable(e: &client::Failure) -> failure::Failure {
    failure::Failure::Error(error::Error::unavailable(e.to_string(), RETRY_AFTER))
}

fn broken(why: &str) -> failure::Failure {
    failure::Failure::Error(error::Error::unavailable(why, RETRY_AFTER))
}

fn refused(status: hyper::StatusCode, body: &[u8]) -> failure::Failure {
    let body: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    let message = body["error"]["message"]
        .as_str()
        .unwrap_or("no reason given");
    let remedy = "correct the request as the message says";
    failure::Failure::Error(error::Error::bad_value(
        "request",
        status,
        format!("{message} ({remedy})"),
    ))
}
