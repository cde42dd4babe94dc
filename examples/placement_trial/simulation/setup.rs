//! The configuration of the simulated servers, model and accounts, and load reports.

use buckthorncleat::backend::wire;
use buckthorncleat::clock;
use buckthorncleat::controller::scheduler;
use buckthorncleat::id;
use buckthorncleat::sorted;
use buckthorncleat::state::model;
use buckthorncleat::unit;

use crate::engine;
use crate::shard;
use crate::simulation;
use crate::workload;

fn record(id: &str, role: model::Role) -> model::BackendServer {
    model::BackendServer {
        slots: engine::DECODE_SLOTS as u32,
        memory: unit::Pieces::new(engine::MEMORY_PIECES),
        link: unit::BytesPerSecond::new(engine::LINK_BYTES_PER_MS as u64 * 1_000),
        ..shard::server(id, role)
    }
}

/// Returns the input that configures the scheduler with all engines, the model and the accounts.
///
/// The rates of the accounts are far above the workload, so that only their weights matter.
pub fn configuration() -> scheduler::Input {
    let prefills =
        (0..simulation::PREFILL_ENGINES).map(|n| record(&format!("p{n}"), model::Role::Prefill));
    let decodes =
        (0..simulation::DECODE_ENGINES).map(|n| record(&format!("d{n}"), model::Role::Decode));
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
    let accounts: sorted::Map<_, _> = workload::ACCOUNT_WEIGHTS
        .iter()
        .enumerate()
        .map(account)
        .collect();
    scheduler::Input::Configure {
        servers: prefills.chain(decodes).collect(),
        model: model::Model {
            id: shard::name("m"),
            first_token: clock::Millis::new(simulation::FIRST_TOKEN_TARGET_MS),
            between_tokens: clock::Millis::new(simulation::TOKEN_GAP_TARGET_MS as u64),
            max_output: unit::Tokens::new(simulation::MAX_OUTPUT_TOKENS),
            kv_bytes_per_token: unit::Bytes::new(engine::KV_BYTES_PER_TOKEN),
        },
        accounts,
    }
}

pub fn gateway_name(gateway: usize) -> id::InstanceId {
    shard::name(&format!("g{gateway}"))
}

/// Returns a load report. `tokens` are the prompt tokens that wait; `used` is the memory in use, in
/// pieces.
pub fn load(role: model::Role, running: u32, waiting: u32, tokens: u64, used: u64) -> wire::Load {
    wire::Load {
        role,
        models: vec![shard::name("m")],
        running,
        waiting,
        waiting_tokens: unit::Tokens::new(tokens),
        used: unit::Pieces::new(used),
        memory: unit::Pieces::new(engine::MEMORY_PIECES),
        age_ms: clock::Millis::new(simulation::REPORT_DELAY_MS),
    }
}
