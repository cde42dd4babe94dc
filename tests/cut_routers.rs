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

/// The servers of the second service, which has few.
const APP_SERVERS: usize = 3;

fn app_servers() -> Vec<BackendServerId> {
    let names = (0..APP_SERVERS).map(|n| format!("app-{n}"));
    names.map(|n| n.parse().unwrap()).collect()
}

/// Makes the report of a router that reaches the servers of some services, and has noticed what it has lost
/// if `knows`.
fn report_of(router: usize, reaches_llm: bool, reaches_app: bool, knows: bool) -> Report {
    let mut report = report(1);
    report.address = address(router);
    report.data_centre = ["a", "b", "c"][router % 3].parse().unwrap();
    report.endings = Default::default();
    let services = [
        ("llm", servers(), reaches_llm),
        ("app", app_servers(), reaches_app),
    ];
    for (name, servers, is_reached) in services {
        if is_reached {
            let sound = Endings { calls: 5, lost: 0 };
            let endings = servers.into_iter().map(|s| (s, sound));
            let before = std::mem::take(&mut report.endings);
            let all = before.iter().map(|(s, e)| (s.clone(), *e)).chain(endings);
            report.endings = all.collect();
        } else if knows {
            report.unreachable.extend(servers.iter().take(3).cloned());
            report.extension.lost.insert(name.parse().unwrap(), servers);
        }
    }
    report.unreachable.sort();
    report
}

/// Plays four rounds of reports; returns what the router `asker` is told last, and the addresses that
/// callers are sent to.
fn play_reports(reports: &[Report], asker: usize) -> (Sums, Vec<std::net::SocketAddr>) {
    let mut ledger = Ledger::new(Term::new(1), Millis::from_secs(8));
    let round_ms = (2 * reports.len() as u64).max(100);
    for round in 0..4 {
        for (router, report) in reports.iter().enumerate() {
            let now = Millis::new(round * round_ms + router as u64);
            ledger.report(now, &name(router), report.clone());
        }
    }
    let now = Millis::new(4 * round_ms);
    let sums = ledger.report(now, &name(asker), reports[asker].clone());
    let mut view = View::default();
    view.apply(Term::new(1), &sums.changes);
    let entries = view.entries();
    (sums, entries.iter().map(|e| e.address).collect())
}

/// RECOVER: routers that lost one service with few servers made the others leave its sound servers alone.
#[test]
fn routers_that_lost_one_service_eject_none_of_its_servers() {
    for routers in SIZES {
        let report = |r: usize| report_of(r, true, !is_cut(r), true);
        let reports: Vec<_> = (0..routers).map(report).collect();
        let (sums, _) = play_reports(&reports, 1);
        assert_eq!(sums.unreachable, [], "{routers} routers");
    }
}

/// RECOVER: where each router had lost one of two services, those that reach a service were not known to the
/// others as routers that can help.
#[test]
fn routers_that_reach_a_service_stay_known() {
    for routers in SIZES {
        let reports: Vec<_> = (0..routers)
            .map(|r| report_of(r, r % 2 == 0, r % 2 == 1, true))
            .collect();
        let (sums, entries) = play_reports(&reports, 1);
        assert!(!sums.is_cut_off);
        assert_eq!(entries.len(), routers);
        assert_eq!(sums.unreachable, [], "{routers} routers");
    }
}

/// RECOVER: a router that was sent no callers any more was taken for sound, again and again.
#[test]
fn a_router_without_calls_stays_cut_off_while_its_paths_are_lost() {
    for routers in SIZES {
        let report = |r: usize| report_of(r, !is_cut(r), !is_cut(r), true);
        let mut reports: Vec<_> = (0..routers).map(report).collect();
        for (router, report) in reports.iter_mut().enumerate().filter(|(r, _)| is_cut(*r)) {
            // Its ejections have run out.
            report.unreachable.clear();
            assert!(report.endings.is_empty(), "router {router}");
        }
        let (_, entries) = play_reports(&reports, 1);
        let listed = (0..routers).filter(|r| is_cut(*r) && entries.contains(&address(*r)));
        assert_eq!(listed.count(), 0, "{routers} routers");
    }
}

/// A service that is down for all routers takes none of them from the callers, whoever has noticed it.
#[test]
fn routers_stay_while_a_service_is_down_for_all() {
    for routers in SIZES {
        let reports: Vec<_> = (0..routers)
            .map(|r| report_of(r, true, false, r % 2 == 0))
            .collect();
        let (sums, entries) = play_reports(&reports, 1);
        assert_eq!(entries.len(), routers);
        assert_eq!(sums.unreachable, app_servers(), "{routers} routers");
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
