//! The shard of the trial, as its configuration and its load reports show it.

use buckthorncleat::backend::wire;
use buckthorncleat::clock;
use buckthorncleat::controller::scheduler;
use buckthorncleat::id;
use buckthorncleat::sorted;
use buckthorncleat::state::model;
use buckthorncleat::unit;

use crate::engine;
use crate::shard;
use crate::work;
use crate::world;

fn record(id: &str, role: model::Role) -> model::BackendServer {
    model::BackendServer {
        slots: engine::SLOTS as u32,
        memory: unit::Pieces::new(engine::MEMORY),
        link: unit::BytesPerSecond::new(engine::LINK_PER_MILLI as u64 * 1_000),
        ..shard::server(id, role)
    }
}

/// The full configuration.
pub fn configuration() -> scheduler::Input {
    let prefills = (0..world::PREFILLS).map(|n| record(&format!("p{n}"), model::Role::Prefill));
    let decodes = (0..world::DECODES).map(|n| record(&format!("d{n}"), model::Role::Decode));
    let account = |(n, weight): (usize, &u32)| {
        let id: id::ClientAccountId = shard::name(&format!("a{n}"));
        let record = model::ClientAccount {
            id: id.clone(),
            rate: unit::TokensPerSecond::new(1_000_000),
            burst: unit::Tokens::new(1_000_000),
            priority: model::Priority::Normal,
            weight: *weight,
        };
        (id, record)
    };
    let accounts: sorted::Map<_, _> = work::SHARES.iter().enumerate().map(account).collect();
    scheduler::Input::Configure {
        servers: prefills.chain(decodes).collect(),
        model: model::Model {
            id: shard::name("m"),
            first_token: clock::Millis::new(world::FIRST_TOKEN),
            between_tokens: clock::Millis::new(world::BETWEEN as u64),
            max_output: unit::Tokens::new(world::MOST_OUTPUT),
            kv_bytes_per_token: unit::Bytes::new(engine::KV_PER_TOKEN),
        },
        accounts,
    }
}

/// Names a gateway.
pub fn gateway_name(gateway: usize) -> id::InstanceId {
    shard::name(&format!("g{gateway}"))
}

/// A load report.
pub fn load(role: model::Role, running: u32, waiting: u32, tokens: u64, used: u64) -> wire::Load {
    wire::Load {
        role,
        models: vec![shard::name("m")],
        running,
        waiting,
        waiting_tokens: unit::Tokens::new(tokens),
        used: unit::Pieces::new(used),
        memory: unit::Pieces::new(engine::MEMORY),
        age_ms: clock::Millis::new(world::REPORT_LAG),
    }
}
