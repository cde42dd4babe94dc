//! A scheduler with a few servers, and its inputs, for tests and benchmarks.

#![allow(dead_code)]

use buckthorncleat::clock;
use buckthorncleat::controller::scheduler;
use buckthorncleat::controller::scheduler::message;
use buckthorncleat::id;
use buckthorncleat::sorted;
use buckthorncleat::state::model;
use buckthorncleat::unit;

pub const TARGET: clock::Millis = clock::Millis::new(2_000);

/// Parses an id from a valid text.
pub fn name<T: std::str::FromStr<Err = buckthorncleat::Error>>(text: &str) -> T {
    text.parse().expect("a valid name")
}

pub fn server(id: &str, role: model::Role) -> model::BackendServer {
    model::BackendServer {
        id: name(id),
        address: "127.0.0.1:1".parse().expect("an address"),
        data_centre: name("one"),
        role,
        models: vec![name("m")],
        routes: Vec::new(),
        state: model::ServerState::InService,
        slots: 4,
        memory: unit::Pieces::new(32),
        link: unit::BytesPerSecond::new(1_000_000_000),
        checks_fencing: true,
    }
}

pub fn model() -> model::Model {
    model::Model {
        id: name("m"),
        first_token: TARGET,
        between_tokens: clock::Millis::new(50),
        max_output: unit::Tokens::new(1_000),
        kv_bytes_per_token: unit::Bytes::new(1_000),
    }
}

pub fn configure(servers: Vec<model::BackendServer>) -> scheduler::Input {
    scheduler::Input::Configure {
        servers,
        model: model(),
        accounts: sorted::Map::new(),
    }
}

pub fn pool(prefill: usize, decode: usize) -> Vec<model::BackendServer> {
    let prefills = (0..prefill).map(|n| server(&format!("p{n}"), model::Role::Prefill));
    let decodes = (0..decode).map(|n| server(&format!("d{n}"), model::Role::Decode));
    prefills.chain(decodes).collect()
}

pub fn place(number: u128) -> message::Place {
    message::Place {
        request: id::RequestId::new(number),
        account: name("a"),
        priority: model::Priority::Normal,
        model: name("m"),
        kind: message::PlaceKind::New,
        prompt: unit::Tokens::new(1_000),
        max_output: unit::Tokens::new(200),
        prefix: Vec::new(),
        first_token: TARGET,
        exclude: Vec::new(),
        suspect: false,
    }
}

pub fn ask(gateway: &str, request: message::Request) -> scheduler::Input {
    scheduler::Input::Request {
        gateway: name(gateway),
        request,
    }
}

pub fn ask_place(gateway: &str, place: message::Place) -> scheduler::Input {
    ask(gateway, message::Request::Place(Box::new(place)))
}

/// Returns a scheduler that is ready to place requests at time 1,000.
pub fn ready(servers: Vec<model::BackendServer>) -> scheduler::Scheduler {
    ready_with(servers, scheduler::Settings::default())
}

/// Returns the same scheduler with other settings.
pub fn ready_with(
    servers: Vec<model::BackendServer>,
    settings: scheduler::Settings,
) -> scheduler::Scheduler {
    let mut scheduler = scheduler::Scheduler::new(clock::Millis::ZERO, name("m"), settings, 1);
    scheduler.step(clock::Millis::ZERO, configure(servers));
    scheduler
}

/// Returns the placements among outputs.
pub fn placements(outputs: &[scheduler::Output]) -> Vec<message::Placement> {
    let placed = outputs.iter().filter_map(|output| match output {
        scheduler::Output::Reply {
            reply: message::Reply::Placed(placement),
            ..
        } => Some(placement.clone()),
        _ => None,
    });
    placed.collect()
}
