//! A fleet of routers whose servers restart cold, without network: the real decisions of routers and
//! leaders over late and lost messages and lists that lag.

#[path = "calls.rs"]
mod calls;
#[path = "messages.rs"]
mod messages;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use buckthorncleat::clock::Millis;
use buckthorncleat::document::{ColdStart, Service};
use buckthorncleat::fleet::cold::{Settings, Word};
use buckthorncleat::fleet::ledger::Ledger;
use buckthorncleat::fleet::listing::List;
use buckthorncleat::fleet::message::{Load, Report, Sums};
use buckthorncleat::fleet::permit::{Answer, Ask, AskNumber, LeaderTime, MAX_CONFIRMATION_AGE};
use buckthorncleat::fleet::totals::View;
use buckthorncleat::id::{BackendServerId, DataCentre, Incarnation, InstanceId, Term};
use buckthorncleat::router::balancer::{Balancer, Outcome, Pick};
use buckthorncleat::router::permits::Permits;
use buckthorncleat::sorted;
use buckthorncleat::unit::CallRate;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

/// The values of the platform: a cold server gets at most 9 x 1.5 + 5 calls in any second.
pub const COLD_TIME: u64 = 3_000;
pub const COLD_PER_S: f64 = 9.0;
pub const BOUND: usize = 18;

/// What happens in a run; all times are in milliseconds.
#[derive(Clone, Debug)]
pub struct Plan {
    pub routers: usize,
    pub servers: usize,
    /// Requests a second at all routers together.
    pub demand: f64,
    /// How long the longest request runs.
    pub longest: u64,
    /// When a server goes down, and for how long.
    pub downs: Vec<(usize, u64, u64)>,
    /// Whether a server that is back has another id.
    pub new_ids: bool,
    pub list_lag: u64,
    /// The share of lists that are refused, and of those that lack a half of the servers.
    pub bad_lists: f64,
    /// Whether messages are lost and late.
    pub bad_links: bool,
    /// When the leader loses its lead; the next one leads half a second later.
    pub leader_losses: Vec<u64>,
    /// When all routers start again.
    pub router_losses: Vec<u64>,
    /// Routers that reach no leader, or stand still: the router, the time and for how long.
    pub cuts: Vec<(usize, u64, u64)>,
    pub freezes: Vec<(usize, u64, u64)>,
    pub length: u64,
}

/// A summary with its list, and the router's start that reported.
type Content = (Incarnation, Sums, Option<Word>, Option<List>);

enum Event {
    Request(usize),
    Report(usize),
    ReportAtLeader(usize, usize, Millis, Box<Report>),
    Summary(usize, usize, u64, Millis, Box<Content>),
    AskAtLeader(usize, usize, u64, Box<Ask>),
    AnswerToAsk(usize, u64, Option<Answer>),
    Send(usize, Call),
    Arrive(usize, Call, Millis),
    Answered(usize, Call, Millis, usize, u64),
    /// A chunk, which the router has awaited since the given time.
    Running(usize, Call, Millis, usize, u64),
    Ended(usize, Call, Outcome),
    ReadList,
    LeaderLost,
    LeaderElected,
    RoutersLost,
}

/// A request at its server.
struct Call {
    pick: Pick,
    /// The calls that are still to be made: two reservations and the one that runs, or only that.
    calls: u32,
    /// The start of the router.
    incarnation: u64,
    arrived_at: u64,
}

/// A question for a permit without an answer: its numbers, when it was sent, for which servers, and the
/// server that is called without a permit otherwise.
type Question = (u64, AskNumber, Millis, Vec<Pick>, Option<Pick>);

struct Router {
    balancer: Balancer,
    permits: Permits,
    view: View,
    list: Option<List>,
    leader: Option<(usize, LeaderTime, Millis)>,
    report_interval: u64,
    routers: u32,
    asks: Vec<Question>,
    loads: sorted::Map<BackendServerId, Load>,
    clock_offset: u64,
    incarnation: u64,
}

struct Leader {
    ledger: Ledger,
    list: Option<List>,
    term: Term,
    clock_offset: u64,
    confirmed_until: u64,
}

/// A start of a server.
struct Start {
    id: BackendServerId,
    at: u64,
    up_until: u64,
    /// `None` for a server that ran before the begin.
    cold_until: Option<u64>,
    arrivals: Vec<u64>,
}

pub struct Fleet {
    plan: Plan,
    rng: ChaCha8Rng,
    now: u64,
    number: u64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    payloads: BTreeMap<u64, Event>,
    routers: Vec<Router>,
    leaders: Vec<Leader>,
    /// The starts of each server, in order.
    starts: Vec<Vec<Start>>,
    pub requests: usize,
    pub served: usize,
    /// When questions for permits were asked.
    pub asks: Vec<u64>,
}

fn service() -> Service {
    let rate = CallRate::from_millicalls((COLD_PER_S * 1_000.0) as u64);
    Service {
        id: "app".parse().unwrap(),
        connections: 100,
        engine: None,
        cold_start: Some(ColdStart {
            time: Millis::new(COLD_TIME),
            rate,
        }),
    }
}

fn data_centre(server: usize) -> DataCentre {
    ["a", "b", "c"][server % 3].parse().unwrap()
}

impl Fleet {
    pub fn new(plan: Plan, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let starts = (0..plan.servers).map(|n| starts_of(&plan, n));
        let starts = starts.collect();
        let routers = (0..plan.routers).map(|n| Router::new(&mut rng, n, 0));
        let routers = routers.collect();
        let mut fleet = Self {
            routers,
            rng,
            now: 0,
            number: 0,
            events: BinaryHeap::new(),
            payloads: BTreeMap::new(),
            leaders: Vec::new(),
            starts,
            requests: 0,
            served: 0,
            asks: Vec::new(),
            plan,
        };
        fleet.elect();
        for router in 0..fleet.plan.routers {
            let at = fleet.rng.random_range(0..100);
            fleet.schedule(at, Event::Report(router));
        }
        for at in fleet.plan.leader_losses.clone() {
            fleet.schedule(at, Event::LeaderLost);
        }
        for at in fleet.plan.router_losses.clone() {
            fleet.schedule(at, Event::RoutersLost);
        }
        fleet.schedule(10, Event::ReadList);
        fleet.schedule(1_200, Event::Request(0));
        fleet
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.number += 1;
        self.payloads.insert(self.number, event);
        self.events.push(Reverse((at, self.number)));
    }

    fn after(&mut self, delay: u64, event: Event) {
        self.schedule(self.now + delay, event);
    }

    fn elect(&mut self) {
        let term = Term::new(self.leaders.len() as u64 + 1);
        let settings = Settings {
            overage: 1.5,
            slack: CallRate::from_millicalls(5_000),
        };
        let mut ledger = Ledger::new(term, Millis::from_secs(8)).with_cold(settings);
        ledger.configure_cold(&[service()]);
        let clock_offset = self.rng.random_range(0..100_000);
        self.leaders.push(Leader {
            ledger,
            list: None,
            term,
            clock_offset,
            confirmed_until: u64::MAX,
        });
    }

    /// Returns the delay of a message; `None` when it is lost.
    fn transit(&mut self, router: usize) -> Option<u64> {
        let is_cut = is_within(&self.plan.cuts, router, self.now).is_some();
        match self.rng.random_range(0..100) {
            _ if is_cut => None,
            0 if self.plan.bad_links => None,
            1..=3 if self.plan.bad_links => Some(self.rng.random_range(50..1_500)),
            _ => Some(self.rng.random_range(1..4)),
        }
    }

    fn router_time(&self, router: usize) -> Millis {
        Millis::new(self.now + self.routers[router].clock_offset)
    }

    fn leader_time(&self, leader: usize) -> Millis {
        Millis::new(self.now + self.leaders[leader].clock_offset)
    }

    pub fn run(&mut self) {
        while let Some(Reverse((at, number))) = self.events.pop() {
            if at > self.plan.length {
                return;
            }
            self.now = at;
            let event = self.payloads.remove(&number).expect("an event");
            let frozen = event.router();
            let frozen = frozen.and_then(|r| is_within(&self.plan.freezes, r, at));
            match frozen {
                Some(until) => self.schedule(until, event),
                None => self.handle(event),
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request(router) => self.request(router),
            Event::Report(router) => self.report(router),
            Event::ReportAtLeader(router, leader, sent_at, report) => {
                self.report_at_leader(router, leader, sent_at, *report);
            }
            Event::Summary(router, leader, time, sent_at, content) => {
                self.summary(router, leader, time, sent_at, *content);
            }
            Event::AskAtLeader(router, leader, number, ask) => {
                let now = self.leader_time(leader);
                let leader = &mut self.leaders[leader];
                if self.now < leader.confirmed_until {
                    let answer = leader.ledger.ask(now, &router_name(router), &ask);
                    if let Some(delay) = self.transit(router) {
                        self.after(delay, Event::AnswerToAsk(router, number, Some(answer)));
                    }
                }
            }
            Event::AnswerToAsk(router, number, answer) => self.answer(router, number, answer),
            Event::Send(router, call) => self.send(router, call),
            Event::Arrive(router, call, sent_at) => self.arrive(router, call, sent_at),
            Event::Answered(router, call, sent_at, server, end) => {
                let now = self.router_time(router);
                let state = &mut self.routers[router];
                let is_running = state.incarnation == call.incarnation;
                if is_running {
                    state.balancer.record_proof(now, sent_at, &call.pick.id);
                }
                self.keep_running(router, call, server, end);
            }
            Event::Running(router, call, awaited_at, server, end) => {
                let now = self.router_time(router);
                let state = &mut self.routers[router];
                if state.incarnation == call.incarnation {
                    state.balancer.record_proof(now, awaited_at, &call.pick.id);
                }
                self.keep_running(router, call, server, end);
            }
            Event::Ended(router, call, outcome) => {
                let now = self.router_time(router);
                let state = &mut self.routers[router];
                if state.incarnation == call.incarnation {
                    self.served += usize::from(outcome == Outcome::Succeeded);
                    let id = &call.pick.id;
                    state.balancer.remove_load(now, id, one_request(), outcome);
                }
            }
            Event::ReadList => self.read_list(),
            Event::LeaderLost => {
                let last = self.leaders.last_mut().expect("there is a leader");
                last.confirmed_until = self.now + MAX_CONFIRMATION_AGE.as_u64();
                let pause = self.rng.random_range(10..2_000);
                self.after(pause, Event::LeaderElected);
            }
            Event::LeaderElected => {
                self.elect();
                for router in &mut self.routers {
                    router.leader = None;
                }
            }
            Event::RoutersLost => {
                for number in 0..self.routers.len() {
                    let incarnation = self.routers[number].incarnation + 1;
                    self.routers[number] = Router::new(&mut self.rng, number, incarnation);
                }
            }
        }
    }

    /// Schedules what comes next of a call that a server runs until `end`: its loss, its end, or a chunk.
    fn keep_running(&mut self, router: usize, call: Call, server: usize, end: u64) {
        let down_at = self.up_until(server, call.arrived_at);
        let next = self.now + 400;
        if down_at <= next.min(end) {
            let at = down_at.max(self.now) + 1;
            self.schedule(at, Event::Ended(router, call, Outcome::Lost));
        } else if end <= next {
            self.schedule(end, Event::Ended(router, call, Outcome::Succeeded));
        } else {
            let awaited_at = self.router_time(router);
            self.schedule(next, Event::Running(router, call, awaited_at, server, end));
        }
    }

    fn up_until(&self, server: usize, at: u64) -> u64 {
        let current = self.starts[server].iter().rfind(|s| s.at <= at);
        current.map_or(0, |s| s.up_until)
    }

    /// Returns the most calls in any second to a server that is cold: the server, when, and how many.
    pub fn worst_second(&self) -> Option<(String, u64, usize)> {
        let mut worst: Option<(String, u64, usize)> = None;
        for start in self.starts.iter().flatten() {
            let cold_until = start.cold_until.unwrap_or_default();
            let cold = start.arrivals.partition_point(|at| *at < cold_until);
            for (first, begin) in start.arrivals[..cold].iter().enumerate() {
                let end = start.arrivals[..cold].partition_point(|at| *at < begin + 1_000);
                if worst.as_ref().is_none_or(|(.., most)| end - first > *most) {
                    worst = Some((start.id.to_string(), *begin, end - first));
                }
            }
        }
        worst
    }

    /// Returns the calls to cold servers as a share of what they take in the time from `delay` after
    /// their start on.
    pub fn cold_use(&self, delay: u64) -> f64 {
        let (mut calls, mut time) = (0, 0);
        for start in self.starts.iter().flatten() {
            let Some(cold_until) = start.cold_until else {
                continue;
            };
            let from = start.at + delay;
            let until = cold_until.min(start.up_until).min(self.plan.length);
            let within = start
                .arrivals
                .iter()
                .filter(|at| (from..until).contains(*at));
            calls += within.count();
            time += until.saturating_sub(from);
        }
        calls as f64 / (COLD_PER_S * time as f64 / 1_000.0)
    }
}

/// Returns the starts of a server, by the plan.
fn starts_of(plan: &Plan, server: usize) -> Vec<Start> {
    let first = Start {
        id: format!("server-{server}").parse().unwrap(),
        at: 0,
        up_until: u64::MAX,
        cold_until: None,
        arrivals: Vec::new(),
    };
    let mut starts = vec![first];
    for (_, at, length) in plan.downs.iter().filter(|(s, ..)| *s == server) {
        let number = starts.len();
        let last = starts.last_mut().expect("there is one");
        last.up_until = *at;
        let id = match plan.new_ids {
            true => format!("server-{server}-{number}").parse().unwrap(),
            false => last.id.clone(),
        };
        starts.push(Start {
            id,
            at: at + length,
            up_until: u64::MAX,
            cold_until: Some(at + length + COLD_TIME),
            arrivals: Vec::new(),
        });
    }
    starts
}

/// Returns the end of the span of a router that a time is in.
fn is_within(spans: &[(usize, u64, u64)], router: usize, now: u64) -> Option<u64> {
    let mut spans = spans.iter();
    let span = spans.find(|(r, at, length)| *r == router && (*at..at + length).contains(&now));
    span.map(|(_, at, length)| at + length)
}

fn router_name(router: usize) -> InstanceId {
    format!("router-{router}").parse().unwrap()
}

fn one_request() -> Load {
    Load {
        requests: 1,
        ..Load::default()
    }
}

impl Router {
    fn new(rng: &mut ChaCha8Rng, number: usize, incarnation: u64) -> Self {
        let mut balancer = Balancer::new(data_centre(number));
        balancer.configure_cold(&[service()]);
        Self {
            balancer,
            permits: Permits::new(rng.random()),
            view: View::default(),
            list: None,
            leader: None,
            report_interval: 100,
            routers: 1,
            asks: Vec::new(),
            loads: sorted::Map::new(),
            clock_offset: rng.random_range(0..100_000),
            incarnation,
        }
    }

    fn sent_at(&self, now: Millis) -> Option<LeaderTime> {
        let (_, time, summary_at) = self.leader?;
        Some(LeaderTime {
            at: time.at + (now - summary_at),
            ..time
        })
    }
}

impl Event {
    /// Returns the router that handles the event; `None` for others.
    fn router(&self) -> Option<usize> {
        match self {
            Self::Request(router)
            | Self::Report(router)
            | Self::Summary(router, ..)
            | Self::AnswerToAsk(router, ..)
            | Self::Send(router, ..)
            | Self::Answered(router, ..)
            | Self::Running(router, ..)
            | Self::Ended(router, ..) => Some(*router),
            Self::ReportAtLeader(..)
            | Self::AskAtLeader(..)
            | Self::Arrive(..)
            | Self::ReadList
            | Self::LeaderLost
            | Self::LeaderElected
            | Self::RoutersLost => None,
        }
    }
}
