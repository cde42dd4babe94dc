//! Limits the log lines per second: routine lines are sampled by request, the others are dropped
//! above a limit.
//!
//! Whether a routine line is kept depends on the hash of its request and on the sampling level, and
//! each level keeps half the requests of the level below. All processes use the same hash, so that
//! a process at a lower level keeps every request that one at a higher level keeps: as far as the
//! levels allow, a request is in the logs of all processes or of none.

use crate::clock;

/// The target of lines about successful requests, which are sampled under load.
pub const ROUTINE: &str = "routine";

/// The routine lines per second up to which none is sampled out. This is several times what one
/// gateway serves in ordinary operation, and costs under 5 % of its processor time.
pub const ROUTINE_LINES_PER_SECOND: u64 = 200;

/// The most other lines per second; enough for every refusal and failure of a gateway at its limit.
pub const MAX_OTHER_LINES_PER_SECOND: u64 = 1_000;

/// The window in which lines are counted.
const WINDOW: clock::Millis = clock::Millis::from_secs(1);

/// The highest sampling level, which keeps about one request in a million.
const MAX_LEVEL: u32 = 20;

/// The decision on a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The line is written.
    Keep,
    /// The line is left out by the sampling.
    Skip,
    /// The line is over the limit and is counted as dropped.
    Drop,
}

/// Decides which lines are written; counts them per window.
#[derive(Debug, Default)]
pub struct Sampler {
    window: u64,
    level: u32,
    routine_offered: u64,
    routine_kept: u64,
    other_kept: u64,
}

impl Sampler {
    /// Makes a sampler that keeps all routine lines until they pass the limit.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns n when the routine lines of one request in n are kept.
    pub fn one_in(&self) -> u64 {
        1 << self.level
    }

    /// Decides on a routine line of `request`; raises the level when the window has too many.
    pub fn check_routine(&mut self, now: clock::Millis, request: &str) -> Decision {
        self.enter_window(now);
        self.routine_offered += 1;
        let hash = xxhash_rust::xxh3::xxh3_64(request.as_bytes());
        if hash & (self.one_in() - 1) != 0 {
            return Decision::Skip;
        }
        if self.routine_kept >= ROUTINE_LINES_PER_SECOND && self.level < MAX_LEVEL {
            self.level += 1;
            self.routine_kept /= 2;
        }
        self.routine_kept += 1;
        Decision::Keep
    }

    /// Decides on any other line.
    pub fn check_other(&mut self, now: clock::Millis) -> Decision {
        self.enter_window(now);
        if self.other_kept >= MAX_OTHER_LINES_PER_SECOND {
            return Decision::Drop;
        }
        self.other_kept += 1;
        Decision::Keep
    }

    /// Begins a new window if its time has come, at the lowest level that would have been enough
    /// for the lines offered in the last one.
    fn enter_window(&mut self, now: clock::Millis) {
        let window = now.as_u64() / WINDOW.as_u64();
        if window == self.window {
            return;
        }
        let offered = self.routine_offered;
        let needed = (0..MAX_LEVEL).find(|level| offered >> level <= ROUTINE_LINES_PER_SECOND);
        *self = Self {
            window,
            level: needed.unwrap_or(MAX_LEVEL),
            ..Self::default()
        };
    }
}
