//! Selects the backend server for each request, by load, data centre and recent failures.

mod cold;
mod evacuations;
mod limits;

use std::net;

use crate::clock;
use crate::document;
use crate::fleet::evacuation;
use crate::fleet::message;
use crate::id;
use crate::router::availability;
use crate::router::backend;
use crate::router::headroom;
use crate::router::permits;
use crate::router::protocol;
use crate::sorted;
use crate::unit;

pub use crate::router::availability::Outcome;
pub use crate::router::availability::PickError;

/// Model servers allocate KV memory in blocks of this size.
const MEMORY_BLOCK_TOKENS: u64 = 16;

/// Penalty for a server in another data centre, as a share of its capacity.
const REMOTE_PENALTY: f64 = 0.02;

/// Utilisation up to which a server takes requests that have already missed their latency target.
/// The rest is kept for requests that can still meet it, whichever router receives them.
const MAX_UTILISATION_PAST_TARGET: f64 = 0.85;

/// Requests that may wait at a server of a plain service, for each of its slots.
const MAX_QUEUED_PER_SLOT: u32 = 2;

/// The backend servers that one router knows, with their load and health.
#[derive(Debug)]
pub struct Balancer {
    data_centre: id::DataCentre,
    servers: sorted::Map<id::BackendServerId, backend::Backend>,
    remote_loads: sorted::Map<id::BackendServerId, message::Load>,
    remote_loads_at: clock::Millis,
    /// Rates at which the other routers receive requests.
    remote_rates: sorted::Map<document::ServiceId, unit::RequestsPerSecond>,
    /// Interval between two reports of one router.
    report_interval: clock::Millis,
    /// Servers that several other routers can't connect to or lose calls at, sorted by id.
    ejected: Vec<id::BackendServerId>,
    /// Servers that told another router that they are leaving, sorted by id.
    leaving: Vec<id::BackendServerId>,
    /// When the read of the list in force began, at the earliest.
    list_read_at: clock::Millis,
    /// Limits of calls that servers name to any router, by the leader.
    limits: sorted::Map<id::BackendServerId, unit::CallRate>,
    evacuations: evacuation::Known,
    cold: cold::ColdStarts,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pick {
    pub id: id::BackendServerId,
    pub address: net::SocketAddr,
    pub data_centre: id::DataCentre,
    /// The software version of the server; `None` when the list does not say.
    pub version: Option<id::SoftwareVersion>,
    /// Utilisation at the time of the pick, in percent of the server's capacity.
    pub utilisation_percent: u32,
    /// Age of the loads that the other routers had reported.
    pub report_age: clock::Millis,
    /// The permit for the call; `None` when the server names no limit.
    pub permit: Option<permits::Permit>,
}

/// Which servers to pick from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Access {
    /// Those that name no limit of calls.
    Free,
    /// Those that name one.
    WithPermit,
}

/// State of a service's decode servers, logged when none could be picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DecodeStatus {
    /// Number of listed decode servers.
    pub servers: usize,
    /// Those that may be picked now, if they have the memory.
    pub available: usize,
    /// The lowest utilisation among the available servers, in percent.
    pub min_utilisation_percent: u32,
    /// Age of the loads that the other routers had reported.
    pub report_age: clock::Millis,
}

/// What a request requires of a decode server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Requirements {
    /// KV memory for prompt and output.
    pub memory: unit::Tokens,
    /// Whether the request has already missed its latency target.
    pub past_target: bool,
}

impl Requirements {
    fn to_load(self) -> message::Load {
        message::Load {
            requests: 1,
            memory: self.memory,
            ..message::Load::default()
        }
    }

    /// Returns the highest utilisation that the request may bring a server to.
    fn max_utilisation(self) -> f64 {
        if self.past_target {
            MAX_UTILISATION_PAST_TARGET
        } else {
            1.0
        }
    }
}

/// A prefill server and the predicted time of the prefill.
#[derive(Clone, Debug, PartialEq)]
pub struct PrefillPick {
    pub pick: Pick,
    /// Predicted time until the prefill is done.
    pub time: clock::Millis,
    /// Prompt tokens that the server processes until then, including those of other requests.
    pub tokens: unit::Tokens,
}

impl Balancer {
    pub fn new(data_centre: id::DataCentre) -> Self {
        Self {
            data_centre,
            servers: sorted::Map::new(),
            remote_loads: sorted::Map::new(),
            remote_loads_at: clock::Millis::ZERO,
            remote_rates: sorted::Map::new(),
            report_interval: clock::Millis::ZERO,
            ejected: Vec::new(),
            leaving: Vec::new(),
            list_read_at: clock::Millis::ZERO,
            limits: sorted::Map::new(),
            evacuations: evacuation::Known::default(),
            cold: cold::ColdStarts::default(),
        }
    }

    /// Replaces the server list. Servers that are no longer listed get no more work.
    pub fn set_list(&mut self, now: clock::Millis, servers: &[message::Server]) {
        self.prune(now);
        for backend in self.servers.values_mut() {
            backend.availability.unlist(now);
        }
        for server in servers {
            let backend = self
                .servers
                .get_or_insert_with(server.id.clone(), || backend::Backend::new(server.clone()));
            backend.availability.list(now, &backend.server, server);
            backend.forget_former_start(server);
            backend.server = server.clone();
            backend.fleet_limit = self.limits.get(&server.id).copied();
            backend.remote_load = load_of(&self.remote_loads, &server.id);
        }
        self.prune(now);
    }

    /// Records that the list in force was read from `read_at` on, at the earliest.
    pub fn set_list_read_at(&mut self, read_at: clock::Millis) {
        self.list_read_at = self.list_read_at.max(read_at);
    }

    /// Sets the load that the other routers have on each server.
    pub fn set_remote_loads(
        &mut self,
        now: clock::Millis,
        remote_loads: sorted::Map<id::BackendServerId, message::Load>,
    ) {
        for backend in self.servers.values_mut() {
            backend.remote_load = load_of(&remote_loads, &backend.server.id);
        }
        self.remote_loads = remote_loads;
        self.remote_loads_at = now;
    }

    /// Sets the rates at which the other routers receive requests, and the interval at which each
    /// of them reports its loads.
    pub fn set_remote_rates(
        &mut self,
        rates: sorted::Map<document::ServiceId, unit::RequestsPerSecond>,
        report_interval: clock::Millis,
    ) {
        self.remote_rates = rates;
        self.report_interval = report_interval;
    }

    /// Sets the servers that several other routers can't connect to or lose calls at, sorted by id.
    pub fn set_ejected(&mut self, ejected: Vec<id::BackendServerId>) {
        self.ejected = ejected;
    }

    /// Sets the servers that told another router that they are leaving, sorted by id.
    pub fn set_leaving(&mut self, leaving: Vec<id::BackendServerId>) {
        self.leaving = leaving;
    }

    /// Returns the servers that are ejected because this router could not connect to them.
    pub fn unreachable(&self, now: clock::Millis) -> Vec<id::BackendServerId> {
        self.ids_where(|availability| availability.is_unreachable(now))
    }

    /// Returns the service of a server, and the number of servers that the list names for it; `None` for
    /// a server that is not known.
    pub fn service_of(&self, server: &id::BackendServerId) -> Option<(document::ServiceId, usize)> {
        let service = &self.servers.get(server)?.server.service;
        Some((service.clone(), self.listed(service).count()))
    }

    /// Returns the services that have listed servers, sorted.
    pub fn services(&self) -> Vec<document::ServiceId> {
        let listed = self.servers.values();
        let listed = listed.filter(|b| !b.availability.is_unlisted());
        let mut services: Vec<_> = listed.map(|b| b.server.service.clone()).collect();
        services.sort();
        services.dedup();
        services
    }

    /// Returns the listed servers of a service, by id.
    pub fn servers_of(
        &self,
        service: &document::ServiceId,
    ) -> Vec<(id::BackendServerId, net::SocketAddr)> {
        let servers = self.listed(service);
        servers.map(|s| (s.id.clone(), s.address)).collect()
    }

    fn listed(&self, service: &document::ServiceId) -> impl Iterator<Item = &message::Server> {
        let listed = self.servers.values();
        let listed = listed.filter(|b| !b.availability.is_unlisted());
        let servers = listed.map(|b| &b.server);
        servers.filter(move |s| s.service == *service)
    }

    /// Returns how this router's calls of the last two seconds ended, for each server that had some.
    pub fn endings(
        &self,
        now: clock::Millis,
    ) -> sorted::Map<id::BackendServerId, message::Endings> {
        let servers = self.servers.iter();
        let endings = servers.map(|(id, p)| (id.clone(), p.recent_endings(now)));
        endings.filter(|(_, e)| e.calls > 0).collect()
    }

    /// Returns the servers that told this router that they are leaving.
    pub fn leaving(&self) -> Vec<id::BackendServerId> {
        self.ids_where(availability::Availability::says_leaving)
    }

    fn ids_where(
        &self,
        condition: impl Fn(&availability::Availability) -> bool,
    ) -> Vec<id::BackendServerId> {
        let matching = self
            .servers
            .iter()
            .filter(|(_, p)| condition(&p.availability));
        matching.map(|(id, _)| id.clone()).collect()
    }

    /// Returns the servers of a service that run another software version than the given one.
    pub fn servers_of_other_versions(
        &self,
        service: &document::ServiceId,
        version: Option<&id::SoftwareVersion>,
    ) -> Vec<id::BackendServerId> {
        let servers = self.servers.values().map(|b| &b.server);
        let others = servers.filter(|s| s.service == *service && s.version.as_ref() != version);
        others.map(|s| s.id.clone()).collect()
    }

    /// Returns the servers of a service that this router could not connect to so lately that they may have
    /// started again with another software version than the list shows.
    pub fn servers_of_uncertain_version(
        &self,
        service: &document::ServiceId,
    ) -> Vec<id::BackendServerId> {
        let servers = self.servers.iter().filter(|(_, b)| {
            b.server.service == *service && b.availability.may_have_restarted(self.list_read_at)
        });
        servers.map(|(id, _)| id.clone()).collect()
    }

    /// Returns whether a server still runs the software version that it had when it was picked.
    pub fn has_version_of(&self, pick: &Pick) -> bool {
        let backend = self.servers.get(&pick.id);
        backend.is_some_and(|b| b.server.version == pick.version)
    }

    /// Returns the load that this router has on each server where it has requests.
    pub fn loads(&self) -> sorted::Map<id::BackendServerId, message::Load> {
        let busy = self.servers.iter().filter(|(_, p)| p.own_load.requests > 0);
        busy.map(|(id, p)| (id.clone(), p.own_load)).collect()
    }

    /// Picks a server of a plain service among the least utilised ones.
    ///
    /// # Errors
    ///
    /// Fails with `Full` when the queues of all candidates are full, with `Limited` when they need a
    /// permit, with `Quiet` when they want no calls, with `Leaving` or `Evacuated`
    /// when they take nothing new, with `NoServer` without a candidate.
    pub fn pick_plain(
        &self,
        now: clock::Millis,
        service: &document::ServiceId,
        tried: &[id::BackendServerId],
        random: u64,
    ) -> Result<Pick, PickError> {
        let purpose = availability::Purpose::Plain;
        let candidates = self.candidates(now, service, purpose, tried, Access::Free)?;
        let score = |b: &&backend::Backend| self.plain_utilisation(b) + self.penalty(b);
        let slots = candidates.iter().map(|p| p.server.slots.max(1)).max();
        let one_request = 1.0 / f64::from(slots.unwrap_or(1));
        let spread = one_request * (1.0 + self.unseen_requests(now, service));
        let with_capacity = candidates
            .into_iter()
            .filter(|b| self.has_plain_capacity(b));
        match headroom::pick(with_capacity, random, spread, score) {
            Some(best) => Ok(self.pick(now, best, self.plain_utilisation(best))),
            None => Err(PickError::Full),
        }
    }

    fn plain_utilisation(&self, backend: &backend::Backend) -> f64 {
        f64::from(self.load(backend).requests) / f64::from(backend.server.slots.max(1))
    }

    fn has_plain_capacity(&self, backend: &backend::Backend) -> bool {
        let slots = backend.server.slots.max(1);
        self.load(backend).requests < slots.saturating_mul(1 + MAX_QUEUED_PER_SLOT)
    }

    /// Picks a decode server among those with the most free capacity.
    ///
    /// # Errors
    ///
    /// Fails with `Full` when no candidate has the required capacity, with `Limited` when they need
    /// a permit, with `Quiet` when they want no calls, with `Leaving` or `Evacuated`
    /// when they take nothing new, with `NoServer` without a candidate.
    pub fn pick_decode(
        &self,
        now: clock::Millis,
        service: &document::Service,
        requirements: Requirements,
        tried: &[id::BackendServerId],
        random: u64,
    ) -> Result<Pick, PickError> {
        let purpose = availability::Purpose::Decode;
        let candidates = self.candidates(now, &service.id, purpose, tried, Access::Free)?;
        let utilisation = |b: &&backend::Backend| self.decode_utilisation(b, service, requirements);
        let score = |backend: &&backend::Backend| utilisation(backend) + self.penalty(backend);
        let with_capacity = candidates
            .into_iter()
            .filter(|p| utilisation(p) <= requirements.max_utilisation());
        let unseen = self.unseen_requests(now, &service.id);
        let spread = utilisation_of(service, requirements.to_load()) * (1.0 + unseen);
        match headroom::pick(with_capacity, random, spread, score) {
            Some(best) => Ok(self.pick(now, best, utilisation(&best))),
            None => Err(PickError::Full),
        }
    }

    /// Returns the utilisation that one more request would bring a decode server to.
    fn decode_utilisation(
        &self,
        backend: &backend::Backend,
        service: &document::Service,
        requirements: Requirements,
    ) -> f64 {
        let mut load = self.load(backend);
        load.add(requirements.to_load());
        utilisation_of(service, load)
    }

    /// Returns the state of a service's decode servers, for the log.
    pub fn decode_status(&self, now: clock::Millis, service: &document::Service) -> DecodeStatus {
        let purpose = availability::Purpose::Decode;
        let listed = self.matching(&service.id, purpose, &[]);
        let available = self.candidates(now, &service.id, purpose, &[], Access::Free);
        let available = available.unwrap_or_default();
        let percent = |p: &&backend::Backend| to_percent(utilisation_of(service, self.load(p)));
        DecodeStatus {
            servers: listed.count(),
            available: available.len(),
            min_utilisation_percent: available.iter().map(percent).min().unwrap_or_default(),
            report_age: now - self.remote_loads_at,
        }
    }

    /// Picks a prefill server among those with the shortest predicted time; `None` without a
    /// candidate.
    pub fn pick_prefill(
        &self,
        now: clock::Millis,
        service: &document::ServiceId,
        prompt: unit::Tokens,
        tried: &[id::BackendServerId],
        random: u64,
    ) -> Option<PrefillPick> {
        let purpose = availability::Purpose::Prefill;
        let candidates = self.candidates(now, service, purpose, tried, Access::Free);
        let candidates = candidates.ok()?;
        let time = |backend: &&backend::Backend| self.prefill_ms(backend, prompt);
        let one_prompt = prompt.as_u64() as f64 / backend::INITIAL_PREFILL_TOKENS_PER_MS;
        let spread = one_prompt * (1.0 + self.unseen_requests(now, service));
        let best = headroom::pick(candidates.into_iter(), random, spread, time)?;
        Some(self.prefill_pick(now, best, prompt))
    }

    /// Returns the predicted milliseconds until a server has processed one more prompt.
    fn prefill_ms(&self, backend: &backend::Backend, prompt: unit::Tokens) -> f64 {
        let tokens = (self.load(backend).prompts + prompt).as_u64() as f64;
        tokens / backend.prefill_tokens_per_ms * (1.0 + self.penalty(backend))
    }

    fn prefill_pick(
        &self,
        now: clock::Millis,
        backend: &backend::Backend,
        prompt: unit::Tokens,
    ) -> PrefillPick {
        PrefillPick {
            pick: self.pick(now, backend, 0.0),
            time: clock::Millis::new(self.prefill_ms(backend, prompt) as u64),
            tokens: self.load(backend).prompts + prompt,
        }
    }

    /// Adds work that this router sends to a server.
    pub fn add_load(&mut self, id: &id::BackendServerId, load: message::Load) {
        if let Some(backend) = self.servers.get_mut(id) {
            backend.own_load.add(load);
        }
    }

    /// Removes work that ended and records its outcome.
    pub fn remove_load(
        &mut self,
        now: clock::Millis,
        id: &id::BackendServerId,
        load: message::Load,
        outcome: Outcome,
    ) {
        if let Some(backend) = self.servers.get_mut(id) {
            // The server may have left the list when the load was added, and be back by now.
            backend.own_load.requests = backend.own_load.requests.saturating_sub(load.requests);
            backend.own_load.memory = backend.own_load.memory.saturating_sub(load.memory);
            backend.own_load.prompts = backend.own_load.prompts.saturating_sub(load.prompts);
            backend.record_outcome(now, outcome);
            Self::record_loss(backend, now, outcome);
        }
        self.prune(now);
    }

    /// Records how long a server took for a number of prompt tokens.
    pub fn record_prefill(
        &mut self,
        id: &id::BackendServerId,
        tokens: unit::Tokens,
        took: clock::Millis,
    ) {
        if let Some(backend) = self.servers.get_mut(id) {
            backend.record_prefill(tokens, took);
        }
    }

    /// Excludes a server from new streams for a short time, after it refused work for lack of
    /// capacity.
    pub fn mark_full(&mut self, now: clock::Millis, id: &id::BackendServerId) {
        if let Some(backend) = self.servers.get_mut(id) {
            backend.availability.mark_full(now);
        }
    }

    /// Ejects a server for a short time, after another server answered at its address or its role
    /// was not the listed one.
    pub fn mark_misdirected(&mut self, now: clock::Millis, id: &id::BackendServerId) {
        if let Some(backend) = self.servers.get_mut(id) {
            backend.availability.mark_misdirected(now);
        }
    }

    /// Begins a call to a server that was picked before; returns what [`Self::end_call`] needs.
    ///
    /// # Errors
    ///
    /// Fails with the server's state when that does not allow the call any more.
    pub fn begin_call(
        &mut self,
        now: clock::Millis,
        id: &id::BackendServerId,
        purpose: availability::Purpose,
    ) -> Result<bool, availability::State> {
        let state = self.state(now, id);
        if !state.may_send(purpose) {
            return Err(state);
        }
        let backend = self.servers.get_mut(id);
        Ok(backend.is_some_and(|b| b.availability.begin_call()))
    }

    /// Ends a call to a server.
    pub fn end_call(&mut self, id: &id::BackendServerId, counted: bool) {
        if let Some(backend) = self.servers.get_mut(id) {
            backend.availability.end_call(counted);
        }
    }

    /// Applies what the head of an answer says of its server; returns what is new.
    pub fn record_answer(
        &mut self,
        now: clock::Millis,
        id: &id::BackendServerId,
        answer: &protocol::ServerAnswer,
    ) -> Option<availability::Change> {
        let backend = self.servers.get_mut(id)?;
        let started_at = backend.server.started_at;
        backend.availability.record_answer(now, started_at, answer)
    }

    /// Returns the state of a server; one that is not known is leaving.
    pub fn state(&self, now: clock::Millis, id: &id::BackendServerId) -> availability::State {
        let backend = self.servers.get(id);
        backend.map_or(availability::State::Leaving, |b| {
            self.with_news(b, b.availability.state(now))
        })
    }

    /// Returns the state of a server for a call that has begun already.
    pub fn state_under_call(
        &self,
        now: clock::Millis,
        id: &id::BackendServerId,
    ) -> availability::State {
        let backend = self.servers.get(id);
        backend.map_or(availability::State::Leaving, |b| {
            self.with_news(b, b.availability.state_under_call(now))
        })
    }

    /// Returns the state that follows from this router's view and the other routers' news.
    fn with_news(
        &self,
        backend: &backend::Backend,
        state: availability::State,
    ) -> availability::State {
        let contains = |ids: &[id::BackendServerId]| ids.binary_search(&backend.server.id).is_ok();
        match state {
            _ if self.evacuations.contains(&backend.server.data_centre) => {
                availability::State::Evacuated
            }
            _ if contains(&self.leaving) => availability::State::Leaving,
            availability::State::Open | availability::State::Full if contains(&self.ejected) => {
                availability::State::Ejected
            }
            state => state,
        }
    }

    fn prune(&mut self, now: clock::Millis) {
        self.servers.retain(|_, backend| {
            backend.availability.is_kept(now) || backend.own_load.requests > 0
        });
    }

    fn pick(&self, now: clock::Millis, backend: &backend::Backend, utilisation: f64) -> Pick {
        Pick {
            id: backend.server.id.clone(),
            address: backend.server.address,
            data_centre: backend.server.data_centre.clone(),
            version: backend.server.version.clone(),
            utilisation_percent: to_percent(utilisation),
            report_age: now - self.remote_loads_at,
            permit: None,
        }
    }

    fn load(&self, backend: &backend::Backend) -> message::Load {
        let mut load = backend.own_load;
        load.add(backend.remote_load);
        load
    }

    /// Estimates how many requests for a service the other routers have received that are not
    /// contained in the known loads: those of the time since the last summary, and of half a report
    /// interval before it.
    fn unseen_requests(&self, now: clock::Millis, service: &document::ServiceId) -> f64 {
        let rate = self.remote_rates.get(service).copied().unwrap_or_default();
        let age = (now - self.remote_loads_at).as_secs_f64();
        rate.as_u64() as f64 * (age + self.report_interval.as_secs_f64() / 2.0)
    }

    fn penalty(&self, backend: &backend::Backend) -> f64 {
        let remote = backend.server.data_centre != self.data_centre;
        backend.failure_penalty() + if remote { REMOTE_PENALTY } else { 0.0 }
    }

    /// Returns the servers of a service that fit a purpose, whatever their state.
    fn matching(
        &self,
        service: &document::ServiceId,
        purpose: availability::Purpose,
        tried: &[id::BackendServerId],
    ) -> impl Iterator<Item = &backend::Backend> {
        let stage = purpose.stage();
        self.servers.values().filter(move |backend| {
            let server = &backend.server;
            server.service == *service
                && (stage.is_none() || server.stage == stage)
                && !tried.contains(&server.id)
        })
    }

    /// Returns the servers that may be picked now, of those that need a permit or of the others.
    /// Ejected ones are returned only when no other server can be picked.
    ///
    /// # Errors
    ///
    /// Fails with `Full` when a server takes work once it has capacity again, with `Limited` when
    /// those that take calls need a permit, with `Quiet` when all want no calls, with `Leaving` or
    /// `Evacuated` when all take nothing new, with `NoServer` when there is none.
    fn candidates(
        &self,
        now: clock::Millis,
        service: &document::ServiceId,
        purpose: availability::Purpose,
        tried: &[id::BackendServerId],
        access: Access,
    ) -> Result<Vec<&backend::Backend>, PickError> {
        let servers = self.matching(service, purpose, tried);
        if access == Access::WithPermit && !self.is_any_limited(now) {
            return Err(PickError::NoServer);
        }
        let with_state = servers.map(|b| (b, self.with_news(b, b.availability.state(now))));
        let (limited, free): (Vec<_>, Vec<_>) =
            with_state.partition(|(b, _)| self.needs_permit(now, b));
        if access == Access::WithPermit {
            return availability::pickable(limited.into_iter(), purpose);
        }
        let takes_calls = |(_, state): &(_, availability::State)| {
            state.admission(purpose) == availability::Admission::Now
        };
        let is_sound = |(_, state): &(_, availability::State)| {
            let admission = state.admission(purpose);
            admission == availability::Admission::Now
                || admission == availability::Admission::WhenFree
        };
        if limited.iter().any(takes_calls) && !free.iter().any(is_sound) {
            return Err(PickError::Limited);
        }
        availability::pickable(free.into_iter(), purpose)
    }
}

/// Returns the share of a model server's capacity that a load takes: of its memory or its slots,
/// whichever is higher.
fn utilisation_of(service: &document::Service, load: message::Load) -> f64 {
    let engine = service.engine.as_ref();
    let (slots, memory) = engine.map_or((1, u64::MAX), |e| (e.slots, e.memory.as_u64()));
    let memory_share = load.memory.as_u64() as f64 / memory.max(1) as f64;
    let slot_share = f64::from(load.requests) / f64::from(slots.max(1));
    memory_share.max(slot_share)
}

fn load_of(
    loads: &sorted::Map<id::BackendServerId, message::Load>,
    id: &id::BackendServerId,
) -> message::Load {
    loads.get(id).copied().unwrap_or_default()
}

fn to_percent(share: f64) -> u32 {
    (share * 100.0) as u32
}

/// Returns the KV memory for a prompt and its output, rounded up to whole blocks.
pub fn memory_for(prompt: unit::Tokens, output: unit::Tokens) -> unit::Tokens {
    let tokens = prompt.as_u64() + output.as_u64();
    unit::Tokens::new(tokens.div_ceil(MEMORY_BLOCK_TOKENS) * MEMORY_BLOCK_TOKENS)
}
