//! Tests of single decisions of the scheduler.

#[path = "support/shard.rs"]
mod shard;

use buckthorncleat::backend::wire;
use buckthorncleat::clock;
use buckthorncleat::controller::scheduler;
use buckthorncleat::controller::scheduler::message;
use buckthorncleat::id;
use buckthorncleat::state::model;
use buckthorncleat::unit;

const READY: clock::Millis = clock::Millis::new(1_000);

fn at(ms: u64) -> clock::Millis {
    clock::Millis::new(ms)
}

fn refusals(outputs: &[scheduler::Output]) -> Vec<message::Refusal> {
    let refused = outputs.iter().filter_map(|output| match output {
        scheduler::Output::Reply {
            reply: message::Reply::Refused { reason, .. },
            ..
        } => Some(*reason),
        _ => None,
    });
    refused.collect()
}

#[test]
fn unplaceable_requests_are_refused_at_once_with_the_reason() {
    let leaving = |mut server: model::BackendServer| {
        server.state = model::ServerState::Leaving;
        server
    };
    let only_leaving: Vec<_> = shard::pool(1, 1).into_iter().map(leaving).collect();
    let plain = shard::place(1);
    let change = |f: fn(&mut message::Place)| {
        let mut place = shard::place(1);
        f(&mut place);
        place
    };
    let cases = [
        (
            "no server",
            Vec::new(),
            plain.clone(),
            message::Refusal::NoServer,
        ),
        (
            "no decode",
            shard::pool(1, 0),
            plain.clone(),
            message::Refusal::NoServer,
        ),
        ("leaving", only_leaving, plain, message::Refusal::NoServer),
        (
            "excluded",
            shard::pool(1, 1),
            change(|p| p.exclude = vec![shard::name("d0")]),
            message::Refusal::NoServer,
        ),
        (
            "too large",
            shard::pool(1, 1),
            change(|p| p.max_output = unit::Tokens::new(40 * unit::PIECE_TOKENS)),
            message::Refusal::TooLarge,
        ),
        (
            "too late",
            shard::pool(1, 1),
            change(|p| p.first_token = clock::Millis::new(40)),
            message::Refusal::TooLate,
        ),
    ];
    for (case, servers, place, reason) in cases {
        let mut scheduler = shard::ready(servers);
        let outputs = scheduler.step(READY, shard::ask_place("g", place));
        assert_eq!(refusals(&outputs), [reason], "{case}");
    }
}

#[test]
fn a_full_queue_evicts_from_the_account_with_the_most_requests() {
    let settings = scheduler::Settings {
        max_waiting: 3,
        ..scheduler::Settings::default()
    };
    let mut scheduler =
        scheduler::Scheduler::new(clock::Millis::ZERO, shard::name("m"), settings, 1);
    for number in 0..3 {
        scheduler.step(at(1), shard::ask_place("g", shard::place(number)));
    }
    let refused = scheduler.step(at(2), shard::ask_place("g", shard::place(3)));
    assert_eq!(refusals(&refused), [message::Refusal::QueueFull]);
    let mut other = shard::place(4);
    other.account = shard::name("b");
    let outputs = scheduler.step(at(3), shard::ask_place("g", other));
    let [scheduler::Output::Reply { request, .. }] = &outputs[..] else {
        panic!("expected one reply, got {outputs:?}");
    };
    assert_eq!(
        *request,
        id::RequestId::new(2),
        "evicts the newest request of the account with the most"
    );
    assert_eq!(scheduler.summary().waiting, 3);
}

#[test]
fn a_waiting_request_is_refused_when_its_target_is_out_of_reach() {
    let mut servers = shard::pool(1, 1);
    servers[1].slots = 1;
    let mut scheduler = shard::ready(servers);
    scheduler.step(READY, shard::ask_place("g", shard::place(1)));
    assert!(
        scheduler
            .step(READY, shard::ask_place("g", shard::place(2)))
            .is_empty()
    );
    let mut answered = None;
    while answered.is_none() {
        let now = scheduler.next_wakeup();
        assert!(
            now < READY + shard::TARGET,
            "not refused before the target has passed"
        );
        let outputs = scheduler.step(now, scheduler::Input::Tick);
        answered = refusals(&outputs).first().copied();
    }
    assert_eq!(answered, Some(message::Refusal::TooLate));
}

#[test]
fn a_new_owner_places_nothing_before_gateways_had_time_to_report() {
    let mut scheduler = shard::ready(shard::pool(1, 1));
    let early = scheduler.step(at(10), shard::ask_place("g", shard::place(1)));
    assert!(early.is_empty());
    let later = scheduler.step(at(500), scheduler::Input::Tick);
    assert_eq!(shard::placements(&later).len(), 1);
}

#[test]
fn an_expired_lease_is_cancelled_until_both_servers_confirm() {
    let mut scheduler = shard::ready(shard::pool(1, 1));
    scheduler.step(READY, shard::ask_place("g", shard::place(1)));
    let expired = scheduler.step(at(4_000), scheduler::Input::Tick);
    assert_eq!(
        expired.len(),
        2,
        "expected a cancellation at each server, got {expired:?}"
    );
    let again = scheduler.step(at(4_500), scheduler::Input::Tick);
    assert_eq!(again, expired);
    for server in ["p0", "d0"] {
        let cancelled = scheduler::Input::Cancelled {
            server: shard::name(server),
            request: id::RequestId::new(1),
            confirmed: true,
        };
        scheduler.step(at(4_600), cancelled);
    }
    assert_eq!(scheduler.summary().cancelling, 0);
    assert!(scheduler.step(at(9_000), scheduler::Input::Tick).is_empty());
}

#[test]
fn a_cancelled_request_is_not_placed_on_the_server_that_refuses_it() {
    let mut scheduler = shard::ready(shard::pool(2, 2));
    let first = scheduler.step(READY, shard::ask_place("g", shard::place(1)));
    let first = shard::placements(&first).remove(0);
    let finish = message::Finish {
        reservation: first.reservation,
        output: unit::Tokens::new(0),
        confirmed: false,
    };
    scheduler.step(READY, shard::ask("g", message::Request::Finish(finish)));
    let mut again = shard::place(1);
    again.kind = message::PlaceKind::Resume;
    let second = scheduler.step(READY, shard::ask_place("g", again));
    let second = shard::placements(&second).remove(0);
    assert_ne!(first.prefill, second.prefill);
    assert_ne!(first.decode, second.decode);
}

#[test]
fn a_new_owner_takes_over_reservations_with_colliding_numbers() {
    let mut scheduler = shard::ready(shard::pool(1, 1));
    let live = |number: u128| message::LiveReservation {
        reservation: id::ReservationId::new(1),
        place: shard::place(number),
        placement: message::Placement {
            reservation: id::ReservationId::new(1),
            prefill: shard::name("p0"),
            decode: shard::name("d0"),
            lease: at(3_000),
        },
        transferred: true,
    };
    for (gateway, number) in [("g", 1), ("h", 2)] {
        let report = message::Request::Report(vec![live(number)]);
        scheduler.step(at(100), shard::ask(gateway, report));
    }
    assert_eq!(scheduler.summary().decoding, 2);
    let placed = scheduler.step(READY, shard::ask_place("g", shard::place(3)));
    assert_ne!(
        shard::placements(&placed)[0].reservation,
        id::ReservationId::new(1)
    );
    let renew = message::Request::Renew(vec![id::ReservationId::new(9)]);
    let unknown = scheduler.step(READY, shard::ask("g", renew));
    let reply = message::Reply::Unknown(vec![id::ReservationId::new(9)]);
    assert_eq!(unknown, [scheduler::Output::ImmediateReply { reply }]);
}

#[test]
fn suspects_run_one_at_a_time_on_the_least_busy_servers() {
    let mut scheduler = shard::ready(shard::pool(2, 2));
    let busy = scheduler.step(READY, shard::ask_place("g", shard::place(1)));
    let busy = shard::placements(&busy).remove(0);
    let suspect = |number| {
        let mut place = shard::place(number);
        place.suspect = true;
        place
    };
    let first = scheduler.step(READY, shard::ask_place("g", suspect(2)));
    let first = shard::placements(&first).remove(0);
    assert_ne!(busy.decode, first.decode);
    let second = scheduler.step(READY, shard::ask_place("g", suspect(3)));
    assert!(
        second.is_empty(),
        "the second suspect must wait: {second:?}"
    );
    let finish = message::Finish {
        reservation: first.reservation,
        output: unit::Tokens::new(1),
        confirmed: true,
    };
    let outputs = scheduler.step(READY, shard::ask("g", message::Request::Finish(finish)));
    assert_eq!(shard::placements(&outputs).len(), 1);
}

#[test]
fn a_failed_server_is_probed_by_one_request_after_a_delay() {
    let mut scheduler = shard::ready(shard::pool(2, 1));
    let fail = |server: &str| shard::ask("g", message::Request::ServerFailed(shard::name(server)));
    scheduler.step(READY, fail("p0"));
    for number in 0..2 {
        let outputs = scheduler.step(READY, shard::ask_place("g", shard::place(number)));
        let used: Vec<_> = shard::placements(&outputs)
            .into_iter()
            .map(|p| p.prefill)
            .collect();
        assert!(!used.contains(&shard::name("p0")), "placed on {used:?}");
    }
    scheduler.step(at(1_100), fail("p1"));
    let probed = scheduler.step(at(2_050), shard::ask_place("g", shard::place(3)));
    assert_eq!(shard::placements(&probed)[0].prefill, shard::name("p0"));
    let second = scheduler.step(at(2_051), shard::ask_place("g", shard::place(4)));
    assert!(
        shard::placements(&second).is_empty(),
        "a second request was placed during the probe"
    );
}

#[test]
fn a_failed_server_is_not_probed_until_it_reports_again() {
    let load = |age| scheduler::Input::Load {
        server: shard::name("p0"),
        load: wire::Load {
            role: model::Role::Prefill,
            models: vec![shard::name("m")],
            running: 0,
            waiting: 0,
            waiting_tokens: unit::Tokens::new(0),
            used: unit::Pieces::new(0),
            memory: unit::Pieces::new(32),
            age_ms: at(age),
        },
    };
    let mut scheduler = shard::ready(shard::pool(1, 1));
    scheduler.step(at(900), load(0));
    let failed = message::Request::ServerFailed(shard::name("p0"));
    scheduler.step(READY, shard::ask("g", failed));
    scheduler.step(at(1_200), load(500));
    let silent = scheduler.step(at(2_500), shard::ask_place("g", shard::place(1)));
    assert!(
        shard::placements(&silent).is_empty(),
        "the latest report is older than the failure"
    );
    let reported = scheduler.step(at(2_600), load(500));
    assert_eq!(shard::placements(&reported).len(), 1);
}

#[test]
fn orphans_are_cancelled_but_recent_or_reserved_work_is_not() {
    let mut scheduler = shard::ready(shard::pool(1, 1));
    let start = at(6_000);
    scheduler.step(start, shard::ask_place("g", shard::place(1)));
    let holding = |request, age| wire::Holding {
        request: id::RequestId::new(request),
        phase: wire::Phase::Decoding,
        pieces: unit::Pieces::new(1),
        age_ms: at(age),
    };
    let requests = vec![holding(1, 9_000), holding(2, 1_000), holding(3, 9_000)];
    let listing = scheduler::Input::HeldRequests {
        server: shard::name("d0"),
        held: wire::Held { requests },
    };
    let outputs = scheduler.step(start, listing);
    let cancel = scheduler::Output::Cancel {
        server: shard::name("d0"),
        request: id::RequestId::new(3),
    };
    assert_eq!(outputs, [cancel]);
}

#[test]
fn resumed_streams_are_placed_before_new_requests_of_their_priority() {
    let mut servers = shard::pool(1, 1);
    servers[1].slots = 1;
    let mut scheduler = shard::ready(servers);
    let held = scheduler.step(READY, shard::ask_place("g", shard::place(1)));
    scheduler.step(READY, shard::ask_place("g", shard::place(2)));
    let mut resume = shard::place(3);
    resume.kind = message::PlaceKind::Resume;
    scheduler.step(READY, shard::ask_place("g", resume));
    let finish = message::Finish {
        reservation: shard::placements(&held)[0].reservation,
        output: unit::Tokens::new(1),
        confirmed: true,
    };
    let outputs = scheduler.step(READY, shard::ask("g", message::Request::Finish(finish)));
    let placed = outputs.iter().find_map(|output| match output {
        scheduler::Output::Reply { request, .. } => Some(*request),
        _ => None,
    });
    assert_eq!(placed, Some(id::RequestId::new(3)));
}
