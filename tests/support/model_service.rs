//! The model service of tests that fill the memory of decode servers.

use buckthorncleat::clock::Millis;
use buckthorncleat::document::{Engine, Service};
use buckthorncleat::unit::Tokens;

/// Memory of one server.
pub const SERVER_MEMORY: u64 = 29_450;

pub fn service() -> Service {
    Service {
        id: "model".parse().unwrap(),
        connections: 1_300,
        engine: Some(Engine {
            slots: 32,
            memory: Tokens::new(SERVER_MEMORY),
            export_ttl: Millis::new(500),
            max_reservation_ttl: Millis::new(2_000),
        }),
        cold_start: None,
    }
}
