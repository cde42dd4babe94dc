//! Configurations with any number of accounts, servers and members, the same in each run.

use buckthorncleat::Error;
use buckthorncleat::clock;
use buckthorncleat::id;
use buckthorncleat::state::change;
use buckthorncleat::state::model;
use buckthorncleat::unit;

const DATA_CENTRES: usize = 23;

/// Parses a name or an id.
///
/// # Panics
///
/// If the text is not valid.
pub fn name<T: std::str::FromStr<Err = Error>>(text: &str) -> T {
    text.parse().expect("a valid name")
}

/// Returns an account whose limits are so high that every charge is granted at once.
pub fn account(number: usize) -> model::ClientAccount {
    model::ClientAccount {
        id: name(&format!("account-{number:04}")),
        rate: unit::TokensPerSecond::new(1_000_000_000),
        burst: unit::Tokens::new(1_000_000_000),
        priority: model::Priority::Normal,
        weight: 1,
    }
}

/// Returns a prefill server for an even number and a decode server for an odd one.
pub fn server(number: usize) -> model::BackendServer {
    let role = match number.is_multiple_of(2) {
        true => model::Role::Prefill,
        false => model::Role::Decode,
    };
    model::BackendServer {
        id: name(&format!("server-{number:05}")),
        address: "127.0.0.1:7501".parse().expect("an address"),
        data_centre: data_centre(number),
        role,
        models: vec![name("model")],
        routes: Vec::new(),
        state: model::ServerState::InService,
        slots: 32,
        memory: unit::Pieces::new(1_000),
        link: unit::BytesPerSecond::new(10_000_000_000),
        checks_fencing: true,
    }
}

pub fn member(number: usize) -> model::Member {
    model::Member {
        id: name(&format!("gateway-{number:04}")),
        incarnation: id::Incarnation::new(u64::MAX - number as u64),
        data_centre: data_centre(number),
        caller_address: "127.0.0.1:7101".parse().expect("an address"),
        peer_address: "127.0.0.1:7201".parse().expect("an address"),
        leaving: false,
    }
}

pub fn model() -> model::Model {
    model::Model {
        id: name("model"),
        first_token: clock::Millis::from_secs(60),
        between_tokens: clock::Millis::new(50),
        max_output: unit::Tokens::new(1_000),
        kv_bytes_per_token: unit::Bytes::new(1_000),
    }
}

pub fn config(accounts: usize, servers: usize, members: usize) -> change::Config {
    let mut changes = vec![change::Change::PutModel(model())];
    changes.extend((0..accounts).map(|n| change::Change::PutAccount(account(n))));
    changes.extend((0..servers).map(|n| change::Change::PutServer(server(n))));
    changes.extend((0..members).map(|n| change::Change::PutMember(member(n))));
    let mut config = change::Config::default();
    config.apply(&change::Commit {
        revision: id::Revision::new(1),
        changes,
    });
    config
}

fn data_centre(number: usize) -> id::DataCentre {
    name(&format!("centre-{:02}", number % DATA_CENTRES))
}
