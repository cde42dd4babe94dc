//! Many routers that place streams on the same decode servers, each with the real balancer and with
//! news of the others that is old. No network: time steps of a millisecond and seeded arrivals.

#[path = "support/model_service.rs"]
mod model_service;

use buckthorncleat::clock::Millis;
use buckthorncleat::fleet::message::{Load, Server, ServerState, Stage};
use buckthorncleat::id::BackendServerId;
use buckthorncleat::router::balancer::{Balancer, Outcome, Requirements};
use buckthorncleat::sorted::Map;
use buckthorncleat::unit::{RequestsPerSecond, Tokens};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use model_service::{SERVER_MEMORY, service};

const SERVERS: usize = 48;
const STREAM_MEMORY: u64 = 4_000;
const STREAM_TIME_MS: u64 = 2_000;
const END_MS: u64 = 30_000;
/// Figures are taken after this time, when the first streams have ended.
const WARM_UP_MS: u64 = 5_000;

/// The users' platform at 191 gateways: each reports every 2 ms times their number.
const LARGE: Fleet = Fleet {
    routers: 191,
    report_interval_ms: 382,
};
/// Its small twin.
const SMALL: Fleet = Fleet {
    routers: 9,
    report_interval_ms: 100,
};

#[derive(Clone, Copy)]
struct Fleet {
    routers: usize,
    report_interval_ms: u64,
}

struct Figures {
    streams: usize,
    /// Placements at servers without enough free memory, which they refuse.
    refused: usize,
    /// The streams of the server that ran most, relative to the mean of all servers.
    busiest_over_mean: f64,
}

fn server_id(number: usize) -> BackendServerId {
    format!("i-{number:04}").parse().unwrap()
}

fn load() -> Load {
    Load {
        requests: 1,
        memory: Tokens::new(STREAM_MEMORY),
        prompts: Tokens::new(0),
    }
}

fn new_balancer() -> Balancer {
    let server = |number| Server {
        id: server_id(number),
        service: "model".parse().unwrap(),
        address: ([10, 0, 0, number as u8], 80).into(),
        data_centre: "a".parse().unwrap(),
        slots: 32,
        state: ServerState::Ready,
        stage: Some(Stage::Decode),
        version: None,
        started_at: None,
    };
    let mut balancer = Balancer::new("a".parse().unwrap());
    balancer.set_list(Millis::ZERO, &(0..SERVERS).map(server).collect::<Vec<_>>());
    balancer
}

impl Fleet {
    /// Plays streams that arrive at `per_second` in the whole fleet, up to 30 s.
    fn play(self, per_second: u64, seed: u64) -> Figures {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let service = service();
        let mut balancers: Vec<Balancer> = (0..self.routers).map(|_| new_balancer()).collect();
        let mut reported = vec![Map::<BackendServerId, Load>::new(); self.routers];
        let mut used = [0_u64; SERVERS];
        let mut ran = [0_u64; SERVERS];
        let mut running: Vec<(u64, usize, usize)> = Vec::new();
        let mut figures = Figures {
            streams: 0,
            refused: 0,
            busiest_over_mean: 0.0,
        };
        for now_ms in 0..END_MS {
            let now = Millis::new(now_ms);
            running.retain(|&(end, router, server)| {
                if end == now_ms {
                    used[server] -= STREAM_MEMORY;
                    let id = server_id(server);
                    balancers[router].remove_load(now, &id, load(), Outcome::Succeeded);
                }
                end != now_ms
            });
            for (router, balancer) in balancers.iter_mut().enumerate() {
                if (now_ms + 2 * router as u64).is_multiple_of(self.report_interval_ms) {
                    self.exchange(now, router, balancer, &mut reported, per_second);
                }
            }
            if rng.random_range(0..1_000) < per_second {
                let router = rng.random_range(0..self.routers);
                let requirements = Requirements {
                    memory: Tokens::new(STREAM_MEMORY),
                    past_target: false,
                };
                let random = rng.random();
                let pick = balancers[router].pick_decode(now, &service, requirements, &[], random);
                let is_counted = now_ms >= WARM_UP_MS;
                figures.streams += usize::from(is_counted);
                let server = pick
                    .ok()
                    .map(|p| p.id.as_str()[2..].parse::<usize>().unwrap());
                let room = |s: &usize| used[*s] + STREAM_MEMORY <= SERVER_MEMORY;
                match server.filter(room) {
                    Some(server) => {
                        used[server] += STREAM_MEMORY;
                        ran[server] += u64::from(is_counted);
                        balancers[router].add_load(&server_id(server), load());
                        running.push((now_ms + STREAM_TIME_MS, router, server));
                    }
                    None => figures.refused += usize::from(is_counted),
                }
            }
        }
        let mean = ran.iter().sum::<u64>() as f64 / SERVERS as f64;
        figures.busiest_over_mean = *ran.iter().max().unwrap() as f64 / mean;
        figures
    }

    /// A report of one router and the summary that answers it.
    fn exchange(
        self,
        now: Millis,
        router: usize,
        balancer: &mut Balancer,
        reported: &mut [Map<BackendServerId, Load>],
        per_second: u64,
    ) {
        reported[router] = balancer.loads();
        let mut others = Map::<BackendServerId, Load>::new();
        for (_, loads) in reported.iter().enumerate().filter(|(i, _)| *i != router) {
            for (server, load) in loads.iter() {
                others
                    .get_or_insert_with(server.clone(), Default::default)
                    .add(*load);
            }
        }
        balancer.set_remote_loads(now, others);
        let rate = RequestsPerSecond::new(per_second);
        let rates = [("model".parse().unwrap(), rate)];
        let interval = Millis::new(self.report_interval_ms);
        balancer.set_remote_rates(rates.into_iter().collect(), interval);
    }
}

/// News is 0.2 to 0.4 s old at 191 routers, in which the fleet places 20 to 30 streams. Servers that
/// look least busy must not get all of them: a stream must not need more calls to find a server than
/// in a small fleet, at half and at two thirds of the memory.
#[test]
fn streams_find_a_server_as_well_in_a_large_fleet() {
    let calls =
        |figures: &Figures| (figures.streams + figures.refused) as f64 / figures.streams as f64;
    for per_second in [80, 115] {
        for seed in 0..3 {
            let small = SMALL.play(per_second, seed);
            let large = LARGE.play(per_second, seed);
            let ratio = calls(&large) / calls(&small);
            assert!(ratio <= 1.1, "{per_second}/s, seed {seed}: {ratio}");
            let busiest = large.busiest_over_mean;
            assert!(busiest <= 1.35, "{per_second}/s, seed {seed}: {busiest}");
        }
    }
}
