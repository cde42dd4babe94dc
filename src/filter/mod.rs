//! The filters that every caller request passes, in a fixed order.

pub mod attempt;
pub mod authorise;
pub mod claim;
pub mod exchange;
pub mod forward_model;
pub mod forward_plain;
pub mod identify;
pub mod limit;
pub mod local;

use crate::event;
use crate::http::caller::answer;

/// One step in the handling of a caller request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Filter {
    /// Sets the target of the request from its path and body.
    Identify,
    /// Finds the client account by the API key, where the target needs one.
    Authorise,
    /// Charges the tokens of the request to the account's token bucket.
    Limit,
    /// Commits a claim for a call that must not run twice.
    Claim,
    /// Answers from the gateway's own state, without a backend server.
    Local,
    /// Sends the call to a plain service.
    ForwardPlain,
    /// Runs the request on prefill and decode servers.
    ForwardModel,
}

/// What happens to the request after a filter.
#[derive(Debug)]
pub enum Flow {
    /// The next filter handles the request.
    Next,
    /// The request ends with this answer.
    Answer(answer::Response),
    /// The request ends; the answer has been streamed to the caller.
    Streamed,
}

/// All filters, in the order in which they run.
pub const FILTERS: [Filter; 7] = [
    Filter::Identify,
    Filter::Authorise,
    Filter::Limit,
    Filter::Claim,
    Filter::Local,
    Filter::ForwardPlain,
    Filter::ForwardModel,
];

/// Runs the filters on a request, answers it, refunds unused tokens and settles its claim.
pub async fn run(mut exchange: exchange::Exchange) {
    let flow = run_filters(&mut exchange).await;
    match flow {
        Ok(Flow::Answer(response)) => exchange.responder.respond(response),
        Ok(Flow::Streamed) => exchange.responder.end_stream(),
        Ok(Flow::Next) => {
            let refusal = answer::Refusal::not_run(404, "unknown_path", "no such path");
            refuse(&mut exchange, refusal);
        }
        Err(refusal) => refuse(&mut exchange, refusal),
    }
    // Both must complete although the caller already has its answer.
    tokio::join!(limit::refund_unused(&exchange), claim::settle(&exchange));
}

async fn run_filters(exchange: &mut exchange::Exchange) -> Result<Flow, answer::Refusal> {
    for filter in FILTERS {
        match filter.apply(exchange).await? {
            Flow::Next => {}
            end => return Ok(end),
        }
    }
    Ok(Flow::Next)
}

impl Filter {
    async fn apply(self, exchange: &mut exchange::Exchange) -> Result<Flow, answer::Refusal> {
        match self {
            Self::Identify => identify::apply(exchange),
            Self::Authorise => authorise::apply(exchange).await,
            Self::Limit => limit::apply(exchange).await,
            Self::Claim => claim::apply(exchange).await,
            Self::Local => Ok(local::apply(exchange)),
            Self::ForwardPlain => forward_plain::apply(exchange).await,
            Self::ForwardModel => forward_model::apply(exchange).await,
        }
    }
}

fn refuse(exchange: &mut exchange::Exchange, refusal: answer::Refusal) {
    metrics::counter!("buckthorncleat_refusals_total", "code" => refusal.code).increment(1);
    let detail = format!("{} {}", refusal.status, refusal.code);
    exchange
        .cx
        .recorder
        .record_request(event::Kind::Refused, exchange.id, detail);
    exchange
        .responder
        .respond(refusal.into_response(exchange.id));
}
