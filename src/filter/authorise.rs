//! Finds the client account of a request by its API key, and removes the key from the request.

use hyper::header;

use crate::clock;
use crate::filter;
use crate::filter::exchange;
use crate::http::caller::answer;
use crate::state::model;

/// The headers that may carry a caller's API key; none of them is forwarded to a backend server.
const KEY_HEADERS: [&str; 4] = [
    "authorization",
    "x-api-key",
    "api-key",
    "proxy-authorization",
];

/// The longest time that a request waits for a confirmed configuration before it is refused with
/// other entries to use. The wait covers a short suspension of the whole process.
pub const FRESH_TIMEOUT: clock::Millis = clock::Millis::new(300);

/// Sets the key of the request; targets with open access need none.
///
/// # Errors
///
/// Refuses a request for a keyed target whose key is missing or not in force, or while the
/// configuration is not fresh, and any request that repeats its key outside the key headers.
pub async fn apply(exchange: &mut exchange::Exchange) -> Result<filter::Flow, answer::Refusal> {
    let secret = take_secret(&mut exchange.head.headers);
    if let Some(secret) = &secret {
        check_not_exposed(exchange, secret)?;
    }
    if !is_keyed(&exchange.target) {
        return Ok(filter::Flow::Next);
    }
    if !exchange.cx.wait_fresh(FRESH_TIMEOUT).await {
        return Err(exchange.entry_not_fresh());
    }
    let Some(secret) = secret else {
        let message = "send your key as `Authorization: Bearer KEY`";
        return Err(answer::Refusal::not_run(401, "missing_key", message));
    };
    let config = exchange.cx.config();
    let key = config.key_by_secret(&secret);
    let key = key.cloned().ok_or_else(exchange::invalid_key)?;
    exchange.authorised.send_replace(Some(key.clone()));
    exchange.key = Some(key);
    Ok(filter::Flow::Next)
}

fn is_keyed(target: &exchange::Target) -> bool {
    match target {
        exchange::Target::Unknown | exchange::Target::Entries => false,
        exchange::Target::Models | exchange::Target::Model(_) => true,
        exchange::Target::Plain(route) => route.access == model::Access::Keyed,
    }
}

/// Removes all headers in [`KEY_HEADERS`] and returns the secret of the first one present.
///
/// Returns `None` when no such header is present or the first one is empty.
fn take_secret(headers: &mut header::HeaderMap) -> Option<Vec<u8>> {
    let mut secret = None;
    for name in KEY_HEADERS {
        if let Some(value) = headers.get(name) {
            let bytes = value.as_bytes();
            let bearer = bytes
                .get(..7)
                .filter(|b| b.eq_ignore_ascii_case(b"bearer "));
            let bytes = if bearer.is_some() { &bytes[7..] } else { bytes };
            secret.get_or_insert_with(|| bytes.trim_ascii().to_vec());
        }
        headers.remove(name);
    }
    secret.filter(|s| !s.is_empty())
}

/// Refuses a request that has the secret in another header, its URI or its body, because those
/// are forwarded to a backend server.
fn check_not_exposed(exchange: &exchange::Exchange, secret: &[u8]) -> Result<(), answer::Refusal> {
    let head = &exchange.head;
    let in_headers = head
        .headers
        .values()
        .any(|value| contains(value.as_bytes(), secret));
    let in_uri = contains(head.uri.to_string().as_bytes(), secret);
    if !in_headers && !in_uri && !contains(&exchange.body, secret) {
        return Ok(());
    }
    let message = "the key appears outside its header; send it only as `Authorization: Bearer KEY`";
    Err(answer::Refusal::not_run(400, "exposed_key", message))
}

fn contains(text: &[u8], part: &[u8]) -> bool {
    text.windows(part.len()).any(|window| window == part)
}
