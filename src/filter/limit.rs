//! Takes tokens from the account's bucket before a request starts, and gives back the rest.

use tokio::time;

use crate::clock;
use crate::controller::limiter;
use crate::event;
use crate::filter;
use crate::filter::exchange;
use crate::http::caller::answer;
use crate::unit;

/// When to come back after no owner of the account's limit answered.
const OWNER_RETRY: clock::Millis = clock::Millis::new(1_000);

/// Charges the request to its account.
///
/// # Errors
///
/// Refuses requests over the rate, with the time when tokens will be there.
pub async fn apply(exchange: &mut exchange::Exchange) -> Result<filter::Flow, answer::Refusal> {
    let Some(demand) = demand(exchange) else {
        return Ok(filter::Flow::Next);
    };
    exchange.charged = Some(demand.tokens);
    let max_wait = demand.max_wait;
    let reply = charge(exchange, demand).await?;
    match reply {
        Some(limiter::Reply::Granted { delay }) => wait(exchange, delay).await,
        Some(limiter::Reply::Refused { retry_after }) => Err(over_rate(retry_after)),
        Some(limiter::Reply::TooLarge) => Err(too_large()),
        Some(limiter::Reply::UnknownAccount) => Err(exchange::withdrawn()),
        Some(limiter::Reply::Refunded) | None => {
            log::warn!("no limiter owner answered within {max_wait}");
            Err(no_owner())
        }
    }
}

/// Gives back the tokens that the request was charged and did not use.
pub async fn give_back(exchange: &exchange::Exchange) {
    let (Some(charged), Some(account)) = (exchange.charged, exchange.account()) else {
        return;
    };
    if exchange.used == charged {
        return;
    }
    let cx = &exchange.cx;
    cx.limits
        .refund(cx, exchange.id, account, exchange.used)
        .await;
}

fn demand(exchange: &exchange::Exchange) -> Option<limiter::Charge> {
    let account = exchange.account()?.clone();
    let (tokens, target) = match &exchange.target {
        exchange::Target::Model(m) => (m.call.prompt_tokens() + m.output, m.model.first_token),
        exchange::Target::Plain(route) => (route.cost, route.deadline),
        _ => return None,
    };
    if tokens == unit::Tokens::new(0) {
        return None;
    }
    // Half of the target is left for the work itself.
    let max_wait = clock::Millis::new(target.as_u64() / 2) - exchange.age();
    Some(limiter::Charge {
        request: exchange.id,
        account,
        tokens,
        max_wait,
    })
}

async fn charge(
    exchange: &mut exchange::Exchange,
    demand: limiter::Charge,
) -> Result<Option<limiter::Reply>, answer::Refusal> {
    let cx = std::sync::Arc::clone(&exchange.cx);
    let key = exchange.key.clone().ok_or_else(exchange::withdrawn)?;
    tokio::select! {
        reply = cx.limits.charge(&cx, demand) => Ok(reply),
        () = cx.withdrawn(&key) => Err(exchange::withdrawn()),
        () = exchange.caller.gone() => Err(cancelled()),
    }
}

async fn wait(
    exchange: &mut exchange::Exchange,
    delay: clock::Millis,
) -> Result<filter::Flow, answer::Refusal> {
    let detail = format!("after {delay}");
    exchange
        .cx
        .recorder
        .record_request(event::Kind::Charged, exchange.id, detail);
    if delay > clock::Millis::ZERO {
        let cx = std::sync::Arc::clone(&exchange.cx);
        let key = exchange.key.clone().ok_or_else(exchange::withdrawn)?;
        tokio::select! {
            () = time::sleep(delay.as_duration()) => {}
            () = cx.withdrawn(&key) => return Err(exchange::withdrawn()),
            () = exchange.caller.gone() => return Err(cancelled()),
        }
    }
    exchange.check_allowed()?;
    Ok(filter::Flow::Next)
}

fn over_rate(retry_after: clock::Millis) -> answer::Refusal {
    let message = format!("the account is over its rate; come back in {retry_after}");
    answer::Refusal::not_run(429, "over_rate", message).retry_after(retry_after)
}

fn too_large() -> answer::Refusal {
    let message = "prompt and answer are larger than the account's burst; ask for fewer tokens";
    answer::Refusal::not_run(400, "over_burst", message)
}

fn no_owner() -> answer::Refusal {
    let message = "the account's limit is changing hands; come back in a second";
    answer::Refusal::not_run(503, "limit_not_ready", message).retry_after(OWNER_RETRY)
}

/// Returns the end of a request whose caller is gone before it ran.
pub fn cancelled() -> answer::Refusal {
    answer::Refusal::not_run(499, "caller_gone", "the caller closed the connection")
}
