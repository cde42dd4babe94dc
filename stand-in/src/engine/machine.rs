//! The state machine of an engine. The caller passes in the time and does all I/O.

use buckthorncleat::backend::wire;
use buckthorncleat::clock;
use buckthorncleat::id;
use buckthorncleat::sorted;
use buckthorncleat::state::model;
use buckthorncleat::unit;

use crate::engine::cache;
use crate::engine::load;
use crate::engine::refusal;
use crate::engine::request;
use crate::engine::settings;
use crate::engine::totals;

/// How long an answer, ended or not, is kept while no stream of it is open.
pub const UNREAD_ANSWER_TTL: clock::Millis = clock::Millis::from_secs(2);

/// How long calls for a request are refused after it was cancelled.
pub const CANCELLED_TTL: clock::Millis = clock::Millis::from_secs(10);

/// The longest time that [`Engine::due`] leaves until the next call of [`Engine::advance`].
pub const MAX_ADVANCE_INTERVAL: clock::Millis = clock::Millis::new(20);

pub type Result<T> = std::result::Result<T, refusal::Refusal>;

/// A simulated prefill or decode engine.
#[derive(Debug)]
pub struct Engine {
    pub(super) settings: settings::Settings,
    pub(super) role: model::Role,
    pub(super) models: Vec<id::ModelId>,
    pub(super) now: clock::Millis,
    pub(super) stalled: bool,
    pub(super) slow_factor: u32,
    pub(super) failing_imports: u32,
    pub(super) crashed: bool,
    pub(super) requests: sorted::Map<id::RequestId, request::Request>,
    pub(super) cancelled_until: sorted::Map<id::RequestId, clock::Millis>,
    pub(super) sequence: u64,
    pub(super) prefill_remaining_us: Option<u64>,
    pub(super) step_remaining_us: Option<u64>,
    pub(super) cache: cache::PrefixCache,
    pub(super) load_history: load::History,
    pub(super) highest_fencing: id::FencingNumber,
    pub(super) totals: totals::Totals,
}

impl Engine {
    /// Returns an engine that holds no request, at time zero.
    pub fn new(settings: settings::Settings) -> Self {
        Self {
            role: settings.role,
            models: settings.models.clone(),
            settings,
            now: clock::Millis::ZERO,
            stalled: false,
            slow_factor: 1,
            failing_imports: 0,
            crashed: false,
            requests: sorted::Map::new(),
            cancelled_until: sorted::Map::new(),
            sequence: 0,
            prefill_remaining_us: None,
            step_remaining_us: None,
            cache: cache::PrefixCache::default(),
            load_history: load::History::default(),
            highest_fencing: id::FencingNumber::default(),
            totals: totals::Totals::default(),
        }
    }

    /// Moves the time to `now`: runs the prefills and decode steps that fit into the time since the
    /// last call, drops what expired and records the load.
    ///
    /// # Panics
    ///
    /// Panics if `now` is before the time of the last call, or if more memory is used than the
    /// engine has.
    pub fn advance(&mut self, now: clock::Millis) {
        assert!(now >= self.now, "`now` must not be before the last call");
        let elapsed_us = (now - self.now).as_u64() * 1000 / u64::from(self.slow_factor.max(1));
        self.now = now;
        if !self.stalled {
            self.run_prefills(elapsed_us);
            self.run_steps(elapsed_us);
        }
        self.expire();
        self.record_load();
        assert!(
            self.used_pieces() <= self.settings.memory_pieces,
            "the KV cache in use must fit into the memory"
        );
    }

    /// Returns when to call [`advance`](Self::advance) next. The result is always later than the
    /// last call.
    pub fn due(&self) -> clock::Millis {
        let remaining = [self.prefill_remaining_us, self.step_remaining_us];
        let next_us = remaining.into_iter().flatten().min();
        let interval = match next_us {
            Some(us) if !self.stalled => clock::Millis::new(
                (us * u64::from(self.slow_factor.max(1)))
                    .div_ceil(1000)
                    .max(1),
            ),
            _ => MAX_ADVANCE_INTERVAL,
        };
        self.now + interval.min(MAX_ADVANCE_INTERVAL)
    }

    /// Returns whether a prompt with a crash mark was run. The caller must then end the process.
    pub fn has_crashed(&self) -> bool {
        self.crashed
    }

    /// Stops (`true`) or resumes (`false`) all prefills and decode steps. Expiry goes on.
    pub fn set_stalled(&mut self, stalled: bool) {
        self.stalled = stalled;
    }

    /// Makes prefills and decode steps take `factor` times as long; 0 counts as 1.
    pub fn set_slow_factor(&mut self, factor: u32) {
        self.slow_factor = factor;
    }

    /// Makes the next `count` imports fail; replaces an earlier count.
    pub fn set_failing_imports(&mut self, count: u32) {
        self.failing_imports = count;
    }

    /// Frees all that is held for a request, and refuses calls for it during [`CANCELLED_TTL`].
    pub fn cancel(&mut self, request: id::RequestId) -> wire::Cancelled {
        let was = self.requests.remove(&request);
        if let Some(held) = was.as_ref().filter(|r| r.is_held()) {
            self.totals.cancelled += 1;
            if let request::State::Prefilling(prompt) = &held.state {
                self.count_cancelled_prefill(prompt.clone());
            }
        }
        self.cancelled_until
            .insert(request, self.now + CANCELLED_TTL);
        self.start_prefill();
        wire::Cancelled {
            was: was.map_or(wire::Phase::Unknown, |r| r.phase()),
        }
    }

    /// Lists the requests that take a slot.
    pub fn held(&self) -> wire::Held {
        let held = self.requests.iter().filter(|(_, r)| r.is_held());
        let requests = held.map(|(id, r)| wire::Holding {
            request: *id,
            phase: r.phase(),
            pieces: r.pieces(),
            age_ms: self.now - r.arrived_at,
        });
        wire::Held {
            requests: requests.collect(),
        }
    }

    /// Returns the load as it was `load_lag_ms` ago.
    pub fn load(&self) -> wire::Load {
        let lagged = self.load_history.read(self.now, self.settings.load_lag_ms);
        lagged.unwrap_or_else(|| self.load_now())
    }

    /// Returns the published changes of the prefix cache with a number above `after`.
    pub fn cache_events(&self, after: u64) -> wire::CacheEvents {
        if self.now < self.settings.event_lag_ms {
            return wire::CacheEvents { events: Vec::new() };
        }
        let published = self.now - self.settings.event_lag_ms;
        self.cache
            .events(after, published, self.settings.event_gap_percent)
    }

    /// Checks the fencing number of an order. Unloads a model or changes the role at once; loading
    /// ends with [`finish_order`](Self::finish_order).
    ///
    /// # Errors
    ///
    /// Fails if `number` is below the highest one seen, unless the engine ignores fencing numbers.
    pub fn order(&mut self, number: id::FencingNumber, order: &wire::Order) -> Result<()> {
        if number < self.highest_fencing && !self.settings.ignore_fencing {
            let seen = self.highest_fencing;
            return Err(refusal::Refusal::StaleFencingNumber { seen });
        }
        self.highest_fencing = self.highest_fencing.max(number);
        match order {
            wire::Order::LoadModel { .. } | wire::Order::LoadAdapter { .. } => {}
            wire::Order::UnloadModel { model } => self.models.retain(|m| m != model),
            wire::Order::ChangeRole { role } => self.role = *role,
        }
        Ok(())
    }

    /// Adds the model of a load order to the loaded ones; ignores other orders.
    pub fn finish_order(&mut self, order: &wire::Order) {
        if let wire::Order::LoadModel { model, .. } = order
            && !self.models.contains(model)
        {
            self.models.push(model.clone());
        }
    }

    /// Returns the counters since the engine's start.
    pub fn totals(&self) -> &totals::Totals {
        &self.totals
    }

    /// Checks that a request may take a slot of an engine with `role`.
    pub(super) fn check_admission(
        &mut self,
        request: id::RequestId,
        role: model::Role,
    ) -> Result<()> {
        self.check_not_cancelled(request)?;
        if self.role != role {
            return Err(refusal::Refusal::WrongRole);
        }
        if self.requests.get(&request).is_some_and(|r| r.is_held()) {
            return Err(refusal::Refusal::AlreadyHeld);
        }
        let held = self.requests.values().filter(|r| r.is_held()).count();
        if held >= self.settings.slots as usize {
            return Err(self.refuse_full());
        }
        Ok(())
    }

    pub(super) fn check_model(&self, model: &id::ModelId) -> Result<()> {
        match self.models.contains(model) {
            true => Ok(()),
            false => Err(refusal::Refusal::UnknownModel),
        }
    }

    pub(super) fn check_not_cancelled(&self, request: id::RequestId) -> Result<()> {
        match self.cancelled_until.contains(&request) {
            true => Err(refusal::Refusal::Cancelled),
            false => Ok(()),
        }
    }

    /// Counts a refusal for lack of a slot or memory, and returns it.
    pub(super) fn refuse_full(&mut self) -> refusal::Refusal {
        self.totals.refused_full += 1;
        refusal::Refusal::Full
    }

    pub(super) fn insert_request(&mut self, id: id::RequestId, state: request::State) {
        self.sequence += 1;
        let request = request::Request {
            arrived_at: self.now,
            sequence: self.sequence,
            state,
        };
        self.requests.insert(id, request);
    }

    pub(super) fn set_state(&mut self, id: id::RequestId, state: request::State) {
        let request = self.requests.get_mut(&id);
        request.expect("the caller has looked the request up").state = state;
    }

    pub(super) fn used_pieces(&self) -> u64 {
        self.requests.values().map(|r| r.pieces().as_u64()).sum()
    }

    fn expire(&mut self) {
        let now = self.now;
        let mut expired = 0;
        self.requests.retain(|_, r| match &r.state {
            request::State::Exported(export) => {
                let keep = export.running_fetches > 0 || now < export.expires;
                expired += u64::from(!keep);
                keep
            }
            request::State::Decoding(d) | request::State::Ended(d) => {
                d.unread_since.is_none_or(|at| now < at + UNREAD_ANSWER_TTL)
            }
            _ => true,
        });
        self.totals.expired_exports += expired;
        self.cancelled_until.retain(|_, until| now < *until);
    }

    fn record_load(&mut self) {
        let load = self.load_now();
        self.load_history
            .record(self.now, self.settings.load_lag_ms, load);
    }

    fn load_now(&self) -> wire::Load {
        let queue = self.requests.values().filter_map(|r| match &r.state {
            request::State::Queued(prompt) => Some(prompt),
            _ => None,
        });
        let waiting: Vec<_> = queue.collect();
        let held = self.requests.values().filter(|r| r.is_held()).count();
        let uncached =
            |p: &request::Prompt| p.tokens.saturating_sub(self.cache.cached(&p.prefixes));
        wire::Load {
            role: self.role,
            models: self.models.clone(),
            running: (held - waiting.len()) as u32,
            waiting: waiting.len() as u32,
            waiting_tokens: waiting.into_iter().map(uncached).sum(),
            used: unit::Pieces::new(self.used_pieces()),
            memory: unit::Pieces::new(self.settings.memory_pieces),
            age_ms: clock::Millis::ZERO,
        }
    }
}
