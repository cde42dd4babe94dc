//! The network link that all transfers of an engine share, chunk after chunk.

use std::sync;

use buckthorncleat::unit;
use tokio::time;

use crate::engine::export;

/// A simulated link of limited rate.
#[derive(Debug)]
pub struct Link {
    state: sync::Mutex<State>,
}

#[derive(Debug)]
struct State {
    rate: unit::BytesPerSecond,
    free_at: time::Instant,
}

impl Link {
    /// Returns an idle link.
    pub fn new(rate: unit::BytesPerSecond) -> Self {
        let free_at = time::Instant::now();
        Self {
            state: sync::Mutex::new(State { rate, free_at }),
        }
    }

    /// Changes the rate for chunks that are not queued yet.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the link's lock.
    pub fn set_rate(&self, rate: unit::BytesPerSecond) {
        self.state.lock().expect("link lock").rate = rate;
    }

    /// Waits until the chunks queued before have been sent, and for the time that this chunk takes.
    ///
    /// `real_bytes` is the scaled-down size; the time is that of the stated size
    /// ([`export::SIZE_SCALE`]).
    pub async fn carry(&self, real_bytes: u64) {
        let done = self.reserve(real_bytes);
        time::sleep_until(done).await;
    }

    fn reserve(&self, real_bytes: u64) -> time::Instant {
        let mut state = self.state.lock().expect("link lock");
        let size = (real_bytes * export::SIZE_SCALE) as f64;
        let seconds = size / state.rate.as_u64().max(1) as f64;
        let start = state.free_at.max(time::Instant::now());
        state.free_at = start + time::Duration::from_secs_f64(seconds);
        state.free_at
    }
}
