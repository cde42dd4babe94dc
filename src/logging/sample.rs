//! Bounds the lines a second: routine lines are sampled by request, the others are cut off.
//!
//! Whether a routine line is kept depends on the hash of its request and on a level that halves the
//! requests with each step. Processes at different levels agree: what the higher one keeps, the
//! lower one keeps too, so that a request is found in all logs or in none.

use crate::clock;

/// The target of lines that say that all went well; they are sampled under load.
pub const ROUTINE: &str = "routine";

/// The routine lines a second that are kept without sampling: several times what one gateway serves
/// on an ordinary day, and under a twentieth of its processor time.
pub const ROUTINE_LINES: u64 = 200;

/// The other lines a second that are kept: every refusal and failure of a gateway at its limit.
pub const OTHER_LINES: u64 = 1_000;

/// The time over which lines are counted.
const WINDOW: clock::Millis = clock::Millis::from_secs(1);

/// The highest level: one request in about a million.
const TOP_LEVEL: u32 = 20;

/// What happens to a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is written.
    Keep,
    /// It is left out by the sampling.
    Skip,
    /// It is over the bound; it is counted as dropped.
    Drop,
}

/// Decides which lines are written.
#[derive(Debug, Default)]
pub struct Sampler {
    window: u64,
    level: u32,
    routine_offered: u64,
    routine_kept: u64,
    other_kept: u64,
}

impl Sampler {
    /// Starts with an empty window and no sampling.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns how many requests there are for each one whose routine lines are kept.
    pub fn one_in(&self) -> u64 {
        1 << self.level
    }

    /// Decides about a routine line.
    pub fn routine(&mut self, now: clock::Millis, request: &str) -> Verdict {
        self.enter_window(now);
        self.routine_offered += 1;
        let hash = xxhash_rust::xxh3::xxh3_64(request.as_bytes());
        if hash & (self.one_in() - 1) != 0 {
            return Verdict::Skip;
        }
        if self.routine_kept >= ROUTINE_LINES && self.level < TOP_LEVEL {
            self.level += 1;
            self.routine_kept /= 2;
        }
        self.routine_kept += 1;
        Verdict::Keep
    }

    /// Decides about any other line.
    pub fn other(&mut self, now: clock::Millis) -> Verdict {
        self.enter_window(now);
        if self.other_kept >= OTHER_LINES {
            return Verdict::Drop;
        }
        self.other_kept += 1;
        Verdict::Keep
    }

    /// Begins a new window at the level that the last one needed.
    fn enter_window(&mut self, now: clock::Millis) {
        let window = now.as_u64() / WINDOW.as_u64();
        if window == self.window {
            return;
        }
        let offered = self.routine_offered;
        let needed = (0..TOP_LEVEL).find(|level| offered >> level <= ROUTINE_LINES);
        *self = Self {
            window,
            level: needed.unwrap_or(TOP_LEVEL),
            ..Self::default()
        };
    }
}
