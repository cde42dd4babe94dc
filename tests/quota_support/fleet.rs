//! A fleet of routers that charge two accounts, without network: the real decisions of routers and
//! leaders on quotas over late, lost and doubled messages, and a replicated log.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use buckthorncleat::clock::Millis;
use buckthorncleat::document::{Account, Quota, QuotaUnit};
use buckthorncleat::fleet::allowance::{Allowances, Batch, Planner};
use buckthorncleat::fleet::ledger::Ledger;
use buckthorncleat::fleet::message::{Report, ReportExtension, Sums};
use buckthorncleat::fleet::quota::Quotas;
use buckthorncleat::fleet::share::Shares;
use buckthorncleat::id::{ClientAccountId, Incarnation, InstanceId, Term};
use buckthorncleat::sorted::Map;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

pub const WINDOW: u64 = 8_000;
const REPORT_TIMEOUT: u64 = 350;
const MIN_REPORT_GAP: u64 = 50;
/// How long a leader that lost its lead goes on answering.
const FORMER_LEADER_TIME: u64 = 700;
/// A changed quota is in force at all routers by then.
const CONFIG_APPLY_TIME: u64 = 3_000;
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 140_000.0;

/// What happens in a run.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    pub routers: usize,
    pub length: u64,
    /// The rates of the busy account from a time on; `None` removes its quota.
    pub rates: Vec<(u64, Option<u64>)>,
    /// Units asked of the busy account a second, from a time on.
    pub demand: Vec<(u64, u64)>,
    /// Units asked of the other account a second; its rate is ten times as high.
    pub light_demand: u64,
    pub all_lost: Vec<u64>,
    pub leader_lost: Vec<u64>,
    /// Times at which all routers start again, while the leader goes on.
    pub herds: Vec<u64>,
    pub restarts: Vec<(usize, u64)>,
    pub freezes: Vec<(usize, u64, u64)>,
    pub cut_off: Vec<(usize, u64, u64)>,
    /// The time in which messages are lost, late and doubled.
    pub bad_links: Option<(u64, u64)>,
}

#[derive(Clone)]
enum Event {
    Request(usize),
    Retry(usize, u64, usize, u64),
    Refund(usize, u64, usize, u64),
    Report(usize, u64),
    ReportAtLeader(usize, usize, u64, Box<Report>),
    Summary(usize, u64, u64, usize, Box<(Sums, Option<Shares>, usize)>),
    Timeout(usize, u64, u64),
    Plan(usize),
    Committed(usize, Batch),
    AllLost,
    LeaderLost,
    Elect(bool),
    Start(usize),
}

struct Router {
    quotas: Quotas,
    /// Counts the starts of the process; events of an earlier run are dropped.
    run: u64,
    is_up: bool,
    started_at: u64,
    leader: Option<usize>,
    document: usize,
    interval: u64,
    last_report: u64,
    /// The number of the report that is not answered, when it was sent, and what it named as spent.
    sent: Option<(u64, u64, Map<ClientAccountId, i64>)>,
    reports: u64,
    waiting: Vec<(usize, u64, u64)>,
}

struct Leader {
    ledger: Ledger,
    planner: Planner,
    term: Term,
    started_at: u64,
    ends: u64,
    configured: usize,
}

pub struct Fleet {
    plan: Plan,
    rng: ChaCha8Rng,
    now: u64,
    number: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    routers: Vec<Router>,
    weights: Vec<f64>,
    leaders: Vec<Leader>,
    log: Allowances,
    /// The units that ran, by account.
    pub ran: [Vec<(u64, u64)>; 2],
    pub refused: [usize; 2],
    pub waited: usize,
    pub batches: usize,
}

fn account(index: usize) -> ClientAccountId {
    ["busy", "light"][index].parse().unwrap()
}

fn name(router: usize) -> InstanceId {
    format!("router-{router}").parse().unwrap()
}

impl Plan {
    fn document(&self, index: usize) -> Vec<Account> {
        let quota = |rate| Quota {
            unit: QuotaUnit::Tokens { plain: 200 },
            rate,
            burst: rate / 2,
        };
        let rates = [self.rates[index].1, Some(self.light_demand.max(1) * 10)];
        let accounts = rates.iter().enumerate().map(|(index, rate)| Account {
            id: account(index),
            keys: Vec::new(),
            priority: 1,
            quota: rate.map(quota),
        });
        accounts.collect()
    }

    fn limit(&self, index: usize) -> f64 {
        self.rates[index]
            .1
            .map_or(f64::INFINITY, |rate| rate as f64 * 8.5)
    }

    fn newest(&self, now: u64) -> usize {
        self.rates.partition_point(|(at, _)| *at <= now) - 1
    }

    /// Returns the highest limit that binds the window from `begin` on.
    fn limit_in(&self, begin: u64) -> f64 {
        let first = self.newest(begin.saturating_sub(CONFIG_APPLY_TIME));
        let last = self.newest(begin + WINDOW - 1);
        (first..=last).map(|i| self.limit(i)).fold(0.0, f64::max)
    }
}

impl Fleet {
    pub fn new(plan: Plan, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut weights: Vec<f64> = Vec::new();
        for _ in 0..plan.routers {
            let sum = weights.last().copied().unwrap_or_default();
            weights.push(sum + rng.random_range(0.2f64..1.0).powi(2));
        }
        let mut fleet = Self {
            rng,
            now: 0,
            number: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            routers: Vec::new(),
            weights,
            leaders: Vec::new(),
            log: Allowances::default(),
            ran: Default::default(),
            refused: [0, 0],
            waited: 0,
            batches: 0,
            plan: plan.clone(),
        };
        fleet.elect(false);
        for router in 0..plan.routers {
            let started = fleet.start_router(0);
            fleet.routers.push(started);
            fleet.begin(router);
        }
        let lost = plan.all_lost.iter().map(|at| (*at, Event::AllLost));
        let leaders = plan.leader_lost.iter().map(|at| (*at, Event::LeaderLost));
        let restarts = plan.restarts.iter().map(|(r, at)| (*at, Event::Start(*r)));
        let herds = plan.herds.iter().flat_map(|at| {
            let each = |r| (*at + r as u64 % 7, Event::Start(r));
            (0..plan.routers).map(each)
        });
        let events: Vec<_> = lost.chain(leaders).chain(restarts).chain(herds).collect();
        for (at, event) in events {
            fleet.schedule(at, event);
        }
        fleet.schedule(0, Event::Request(0));
        if plan.light_demand > 0 {
            fleet.schedule(0, Event::Request(1));
        }
        fleet
    }

    fn start_router(&mut self, run: u64) -> Router {
        Router {
            quotas: Quotas::new(Millis::new(WINDOW)),
            run,
            is_up: true,
            started_at: self.now,
            leader: None,
            document: usize::MAX,
            interval: 100,
            last_report: 0,
            sent: None,
            reports: 0,
            waiting: Vec::new(),
        }
    }

    fn begin(&mut self, router: usize) {
        let delay = self.rng.random_range(0..300);
        let run = self.routers[router].run;
        self.after(delay, Event::Report(router, run));
    }

    fn elect(&mut self, is_new_process: bool) {
        let term = Term::new(self.leaders.len() as u64 + 1);
        // A clock that has just started: use before it must be counted all the same.
        let age = if is_new_process { 300 } else { 60_000 };
        let mut leader = Leader {
            ledger: Ledger::new(term, Millis::new(WINDOW)),
            planner: Planner::default(),
            term,
            started_at: (self.now + 100_000) - age,
            ends: u64::MAX,
            configured: usize::MAX,
        };
        let now = Millis::new(self.now + 100_000 - leader.started_at);
        leader.ledger.set_allowed(&self.log);
        leader.ledger.take_over(now, &self.log);
        self.leaders.push(leader);
        self.after(10, Event::Plan(self.leaders.len() - 1));
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.number += 1;
        self.events.insert(self.number, event);
        self.queue.push(Reverse((at, self.number)));
    }

    fn after(&mut self, delay: u64, event: Event) {
        self.schedule(self.now + delay, event);
    }

    /// Returns the delays of the copies of a message.
    fn transit(&mut self, router: usize) -> Vec<u64> {
        let now = self.now;
        let during = |(from, to): (u64, u64)| (from..to).contains(&now);
        let mut cut_off = self.plan.cut_off.iter();
        if cut_off.any(|(r, from, to)| *r == router && during((*from, *to))) {
            return Vec::new();
        }
        if !self.plan.bad_links.is_some_and(during) {
            return vec![self.rng.random_range(1..8)];
        }
        match self.rng.random_range(0..100) {
            0..3 => Vec::new(),
            3..6 => vec![self.rng.random_range(50..1_500)],
            6..9 => vec![self.rng.random_range(1..30), self.rng.random_range(1..900)],
            _ => vec![self.rng.random_range(1..30)],
        }
    }

    fn router_time(&self, router: usize) -> Millis {
        Millis::new(self.now - self.routers[router].started_at)
    }

    fn leader_time(&self, leader: usize) -> Millis {
        Millis::new(self.now + 100_000 - self.leaders[leader].started_at)
    }

    pub fn run(&mut self) {
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > self.plan.length {
                return;
            }
            self.now = at;
            let event = self.events.remove(&number).expect("each event is kept");
            if let Some(router) = event.router() {
                let mut freezes = self.plan.freezes.iter();
                let freeze =
                    freezes.find(|(r, from, to)| *r == router && (*from..*to).contains(&at));
                if let Some((_, _, to)) = freeze {
                    self.schedule(*to, event);
                    continue;
                }
            }
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request(account) => self.request(account),
            Event::Retry(router, run, index, units) => self.retry(router, run, index, units),
            Event::Refund(router, run, index, units) => {
                let now = self.router_time(router);
                let state = &mut self.routers[router];
                if state.run == run {
                    state.quotas.refund(now, &account(index), units);
                }
            }
            Event::Report(router, run) => self.report(router, run),
            Event::ReportAtLeader(router, leader, run, report) => {
                self.report_at_leader(router, leader, run, *report);
            }
            Event::Summary(router, run, number, leader, summary) => {
                self.summary(router, run, number, leader, *summary);
            }
            Event::Timeout(router, run, number) => {
                let state = &mut self.routers[router];
                if state.run == run && state.sent.as_ref().is_some_and(|(n, ..)| *n == number) {
                    state.sent = None;
                    state.leader = None;
                    let delay = self.rng.random_range(30..60);
                    self.after(delay, Event::Report(router, run));
                }
            }
            Event::Plan(leader) => self.next_batch(leader),
            Event::Committed(leader, batch) => {
                self.log.apply(&batch);
                self.batches += 1;
                if self.now < self.leaders[leader].ends {
                    self.leaders[leader].ledger.set_allowed(&self.log);
                    self.after(50, Event::Plan(leader));
                }
            }
            Event::AllLost => {
                self.leaders.last_mut().unwrap().ends = self.now;
                self.after(800, Event::Elect(true));
                for router in 0..self.routers.len() {
                    self.routers[router].is_up = false;
                    self.routers[router].run += 1;
                    let delay = 1_100 + self.rng.random_range(0..200);
                    self.after(delay, Event::Start(router));
                }
            }
            Event::LeaderLost => {
                self.leaders.last_mut().unwrap().ends = self.now + FORMER_LEADER_TIME;
                let delay = self.rng.random_range(20..900);
                self.after(delay, Event::Elect(false));
            }
            Event::Elect(is_new_process) => self.elect(is_new_process),
            Event::Start(router) => {
                let run = self.routers[router].run + 1;
                self.routers[router] = self.start_router(run);
                self.begin(router);
            }
        }
    }

    fn request(&mut self, index: usize) {
        let at = self.plan.demand.partition_point(|(at, _)| *at <= self.now) - 1;
        let demand = [self.plan.demand[at].1, self.plan.light_demand][index];
        let mean = 4_000;
        let gap = -self.rng.random_range(1e-9f64..1.0).ln() * (mean * 1_000) as f64;
        self.after((gap / demand as f64) as u64, Event::Request(index));
        let drawn = self.rng.random_range(0.0..*self.weights.last().unwrap());
        let router = self.weights.partition_point(|w| *w < drawn);
        if !self.routers[router].is_up || self.routers[router].document == usize::MAX {
            return;
        }
        let units = self.rng.random_range(1_000..2 * mean - 1_000);
        let run = self.routers[router].run;
        let mut freezes = self.plan.freezes.iter();
        if !freezes.any(|(r, from, to)| *r == router && (*from..*to).contains(&self.now)) {
            self.charge(router, run, index, units, None);
        }
    }

    fn retry(&mut self, router: usize, run: u64, index: usize, units: u64) {
        let state = &mut self.routers[router];
        let waiting = |w: &(usize, u64, u64)| w.0 == index && w.1 == units;
        if let Some(at) = state.waiting.iter().position(waiting)
            && state.run == run
        {
            state.waiting.remove(at);
            self.charge(router, run, index, units, Some(0));
        }
    }

    /// Charges a request; one that waited already has a deadline.
    fn charge(&mut self, router: usize, run: u64, index: usize, units: u64, until: Option<u64>) {
        let now = self.router_time(router);
        let state = &mut self.routers[router];
        let is_first = until.is_none();
        let charged = state
            .quotas
            .charge_again(now, &account(index), units, is_first);
        let Err(exceeded) = charged else {
            if self.rng.random_bool(0.03) {
                let delay = self.rng.random_range(0..3_000);
                return self.after(delay, Event::Refund(router, run, index, units));
            }
            return self.ran[index].push((self.now, units));
        };
        let until = until.unwrap_or(self.now + 300);
        if !exceeded.may_wait || self.now >= until {
            self.refused[index] += 1;
            return;
        }
        self.waited += usize::from(is_first);
        state.waiting.push((index, units, until));
        let is_idle = state.sent.is_none();
        let due = (state.last_report + MIN_REPORT_GAP).max(self.now);
        if is_first {
            self.schedule(until, Event::Retry(router, run, index, units));
        }
        if is_idle {
            self.schedule(due, Event::Report(router, run));
        }
    }

    fn report(&mut self, router: usize, run: u64) {
        let now = self.router_time(router);
        let newest = self.leaders.len() - 1;
        let state = &mut self.routers[router];
        let is_early = self.now < state.last_report + state.interval && state.leader.is_some();
        if state.run != run || state.sent.is_some() || is_early && !state.quotas.wants_share() {
            return;
        }
        let quotas = &mut state.quotas;
        let claims = quotas.next_claims(now);
        let number = claims.number;
        let address = ([10, 0, (router / 250) as u8, (router % 250) as u8], 80);
        let report = Report {
            gateways: quotas.gateways(),
            spent: quotas.spent(),
            spent_in_window: quotas.spent_in_window(now),
            uptime: now,
            extension: ReportExtension {
                quotas: Some(claims),
                ..ReportExtension::new()
            },
            ..Report::idle(
                Incarnation::new(run + 1),
                address.into(),
                "a".parse().unwrap(),
            )
        };
        state.sent = Some((number, self.now, report.spent.clone()));
        state.last_report = self.now;
        state.reports += 1;
        let leader = state.leader.unwrap_or(newest);
        for delay in self.transit(router) {
            let event = Event::ReportAtLeader(router, leader, run, Box::new(report.clone()));
            self.after(delay, event);
        }
        self.after(REPORT_TIMEOUT, Event::Timeout(router, run, number));
    }

    fn report_at_leader(&mut self, router: usize, leader: usize, run: u64, report: Report) {
        if self.now >= self.leaders[leader].ends {
            return;
        }
        let now = self.leader_time(leader);
        let newest = self.plan.newest(self.now);
        let state = &mut self.leaders[leader];
        if state.configured != newest {
            state.ledger.configure(&self.plan.document(newest));
            state.configured = newest;
        }
        let number = report.extension.quotas.as_ref().map_or(0, |q| q.number);
        let sums = state.ledger.report(now, &name(router), report);
        let shares = state.ledger.shares(now, &name(router));
        for delay in self.transit(router) {
            let summary = Box::new((sums.clone(), shares.clone(), newest));
            self.after(delay, Event::Summary(router, run, number, leader, summary));
        }
    }

    fn summary(
        &mut self,
        router: usize,
        run: u64,
        number: u64,
        leader: usize,
        (sums, shares, document): (Sums, Option<Shares>, usize),
    ) {
        let state = &mut self.routers[router];
        let answered = state.sent.as_ref().is_some_and(|(n, ..)| *n == number);
        if state.run != run || !answered {
            return;
        }
        let (_, sent_at, spent) = state.sent.take().unwrap();
        if state.document != document {
            state.document = document;
            state.quotas.configure(&self.plan.document(document));
        }
        let sent_at = Millis::new(sent_at - state.started_at);
        let interval = sums.report_interval;
        state
            .quotas
            .apply_summary(sent_at, &spent, &sums.remaining, sums.gateways, interval);
        if let Some(shares) = &shares {
            state.quotas.apply_shares(shares);
        }
        state.leader = Some(leader);
        state.interval = interval.as_u64();
        let at = (state.last_report + state.interval).max(self.now + MIN_REPORT_GAP);
        let waiting = std::mem::take(&mut state.waiting);
        self.schedule(at, Event::Report(router, run));
        for (index, units, until) in waiting {
            self.charge(router, run, index, units, Some(until));
        }
    }

    fn next_batch(&mut self, leader: usize) {
        if self.now >= self.leaders[leader].ends {
            return;
        }
        let now = self.leader_time(leader);
        let newest = self.plan.newest(self.now);
        let document = self.plan.document(newest);
        let state = &mut self.leaders[leader];
        if state.configured != newest {
            state.ledger.configure(&document);
            state.configured = newest;
        }
        let standings = state.ledger.standings(now);
        let window = Millis::new(WINDOW);
        let batch = state
            .planner
            .next_batch(now, state.term, window, &self.log, &standings);
        match batch {
            Some(batch) => {
                let delay = self.rng.random_range(3..40);
                self.after(delay, Event::Committed(leader, batch));
            }
            None => self.after(50, Event::Plan(leader)),
        }
    }

    /// Returns the reports of a router a second.
    pub fn reports_per_s(&self) -> f64 {
        let reports: u64 = self.routers.iter().map(|r| r.reports).sum();
        reports as f64 * 1_000.0 / self.plan.length as f64
    }

    fn units(&self, begin: u64) -> u64 {
        let ran = &self.ran[0];
        let first = ran.partition_point(|(at, _)| *at < begin);
        let end = ran.partition_point(|(at, _)| *at < begin + WINDOW);
        ran[first..end].iter().map(|(_, units)| units).sum()
    }

    /// Returns the window of the busy account that is furthest above what is allowed there: its
    /// begin, its units and those allowed.
    pub fn worst_window(&self) -> (u64, f64, f64) {
        let windows = self.ran[0].iter().map(|(begin, _)| {
            let allowed = self.plan.limit_in(*begin) * (1.0 + OVERAGE) + SLACK;
            (*begin, self.units(*begin) as f64, allowed)
        });
        let worst = windows.max_by(|a, b| (a.1 - a.2).total_cmp(&(b.1 - b.2)));
        worst.unwrap_or_default()
    }

    /// Returns the part of the limit that ran, the mean of all windows between two times. An account
    /// that asks for more than its limit uses it up within a second or two, so single windows may lie
    /// between two such times.
    pub fn mean_used(&self, from: u64, to: u64) -> f64 {
        let begins: Vec<u64> = (from..to - WINDOW).step_by(100).collect();
        let parts = begins
            .iter()
            .map(|b| self.units(*b) as f64 / self.plan.limit_in(*b));
        parts.sum::<f64>() / begins.len() as f64
    }
}

impl Event {
    /// Returns the router that handles the event; `None` for others.
    fn router(&self) -> Option<usize> {
        match self {
            Self::Retry(router, ..)
            | Self::Refund(router, ..)
            | Self::Report(router, ..)
            | Self::Summary(router, ..)
            | Self::Timeout(router, ..) => Some(*router),
            _ => None,
        }
    }
}
