//! Estimates how long a request waits behind others.

use crate::clock;
use crate::controller::scheduler::plan;
use crate::state::model;

/// The weight of the earlier mean when a new slot time is observed.
const SLOT_TIME_DECAY: f64 = 0.95;

/// Waiting requests that are placed before a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backlog {
    pub requests: u32,
    /// The prompt tokens to compute for them.
    pub tokens: u64,
}

/// Estimates waiting times from the work ahead and the mean time that a request takes its decode
/// slot.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    /// In milliseconds; `None` until a request has ended.
    mean_slot_time: Option<f64>,
}

impl Estimator {
    /// Observes how long a request took its decode slot.
    pub fn observe(&mut self, slot_time: clock::Millis) {
        let sample = slot_time.as_u64() as f64;
        let mean = self.mean_slot_time.unwrap_or(sample);
        self.mean_slot_time = Some(mean * SLOT_TIME_DECAY + sample * (1.0 - SLOT_TIME_DECAY));
    }

    /// Returns how long a request likely waits behind the requests `ahead`, in milliseconds.
    pub fn estimate(&self, view: &plan::View<'_>, needs: &plan::Needs, ahead: Backlog) -> f64 {
        self.prefill_wait(view, needs, ahead)
            .max(self.decode_wait(view, needs, ahead))
    }

    fn prefill_wait(&self, view: &plan::View<'_>, needs: &plan::Needs, ahead: Backlog) -> f64 {
        let mut rate = 0.0;
        let mut backlog = 0.0;
        for (_, s) in view.servers(model::Role::Prefill, needs) {
            if s.health.allows_from() > view.now {
                continue;
            }
            let server_rate = s.current_prefill_rate(view.now);
            rate += server_rate;
            backlog += s.prefill_backlog(view.now) * server_rate;
        }
        if rate == 0.0 {
            return 0.0;
        }
        let allowed_backlog = view.settings.max_prefill_backlog.as_u64() as f64 * rate;
        let tokens = ahead.tokens as f64 + backlog;
        (tokens - allowed_backlog).max(0.0) / rate
    }

    fn decode_wait(&self, view: &plan::View<'_>, needs: &plan::Needs, ahead: Backlog) -> f64 {
        let Some(mean_slot_time) = self.mean_slot_time else {
            return 0.0;
        };
        let mut max_requests = 0;
        let mut running = 0;
        for (_, s) in view.servers(model::Role::Decode, needs) {
            max_requests += s.max_batch(view.model.between_tokens);
            running += s.batch_with_one_more(view.now) - 1;
        }
        let free = max_requests.saturating_sub(running);
        if ahead.requests < free || running == 0 {
            return 0.0;
        }
        f64::from(ahead.requests - free + 1) * mean_slot_time / f64::from(running)
    }
}
