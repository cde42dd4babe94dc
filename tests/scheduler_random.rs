//! Random runs of the scheduler against simulated engines and gateways that fail.
//!
//! `SCHEDULER_SEEDS=1000 SCHEDULER_STEPS=20000 cargo test --release --test scheduler_random` runs
//! more and longer ones than the default.

#[path = "support/shard.rs"]
mod shard;

use std::env;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand::seq::IndexedRandom as _;

use buckthorncleat::backend::wire;
use buckthorncleat::clock;
use buckthorncleat::config::settings;
use buckthorncleat::controller::scheduler;
use buckthorncleat::controller::scheduler::message;
use buckthorncleat::id;
use buckthorncleat::state::model;
use buckthorncleat::unit;

/// How long a server may hold work after its gateway has gone and the owner has started. It is above
/// the sum of the time before an owner looks for orphans (3.5 s), the interval between listings
/// (1 s) and the delays after lost cancellations (3.5 s).
const MAX_ORPHAN_TIME: clock::Millis = clock::Millis::new(8_500);

/// The most cancellations of one request that are lost at a server.
const MAX_LOST_CANCELS: u32 = 3;

#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    Prefill,
    Transfer,
    Decode,
}

#[derive(Clone)]
struct Live {
    gateway: usize,
    place: message::Place,
    placement: message::Placement,
    stage: Stage,
    renewed: clock::Millis,
}

struct Holding {
    server: id::BackendServerId,
    request: id::RequestId,
    since: clock::Millis,
    lost_cancels: u32,
    /// Since when no gateway runs the request, and whether the current owner has known of it.
    orphan: Option<(clock::Millis, bool)>,
}

struct Asked {
    gateway: usize,
    place: message::Place,
    deadline: clock::Millis,
}

struct World {
    rng: rand_chacha::ChaCha8Rng,
    now: clock::Millis,
    epoch: u64,
    owner_since: clock::Millis,
    settings: scheduler::Settings,
    scheduler: scheduler::Scheduler,
    servers: Vec<model::BackendServer>,
    asked: Vec<Asked>,
    live: Vec<Live>,
    held: Vec<Holding>,
    unanswered_cancels: Vec<(id::BackendServerId, id::RequestId)>,
    next_request: u128,
    gateways: usize,
    /// When gateways report to a new owner.
    reports: Vec<(clock::Millis, usize)>,
    last_listing: clock::Millis,
    placed: u64,
}

impl World {
    fn new(seed: u64) -> Self {
        let servers = shard::pool(3, 3);
        let settings = policy(seed);
        Self {
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            now: clock::Millis::ZERO,
            epoch: 0,
            owner_since: clock::Millis::ZERO,
            scheduler: shard::ready_with(servers.clone(), settings.clone()),
            settings,
            servers,
            asked: Vec::new(),
            live: Vec::new(),
            held: Vec::new(),
            unanswered_cancels: Vec::new(),
            next_request: 0,
            gateways: 3,
            reports: Vec::new(),
            last_listing: clock::Millis::ZERO,
            placed: 0,
        }
    }

    fn step_randomly(&mut self) {
        self.now = self.now + clock::Millis::new(self.rng.random_range(0..20));
        if self.scheduler.next_wakeup() <= self.now {
            self.step(scheduler::Input::Tick);
        }
        match self.rng.random_range(0..1_000) {
            0..300 => self.request_place(),
            300..700 => self.advance(),
            700..720 => self.give_up(),
            720..760 => self.renew(),
            900..903 => self.stop_gateway(),
            903..906 => self.change_servers(),
            906..916 => self.fail_server(),
            916..917 if self.rng.random_bool(0.5) => self.change_owner(),
            917..950 => self.report_load(),
            _ => self.step(scheduler::Input::Tick),
        }
        self.report_reservations();
        if self.last_listing + clock::Millis::from_secs(1) < self.now {
            self.last_listing = self.now;
            self.list_held();
            self.report_lost_cancels();
        }
        self.check_invariants();
    }

    fn gateway_name(&self, gateway: usize) -> String {
        format!("g{gateway}")
    }

    fn request_place(&mut self) {
        self.next_request += 1;
        let mut place = shard::place(self.next_request);
        let pieces = self.rng.random_range(0..6);
        place.prompt = unit::Tokens::new(pieces * unit::PIECE_TOKENS + 100);
        place.prefix = (0..pieces)
            .map(|n| n * 7 + self.rng.random_range(0..2))
            .collect();
        place.account = shard::name(["a", "b", "c"].choose(&mut self.rng).expect("names"));
        place.first_token = clock::Millis::new(self.rng.random_range(50..4_000));
        place.suspect = self.rng.random_bool(0.02);
        if self.rng.random_bool(0.1) {
            place.exclude = vec![self.any_server()];
        }
        if self.rng.random_bool(0.1) {
            place.kind = message::PlaceKind::Resume;
        }
        let gateway = self.rng.random_range(0..self.gateways);
        self.asked.push(Asked {
            gateway,
            deadline: self.now + place.first_token,
            place: place.clone(),
        });
        self.step(shard::ask_place(&self.gateway_name(gateway), place));
    }

    fn any_server(&mut self) -> id::BackendServerId {
        let server = self.servers.choose(&mut self.rng).expect("servers");
        server.id.clone()
    }

    fn advance(&mut self) {
        if self.live.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..self.live.len());
        let live = self.live[at].clone();
        let reservation = live.placement.reservation;
        let request = match live.stage {
            Stage::Prefill => {
                self.live[at].stage = Stage::Transfer;
                let cached = unit::Tokens::new(self.rng.random_range(0..100));
                let kv = unit::Bytes::new(100_000);
                message::Request::Prefilled(message::Prefilled {
                    reservation,
                    cached,
                    kv,
                })
            }
            Stage::Transfer => {
                self.live[at].stage = Stage::Decode;
                self.hold(&live.placement.decode, live.place.request);
                self.free(&live.placement.prefill, live.place.request);
                message::Request::Transferred(reservation)
            }
            Stage::Decode if self.rng.random_bool(0.9) => return,
            Stage::Decode => {
                self.free(&live.placement.decode, live.place.request);
                return self.finish(at, true);
            }
        };
        self.step(shard::ask(&self.gateway_name(live.gateway), request));
    }

    fn give_up(&mut self) {
        if !self.live.is_empty() {
            let at = self.rng.random_range(0..self.live.len());
            self.mark_orphan(at);
            self.finish(at, false);
        }
    }

    fn finish(&mut self, at: usize, confirmed: bool) {
        let live = self.live.swap_remove(at);
        let output = unit::Tokens::new(self.rng.random_range(0..200));
        let reservation = live.placement.reservation;
        let finish = message::Finish {
            reservation,
            output,
            confirmed,
        };
        let request = message::Request::Finish(finish);
        self.step(shard::ask(&self.gateway_name(live.gateway), request));
    }

    fn renew(&mut self) {
        for gateway in 0..self.gateways {
            let requests = self.live.iter_mut().filter(|l| l.gateway == gateway);
            let numbers = requests.map(|live| {
                live.renewed = self.now;
                live.placement.reservation
            });
            let request = message::Request::Renew(numbers.collect());
            self.step(shard::ask(&self.gateway_name(gateway), request));
        }
    }

    /// Stops a gateway and tells the owner. A new gateway continues under the same id.
    fn stop_gateway(&mut self) {
        let gateway = self.rng.random_range(0..self.gateways);
        while let Some(at) = self.live.iter().position(|l| l.gateway == gateway) {
            self.mark_orphan(at);
            self.live.swap_remove(at);
        }
        self.asked.retain(|asked| asked.gateway != gateway);
        let gone = shard::name(&self.gateway_name(gateway));
        self.step(scheduler::Input::GatewayGone(gone));
    }

    fn change_servers(&mut self) {
        let at = self.rng.random_range(0..self.servers.len());
        let states = [
            model::ServerState::InService,
            model::ServerState::InService,
            model::ServerState::Leaving,
            model::ServerState::Out,
        ];
        self.servers[at].state = *states.choose(&mut self.rng).expect("states");
        let mut servers = self.servers.clone();
        if self.rng.random_bool(0.2) {
            let gone = servers.remove(at);
            self.held.retain(|held| held.server != gone.id);
            self.step(shard::configure(servers));
            self.abort_requests_at(&gone.id);
        }
        self.step(shard::configure(self.servers.clone()));
    }

    /// Aborts the requests that ran at a server that has left.
    fn abort_requests_at(&mut self, server: &id::BackendServerId) {
        let uses = |l: &Live| l.placement.prefill == *server || l.placement.decode == *server;
        while let Some(at) = self.live.iter().position(uses) {
            self.mark_orphan(at);
            self.finish(at, false);
        }
    }

    fn fail_server(&mut self) {
        let request = message::Request::ServerFailed(self.any_server());
        self.step(shard::ask("g0", request));
    }

    /// Starts a new owner. The gateways report their reservations before it places requests.
    fn change_owner(&mut self) {
        self.epoch += 1;
        self.owner_since = self.now;
        let settings = self.settings.clone();
        let first = self.epoch << 32;
        self.scheduler = scheduler::Scheduler::new(self.now, shard::name("m"), settings, first);
        self.unanswered_cancels.clear();
        for held in &mut self.held {
            if let Some((_, known)) = &mut held.orphan {
                *known = false;
            }
        }
        self.step(shard::configure(self.servers.clone()));
        let random_delay =
            |rng: &mut rand_chacha::ChaCha8Rng| clock::Millis::new(rng.random_range(0..400));
        let gateways = 0..self.gateways;
        self.reports = gateways
            .map(|g| (self.now + random_delay(&mut self.rng), g))
            .collect();
        let asked: Vec<_> = self.asked.drain(..).collect();
        for asked in asked {
            let place = asked.place.clone();
            let gateway = self.gateway_name(asked.gateway);
            let deadline = self.now + place.first_token;
            self.asked.push(Asked { deadline, ..asked });
            self.step(shard::ask_place(&gateway, place));
        }
    }

    fn report_reservations(&mut self) {
        while let Some(at) = self.reports.iter().position(|(due, _)| *due <= self.now) {
            let (_, gateway) = self.reports.swap_remove(at);
            let requests = self.live.iter().filter(|l| l.gateway == gateway);
            let live = requests.map(|live| message::LiveReservation {
                reservation: live.placement.reservation,
                place: live.place.clone(),
                placement: live.placement.clone(),
                transferred: live.stage == Stage::Decode,
            });
            let request = message::Request::Report(live.collect());
            self.step(shard::ask(&self.gateway_name(gateway), request));
        }
    }

    fn report_load(&mut self) {
        let server = self.servers.choose(&mut self.rng).expect("servers").clone();
        let running = self.held.iter().filter(|h| h.server == server.id).count();
        let load = wire::Load {
            role: server.role,
            models: server.models,
            running: running as u32,
            waiting: 0,
            waiting_tokens: unit::Tokens::new(0),
            used: unit::Pieces::new(0),
            memory: server.memory,
            age_ms: clock::Millis::new(self.rng.random_range(0..1_000)),
        };
        let server = server.id;
        self.step(scheduler::Input::Load { server, load });
    }

    fn list_held(&mut self) {
        for server in self.servers.clone() {
            let requests = self.held.iter().filter(|h| h.server == server.id);
            let requests = requests.map(|held| wire::Holding {
                request: held.request,
                phase: wire::Phase::Decoding,
                pieces: unit::Pieces::new(1),
                age_ms: self.now - held.since,
            });
            let held = wire::Held {
                requests: requests.collect(),
            };
            self.step(scheduler::Input::HeldRequests {
                server: server.id,
                held,
            });
        }
    }

    fn report_lost_cancels(&mut self) {
        for (server, request) in std::mem::take(&mut self.unanswered_cancels) {
            let confirmed = false;
            self.step(scheduler::Input::Cancelled {
                server,
                request,
                confirmed,
            });
        }
    }

    fn step(&mut self, input: scheduler::Input) {
        let is_place = matches!(
            &input,
            scheduler::Input::Request {
                request: message::Request::Place(_),
                ..
            }
        );
        let expects_immediate = matches!(&input, scheduler::Input::Request { .. }) && !is_place;
        let outputs = self.scheduler.step(self.now, input);
        let is_immediate = |o: &&_| matches!(o, scheduler::Output::ImmediateReply { .. });
        assert_eq!(
            outputs.iter().filter(is_immediate).count(),
            usize::from(expects_immediate)
        );
        for output in outputs {
            match output {
                scheduler::Output::Reply {
                    gateway,
                    request,
                    reply,
                } => {
                    self.on_reply(&gateway, request, reply);
                }
                scheduler::Output::Cancel { server, request } => self.cancel(server, request),
                scheduler::Output::ImmediateReply { .. } => {}
            }
        }
        assert!(self.scheduler.next_wakeup() > self.now);
    }

    fn on_reply(
        &mut self,
        gateway: &id::InstanceId,
        request: id::RequestId,
        reply: message::Reply,
    ) {
        let at = self
            .asked
            .iter()
            .position(|asked| asked.place.request == request);
        let asked = self
            .asked
            .swap_remove(at.expect("a reply to a request that waits for one"));
        assert_eq!(gateway.as_str(), self.gateway_name(asked.gateway));
        let message::Reply::Placed(placement) = reply else {
            return;
        };
        assert!(self.now < asked.deadline, "placed too late");
        self.placed += 1;
        for server in [&placement.prefill, &placement.decode] {
            let record = self.servers.iter().find(|s| s.id == *server);
            let state = record.expect("a configured server").state;
            assert!(
                state == model::ServerState::InService && !asked.place.exclude.contains(server)
            );
        }
        self.hold(&placement.prefill, request);
        self.live.push(Live {
            gateway: asked.gateway,
            place: asked.place,
            placement,
            stage: Stage::Prefill,
            renewed: self.now,
        });
    }

    fn cancel(&mut self, server: id::BackendServerId, request: id::RequestId) {
        let is_live = |l: &&Live| {
            l.place.request == request
                && l.renewed + l.placement.lease > self.now
                && (l.placement.decode == server
                    || l.stage != Stage::Decode && l.placement.prefill == server)
        };
        assert!(
            !self.live.iter().any(|l| is_live(&l)),
            "cancelled a live request"
        );
        let mut requests = self.held.iter_mut();
        let held = requests.find(|h| h.server == server && h.request == request);
        if self.rng.random_bool(0.2)
            && held
                .as_ref()
                .is_none_or(|h| h.lost_cancels < MAX_LOST_CANCELS)
        {
            held.into_iter().for_each(|h| h.lost_cancels += 1);
            return self.unanswered_cancels.push((server, request));
        }
        self.free(&server, request);
        let confirmed = true;
        self.step(scheduler::Input::Cancelled {
            server,
            request,
            confirmed,
        });
    }

    fn hold(&mut self, server: &id::BackendServerId, request: id::RequestId) {
        self.held.push(Holding {
            server: server.clone(),
            request,
            since: self.now,
            lost_cancels: 0,
            orphan: None,
        });
    }

    fn free(&mut self, server: &id::BackendServerId, request: id::RequestId) {
        self.held
            .retain(|h| h.server != *server || h.request != request);
    }

    fn mark_orphan(&mut self, at: usize) {
        let request = self.live[at].place.request;
        let gateway = self.live[at].gateway;
        let known = self.reports.iter().all(|(_, other)| *other != gateway);
        for held in self.held.iter_mut().filter(|h| h.request == request) {
            held.orphan = Some((self.now, known));
        }
    }

    /// Drops the reservations that were not renewed in time, and asserts the bounds: no request
    /// waits past its deadline, orphans are cancelled in time, and under the joint policy no server
    /// holds more than its slots.
    fn check_invariants(&mut self) {
        while let Some(at) = self
            .live
            .iter()
            .position(|l| l.renewed + l.placement.lease <= self.now)
        {
            self.mark_orphan(at);
            self.live.swap_remove(at);
        }
        for asked in &self.asked {
            assert!(
                self.now <= asked.deadline + clock::Millis::new(20),
                "a request waits past its deadline"
            );
        }
        let joint = self.settings.placement == settings::Placement::Joint;
        for server in self.servers.iter().filter(|_| joint) {
            let known = |h: &&Holding| h.server == server.id && h.orphan.is_none_or(|(_, k)| k);
            let held = self.held.iter().filter(known).count();
            assert!(
                held <= server.slots as usize,
                "{} holds {held} requests, more than its slots",
                server.id
            );
        }
        for held in &self.held {
            let orphan_since = held.orphan.map_or(self.now, |(since, _)| since);
            let in_time = orphan_since.max(self.owner_since) + MAX_ORPHAN_TIME >= self.now;
            assert!(
                in_time,
                "{} still holds orphan {} after the bound",
                held.server, held.request
            );
        }
    }
}

/// Returns the settings for a seed: for most, the joint policy under one of its objectives; for the
/// others, a baseline.
fn policy(seed: u64) -> scheduler::Settings {
    let (placement, objective) = match seed % 6 {
        0 | 2 => (
            settings::Placement::Joint,
            settings::Objective::WorstServedAccount,
        ),
        1 | 3 => (settings::Placement::Joint, settings::Objective::Goodput),
        4 => (
            settings::Placement::LeastLoaded,
            settings::Objective::WorstServedAccount,
        ),
        _ => (
            settings::Placement::RoundRobin,
            settings::Objective::WorstServedAccount,
        ),
    };
    scheduler::Settings {
        placement,
        objective,
        ..scheduler::Settings::default()
    }
}

fn env_number(name: &str, default: u64) -> u64 {
    let text = env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test]
fn random_runs_keep_all_invariants() {
    let mut placed = 0;
    let first = env_number("SCHEDULER_FIRST_SEED", 0);
    for seed in first..first + env_number("SCHEDULER_SEEDS", 12) {
        println!("seed {seed}");
        let mut world = World::new(seed);
        for _ in 0..env_number("SCHEDULER_STEPS", 8_000) {
            world.step_randomly();
        }
        placed += world.placed;
    }
    assert!(placed > 1_000, "only {placed} requests were placed");
}
