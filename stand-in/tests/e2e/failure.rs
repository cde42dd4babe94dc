//! Requests through real processes while processes fail, leave or lose contact.

use std::time;

use buckthorncleat::state::change;
use buckthorncleat::state::model;
use stand_in::client;
use stand_in::load::cluster::operate::Which;
use stand_in::process;

use crate::support;

/// The users' bound on the time in which the streams of a withdrawn key end.
const KEY_WITHDRAWAL_BOUND: time::Duration = time::Duration::from_secs(3);

/// The users' bound on the time after which a leaving server gets no new work.
const LEAVING_BOUND: time::Duration = time::Duration::from_secs(3);

/// Returns [`KEY_WITHDRAWAL_BOUND`] when `BUCKTHORNCLEAT_TIMED` is set, else only a limit against
/// hanging, so that CI does not fail because its machine is busy.
fn key_withdrawal_timeout() -> time::Duration {
    match std::env::var_os("BUCKTHORNCLEAT_TIMED") {
        Some(_) => KEY_WITHDRAWAL_BOUND,
        None => support::HANG_TIMEOUT,
    }
}

#[tokio::test]
async fn traffic_survives_the_loss_of_a_control_member_and_a_gateway() {
    let mut deployment = support::Deployment::start().await;
    let mut chats = Vec::new();
    for i in 0..6 {
        let prompt = format!("chat {i} [len=150]");
        chats.push(
            support::Chat::open(deployment.entry(i % 2), &prompt)
                .await
                .unwrap(),
        );
    }
    for chat in &mut chats {
        assert_eq!(chat.status(), 200);
        chat.read_tokens(3).await;
    }
    deployment.cluster.child(Which::Control(0)).kill().unwrap();
    deployment.cluster.child(Which::Gateway(2)).kill().unwrap();
    for chat in &mut chats {
        assert_eq!(chat.read_end().await, support::End::Whole);
    }
    for entry in [0, 1, 0] {
        let answer = support::order_until_accepted(deployment.entry(entry), "after-kill").await;
        assert!(answer.status.is_success(), "{answer:?}");
    }
    assert_eq!(deployment.runs_of("after-kill").await, 1);
}

#[tokio::test]
async fn a_graceful_shutdown_cuts_no_stream() {
    let mut deployment = support::Deployment::start().await;
    let mut chat = support::Chat::open(deployment.entry(0), "long [len=600]")
        .await
        .unwrap();
    chat.read_tokens(3).await;
    deployment
        .cluster
        .child(Which::Gateway(0))
        .signal(process::Signal::Term)
        .unwrap();
    assert_eq!(chat.read_end().await, support::End::Whole);
    let code = deployment
        .cluster
        .child(Which::Gateway(0))
        .wait_end()
        .unwrap();
    assert_eq!(code, Some(0));
}

#[tokio::test]
async fn a_stream_is_resumed_when_its_decode_engine_dies() {
    let mut deployment = support::Deployment::start().await;
    let mut chat = support::Chat::open(deployment.entry(0), "survive [len=400]")
        .await
        .unwrap();
    chat.read_tokens(20).await;
    let running = find_decoding(&deployment).await;
    deployment
        .cluster
        .child(Which::Server(running))
        .kill()
        .unwrap();
    assert_eq!(chat.read_end().await, support::End::Whole);
}

#[tokio::test]
async fn a_request_is_answered_though_every_decode_engine_fails_it_once() {
    let deployment = support::Deployment::start().await;
    let fail = stand_in::fault::Faults {
        fail_imports: Some(1),
        ..stand_in::fault::Faults::default()
    };
    for server in deployment.cluster.servers_of(model::Role::Decode) {
        let req = client::post("/_stand-in/faults", &fail);
        client::ask(deployment.server(server), req).await.unwrap();
    }
    let mut chat = support::Chat::open(deployment.entry(0), "unlucky [len=40]")
        .await
        .unwrap();
    assert_eq!(chat.status(), 200);
    assert_eq!(chat.read_end().await, support::End::Whole);
}

#[tokio::test]
async fn a_withdrawn_key_ends_its_streams() {
    let deployment = support::Deployment::start().await;
    let mut chat = support::Chat::open(deployment.entry(1), "withdrawn [len=1900]")
        .await
        .unwrap();
    chat.read_tokens(3).await;
    let change = change::Change::RemoveKey("key-chefs".parse().unwrap());
    let answer = deployment
        .cluster
        .change("withdraw", vec![change])
        .await
        .unwrap();
    assert!(answer.status.is_success(), "{answer:?}");
    let end = tokio::time::timeout(key_withdrawal_timeout(), chat.read_end()).await;
    assert_eq!(end.unwrap(), support::End::Error("invalid_key".to_owned()));
    assert!(
        chat.tokens < 1900,
        "the answer was complete before the key was withdrawn"
    );
    for i in 0..3 {
        wait_until_key_refused(&deployment, i).await;
    }
    assert_eq!(held_requests(&deployment).await, 0);
}

/// Sends chats to a gateway until it refuses the key before it asks a server.
///
/// A change is acknowledged before all gateways have applied it. Until then a gateway may start a
/// chat; it must end that one for the key as well, and its outcome is truly unknown.
async fn wait_until_key_refused(deployment: &support::Deployment, gateway: usize) {
    let deadline = time::Instant::now() + key_withdrawal_timeout();
    loop {
        let mut chat = support::Chat::open(deployment.entry(gateway), "again [len=1900]")
            .await
            .unwrap();
        match (chat.status(), chat.header("buckthorncleat-outcome")) {
            (401, "not-run") => return,
            (401, "unknown") => {}
            (200, _) => {
                let end = chat.read_end().await;
                assert_eq!(end, support::End::Error("invalid_key".to_owned()));
            }
            (status, outcome) => panic!("expected 401, got {status} with {outcome}"),
        }
        assert!(
            time::Instant::now() < deadline,
            "gateway {gateway} still starts chats with the withdrawn key"
        );
    }
}

#[tokio::test]
async fn a_caller_that_leaves_frees_engine_memory() {
    let deployment = support::Deployment::start().await;
    let mut chat = support::Chat::open(deployment.entry(0), "leaver [len=1900]")
        .await
        .unwrap();
    chat.read_tokens(3).await;
    assert!(held_requests(&deployment).await > 0);
    drop(chat);
    wait_until_nothing_held(&deployment).await;
}

#[tokio::test]
async fn a_gateway_that_dies_leaves_no_engine_memory_held() {
    let mut deployment = support::Deployment::start().await;
    let mut chat = support::Chat::open(deployment.entry(0), "orphan [len=1900]")
        .await
        .unwrap();
    chat.read_tokens(3).await;
    deployment.cluster.child(Which::Gateway(0)).kill().unwrap();
    assert_eq!(chat.read_end().await, support::End::Cut);
    wait_until_nothing_held(&deployment).await;
}

#[tokio::test]
async fn a_request_that_crashes_servers_costs_at_most_two() {
    let mut deployment = support::Deployment::start().await;
    for i in [0, 1, 2, 0, 1, 2] {
        let chat = support::Chat::open(deployment.entry(i), "poison [crash]")
            .await
            .unwrap();
        assert_ne!(chat.status(), 200);
    }
    let servers = 0..deployment.cluster.servers();
    let lost = servers.filter(|i| !deployment.cluster.child(Which::Server(*i)).is_running());
    assert!(lost.count() <= 2);
    let mut chat = support::Chat::open(deployment.entry(0), "healthy [len=30]")
        .await
        .unwrap();
    assert_eq!(chat.read_end().await, support::End::Whole);
}

#[tokio::test]
async fn without_control_keyed_calls_are_refused_and_entries_are_still_answered() {
    let mut deployment = support::Deployment::start().await;
    for i in 0..3 {
        let control = deployment.cluster.child(Which::Control(i));
        control.signal(process::Signal::Stop).unwrap();
    }
    let refused = loop {
        let answer = support::order(deployment.entry(0), "cut-off")
            .await
            .unwrap();
        assert_eq!(support::outcome(&answer), "not-run");
        let body: serde_json::Value = answer.json().unwrap();
        if body["error"]["code"] == "entry_not_fresh" {
            break answer;
        }
    };
    assert_eq!(refused.status.as_u16(), 503);
    let entries = client::request(hyper::Method::GET, "/v1/entries");
    let answer = client::ask(deployment.entry(0), entries).await.unwrap();
    assert_eq!(answer.status.as_u16(), 200);
    for i in 0..3 {
        let control = deployment.cluster.child(Which::Control(i));
        control.signal(process::Signal::Cont).unwrap();
    }
    let answer = support::order_until_accepted(deployment.entry(0), "cut-off").await;
    assert!(answer.status.is_success(), "{answer:?}");
    assert_eq!(deployment.runs_of("cut-off").await, 1);
}

#[tokio::test]
async fn lookups_end_by_their_deadline_with_the_true_outcome() {
    let mut deployment = support::Deployment::start().await;
    let services = deployment.cluster.servers_of(model::Role::Plain);
    let stall = stand_in::fault::Faults {
        stall: Some(true),
        ..stand_in::fault::Faults::default()
    };
    for service in &services {
        let req = client::post("/_stand-in/faults", &stall);
        client::ask(deployment.server(*service), req).await.unwrap();
    }
    let late = support::lookup(deployment.entry(0)).await.unwrap();
    assert_eq!(late.status.as_u16(), 504, "{late:?}");
    assert_eq!(support::outcome(&late), "unknown");
    let pending = tokio::spawn(support::lookup(deployment.entry(1)));
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    for service in &services {
        deployment
            .cluster
            .child(Which::Server(*service))
            .kill()
            .unwrap();
    }
    let broken = pending.await.unwrap().unwrap();
    assert_eq!(support::outcome(&broken), "unknown", "{broken:?}");
    let refused = support::lookup(deployment.entry(2)).await.unwrap();
    assert_eq!(support::outcome(&refused), "not-run", "{refused:?}");
}

#[tokio::test]
async fn a_leaving_engine_gets_no_new_work() {
    let deployment = support::Deployment::start().await;
    let leaving = deployment.cluster.servers_of(model::Role::Decode)[0];
    let config = deployment.cluster.config().await.unwrap();
    let address = deployment.server(leaving);
    let server = config
        .servers
        .iter()
        .find(|s| s.address == address)
        .unwrap();
    let mut changed = server.clone();
    changed.state = model::ServerState::Leaving;
    let changes = vec![change::Change::PutServer(changed)];
    let answer = deployment.cluster.change("leave", changes).await.unwrap();
    assert!(answer.status.is_success(), "{answer:?}");
    tokio::time::sleep(LEAVING_BOUND).await;
    let before = answers_at(&deployment, leaving).await;
    for i in 0..9 {
        let prompt = format!("after {i} [len=8]");
        let mut chat = support::Chat::open(deployment.entry(i % 3), &prompt)
            .await
            .unwrap();
        chat.read_tokens(1).await;
        assert_eq!(chat.read_end().await, support::End::Whole);
    }
    assert_eq!(answers_at(&deployment, leaving).await, before);
}

async fn answers_at(deployment: &support::Deployment, server: usize) -> u64 {
    let req = client::request(hyper::Method::GET, "/_stand-in/totals");
    let answer = client::ask(deployment.server(server), req).await.unwrap();
    let totals: stand_in::engine::totals::Totals = answer.json().unwrap();
    totals.answers
}

/// Returns the index of the first decode engine that holds a request.
async fn find_decoding(deployment: &support::Deployment) -> usize {
    for i in deployment.cluster.servers_of(model::Role::Decode) {
        if held_requests_at(deployment, i).await > 0 {
            return i;
        }
    }
    panic!("no decode engine holds a request");
}

async fn held_requests_at(deployment: &support::Deployment, server: usize) -> usize {
    let req = client::request(hyper::Method::GET, "/v1/held");
    let Ok(answer) = client::ask(deployment.server(server), req).await else {
        return 0;
    };
    let held_requests: buckthorncleat::backend::wire::Held = answer.json().unwrap();
    held_requests.requests.len()
}

async fn held_requests(deployment: &support::Deployment) -> usize {
    let mut all = 0;
    for role in [model::Role::Prefill, model::Role::Decode] {
        for i in deployment.cluster.servers_of(role) {
            all += held_requests_at(deployment, i).await;
        }
    }
    all
}

async fn wait_until_nothing_held(deployment: &support::Deployment) {
    let deadline = time::Instant::now() + time::Duration::from_secs(15);
    while held_requests(deployment).await > 0 {
        assert!(
            time::Instant::now() < deadline,
            "engines still hold requests: {:?}",
            held_listings(deployment).await
        );
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
}

async fn held_listings(deployment: &support::Deployment) -> Vec<String> {
    let mut lines = Vec::new();
    for i in 0..deployment.cluster.servers() {
        let req = client::request(hyper::Method::GET, "/v1/held");
        if let Ok(answer) = client::ask(deployment.server(i), req).await {
            lines.push(format!("{i}: {}", String::from_utf8_lossy(&answer.body)));
        }
    }
    lines
}
