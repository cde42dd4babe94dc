//! Determines the target of a request from its path, method and body.

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
/// Refuses unknown paths, wrong methods, malformed bodies and unknown models; while the
/// configuration is not fresh, an unknown path or model is refused as `entry_not_fresh`.
pub fn apply(exchange: &mut exchange::Exchange) -> Result<filter::Flow, answer::Refusal> {
    exchange.target = target(exchange)?;
    Ok(filter::Flow::Next)
}

fn target(exchange: &exchange::Exchange) -> Result<exchange::Target, answer::Refusal> {
    let path = exchange.head.uri.path();
    match path {
        "/v1/entries" => require_method(exchange, &hyper::Method::GET, exchange::Target::Entries),
        "/v1/models" => require_method(exchange, &hyper::Method::GET, exchange::Target::Models),
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
        return exchange.entry_not_fresh();
    }
    let message =
        format!("no route for `{path}`; list the models with GET /v1/models or ask your operator");
    answer::Refusal::not_run(404, "unknown_path", message)
}

fn require_method(
    exchange: &exchange::Exchange,
    method: &hyper::Method,
    target: exchange::Target,
) -> Result<exchange::Target, answer::Refusal> {
    if exchange.head.method == method {
        return Ok(target);
    }
    let message = format!("this path accepts only {method}");
    Err(answer::Refusal::not_run(405, "wrong_method", message))
}

fn model_call(
    exchange: &exchange::Exchange,
    endpoint: chat::Endpoint,
) -> Result<exchange::Target, answer::Refusal> {
    require_method(exchange, &hyper::Method::POST, exchange::Target::Unknown)?;
    let call = chat::Call::from_json(endpoint, &exchange.body)
        .map_err(|e| answer::Refusal::not_run(400, "bad_request", e.to_string()))?;
    let config = exchange.cx.config();
    let Some(model) = config.models.get(&call.model).cloned() else {
        if !exchange.cx.is_fresh() {
            return Err(exchange.entry_not_fresh());
        }
        let message = format!(
            "no model `{}`; list the models with GET /v1/models",
            call.model
        );
        return Err(answer::Refusal::not_run(404, "unknown_model", message));
    };
    let max_output = max_output(&call, model.max_output)?;
    let call = exchange::ModelCall {
        call,
        model,
        max_output,
    };
    Ok(exchange::Target::Model(sync::Arc::new(call)))
}

fn max_output(call: &chat::Call, model_max: unit::Tokens) -> Result<unit::Tokens, answer::Refusal> {
    match call.max_tokens {
        Some(wanted) if wanted > model_max => {
            let message =
                format!("max_tokens: {wanted} is over the model's limit of {model_max}; use less");
            Err(answer::Refusal::not_run(400, "bad_request", message))
        }
        Some(wanted) => Ok(wanted),
        None => Ok(model_max),
    }
}
