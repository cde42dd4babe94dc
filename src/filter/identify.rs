//! Finds out what a request asks for.

use std::sync;

use crate::filter;
use crate::filter::exchange;
use crate::http::caller::answer;
use crate::http::caller::chat;
use crate::unit;

/// Sets the target of the request.
///
/// # Errors
///
/// Refuses unknown paths, wrong methods, malformed bodies and unknown models.
pub fn apply(exchange: &mut exchange::Exchange) -> Result<filter::Flow, answer::Refusal> {
    exchange.target = target(exchange)?;
    Ok(filter::Flow::Next)
}

fn target(exchange: &exchange::Exchange) -> Result<exchange::Target, answer::Refusal> {
    let path = exchange.head.uri.path();
    match path {
        "/v1/entries" => only(exchange, &hyper::Method::GET, exchange::Target::Entries),
        "/v1/models" => only(exchange, &hyper::Method::GET, exchange::Target::Models),
        "/v1/chat/completions" => model_call(exchange, chat::Endpoint::Chat),
        "/v1/completions" => model_call(exchange, chat::Endpoint::Text),
        path => match exchange.cx.config().route_for(path) {
            Some(route) => Ok(exchange::Target::Plain(route.clone())),
            None => Err(unknown_path(exchange, path)),
        },
    }
}

fn unknown_path(exchange: &exchange::Exchange, path: &str) -> answer::Refusal {
    if !exchange.cx.is_fresh() {
        return exchange.stale();
    }
    let message = format!("no route for `{path}`; see GET /v1/models or ask your operator");
    answer::Refusal::not_run(404, "unknown_path", message)
}

fn only(
    exchange: &exchange::Exchange,
    method: &hyper::Method,
    target: exchange::Target,
) -> Result<exchange::Target, answer::Refusal> {
    if exchange.head.method == method {
        return Ok(target);
    }
    let message = format!("use {method} here");
    Err(answer::Refusal::not_run(405, "wrong_method", message))
}

fn model_call(
    exchange: &exchange::Exchange,
    endpoint: chat::Endpoint,
) -> Result<exchange::Target, answer::Refusal> {
    only(exchange, &hyper::Method::POST, exchange::Target::Unknown)?;
    let call = chat::Call::from_json(endpoint, &exchange.body)
        .map_err(|e| answer::Refusal::not_run(400, "bad_request", e.to_string()))?;
    let config = exchange.cx.config();
    let Some(model) = config.models.get(&call.model).cloned() else {
        if !exchange.cx.is_fresh() {
            return Err(exchange.stale());
        }
        let message = format!("no model `{}`; see GET /v1/models", call.model);
        return Err(answer::Refusal::not_run(404, "unknown_model", message));
    };
    let output = output_of(&call, model.max_output)?;
    let call = exchange::ModelCall {
        call,
        model,
        output,
    };
    Ok(exchange::Target::Model(sync::Arc::new(call)))
}

fn output_of(call: &chat::Call, most: unit::Tokens) -> Result<unit::Tokens, answer::Refusal> {
    match call.max_tokens {
        Some(wanted) if wanted > most => {
            let message = format!("max_tokens: {wanted} is over the model's {most}; use less");
            Err(answer::Refusal::not_run(400, "bad_request", message))
        }
        Some(wanted) => Ok(wanted),
        None => Ok(most),
    }
}
