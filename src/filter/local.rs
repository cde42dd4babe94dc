//! Answers requests that need no backend server: the lists of entries and models.

use crate::controller::entries;
use crate::filter;
use crate::filter::exchange;
use crate::http::caller::answer;
use crate::id;
use crate::sorted;

/// Answers requests for the entries or the models; leaves others to the next filter.
pub fn apply(exchange: &exchange::Exchange) -> filter::Flow {
    match &exchange.target {
        exchange::Target::Entries => filter::Flow::Answer(entries(exchange)),
        exchange::Target::Models => filter::Flow::Answer(models(exchange)),
        _ => filter::Flow::Next,
    }
}

fn entries(exchange: &exchange::Exchange) -> answer::Response {
    let cx = &exchange.cx;
    let near = preferred_data_centre(exchange).unwrap_or_else(|| cx.settings.data_centre.clone());
    let query = entries::Query {
        now: cx.clock.now(),
        seed: exchange.id.as_u128() as u64,
    };
    let config = cx.config();
    let list = entries::rank(&config.members, &sorted::Map::new(), &near, query);
    answer::json(200, answer::Outcome::Ran, exchange.id, &list)
}

fn preferred_data_centre(exchange: &exchange::Exchange) -> Option<id::DataCentre> {
    let query = exchange.head.uri.query()?;
    query
        .split('&')
        .find_map(|pair| pair.strip_prefix("data_centre="))
        .and_then(|value| value.parse().ok())
}

fn models(exchange: &exchange::Exchange) -> answer::Response {
    let config = exchange.cx.config();
    let list: Vec<_> = config
        .models
        .keys()
        .map(|id| serde_json::json!({"id": id, "object": "model", "owned_by": "buckthorncleat"}))
        .collect();
    let body = serde_json::json!({"object": "list", "data": list});
    answer::json(200, answer::Outcome::Ran, exchange.id, &body)
}
