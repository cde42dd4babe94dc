//! Callers, gateways and engines around one scheduler, in virtual time.

mod faults;
mod gateway;
mod reports;
mod setup;

use std::collections;

use buckthorncleat::clock;
use buckthorncleat::controller::scheduler;
use buckthorncleat::controller::scheduler::message;
use buckthorncleat::id;
use buckthorncleat::unit;

use rand::SeedableRng as _;

use crate::engine;
use crate::shard;
use crate::work;

pub const PREFILLS: usize = 4;
pub const DECODES: usize = 8;
pub const FIRST_TOKEN: u64 = 2_000;
pub const BETWEEN: f64 = 40.0;
const MOST_OUTPUT: u64 = 1_000;
/// The network time of a message between gateways, owner and engines.
const HOP: u64 = 2;
const REPORT_EVERY: u64 = 500;
const REPORT_LAG: u64 = 500;
/// Callers wait this long for the first token, in targets.
const PATIENCE: u64 = 3;

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    DecodeLost,
    PrefillSlow,
    LinkSlow,
    OwnerKilled,
}

#[derive(Clone, Debug, PartialEq)]
enum State {
    Away,
    Asked,
    Prefilling,
    Exported { since: u64 },
    Moving { since: u64, left: f64 },
    Decoding,
    Over,
}

/// One request from its arrival to its end.
#[derive(Clone, Debug)]
pub struct Run {
    pub work: work::Work,
    state: State,
    place: Option<message::Placement>,
    exclude: Vec<id::BackendServerId>,
    tries: u64,
    delivered: f64,
    computed: f64,
    pub first_token: Option<u64>,
    pub ended: Option<u64>,
    pub refused: bool,
}

impl Run {
    /// Tells whether the answer came whole and within both targets.
    pub fn is_good(&self) -> bool {
        let (Some(first), Some(ended)) = (self.first_token, self.ended) else {
            return false;
        };
        let between = (ended - first) as f64 / (self.work.output.max(2) - 1) as f64;
        first - self.work.at <= FIRST_TOKEN && between <= BETWEEN
    }
}

pub struct World {
    now: u64,
    fault: Fault,
    settings: scheduler::Settings,
    scheduler: scheduler::Scheduler,
    down_until: u64,
    pub runs: Vec<Run>,
    active: Vec<usize>,
    by_request: collections::BTreeMap<u128, usize>,
    prefills: Vec<engine::PrefillEngine>,
    decodes: Vec<engine::DecodeEngine>,
    links: Vec<f64>,
    later: collections::BTreeMap<(u64, u64), scheduler::Input>,
    sequence: u64,
    rng: rand_chacha::ChaCha8Rng,
    pub computed: f64,
    pub wasted: f64,
    pub steps: u64,
}

fn number(id: &id::BackendServerId) -> usize {
    id.as_str()[1..].parse().expect("a number after a letter")
}

impl World {
    pub fn new(
        seed: u64,
        works: Vec<work::Work>,
        settings: scheduler::Settings,
        fault: Fault,
    ) -> Self {
        let run = |work| Run {
            work,
            state: State::Away,
            place: None,
            exclude: Vec::new(),
            tries: 0,
            delivered: 0.0,
            computed: 0.0,
            first_token: None,
            ended: None,
            refused: false,
        };
        let start = clock::Millis::ZERO;
        Self {
            now: 0,
            fault,
            scheduler: scheduler::Scheduler::new(start, shard::name("m"), settings.clone(), 1),
            settings,
            down_until: 0,
            runs: works.into_iter().map(run).collect(),
            active: Vec::new(),
            by_request: collections::BTreeMap::new(),
            prefills: vec![engine::PrefillEngine::default(); PREFILLS],
            decodes: vec![engine::DecodeEngine::default(); DECODES],
            links: vec![engine::LINK_PER_MILLI; DECODES],
            later: collections::BTreeMap::new(),
            sequence: 0,
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(seed ^ 0x5eed),
            computed: 0.0,
            wasted: 0.0,
            steps: 0,
        }
    }

    /// Runs to the end of a time.
    pub fn run(&mut self, millis: u64) {
        self.step(setup::configuration());
        let mut next = 0;
        for now in 0..millis {
            self.now = now;
            self.break_things(millis);
            while next < self.runs.len() && self.runs[next].work.at <= now {
                self.active.push(next);
                self.ask(next);
                next += 1;
            }
            self.deliver();
            self.run_prefills();
            self.run_transfers();
            self.run_decodes();
            if now % 100 == 0 {
                self.give_up();
            }
            if now % 1_000 == 0 {
                self.renew();
            }
            if now % REPORT_EVERY == 0 {
                self.report();
            }
            self.active.retain(|at| self.runs[*at].state != State::Over);
            if self.scheduler.next_wakeup().as_u64() <= now {
                self.step(scheduler::Input::Tick);
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(first) = self.later.first_entry() {
            if first.key().0 > self.now {
                break;
            }
            let mut input = first.remove();
            if let scheduler::Input::Request {
                gateway,
                request: message::Request::Report(live),
            } = &mut input
            {
                *live = self.live_of(gateway);
            }
            self.step(input);
        }
    }

    fn step(&mut self, input: scheduler::Input) {
        if self.now < self.down_until {
            return;
        }
        self.steps += 1;
        for output in self.scheduler.step(clock::Millis::new(self.now), input) {
            match output {
                scheduler::Output::Reply { request, reply, .. } => self.answer(request, reply),
                scheduler::Output::Cancel { server, request } => self.cancel(&server, request),
                scheduler::Output::ImmediateReply { .. } => {}
            }
        }
    }

    fn run_prefills(&mut self) {
        for index in 0..PREFILLS {
            let mut engine = std::mem::take(&mut self.prefills[index]);
            let mut total = 0.0;
            let runs = &mut self.runs;
            let done = engine.run(&mut |at, tokens| {
                runs[at].computed += tokens;
                total += tokens;
            });
            self.computed += total;
            self.prefills[index] = engine;
            let Some(done) = done else { continue };
            self.runs[done.work].state = State::Exported { since: self.now };
            let Some(placement) = &self.runs[done.work].place else {
                continue;
            };
            let prefilled = message::Prefilled {
                reservation: placement.reservation,
                cached: unit::Tokens::new(done.cached),
                kv: unit::Bytes::new(done.prompt * engine::KV_PER_TOKEN),
            };
            self.send(2 * HOP, done.work, message::Request::Prefilled(prefilled));
        }
    }

    fn run_transfers(&mut self) {
        let mut moving = Vec::new();
        for at in self.active.clone() {
            match self.runs[at].state {
                State::Exported { since } if self.now > since + engine::EXPORT_LIFE => {
                    self.fail(at, false);
                }
                State::Exported { since } if self.now >= since + 2 * HOP => self.import(at, since),
                State::Moving { since, .. } if self.now > since + engine::EXPORT_LIFE => {
                    self.fail(at, false);
                }
                State::Moving { .. } => moving.push(at),
                _ => {}
            }
        }
        let ends: Vec<_> = moving.iter().map(|at| self.ends(*at)).collect();
        let rates = engine::transfer_rates(&ends, PREFILLS, &self.links);
        for (at, rate) in moving.into_iter().zip(rates) {
            self.move_on(at, rate);
        }
    }

    fn ends(&self, at: usize) -> (usize, usize) {
        let placement = self.runs[at]
            .place
            .as_ref()
            .expect("a moving request is placed");
        (number(&placement.prefill), number(&placement.decode))
    }

    fn import(&mut self, at: usize, since: u64) {
        let (_, decode) = self.ends(at);
        if self.decodes[decode].dead {
            return self.fail(at, true);
        }
        let run = &self.runs[at];
        let tokens = run.work.prompt + run.delivered as u64;
        let stream = engine::Stream {
            work: at,
            pieces: (run.work.prompt + MOST_OUTPUT).div_ceil(work::PIECE),
            runs: false,
            tokens: run.delivered,
            wanted: run.work.output as f64,
        };
        if self.decodes[decode].import(stream) {
            let left = (tokens * engine::KV_PER_TOKEN) as f64;
            self.runs[at].state = State::Moving { since, left };
        }
    }

    fn move_on(&mut self, at: usize, rate: f64) {
        let (_, decode) = self.ends(at);
        let State::Moving { left, .. } = &mut self.runs[at].state else {
            return;
        };
        *left -= rate;
        if *left > 0.0 {
            return;
        }
        self.runs[at].state = State::Decoding;
        let streams = &mut self.decodes[decode].streams;
        if let Some(stream) = streams.iter_mut().find(|s| s.work == at) {
            stream.runs = true;
        }
        if let Some(placement) = &self.runs[at].place {
            let request = message::Request::Transferred(placement.reservation);
            self.send(HOP, at, request);
        }
    }

    fn run_decodes(&mut self) {
        for index in 0..DECODES {
            self.decodes[index].run();
            let mut over = Vec::new();
            for stream in &self.decodes[index].streams {
                let run = &mut self.runs[stream.work];
                run.delivered = stream.tokens;
                if stream.tokens >= 1.0 && run.first_token.is_none() {
                    run.first_token = Some(self.now);
                }
                if stream.tokens >= stream.wanted {
                    over.push(stream.work);
                }
            }
            self.decodes[index].streams.retain(|s| s.tokens < s.wanted);
            for at in over {
                self.runs[at].ended = Some(self.now);
                self.finish(at, true);
                self.runs[at].state = State::Over;
            }
        }
    }
}
