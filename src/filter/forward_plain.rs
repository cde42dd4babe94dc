//! Sends calls to plain services: idempotent ones to several servers until one answers, others
//! at most once.

use hyper::header;
use tokio::time;

use crate::backend::client;
use crate::clock;
use crate::event;
use crate::filter;
use crate::filter::claim;
use crate::filter::exchange;
use crate::http::body;
use crate::http::caller::answer;
use crate::http::hop;
use crate::id;
use crate::state::command;
use crate::state::model;

/// The largest answer of a plain service, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// The deadline of an idempotent call is divided by this to get the time after which another
/// server is asked too.
const HEDGE_DELAY_DIVISOR: u64 = 4;
/// The retry-after time when no server of a route answered.
const RETRY_AFTER: clock::Millis = clock::Millis::new(2_000);
/// The header that tells plain services which account calls.
const ACCOUNT_HEADER: &str = "buckthorncleat-account";

/// Sends the call and answers with the answer of the service.
///
/// # Errors
///
/// Refuses a call that no server accepted, that missed its deadline or that was no longer allowed
/// to start; the refusal's outcome is `Unknown` when the call may have run.
pub async fn apply(exchange: &mut exchange::Exchange) -> Result<filter::Flow, answer::Refusal> {
    let exchange::Target::Plain(route) = exchange.target.clone() else {
        return Ok(filter::Flow::Next);
    };
    let sent = if claim::is_idempotent(&route, &exchange.head.method) {
        send_idempotent(exchange, &route).await
    } else {
        send_at_most_once(exchange, &route).await
    };
    finish(exchange, &route, sent)
}

/// The result of sending a call.
enum CallResult {
    Answered(client::Answer),
    Refused(answer::Refusal),
    Unknown,
}

/// Sends an idempotent call until a server answers, its deadline passes or its key is withdrawn.
async fn send_idempotent(exchange: &mut exchange::Exchange, route: &model::Route) -> CallResult {
    if let Err(refusal) = exchange.check_allowed() {
        return CallResult::Refused(refusal);
    }
    let left = route.deadline - exchange.age();
    let cx = std::sync::Arc::clone(&exchange.cx);
    let work = send_hedged(exchange, route);
    let key = exchange.key.clone();
    let withdrawn = async {
        match &key {
            Some(key) => cx.key_withdrawn(key).await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        sent = work => sent,
        () = time::sleep(left.as_duration()) => CallResult::Refused(deadline_exceeded(route)),
        () = withdrawn => CallResult::Refused(answer::Refusal {
            outcome: answer::Outcome::Unknown,
            ..exchange::invalid_key()
        }),
    }
}

/// Asks one server, and further ones when those asked are slow or fail.
///
/// A further call after the first one takes from the retry budget, unless the last server was
/// surely not reached.
async fn send_hedged(exchange: &exchange::Exchange, route: &model::Route) -> CallResult {
    let services = &exchange.cx.services;
    services.record_request();
    let mut calls = futures_util::stream::FuturesUnordered::new();
    let mut tried: Vec<id::BackendServerId> = Vec::new();
    let mut may_send = true;
    let mut may_have_run = false;
    loop {
        let server = services.pick(&exchange.cx, route, &tried);
        if let Some(server) = server.filter(|_| may_send) {
            tried.push(server.id.clone());
            calls.push(attempt(exchange, route, server));
        } else if calls.is_empty() {
            return CallResult::Refused(all_failed(exchange, route, may_have_run));
        }
        let next = futures_util::StreamExt::next(&mut calls);
        // The next server is asked when a call fails or when none answers within the hedge delay.
        let next = time::timeout(hedge_delay(route).as_duration(), next).await;
        may_send = match next {
            Ok(Some(Ok(answer))) => return CallResult::Answered(answer),
            Ok(Some(Err(client::Failure::NotSent(_)))) => true,
            Ok(Some(Err(_))) => {
                may_have_run = true;
                services.try_retry()
            }
            _ => services.try_retry(),
        };
    }
}

const fn hedge_delay(route: &model::Route) -> clock::Millis {
    clock::Millis::new(route.deadline.as_u64() / HEDGE_DELAY_DIVISOR)
}

/// Sends a call that must not run twice. Another server is tried only when nothing of the call
/// was sent to the one before.
async fn send_at_most_once(exchange: &exchange::Exchange, route: &model::Route) -> CallResult {
    let mut tried: Vec<id::BackendServerId> = Vec::new();
    loop {
        if let Err(refusal) = exchange.check_allowed() {
            return CallResult::Refused(refusal);
        }
        if exchange.age() >= route.deadline {
            return CallResult::Refused(no_server(route));
        }
        let Some(server) = exchange.cx.services.pick(&exchange.cx, route, &tried) else {
            return CallResult::Refused(no_server(route));
        };
        tried.push(server.id.clone());
        match attempt(exchange, route, server).await {
            Ok(answer) => return CallResult::Answered(answer),
            Err(client::Failure::NotSent(_)) => {}
            Err(_) => return CallResult::Unknown,
        }
    }
}

async fn attempt(
    exchange: &exchange::Exchange,
    route: &model::Route,
    server: model::BackendServer,
) -> Result<client::Answer, client::Failure> {
    let cx = &exchange.cx;
    let running = cx.services.begin(cx, &server.id, hedge_delay(route));
    cx.recorder
        .record_request(event::Kind::Placed, exchange.id, server.id.as_str());
    let left = route.deadline - exchange.age();
    let request = forwarded_request(exchange);
    let result = client::call(server.address, request, left, MAX_ANSWER_BYTES).await;
    running.finish(result.as_ref().is_ok_and(|a| !a.status.is_server_error()));
    result
}

/// Builds the request to the service: without the caller's key, with the account's id.
fn forwarded_request(exchange: &exchange::Exchange) -> hyper::Request<client::Body> {
    let head = &exchange.head;
    let mut request = hyper::Request::new(client::Body::from(exchange.body.clone()));
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = hop::path_only(&head.uri);
    *request.headers_mut() = end_to_end(&head.headers);
    let headers = request.headers_mut();
    headers
        .entry(header::HOST)
        .or_insert(header::HeaderValue::from_static("buckthorncleat"));
    if let Ok(value) = exchange.id.to_string().try_into() {
        headers.insert(answer::REQUEST_HEADER, value);
    }
    if let Some(Ok(value)) = exchange.account().map(|a| a.as_str().try_into()) {
        headers.insert(ACCOUNT_HEADER, value);
    }
    request
}

/// Returns the end-to-end headers, without those that only this system may set.
fn end_to_end(headers: &header::HeaderMap) -> header::HeaderMap {
    let mut kept = hop::end_to_end(headers);
    for name in [ACCOUNT_HEADER, answer::OUTCOME_HEADER] {
        kept.remove(name);
    }
    kept
}

fn finish(
    exchange: &mut exchange::Exchange,
    route: &model::Route,
    sent: CallResult,
) -> Result<filter::Flow, answer::Refusal> {
    match sent {
        CallResult::Answered(answer) => {
            exchange.used = route.cost;
            exchange.claim_outcome = command::ClaimOutcome::Ran(stored_answer(&answer));
            let recorder = &exchange.cx.recorder;
            recorder.record_request(event::Kind::Answered, exchange.id, "");
            Ok(filter::Flow::Answer(response(exchange, answer)))
        }
        CallResult::Refused(refusal) => Err(refusal),
        CallResult::Unknown => {
            exchange.used = route.cost;
            exchange.claim_outcome = command::ClaimOutcome::Unknown;
            Err(claim::may_have_run())
        }
    }
}

fn response(exchange: &exchange::Exchange, answer: client::Answer) -> answer::Response {
    let mut builder = answer::head(answer.status.as_u16(), answer::Outcome::Ran, exchange.id);
    if let Some(headers) = builder.headers_mut() {
        for (name, value) in &end_to_end(&answer.headers) {
            if !headers.contains_key(name) {
                headers.append(name, value.clone());
            }
        }
    }
    answer::finish(builder, body::Body::from_bytes(answer.body))
}

fn stored_answer(answer: &client::Answer) -> command::StoredAnswer {
    let content_type = answer
        .headers
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/octet-stream");
    command::StoredAnswer {
        status: answer.status.as_u16(),
        content_type: content_type.to_owned(),
        body: answer.body.to_vec(),
    }
}

fn deadline_exceeded(route: &model::Route) -> answer::Refusal {
    let message = format!(
        "no server of `{}` answered within {}",
        route.id, route.deadline
    );
    answer::Refusal::unknown(504, "deadline", message).retry_after(RETRY_AFTER)
}

/// Returns the refusal when all servers failed: "not run" only when no server can have read the
/// call.
fn all_failed(
    exchange: &exchange::Exchange,
    route: &model::Route,
    may_have_run: bool,
) -> answer::Refusal {
    if !may_have_run {
        return no_server(route);
    }
    // The calls time out at the request's own deadline, and either may be noticed first; both are
    // answered in the same way.
    if exchange.age() >= route.deadline {
        return deadline_exceeded(route);
    }
    let message = format!("the servers of `{}` failed before they answered", route.id);
    answer::Refusal::unknown(502, "servers_failed", message).retry_after(RETRY_AFTER)
}

fn no_server(route: &model::Route) -> answer::Refusal {
    let message = format!("no server of `{}` accepts calls now", route.id);
    answer::Refusal::not_run(503, "no_server", message).retry_after(RETRY_AFTER)
}
