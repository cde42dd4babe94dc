//! How long a request would wait behind others.

use crate::clock;
use crate::controller::scheduler::plan;
use crate::state::model;

/// How much of the mean time that a decode slot is held each sample keeps.
const KEEP: f64 = 0.95;

/// Work that goes before a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ahead {
    /// Requests.
    pub requests: u32,
    /// Prompt tokens to compute.
    pub tokens: u64,
}

/// What is known of the time that decode slots are held.
#[derive(Clone, Debug, Default)]
pub struct Outlook {
    hold: Option<f64>,
}

impl Outlook {
    /// Takes in how long a request held its decode slot.
    pub fn learn(&mut self, held: clock::Millis) {
        let sample = held.as_u64() as f64;
        let mean = self.hold.unwrap_or(sample);
        self.hold = Some(mean * KEEP + sample * (1.0 - KEEP));
    }

    /// Returns how long a request likely waits behind others, in milliseconds.
    pub fn wait(&self, view: &plan::View<'_>, needs: &plan::Needs, ahead: Ahead) -> f64 {
        self.prefill_wait(view, needs, ahead)
            .max(self.decode_wait(view, needs, ahead))
    }

    fn prefill_wait(&self, view: &plan::View<'_>, needs: &plan::Needs, ahead: Ahead) -> f64 {
        let mut rate = 0.0;
        let mut given = 0.0;
        for (_, s) in view.servers(model::Role::Prefill, needs) {
            if s.health.allows_from() > view.now {
                continue;
            }
            let own = s.current_rate(view.now);
            rate += own;
            given += s.prefill_backlog(view.now) * own;
        }
        if rate == 0.0 {
            return 0.0;
        }
        let ahead_of_start = view.settings.max_prefill_backlog.as_u64() as f64 * rate;
        let tokens = ahead.tokens as f64 + given;
        (tokens - ahead_of_start).max(0.0) / rate
    }

    fn decode_wait(&self, view: &plan::View<'_>, needs: &plan::Needs, ahead: Ahead) -> f64 {
        let Some(hold) = self.hold else { return 0.0 };
        let mut most = 0;
        let mut running = 0;
        for (_, s) in view.servers(model::Role::Decode, needs) {
            most += s.most_batch(view.model.between_tokens);
            running += s.batch_with_one_more(view.now) - 1;
        }
        let free = most.saturating_sub(running);
        if ahead.requests < free || running == 0 {
            return 0.0;
        }
        f64::from(ahead.requests - free + 1) * hold / f64::from(running)
    }
}
