//! The scheduler's state of one backend server.

use crate::clock;
use crate::controller::scheduler::health;
use crate::controller::scheduler::link;
use crate::controller::scheduler::occupancy;
use crate::controller::scheduler::rate;
use crate::controller::scheduler::reservation;
use crate::controller::scheduler::settings;
use crate::state::model;
use crate::unit;

/// The lowest link rate that predictions use, in bytes per millisecond.
const MIN_LINK_RATE: f64 = 1.0;

/// The number of consecutive misses after which a prefix cache counts as lost.
const LOST_CACHE_MISSES: u32 = 3;

/// A prefill that was placed and has not ended.
#[derive(Clone, Debug)]
pub struct QueuedPrefill {
    pub key: reservation::Key,
    /// The number of prompt tokens that the server likely computes.
    pub tokens: u64,
    /// All its prompt tokens, as load reports count them.
    pub prompt: u64,
    pub placed_at: clock::Millis,
}

/// The configuration of one backend server, and what the scheduler knows of it.
#[derive(Clone, Debug)]
pub struct Server {
    /// The server's entry in the configuration.
    pub record: model::BackendServer,
    pub occupancy: occupancy::Occupancy,
    pub health: health::Health,
    pub prefill_rate: rate::PrefillRate,
    /// The time between tokens when the server decodes.
    pub step_time: rate::StepTime,
    pub link_rate: rate::LinkRate,
    /// The prefills that were placed here and have not ended, oldest first.
    pub prefills: Vec<QueuedPrefill>,
    /// The transfers over the server's link, in the order of [`link::Transfer::ready_at`].
    pub transfers: Vec<link::Transfer>,
    last_prefill_end: clock::Millis,
    cache_misses: u32,
}

impl Server {
    /// Creates the state of a server that has not been observed yet.
    pub fn new(record: model::BackendServer, settings: &settings::Settings) -> Self {
        Self {
            record,
            occupancy: occupancy::Occupancy::default(),
            health: health::Health::default(),
            prefill_rate: rate::PrefillRate::new(settings.prefill_rate),
            step_time: rate::StepTime::new(settings.step_base, settings.step_full),
            link_rate: rate::LinkRate::default(),
            prefills: Vec::new(),
            transfers: Vec::new(),
            last_prefill_end: clock::Millis::ZERO,
            cache_misses: 0,
        }
    }

    /// Returns whether the server has a role, serves a model and takes new requests.
    pub fn in_service(&self, role: model::Role, model: &crate::id::ModelId) -> bool {
        self.record.role == role
            && self.record.state == model::ServerState::InService
            && self.record.models.contains(model)
    }

    /// Returns whether a slot and `pieces` of memory are free.
    pub fn has_room(&self, now: clock::Millis, pieces: u64) -> bool {
        let reserved = self.occupancy.reserved();
        let foreign = self.occupancy.foreign(now);
        reserved.requests + foreign.requests < self.record.slots
            && reserved.pieces + foreign.pieces + pieces <= self.record.memory.as_u64()
    }

    /// Returns the number of requests at the server after one more, including foreign ones.
    pub fn batch_with_one_more(&self, now: clock::Millis) -> u32 {
        self.occupancy.reserved().requests + self.occupancy.foreign(now).requests + 1
    }

    /// Returns how long the prefills at the server likely still take, in milliseconds.
    ///
    /// An overdue prefill lowers the rate that the prediction uses.
    pub fn prefill_backlog(&self, now: clock::Millis) -> f64 {
        let foreign = self.occupancy.foreign(now).tokens as f64 / self.prefill_rate.per_milli(now);
        let Some(head) = self.prefills.first() else {
            return foreign;
        };
        let rate = self.current_prefill_rate(now);
        let elapsed = self.elapsed(head, now);
        let head_left = (head.tokens as f64 / rate - elapsed).max(1.0);
        let rest: u64 = self.prefills[1..].iter().map(|q| q.tokens).sum();
        foreign + head_left + rest as f64 / rate
    }

    /// Returns the prefill rate in tokens per millisecond, lowered while a prefill is overdue.
    pub fn current_prefill_rate(&self, now: clock::Millis) -> f64 {
        let rate = self.prefill_rate.per_milli(now);
        let Some(head) = self.prefills.first() else {
            return rate;
        };
        let elapsed = self.elapsed(head, now);
        let expected = head.tokens as f64 / rate;
        if elapsed > 2.0 * expected + 20.0 {
            return rate.min((head.tokens.max(1)) as f64 / elapsed);
        }
        rate
    }

    pub fn start_prefill(&mut self, now: clock::Millis, queued: QueuedPrefill) {
        self.prefills.push(queued);
        self.update_tokens(now);
    }

    pub fn remove_prefill(&mut self, now: clock::Millis, key: &reservation::Key) {
        self.prefills.retain(|q| q.key != *key);
        self.update_tokens(now);
    }

    /// Removes a prefill that ended now, and observes its rate over the `computed` tokens.
    pub fn end_prefill(
        &mut self,
        now: clock::Millis,
        key: &reservation::Key,
        computed: unit::Tokens,
    ) {
        if let Some(at) = self.prefills.iter().position(|q| q.key == *key) {
            let began = self.prefills[at].placed_at.max(self.last_prefill_end);
            self.prefill_rate.observe(now, computed, now - began);
        }
        self.last_prefill_end = now;
        self.remove_prefill(now, key);
    }

    /// Compares the cached tokens of a prefill with those expected, and returns whether the server
    /// has likely lost its prefix cache: for several consecutive prompts, it had none of the part
    /// that was expected there.
    pub fn detect_cache_loss(&mut self, expected: u64, found: unit::Tokens) -> bool {
        if expected == 0 {
            return false;
        }
        self.cache_misses = match found.as_u64() {
            0 => self.cache_misses + 1,
            _ => 0,
        };
        self.cache_misses >= LOST_CACHE_MISSES
    }

    pub fn add_transfer(&mut self, transfer: link::Transfer) {
        let at = self
            .transfers
            .partition_point(|t| t.ready_at <= transfer.ready_at);
        self.transfers.insert(at, transfer);
    }

    /// Removes a transfer that ended now, and observes the link rate.
    pub fn end_transfer(&mut self, now: clock::Millis, key: &reservation::Key) {
        if let Some(at) = self.transfers.iter().position(|t| t.key == *key) {
            let transfer = &self.transfers[at];
            let size = unit::Bytes::new(transfer.bytes);
            self.link_rate
                .observe(now, transfer.ready_at, size, self.record.link);
        }
        self.remove_transfer(key);
    }

    /// Removes a transfer that was given up and observes the link rate, if it took longer than
    /// expected. Otherwise does nothing.
    pub fn observe_aborted_transfer(&mut self, now: clock::Millis, key: &reservation::Key) {
        let Some(transfer) = self
            .transfers
            .iter()
            .find(|t| t.key == *key && t.prefill_done)
        else {
            return;
        };
        let took = (now - transfer.ready_at).as_u64() as f64;
        if took > self.transfer_time(now, transfer.bytes) {
            self.end_transfer(now, key);
        }
    }

    /// Replaces a predicted transfer by the actual one, with its start and size.
    pub fn update_transfer(&mut self, transfer: link::Transfer) {
        self.remove_transfer(&transfer.key);
        self.add_transfer(transfer);
    }

    pub fn remove_transfer(&mut self, key: &reservation::Key) {
        self.transfers.retain(|t| t.key != *key);
    }

    /// Returns the time that a transfer takes when it has the link to itself, in milliseconds.
    pub fn transfer_time(&self, now: clock::Millis, bytes: u64) -> f64 {
        bytes as f64 / self.link_rate_at(now)
    }

    /// Returns the largest batch whose time between tokens is at most `between_tokens`, but at
    /// least 1 if the server has a slot.
    pub fn max_batch(&self, between_tokens: clock::Millis) -> u32 {
        let line = self.step_time.line();
        let target = between_tokens.as_u64() as f64;
        let within = (1..=self.record.slots).take_while(|batch| line.at(*batch) <= target);
        (within.count() as u32).max(1).min(self.record.slots)
    }

    /// Returns the link at a time; `max_duration` is the longest time that a transfer may take, in
    /// milliseconds.
    pub fn link(&self, now: clock::Millis, max_duration: f64) -> link::Link<'_> {
        link::Link {
            transfers: &self.transfers,
            now,
            rate: self.link_rate_at(now),
            max_duration,
        }
    }

    fn link_rate_at(&self, now: clock::Millis) -> f64 {
        let configured = self.record.link.as_u64() as f64 / 1000.0;
        (configured * self.link_rate.fraction(now)).max(MIN_LINK_RATE)
    }

    fn elapsed(&self, head: &QueuedPrefill, now: clock::Millis) -> f64 {
        (now - head.placed_at.max(self.last_prefill_end)).as_u64() as f64
    }

    fn update_tokens(&mut self, now: clock::Millis) {
        let tokens = self.prefills.iter().map(|q| q.prompt).sum();
        self.occupancy.set_tokens(now, tokens);
    }
}
