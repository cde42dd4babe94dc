//! Commits a claim to the replicated log before a call that must not run twice is sent.

use crate::clock;
use crate::event;
use crate::filter;
use crate::filter::exchange;
use crate::http::body;
use crate::http::caller::answer;
use crate::state::command;
use crate::state::model;

/// The header with the caller's idempotency key, which is the same for every resend of a call.
pub const KEY_HEADER: &str = "idempotency-key";

const MAX_KEY_BYTES: usize = 255;
/// The retry-after time of refused claims and of calls that are still running.
const RETRY_AFTER: clock::Millis = clock::Millis::from_secs(1);
/// How many times the end of a call is proposed to the control group before it is given up.
const MAX_SETTLE_ATTEMPTS: u32 = 10;

/// Claims the call, or answers with the result of an earlier call of the same key.
///
/// # Errors
///
/// Refuses a call without the idempotency key that its route requires, with a malformed key, or
/// whose claim was not committed (nothing is sent then), and a call whose claim shows that it is
/// running, may have run, ran without a kept answer, or differs from the earlier one.
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

/// Returns whether a call may be sent again when it is unknown whether it ran.
pub fn is_idempotent(route: &model::Route, method: &hyper::Method) -> bool {
    route
        .idempotent_methods
        .iter()
        .any(|m| m.eq_ignore_ascii_case(method.as_str()))
}

/// Commits how the claimed call ended, also when it is unknown whether its claim was committed.
pub async fn settle(exchange: &exchange::Exchange) {
    let Some(key) = exchange.claim.clone() else {
        return;
    };
    let command = command::Command::Settle(command::Settlement {
        key,
        request: exchange.id,
        outcome: exchange.claim_outcome.clone(),
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
    log::error!(
        "the end of request {} was not committed after all attempts; its claim is not settled",
        exchange.id
    );
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
    let message =
        "this route requires an `Idempotency-Key` header; send the same key with every resend";
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
    // The key's claim belongs to an earlier request, so this request must not settle it.
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
    let message =
        "the claim of the call was not committed, so the call was not sent; send it again";
    answer::Refusal::not_run(503, "not_recorded", message).retry_after(RETRY_AFTER)
}

fn still_running() -> answer::Refusal {
    let message = "the call is already running; send it again later for its answer";
    answer::Refusal::unknown(409, "still_running", message).retry_after(RETRY_AFTER)
}

fn key_reused() -> answer::Refusal {
    let message = "the idempotency key was used for another call; use a new one";
    answer::Refusal::not_run(422, "idempotency_key_reused", message)
}

fn ran_not_kept() -> answer::Refusal {
    let message = "the call ran, but its answer was too large to keep; look up its result";
    answer::Refusal {
        outcome: answer::Outcome::Ran,
        ..answer::Refusal::not_run(409, "ran_answer_not_kept", message)
    }
}

fn claims_full() -> answer::Refusal {
    let message = "the table of claims is full; send the call again later";
    answer::Refusal::not_run(503, "claims_full", message).retry_after(RETRY_AFTER)
}

/// Returns the refusal for a call of which it is unknown whether it ran.
pub fn may_have_run() -> answer::Refusal {
    let message = "the call may have run and is not sent again; look up whether its result exists";
    answer::Refusal::unknown(502, "may_have_run", message)
}
