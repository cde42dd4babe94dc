//! Simulated prefill and decode engines and the links between them, in steps of one millisecond of
//! virtual time.

use std::collections;

pub const PREFILL_TOKENS_PER_MS: f64 = 12.0;
/// Time of a decode step, which generates one token for each stream of the batch, without the part
/// that grows with the batch.
pub const STEP_BASE_MS: f64 = 12.0;
/// Time that each generating stream adds to a decode step.
pub const STEP_MS_PER_STREAM: f64 = 0.9;
/// Most streams in the batch of a decode engine.
pub const DECODE_SLOTS: usize = 20;
/// KV memory of an engine, in pieces of [`PIECE_TOKENS`](super::workload::PIECE_TOKENS).
pub const MEMORY_PIECES: u64 = 64;
/// Bandwidth of the link of each engine.
pub const LINK_BYTES_PER_MS: f64 = 1_250_000.0;
pub const KV_BYTES_PER_TOKEN: u64 = 40_000;
/// Time after the end of a prefill within which the KV cache must be transferred; then the prefill
/// engine drops it.
pub const EXPORT_TTL_MS: u64 = 800;
/// Capacity of the prefix cache of a prefill engine.
const CACHE_PIECES: usize = 48;

/// A prefill that is queued or running.
#[derive(Clone, Debug)]
pub struct Prefill {
    /// Index in `Simulation::runs`.
    pub run_index: usize,
    /// Length of the prompt in tokens.
    pub prompt: u64,
    /// Digests of the pieces of the prompt.
    pub prefix: Vec<u64>,
    /// Tokens still to be computed; `None` until the prefill starts.
    pub remaining: Option<f64>,
    /// Tokens that the prefix cache had when the prefill started.
    pub cached: u64,
}

/// A prefill engine: runs one prefill at a time, first in, first out, with a prefix cache that
/// evicts the least recently used piece.
#[derive(Clone, Debug, Default)]
pub struct PrefillEngine {
    /// Factor by which prefills take longer; values below 1 count as 1.
    pub slowdown: f64,
    pub queue: collections::VecDeque<Prefill>,
    /// Digests of the cached pieces, the least recently used first.
    pub cache: collections::VecDeque<u64>,
    /// Cache changes since the last report: the digest, and whether it was stored or dropped.
    pub events: Vec<(u64, bool)>,
}

impl PrefillEngine {
    /// Advances the engine by one millisecond and returns the prefill that ended in it, if any.
    ///
    /// Calls `computed` with the run index and the number of tokens computed.
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

    /// Returns how many pieces of the prefix are cached without a gap from its start.
    fn cached(&self, prefix: &[u64]) -> u64 {
        prefix.iter().take_while(|d| self.cache.contains(d)).count() as u64
    }

    /// Puts a piece at the most recently used end, and evicts a piece if the cache is too large.
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
    /// Index in `Simulation::runs`.
    pub run_index: usize,
    /// Memory reserved, in pieces.
    pub pieces: u64,
    /// Whether its KV cache has been transferred, so that it generates tokens.
    pub generating: bool,
    /// Tokens generated, with those of earlier attempts; a fraction is a token in progress.
    pub tokens: f64,
    /// Tokens after which the stream ends.
    pub wanted: f64,
}

/// A decode engine: generates a token for each stream per step, whose time grows linearly with the
/// number of generating streams.
#[derive(Clone, Debug, Default)]
pub struct DecodeEngine {
    pub dead: bool,
    pub streams: Vec<Stream>,
}

impl DecodeEngine {
    /// Adds a stream to the batch and returns true, unless no slot or too little memory is free or
    /// the engine is dead.
    pub fn import(&mut self, stream: Stream) -> bool {
        let used: u64 = self.streams.iter().map(|s| s.pieces).sum();
        let has_room = self.streams.len() < DECODE_SLOTS && used + stream.pieces <= MEMORY_PIECES;
        if has_room && !self.dead {
            self.streams.push(stream);
            return true;
        }
        false
    }

    /// Advances the engine by one millisecond.
    pub fn run(&mut self) {
        let batch = self.streams.iter().filter(|s| s.generating).count();
        let step = STEP_BASE_MS + STEP_MS_PER_STREAM * batch as f64;
        for stream in self.streams.iter_mut().filter(|s| s.generating) {
            stream.tokens += 1.0 / step;
        }
    }
}

/// Returns the rate of each transfer in bytes per millisecond.
///
/// A transfer is a pair of a prefill and a decode engine. The transfers at an engine share its link
/// evenly, so each gets the lower of its shares at both ends. `decode_links` has the bandwidth of
/// each decode engine's link, in bytes per millisecond.
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
