//! A fleet of routers that call one limited server, without network: the real decisions of routers
//! and leaders over late, lost and doubled messages.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use buckthorncleat::clock::Millis;
use buckthorncleat::fleet::ledger::Ledger;
use buckthorncleat::fleet::message::{Report, Server, ServerState, Sums};
use buckthorncleat::fleet::permit::{
    ASK_TIMEOUT, Answer, Ask, AskNumber, LeaderTime, MAX_CONFIRMATION_AGE,
};
use buckthorncleat::fleet::totals::View;
use buckthorncleat::id::{BackendServerId, Incarnation, InstanceId, Term};
use buckthorncleat::router::balancer::Balancer;
use buckthorncleat::router::permits::{Permit, Permits, Verdict};
use buckthorncleat::router::protocol::Limit;
use buckthorncleat::unit::CallRate;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

const CALL_TIME: u64 = 15;

/// How long a request waits for the limited server.
const PATIENCE: u64 = 75;

/// What happens in a run.
#[derive(Clone, Debug)]
pub struct Plan {
    pub routers: usize,
    /// Requests a second at all routers together.
    pub demand: f64,
    /// Whether all requests come to the first router.
    pub at_one_router: bool,
    /// The limits that the server names from a time on, in calls a second; `None` for no limit.
    pub limits: Vec<(u64, Option<f64>)>,
    /// Whether messages are lost, late and doubled.
    pub bad_links: bool,
    /// When the leader loses its lead; the next one leads half a second later.
    pub leader_losses: Vec<u64>,
    /// Routers that stand still: the time and for how long.
    pub freezes: Vec<(usize, u64, u64)>,
    pub length: u64,
}

enum Event {
    Request(usize),
    Report(usize),
    ReportAtLeader(usize, usize, Box<Report>),
    Summary(usize, usize, u64, Box<Sums>),
    AskAtLeader(usize, usize, u64, Box<Ask>),
    AnswerToAsk(usize, u64, Answer),
    AskTimeout(usize, u64),
    Send(usize, Option<Permit>),
    CallAnswered(usize, Limit),
    LeaderLost,
    LeaderElected,
}

struct Router {
    balancer: Balancer,
    permits: Permits,
    view: View,
    leader: Option<(usize, LeaderTime, Millis)>,
    report_interval: u64,
    /// The questions without an answer: their numbers and when they were sent.
    asks: Vec<(u64, AskNumber, Millis)>,
    frozen_until: u64,
    /// When an answer first named the limit that the server has by now.
    told_at: Option<u64>,
    /// Added to the world's time.
    clock_offset: u64,
}

struct Leader {
    ledger: Ledger,
    term: Term,
    clock_offset: u64,
    confirmed_until: u64,
}

/// A call that reached the server.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at: u64,
    /// Whether the router had got an answer with the limit half a second before.
    pub counts: bool,
}

pub struct Fleet {
    plan: Plan,
    rng: ChaCha8Rng,
    now: u64,
    number: u64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    payloads: std::collections::BTreeMap<u64, Event>,
    routers: Vec<Router>,
    leaders: Vec<Leader>,
    server: BackendServerId,
    pub arrivals: Vec<Arrival>,
    /// When callers' requests came.
    pub requests: Vec<u64>,
    pub refused: usize,
    pub asks: usize,
    pub longest_retry_after: u64,
}

fn router_name(router: usize) -> InstanceId {
    format!("router-{router}").parse().unwrap()
}

fn rate(per_second: f64) -> CallRate {
    CallRate::from_millicalls((per_second * 1_000.0) as u64)
}

impl Fleet {
    pub fn new(plan: Plan, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let server: BackendServerId = "server-1".parse().unwrap();
        let listed = Server {
            id: server.clone(),
            service: "app".parse().unwrap(),
            address: ([10, 1, 0, 1], 80).into(),
            data_centre: "a".parse().unwrap(),
            slots: 6,
            state: ServerState::Ready,
            stage: None,
            version: None,
            started_at: None,
        };
        let routers = (0..plan.routers).map(|_| {
            let mut balancer = Balancer::new("a".parse().unwrap());
            balancer.set_list(Millis::ZERO, std::slice::from_ref(&listed));
            Router {
                balancer,
                permits: Permits::new(rng.random()),
                view: View::default(),
                leader: None,
                report_interval: 100,
                asks: Vec::new(),
                frozen_until: 0,
                told_at: None,
                clock_offset: rng.random_range(0..100_000),
            }
        });
        let routers = routers.collect();
        let mut fleet = Self {
            routers,
            plan,
            rng,
            now: 0,
            number: 0,
            events: BinaryHeap::new(),
            payloads: Default::default(),
            leaders: Vec::new(),
            server,
            arrivals: Vec::new(),
            requests: Vec::new(),
            refused: 0,
            asks: 0,
            longest_retry_after: 0,
        };
        fleet.elect();
        for router in 0..fleet.plan.routers {
            let at = fleet.rng.random_range(0..100);
            fleet.schedule(at, Event::Report(router));
        }
        for at in fleet.plan.leader_losses.clone() {
            fleet.schedule(at, Event::LeaderLost);
        }
        fleet.schedule(1_000, Event::Request(0));
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
        let leader = Leader {
            ledger: Ledger::new(term, Millis::from_secs(8)),
            term,
            clock_offset: self.rng.random_range(0..100_000),
            confirmed_until: u64::MAX,
        };
        self.leaders.push(leader);
    }

    /// Returns the delay of a message; `None` when it is lost.
    fn transit(&mut self) -> Option<u64> {
        if !self.plan.bad_links {
            return Some(self.rng.random_range(1..4));
        }
        match self.rng.random_range(0..100) {
            0 | 1 => None,
            2..=5 => Some(self.rng.random_range(50..1_500)),
            _ => Some(self.rng.random_range(1..30)),
        }
    }

    /// Returns the limit that the server names at a time.
    fn limit(&self, at: u64) -> Option<f64> {
        let mut begun = self.plan.limits.iter().filter(|(from, _)| *from <= at);
        begun.next_back().and_then(|(_, limit)| *limit)
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
            let event = self
                .payloads
                .remove(&number)
                .expect("each event has a payload");
            if let Some(router) = event.router() {
                self.freeze(router);
                let frozen_until = self.routers[router].frozen_until;
                if at < frozen_until {
                    self.schedule(frozen_until, event);
                    continue;
                }
            }
            self.handle(event);
        }
    }

    /// Lets a router stand still if the plan says so.
    fn freeze(&mut self, router: usize) {
        let now = self.now;
        let mut freezes = self.plan.freezes.iter();
        let freeze =
            freezes.find(|(r, at, length)| *r == router && (*at..at + length).contains(&now));
        if let Some((_, at, length)) = freeze {
            self.routers[router].frozen_until = at + length;
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request(router) => self.request(router),
            Event::Report(router) => self.report(router),
            Event::ReportAtLeader(router, leader, report) => {
                self.report_at_leader(router, leader, *report);
            }
            Event::Summary(router, leader, sent, sums) => {
                self.summary(router, leader, sent, &sums);
            }
            Event::AskAtLeader(router, leader, number, ask) => {
                self.ask_at_leader(router, leader, number, &ask);
            }
            Event::AnswerToAsk(router, number, answer) => {
                self.answer_to_ask(router, number, Some(answer));
            }
            Event::AskTimeout(router, number) => self.answer_to_ask(router, number, None),
            Event::Send(router, permit) => self.send(router, permit),
            Event::CallAnswered(router, limit) => {
                let now = self.router_time(router);
                let server = self.server.clone();
                let state = &mut self.routers[router];
                state.balancer.record_limit(now, &server, limit);
                if matches!(limit, Limit::Calls(_)) {
                    state.told_at.get_or_insert(self.now);
                } else {
                    state.told_at = None;
                }
            }
            Event::LeaderLost => {
                // It confirmed its lead a moment before, and does not notice the loss.
                let last = self.leaders.last_mut().expect("there is a leader");
                last.confirmed_until = self.now + MAX_CONFIRMATION_AGE.as_u64();
                self.after(10, Event::LeaderElected);
            }
            Event::LeaderElected => {
                self.elect();
                for router in 0..self.routers.len() {
                    // Half of the routers learn it at once.
                    if self.rng.random_bool(0.5) {
                        self.routers[router].leader = None;
                    }
                }
            }
        }
    }

    /// A caller's request; the next one comes at random.
    fn request(&mut self, router: usize) {
        let pause = -self.rng.random::<f64>().max(1e-9).ln() * 1_000.0 / self.plan.demand;
        let next = match self.plan.at_one_router {
            true => 0,
            false => self.rng.random_range(0..self.routers.len()),
        };
        self.after(pause.round() as u64, Event::Request(next));
        self.requests.push(self.now);
        let now = self.router_time(router);
        let server = self.server.clone();
        if !self.routers[router].balancer.is_limited(now, &server) {
            self.after(1, Event::Send(router, None));
            return;
        }
        let servers = [server];
        let latest = now + Millis::new(PATIENCE);
        let state = &mut self.routers[router];
        if let Some((_, permit)) = state.permits.take_spare(now, latest, &servers) {
            let wait = (permit.from - now).as_u64();
            self.after(wait + 1, Event::Send(router, Some(permit)));
            return;
        }
        if state.permits.askable(latest, &servers).is_empty() {
            let denial = state
                .permits
                .refuse(now, &servers)
                .expect("there is a denial");
            self.refuse(denial.retry_after);
            return;
        }
        self.ask(router, now, &servers);
    }

    fn refuse(&mut self, retry_after: Millis) {
        self.refused += 1;
        self.longest_retry_after = self.longest_retry_after.max(retry_after.as_u64());
    }

    fn ask(&mut self, router: usize, now: Millis, servers: &[BackendServerId]) {
        self.number += 1;
        self.asks += 1;
        let number = self.number;
        let state = &mut self.routers[router];
        let begun = state.permits.begin_ask(now, servers);
        let ask_number = begun.number;
        let ask = Ask {
            number: ask_number,
            lost: begun.lost,
            servers: servers.to_vec(),
            news: state.balancer.limit_news_of(now, servers),
            sent_at: state.sent_at(now),
            earliest: Millis::ZERO,
            latest: Millis::new(PATIENCE),
            refuses: true,
            calls: begun.calls,
            refused: begun.refused,
        };
        state.asks.push((number, ask_number, now));
        let leader = state.leader.map(|(leader, ..)| leader);
        self.after(ASK_TIMEOUT.as_u64(), Event::AskTimeout(router, number));
        let Some(leader) = leader else { return };
        let copies = if self.plan.bad_links && self.rng.random_bool(0.02) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            if let Some(delay) = self.transit() {
                let ask = Box::new(ask.clone());
                self.after(delay, Event::AskAtLeader(router, leader, number, ask));
            }
        }
    }

    fn ask_at_leader(&mut self, router: usize, leader: usize, number: u64, ask: &Ask) {
        let now = self.leader_time(leader);
        if self.now >= self.leaders[leader].confirmed_until {
            return;
        }
        let name = router_name(router);
        let answer = self.leaders[leader].ledger.ask(now, &name, ask);
        if let Some(delay) = self.transit() {
            self.after(delay, Event::AnswerToAsk(router, number, answer));
        }
    }

    fn answer_to_ask(&mut self, router: usize, number: u64, answer: Option<Answer>) {
        let now = self.router_time(router);
        let servers = [self.server.clone()];
        let state = &mut self.routers[router];
        let Some(position) = state.asks.iter().position(|(n, ..)| *n == number) else {
            return;
        };
        let (_, ask_number, sent_at) = state.asks.remove(position);
        let Some(answer) = answer else {
            let denial = state.permits.fail(now, ask_number, &servers);
            self.refuse(denial.retry_after);
            return;
        };
        match state.permits.apply(now, sent_at, &servers, answer) {
            Verdict::Granted { permit, .. } => {
                let connect = self.rng.random_range(1..5);
                let wait = (permit.from - now).as_u64() + connect;
                self.after(wait, Event::Send(router, Some(permit)));
            }
            Verdict::Unlimited { server } => {
                state.balancer.end_limit(sent_at, &server);
                self.after(1, Event::Send(router, None));
            }
            Verdict::Denied(denial) => self.refuse(denial.retry_after),
        }
    }

    /// Sends a call if its permit is still valid.
    fn send(&mut self, router: usize, permit: Option<Permit>) {
        let now = self.router_time(router);
        let state = &self.routers[router];
        let needs_permit = state.balancer.is_limited(now, &self.server);
        if needs_permit && !permit.is_some_and(|p| p.is_valid(now)) {
            return;
        }
        let at = self.now;
        let told_at = state.told_at;
        let counts = told_at.is_some_and(|told| at >= told + 500);
        self.arrivals.push(Arrival { at, counts });
        let limit = match self.limit(at) {
            Some(per_second) => Limit::Calls(rate(per_second)),
            None => Limit::Unlimited,
        };
        let took = CALL_TIME + self.rng.random_range(0..30);
        self.after(took, Event::CallAnswered(router, limit));
    }

    fn report(&mut self, router: usize) {
        let now = self.router_time(router);
        let state = &self.routers[router];
        let max_age = match state.leader {
            None => Millis::MAX,
            Some(_) => Millis::new(state.report_interval * 2 + 1_000),
        };
        let address = ([10, 0, (router / 250) as u8, (router % 250) as u8], 80);
        let report = Report {
            known: state.view.known(),
            limits: state.balancer.limit_news(now, max_age),
            sent_at: state.sent_at(now),
            ..Report::idle(Incarnation::new(1), address.into(), "a".parse().unwrap())
        };
        let leader = state.leader.map(|(leader, ..)| leader);
        let leader = leader.unwrap_or(self.leaders.len() - 1);
        if let Some(delay) = self.transit() {
            let event = Event::ReportAtLeader(router, leader, Box::new(report));
            self.after(delay, event);
        }
        let interval = self.routers[router].report_interval;
        self.after(interval, Event::Report(router));
    }

    fn report_at_leader(&mut self, router: usize, leader: usize, report: Report) {
        // A former leader answers reports for longer than it issues permits.
        let confirmed_until = self.leaders[leader].confirmed_until;
        if self.now >= confirmed_until.saturating_add(400) {
            self.routers[router].leader = None;
            return;
        }
        let now = self.leader_time(leader);
        let name = router_name(router);
        let sums = self.leaders[leader].ledger.report(now, &name, report);
        if let Some(delay) = self.transit() {
            let event = Event::Summary(router, leader, now.as_u64(), Box::new(sums));
            self.after(delay, event);
        }
    }

    fn summary(&mut self, router: usize, leader: usize, leader_time: u64, sums: &Sums) {
        let now = self.router_time(router);
        let term = self.leaders[leader].term;
        let state = &mut self.routers[router];
        if state.leader.is_some_and(|(known, ..)| known > leader) {
            return;
        }
        let time = LeaderTime {
            term,
            at: Millis::new(leader_time),
        };
        state.leader = Some((leader, time, now));
        state.report_interval = sums.report_interval.as_u64();
        state.view.apply(term, &sums.changes);
        state.balancer.set_limits(state.view.limits());
    }

    /// Returns the most calls in any 4 s beyond what the limits of that time allow, as a multiple of
    /// the calls that `allowed` returns for a limit, where only calls of routers count that were told
    /// half a second before.
    pub fn worst_window(&self, allowed: impl Fn(f64) -> f64) -> Option<(u64, usize, f64)> {
        let counted: Vec<u64> = self
            .arrivals
            .iter()
            .filter(|a| a.counts)
            .map(|a| a.at)
            .collect();
        let windows = counted.iter().enumerate().map(|(first, begin)| {
            let end = counted.partition_point(|at| *at < begin + 4_000);
            // The highest limit of the window and of the time that a permit may be under way.
            let since = begin.saturating_sub(1_500);
            let changes = self.plan.limits.iter();
            let changes = changes.filter(|(at, _)| (since..begin + 4_000).contains(at));
            let limits = changes.map(|(_, l)| *l).chain([self.limit(since)]);
            let highest = limits
                .map(|l| l.unwrap_or(f64::INFINITY))
                .fold(0.0, f64::max);
            (*begin, end - first, allowed(highest))
        });
        windows
            .filter(|(_, calls, allowed)| *calls as f64 > *allowed)
            .max_by_key(|(_, calls, _)| *calls)
    }

    /// Returns the requests that came in a span of time.
    pub fn requests_within(&self, from: u64, until: u64) -> usize {
        let requests = self.requests.iter();
        requests.filter(|at| (from..until).contains(*at)).count()
    }

    /// Returns the calls that arrived in a span of time.
    pub fn calls_within(&self, from: u64, until: u64) -> usize {
        let arrivals = self.arrivals.iter();
        arrivals.filter(|a| (from..until).contains(&a.at)).count()
    }
}

impl Router {
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
            | Self::AskTimeout(router, _)
            | Self::Send(router, _)
            | Self::CallAnswered(router, _) => Some(*router),
            Self::ReportAtLeader(..)
            | Self::AskAtLeader(..)
            | Self::LeaderLost
            | Self::LeaderElected => None,
        }
    }
}
