//! Fake engines in virtual time, a millisecond a step.

use std::collections;

/// What the engines cost.
pub const PREFILL_TOKENS_PER_MS: f64 = 12.0;
pub const STEP_BASE_MS: f64 = 12.0;
pub const STEP_MS_PER_STREAM: f64 = 0.9;
pub const DECODE_SLOTS: usize = 20;
pub const MEMORY_PIECES: u64 = 64;
pub const LINK_BYTES_PER_MS: f64 = 1_250_000.0;
pub const KV_BYTES_PER_TOKEN: u64 = 40_000;
pub const EXPORT_TTL_MS: u64 = 800;
const CACHE_PIECES: usize = 48;

/// A prefill that waits or runs.
#[derive(Clone, Debug)]
pub struct Prefill {
    pub run_index: usize,
    pub prompt: u64,
    pub prefix: Vec<u64>,
    pub remaining: Option<f64>,
    pub cached: u64,
}

/// A prefill engine: first in, first out, with a prefix cache that drops what is least used.
#[derive(Clone, Debug, Default)]
pub struct PrefillEngine {
    pub slowdown: f64,
    pub queue: collections::VecDeque<Prefill>,
    pub cache: collections::VecDeque<u64>,
    pub events: Vec<(u64, bool)>,
}

impl PrefillEngine {
    /// Works for a millisecond; returns a prefill that ended. Counts computed tokens.
    pub fn run(&mut self, computed: &mut dyn FnMut(usize, f64)) -> Option<Prefill> {
        let rate = PREFILL_TOKENS_PER_MS / self.slowdown.max(1.0);
        let cached = self.queue.front().map(|head| self.cached(&head.prefix));
        let head = self.queue.front_mut()?;
        if head.remaining.is_none() {
            head.cached = (cached.unwrap_or(0) * super::workload::PIECE_TOKENS).min(head.prompt);
            head.remaining = Some((head.prompt - head.cached) as f64);
        }
        let remaining = head.remaining.get_or_insert(0.0);
        computed(head.run_index, rate.min(*remaining));
        *remaining -= rate;
        if *remaining > 0.0 {
            return None;
        }
        let done = self.queue.pop_front()?;
        done.prefix.iter().for_each(|digest| self.store(*digest));
        Some(done)
    }

    fn cached(&self, prefix: &[u64]) -> u64 {
        prefix.iter().take_while(|d| self.cache.contains(d)).count() as u64
    }

    fn store(&mut self, digest: u64) {
        match self.cache.iter().position(|d| *d == digest) {
            Some(at) => {
                self.cache.remove(at);
            }
            None => self.events.push((digest, true)),
        }
        self.cache.push_back(digest);
        if self.cache.len() > CACHE_PIECES
            && let Some(dropped) = self.cache.pop_front()
        {
            self.events.push((dropped, false));
        }
    }
}

/// One stream of a decode engine.
#[derive(Clone, Debug)]
pub struct Stream {
    pub run_index: usize,
    pub pieces: u64,
    /// Whether its KV cache has come in, so that it generates.
    pub generating: bool,
    pub tokens: f64,
    pub wanted: f64,
}

/// A decode engine: a batch whose step grows with its size.
#[derive(Clone, Debug, Default)]
pub struct DecodeEngine {
    pub dead: bool,
    pub streams: Vec<Stream>,
}

impl DecodeEngine {
    /// Takes a stream in, unless no slot or memory is free.
    pub fn import(&mut self, stream: Stream) -> bool {
        let used: u64 = self.streams.iter().map(|s| s.pieces).sum();
        let has_room = self.streams.len() < DECODE_SLOTS && used + stream.pieces <= MEMORY_PIECES;
        if has_room && !self.dead {
            self.streams.push(stream);
            return true;
        }
        false
    }

    /// Works for a millisecond.
    pub fn run(&mut self) {
        let batch = self.streams.iter().filter(|s| s.generating).count();
        let step = STEP_BASE_MS + STEP_MS_PER_STREAM * batch as f64;
        for stream in self.streams.iter_mut().filter(|s| s.generating) {
            stream.tokens += 1.0 / step;
        }
    }
}

/// The rates of the links at both ends, and how many transfers share each.
pub fn transfer_rates(
    transfers: &[(usize, usize)],
    prefills: usize,
    decode_links: &[f64],
) -> Vec<f64> {
    let mut from = vec![0; prefills];
    let mut to = vec![0; decode_links.len()];
    for (prefill, decode) in transfers {
        from[*prefill] += 1;
        to[*decode] += 1;
    }
    let share = |(prefill, decode): &(usize, usize)| {
        let sender = LINK_BYTES_PER_MS / f64::from(from[*prefill]);
        sender.min(decode_links[*decode] / f64::from(to[*decode]))
    };
    transfers.iter().map(share).collect()
}
