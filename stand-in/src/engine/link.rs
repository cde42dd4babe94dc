//! The shared link of an engine: transfers take turns by the chunk.

use std::sync;

use buckthorncleat::unit;
use tokio::time;

use crate::engine::export;

/// A link of limited rate.
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
    /// Makes an idle link.
    pub fn new(rate: unit::BytesPerSecond) -> Self {
        let free_at = time::Instant::now();
        Self {
            state: sync::Mutex::new(State { rate, free_at }),
        }
    }

    /// Changes the rate for chunks still to come.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the link's lock.
    pub fn set_rate(&self, rate: unit::BytesPerSecond) {
        self.state.lock().expect("link lock").rate = rate;
    }

    /// Waits for its turn and for the time that a chunk takes.
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
