//! Reads the body of a caller's request.

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body;
use hyper::body::Body as _;
use tokio::time;

use crate::clock;
use crate::document;
use crate::http::memory;
use crate::router::request;
use crate::router::request::Refusal;
use crate::router::retry_after;

/// The longest wait for the memory of a large body, while those of other requests take it.
const MAX_MEMORY_WAIT: clock::Millis = clock::Millis::new(1_000);

/// Reads a body, and takes memory for it from what the bodies of all requests share.
///
/// # Errors
///
/// Fails when the body is too large, is not complete in time, or when there is no memory for it. It
/// is then read to its end, so that the caller gets the refusal.
pub async fn read(
    mut incoming: body::Incoming,
    limits: &document::CallerLimits,
) -> Result<(Bytes, memory::BodyPermit), Refusal> {
    let length = incoming.size_hint().exact();
    let length = length.map(|n| usize::try_from(n).unwrap_or(usize::MAX));
    let max_bytes = limits.max_body_bytes;
    if length.is_some_and(|n| n > max_bytes) {
        return Err(Refusal::TooLarge);
    }
    let mut memory = reserve(&mut incoming, length.unwrap_or_default(), limits).await?;
    let mut whole = Vec::with_capacity(length.unwrap_or_default());
    let deadline = time::Instant::now() + limits.idle_timeout.as_duration();
    while let Some(data) = next_chunk(&mut incoming, deadline).await? {
        let bytes = whole.len() + data.len();
        if bytes > max_bytes {
            return Err(Refusal::TooLarge);
        }
        if !memory.covers(bytes) {
            // A body of unknown length may take all that is allowed.
            memory = reserve(&mut incoming, max_bytes, limits).await?;
        }
        whole.extend_from_slice(&data);
    }
    Ok((whole.into(), memory))
}

async fn reserve(
    incoming: &mut body::Incoming,
    bytes: usize,
    limits: &document::CallerLimits,
) -> Result<memory::BodyPermit, Refusal> {
    let acquired = memory::BodyPermit::acquire(bytes);
    if let Ok(memory) = time::timeout(MAX_MEMORY_WAIT.as_duration(), acquired).await {
        return Ok(memory);
    }
    metrics::counter!("buckthorncleat_bodies_without_memory_total").increment(1);
    let deadline = time::Instant::now() + limits.idle_timeout.as_duration();
    while next_chunk(incoming, deadline).await?.is_some() {}
    let retry_after = request::draw_retry_after(retry_after::Cause::MemoryFull);
    Err(Refusal::NotRun("no memory for its body", retry_after))
}

/// Returns the next bytes of a body, or `None` after its end.
async fn next_chunk(
    incoming: &mut body::Incoming,
    deadline: time::Instant,
) -> Result<Option<Bytes>, Refusal> {
    loop {
        match time::timeout_at(deadline, incoming.frame()).await {
            Ok(None) => return Ok(None),
            Ok(Some(Ok(frame))) => {
                if let Ok(data) = frame.into_data() {
                    return Ok(Some(data));
                }
            }
            Ok(Some(Err(_))) | Err(_) => return Err(Refusal::Malformed),
        }
    }
}
