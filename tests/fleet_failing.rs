//! Servers that lose calls, found from the reports of a whole fleet. No network: the real ledger and
//! the real balancers, time steps of a millisecond and seeded arrivals.

use buckthorncleat::clock::Millis;
use buckthorncleat::fleet::ledger::Ledger;
use buckthorncleat::fleet::message::{Endings, Load, Report, Server, ServerState};
use buckthorncleat::id::{BackendServerId, Incarnation, InstanceId, Term};
use buckthorncleat::router::balancer::{Balancer, Outcome};
use buckthorncleat::sorted::Map;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

const SERVERS: usize = 5;
const CALL_TIME_MS: u64 = 60;
const END_MS: u64 = 8_000;

fn server_id(number: usize) -> BackendServerId {
    format!("plain-{number}").parse().unwrap()
}

fn gateway_id(number: usize) -> InstanceId {
    format!("gateway-{number}").parse().unwrap()
}

fn balancer() -> Balancer {
    let server = |number| Server {
        id: server_id(number),
        service: "shop".parse().unwrap(),
        address: ([10, 0, 0, number as u8], 80).into(),
        data_centre: "a".parse().unwrap(),
        slots: 6,
        state: ServerState::Ready,
        stage: None,
        version: None,
        started_at: None,
    };
    let mut balancer = Balancer::new("a".parse().unwrap());
    let list: Vec<Server> = (0..SERVERS).map(server).collect();
    balancer.set_list(Millis::ZERO, &list);
    balancer
}

fn report(gateway: usize, endings: Map<BackendServerId, Endings>) -> Report {
    Report {
        endings,
        ..Report::idle(
            Incarnation::new(1),
            ([10, 1, 0, gateway as u8], 80).into(),
            ["a", "b"][gateway % 2].parse().unwrap(),
        )
    }
}

/// A fleet of routers that send calls to servers, of which some lose a share.
struct Play {
    routers: usize,
    report_interval_ms: u64,
    calls_per_second: u32,
    /// The share of calls that each server loses.
    loss: [f64; SERVERS],
    shares_news: bool,
}

impl Play {
    /// Returns the number of lost calls, and whether any server was ever left alone by news.
    fn run(&self, seed: u64) -> (usize, bool) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut ledger = Ledger::new(Term::new(1), Millis::from_secs(8));
        let mut routers: Vec<Balancer> = (0..self.routers).map(|_| balancer()).collect();
        let call = Load {
            requests: 1,
            ..Load::default()
        };
        let mut running: Vec<(u64, usize, usize)> = Vec::new();
        let (mut lost, mut has_news) = (0, false);
        for now_ms in 0..END_MS {
            let now = Millis::new(now_ms);
            running.retain(|&(end, router, server)| {
                if end == now_ms {
                    let is_lost = rng.random_bool(self.loss[server]);
                    lost += usize::from(is_lost);
                    let outcome = match is_lost {
                        true => Outcome::Lost,
                        false => Outcome::Succeeded,
                    };
                    routers[router].remove_load(now, &server_id(server), call, outcome);
                }
                end != now_ms
            });
            for (number, router) in routers.iter_mut().enumerate() {
                if (now_ms + 2 * number as u64).is_multiple_of(self.report_interval_ms) {
                    let report = report(number, router.endings(now));
                    let sums = ledger.report(now, &gateway_id(number), report);
                    has_news |= !sums.unreachable.is_empty();
                    if self.shares_news {
                        router.set_ejected(sums.unreachable);
                    }
                }
            }
            if rng.random_ratio(self.calls_per_second, 1_000) {
                let router = rng.random_range(0..self.routers);
                let service = "shop".parse().unwrap();
                let pick = routers[router].pick_plain(now, &service, &[], rng.random());
                if let Ok(pick) = pick {
                    routers[router].add_load(&pick.id, call);
                    let server = pick.id.as_str()["plain-".len()..].parse().unwrap();
                    running.push((now_ms + CALL_TIME_MS, router, server));
                }
            }
        }
        (lost, has_news)
    }
}

/// The users' platform at 191 gateways.
const LARGE: Play = Play {
    routers: 191,
    report_interval_ms: 382,
    calls_per_second: 140,
    loss: [0.0; SERVERS],
    shares_news: true,
};

/// Guards against each router of a large fleet losing calls at a broken server before it leaves the
/// server alone.
#[test]
fn a_server_that_breaks_off_calls_is_left_alone_by_a_large_fleet() {
    let loss = [0.95, 0.0, 0.0, 0.0, 0.0];
    for seed in 1..=3 {
        let (alone, _) = Play {
            loss,
            shares_news: false,
            ..LARGE
        }
        .run(seed);
        let (shared, _) = Play { loss, ..LARGE }.run(seed);
        assert!(shared * 2 <= alone, "seed {seed}: {shared} of {alone}");
    }
}

/// Guards against servers being left alone that lose few answers, as some do all day.
#[test]
fn servers_that_lose_few_calls_are_not_left_alone() {
    for seed in 1..=3 {
        let loss = [0.05, 0.05, 0.0, 0.0, 0.0];
        let (_, has_news) = Play { loss, ..LARGE }.run(seed);
        assert!(!has_news, "seed {seed}");
    }
}

/// Guards against calls being pushed from server to server when all of them lose calls.
#[test]
fn no_server_is_left_alone_when_all_lose_calls() {
    for seed in 1..=3 {
        let loss = [0.6; SERVERS];
        let (_, has_news) = Play { loss, ..LARGE }.run(seed);
        assert!(!has_news, "seed {seed}");
    }
}
