//! Which servers a router may call: servers that leave, and servers that ask for no calls.

use buckthorncleat::clock::Millis;
use buckthorncleat::document::Service;
use buckthorncleat::fleet::message::{Server, ServerState, Stage, StartTime};
use buckthorncleat::id::BackendServerId;
use buckthorncleat::router::availability::{Change, Outcome, Purpose, State};
use buckthorncleat::router::balancer::{Balancer, Pick, PickError, Requirements};
use buckthorncleat::router::protocol::{Execution, Limit, ServerAnswer};
use buckthorncleat::router::retry_after;
use buckthorncleat::unit::Tokens;

#[path = "support/model_service.rs"]
mod model_service;

const ALL_PURPOSES: [Purpose; 5] = [
    Purpose::Plain,
    Purpose::Prefill,
    Purpose::Decode,
    Purpose::Reserve,
    Purpose::Release,
];

fn at(ms: u64) -> Millis {
    Millis::new(ms)
}

fn id(number: u8) -> BackendServerId {
    format!("server-{number}").parse().unwrap()
}

fn server(number: u8) -> Server {
    Server {
        id: id(number),
        service: "model".parse().unwrap(),
        address: ([10, 1, 0, number], 80).into(),
        data_centre: "a".parse().unwrap(),
        slots: 6,
        state: ServerState::Ready,
        stage: None,
        version: None,
        started_at: None,
    }
}

fn balancer(servers: &[Server]) -> Balancer {
    let mut balancer = Balancer::new("a".parse().unwrap());
    balancer.set_list(Millis::ZERO, servers);
    balancer
}

fn pick(balancer: &Balancer, now: Millis) -> Result<Pick, PickError> {
    balancer.pick_plain(now, &"model".parse().unwrap(), &[], 0)
}

fn accepted() -> ServerAnswer {
    ServerAnswer {
        execution: Execution::Ran,
        request_id: None,
        accepted: true,
        is_leaving: false,
        quiet: None,
        limit: Limit::Unlimited,
    }
}

fn leaving() -> ServerAnswer {
    ServerAnswer {
        is_leaving: true,
        ..accepted()
    }
}

fn quiet(ms: u64) -> ServerAnswer {
    ServerAnswer {
        execution: Execution::NotRun,
        accepted: false,
        quiet: Some(at(ms)),
        ..accepted()
    }
}

/// Guards against work for a server that has said that it is leaving, from the next call on.
#[test]
fn a_server_that_says_it_is_leaving_gets_nothing_new() {
    for stage in [None, Some(Stage::Prefill), Some(Stage::Decode)] {
        let in_stage = Server { stage, ..server(1) };
        let mut balancer = balancer(&[in_stage]);
        let change = balancer.record_answer(at(1), &id(1), &leaving());
        assert_eq!(change, Some(Change::Leaving));
        assert_eq!(balancer.record_answer(at(1), &id(1), &leaving()), None);
        let service: Service = model_service::service();
        let requirements = Requirements {
            memory: Tokens::new(16),
            past_target: false,
        };
        let prompt = Tokens::new(16);
        assert_eq!(pick(&balancer, at(2)), Err(PickError::Leaving));
        let decode = balancer.pick_decode(at(2), &service, requirements, &[], 0);
        assert!(decode.is_err());
        let prefill = balancer.pick_prefill(at(2), &service.id, prompt, &[], 0);
        assert_eq!(prefill, None);
        for purpose in ALL_PURPOSES {
            let begun = balancer.begin_call(at(2), &id(1), purpose);
            assert_eq!(begun.is_ok(), purpose == Purpose::Release, "{purpose:?}");
        }
        assert_eq!(balancer.leaving(), [id(1)]);
    }
}

/// Guards against a list that was made before the mark, and comes late or twice, ending it.
#[test]
fn an_older_list_does_not_end_the_mark_of_a_leaving_server() {
    let mut balancer = balancer(&[server(1), server(2)]);
    balancer.record_answer(at(1), &id(1), &leaving());
    let lists = [vec![server(1), server(2)], vec![server(2)], vec![]];
    for (round, list) in lists.iter().cycle().take(9).enumerate() {
        balancer.set_list(at(round as u64 * 1_000), list);
        let state = balancer.state(at(round as u64 * 1_000), &id(1));
        assert_eq!(state, State::Leaving, "round {round}");
    }
    balancer.set_list(at(9_000), &[server(1)]);
    assert_eq!(pick(&balancer, at(9_000)), Err(PickError::Leaving));
}

#[test]
fn a_server_that_was_out_of_the_list_for_ten_seconds_starts_anew() {
    let mut balancer = balancer(&[server(1)]);
    balancer.record_answer(at(1), &id(1), &leaving());
    balancer.set_list(at(1_000), &[]);
    balancer.set_list(at(10_999), &[server(1)]);
    assert_eq!(balancer.state(at(10_999), &id(1)), State::Leaving);
    balancer.set_list(at(12_000), &[]);
    balancer.set_list(at(22_000), &[server(1)]);
    assert_eq!(balancer.state(at(22_000), &id(1)), State::Open);
}

/// Guards against a new start under the same id that inherits the mark, and against an earlier start
/// that ends it.
#[test]
fn only_a_later_start_ends_the_mark_of_a_leaving_server() {
    let started = |ms| Server {
        version: None,
        started_at: Some(StartTime::new(ms)),
        ..server(1)
    };
    let mut balancer = balancer(&[started(500)]);
    balancer.record_answer(at(1), &id(1), &leaving());
    for earlier in [400, 500] {
        balancer.set_list(at(2), &[started(earlier)]);
        assert_eq!(balancer.state(at(2), &id(1)), State::Leaving, "{earlier}");
    }
    balancer.set_list(at(3), &[server(1)]);
    assert_eq!(balancer.state(at(3), &id(1)), State::Leaving);
    balancer.set_list(at(4), &[started(501)]);
    assert_eq!(balancer.state(at(4), &id(1)), State::Open);
}

/// Guards against a quiet time being forgotten that a new start asked for before the list showed that
/// start.
#[test]
fn a_quiet_time_asked_for_just_before_a_later_start_shows_is_kept() {
    let started = |ms| Server {
        version: None,
        started_at: Some(StartTime::new(ms)),
        ..server(1)
    };
    let mut balancer = balancer(&[started(500)]);
    balancer.record_answer(at(1_000), &id(1), &quiet(3_000));
    balancer.set_list(at(2_000), &[started(600)]);
    let until = at(4_000);
    assert_eq!(balancer.state(at(2_000), &id(1)), State::Quiet { until });
    balancer.record_answer(at(4_000), &id(1), &quiet(60_000));
    balancer.set_list(at(5_000), &[started(700)]);
    let bounded = at(15_000);
    assert_eq!(
        balancer.state(at(5_000), &id(1)),
        State::Quiet { until: bounded }
    );
    balancer.record_answer(at(15_000), &id(1), &quiet(60_000));
    balancer.set_list(at(20_000), &[started(800)]);
    assert_eq!(balancer.state(at(20_000), &id(1)), State::Open);
}

#[test]
fn another_address_is_another_incarnation() {
    let mut balancer = balancer(&[server(1)]);
    balancer.record_answer(at(1), &id(1), &leaving());
    let moved = Server {
        address: server(2).address,
        ..server(1)
    };
    balancer.set_list(at(2), &[moved]);
    assert_eq!(balancer.state(at(2), &id(1)), State::Open);
}

/// Guards against a call that was decided on before an answer arrived and is sent after it.
#[test]
fn a_call_is_withdrawn_when_its_server_says_otherwise_after_the_pick() {
    for answer in [leaving(), quiet(2_000)] {
        let mut balancer = balancer(&[server(1)]);
        let picked = pick(&balancer, at(1)).unwrap();
        balancer
            .begin_call(at(1), &picked.id, Purpose::Plain)
            .unwrap();
        balancer.record_answer(at(2), &picked.id, &answer);
        let state = balancer.state_under_call(at(3), &picked.id);
        assert!(!state.may_send(Purpose::Plain), "{state:?}");
        assert!(
            balancer
                .begin_call(at(3), &picked.id, Purpose::Plain)
                .is_err()
        );
    }
}

/// Guards against calls of any kind to a server that wants none for a time.
#[test]
fn a_server_that_asks_for_no_calls_gets_none_until_the_end_of_the_time() {
    let mut balancer = balancer(&[server(1)]);
    balancer.record_answer(at(100), &id(1), &quiet(1_500));
    for purpose in ALL_PURPOSES {
        assert!(balancer.begin_call(at(1_599), &id(1), purpose).is_err());
    }
    let until = at(1_600);
    assert_eq!(pick(&balancer, at(1_599)), Err(PickError::Quiet { until }));
    assert!(pick(&balancer, until).is_ok());
}

#[test]
fn the_latest_end_of_several_quiet_times_holds() {
    let mut balancer = balancer(&[server(1)]);
    let record = |balancer: &mut Balancer, now, ms| {
        balancer.record_answer(at(now), &id(1), &quiet(ms));
        balancer.state(at(now), &id(1))
    };
    let first = record(&mut balancer, 0, 5_000);
    assert_eq!(first, State::Quiet { until: at(5_000) });
    assert_eq!(record(&mut balancer, 10, 1_000), first);
    assert_eq!(record(&mut balancer, 10, 0), first);
    let later = record(&mut balancer, 20, 6_000);
    assert_eq!(later, State::Quiet { until: at(6_020) });
    let bounded = record(&mut balancer, 30, u64::MAX);
    let until = at(30 + 24 * 3_600 * 1_000);
    assert_eq!(bounded, State::Quiet { until });
}

/// Guards against a list that leaves a server out for a moment and so ends its quiet time.
#[test]
fn a_quiet_time_outlasts_a_list_without_the_server() {
    let mut balancer = balancer(&[server(1)]);
    balancer.record_answer(at(0), &id(1), &quiet(60_000));
    balancer.set_list(at(1_000), &[]);
    balancer.set_list(at(40_000), &[server(1)]);
    let until = at(60_000);
    assert_eq!(balancer.state(at(40_000), &id(1)), State::Quiet { until });
}

/// Guards against all waiting requests reaching a server at the end of its quiet time.
#[test]
fn after_a_quiet_time_one_call_goes_first_and_more_as_it_accepts_them() {
    let mut balancer = balancer(&[server(1)]);
    balancer.record_answer(at(0), &id(1), &quiet(1_000));
    let now = at(1_000);
    for wave in [1_usize, 2, 4, 8, 16] {
        for call in 0..wave {
            let begun = balancer.begin_call(now, &id(1), Purpose::Plain);
            assert_eq!(begun, Ok(true), "wave {wave}, call {call}");
            // A part of a wave that is answered widens it; this test answers whole waves.
        }
        let until = Millis::ZERO;
        assert_eq!(pick(&balancer, now), Err(PickError::Quiet { until }));
        let begun = balancer.begin_call(now, &id(1), Purpose::Plain);
        assert_eq!(begun, Err(State::Reopening));
        balancer.record_answer(now, &id(1), &accepted());
        (0..wave).for_each(|_| balancer.end_call(&id(1), true));
    }
    assert_eq!(
        balancer.begin_call(now, &id(1), Purpose::Plain),
        Ok(false),
        "the server is open again"
    );
}

#[test]
fn a_server_that_refuses_after_a_quiet_time_stays_at_one_call() {
    let mut balancer = balancer(&[server(1)]);
    balancer.record_answer(at(0), &id(1), &quiet(1_000));
    balancer
        .begin_call(at(1_000), &id(1), Purpose::Plain)
        .unwrap();
    let refused = ServerAnswer {
        quiet: None,
        ..quiet(0)
    };
    balancer.record_answer(at(1_000), &id(1), &refused);
    balancer.end_call(&id(1), true);
    balancer
        .begin_call(at(1_001), &id(1), Purpose::Plain)
        .unwrap();
    assert_eq!(balancer.state(at(1_001), &id(1)), State::Reopening);
}

/// Guards against a server that asks for no calls being ejected, or reported to other routers.
#[test]
fn a_quiet_time_is_no_failure_and_is_not_shared() {
    let mut balancer = balancer(&[server(1)]);
    balancer.record_answer(at(0), &id(1), &quiet(100));
    assert!(balancer.unreachable(at(0)).is_empty());
    assert!(balancer.leaving().is_empty());
    assert_eq!(balancer.state(at(100), &id(1)), State::Open);
}

/// Guards against requests that wait although a server is only ejected, or is open.
#[test]
fn a_quiet_server_is_waited_for_only_without_any_other() {
    let mut balancer = balancer(&[server(1), server(2), server(3)]);
    for (number, ms) in [(1, 5_000), (2, 3_000)] {
        balancer.record_answer(at(0), &id(number), &quiet(ms));
    }
    assert_eq!(pick(&balancer, at(1)).unwrap().id, id(3));
    let load = Default::default();
    balancer.remove_load(at(1), &id(3), load, Outcome::Lost);
    assert_eq!(pick(&balancer, at(2)).unwrap().id, id(3));
    balancer.record_answer(at(2), &id(3), &leaving());
    let until = at(3_000);
    assert_eq!(pick(&balancer, at(3)), Err(PickError::Quiet { until }));
}

#[test]
fn a_server_that_told_another_router_that_it_leaves_gets_nothing_new() {
    let mut balancer = balancer(&[server(1), server(2)]);
    balancer.set_leaving(vec![id(1)]);
    assert_eq!(pick(&balancer, at(1)).unwrap().id, id(2));
    assert!(balancer.leaving().is_empty(), "it is not handed on");
    balancer.set_leaving(Vec::new());
    assert_eq!(balancer.state(at(2), &id(1)), State::Open);
}

/// Guards against callers that all return at the moment at which a server takes calls again.
#[test]
fn refused_callers_return_spread_over_a_time_after_the_quiet_time() {
    let wait = at(4_000);
    let delays: Vec<Millis> = (0..1_000)
        .map(|random| retry_after::delay_after(wait, random))
        .collect();
    assert!(delays.iter().all(|d| *d >= wait && *d < at(5_000)));
    let early = delays.iter().filter(|d| **d < at(4_100)).count();
    assert!(early <= 110, "{early} of 1000 return in the first tenth");
}

/// Guards against a stream that goes on at a server which started again with other software before the
/// list shows it.
#[test]
fn a_server_that_was_unreachable_has_no_certain_version_until_a_later_list() {
    let service = "model".parse().unwrap();
    let mut first = server(1);
    first.started_at = Some(StartTime::new(1));
    let mut balancer = balancer(&[first.clone(), server(2)]);
    let load = buckthorncleat::fleet::message::Load::default();
    balancer.remove_load(at(1_000), &id(1), load, Outcome::ConnectFailed);
    balancer.remove_load(at(1_000), &id(2), load, Outcome::Lost);
    balancer.set_list_read_at(at(2_000));
    assert_eq!(balancer.servers_of_uncertain_version(&service), [id(1)]);
    balancer.set_list_read_at(at(4_000));
    assert_eq!(balancer.servers_of_uncertain_version(&service), []);
    balancer.remove_load(at(5_000), &id(1), load, Outcome::ConnectFailed);
    first.started_at = Some(StartTime::new(2));
    balancer.set_list(at(5_100), &[first, server(2)]);
    assert_eq!(balancer.servers_of_uncertain_version(&service), []);
}
