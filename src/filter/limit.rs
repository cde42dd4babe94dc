//! Charges a request to its account's token bucket before it starts, and refunds what is unused.

use tokio::time;

use crate::clock;
use crate::controller::limiter;
use crate::event;
use crate::filter;
use crate::filter::exchange;
use crate::http::caller::answer;
use crate::unit;

/// The retry-after time when no owner of the account's limit answered.
const RETRY_AFTER: clock::Millis = clock::Millis::new(1_000);

/// Charges the request to its account.
///
/// # Errors
///
/// Refuses a request that is over the account's rate or burst, whose key is withdrawn, whose
/// caller is gone, or for which no owner of the account's limit answered in time. A refusal over
/// the rate says after which time the tokens are available.
pub async fn apply(exchange: &mut exchange::Exchange) -> Result<filter::Flow, answer::Refusal> {
    let Some(demand) = charge_for(exchange) else {
        return Ok(filter::Flow::Next);
    };
    exchange.charged = Some(demand.tokens);
    let max_wait = demand.max_wait;
    let reply = charge(exchange, demand).await?;
    match reply {
        Some(limiter::Reply::Granted { delay }) => wait_for_tokens(exchange, delay).await,
        Some(limiter::Reply::Refused { retry_after }) => Err(over_rate(retry_after)),
        Some(limiter::Reply::TooLarge) => Err(too_large()),
        Some(limiter::Reply::UnknownAccount) => Err(exchange::invalid_key()),
        Some(limiter::Reply::Refunded) | None => {
            log::warn!(
                "no owner of the account's limit answered within {max_wait}; refusing the request"
            );
            Err(no_owner())
        }
    }
}

/// Corrects the charge of the request to the tokens that it used.
pub async fn refund_unused(exchange: &exchange::Exchange) {
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

fn charge_for(exchange: &exchange::Exchange) -> Option<limiter::Charge> {
    let account = exchange.account()?.clone();
    let (tokens, target) = match &exchange.target {
        exchange::Target::Model(m) => (m.call.prompt_tokens() + m.max_output, m.model.first_token),
        exchange::Target::Plain(route) => (route.cost, route.deadline),
        _ => return None,
    };
    if tokens == unit::Tokens::new(0) {
        return None;
    }
    // The other half of the latency target or deadline is left for the work itself.
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
    let key = exchange.key.clone().ok_or_else(exchange::invalid_key)?;
    tokio::select! {
        reply = cx.limits.charge(&cx, demand) => Ok(reply),
        () = cx.key_withdrawn(&key) => Err(exchange::invalid_key()),
        () = exchange.responder.closed() => Err(caller_gone()),
    }
}

async fn wait_for_tokens(
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
        let key = exchange.key.clone().ok_or_else(exchange::invalid_key)?;
        tokio::select! {
            () = time::sleep(delay.as_duration()) => {}
            () = cx.key_withdrawn(&key) => return Err(exchange::invalid_key()),
            () = exchange.responder.closed() => return Err(caller_gone()),
        }
    }
    exchange.check_allowed()?;
    Ok(filter::Flow::Next)
}

fn over_rate(retry_after: clock::Millis) -> answer::Refusal {
    let message =
        format!("the account is over its token rate; send the request again in {retry_after}");
    answer::Refusal::not_run(429, "over_rate", message).retry_after(retry_after)
}

fn too_large() -> answer::Refusal {
    let message = "prompt and answer together exceed the account's burst; ask for fewer tokens";
    answer::Refusal::not_run(400, "over_burst", message)
}

fn no_owner() -> answer::Refusal {
    let message =
        "the account's limit is moving to another gateway; send the request again in a second";
    answer::Refusal::not_run(503, "limit_not_ready", message).retry_after(RETRY_AFTER)
}

/// Returns the refusal that ends a request whose caller closed the connection.
pub fn caller_gone() -> answer::Refusal {
    answer::Refusal::not_run(499, "caller_gone", "the caller closed the connection")
}
