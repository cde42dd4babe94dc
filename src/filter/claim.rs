//! Claims calls that must not run twice in the replicated log before they are sent.

use crate::clock;
use crate::event;
use crate::filter;
use crate::filter::exchange;
use crate::http::body;
use crate::http::caller::answer;
use crate::state::command;
use crate::state::model;

/// The header by which callers name a call, for resends.
pub const KEY_HEADER: &str = "idempotency-key";

/// The longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;
/// When to come back for the answer of a call that still runs.
const RETRY_AFTER: clock::Millis = clock::Millis::from_secs(1);
/// The times that the end of a call is sent to the control group.
const MAX_SETTLE_ATTEMPTS: u32 = 10;

/// Claims the call, or answers with what became of it before.
///
/// # Errors
///
/// Refuses calls whose claim can't be committed; nothing was sent then.
pub async fn apply(exchange: &mut exchange::Exchange) -> Result<filter::Flow, answer::Refusal> {
    let exchange::Target::Plain(route) = exchange.target.clone() else {
        return Ok(filter::Flow::Next);
    };
    if is_idempotent(&route, &exchange.head.method) {
        return Ok(filter::Flow::Next);
    }
    let Some(key) = idempotency_key(exchange)? else {
        return without_key(&route);
    };
    let claim = new_claim(exchange, &route, key);
    exchange.claim = Some(claim.key.clone());
    let command = command::Command::Claim(claim);
    let answer = exchange
        .cx
        .control
        .propose(&exchange.cx.links, command)
        .await;
    let answer = answer.map_err(|_| not_committed())?;
    handle_answer(exchange, answer)
}

/// Tells whether a call may be repeated after an unclear failure.
pub fn is_idempotent(route: &model::Route, method: &hyper::Method) -> bool {
    route
        .idempotent_methods
        .iter()
        .any(|m| m.eq_ignore_ascii_case(method.as_str()))
}

/// Records how the claimed call ended, also when its claim may not have been committed.
pub async fn settle(exchange: &exchange::Exchange) {
    let Some(key) = exchange.claim.clone() else {
        return;
    };
    let command = command::Command::Settle(command::Settlement {
        key,
        request: exchange.id,
        end: exchange.claim_end.clone(),
    });
    for _ in 0..MAX_SETTLE_ATTEMPTS {
        let settled = exchange
            .cx
            .control
            .propose(&exchange.cx.links, command.clone());
        if settled.await.is_ok() {
            let recorder = &exchange.cx.recorder;
            recorder.record_request(event::Kind::Settled, exchange.id, "");
            return;
        }
    }
    log::error!("the end of request {} could not be recorded", exchange.id);
}

fn idempotency_key(exchange: &exchange::Exchange) -> Result<Option<String>, answer::Refusal> {
    let Some(value) = exchange.head.headers.get(KEY_HEADER) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default().trim();
    if text.is_empty() || text.len() > MAX_KEY_BYTES {
        let message = "idempotency-key: use 1 to 255 visible ASCII characters";
        return Err(answer::Refusal::not_run(
            400,
            "bad_idempotency_key",
            message,
        ));
    }
    Ok(Some(text.to_owned()))
}

fn without_key(route: &model::Route) -> Result<filter::Flow, answer::Refusal> {
    if !route.require_idempotency_key {
        return Ok(filter::Flow::Next);
    }
    let message = "send an `Idempotency-Key` header, and the same one when you send this again";
    Err(answer::Refusal::not_run(
        400,
        "missing_idempotency_key",
        message,
    ))
}

fn new_claim(exchange: &exchange::Exchange, route: &model::Route, key: String) -> command::Claim {
    let owner = match exchange.account() {
        Some(account) => format!("account:{account}"),
        None => format!("open:{}", route.id),
    };
    command::Claim {
        key: command::ClaimKey { owner, key },
        digest: request_digest(exchange),
        request: exchange.id,
        gateway: exchange.cx.instance().clone(),
        incarnation: exchange.cx.links.identity().incarnation,
    }
}

fn request_digest(exchange: &exchange::Exchange) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    hasher.update(exchange.head.method.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(exchange.head.uri.to_string().as_bytes());
    hasher.update(&[0]);
    hasher.update(&exchange.body);
    hasher.digest()
}

fn handle_answer(
    exchange: &mut exchange::Exchange,
    answer: command::Answer,
) -> Result<filter::Flow, answer::Refusal> {
    if matches!(answer, command::Answer::Claimed) {
        let recorder = &exchange.cx.recorder;
        recorder.record_request(event::Kind::Claimed, exchange.id, "");
        return Ok(filter::Flow::Next);
    }
    // The claim belongs to an earlier request; this one must not settle it.
    exchange.claim = None;
    match answer {
        command::Answer::Ran(stored) => Ok(filter::Flow::Answer(replay(exchange, stored))),
        command::Answer::Running => Err(still_running()),
        command::Answer::KeyReused => Err(key_reused()),
        command::Answer::RanNotKept => Err(ran_not_kept()),
        command::Answer::ClaimsFull => Err(claims_full()),
        _ => Err(may_have_run()),
    }
}

fn replay(exchange: &exchange::Exchange, stored: command::StoredAnswer) -> answer::Response {
    let builder = answer::head(stored.status, answer::Outcome::Ran, exchange.id)
        .header(hyper::header::CONTENT_TYPE, stored.content_type)
        .header("idempotency-replayed", "true");
    answer::finish(builder, body::Body::from_bytes(stored.body))
}

fn not_committed() -> answer::Refusal {
    let message = "the call could not be recorded, so it was not sent; send it again";
    answer::Refusal::not_run(503, "not_recorded", message).retry_after(RETRY_AFTER)
}

fn still_running() -> answer::Refusal {
    let message = "the call runs already; send it again for its answer";
    answer::Refusal::unknown(409, "still_running", message).retry_after(RETRY_AFTER)
}

fn key_reused() -> answer::Refusal {
    let message = "the idempotency key was used for another call; use a new one";
    answer::Refusal::not_run(422, "idempotency_key_reused", message)
}

fn ran_not_kept() -> answer::Refusal {
    let message = "the call ran, but its answer was too large to keep; look up what it made";
    answer::Refusal {
        outcome: answer::Outcome::Ran,
        ..answer::Refusal::not_run(409, "ran_answer_not_kept", message)
    }
}

fn claims_full() -> answer::Refusal {
    let message = "too many calls are on record; come back later";
    answer::Refusal::not_run(503, "claims_full", message).retry_after(RETRY_AFTER)
}

/// Returns the answer for a call of which nobody knows whether it ran.
pub fn may_have_run() -> answer::Refusal {
    let message = "the call may have run and is not sent again; look up what it would have made";
    answer::Refusal::unknown(502, "may_have_run", message)
}
