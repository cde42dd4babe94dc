//! Has prompts read at prefill servers, ahead of the decode server that goes on.

use std::net;

use crate::clock;
use crate::fleet::budget;
use crate::fleet::message;
use crate::id;
use crate::router::balancer;
use crate::router::in_flight;
use crate::router::protocol;
use crate::router::request;
use crate::router::upstream;
use crate::unit;

/// The time that a prefill may take beyond what was predicted.
const PREFILL_TIMEOUT_SLACK: clock::Millis = clock::Millis::new(400);

/// The predicted time up to which a prefill server is used; beyond it, the decode server reads
/// the prompt itself.
const MAX_PREDICTED_PREFILL: clock::Millis = clock::Millis::new(700);

/// The part of the time that an exported KV cache is kept in which it is fetched; the rest covers
/// the way there.
const EXPORT_USABLE_SHARE: (u64, u64) = (4, 5);

/// The prefill servers that are tried for one prompt; each costs a few milliseconds when it has no
/// room, and the connection timeout when it is gone.
const MAX_PREFILL_SERVERS: usize = 3;

/// A prompt that was read ahead.
#[derive(Clone, Debug)]
pub struct Exported {
    /// The server that read it.
    pub server: id::BackendServerId,
    /// Where that server listens.
    pub address: net::SocketAddr,
    /// The KV cache there.
    pub export: protocol::Export,
    /// Until when it may be fetched.
    pub usable_until: clock::Millis,
}

/// How reading a prompt ahead went.
enum Outcome {
    /// The prompt is read.
    Done(Exported),
    /// This server could not be reached; it got nothing.
    ConnectFailed(id::BackendServerId),
    /// This server took no work.
    Refused(id::BackendServerId),
    /// It was not read, or nobody knows.
    Unavailable,
}

/// Has the prompt read at a prefill server; without one, the decode server reads it itself.
pub async fn run(req: &request::Request) -> Option<Exported> {
    let mut tried = Vec::new();
    while tried.len() < MAX_PREFILL_SERVERS {
        match attempt(req, &tried).await {
            Outcome::Done(exported) => return Some(exported),
            Outcome::ConnectFailed(server) => tried.push(server),
            // One that refused has seen the request; whoever is next gets an attempt more.
            Outcome::Refused(server) if req.take_retry(budget::Purpose::Helpful) => {
                tried.push(server);
            }
            Outcome::Refused(_) => {
                let now = req.core.clock.now();
                req.core.budget().note_repeat(now, &req.service.id);
                return None;
            }
            Outcome::Unavailable => return None,
        }
    }
    None
}

async fn attempt(req: &request::Request, tried: &[id::BackendServerId]) -> Outcome {
    let Some(prompt) = req.caller.generation.map(|g| g.prompt) else {
        return Outcome::Unavailable;
    };
    let now = req.core.clock.now();
    let service = &req.service.id;
    let picked = req
        .core
        .balancer()
        .pick_prefill(now, service, prompt, tried, rand::random());
    let Some(picked) = picked else {
        return Outcome::Unavailable;
    };
    if picked.time > MAX_PREDICTED_PREFILL {
        return Outcome::Unavailable;
    }
    let load = message::Load {
        requests: 1,
        memory: unit::Tokens::new(0),
        prompts: prompt,
    };
    let guard = in_flight::Guard::new(&req.core, &picked.pick.id, load);
    let timeout = (picked.time * 2 + PREFILL_TIMEOUT_SLACK).min(req.time_left());
    let reply = send(req, &picked.pick, timeout).await;
    let took = req.core.clock.now() - now;
    guard.finish(match &reply {
        Ok(Reply::Done(_)) => balancer::Outcome::Succeeded,
        Ok(Reply::Refused) => balancer::Outcome::Neutral,
        Ok(Reply::Failed) => balancer::Outcome::Failed,
        Err(failure) => failure.outcome(),
    });
    if let Ok(Reply::Done(export)) = reply {
        let id = &picked.pick.id;
        req.core.balancer().record_prefill(id, picked.tokens, took);
        let export_ttl = req.service.engine.as_ref().map(|e| e.export_life);
        let export_ttl =
            export_ttl.unwrap_or_default().as_u64() * EXPORT_USABLE_SHARE.0 / EXPORT_USABLE_SHARE.1;
        return Outcome::Done(Exported {
            server: id.clone(),
            address: picked.pick.address,
            export,
            usable_until: req.core.clock.now() + clock::Millis::new(export_ttl),
        });
    }
    log::info!(
        event = "prefill_failed",
        request = req.log_id(),
        server = picked.pick.id.as_str(),
        predicted_ms = picked.time.as_u64(),
        took_ms = took.as_u64();
        "the prompt was not read ahead"
    );
    match reply {
        Ok(Reply::Refused) => {
            req.core.mark_full(&picked.pick.id);
            Outcome::Refused(picked.pick.id)
        }
        Err(upstream::Failure::NotSent) => Outcome::ConnectFailed(picked.pick.id),
        Ok(Reply::Done(_) | Reply::Failed) | Err(_) => Outcome::Unavailable,
    }
}

/// What a prefill server answered.
enum Reply {
    Done(protocol::Export),
    /// It took no work.
    Refused,
    /// It failed, or its answer can't be read.
    Failed,
}

async fn send(
    req: &request::Request,
    pick: &balancer::Pick,
    timeout: clock::Millis,
) -> Result<Reply, upstream::Failure> {
    let server_req = req.server_request(pick, protocol::Work::Prefill, None, None);
    let mut answer = upstream::send(pick.address, server_req, timeout).await?;
    if req.execution(&answer)? != protocol::Execution::Ran {
        return Ok(Reply::Refused);
    }
    if !answer.status.is_success() {
        return Ok(Reply::Failed);
    }
    let whole = answer.read_to_end(timeout).await?;
    match req.core.codec.read_export(&whole) {
        Ok(export) => Ok(Reply::Done(export)),
        Err(e) => {
            log::warn!("the answer of a prefill server: {e}");
            Ok(Reply::Failed)
        }
    }
}
