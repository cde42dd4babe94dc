//! A fleet of routers with a leader, without network: lists, streams, and callers that come back.

use std::collections::VecDeque;
use std::ops::Range;

use buckthorncleat::clock::Millis;
use buckthorncleat::document::Share;
use buckthorncleat::fleet::message::{Server, ServerState};
use buckthorncleat::fleet::origin::{Batch, Origin, Question, Record, Registry, StreamId};
use buckthorncleat::id::Term;
use buckthorncleat::router::origins::{self, Step};
use buckthorncleat::state::command::{Command, State};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

/// Length of a step of the simulation.
const STEP: u64 = 10;
pub const TIME_LIMIT: Millis = Millis::new(7_000);
/// Time without a leader after one was lost.
const ELECTION: u64 = 600;
/// Time in which lost routers are back.
const RESTART: u64 = 500;
/// Time without a summary after which a router reads the list itself.
const SUMMARY_TIMEOUT: u64 = 1_500;
/// How long a caller tries to come back, or to begin a stream.
const PATIENCE: u64 = 6_000;

/// What the platform lists at a time.
pub type PlatformList = fn(now: u64) -> Vec<Server>;

/// The trouble with the platform's list.
#[derive(Clone, Default)]
pub struct ListTrouble {
    /// How far the list lags behind.
    pub lag: u64,
    /// When no list can be read.
    pub refused: Option<Range<u64>>,
    /// When half of the servers are missing in each list.
    pub in_part: Option<Range<u64>>,
}

struct Router {
    origins: origins::Origins,
    list: Vec<Server>,
    next_summary: u64,
    summary_at: u64,
    /// The time from which on it runs.
    up_from: u64,
}

struct Stream {
    /// The ids of the attempts that brought events.
    attempts: Vec<StreamId>,
    origin: Origin,
    router: usize,
    ends_at: u64,
}

/// A caller whose stream broke off, or one that wants to begin a stream (`None`).
struct Caller {
    stream: Option<Stream>,
    next_try: u64,
    broken_at: u64,
}

/// Callers, and those among them that were served.
#[derive(Clone, Copy, Default)]
pub struct Served {
    pub all: u32,
    pub served: u32,
}

/// What a run has seen: streams that were taken up while two servers of their version served, and new
/// ones at the same times.
#[derive(Clone, Copy, Default)]
pub struct Seen {
    pub resumed: Served,
    pub begun: Served,
}

impl Seen {
    pub fn add(&mut self, other: &Self) {
        for (sum, part) in [
            (&mut self.resumed, other.resumed),
            (&mut self.begun, other.begun),
        ] {
            sum.all += part.all;
            sum.served += part.served;
        }
    }
}

impl Served {
    pub fn add(&mut self, served: bool) {
        self.all += 1;
        self.served += u32::from(served);
    }

    pub fn share(self) -> f64 {
        f64::from(self.served) / f64::from(self.all.max(1))
    }
}

pub struct Fleet {
    rng: ChaCha8Rng,
    pub now: u64,
    term: u64,
    leader_from: u64,
    registry: Registry,
    state: State,
    /// Batches on their way to a quorum.
    commits: VecDeque<(u64, Batch)>,
    platform: PlatformList,
    trouble: ListTrouble,
    /// The list as the leader read it, less the servers of versions that are not committed.
    read: Vec<Server>,
    /// The list that the leader gives to routers.
    list: Vec<Server>,
    /// Records on their way to the leader, with their term.
    told: VecDeque<(u64, usize, Term, Vec<Record>)>,
    routers: Vec<Router>,
    streams: Vec<Stream>,
    callers: Vec<Caller>,
    pub seen: Seen,
}

pub fn server(n: u64, version: &str) -> Server {
    Server {
        id: format!("s-{n}-{version}").parse().unwrap(),
        service: "llm".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "a".parse().unwrap(),
        slots: 8,
        state: ServerState::Ready,
        version: Some(version.parse().unwrap()),
        stage: None,
        started_at: None,
    }
}

fn versions_of(list: &[Server]) -> Vec<Origin> {
    let mut versions: Vec<Origin> = list.iter().filter_map(Origin::from_server).collect();
    versions.sort();
    versions.dedup();
    versions
}

impl Fleet {
    pub fn new(routers: usize, seed: u64, platform: PlatformList, trouble: ListTrouble) -> Self {
        let mut fleet = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            term: 0,
            leader_from: 0,
            registry: Registry::default(),
            state: State::default(),
            commits: VecDeque::new(),
            platform,
            trouble,
            read: Vec::new(),
            list: Vec::new(),
            told: VecDeque::new(),
            routers: (0..routers).map(|_| Router::new(0)).collect(),
            streams: Vec::new(),
            callers: Vec::new(),
            seen: Seen::default(),
        };
        fleet.elect();
        fleet.leader_from = 0;
        fleet
    }

    /// Loses the leader; the next one begins with what is committed.
    pub fn elect(&mut self) {
        self.term += 1;
        self.leader_from = self.now + ELECTION;
        self.registry = Registry::default();
        self.list.clear();
        self.read.clear();
        self.told.clear();
        // What the former leader proposed may be committed or not.
        while let Some((_, batch)) = self.commits.pop_front() {
            if self.rng.random_bool(0.5) {
                self.state.apply(&Command::Origins(batch));
            }
        }
        self.state = State::from_bytes(&self.state.to_bytes().unwrap()).unwrap();
    }

    fn leads(&self) -> bool {
        self.now >= self.leader_from
    }

    fn interval(&self) -> u64 {
        100 + 2 * self.routers.len() as u64
    }

    pub fn step(&mut self) {
        self.now += STEP;
        while self.commits.front().is_some_and(|(at, _)| *at <= self.now) {
            let (_, batch) = self.commits.pop_front().unwrap();
            self.state.apply(&Command::Origins(batch));
        }
        if self.leads() {
            self.lead();
        }
        // Every second message is lost.
        let arrives: u64 = self.rng.random();
        for at in 0..self.routers.len() {
            if self.routers[at].up_from <= self.now {
                self.route(at, arrives >> (at % 64) & 1 == 1);
            }
        }
        if self.now >= 2_000 {
            for _ in 0..2 {
                let router = self.rng.random_range(0..self.routers.len());
                self.begin(router);
            }
        }
        self.serve_callers();
        let now = self.now;
        self.streams.retain(|s| now < s.ends_at);
    }

    /// Reads the platform's list; `None` when it is refused.
    fn read_list(&mut self) -> Option<Vec<Server>> {
        let is_now = |range: &Option<Range<u64>>| {
            range
                .as_ref()
                .is_some_and(|range| range.contains(&self.now))
        };
        if is_now(&self.trouble.refused) {
            return None;
        }
        let in_part = is_now(&self.trouble.in_part);
        let mut list = (self.platform)(self.now.saturating_sub(self.trouble.lag));
        list.retain(|_| !in_part || self.rng.random_bool(0.5));
        Some(list)
    }

    fn lead(&mut self) {
        let now = Millis::new(self.now);
        let is_due = self.now.is_multiple_of(500) || self.read.is_empty();
        if is_due && let Some(list) = self.read_list() {
            let new = self.registry.set_listed(now, &list, self.state.origins());
            self.read = list;
            let batch = Batch {
                versions: new.clone(),
                ..Batch::default()
            };
            // Without an answer in time a batch may be committed or not.
            let is_certain = self.rng.random_bool(0.8);
            if is_certain || self.rng.random_bool(0.5) {
                self.state.apply(&Command::Origins(batch));
            }
            let is_new = |o| new.contains(&o);
            self.read
                .retain(|s| is_certain || !Origin::from_server(s).is_some_and(is_new));
        }
        if self.now.is_multiple_of(50) || self.list.is_empty() {
            let withheld = self.registry.withheld(now, self.state.origins());
            let is_withheld = |o| withheld.contains(&o);
            self.list = self.read.clone();
            self.list
                .retain(|s| !Origin::from_server(s).is_some_and(is_withheld));
        }
        while self.told.front().is_some_and(|(at, ..)| *at <= self.now) {
            let (_, router, term, records) = self.told.pop_front().unwrap();
            if term == Term::new(self.term) {
                self.registry.record(records.clone());
                self.routers[router].origins.confirm(term, &records);
            }
        }
        if self.now.is_multiple_of(100)
            && let Some(batch) = self.registry.next_batch(now, self.state.origins())
        {
            self.commits.push_back((self.now + 20, batch));
        }
    }

    fn route(&mut self, at: usize, arrives: bool) {
        let (now, interval, leads) = (self.now, self.interval(), self.leads());
        let router = &mut self.routers[at];
        if leads && now >= router.next_summary {
            // The document comes with the first report.
            self.registry.set_time_limit(TIME_LIMIT);
            let name = format!("r-{at}").parse().unwrap();
            let is_first = router.summary_at == 0;
            self.registry
                .record_summary(Millis::new(now), &name, is_first);
            (router.next_summary, router.summary_at) = (now + interval, now);
            let told = self.registry.told_services(self.state.origins());
            router.origins.apply_summary(Term::new(self.term), told);
            if !self.list.is_empty() {
                router.origins.admit(versions_of(&self.list).into_iter());
                router.list.clone_from(&self.list);
            }
        } else if now >= router.summary_at + SUMMARY_TIMEOUT && now.is_multiple_of(2_000) {
            self.read_without_leader(at);
        }
        let router = &self.routers[at];
        if leads
            && arrives
            && let Some((term, records)) = router.origins.untold(Millis::new(now))
        {
            self.told.push_back((now + 2 * STEP, at, term, records));
        }
    }

    fn read_without_leader(&mut self, at: usize) {
        let Some(mut list) = self.read_list() else {
            return;
        };
        let router = &mut self.routers[at];
        router.origins.retain_admitted(&versions_of(&list));
        list.retain(|s| Origin::from_server(s).is_none_or(|o| router.origins.is_admitted(&o)));
        router.list = list;
    }

    fn draw_id(&mut self) -> StreamId {
        StreamId::new(None, &self.rng.random::<u64>().to_string())
    }

    /// Begins a stream at a router, if that has a server.
    fn begin(&mut self, router: usize) {
        let servers = &self.routers[router].list;
        if self.routers[router].up_from > self.now || servers.is_empty() {
            return;
        }
        let server = &servers[self.rng.random_range(0..servers.len())];
        let origin = Origin::from_server(server).unwrap();
        let attempts = vec![self.draw_id()];
        self.run(router, attempts, origin);
    }

    fn run(&mut self, router: usize, attempts: Vec<StreamId>, origin: Origin) {
        let (now, ends_by) = (Millis::new(self.now), Millis::new(self.now) + TIME_LIMIT);
        for id in &attempts {
            let origins = &mut self.routers[router].origins;
            origins.record(now, *id, origin.clone(), ends_by);
        }
        self.streams.push(Stream {
            attempts,
            origin,
            router,
            ends_at: self.now + self.rng.random_range(500..6_000),
        });
    }

    pub fn lose_any_router(&mut self) {
        let lost = self.rng.random_range(0..self.routers.len());
        self.lose_router(lost);
    }

    /// Loses a router. Callers of its streams come back, and as many begin streams.
    fn lose_router(&mut self, lost: usize) {
        self.routers[lost] = Router::new(self.now + self.rng.random_range(0..RESTART));
        let broken: Vec<Stream> = self.streams.extract_if(.., |s| s.router == lost).collect();
        for stream in broken {
            for stream in [Some(stream), None] {
                self.callers.push(Caller {
                    stream,
                    next_try: self.now + STEP,
                    broken_at: self.now,
                });
            }
        }
    }

    pub fn lose_all_routers(&mut self) {
        for router in 0..self.routers.len() {
            self.lose_router(router);
        }
    }

    fn serve_callers(&mut self) {
        for mut caller in std::mem::take(&mut self.callers) {
            let is_due = self.now >= caller.next_try;
            let is_served = is_due && self.serve(&caller);
            if is_served || self.now >= caller.broken_at + PATIENCE {
                self.count(&caller, is_served);
                continue;
            }
            if is_due {
                caller.next_try = self.now + self.rng.random_range(500..1_000);
            }
            self.callers.push(caller);
        }
    }

    fn count(&mut self, caller: &Caller, is_served: bool) {
        let Some(stream) = &caller.stream else {
            return self.seen.begun.add(is_served);
        };
        let times = [caller.broken_at, caller.broken_at + PATIENCE];
        let serving = times.map(|at| {
            let list = (self.platform)(at);
            let same = |s: &&Server| Origin::from_server(s).as_ref() == Some(&stream.origin);
            list.iter().filter(same).count()
        });
        if serving.iter().all(|servers| *servers >= 2) {
            self.seen.resumed.add(is_served);
        }
    }

    fn serve(&mut self, caller: &Caller) -> bool {
        let router = self.rng.random_range(0..self.routers.len());
        if self.routers[router].up_from > self.now {
            return false;
        }
        let Some(stream) = &caller.stream else {
            return !self.routers[router].list.is_empty();
        };
        let named = stream.attempts[self.rng.random_range(0..stream.attempts.len())];
        let Some(origin) = self.find(router, named) else {
            return false;
        };
        assert_eq!(origin, stream.origin, "a stream goes on at another version");
        let runs_it = |s: &Server| Origin::from_server(s).as_ref() == Some(&origin);
        if !self.routers[router].list.iter().any(runs_it) {
            return false;
        }
        let own = self.draw_id();
        self.run(router, vec![named, own], origin);
        true
    }

    fn find(&self, router: usize, stream: StreamId) -> Option<Origin> {
        let own = self.routers[router].origins.get(&stream).cloned();
        let now = Millis::new(self.now);
        let question = Question {
            stream: Some(stream),
            services: vec!["llm".parse().unwrap()],
        };
        let answer = match own {
            Some(origin) => Some(buckthorncleat::fleet::origin::Answer::Known(origin)),
            None if !self.leads() || self.routers[router].summary_at == 0 => None,
            None => Some(self.registry.answer(now, self.state.origins(), &question)),
        };
        let split = [Share {
            service: "llm".parse().unwrap(),
            weight: 1,
        }];
        match origins::decide(answer, Millis::ZERO, &split) {
            Step::GoOn(origin) => Some(origin),
            Step::AskAgain | Step::RefuseUnknown | Step::RefuseLate => None,
        }
    }

    /// Returns whether the log has several versions.
    pub fn is_mixed(&self) -> bool {
        !self.state.origins().mixed().is_empty()
    }
}

impl Router {
    fn new(up_from: u64) -> Self {
        Self {
            origins: origins::Origins::default(),
            list: Vec::new(),
            next_summary: 0,
            summary_at: 0,
            up_from,
        }
    }
}

/// Returns the number of seeds for a fleet; fewer for the large ones, which take longest in CI.
pub fn seeds(routers: usize) -> u64 {
    let seeds = std::env::var("BUCKTHORNCLEAT_SEEDS").ok();
    let few = if routers > 100 { 1 } else { 3 };
    seeds.and_then(|s| s.parse().ok()).unwrap_or(few)
}
