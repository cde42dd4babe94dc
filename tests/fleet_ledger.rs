//! Tests of the leader's sums over the reports of gateways.

use buckthorncleat::clock::Millis;
use buckthorncleat::fleet::crashes::{Answer, Judgement, Loss, Standing, server_digest};
use buckthorncleat::fleet::ledger::Ledger;
use buckthorncleat::fleet::message::{Attempts, Load, Report, Sums};
use buckthorncleat::fleet::totals::View;
use buckthorncleat::id::{BackendServerId, Incarnation, InstanceId, Term};
use buckthorncleat::sorted::Map;
use buckthorncleat::state::model::Fingerprint;
use buckthorncleat::unit::Tokens;

fn name(gateway: u8) -> InstanceId {
    format!("gateway-{gateway}").parse().unwrap()
}

fn server() -> BackendServerId {
    "server-1".parse().unwrap()
}

fn report(gateway: u8) -> Report {
    let load = Load {
        requests: u32::from(gateway),
        memory: Tokens::new(1_000 * u64::from(gateway)),
        prompts: Tokens::new(0),
    };
    Report {
        loads: [(server(), load)].into_iter().collect(),
        ..Report::idle(
            Incarnation::new(1),
            ([10, 0, 0, gateway], 80).into(),
            "a".parse().unwrap(),
        )
    }
}

fn ledger() -> Ledger {
    Ledger::new(Term::new(1), Millis::from_secs(8))
}

/// Returns the load of the other gateways, as the sender of `own` gets it without a state before.
fn load_of_others(sums: &Sums, own: &Report) -> Option<Load> {
    let mut view = View::default();
    view.apply(Term::new(1), &sums.changes);
    view.loads_of_others(&own.loads).get(&server()).copied()
}

#[test]
fn a_gateway_sees_the_loads_of_the_others() {
    let mut ledger = ledger();
    for gateway in 1..=3 {
        ledger.report(Millis::ZERO, &name(gateway), report(gateway));
    }
    let sums = ledger.report(Millis::new(100), &name(1), report(1));
    let load = load_of_others(&sums, &report(1)).unwrap();
    assert_eq!((load.requests, load.memory), (5, Tokens::new(5_000)));
    assert_eq!(sums.gateways, 3);
}

#[test]
fn loads_of_a_silent_gateway_expire() {
    let mut ledger = ledger();
    ledger.report(Millis::ZERO, &name(2), report(2));
    let sums = ledger.report(Millis::new(5_000), &name(1), report(1));
    assert_eq!(load_of_others(&sums, &report(1)), None);
}

#[test]
fn entries_are_gateways_that_reported_recently_and_accept_callers() {
    let mut ledger = ledger();
    ledger.report(Millis::ZERO, &name(1), report(1));
    let mut leaving = report(2);
    leaving.accepts_callers = false;
    ledger.report(Millis::new(800), &name(2), leaving);
    let entries = ledger.entries(Millis::new(800));
    assert_eq!(entries.len(), 1);
    assert_eq!(entries[0].address, ([10, 0, 0, 1], 80).into());
    assert!(ledger.entries(Millis::new(1_000)).is_empty());
}

/// Returns the standing of a fingerprint for a router that knew of none.
fn standing(sums: &Sums, fingerprint: Fingerprint) -> Option<Standing> {
    let mut view = View::default();
    view.apply(Term::new(1), &sums.changes);
    view.standings().get(&fingerprint).copied()
}

/// Guards against copies of one request, each at another gateway, that crash one server after the
/// other.
#[test]
fn a_request_that_lost_three_servers_is_quarantined() {
    let mut ledger = ledger();
    let fingerprint = Fingerprint::new(7);
    let lost = |gateway: u8, fingerprint| Report {
        losses: vec![Loss {
            server: server_digest(&format!("server-{gateway}").parse().unwrap()),
            fingerprints: vec![fingerprint],
            begun: Millis::new(100),
            age: Millis::ZERO,
        }],
        ..report(gateway)
    };
    for gateway in 1..=3 {
        let now = Millis::from_secs(10 + u64::from(gateway));
        let sums = ledger.report(now, &name(gateway), lost(gateway, fingerprint));
        let expected = (gateway > 1).then_some(Standing::Suspect);
        assert_eq!(standing(&sums, fingerprint), expected);
    }
    // From the third loss on it does not run, and is quarantined once all losses of that moment are
    // known.
    let now = Millis::new(13_010);
    assert_eq!(ledger.ask_run(now, &[fingerprint]), Answer::Wait);
    let sums = ledger.report(Millis::new(13_250), &name(4), report(4));
    assert_eq!(standing(&sums, fingerprint), Some(Standing::Quarantined));
    // It may have been lost by chance, so its verdict is not kept for good: after a term it is a suspect,
    // which one run clears.
    assert_eq!(ledger.judgements(), [Judgement::Convict(fingerprint, 1)]);
    let sums = ledger.report(Millis::from_secs(140), &name(4), report(4));
    assert_eq!(standing(&sums, fingerprint), Some(Standing::Suspect));
    let now = Millis::from_secs(140);
    assert_eq!(ledger.ask_run(now, &[fingerprint]), Answer::Granted);
    assert_eq!(ledger.ask_run(now, &[fingerprint]), Answer::Wait);
    let sound = Report {
        sound: vec![(fingerprint, Millis::from_secs(1))],
        ..report(4)
    };
    ledger.report(Millis::from_secs(142), &name(4), sound);
    let sums = ledger.report(Millis::from_secs(143), &name(4), report(4));
    assert_eq!(standing(&sums, fingerprint), None);
    assert_eq!(ledger.judgements(), [Judgement::Clear(fingerprint)]);
    let other = Fingerprint::new(8);
    let sums = ledger.report(Millis::from_secs(200), &name(1), lost(1, other));
    assert_eq!(standing(&sums, other), None);
}

#[test]
fn larger_fleets_report_less_often() {
    let mut ledger = ledger();
    let first = ledger
        .report(Millis::ZERO, &name(1), report(1))
        .report_interval;
    for gateway in 2..=90 {
        ledger.report(Millis::ZERO, &name(gateway), report(gateway));
    }
    let last = ledger
        .report(Millis::ZERO, &name(1), report(1))
        .report_interval;
    assert!(last * 2 > first * 3, "{first}, {last}");
}

/// Makes the report of a gateway in `data_centre` that can't reach the server.
fn unreachable_report(gateway: u8, data_centre: &str) -> Report {
    Report {
        data_centre: data_centre.parse().unwrap(),
        unreachable: vec![server()],
        endings: Map::new(),
        leaving: Vec::new(),
        ..report(gateway)
    }
}

/// A server stops answering under load: once enough gateways have failed to reach it, the others
/// are told, so that they don't each have to fail first.
#[test]
fn a_server_unreachable_from_two_data_centres_is_reported_to_all() {
    let mut ledger = ledger();
    ledger.report(Millis::ZERO, &name(1), report(1));
    ledger.report(Millis::ZERO, &name(2), unreachable_report(2, "a"));
    let sums = ledger.report(Millis::new(10), &name(3), unreachable_report(3, "b"));
    assert!(
        sums.unreachable.is_empty(),
        "a gateway's own report does not count for it"
    );
    let sums = ledger.report(Millis::new(20), &name(1), report(1));
    assert_eq!(sums.unreachable, [server()]);
    // The server is reached again, or the gateways that could not reach it stop reporting.
    ledger.report(Millis::new(30), &name(2), report(2));
    let sums = ledger.report(Millis::new(40), &name(1), report(1));
    assert!(sums.unreachable.is_empty());
    ledger.report(Millis::new(50), &name(2), unreachable_report(2, "a"));
    let sums = ledger.report(Millis::new(1_000), &name(1), report(1));
    assert!(sums.unreachable.is_empty());
}

/// One data centre is cut off from a server that all others can reach: the others keep using it.
#[test]
fn a_server_unreachable_from_one_data_centre_is_not_reported() {
    let mut ledger = ledger();
    ledger.report(Millis::ZERO, &name(1), report(1));
    for gateway in 2..=5 {
        ledger.report(
            Millis::ZERO,
            &name(gateway),
            unreachable_report(gateway, "b"),
        );
    }
    let sums = ledger.report(Millis::new(10), &name(1), report(1));
    assert!(sums.unreachable.is_empty());
}

/// Gateways lose power during a burst of retries: the attempts of their previous incarnations still
/// count, or the fleet would exceed its budget.
#[test]
fn attempts_of_a_restarted_gateway_still_count() {
    let mut ledger = ledger();
    let spent = Attempts {
        requests: 100,
        retries: 20,
    };
    let with_attempts = Report {
        attempts: [("s".parse().unwrap(), spent)].into_iter().collect(),
        ..report(2)
    };
    ledger.report(Millis::ZERO, &name(1), report(1));
    ledger.report(Millis::ZERO, &name(2), with_attempts);
    let restarted = Report {
        incarnation: Incarnation::new(2),
        ..report(2)
    };
    let own = ledger.report(Millis::from_secs(2), &name(2), restarted);
    let others = ledger.report(Millis::from_secs(2), &name(1), report(1));
    for sums in [own, others] {
        assert_eq!(sums.attempts.get(&"s".parse().unwrap()), Some(&spent));
    }
    let late = ledger.report(Millis::from_secs(20), &name(1), report(1));
    assert!(late.attempts.get(&"s".parse().unwrap()).is_none());
}

/// The traffic ends, and a gateway whose document no longer has the service reports nothing of it,
/// while another one still reports that it had no requests.
#[test]
fn attempts_that_have_left_the_window_are_subtracted_once() {
    let mut ledger = ledger();
    let with_requests = |gateway, requests| Report {
        attempts: [(
            "s".parse().unwrap(),
            Attempts {
                requests,
                retries: 0,
            },
        )]
        .into_iter()
        .collect(),
        ..report(gateway)
    };
    ledger.report(Millis::ZERO, &name(1), with_requests(1, 0));
    ledger.report(Millis::ZERO, &name(2), with_requests(2, 5));
    ledger.report(Millis::new(100), &name(2), report(2));
    ledger.report(Millis::new(100), &name(1), with_requests(1, 0));
    ledger.report(Millis::new(200), &name(1), with_requests(1, 3));
    let sums = ledger.report(Millis::new(200), &name(2), with_requests(2, 0));
    let attempts = sums.attempts.get(&"s".parse().unwrap());
    assert_eq!(attempts.map(|a| a.requests), Some(3));
}
