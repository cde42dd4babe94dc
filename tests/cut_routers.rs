//! Routers that reach no server: what the leader makes of their reports, without network.

use buckthorncleat::clock::Millis;
use buckthorncleat::fleet::ledger::Ledger;
use buckthorncleat::fleet::message::{Endings, Report, Sums};
use buckthorncleat::fleet::totals::View;
use buckthorncleat::id::{BackendServerId, Incarnation, InstanceId, Term};

const SERVERS: usize = 15;
const SIZES: [usize; 3] = [9, 83, 300];

fn name(router: usize) -> InstanceId {
    format!("router-{router}").parse().unwrap()
}

fn servers() -> Vec<BackendServerId> {
    let names = (0..SERVERS).map(|n| format!("server-{n:02}"));
    names.map(|n| n.parse().unwrap()).collect()
}

fn address(router: usize) -> std::net::SocketAddr {
    ([10, 0, (router / 250) as u8, (router % 250) as u8], 80).into()
}

/// A third of the routers, in two of three data centres, reach no server.
fn is_cut(router: usize) -> bool {
    matches!(router % 9, 0 | 3 | 4)
}

fn report(router: usize) -> Report {
    let data_centre = ["a", "b", "c"][router % 3].parse().unwrap();
    let idle = Report::idle(Incarnation::new(1), address(router), data_centre);
    let sound = Endings { calls: 5, lost: 0 };
    if is_cut(router) {
        Report {
            unreachable: servers(),
            ..idle
        }
    } else {
        Report {
            endings: servers().into_iter().map(|s| (s, sound)).collect(),
            ..idle
        }
    }
}

/// Plays four rounds of reports, each as long as the leader asks for; returns what a sound router is
/// told last.
fn play(routers: usize) -> Sums {
    let mut ledger = Ledger::new(Term::new(1), Millis::from_secs(8));
    let round_ms = (2 * routers as u64).max(100);
    for round in 0..4 {
        for router in 0..routers {
            let now = Millis::new(round * round_ms + router as u64);
            ledger.report(now, &name(router), report(router));
        }
    }
    ledger.report(Millis::new(4 * round_ms), &name(1), report(1))
}

/// RECOVER: the reports of routers that reach no server made the others leave sound servers alone.
#[test]
fn routers_that_reach_no_server_eject_none() {
    for routers in SIZES {
        let sums = play(routers);
        assert_eq!(sums.unreachable, [], "{routers} routers");
    }
}

/// RECOVER: callers were sent to routers that reach no server, though others do.
#[test]
fn callers_are_not_sent_to_routers_that_reach_no_server() {
    for routers in SIZES {
        let mut view = View::default();
        view.apply(Term::new(1), &play(routers).changes);
        let entries = view.entries();
        let cut = (0..routers).filter(|r| is_cut(*r));
        let listed = cut.filter(|r| entries.iter().any(|e| e.address == address(*r)));
        assert_eq!(listed.count(), 0, "{routers} routers");
    }
}

/// A server that is down for all routers must not take any of them from the callers.
#[test]
fn routers_stay_while_servers_are_down_for_all() {
    for down in [3, SERVERS / 3, SERVERS] {
        let mut ledger = Ledger::new(Term::new(1), Millis::from_secs(8));
        let unreachable: Vec<_> = servers().into_iter().take(down).collect();
        for round in 0..4 {
            for router in 0..9 {
                let mut report = report(1);
                report.address = address(router);
                report.unreachable.clone_from(&unreachable);
                let now = Millis::new(round * 100 + router as u64);
                let sums = ledger.report(now, &name(router), report);
                assert!(!sums.is_cut_off, "{down} servers down");
            }
        }
    }
}
