//! Has prompts read at prefill servers, ahead of the decode server that goes on.

use std::net;

use crate::clock;
use crate::fleet::budget;
use crate::fleet::message;
use crate::id;
use crate::router::balancer;
use crate::router::edge;
use crate::router::in_flight;
use crate::router::request;
use crate::router::upstream;
use crate::unit;

/// The time that a prefill may take beyond what was predicted.
const PREFILL_SLACK: clock::Millis = clock::Millis::new(400);

/// The predicted time up to which a prefill server is used; beyond it, the decode server reads
/// the prompt itself.
const LONGEST_PREFILL: clock::Millis = clock::Millis::new(700);

/// The part of the time that an exported KV cache is kept in which it is fetched; the rest covers
/// the way there.
const EXPORT_USE: (u64, u64) = (4, 5);

/// The prefill servers that are tried for one prompt; each costs a few milliseconds when it has no
/// room, and the connection limit when it is gone.
const MAX_PREFILL_SERVERS: usize = 3;

/// A prompt that was read ahead.
#[derive(Clone, Debug)]
pub struct Exported {
    /// The server that read it.
    pub server: id::BackendServerId,
    /// Where that server listens.
    pub from: net::SocketAddr,
    /// The KV cache there.
    pub export: edge::Export,
    /// Until when it may be fetched.
    pub until: clock::Millis,
}

/// How reading a prompt ahead went.
enum Prefilled {
    /// The prompt is read.
    Done(Exported),
    /// This server could not be reached; it got nothing.
    Unreached(id::BackendServerId),
    /// This server took no work.
    Refused(id::BackendServerId),
    /// It was not read, or nobody knows.
    Not,
}

/// Has the prompt read at a prefill server; without one, the decode server reads it itself.
pub async fn read(req: &request::Request) -> Option<Exported> {
    let mut tried = Vec::new();
    while tried.len() < MAX_PREFILL_SERVERS {
        match read_once(req, &tried).await {
            Prefilled::Done(exported) => return Some(exported),
            Prefilled::Unreached(server) => tried.push(server),
            // One that refused has seen the request; whoever is next gets an attempt more.
            Prefilled::Refused(server) if req.may_repeat(budget::Purpose::Helpful) => {
                tried.push(server);
            }
            Prefilled::Refused(_) => {
                let now = req.core.clock.now();
                req.core.budget().note_repeat(now, &req.service.id);
                return None;
            }
            Prefilled::Not => return None,
        }
    }
    None
}

async fn read_once(req: &request::Request, tried: &[id::BackendServerId]) -> Prefilled {
    let Some(prompt) = req.caller.generation.map(|g| g.prompt) else {
        return Prefilled::Not;
    };
    let now = req.core.clock.now();
    let service = &req.service.id;
    let picked = req
        .core
        .balancer()
        .pick_prefill(now, service, prompt, tried, rand::random());
    let Some(picked) = picked else {
        return Prefilled::Not;
    };
    if picked.time > LONGEST_PREFILL {
        return Prefilled::Not;
    }
    let load = message::Load {
        requests: 1,
        memory: unit::Tokens::new(0),
        prompts: prompt,
    };
    let guard = in_flight::Guard::new(&req.core, &picked.pick.id, load);
    let limit = (picked.time * 2 + PREFILL_SLACK).min(req.left());
    let read = read_at(req, &picked.pick, limit).await;
    let took = req.core.clock.now() - now;
    guard.finish(match &read {
        Ok(Read::Done(_)) => balancer::Outcome::Succeeded,
        Ok(Read::Refused) => balancer::Outcome::Neutral,
        Ok(Read::Failed) => balancer::Outcome::Failed,
        Err(failure) => failure.into_end(),
    });
    if let Ok(Read::Done(export)) = read {
        let id = &picked.pick.id;
        req.core.balancer().record_prefill(id, picked.tokens, took);
        let life = req.service.engine.as_ref().map(|e| e.export_life);
        let life = life.unwrap_or_default().as_u64() * EXPORT_USE.0 / EXPORT_USE.1;
        return Prefilled::Done(Exported {
            server: id.clone(),
            from: picked.pick.address,
            export,
            until: req.core.clock.now() + clock::Millis::new(life),
        });
    }
    log::info!(
        event = "prefill_failed",
        request = req.name(),
        server = picked.pick.id.as_str(),
        predicted_ms = picked.time.as_u64(),
        took_ms = took.as_u64();
        "the prompt was not read ahead"
    );
    match read {
        Ok(Read::Refused) => {
            req.core.note_full(&picked.pick.id);
            Prefilled::Refused(picked.pick.id)
        }
        Err(upstream::Failure::NotSent) => Prefilled::Unreached(picked.pick.id),
        Ok(Read::Done(_) | Read::Failed) | Err(_) => Prefilled::Not,
    }
}

/// What a prefill server answered.
enum Read {
    Done(edge::Export),
    /// It took no work.
    Refused,
    /// It failed, or its answer can't be read.
    Failed,
}

async fn read_at(
    req: &request::Request,
    pick: &balancer::Pick,
    limit: clock::Millis,
) -> Result<Read, upstream::Failure> {
    let sent = req.for_server(pick, edge::Work::Prefill, None, None);
    let mut answer = upstream::send(pick.address, sent, limit).await?;
    if req.ran(&answer)? != edge::Ran::Yes {
        return Ok(Read::Refused);
    }
    if !answer.status.is_success() {
        return Ok(Read::Failed);
    }
    let whole = answer.whole(limit).await?;
    match req.core.dialect.read_export(&whole) {
        Ok(export) => Ok(Read::Done(export)),
        Err(e) => {
            log::warn!("the answer of a prefill server: {e}");
            Ok(Read::Failed)
        }
    }
}
