//! Room at a model server that is reserved before the prompt is read elsewhere, so that no prompt
//! is read for nothing.

use std::sync;

use crate::clock;
use crate::document;
use crate::router::balancer;
use crate::router::core;
use crate::router::edge;
use crate::router::upstream;
use crate::unit;

/// How long room is reserved: the longest prefill that is waited for, and some.
const LIFE: clock::Millis = clock::Millis::new(1_200);

/// How long a server may take to answer; it needs no slot for that.
const CALL_LIMIT: clock::Millis = clock::Millis::new(250);

/// How a reservation went.
pub enum Reserved {
    /// The room is reserved.
    Taken(Taken),
    /// The service offers no reservations.
    NotOffered,
    /// The server has no room.
    Full,
    /// Another server has the address now.
    Elsewhere,
    /// The server can't be reached or does not answer.
    Lost(upstream::Failure),
}

/// Reserved room; it is given back when this is dropped before it was spent.
pub struct Taken {
    core: sync::Arc<core::Core>,
    pick: balancer::Pick,
    hold: Option<edge::Hold>,
}

/// Reserves room at a server.
pub async fn take(
    core: &sync::Arc<core::Core>,
    service: &document::Service,
    pick: &balancer::Pick,
    memory: unit::Tokens,
) -> Reserved {
    let longest = service.engine.as_ref().map(|e| e.longest_hold);
    let longest = longest.unwrap_or_default();
    if longest == clock::Millis::ZERO {
        return Reserved::NotOffered;
    }
    let call = core.dialect.write_hold(memory, LIFE.min(longest));
    let called = call_server(core, pick, call).await;
    let (status, body) = match called {
        Ok(answer) => answer,
        Err(failure) => {
            log::debug!("reserving room at {}: {failure}", pick.id);
            return Reserved::Lost(failure);
        }
    };
    match status {
        hyper::StatusCode::OK => match core.dialect.read_hold(&body) {
            Ok(hold) => Reserved::Taken(Taken {
                core: sync::Arc::clone(core),
                pick: pick.clone(),
                hold: Some(hold),
            }),
            Err(e) => {
                log::warn!("reserving room at {}: {e}", pick.id);
                Reserved::Lost(upstream::Failure::Broken)
            }
        },
        hyper::StatusCode::MISDIRECTED_REQUEST => Reserved::Elsewhere,
        hyper::StatusCode::NOT_FOUND => Reserved::NotOffered,
        _ => Reserved::Full,
    }
}

async fn call_server(
    core: &core::Core,
    pick: &balancer::Pick,
    call: edge::ServerCall,
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
    core.dialect.write_expected_server(headers, &pick.id);
    let mut answer = upstream::send(pick.address, req, CALL_LIMIT).await?;
    let body = answer.whole(CALL_LIMIT).await?;
    Ok((answer.status, body))
}

impl Taken {
    /// Returns the name of the room for the request that uses it.
    ///
    /// # Panics
    ///
    /// Panics when it was spent before.
    pub fn spend(&mut self) -> edge::Hold {
        let hold = self.hold.take();
        hold.expect("reserved room is spent once")
    }
}

impl Drop for Taken {
    fn drop(&mut self) {
        let Some(hold) = self.hold.take() else {
            return;
        };
        let call = self.core.dialect.write_hold_drop(&hold);
        let core = sync::Arc::clone(&self.core);
        let pick = self.pick.clone();
        self.core.spawn_stream(async move {
            if let Err(failure) = call_server(&core, &pick, call).await {
                log::debug!("giving room back at {}: {failure}", pick.id);
            }
        });
    }
}
