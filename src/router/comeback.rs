//! When refused callers are asked to come back.
//!
//! They keep to it up to a third of the time that they have left, and most come back once. So a time
//! should be long enough that there is room then, and differ from caller to caller, so that they
//! don't return together.

use crate::clock;

/// Model servers were full: about the time that a stream runs, so that most places changed hands.
const STREAMS_FULL: Span = Span::new(2_500, 2_000);

/// Servers of a plain service were full: two to four answers later, and short enough for an answer
/// within the usual target.
const PLAIN_FULL: Span = Span::new(100, 100);

/// No server could be reached, or all that were failed: a router tries a lost server again after
/// that.
const SERVERS_FAILED: Span = Span::new(250, 200);

/// The router has no document yet, or no list: one or two reports later.
const NOT_READY: Span = Span::new(300, 200);

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
struct Span {
    shortest: u64,
    spread: u64,
}

impl Span {
    const fn new(shortest: u64, spread: u64) -> Self {
        Self { shortest, spread }
    }
}

/// Returns the time after which to come back; `draw` is any random number.
pub fn after(cause: Cause, draw: u64) -> clock::Millis {
    let span = match cause {
        Cause::StreamsFull => STREAMS_FULL,
        Cause::PlainFull => PLAIN_FULL,
        Cause::ServersFailed => SERVERS_FAILED,
        Cause::NotReady => NOT_READY,
    };
    clock::Millis::new(span.shortest + draw % span.spread)
}
