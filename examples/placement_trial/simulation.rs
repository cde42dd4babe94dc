//! The simulation: the real scheduler of one model with simulated callers, gateways, engines and
//! network, in virtual time.
//!
//! Time advances in steps of one millisecond. Messages take a fixed time and are not lost, except
//! for a tenth of the cache events, and for messages in flight to a scheduler owner that is killed.

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
/// Target for the time between tokens. A request meets it by its mean.
pub const TOKEN_GAP_TARGET_MS: f64 = 40.0;
/// Longest output that the model allows and that each request declares; the real outputs are
/// shorter.
const MAX_OUTPUT_TOKENS: u64 = 1_000;
/// One-way network time of a message between gateways, scheduler owner and engines.
const HOP_MS: u64 = 2;
const REPORT_INTERVAL_MS: u64 = 500;
/// Age of a report of an engine when the scheduler gets it.
const REPORT_DELAY_MS: u64 = 500;
/// Callers give up when the first token has not come within this multiple of
/// [`FIRST_TOKEN_TARGET_MS`].
const MAX_WAIT_TARGETS: u64 = 3;

/// The fault that is injected after a third of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// One decode engine stops for good and loses its streams.
    DecodeLost,
    /// One prefill engine takes four times as long.
    PrefillSlow,
    /// The link of one decode engine has a tenth of its bandwidth.
    LinkSlow,
    /// The scheduler owner is killed; a new one without state starts 1.5 s later.
    OwnerKilled,
}

#[derive(Clone, Debug, PartialEq)]
enum Phase {
    NotArrived,
    AwaitingPlacement,
    Prefilling,
    /// The prefill ended at `since`; the KV cache waits for room at the decode engine.
    Exported {
        since: u64,
    },
    /// The KV cache is on its way; `since` is the end of the prefill.
    Transferring {
        since: u64,
        remaining_bytes: f64,
    },
    Decoding,
    /// Completed, refused or abandoned.
    Ended,
}

/// The progress of one request from its arrival to its end. Times are virtual, in milliseconds.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: workload::Request,
    phase: Phase,
    placement: Option<message::Placement>,
    /// Servers that failed in earlier attempts.
    exclude: Vec<id::BackendServerId>,
    attempts: u64,
    /// Tokens delivered to the caller in all attempts.
    delivered: f64,
    /// Prefill tokens computed in the current attempt.
    computed: f64,
    pub first_token: Option<u64>,
    /// When the last token was delivered; `None` if the request did not complete.
    pub ended: Option<u64>,
    pub refused: bool,
}

impl Run {
    /// Returns whether the request completed and met both targets: the time to the first token, and
    /// the mean time between tokens.
    pub fn is_good(&self) -> bool {
        let (Some(first), Some(ended)) = (self.first_token, self.ended) else {
            return false;
        };
        let between = (ended - first) as f64 / (self.request.output.max(2) - 1) as f64;
        first - self.request.arrived_at <= FIRST_TOKEN_TARGET_MS && between <= TOKEN_GAP_TARGET_MS
    }
}

pub struct Simulation {
    /// Virtual time in milliseconds.
    now: u64,
    fault: Fault,
    settings: scheduler::Settings,
    scheduler: scheduler::Scheduler,
    /// Until this time the scheduler owner is down and gets no input.
    down_until: u64,
    /// All requests of the workload, in order of arrival.
    pub runs: Vec<Run>,
    /// Indexes in `runs` of the requests that have arrived and not ended.
    active: Vec<usize>,
    /// Indexes in `runs` by the id of each attempt.
    by_request: collections::BTreeMap<u128, usize>,
    prefills: Vec<engine::PrefillEngine>,
    decodes: Vec<engine::DecodeEngine>,
    /// Bandwidth of each decode engine's link, in bytes per millisecond.
    decode_links: Vec<f64>,
    /// Inputs on their way to the scheduler, by arrival time and then in the order sent.
    pending_inputs: collections::BTreeMap<(u64, u64), scheduler::Input>,
    /// Number of inputs sent so far.
    sequence: u64,
    rng: rand_chacha::ChaCha8Rng,
    /// Prefill tokens computed for all requests.
    pub computed: f64,
    /// Prefill tokens computed for attempts that ended before they decoded, and for requests that
    /// their callers gave up.
    pub wasted: f64,
    /// Inputs that the scheduler handled.
    pub steps: u64,
}

/// Returns the index of an engine from its id, such as 3 from `p3` or `d3`.
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
            placement: None,
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

    /// Runs the simulation for `duration_ms` of virtual time.
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

    /// Passes the inputs that are due to the scheduler.
    ///
    /// A `Report` of a gateway is filled in here, so that it shows the reservations at delivery.
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

    /// Passes an input to the scheduler, unless its owner is down, and carries out the outputs.
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
            let Some(placement) = &self.runs[done.run_index].placement else {
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

    /// Starts, continues and expires the transfers of KV caches.
    fn run_transfers(&mut self) {
        let mut transferring = Vec::new();
        for run_index in self.active.clone() {
            match self.runs[run_index].phase {
                Phase::Exported { since } if self.now > since + engine::EXPORT_TTL_MS => {
                    self.fail_attempt(run_index, false);
                }
                Phase::Exported { since } if self.now >= since + 2 * HOP_MS => {
                    self.import(run_index, since)
                }
                Phase::Transferring { since, .. } if self.now > since + engine::EXPORT_TTL_MS => {
                    self.fail_attempt(run_index, false);
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

    /// Returns the indexes of the prefill and the decode engine of a placed request.
    ///
    /// # Panics
    ///
    /// If the request has no placement.
    fn endpoints(&self, run_index: usize) -> (usize, usize) {
        let placement = self.runs[run_index]
            .placement
            .as_ref()
            .expect("an exported or transferring request has a placement");
        (
            server_index(&placement.prefill),
            server_index(&placement.decode),
        )
    }

    /// Starts the transfer of an exported KV cache if the decode engine has room.
    ///
    /// The stream reserves memory for its prompt and the longest output.
    fn import(&mut self, run_index: usize, since: u64) {
        let (_, decode) = self.endpoints(run_index);
        if self.decodes[decode].dead {
            return self.fail_attempt(run_index, true);
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

    /// Advances a transfer by one millisecond at `rate` bytes per millisecond; starts the stream at
    /// its end.
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
        if let Some(placement) = &self.runs[run_index].placement {
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
