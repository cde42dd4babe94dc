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
use crate::workload;

pub const PREFILL_ENGINES: usize = 4;
pub const DECODE_ENGINES: usize = 8;
pub const FIRST_TOKEN_TARGET_MS: u64 = 2_000;
pub const TOKEN_GAP_TARGET_MS: f64 = 40.0;
const MAX_OUTPUT_TOKENS: u64 = 1_000;
/// The network time of a message between gateways, owner and engines.
const HOP_MS: u64 = 2;
const REPORT_INTERVAL_MS: u64 = 500;
const REPORT_DELAY_MS: u64 = 500;
/// Callers wait this long for the first token, in targets.
const MAX_WAIT_TARGETS: u64 = 3;

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
enum Phase {
    NotArrived,
    AwaitingPlacement,
    Prefilling,
    Exported { since: u64 },
    Transferring { since: u64, remaining_bytes: f64 },
    Decoding,
    Ended,
}

/// One request from its arrival to its end.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: workload::Request,
    phase: Phase,
    place: Option<message::Placement>,
    exclude: Vec<id::BackendServerId>,
    attempts: u64,
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
        let between = (ended - first) as f64 / (self.request.output.max(2) - 1) as f64;
        first - self.request.arrived_at <= FIRST_TOKEN_TARGET_MS && between <= TOKEN_GAP_TARGET_MS
    }
}

pub struct Simulation {
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
    decode_links: Vec<f64>,
    pending_inputs: collections::BTreeMap<(u64, u64), scheduler::Input>,
    sequence: u64,
    rng: rand_chacha::ChaCha8Rng,
    pub computed: f64,
    pub wasted: f64,
    pub steps: u64,
}

fn server_index(id: &id::BackendServerId) -> usize {
    id.as_str()[1..].parse().expect("a number after a letter")
}

impl Simulation {
    pub fn new(
        seed: u64,
        requests: Vec<workload::Request>,
        settings: scheduler::Settings,
        fault: Fault,
    ) -> Self {
        let run = |request| Run {
            request,
            phase: Phase::NotArrived,
            place: None,
            exclude: Vec::new(),
            attempts: 0,
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
            runs: requests.into_iter().map(run).collect(),
            active: Vec::new(),
            by_request: collections::BTreeMap::new(),
            prefills: vec![engine::PrefillEngine::default(); PREFILL_ENGINES],
            decodes: vec![engine::DecodeEngine::default(); DECODE_ENGINES],
            decode_links: vec![engine::LINK_BYTES_PER_MS; DECODE_ENGINES],
            pending_inputs: collections::BTreeMap::new(),
            sequence: 0,
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(seed ^ 0x5eed),
            computed: 0.0,
            wasted: 0.0,
            steps: 0,
        }
    }

    /// Runs to the end of a time.
    pub fn run(&mut self, duration_ms: u64) {
        self.step(setup::configuration());
        let mut next = 0;
        for now in 0..duration_ms {
            self.now = now;
            self.inject_fault(duration_ms);
            while next < self.runs.len() && self.runs[next].request.arrived_at <= now {
                self.active.push(next);
                self.request_placement(next);
                next += 1;
            }
            self.deliver_due_inputs();
            self.run_prefills();
            self.run_transfers();
            self.run_decodes();
            if now % 100 == 0 {
                self.abandon_late_requests();
            }
            if now % 1_000 == 0 {
                self.renew_reservations();
            }
            if now % REPORT_INTERVAL_MS == 0 {
                self.report_loads();
            }
            self.active
                .retain(|run_index| self.runs[*run_index].phase != Phase::Ended);
            if self.scheduler.next_wakeup().as_u64() <= now {
                self.step(scheduler::Input::Tick);
            }
        }
    }

    fn deliver_due_inputs(&mut self) {
        while let Some(first) = self.pending_inputs.first_entry() {
            if first.key().0 > self.now {
                break;
            }
            let mut input = first.remove();
            if let scheduler::Input::Request {
                gateway,
                request: message::Request::Report(live),
            } = &mut input
            {
                *live = self.live_reservations(gateway);
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
                scheduler::Output::Reply { request, reply, .. } => {
                    self.handle_reply(request, reply)
                }
                scheduler::Output::Cancel { server, request } => self.cancel(&server, request),
                scheduler::Output::ImmediateReply { .. } => {}
            }
        }
    }

    fn run_prefills(&mut self) {
        for index in 0..PREFILL_ENGINES {
            let mut engine = std::mem::take(&mut self.prefills[index]);
            let mut total = 0.0;
            let runs = &mut self.runs;
            let done = engine.run(&mut |run_index, tokens| {
                runs[run_index].computed += tokens;
                total += tokens;
            });
            self.computed += total;
            self.prefills[index] = engine;
            let Some(done) = done else { continue };
            self.runs[done.run_index].phase = Phase::Exported { since: self.now };
            let Some(placement) = &self.runs[done.run_index].place else {
                continue;
            };
            let prefilled = message::Prefilled {
                reservation: placement.reservation,
                cached: unit::Tokens::new(done.cached),
                kv: unit::Bytes::new(done.prompt * engine::KV_BYTES_PER_TOKEN),
            };
            self.send(
                2 * HOP_MS,
                done.run_index,
                message::Request::Prefilled(prefilled),
            );
        }
    }

    fn run_transfers(&mut self) {
        let mut transferring = Vec::new();
        for run_index in self.active.clone() {
            match self.runs[run_index].phase {
                Phase::Exported { since } if self.now > since + engine::EXPORT_TTL_MS => {
                    self.fail(run_index, false);
                }
                Phase::Exported { since } if self.now >= since + 2 * HOP_MS => {
                    self.import(run_index, since)
                }
                Phase::Transferring { since, .. } if self.now > since + engine::EXPORT_TTL_MS => {
                    self.fail(run_index, false);
                }
                Phase::Transferring { .. } => transferring.push(run_index),
                _ => {}
            }
        }
        let endpoints: Vec<_> = transferring
            .iter()
            .map(|run_index| self.endpoints(*run_index))
            .collect();
        let rates = engine::transfer_rates(&endpoints, PREFILL_ENGINES, &self.decode_links);
        for (run_index, rate) in transferring.into_iter().zip(rates) {
            self.advance_transfer(run_index, rate);
        }
    }

    fn endpoints(&self, run_index: usize) -> (usize, usize) {
        let placement = self.runs[run_index]
            .place
            .as_ref()
            .expect("an exported or transferring request has a placement");
        (
            server_index(&placement.prefill),
            server_index(&placement.decode),
        )
    }

    fn import(&mut self, run_index: usize, since: u64) {
        let (_, decode) = self.endpoints(run_index);
        if self.decodes[decode].dead {
            return self.fail(run_index, true);
        }
        let run = &self.runs[run_index];
        let tokens = run.request.prompt + run.delivered as u64;
        let stream = engine::Stream {
            run_index,
            pieces: (run.request.prompt + MAX_OUTPUT_TOKENS).div_ceil(workload::PIECE_TOKENS),
            generating: false,
            tokens: run.delivered,
            wanted: run.request.output as f64,
        };
        if self.decodes[decode].import(stream) {
            let remaining_bytes = (tokens * engine::KV_BYTES_PER_TOKEN) as f64;
            self.runs[run_index].phase = Phase::Transferring {
                since,
                remaining_bytes,
            };
        }
    }

    fn advance_transfer(&mut self, run_index: usize, rate: f64) {
        let (_, decode) = self.endpoints(run_index);
        let Phase::Transferring {
            remaining_bytes, ..
        } = &mut self.runs[run_index].phase
        else {
            return;
        };
        *remaining_bytes -= rate;
        if *remaining_bytes > 0.0 {
            return;
        }
        self.runs[run_index].phase = Phase::Decoding;
        let streams = &mut self.decodes[decode].streams;
        if let Some(stream) = streams.iter_mut().find(|s| s.run_index == run_index) {
            stream.generating = true;
        }
        if let Some(placement) = &self.runs[run_index].place {
            let request = message::Request::Transferred(placement.reservation);
            self.send(HOP_MS, run_index, request);
        }
    }

    fn run_decodes(&mut self) {
        for index in 0..DECODE_ENGINES {
            self.decodes[index].run();
            let mut ended = Vec::new();
            for stream in &self.decodes[index].streams {
                let run = &mut self.runs[stream.run_index];
                run.delivered = stream.tokens;
                if stream.tokens >= 1.0 && run.first_token.is_none() {
                    run.first_token = Some(self.now);
                }
                if stream.tokens >= stream.wanted {
                    ended.push(stream.run_index);
                }
            }
            self.decodes[index].streams.retain(|s| s.tokens < s.wanted);
            for run_index in ended {
                self.runs[run_index].ended = Some(self.now);
                self.finish(run_index, true);
                self.runs[run_index].phase = Phase::Ended;
            }
        }
    }
}
