//! Operators that change the same revision at once, through different members.

use std::net;

use buckthorncleat::cli::client;
use buckthorncleat::cli::failure;
use buckthorncleat::clock;
use buckthorncleat::config::settings;
use buckthorncleat::http::admin::wire;
use buckthorncleat::id;
use tokio::task;

const TOKEN: &str = "0123456789abcdef0123456789abcdef";
const ACCOUNT: &str = r#"{"rate":100,"burst":1000,"priority":"normal","weight":1}"#;
const RACERS: usize = 4;

/// Returns an operator's client that tries the member `first` first.
pub fn client(addresses: &[net::SocketAddr], first: usize) -> client::Client {
    let mut admin = addresses.to_vec();
    admin.rotate_left(first % addresses.len());
    let cfg = settings::Operator {
        admin,
        gateways: Vec::new(),
        token_file: "none".into(),
        timeout_ms: clock::Millis::from_secs(40),
    };
    client::Client::new(cfg, TOKEN.to_owned())
}

/// Returns the current revision.
pub async fn revision(client: &client::Client) -> id::Revision {
    let config: wire::Config = client.read("/v1/config").await.unwrap();
    config.revision
}

/// Returns the operations of the audit log.
pub async fn operations(client: &client::Client) -> Vec<id::OperationId> {
    let audit: wire::Audit = client.read("/v1/audit").await.unwrap();
    let entries = audit.entries.into_iter();
    entries.map(|entry| entry.operation).collect()
}

/// Starts operators that all change the revision `expected`; the first one makes several changes in
/// one operation.
pub fn race(
    addresses: &[net::SocketAddr],
    round: usize,
    expected: id::Revision,
) -> task::JoinSet<(id::OperationId, failure::Result<id::Revision>)> {
    let mut racers = task::JoinSet::new();
    for racer in 0..RACERS {
        let client = client(addresses, racer);
        let write = change(round, racer, expected);
        racers.spawn(async move {
            let outcome = client.write(&write).await;
            (write.operation, outcome)
        });
    }
    racers
}

/// Checks that one operator won and the others got a conflict, and returns the winner's operation.
pub async fn check_one_winner(
    racers: task::JoinSet<(id::OperationId, failure::Result<id::Revision>)>,
    expected: id::Revision,
) -> id::OperationId {
    let mut winners = Vec::new();
    for (operation, outcome) in racers.join_all().await {
        match outcome {
            Ok(revision) => {
                assert!(revision > expected);
                winners.push(operation);
            }
            Err(e) => {
                eprintln!("{operation} on top of revision {expected}: {e}");
                assert!(e.is_conflict(), "{operation}: {e}")
            }
        }
    }
    assert_eq!(winners.len(), 1, "one winner: {winners:?}");
    winners.remove(0)
}

fn change(round: usize, racer: usize, expected: id::Revision) -> client::Write {
    let put = |i: usize| {
        let account = ACCOUNT.replacen('{', &format!("{{\"id\":\"a{round}-{racer}-{i}\","), 1);
        format!("{{\"PutAccount\":{account}}}")
    };
    let things = if racer == 0 { 8 } else { 1 };
    let puts: Vec<_> = (0..things).map(put).collect();
    client::Write {
        method: hyper::Method::POST,
        path: "/v1/changes".to_owned(),
        body: format!("{{\"changes\":[{}]}}", puts.join(",")).into_bytes(),
        operation: format!("op-{round}-{racer}").parse().unwrap(),
        expected: Some(expected),
    }
}
