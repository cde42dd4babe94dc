//! The contracts of the platform's list, the weight store and the TCP relay.

mod common;

use std::net;

use buckthorncleat::backend::wire as engine_wire;
use stand_in::client;
use stand_in::platform;
use stand_in::process;
use stand_in::wire;
use tokio::time;

const SHORT: time::Duration = time::Duration::from_millis(200);

fn start(logs: &tempfile::TempDir, args: &[&str]) -> (process::Child, net::SocketAddr) {
    process::Child::start_stand_in(args[0], args, logs.path()).unwrap()
}

#[tokio::test]
async fn the_platform_list_shows_a_change_after_the_lag() {
    let logs = tempfile::tempdir().unwrap();
    let (_child, platform) = start(&logs, &["platform", "--lag-ms", "300"]);
    let list = vec![platform::Instance {
        id: "klang-1".parse().unwrap(),
        address: platform,
        state: platform::State::Leaving,
    }];
    let answer = common::post(platform, "/_stand-in/instances", &list).await;
    assert_eq!(answer.status, 200);
    let early: Vec<platform::Instance> = common::get(platform, "/v1/instances").await;
    assert_eq!(early, []);
    time::sleep(2 * SHORT).await;
    let late: Vec<platform::Instance> = common::get(platform, "/v1/instances").await;
    assert_eq!(late, list);
    let bad = common::post(platform, "/_stand-in/instances", &"no list").await;
    assert_eq!(bad.status, 400);
}

#[tokio::test]
async fn an_engine_loads_a_model_from_the_weight_store() {
    let logs = tempfile::tempdir().unwrap();
    let (mut store, address) = start(&logs, &["weights", "--model-bytes", "50000000"]);
    let path = client::request(hyper::Method::GET, "/v1/weights/new/2");
    let answer = client::ask(address, path).await.unwrap();
    assert_eq!(answer.body.len(), 50_000_000 / 1024);
    let weights = address.to_string();
    let engines = common::Engines::start(&["--weights", &weights, "--load-model-ms", "1"]);
    let order = engine_wire::Order::LoadModel {
        model: "new".parse().unwrap(),
        version: "2".to_owned(),
    };
    for (running, status) in [(true, 200), (false, 502)] {
        if !running {
            store.kill().unwrap();
        }
        let mut req = client::post("/v1/orders", &order);
        let headers = req.headers_mut();
        headers.insert(engine_wire::FENCING_HEADER, "1".parse().unwrap());
        assert_eq!(
            client::ask(engines.prefill, req).await.unwrap().status,
            status
        );
    }
    let mut call = common::prefill_call(1, "x");
    call.model = "new".parse().unwrap();
    let answer = common::post(engines.prefill, "/v1/prefill", &call).await;
    assert_eq!(answer.status, 200);
}

struct Relay {
    _logs: tempfile::TempDir,
    _children: Vec<process::Child>,
    address: net::SocketAddr,
    control: net::SocketAddr,
}

impl Relay {
    fn start() -> Self {
        let logs = tempfile::tempdir().unwrap();
        let (shop, to) = start(&logs, &["plain", "--id", "shop"]);
        let control = process::free_address().unwrap();
        let (to, at) = (to.to_string(), control.to_string());
        let (wire, address) = start(&logs, &["wire", "--to", &to, "--control", &at]);
        Self {
            _logs: logs,
            _children: vec![shop, wire],
            address,
            control,
        }
    }

    async fn set(&self, switches: &wire::Switches) {
        let answer = common::post(self.control, "/_stand-in/wire", switches).await;
        assert_eq!(answer.status, 200);
    }
}

/// The outcome of a call.
#[derive(Debug, PartialEq)]
enum Outcome {
    Answer,
    Error,
    NoAnswer,
}

async fn call(connection: &mut client::Connection) -> Outcome {
    let lookup = client::request(hyper::Method::GET, "/lookup");
    match time::timeout(SHORT, connection.ask(lookup)).await {
        Ok(Ok(_)) => Outcome::Answer,
        Ok(Err(_)) => Outcome::Error,
        Err(_) => Outcome::NoAnswer,
    }
}

#[tokio::test]
async fn the_relay_applies_faults_to_existing_and_new_connections() {
    let pass = wire::Switches::default;
    let existing = |existing| wire::Switches { existing, ..pass() };
    let new = |new| wire::Switches { new, ..pass() };
    let to_server = wire::Flow::Drop;
    let to_client = wire::Flow::Drop;
    let slow = buckthorncleat::unit::BytesPerSecond::new(10);
    let late = buckthorncleat::clock::Millis::from_secs(5);
    let cases = [
        (pass(), Outcome::Answer, Outcome::Answer),
        (
            existing(wire::Existing::Silent),
            Outcome::NoAnswer,
            Outcome::Answer,
        ),
        (
            existing(wire::Existing::Cut),
            Outcome::Error,
            Outcome::Answer,
        ),
        (new(wire::New::Refuse), Outcome::Answer, Outcome::Error),
        (new(wire::New::Silent), Outcome::Answer, Outcome::NoAnswer),
        (
            wire::Switches {
                to_server,
                ..pass()
            },
            Outcome::NoAnswer,
            Outcome::NoAnswer,
        ),
        (
            wire::Switches {
                to_client,
                ..pass()
            },
            Outcome::NoAnswer,
            Outcome::NoAnswer,
        ),
        (
            wire::Switches {
                bytes_per_second: Some(slow),
                ..pass()
            },
            Outcome::NoAnswer,
            Outcome::NoAnswer,
        ),
        (
            wire::Switches {
                delay_ms: late,
                ..pass()
            },
            Outcome::NoAnswer,
            Outcome::NoAnswer,
        ),
    ];
    for (switches, existing, new) in cases {
        let relay = Relay::start();
        let mut connection = client::Connection::open(relay.address).await.unwrap();
        assert_eq!(call(&mut connection).await, Outcome::Answer);
        relay.set(&switches).await;
        assert_eq!(
            call(&mut connection).await,
            existing,
            "existing connection with {switches:?}"
        );
        let mut connection = client::Connection::open(relay.address).await.unwrap();
        assert_eq!(
            call(&mut connection).await,
            new,
            "new connection with {switches:?}"
        );
    }
}

#[test]
fn no_other_process_is_given_the_ports_of_this_one() {
    let address = process::free_address().unwrap();
    let block = (address.port() - 11_000) / 64 * 64 + 11_000;
    let claim = std::net::TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, block));
    let held = claim.unwrap_err().kind();
    assert_eq!(held, std::io::ErrorKind::AddrInUse);
    assert_ne!(process::free_address().unwrap(), address);
}
