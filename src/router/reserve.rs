//! Reserves capacity at a decode server before the prefill, so that no prefill is wasted.

use std::sync;

use crate::clock;
use crate::document;
use crate::router::availability;
use crate::router::balancer;
use crate::router::call;
use crate::router::core;
use crate::router::protocol;
use crate::router::upstream;
use crate::unit;

/// Lifetime of a reservation: the longest prefill that is waited for, with a margin.
const RESERVATION_TTL: clock::Millis = clock::Millis::new(1_200);

/// Lifetime of a reservation that only checks whether a server has room.
const CHECK_TTL: clock::Millis = clock::Millis::new(1);

/// Timeout of a reservation call; a server needs no free slot to answer it.
const CALL_TIMEOUT: clock::Millis = clock::Millis::new(250);

/// Result of a reservation call.
pub enum Outcome {
    Reserved(Guard),
    /// The service offers no reservations, or the server limits its calls.
    Unsupported,
    /// The server is at capacity.
    Full,
    /// The server takes no calls since it was picked.
    Withdrawn,
    /// Another server has the address (status 421).
    Misdirected,
    /// The server can't be reached, or did not answer properly in time.
    Lost(upstream::Failure),
}

/// Reserved capacity. Dropping it releases the reservation at the server; [`Self::forget`] does not.
pub struct Guard {
    core: sync::Arc<core::Core>,
    pick: balancer::Pick,
    reservation: Option<protocol::Reservation>,
}

/// Reserves `memory` and a slot at a server that has at least `required` free.
///
/// A reservation holds all that it names until its lifetime ends, so the memory beyond `memory` is
/// checked by one that lapses at once.
pub async fn reserve(
    core: &sync::Arc<core::Core>,
    service: &document::Service,
    pick: &balancer::Pick,
    memory: unit::Tokens,
    required: unit::Tokens,
) -> Outcome {
    let max_ttl = service.engine.as_ref().map(|e| e.max_reservation_ttl);
    let max_ttl = max_ttl.unwrap_or_default();
    // A server that limits its calls gets only the one that generates.
    let is_limited = core.balancer().is_limited(core.clock.now(), &pick.id);
    if max_ttl == clock::Millis::ZERO || is_limited {
        return Outcome::Unsupported;
    }
    if required > memory {
        match take(core, pick, required, CHECK_TTL).await {
            Outcome::Reserved(checked) => checked.forget(),
            refused => return refused,
        }
    }
    take(core, pick, memory, RESERVATION_TTL.min(max_ttl)).await
}

/// Makes one reservation call.
async fn take(
    core: &sync::Arc<core::Core>,
    pick: &balancer::Pick,
    memory: unit::Tokens,
    ttl: clock::Millis,
) -> Outcome {
    let call = core.codec.write_reserve(memory, ttl);
    let called = call_server(core, pick, availability::Purpose::Reserve, call).await;
    let status = called.as_ref().map_or(0, |(status, _)| status.as_u16());
    metrics::counter!("buckthorncleat_reservation_calls_total", "status" => status.to_string())
        .increment(1);
    let (status, body) = match called {
        Ok(answer) => answer,
        Err(upstream::Failure::Withdrawn) => return Outcome::Withdrawn,
        Err(failure) => {
            log::debug!("reserving capacity at {}: {failure}", pick.id);
            return Outcome::Lost(failure);
        }
    };
    match status {
        hyper::StatusCode::OK => match core.codec.read_reservation(&body) {
            Ok(reservation) => Outcome::Reserved(Guard {
                core: sync::Arc::clone(core),
                pick: pick.clone(),
                reservation: Some(reservation),
            }),
            Err(e) => {
                log::warn!("reserving capacity at {}: {e}", pick.id);
                Outcome::Lost(upstream::Failure::Broken)
            }
        },
        hyper::StatusCode::MISDIRECTED_REQUEST => Outcome::Misdirected,
        hyper::StatusCode::NOT_FOUND => Outcome::Unsupported,
        _ => Outcome::Full,
    }
}

async fn call_server(
    core: &sync::Arc<core::Core>,
    pick: &balancer::Pick,
    purpose: availability::Purpose,
    call: protocol::ServerCall,
) -> Result<(hyper::StatusCode, bytes::Bytes), upstream::Failure> {
    let body = http_body_util::Full::new(call.body);
    let mut req = hyper::Request::new(body);
    *req.method_mut() = call.method;
    *req.uri_mut() = call.path.parse().map_err(|_| upstream::Failure::NotSent)?;
    let headers = req.headers_mut();
    let host = pick.address.to_string();
    if let Ok(host) = hyper::header::HeaderValue::try_from(host) {
        headers.insert(hyper::header::HOST, host);
    }
    let json = hyper::header::HeaderValue::from_static("application/json");
    headers.insert(hyper::header::CONTENT_TYPE, json);
    core.codec.write_expected_server(headers, &pick.id);
    let (_, mut answer) = call::send(core, pick, purpose, None, req, CALL_TIMEOUT).await?;
    let body = answer
        .read_to_end(CALL_TIMEOUT, upstream::MAX_CALL_ANSWER_BYTES)
        .await?;
    Ok((answer.status, body))
}

impl Guard {
    /// Returns the reservation for a request that uses it.
    pub fn reservation(&self) -> Option<&protocol::Reservation> {
        self.reservation.as_ref()
    }

    /// Ends the guard without releasing the reservation: it was used, or lapses at once.
    pub fn forget(mut self) {
        self.reservation = None;
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let Some(reservation) = self.reservation.take() else {
            return;
        };
        let call = self.core.codec.write_release(&reservation);
        let core = sync::Arc::clone(&self.core);
        let pick = self.pick.clone();
        self.core.spawn_stream(async move {
            let purpose = availability::Purpose::Release;
            if let Err(failure) = call_server(&core, &pick, purpose, call).await {
                log::debug!("releasing a reservation at {}: {failure}", pick.id);
            }
        });
    }
}
