//! Finds the account of a request by the key that came with it, and takes the key off it.

use hyper::header;

use crate::clock;
use crate::filter;
use crate::filter::exchange;
use crate::http::caller::answer;
use crate::state::model;

/// The headers that may carry a caller's key; none of them goes on to a backend server.
const KEY_HEADERS: [&str; 4] = [
    "authorization",
    "x-api-key",
    "api-key",
    "proxy-authorization",
];

/// How long a request waits for the configuration to be confirmed again, as after a pause of the
/// whole process, before it is sent to another entry.
pub const FRESH_TIMEOUT: clock::Millis = clock::Millis::new(300);

/// Sets the key of the request, or lets it pass without one where that is allowed.
///
/// # Errors
///
/// Refuses keyed targets without a key in force, or while the configuration is not fresh.
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

/// Returns the secret and removes every header that may carry one.
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

/// Makes sure that the secret stands nowhere else in what would go on to a backend server.
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
    let message = "the key stands outside its header; send it only as `Authorization: Bearer KEY`";
    Err(answer::Refusal::not_run(400, "exposed_key", message))
}

fn contains(text: &[u8], part: &[u8]) -> bool {
    text.windows(part.len()).any(|window| window == part)
}
