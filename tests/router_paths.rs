//! Which paths to services a router takes for lost, and whom it asks for help, without network.

use std::net::SocketAddr;

use buckthorncleat::clock::Millis;
use buckthorncleat::document::ServiceId;
use buckthorncleat::fleet::message::Entry;
use buckthorncleat::http::body;
use buckthorncleat::id::{BackendServerId, DataCentre};
use buckthorncleat::router::helpers::Helpers;
use buckthorncleat::router::paths::{Change, Paths};
use buckthorncleat::router::request::{Attempts, Ended, Refusal};

fn service(name: &str) -> ServiceId {
    name.parse().unwrap()
}

fn server(n: usize) -> BackendServerId {
    format!("s-{n:02}").parse().unwrap()
}

fn at(ms: u64) -> Millis {
    Millis::new(ms)
}

/// RECOVER: a router tried one lost server after the other for each request.
#[test]
fn a_path_is_lost_when_no_server_is_reached_any_more() {
    for listed in [1, 2, 3, 12, 140] {
        let (llm, app) = (service("llm"), service("app"));
        let mut paths = Paths::default();
        let needed = listed.min(3);
        for n in 0..needed - 1 {
            assert_eq!(
                paths.record_unreached(at(0), &llm, &server(n), listed),
                None
            );
            // The same one again tells nothing new.
            assert_eq!(
                paths.record_unreached(at(1), &llm, &server(n), listed),
                None
            );
        }
        let change = paths.record_unreached(at(2), &llm, &server(needed - 1), listed);
        assert_eq!(change, Some(Change::Lost), "{listed} servers");
        assert!(paths.is_lost(&llm) && !paths.is_lost(&app));
        let after = at(1_000);
        let change = paths.record_reached(at(1_002), &llm);
        assert_eq!(change, Some(Change::Restored { after }));
        assert!(!paths.is_lost(&llm));
    }
}

/// A path is not lost while some of the servers are reached in between.
#[test]
fn a_path_to_some_of_the_servers_is_not_lost() {
    let llm = service("llm");
    let mut paths = Paths::default();
    for n in 0..100 {
        paths.record_unreached(at(n), &llm, &server(n as usize % 10), 12);
        paths.record_unreached(at(n), &llm, &server((n as usize + 1) % 10), 12);
        paths.record_reached(at(n), &llm);
    }
    assert!(!paths.is_lost(&llm));
}

/// A lost path is probed often while others serve its requests, and seldom while the service may be down.
#[test]
fn probes_are_few_while_nobody_reaches_the_service() {
    let llm = service("llm");
    let mut paths = Paths::default();
    paths.record_unreached(at(0), &llm, &server(0), 1);
    let mut probes = |from: u64, helped: bool| {
        let mut count = 0;
        for ms in from..from + 4_000 {
            if helped {
                paths.record_served_elsewhere(at(ms), &llm);
            }
            count += paths.due_probes(at(ms), std::slice::from_ref(&llm)).len();
        }
        count
    };
    assert!((3..=5).contains(&probes(0, false)));
    assert!((15..=17).contains(&probes(4_000, true)));
}

/// RECOVER: a router that had lost two services knew it of the one that had callers, and stayed in the advice.
#[test]
fn services_that_were_not_reached_lately_are_probed_beside_a_lost_one() {
    let (llm, app) = (service("llm"), service("app"));
    let listed = [app.clone(), llm.clone()];
    let mut paths = Paths::default();
    paths.record_reached(at(0), &app);
    paths.record_unreached(at(10), &llm, &server(0), 1);
    assert_eq!(paths.due_probes(at(500), &listed), [(llm.clone(), 1)]);
    assert_eq!(paths.due_probes(at(1_100), &listed), [(app.clone(), 3)]);
    paths.record_reached(at(1_200), &app);
    let due = paths.due_probes(at(2_000), &listed);
    assert_eq!(due, [(llm, 1)], "{app} was reached meanwhile");
}

/// REFUSED: a request that may have run at a server was passed on, and the other router's refusal told the
/// caller that it had not run.
#[test]
fn a_refusal_elsewhere_promises_nothing_of_the_attempts_here() {
    for (sent, may_have_run) in [(0, false), (1, false), (1, true)] {
        let attempts = Attempts {
            sent,
            may_have_run,
            may_go_on: true,
            is_timed_out: false,
        };
        let ended = Ended::new(Refusal::Unreached("no server", at(100)), attempts);
        assert!(ended.pass_on.is_some());
        assert_eq!(ended.refusal.is_not_run(), !may_have_run);
        for status in [200, 404, 408, 421, 429, 500, 502, 503, 504] {
            let status = hyper::StatusCode::from_u16(status).unwrap();
            let accepted = ended.accept(body::answer(status, "")).is_ok();
            let promises = matches!(status.as_u16(), 408 | 421 | 429 | 503);
            assert_eq!(
                accepted,
                !(promises && may_have_run),
                "{status}, {attempts:?}"
            );
        }
    }
}

/// Returns routers of three data centres.
fn entries(routers: usize) -> Vec<Entry> {
    let entry = |n: usize| Entry {
        address: SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8], 80)),
        data_centre: ["a", "b", "c"][n % 3].parse().unwrap(),
    };
    (0..routers).map(entry).collect()
}

/// Requests of all cut routers for one service, with all but one data centre cut: the share that finds a
/// router that reaches the service, and the most requests that one of those gets.
fn ask_around(routers: usize) -> (f64, usize) {
    let (llm, entries) = (service("llm"), entries(routers));
    let is_sound = |n: usize| n % 3 == 2;
    let (mut served, mut asked) = (0, 0);
    let mut load = vec![0; routers];
    for own in (0..routers).filter(|n| !is_sound(*n)) {
        let mut helpers = Helpers::default();
        let centre: DataCentre = entries[own].data_centre.clone();
        for request in 0..40 {
            let now = at(1_000 + request * 50);
            let random = (own as u64 * 7_919 + request).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 17;
            let own_entry = (entries[own].address, &centre);
            asked += 1;
            for router in helpers.candidates(now, &llm, own_entry, &entries, random) {
                let n = entries.iter().position(|e| e.address == router).unwrap();
                assert_ne!(n, own, "a router asks itself");
                if is_sound(n) {
                    helpers.record_served(now, &llm, router);
                    load[n] += 1;
                    served += 1;
                    break;
                }
                helpers.record_declined(now, &llm, router);
            }
        }
    }
    let most = load.into_iter().max().unwrap();
    (f64::from(served) / f64::from(asked), most)
}

/// RECOVER: a cut router asked routers that are cut as well, and gave up.
#[test]
fn helpers_are_found_while_two_of_three_data_centres_are_cut() {
    for routers in [9, 83, 300] {
        let (served, most) = ask_around(routers);
        assert!(
            served >= 0.95,
            "{served} of the requests at {routers} routers"
        );
        // Two cut routers for each sound one, with 40 requests each.
        assert!(most <= 240, "{most} requests at one of {routers} routers");
    }
}
