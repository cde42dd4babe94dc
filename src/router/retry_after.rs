//! When refused callers are asked to come back.
//!
//! They keep to it up to a third of the time that they have left, and most come back once. So a time
//! should be long enough that there is room then, and differ from caller to caller, so that they
//! don't return together.

use crate::clock;

/// Model servers were full: about the time that a stream runs, so that most places changed hands.
const STREAMS_FULL: Range = Range::new(2_500, 2_000);

/// Servers of a plain service were full: two to four answers later, and short enough for an answer
/// within the usual target.
const PLAIN_FULL: Range = Range::new(100, 100);

/// No server could be reached, or all that were failed: a router tries a lost server again after
/// that.
const SERVERS_FAILED: Range = Range::new(250, 200);

/// The router has no document yet, or no list: one or two reports later.
const NOT_READY: Range = Range::new(300, 200);

/// Why a caller is refused, as far as it tells when there will be room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// All model servers are full.
    StreamsFull,
    /// All servers of a plain service are full.
    PlainFull,
    /// No server could be reached, or those that were tried failed.
    ServersFailed,
    /// The router knows too little to serve.
    NotReady,
}

/// A shortest time, and how much longer it may be, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Range {
    min_ms: u64,
    spread_ms: u64,
}

impl Range {
    const fn new(min_ms: u64, spread_ms: u64) -> Self {
        Self { min_ms, spread_ms }
    }
}

/// Returns the time after which to come back; `random` is any random number.
pub fn delay(cause: Cause, random: u64) -> clock::Millis {
    let range = match cause {
        Cause::StreamsFull => STREAMS_FULL,
        Cause::PlainFull => PLAIN_FULL,
        Cause::ServersFailed => SERVERS_FAILED,
        Cause::NotReady => NOT_READY,
    };
    clock::Millis::new(range.min_ms + random % range.spread_ms)
}
