//! Runs the prefill of prompts at prefill servers, before a decode server generates.

use std::net;

use crate::clock;
use crate::fleet::budget;
use crate::fleet::message;
use crate::id;
use crate::router::availability;
use crate::router::balancer;
use crate::router::call;
use crate::router::in_flight;
use crate::router::limited;
use crate::router::protocol;
use crate::router::request;
use crate::router::upstream;
use crate::unit;

/// Time that a prefill may take beyond twice the predicted one.
const PREFILL_TIMEOUT_SLACK: clock::Millis = clock::Millis::new(400);

/// A prefill server is used up to this predicted time; beyond it, the decode server does the
/// prefill itself.
pub const MAX_PREDICTED_PREFILL: clock::Millis = clock::Millis::new(700);

/// Share of an exported KV cache's lifetime in which its transfer may begin (numerator,
/// denominator). The rest covers the time until the request reaches the server.
const EXPORT_USABLE_SHARE: (u64, u64) = (4, 5);

/// Prefill servers that are tried for one prompt. A server at capacity costs a few milliseconds,
/// one that is gone costs the connect timeout.
const MAX_PREFILL_SERVERS: usize = 3;

/// How long a prefill waits for a permit; the decode server would take about as long to do it.
const MAX_PERMIT_WAIT: clock::Millis = clock::Millis::new(100);

/// The exported KV cache of a prompt.
#[derive(Clone, Debug)]
pub struct Exported {
    /// The prefill server.
    pub server: id::BackendServerId,
    pub address: net::SocketAddr,
    pub data_centre: id::DataCentre,
    /// The server's handle of the KV cache.
    pub export: protocol::Export,
    /// Until when a transfer may begin.
    pub usable_until: clock::Millis,
}

/// Result of one attempt at a prefill.
enum Outcome {
    Done(Exported),
    /// The server could not be reached; nothing was sent.
    ConnectFailed(id::BackendServerId),
    /// The server takes no calls since it was picked; nothing was sent.
    Withdrawn(id::BackendServerId),
    /// The server refused the request.
    Refused(id::BackendServerId),
    /// The server was lost under the prefill.
    Lost {
        /// Whether the leader must know it before the request runs.
        must_report: bool,
    },
    /// No prefill was attempted, or it failed.
    Unavailable,
}

/// What became of the prefill of a request.
pub enum Prefill {
    Done(Exported),
    /// The server was lost under it; another call needs to be admitted anew.
    Lost {
        /// Whether the leader must know it before the request runs.
        must_report: bool,
    },
    /// The decode server does it itself.
    None,
}

/// Runs the prefill at a prefill server.
pub async fn run(req: &request::Request) -> Prefill {
    // A prefill that is refused makes the next call a retry. While they are refused, that retry is taken
    // before, so that the request is not refused for want of it.
    let (now, service) = (req.core.clock.now(), &req.service.id);
    let are_refused = req.core.retries().are_prefills_refused(now, service);
    if are_refused && !req.prepare_retry(budget::Purpose::Optional).await {
        return Prefill::None;
    }
    let mut tried = Vec::new();
    while tried.len() < MAX_PREFILL_SERVERS && req.may_call(budget::Purpose::Optional).await {
        match attempt(req, &tried).await {
            Outcome::Done(exported) => return Prefill::Done(exported),
            Outcome::ConnectFailed(server)
            | Outcome::Withdrawn(server)
            | Outcome::Refused(server) => tried.push(server),
            Outcome::Lost { must_report } => return Prefill::Lost { must_report },
            Outcome::Unavailable => return Prefill::None,
        }
    }
    Prefill::None
}

async fn attempt(req: &request::Request, tried: &[id::BackendServerId]) -> Outcome {
    let Some(prompt) = req.caller.generation.map(|g| g.prompt) else {
        return Outcome::Unavailable;
    };
    let Some(picked) = pick(req, prompt, tried).await else {
        return Outcome::Unavailable;
    };
    let permit = picked.pick.permit;
    let now = req.core.clock.now();
    let now = permit.map_or(now, |p| now.max(p.from));
    let begun_at = now;
    let load = message::Load {
        requests: 1,
        memory: unit::Tokens::new(0),
        prompts: prompt,
    };
    let guard = in_flight::Guard::new(&req.core, &picked.pick.id, load);
    let timeout = (picked.time * 2 + PREFILL_TIMEOUT_SLACK).min(req.time_left());
    let reply = send(req, &picked.pick, timeout).await;
    req.end_run();
    let took = req.core.clock.now() - now;
    guard.finish(match &reply {
        Ok(Reply::Done(_)) => balancer::Outcome::Succeeded,
        Ok(Reply::Refused) => balancer::Outcome::Neutral,
        Ok(Reply::Failed) => balancer::Outcome::Failed,
        Err(failure) => failure.outcome(),
    });
    if let Ok(reply) = &reply {
        let is_refused = matches!(reply, Reply::Refused);
        let (now, service) = (req.core.clock.now(), &req.service.id);
        let mut retries = req.core.retries();
        retries.record_prefill(now, service, is_refused);
    }
    if let Ok(Reply::Done(export)) = reply {
        req.record_prefill();
        let id = &picked.pick.id;
        req.core.balancer().record_prefill(id, picked.tokens, took);
        let export_ttl = req.service.engine.as_ref().map(|e| e.export_ttl);
        let export_ttl =
            export_ttl.unwrap_or_default().as_u64() * EXPORT_USABLE_SHARE.0 / EXPORT_USABLE_SHARE.1;
        return Outcome::Done(Exported {
            server: id.clone(),
            address: picked.pick.address,
            data_centre: picked.pick.data_centre,
            export,
            usable_until: req.core.clock.now() + clock::Millis::new(export_ttl),
        });
    }
    log::info!(
        event = "prefill_failed",
        request = req.log_id(),
        server = picked.pick.id.as_str(),
        failure = describe(&reply),
        fingerprints = req.log_fingerprints(),
        predicted_ms = picked.time.as_u64(),
        took_ms = took.as_u64();
        "prefill failed"
    );
    match reply {
        Ok(Reply::Refused) => {
            req.core.mark_full(&picked.pick.id);
            Outcome::Refused(picked.pick.id)
        }
        Err(upstream::Failure::NotSent) => Outcome::ConnectFailed(picked.pick.id),
        Err(upstream::Failure::Withdrawn) => Outcome::Withdrawn(picked.pick.id),
        Err(failure @ (upstream::Failure::Broken | upstream::Failure::TimedOut)) => Outcome::Lost {
            must_report: req.record_loss(&picked.pick, begun_at, false, failure),
        },
        Ok(Reply::Done(_) | Reply::Failed) => Outcome::Unavailable,
    }
}

/// Returns why a prefill failed, for the log.
fn describe(reply: &Result<Reply, upstream::Failure>) -> String {
    match reply {
        Ok(Reply::Refused) => "refused".to_owned(),
        Ok(Reply::Done(_) | Reply::Failed) => "failed at server".to_owned(),
        Err(failure) => failure.to_string(),
    }
}

/// Picks a prefill server that is fast enough; one that limits its calls only when there is no
/// other.
async fn pick(
    req: &request::Request,
    prompt: unit::Tokens,
    tried: &[id::BackendServerId],
) -> Option<balancer::PrefillPick> {
    let now = req.core.clock.now();
    let service = &req.service.id;
    let (picked, mut limited) = {
        let balancer = req.core.balancer();
        (
            balancer.pick_prefill(now, service, prompt, tried, rand::random()),
            balancer.limited_prefill(now, service, prompt, tried),
        )
    };
    let picked = picked.filter(|p| p.time <= MAX_PREDICTED_PREFILL);
    limited.retain(|p| p.time <= MAX_PREDICTED_PREFILL);
    let mut candidates: Vec<balancer::Pick> = limited.iter().map(|p| p.pick.clone()).collect();
    let mut max_wait = MAX_PERMIT_WAIT;
    if let Some(free) = &picked {
        let time_of = |pick: &balancer::Pick| limited.iter().find(|p| p.pick.id == pick.id);
        let is_faster = |pick: &balancer::Pick| time_of(pick).is_some_and(|p| p.time < free.time);
        let Some(servers) = limited::to_call_beside(&req.core, &candidates, is_faster) else {
            return picked;
        };
        candidates = servers;
        max_wait = clock::Millis::ZERO;
    }
    if candidates.is_empty() {
        return None;
    }
    let need = limited::Need::optional(max_wait);
    let Ok(pick) = limited::acquire(&req.core, &candidates, need, req.log_id()).await else {
        return picked;
    };
    let picked = limited.into_iter().find(|p| p.pick.id == pick.id)?;
    Some(balancer::PrefillPick { pick, ..picked })
}

/// Answer of a prefill server.
enum Reply {
    Done(protocol::Export),
    /// It refused the request without running it.
    Refused,
    /// It answered with an error, or the answer can't be decoded.
    Failed,
}

async fn send(
    req: &request::Request,
    pick: &balancer::Pick,
    timeout: clock::Millis,
) -> Result<Reply, upstream::Failure> {
    let server_req = req.server_request(pick, protocol::Work::Prefill, None, None);
    let purpose = availability::Purpose::Prefill;
    let (head, mut answer) =
        call::send(&req.core, pick, purpose, Some(req), server_req, timeout).await?;
    if req.execution(&head)? != protocol::Execution::Ran {
        return Ok(Reply::Refused);
    }
    if !answer.status.is_success() {
        return Ok(Reply::Failed);
    }
    let whole = answer
        .read_to_end(timeout, upstream::MAX_CALL_ANSWER_BYTES)
        .await?;
    match req.core.codec.read_export(&whole) {
        Ok(export) => Ok(Reply::Done(export)),
        Err(e) => {
            log::warn!("can't decode the answer of a prefill server: {e}");
            Ok(Reply::Failed)
        }
    }
}
