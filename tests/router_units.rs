//! Parts of the router that need no network: event splitter, routing table, balancer.

use buckthorncleat::clock::Millis;
use buckthorncleat::document::{
    Account, CallerLimits, Document, DocumentVersion, Engine, Packed, RetryPolicy, Route, Service,
    ServiceId, Share,
};
use buckthorncleat::fleet::message::{Load, Server, ServerState, Stage};
use buckthorncleat::id::BackendServerId;
use buckthorncleat::router::balancer::{Balancer, Outcome, PickError, Requirements, memory_for};
use buckthorncleat::router::discovery::read_interval;
use buckthorncleat::router::events::Splitter;
use buckthorncleat::router::run::leaving_time;
use buckthorncleat::router::table::{Caller, Table, fingerprint};
use buckthorncleat::sorted::Map;
use buckthorncleat::state::model::KeyHash;
use buckthorncleat::unit::{RequestsPerSecond, Tokens};
use proptest::prelude::*;
use rand::{Rng as _, SeedableRng as _};

fn service(engine: Option<Engine>) -> Service {
    Service {
        id: "model".parse().unwrap(),
        connections: 100,
        engine,
        cold_start: None,
    }
}

fn route(host: &str, prefix: &str) -> Route {
    Route {
        name: format!("{host}{prefix}"),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        retry_policy: RetryPolicy::Always,
        time_limit: Millis::new(1_000),
        target_latency: Millis::new(100),
        target_gap: Millis::new(100),
        priority: 1,
        split: vec![Share {
            service: "model".parse().unwrap(),
            weight: 1,
        }],
        max_attempts: 1,
        open: false,
    }
}

fn document(routes: Vec<Route>) -> Document {
    Document {
        version: DocumentVersion::new(3),
        routes,
        services: vec![service(None)],
        limits: CallerLimits {
            max_head_bytes: 16_384,
            max_body_bytes: 1 << 20,
            head_timeout: Millis::new(3_000),
            idle_timeout: Millis::new(15_000),
        },
        accounts: vec![Account {
            id: "chefs".parse().unwrap(),
            keys: vec![KeyHash::from_secret(b"one"), KeyHash::from_secret(b"two")],
            priority: 1,
            quota: None,
        }],
    }
}

#[test]
fn the_route_with_the_longest_matching_prefix_is_used() {
    let routes = vec![
        route("a.example", "/"),
        route("a.example", "/x/"),
        route("a.example", "/x/y/"),
        route("b.example", "/x/y/z/"),
    ];
    let table = Table::new(document(routes));
    let name = |host, path| table.route(host, path).map(|r| r.name.as_str());
    assert_eq!(name("a.example", "/x/y/z/1"), Some("a.example/x/y/"));
    assert_eq!(name("a.example", "/x/yy"), Some("a.example/x/"));
    assert_eq!(name("a.example", "/other"), Some("a.example/"));
    assert_eq!(name("b.example", "/x/y/"), None);
    assert_eq!(name("c.example", "/x/"), None);
}

#[test]
fn a_key_identifies_the_account() {
    let table = Table::new(document(vec![route("a", "/"), route("b", "/")]));
    let mut open = route("a", "/");
    assert_eq!(table.caller(&open, None), Caller::Unknown);
    assert_eq!(table.caller(&open, Some("three")), Caller::Unknown);
    assert!(
        matches!(table.caller(&open, Some("two")), Caller::Account(a) if a.id.as_str() == "chefs")
    );
    open.open = true;
    assert_eq!(table.caller(&open, None), Caller::Anonymous);
}

#[test]
fn invalid_documents_are_refused() {
    document(vec![route("a", "/"), route("a", "/x/")])
        .check()
        .unwrap();
    let duplicate_route = document(vec![route("a", "/"), route("a", "/")]);
    assert!(duplicate_route.check().is_err());
    let mut unknown_service = document(vec![route("a", "/")]);
    unknown_service.routes[0].split[0].service = "other".parse().unwrap();
    assert!(unknown_service.check().is_err());
    let mut without_weight = document(vec![route("a", "/")]);
    without_weight.routes[0].split[0].weight = 0;
    assert!(without_weight.check().is_err());
    let mut without_time_limit = document(vec![route("a", "/")]);
    without_time_limit.routes[0].time_limit = Millis::ZERO;
    assert!(without_time_limit.check().is_err());
    let mut shared_key = document(vec![route("a", "/")]);
    let mut second = shared_key.accounts[0].clone();
    second.id = "cooks".parse().unwrap();
    shared_key.accounts.push(second);
    assert!(shared_key.check().is_err());
}

#[test]
fn requests_are_split_by_weight() {
    let mut split = route("a", "/");
    split.split = vec![
        Share {
            service: "one".parse().unwrap(),
            weight: 90,
        },
        Share {
            service: "two".parse().unwrap(),
            weight: 10,
        },
    ];
    let table = Table::new(document(vec![route("a", "/")]));
    let picked = |random| {
        table
            .pick_service(&split, random)
            .unwrap()
            .as_str()
            .to_owned()
    };
    let ones = (0..1_000).filter(|d| picked(*d) == "one").count();
    assert_eq!(ones, 900);
}

#[test]
fn a_resent_request_has_the_same_fingerprint() {
    let account = "chefs".parse().unwrap();
    let first = fingerprint(Some(&account), "/x", b"body");
    assert_eq!(first, fingerprint(Some(&account), "/x", b"body"));
    assert_ne!(first, fingerprint(None, "/x", b"body"));
    assert_ne!(first, fingerprint(Some(&account), "/y", b"body"));
    assert_ne!(first, fingerprint(Some(&account), "/x", b"other"));
}

proptest! {
    #[test]
    fn a_packed_document_is_unpacked_unchanged(plain in proptest::collection::vec(any::<u8>(), 0..5_000)) {
        let packed = Packed::from_plain(DocumentVersion::new(1), &plain).unwrap();
        prop_assert_eq!(packed.to_plain().unwrap(), plain);
    }

    #[test]
    fn events_are_complete_for_any_chunk_sizes(cuts in proptest::collection::vec(1_usize..40, 1..60)) {
        let text: Vec<u8> = (1..=20)
            .flat_map(|n| format!("id: {n}\ndata: {}\n\n", "x".repeat(n)).into_bytes())
            .collect();
        let mut splitter = Splitter::default();
        let (mut rest, mut ids, mut whole) = (&text[..], Vec::new(), Vec::new());
        for cut in cuts.into_iter().cycle() {
            let (piece, next) = rest.split_at(cut.min(rest.len()));
            prop_assert!(splitter.push(piece));
            while let Some(event) = splitter.next_event() {
                ids.push(event.id.unwrap());
                whole.extend_from_slice(&event.bytes);
            }
            rest = next;
            if rest.is_empty() {
                break;
            }
        }
        prop_assert_eq!(ids, (1..=20).collect::<Vec<u64>>());
        prop_assert_eq!(whole, text);
        prop_assert!(splitter.take_rest().is_empty());
    }
}

#[test]
fn events_end_with_a_blank_line_of_any_line_ends() {
    let mut splitter = Splitter::default();
    assert!(splitter.push(b"id: 1\rdata: a\r\rid: 2\r\n\r\n\n: note\n\n\n"));
    let events: Vec<_> = std::iter::from_fn(|| splitter.next_event()).collect();
    let ids: Vec<_> = events.iter().map(|event| event.id).collect();
    assert_eq!(ids, [Some(1), Some(2), None]);
    assert_eq!(events[1].bytes, "id: 2\r\n\r\n");
    assert_eq!(splitter.take_rest(), "\n");
}

#[test]
fn a_partial_event_is_not_returned() {
    let mut splitter = Splitter::default();
    assert!(splitter.push(b"id: 1\r\ndata: a\r\n\r\nid: 2\ndata"));
    let event = splitter.next_event().unwrap();
    assert_eq!(event.id, Some(1));
    assert!(splitter.next_event().is_none());
    assert_eq!(splitter.take_rest(), "id: 2\ndata");
    assert!(splitter.take_rest().is_empty());
}

fn server(number: u8, stage: Option<Stage>) -> Server {
    Server {
        id: id(number),
        service: "model".parse().unwrap(),
        address: ([10, 1, 0, number], 80).into(),
        data_centre: if number.is_multiple_of(2) { "a" } else { "b" }
            .parse()
            .unwrap(),
        slots: 6,
        state: ServerState::Ready,
        stage,
        version: None,
        started_at: None,
    }
}

fn id(number: u8) -> BackendServerId {
    format!("server-{number}").parse().unwrap()
}

fn balancer(stage: Option<Stage>, count: u8) -> Balancer {
    let mut balancer = Balancer::new("a".parse().unwrap());
    let list: Vec<Server> = (1..=count).map(|n| server(n, stage)).collect();
    balancer.set_list(Millis::ZERO, &list);
    balancer
}

fn one_request() -> Load {
    Load {
        requests: 1,
        memory: Tokens::new(4_000),
        prompts: Tokens::new(3_000),
    }
}

fn engine() -> Service {
    service(Some(Engine {
        slots: 64,
        memory: Tokens::new(10_000),
        export_ttl: Millis::new(500),
        max_reservation_ttl: Millis::new(2_000),
    }))
}

const WITHIN_TARGET: Requirements = Requirements {
    memory: Tokens::new(4_000),
    past_target: false,
};

/// Guards against overcommitted memory in a burst of long prompts: no server gets more requests
/// than its memory holds.
#[test]
fn a_burst_of_streams_never_exceeds_the_memory() {
    let mut balancer = balancer(Some(Stage::Decode), 4);
    let now = Millis::ZERO;
    for _ in 0..8 {
        let pick = balancer
            .pick_decode(now, &engine(), WITHIN_TARGET, &[], 0)
            .unwrap();
        balancer.add_load(&pick.id, one_request());
    }
    let full = balancer.pick_decode(now, &engine(), WITHIN_TARGET, &[], 0);
    assert_eq!(full, Err(PickError::Full));
    balancer.remove_load(now, &id(1), one_request(), Outcome::Succeeded);
    let pick = balancer
        .pick_decode(now, &engine(), WITHIN_TARGET, &[], 0)
        .unwrap();
    assert_eq!(pick.id, id(1));
}

/// Guards against resent requests that take all capacity: requests that are past their latency
/// target leave a part of each server to those that can still meet it.
#[test]
fn requests_past_their_target_leave_capacity_free() {
    let mut balancer = balancer(Some(Stage::Decode), 1);
    let past_target = Requirements {
        past_target: true,
        ..WITHIN_TARGET
    };
    let now = Millis::ZERO;
    balancer.add_load(&id(1), one_request());
    balancer.add_load(
        &id(1),
        Load {
            memory: Tokens::new(1_000),
            ..one_request()
        },
    );
    assert!(
        balancer
            .pick_decode(now, &engine(), past_target, &[], 0)
            .is_err()
    );
    assert!(
        balancer
            .pick_decode(now, &engine(), WITHIN_TARGET, &[], 0)
            .is_ok()
    );
}

#[test]
fn the_load_of_other_routers_counts() {
    let mut balancer = balancer(Some(Stage::Decode), 2);
    let busy = Load {
        requests: 2,
        memory: Tokens::new(9_000),
        prompts: Tokens::new(0),
    };
    balancer.set_remote_loads(
        Millis::ZERO,
        [(id(1), busy)].into_iter().collect::<Map<_, _>>(),
    );
    for random in 0..4 {
        let pick = balancer.pick_decode(Millis::ZERO, &engine(), WITHIN_TARGET, &[], random);
        assert_eq!(pick.unwrap().id, id(2));
    }
}

#[test]
fn prompts_go_to_the_server_with_the_shortest_prefill_queue() {
    let mut balancer = balancer(Some(Stage::Prefill), 2);
    balancer.add_load(&id(2), one_request());
    let service = "model".parse().unwrap();
    let pick = balancer
        .pick_prefill(Millis::ZERO, &service, Tokens::new(3_000), &[], 0)
        .unwrap();
    assert_eq!(pick.pick.id, id(1));
    assert!(pick.time >= Millis::new(90) && pick.time <= Millis::new(110));
}

#[test]
fn leaving_and_unlisted_servers_get_no_requests() {
    let mut balancer = balancer(None, 2);
    let mut leaving = server(1, None);
    leaving.state = ServerState::Leaving;
    balancer.set_list(Millis::ZERO, &[leaving]);
    let service = "model".parse().unwrap();
    let pick = balancer.pick_plain(Millis::ZERO, &service, &[], 0);
    assert_eq!(pick, Err(PickError::Leaving));
}

/// Guards against work that is sent to a lost server: it is ejected, for longer after each failure,
/// while there are healthy servers.
#[test]
fn a_lost_server_is_ejected() {
    let mut balancer = balancer(None, 2);
    let service = "model".parse().unwrap();
    let mut now = Millis::ZERO;
    for round in 0..4 {
        balancer.add_load(&id(1), one_request());
        balancer.remove_load(now, &id(1), one_request(), Outcome::Lost);
        for random in 0..4 {
            let pick = balancer.pick_plain(now, &service, &[], random).unwrap();
            assert_eq!(pick.id, id(2), "round {round}");
        }
        now = now + Millis::new(200 << round);
        assert_eq!(
            balancer.pick_plain(now, &service, &[], 0).unwrap().id,
            id(2)
        );
        now = now + Millis::new(2_100);
    }
}

/// Guards against a server that fails half of its requests while its health checks pass.
#[test]
fn a_failing_server_is_avoided() {
    let mut balancer = balancer(None, 3);
    let service = "model".parse().unwrap();
    let now = Millis::ZERO;
    for round in 0..60 {
        let outcome = if round % 2 == 0 {
            Outcome::Failed
        } else {
            Outcome::Succeeded
        };
        balancer.add_load(&id(1), one_request());
        balancer.remove_load(now, &id(1), one_request(), outcome);
    }
    for random in 0..9 {
        assert_ne!(
            balancer.pick_plain(now, &service, &[], random).unwrap().id,
            id(1)
        );
    }
}

#[test]
fn requests_to_a_plain_service_with_full_queues_are_refused() {
    let mut balancer = balancer(None, 1);
    let service = "model".parse().unwrap();
    while let Ok(pick) = balancer.pick_plain(Millis::ZERO, &service, &[], 0) {
        balancer.add_load(&pick.id, one_request());
    }
    let load = balancer.loads();
    assert_eq!(load.get(&id(1)).unwrap().requests, 18);
}

#[test]
fn memory_is_rounded_up_to_blocks() {
    assert_eq!(memory_for(Tokens::new(1), Tokens::new(0)), Tokens::new(16));
    assert_eq!(memory_for(Tokens::new(16), Tokens::new(1)), Tokens::new(32));
}

/// Returns how often each server is picked by 80 routers with the same view, as between two
/// reports.
fn pick_counts(pick: impl Fn(u64) -> BackendServerId) -> Vec<usize> {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(7);
    let mut counts = Vec::new();
    for _ in 0..80 {
        let id = pick(rng.random());
        let at: usize = id.as_str()["server-".len()..].parse().unwrap();
        counts.resize(counts.len().max(at + 1), 0);
        counts[at] += 1;
    }
    counts
}

/// Guards against routers that all send a burst between two reports to the least loaded server.
#[test]
fn routers_with_the_same_view_spread_a_burst_of_plain_requests() {
    let mut balancer = balancer(None, 4);
    let load = |requests| Load {
        requests,
        ..one_request()
    };
    let busy = [(id(1), load(2)), (id(2), load(1)), (id(3), load(2))];
    balancer.set_remote_loads(Millis::ZERO, busy.into_iter().collect::<Map<_, _>>());
    let service: ServiceId = "model".parse().unwrap();
    let rate = RequestsPerSecond::new(80);
    let rates = [(service.clone(), rate)].into_iter().collect::<Map<_, _>>();
    balancer.set_remote_rates(rates, Millis::ZERO);
    let pick = |random| balancer.pick_plain(Millis::from_secs(1), &service, &[], random);
    let counts = pick_counts(|random| pick(random).unwrap().id);
    assert!(
        counts[1..].iter().all(|n| (8..40).contains(n)),
        "{counts:?}"
    );
    // A server with a much higher load than the others gets nothing, when few requests are unseen.
    balancer.set_remote_rates(Map::new(), Millis::ZERO);
    balancer.set_remote_loads(
        Millis::ZERO,
        [(id(4), load(6))].into_iter().collect::<Map<_, _>>(),
    );
    let pick = |random| balancer.pick_plain(Millis::ZERO, &service, &[], random);
    let counts = pick_counts(|random| pick(random).unwrap().id);
    assert_eq!(counts.len(), 4, "{counts:?}");
}

/// Guards against routers that all send a burst of prompts to the same prefill server.
#[test]
fn routers_with_the_same_view_spread_a_burst_of_prompts() {
    let balancer = balancer(Some(Stage::Prefill), 8);
    let service = "model".parse().unwrap();
    let pick = |random| {
        let prompt = Tokens::new(3_000);
        let pick = balancer.pick_prefill(Millis::ZERO, &service, prompt, &[], random);
        pick.unwrap().pick.id
    };
    let counts = pick_counts(pick);
    assert!(
        counts.len() == 9 && counts[1..].iter().all(|n| (2..25).contains(n)),
        "{counts:?}"
    );
}

/// Guards against routers that all send a burst of streams to the decode server with the most free
/// memory; servers with slightly less must get their share.
#[test]
fn routers_with_the_same_view_spread_a_burst_of_streams() {
    let mut balancer = balancer(Some(Stage::Decode), 8);
    let used = |n: u8| Load {
        memory: Tokens::new(u64::from(n) * 60),
        ..one_request()
    };
    let others = (1..=8).map(|n| (id(n), used(n)));
    balancer.set_remote_loads(Millis::ZERO, others.collect::<Map<_, _>>());
    let pick = |random| balancer.pick_decode(Millis::ZERO, &engine(), WITHIN_TARGET, &[], random);
    let counts = pick_counts(|random| pick(random).unwrap().id);
    assert!(
        counts.len() == 9 && counts[1..].iter().all(|n| (2..25).contains(n)),
        "{counts:?}"
    );
}

/// The leader is lost: the routers' own reads of the platform's list stay within the allowed rate,
/// also at 300 routers and 3,000 servers, so that the next leader can read it.
#[test]
fn routers_without_a_leader_leave_calls_to_the_next_one() {
    for (routers, servers, rate) in [(9, 15, 40.0), (191, 83, 610.0), (300, 2_998, 910.0)] {
        let interval = read_interval(routers, servers, rate).as_secs_f64();
        let calls = f64::from(routers) * servers.div_ceil(50) as f64;
        assert!(calls / interval <= rate * 0.51, "{routers} routers");
    }
}

/// Guards against work for a server that several other routers can't connect to, while there is
/// another one.
#[test]
fn servers_that_other_routers_cannot_reach_are_avoided() {
    let mut balancer = balancer(None, 3);
    let service = "model".parse().unwrap();
    let now = Millis::ZERO;
    balancer.set_ejected(vec![id(1), id(3)]);
    for random in 0..6 {
        let pick = balancer.pick_plain(now, &service, &[], random).unwrap();
        assert_eq!(pick.id, id(2));
    }
    balancer.set_ejected(vec![id(1), id(2), id(3)]);
    assert!(balancer.pick_plain(now, &service, &[], 0).is_ok());
    balancer.set_ejected(Vec::new());
    balancer.add_load(&id(2), one_request());
    balancer.remove_load(now, &id(2), one_request(), Outcome::ConnectFailed);
    assert_eq!(balancer.unreachable(now), [id(2)]);
    assert!(balancer.unreachable(now + Millis::new(300)).is_empty());
    balancer.add_load(&id(2), one_request());
    balancer.remove_load(now, &id(2), one_request(), Outcome::Lost);
    assert!(
        balancer.unreachable(now).is_empty(),
        "a broken connection shows that the server was reached"
    );
}

/// Guards against a long grace period in which requests are taken for so long that they can't end in it.
#[test]
fn callers_that_still_connect_are_served_for_a_bounded_part_of_the_grace_period() {
    for (grace_s, leaving_ms) in [
        (3, 1_000),
        (6, 2_000),
        (8, 2_500),
        (30, 2_500),
        (600, 2_500),
    ] {
        let leaving = leaving_time(Millis::from_secs(grace_s));
        assert_eq!(leaving, Millis::new(leaving_ms), "{grace_s} s");
    }
}
