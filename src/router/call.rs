//! Makes calls to backend servers: only to those that may get them, and with a look at what each
//! answer says of its server.

use std::sync;

use bytes::Bytes;
use tokio::time;

use crate::clock;
use crate::id;
use crate::router::availability;
use crate::router::balancer;
use crate::router::core;
use crate::router::protocol;
use crate::router::request;
use crate::router::upstream;

/// A call that is under way; dropping it ends the call.
struct Guard {
    core: sync::Arc<core::Core>,
    server: id::BackendServerId,
    /// Whether the call counts as one after a quiet time.
    counted: bool,
}

impl Guard {
    fn begin(
        core: &sync::Arc<core::Core>,
        pick: &balancer::Pick,
        purpose: availability::Purpose,
    ) -> Result<Self, upstream::Failure> {
        let begun = core
            .balancer()
            .begin_call(core.clock.now(), &pick.id, purpose);
        let counted = begun.map_err(|state| withdrawn(pick, purpose, state.as_str()))?;
        Ok(Self {
            core: sync::Arc::clone(core),
            server: pick.id.clone(),
            counted,
        })
    }

    /// Checks once more, when the connection is open, that the server may get the call.
    fn check(
        &self,
        pick: &balancer::Pick,
        purpose: availability::Purpose,
    ) -> Result<(), upstream::Failure> {
        let balancer = self.core.balancer();
        let state = balancer.state_under_call(self.core.clock.now(), &self.server);
        let has_version = balancer.has_version_of(pick);
        let is_evacuated = balancer.is_evacuated(&pick.data_centre);
        drop(balancer);
        // The list may name another data centre for the server since it was picked.
        let state = match state {
            _ if is_evacuated => availability::State::Evacuated,
            state => state,
        };
        if !has_version {
            return Err(withdrawn(pick, purpose, "other version"));
        }
        if state.may_send(purpose) {
            Ok(())
        } else {
            Err(withdrawn(pick, purpose, state.as_str()))
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.core.balancer().end_call(&self.server, self.counted);
        if self.counted {
            self.core.capacity_freed.notify_waiters();
        }
    }
}

/// Sends a request to a server and returns the head of its answer, decoded and with the body to
/// read; `timeout` covers the time until the head, after the connection is open. `caller` is the
/// request that the call is an arrival of, `None` for a call of the router's own.
///
/// # Errors
///
/// Fails with `Withdrawn` when the server must not get the call by now, with `NotSent` when the
/// request can't have reached it, with another failure when it may have.
pub async fn send(
    core: &sync::Arc<core::Core>,
    pick: &balancer::Pick,
    purpose: availability::Purpose,
    caller: Option<&request::Request>,
    req: hyper::Request<http_body_util::Full<Bytes>>,
    timeout: clock::Millis,
) -> Result<(protocol::ServerAnswer, upstream::Answer), upstream::Failure> {
    let guard = Guard::begin(core, pick, purpose)?;
    if let Some(permit) = pick.permit {
        time::sleep((permit.from - core.clock.now()).as_duration()).await;
    }
    let connected = upstream::connect(pick.address, timeout).await;
    core.record_path(&pick.id, connected.is_ok());
    let stream = connected?;
    guard.check(pick, purpose)?;
    check_permit(core, pick, purpose)?;
    if caller.is_some_and(|c| c.is_quarantined()) {
        return Err(withdrawn(pick, purpose, "request quarantined"));
    }
    if caller.is_some_and(|c| !c.begin_arrival(pick, purpose)) {
        return Err(withdrawn(pick, purpose, "no retry budget"));
    }
    let sent_at = core.clock.now();
    let answer = upstream::exchange(stream, req, timeout).await?;
    let head = core.codec.read_server_head(answer.status, &answer.headers);
    // Another server at the address proves nothing.
    if head.execution != protocol::Execution::Misdirected {
        let now = core.clock.now();
        core.balancer().record_proof(now, sent_at, &pick.id);
    }
    core.record_answer(&pick.id, &head);
    Ok((head, answer))
}

/// Checks that a server without a limit is called, or that there is a valid permit; counts the call.
fn check_permit(
    core: &core::Core,
    pick: &balancer::Pick,
    purpose: availability::Purpose,
) -> Result<(), upstream::Failure> {
    let now = core.clock.now();
    let is_limited = core.balancer().is_limited(now, &pick.id);
    if is_limited && !pick.permit.is_some_and(|p| p.is_valid(now)) {
        return Err(withdrawn(pick, purpose, "limited"));
    }
    let limited = if is_limited { "true" } else { "false" };
    metrics::counter!("buckthorncleat_server_calls_total", "purpose" => purpose.as_str(), "limited" => limited)
        .increment(1);
    Ok(())
}

/// Logs and counts a call that was decided on and is not sent.
fn withdrawn(
    pick: &balancer::Pick,
    purpose: availability::Purpose,
    state: &'static str,
) -> upstream::Failure {
    metrics::counter!("buckthorncleat_withdrawn_calls_total", "state" => state).increment(1);
    log::info!(
        event = "call_withdrawn",
        server = pick.id.as_str(),
        purpose = purpose.as_str(),
        state = state;
        "the server takes no calls since it was picked; picking another one"
    );
    upstream::Failure::Withdrawn
}
