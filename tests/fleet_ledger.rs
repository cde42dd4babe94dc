//! The leader's sums over the reports of gateways.

use buckthorncleat::clock::Millis;
use buckthorncleat::fleet::ledger::Ledger;
use buckthorncleat::fleet::message::{Attempts, Fingerprint, Load, Loss, Report};
use buckthorncleat::id::{BackendServerId, Incarnation, InstanceId};
use buckthorncleat::sorted::Map;
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
        incarnation: Incarnation::new(1),
        address: ([10, 0, 0, gateway], 80).into(),
        data_centre: "a".parse().unwrap(),
        accepts: true,
        document: None,
        list: None,
        gateways: 1,
        spent: Map::new(),
        recent: Map::new(),
        attempts: Map::new(),
        loads: [(server(), load)].into_iter().collect(),
        losses: Vec::new(),
        unreachable: Vec::new(),
    }
}

fn ledger() -> Ledger {
    Ledger::new(Millis::from_secs(8))
}

#[test]
fn a_gateway_sees_the_loads_of_the_others() {
    let mut ledger = ledger();
    for gateway in 1..=3 {
        ledger.report(Millis::ZERO, &name(gateway), report(gateway));
    }
    let sums = ledger.report(Millis::new(100), &name(1), report(1));
    let load = sums.loads.get(&server()).unwrap();
    assert_eq!((load.requests, load.memory), (5, Tokens::new(5_000)));
    assert_eq!(sums.gateways, 3);
}

#[test]
fn loads_of_a_gateway_that_is_gone_end() {
    let mut ledger = ledger();
    ledger.report(Millis::ZERO, &name(2), report(2));
    let sums = ledger.report(Millis::new(5_000), &name(1), report(1));
    assert!(sums.loads.is_empty());
}

#[test]
fn entries_are_alive_and_accept() {
    let mut ledger = ledger();
    ledger.report(Millis::ZERO, &name(1), report(1));
    let mut leaving = report(2);
    leaving.accepts = false;
    ledger.report(Millis::new(800), &name(2), leaving);
    let entries = ledger.entries(Millis::new(800));
    assert_eq!(entries.len(), 1);
    assert_eq!(entries[0].address, ([10, 0, 0, 1], 80).into());
    assert!(ledger.entries(Millis::new(1_000)).is_empty());
}

#[test]
fn a_request_that_lost_three_servers_is_barred() {
    let mut ledger = ledger();
    let fingerprint = Fingerprint(7);
    for gateway in 1..=3 {
        let mut lost = report(gateway);
        lost.losses.push(Loss {
            fingerprint,
            server: u64::from(gateway),
        });
        let sums = ledger.report(Millis::ZERO, &name(gateway), lost);
        assert_eq!(sums.quarantined.contains(&fingerprint), gateway == 3);
    }
    let later = Millis::from_secs(200);
    let mut other = report(1);
    other.losses.push(Loss {
        fingerprint: Fingerprint(8),
        server: 1,
    });
    assert!(ledger.report(later, &name(1), other).quarantined.is_empty());
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

/// A report of a gateway in a data centre that can't reach the server.
fn cut_off(gateway: u8, data_centre: &str) -> Report {
    Report {
        data_centre: data_centre.parse().unwrap(),
        unreachable: vec![server()],
        ..report(gateway)
    }
}

/// Pattern: a server that went dark under load; routers don't each find out by themselves.
#[test]
fn a_server_that_two_data_centres_cannot_reach_is_told_to_all() {
    let mut ledger = ledger();
    ledger.report(Millis::ZERO, &name(1), report(1));
    ledger.report(Millis::ZERO, &name(2), cut_off(2, "a"));
    let sums = ledger.report(Millis::new(10), &name(3), cut_off(3, "b"));
    assert!(
        sums.unreachable.is_empty(),
        "its own word is not the others'"
    );
    let sums = ledger.report(Millis::new(20), &name(1), report(1));
    assert_eq!(sums.unreachable, [server()]);
    // It is reached again, or those that could not reach it fell silent.
    ledger.report(Millis::new(30), &name(2), report(2));
    let sums = ledger.report(Millis::new(40), &name(1), report(1));
    assert!(sums.unreachable.is_empty());
    ledger.report(Millis::new(50), &name(2), cut_off(2, "a"));
    let sums = ledger.report(Millis::new(1_000), &name(1), report(1));
    assert!(sums.unreachable.is_empty());
}

/// Pattern: one data centre is cut off from a server that all others reach.
#[test]
fn a_cut_of_one_data_centre_is_not_told() {
    let mut ledger = ledger();
    ledger.report(Millis::ZERO, &name(1), report(1));
    for gateway in 2..=5 {
        ledger.report(Millis::ZERO, &name(gateway), cut_off(gateway, "b"));
    }
    let sums = ledger.report(Millis::new(10), &name(1), report(1));
    assert!(sums.unreachable.is_empty());
}

/// Pattern: routers that lose power amid a burst of repeats; their attempts count on.
#[test]
fn attempts_of_a_gateway_that_starts_anew_are_not_forgotten() {
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
    let anew = Report {
        incarnation: Incarnation::new(2),
        ..report(2)
    };
    let own = ledger.report(Millis::from_secs(2), &name(2), anew);
    let others = ledger.report(Millis::from_secs(2), &name(1), report(1));
    for sums in [own, others] {
        assert_eq!(sums.attempts.get(&"s".parse().unwrap()), Some(&spent));
    }
    let late = ledger.report(Millis::from_secs(20), &name(1), report(1));
    assert!(late.attempts.get(&"s".parse().unwrap()).is_none());
}
