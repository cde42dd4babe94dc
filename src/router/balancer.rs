//! Where a router sends work: the servers, how busy they are, and which of them fail.

use std::net;

use crate::clock;
use crate::document;
use crate::fleet::message;
use crate::id;
use crate::sorted;
use crate::unit;

/// The blocks in which model servers hand out memory, in tokens.
const MEMORY_BLOCK_TOKENS: u64 = 16;

/// The prompt tokens that a prefill server reads in a millisecond until one was measured.
const INITIAL_PREFILL_TOKENS_PER_MS: f64 = 30.0;

/// The weight of the newest sample in running means.
const SAMPLE_WEIGHT: f64 = 0.1;

/// The first time without work after a server could not be reached or broke off; each further one
/// in a row is twice as long.
const MIN_EJECTION: clock::Millis = clock::Millis::new(250);

/// The longest time without work; crashed servers are back after some seconds.
const MAX_EJECTION: clock::Millis = clock::Millis::new(4_000);

/// The time without new streams for a server that had no room for one; some streams end meanwhile.
const FULL_BACKOFF: clock::Millis = clock::Millis::new(120);

/// The time without work for a server that is not what the list says; the list lags about as long.
const MISDIRECTED_EJECTION: clock::Millis = clock::Millis::new(1_000);

/// The share of failed answers up to which a server counts as sound; some requests fail anywhere.
const TOLERATED_FAILURE_RATE: f64 = 0.25;

/// How much a share of failures over [`TOLERATED_FAILURE_RATE`] weighs against a share of busy places.
const FAILURE_RATE_PENALTY: f64 = 4.0;

/// What a server of another data centre costs, as a share of its places.
const REMOTE_PENALTY: f64 = 0.02;

/// The share of a server's room up to which requests are placed whose answers are late already; the
/// rest is kept for those that can still be in time, wherever they arrive.
const MAX_UTILISATION_PAST_TARGET: f64 = 0.85;

/// How much busier than the least busy server another may be and still be picked, as a share of its
/// room. What other routers send becomes known a report later; if all took the least busy one, it
/// would get what a whole fleet sends in that time. Half of the slots of a small server.
const PLAIN_TOLERANCE: f64 = 0.5;

/// The same for model servers that generate: about half of what one request holds.
const DECODE_TOLERANCE: f64 = 0.07;

/// The same for model servers that read prompts, in milliseconds: half of what one prompt takes.
const PREFILL_TOLERANCE_MS: f64 = 50.0;

/// The requests that may wait at a server of a plain service, for each that it runs at once.
const MAX_QUEUED_PER_SLOT: u32 = 2;

/// The servers as one router sees them.
#[derive(Debug)]
pub struct Balancer {
    data_centre: id::DataCentre,
    servers: sorted::Map<id::BackendServerId, Backend>,
    remote_loads: sorted::Map<id::BackendServerId, message::Load>,
    remote_loads_at: clock::Millis,
    /// Servers that several other routers can't reach.
    ejected: Vec<id::BackendServerId>,
}

#[derive(Debug)]
struct Backend {
    server: message::Server,
    listed: bool,
    own_load: message::Load,
    consecutive_failures: u32,
    /// Whether the last failure was that no connection could be opened.
    connect_failed: bool,
    ejected_until: clock::Millis,
    full_until: clock::Millis,
    failure_rate: f64,
    prefill_tokens_per_ms: f64,
}

/// A server that was picked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pick {
    /// The server.
    pub id: id::BackendServerId,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// How busy it was when it was picked, as a share of its room.
    pub utilisation_percent: u32,
    /// The age of what was known of the other routers' work there.
    pub report_age: clock::Millis,
}

/// Why no server was picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PickError {
    /// All usable servers are full.
    Full,
    /// There is no usable server.
    NoServer,
}

/// What was known of a service's decode servers when none was picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DecodeStatus {
    /// The servers that generate.
    pub servers: usize,
    /// Those that are neither lost, nor out of reach of others, nor refused a moment ago.
    pub available: usize,
    /// How full the emptiest of these is.
    pub min_utilisation_percent: u32,
    /// The age of what was known of the other routers' work.
    pub report_age: clock::Millis,
}

/// What a request needs of a model server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Requirements {
    /// The memory.
    pub memory: unit::Tokens,
    /// Whether its answer is late already.
    pub past_target: bool,
}

impl Requirements {
    /// Returns the share of a server's room up to which the request may fill it.
    fn max_utilisation(self) -> f64 {
        if self.past_target {
            MAX_UTILISATION_PAST_TARGET
        } else {
            1.0
        }
    }
}

/// How work at a server ended, as far as it tells of the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// As it should.
    Succeeded,
    /// The server said that it failed.
    Failed,
    /// The server broke off or was silent.
    Lost,
    /// No connection to the server could be opened.
    ConnectFailed,
    /// It tells nothing, as when the caller left or the server had no room.
    Neutral,
}

/// Where to read a prompt, and how long that will take.
#[derive(Clone, Debug, PartialEq)]
pub struct PrefillPick {
    /// The server.
    pub pick: Pick,
    /// The time until the prompt is read.
    pub time: clock::Millis,
    /// The tokens that the server reads until then, those of other requests among them.
    pub tokens: unit::Tokens,
}

impl Balancer {
    /// Starts without any server.
    pub fn new(data_centre: id::DataCentre) -> Self {
        Self {
            data_centre,
            servers: sorted::Map::new(),
            remote_loads: sorted::Map::new(),
            remote_loads_at: clock::Millis::ZERO,
            ejected: Vec::new(),
        }
    }

    /// Takes in a list of servers; those that are gone from it get no more work.
    pub fn set_list(&mut self, servers: &[message::Server]) {
        self.servers
            .values_mut()
            .for_each(|backend| backend.listed = false);
        for server in servers {
            let backend = self
                .servers
                .get_or_insert_with(server.id.clone(), || Backend::new(server.clone()));
            backend.server = server.clone();
            backend.listed = true;
        }
        self.prune();
    }

    /// Takes in what the other routers keep the servers busy with.
    pub fn set_remote_loads(
        &mut self,
        now: clock::Millis,
        remote_loads: sorted::Map<id::BackendServerId, message::Load>,
    ) {
        self.remote_loads = remote_loads;
        self.remote_loads_at = now;
    }

    /// Takes in the servers that several other routers can't reach, in order of their names.
    pub fn set_ejected(&mut self, ejected: Vec<id::BackendServerId>) {
        self.ejected = ejected;
    }

    /// Returns the servers that this router could not reach a moment ago.
    pub fn unreachable(&self, now: clock::Millis) -> Vec<id::BackendServerId> {
        let lost = self.servers.iter();
        lost.filter(|(_, p)| p.connect_failed && now < p.ejected_until)
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Returns what this router keeps the servers busy with.
    pub fn loads(&self) -> sorted::Map<id::BackendServerId, message::Load> {
        let utilisation = self.servers.iter().filter(|(_, p)| p.own_load.requests > 0);
        utilisation
            .map(|(id, p)| (id.clone(), p.own_load))
            .collect()
    }

    /// Picks one of the least busy servers of a plain service.
    ///
    /// # Errors
    ///
    /// Tells whether the servers are full or there are none.
    pub fn pick_plain(
        &self,
        now: clock::Millis,
        service: &document::ServiceId,
        tried: &[id::BackendServerId],
        random: u64,
    ) -> Result<Pick, PickError> {
        let candidates = self.candidates(now, service, None, tried);
        let utilisation = |backend: &&Backend| {
            f64::from(self.load(backend).requests) / f64::from(backend.server.slots.max(1))
        };
        let score = |backend: &&Backend| utilisation(backend) + self.penalty(backend);
        let best = pick_near_best(candidates.into_iter(), random, PLAIN_TOLERANCE, score);
        let best = best.ok_or(PickError::NoServer)?;
        let room = best.server.slots.max(1) * (1 + MAX_QUEUED_PER_SLOT);
        if self.load(best).requests >= room {
            return Err(PickError::Full);
        }
        Ok(self.pick(now, best, utilisation(&best)))
    }

    /// Picks one of the servers with the most free memory to generate at.
    ///
    /// # Errors
    ///
    /// Tells whether no server has room for `requirements` or there are none.
    pub fn pick_decode(
        &self,
        now: clock::Millis,
        service: &document::Service,
        requirements: Requirements,
        tried: &[id::BackendServerId],
        random: u64,
    ) -> Result<Pick, PickError> {
        let stage = Some(message::Stage::Decode);
        let candidates = self.candidates(now, &service.id, stage, tried);
        let one_more = message::Load {
            requests: 1,
            memory: requirements.memory,
            ..message::Load::default()
        };
        let utilisation = |backend: &&Backend| {
            let mut load = self.load(backend);
            load.add(one_more);
            utilisation_of(service, load)
        };
        let score = |backend: &&Backend| utilisation(backend) + self.penalty(backend);
        let any = !candidates.is_empty();
        let with_capacity = candidates
            .into_iter()
            .filter(|p| now >= p.full_until && utilisation(p) <= requirements.max_utilisation());
        match pick_near_best(with_capacity, random, DECODE_TOLERANCE, score) {
            Some(best) => Ok(self.pick(now, best, utilisation(&best))),
            None if any => Err(PickError::Full),
            None => Err(PickError::NoServer),
        }
    }

    /// Returns what is known of a service's decode servers, for the log.
    pub fn decode_status(&self, now: clock::Millis, service: &document::Service) -> DecodeStatus {
        let stage = Some(message::Stage::Decode);
        let candidates = self.candidates(now, &service.id, stage, &[]);
        let percent = |p: &&Backend| to_percent(utilisation_of(service, self.load(p)));
        let available = candidates.iter().filter(|p| now >= p.full_until);
        DecodeStatus {
            servers: candidates.len(),
            available: available.clone().count(),
            min_utilisation_percent: available.map(percent).min().unwrap_or_default(),
            report_age: now - self.remote_loads_at,
        }
    }

    /// Picks one of the servers that will have read a prompt first.
    pub fn pick_prefill(
        &self,
        now: clock::Millis,
        service: &document::ServiceId,
        prompt: unit::Tokens,
        tried: &[id::BackendServerId],
        random: u64,
    ) -> Option<PrefillPick> {
        let stage = Some(message::Stage::Prefill);
        let candidates = self.candidates(now, service, stage, tried);
        let time = |backend: &&Backend| {
            let tokens = (self.load(backend).prompts + prompt).as_u64() as f64;
            tokens / backend.prefill_tokens_per_ms * (1.0 + self.penalty(backend))
        };
        let with_room = candidates.into_iter().filter(|p| now >= p.full_until);
        let best = pick_near_best(with_room, random, PREFILL_TOLERANCE_MS, time)?;
        let time = clock::Millis::new(time(&best) as u64);
        Some(PrefillPick {
            pick: self.pick(now, best, 0.0),
            time,
            tokens: self.load(best).prompts + prompt,
        })
    }

    /// Notes that work was given to a server.
    pub fn add_load(&mut self, id: &id::BackendServerId, load: message::Load) {
        if let Some(backend) = self.servers.get_mut(id) {
            backend.own_load.add(load);
        }
    }

    /// Notes that work at a server ended.
    pub fn remove_load(
        &mut self,
        now: clock::Millis,
        id: &id::BackendServerId,
        load: message::Load,
        remove_load: Outcome,
    ) {
        if let Some(backend) = self.servers.get_mut(id) {
            backend.own_load.requests -= load.requests;
            backend.own_load.memory = backend.own_load.memory.saturating_sub(load.memory);
            backend.own_load.prompts = backend.own_load.prompts.saturating_sub(load.prompts);
            backend.record_outcome(now, remove_load);
        }
        self.prune();
    }

    /// Notes how long a server took to read the prompts that it had.
    pub fn record_prefill(
        &mut self,
        id: &id::BackendServerId,
        tokens: unit::Tokens,
        took: clock::Millis,
    ) {
        if let Some(backend) = self.servers.get_mut(id) {
            let rate = tokens.as_u64() as f64 / took.as_u64().max(1) as f64;
            backend.prefill_tokens_per_ms += (rate - backend.prefill_tokens_per_ms) * SAMPLE_WEIGHT;
        }
    }

    /// Gives a server no work for a moment, as it has less room than it seems to have.
    pub fn mark_full(&mut self, now: clock::Millis, id: &id::BackendServerId) {
        if let Some(backend) = self.servers.get_mut(id) {
            backend.full_until = now + FULL_BACKOFF;
        }
    }

    /// Gives a server no work for a while, as another one has its address now, or it does other
    /// work than the list says.
    pub fn mark_misdirected(&mut self, now: clock::Millis, id: &id::BackendServerId) {
        if let Some(backend) = self.servers.get_mut(id) {
            backend.ejected_until = now + MISDIRECTED_EJECTION;
        }
    }

    fn prune(&mut self) {
        self.servers
            .retain(|_, backend| backend.listed || backend.own_load.requests > 0);
    }

    fn pick(&self, now: clock::Millis, backend: &Backend, utilisation: f64) -> Pick {
        Pick {
            id: backend.server.id.clone(),
            address: backend.server.address,
            utilisation_percent: to_percent(utilisation),
            report_age: now - self.remote_loads_at,
        }
    }

    /// Tells whether other routers can't reach a server.
    fn is_ejected(&self, backend: &Backend) -> bool {
        self.ejected.binary_search(&backend.server.id).is_ok()
    }

    fn load(&self, backend: &Backend) -> message::Load {
        let mut load = backend.own_load;
        load.add(
            self.remote_loads
                .get(&backend.server.id)
                .copied()
                .unwrap_or_default(),
        );
        load
    }

    fn penalty(&self, backend: &Backend) -> f64 {
        let failures =
            (backend.failure_rate - TOLERATED_FAILURE_RATE).max(0.0) * FAILURE_RATE_PENALTY;
        let remote = backend.server.data_centre != self.data_centre;
        failures + if remote { REMOTE_PENALTY } else { 0.0 }
    }

    /// Returns the servers that may get work; those that pause come in when there is no other.
    fn candidates(
        &self,
        now: clock::Millis,
        service: &document::ServiceId,
        stage: Option<message::Stage>,
        tried: &[id::BackendServerId],
    ) -> Vec<&Backend> {
        let fits = |backend: &&Backend| {
            backend.listed
                && backend.server.state == message::ServerState::Ready
                && backend.server.service == *service
                && (stage.is_none() || backend.server.stage == stage)
                && !tried.contains(&backend.server.id)
        };
        let with_capacity: Vec<&Backend> = self.servers.values().filter(fits).collect();
        let available: Vec<&Backend> = with_capacity
            .iter()
            .copied()
            .filter(|p| now >= p.ejected_until && !self.is_ejected(p))
            .collect();
        if available.is_empty() {
            with_capacity
        } else {
            available
        }
    }
}

impl Backend {
    fn new(server: message::Server) -> Self {
        Self {
            server,
            listed: true,
            own_load: message::Load::default(),
            consecutive_failures: 0,
            connect_failed: false,
            ejected_until: clock::Millis::ZERO,
            full_until: clock::Millis::ZERO,
            failure_rate: 0.0,
            prefill_tokens_per_ms: INITIAL_PREFILL_TOKENS_PER_MS,
        }
    }

    fn record_outcome(&mut self, now: clock::Millis, remove_load: Outcome) {
        let sample = match remove_load {
            Outcome::Neutral => return,
            Outcome::Succeeded => 0.0,
            Outcome::Failed | Outcome::Lost | Outcome::ConnectFailed => 1.0,
        };
        self.failure_rate += (sample - self.failure_rate) * SAMPLE_WEIGHT;
        self.connect_failed = remove_load == Outcome::ConnectFailed;
        if remove_load == Outcome::Succeeded || remove_load == Outcome::Failed {
            self.consecutive_failures = 0;
            return;
        }
        let ejection = MIN_EJECTION * (1 << self.consecutive_failures.min(8));
        self.consecutive_failures += 1;
        self.ejected_until = now + ejection.min(MAX_EJECTION);
    }
}

/// Returns the share of a model server's room that a load takes: of its memory or of its slots,
/// whichever is more.
fn utilisation_of(service: &document::Service, load: message::Load) -> f64 {
    let engine = service.engine.as_ref();
    let (slots, memory) = engine.map_or((1, u64::MAX), |e| (e.slots, e.memory.as_u64()));
    let memory_share = load.memory.as_u64() as f64 / memory.max(1) as f64;
    let slot_share = f64::from(load.requests) / f64::from(slots.max(1));
    memory_share.max(slot_share)
}

fn to_percent(share: f64) -> u32 {
    (share * 100.0) as u32
}

/// Returns the memory that a generation needs.
pub fn memory_for(prompt: unit::Tokens, output: unit::Tokens) -> unit::Tokens {
    let tokens = prompt.as_u64() + output.as_u64();
    unit::Tokens::new(tokens.div_ceil(MEMORY_BLOCK_TOKENS) * MEMORY_BLOCK_TOKENS)
}

/// Returns one of the entries whose score is at most `tolerance` over the lowest, by a number drawn at
/// random, so that routers with the same view don't all take the same one.
fn pick_near_best<'a>(
    backends: impl Iterator<Item = &'a Backend>,
    random: u64,
    tolerance: f64,
    score: impl Fn(&&'a Backend) -> f64,
) -> Option<&'a Backend> {
    let scored: Vec<(f64, &Backend)> = backends.map(|backend| (score(&backend), backend)).collect();
    let lowest = scored
        .iter()
        .map(|(score, _)| *score)
        .min_by(f64::total_cmp)?;
    let within: Vec<&Backend> = scored
        .into_iter()
        .filter(|(score, _)| *score <= lowest + tolerance)
        .map(|(_, backend)| backend)
        .collect();
    Some(within[(random % within.len() as u64) as usize])
}
