//! Valid sample bodies of each kind of object, against which errors in request bodies are located.

use serde::Serialize;
use serde_json::Value;

use crate::clock;
use crate::error;
use crate::state::model;
use crate::state::subject;
use crate::unit;

/// Returns a valid body for `PUT` of an object of a kind, as JSON.
///
/// # Errors
///
/// Fails for members and quarantined requests, which are not put with a body.
pub fn of(kind: subject::Kind) -> error::Result<Value> {
    match kind {
        subject::Kind::Account => to_json(&account()?),
        subject::Kind::Key => to_json(&key()?),
        subject::Kind::Model => to_json(&model()?),
        subject::Kind::Server => to_json(&server()?),
        subject::Kind::Route => to_json(&route()?),
        subject::Kind::Member | subject::Kind::Quarantine => {
            let remedy = "put an account, key, model, server or route";
            Err(error::Error::bad_value("kind", kind, remedy))
        }
    }
}

fn account() -> error::Result<model::ClientAccount> {
    Ok(model::ClientAccount {
        id: "chefs".parse()?,
        rate: unit::TokensPerSecond::new(2_000),
        burst: unit::Tokens::new(20_000),
        priority: model::Priority::Normal,
        weight: 1,
    })
}

fn key() -> error::Result<model::Key> {
    Ok(model::Key {
        id: "chefs-1".parse()?,
        account: "chefs".parse()?,
        hash: model::KeyHash::from_secret(b"sample"),
    })
}

fn model() -> error::Result<model::Model> {
    Ok(model::Model {
        id: "recipes".parse()?,
        first_token: clock::Millis::new(2_000),
        between_tokens: clock::Millis::new(80),
        max_output: unit::Tokens::new(2_048),
        kv_bytes_per_token: unit::Bytes::new(131_072),
    })
}

fn server() -> error::Result<model::BackendServer> {
    Ok(model::BackendServer {
        id: "prefill-1".parse()?,
        address: ([127, 0, 0, 1], 8001).into(),
        data_centre: "klang-a".parse()?,
        role: model::Role::Prefill,
        models: vec!["recipes".parse()?],
        routes: Vec::new(),
        state: model::ServerState::InService,
        slots: 20,
        memory: unit::Pieces::new(256),
        link: unit::BytesPerSecond::new(1_250_000_000),
        checks_fencing: true,
    })
}

fn route() -> error::Result<model::Route> {
    Ok(model::Route {
        id: "orders".parse()?,
        prefix: "/shop/orders".to_owned(),
        access: model::Access::Keyed,
        idempotent_methods: vec!["GET".to_owned()],
        require_idempotency_key: true,
        deadline: clock::Millis::new(2_000),
        cost: unit::Tokens::new(10),
    })
}

fn to_json<T: Serialize>(sample: &T) -> error::Result<Value> {
    serde_json::to_value(sample)
        .map_err(|e| error::Error::damaged(format!("sample: {e}"), "report this fault"))
}
