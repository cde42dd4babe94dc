//! How long a request would wait behind others.

use crate::clock;
use crate::controller::scheduler::plan;
use crate::state::model;

/// How much of the mean time that a decode slot is held each sample keeps.
const SLOT_TIME_DECAY: f64 = 0.95;

/// Work that goes before a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backlog {
    /// Requests.
    pub requests: u32,
    /// Prompt tokens to compute.
    pub tokens: u64,
}

/// What is known of the time that decode slots are held.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    mean_slot_time: Option<f64>,
}

impl Estimator {
    /// Takes in how long a request held its decode slot.
    pub fn observe(&mut self, held: clock::Millis) {
        let sample = held.as_u64() as f64;
        let mean = self.mean_slot_time.unwrap_or(sample);
        self.mean_slot_time = Some(mean * SLOT_TIME_DECAY + sample * (1.0 - SLOT_TIME_DECAY));
    }

    /// Returns how long a request likely waits behind others, in milliseconds.
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
