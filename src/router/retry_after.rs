//! The time after which a refused caller is asked to send again.
//!
//! Callers follow it up to a third of their remaining time, and most of them send again once. So
//! the time should be long enough that there is capacity by then, and should differ from caller to
//! caller, so that they don't send at the same moment.

use crate::clock;

/// Model servers were at capacity: about the length of a stream, after which most slots have been
/// freed and taken again.
const STREAMS_FULL: Range = Range::new(2_500, 2_000);

/// Servers of a plain service were at capacity: the time of two to four answers, and short enough
/// for an answer within the usual latency target.
const PLAIN_FULL: Range = Range::new(100, 100);

/// No server could be reached, or all that were tried failed: a router tries a lost server again
/// after this time.
const SERVERS_FAILED: Range = Range::new(250, 200);

/// All servers of a service are leaving: the time in which a list with their successors arrives.
const SERVERS_LEAVING: Range = Range::new(800, 800);

/// All servers of a service are in data centres that are being evacuated, which lasts until an operator
/// ends it or a list names other servers.
const EVACUATED: Range = Range::new(1_000, 1_000);

/// Shortest range over which callers return after a known time.
const MIN_SPREAD: clock::Millis = clock::Millis::new(250);

/// Another request runs that will tell whether this one crashes servers: the time of one or two such
/// runs.
const SUSPECT: Range = Range::new(700, 700);

/// The router has no document or no server list yet: the time of one or two reports.
const NOT_READY: Range = Range::new(300, 200);

/// The bodies of other requests take the memory: the time in which some of them end.
const MEMORY_FULL: Range = Range::new(500, 500);

/// The router is stopping: callers that are told so connect elsewhere, where there may be capacity at once.
const STOPPING: Range = Range::new(50, 100);

/// The origin of a stream is not known yet: the time in which a leader is elected and hears of it.
const ORIGIN_LATE: Range = Range::new(500, 500);

/// Cause of a refusal, as far as it tells when there will be capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// All model servers are at capacity.
    StreamsFull,
    /// All servers of a plain service are at capacity.
    PlainFull,
    /// No server could be reached, or those that were tried failed.
    ServersFailed,
    /// All servers are leaving.
    ServersLeaving,
    /// All servers are in data centres that are being evacuated.
    Evacuated,
    /// The request may crash servers, which another one will tell.
    Suspect,
    /// No leader that knows the origin of a stream answers.
    OriginLate,
    /// The origin of a stream is not known. It may be told by a router that was slow.
    OriginUnknown,
    /// The router has no document or no usable route.
    NotReady,
    /// The bodies of other requests take the memory.
    MemoryFull,
    /// The router is stopping; others take requests.
    Stopping,
}

/// A range of delays: the shortest one and the width, in milliseconds.
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

/// Returns the delay for a cause; `random` is any random number.
pub fn delay(cause: Cause, random: u64) -> clock::Millis {
    let range = match cause {
        Cause::StreamsFull => STREAMS_FULL,
        Cause::PlainFull => PLAIN_FULL,
        Cause::ServersFailed => SERVERS_FAILED,
        Cause::ServersLeaving => SERVERS_LEAVING,
        Cause::Evacuated => EVACUATED,
        Cause::Suspect => SUSPECT,
        Cause::OriginLate | Cause::OriginUnknown => ORIGIN_LATE,
        Cause::NotReady => NOT_READY,
        Cause::MemoryFull => MEMORY_FULL,
        Cause::Stopping => STOPPING,
    };
    clock::Millis::new(range.min_ms + random % range.spread_ms)
}

/// Returns the delay when capacity is certain not to come within `wait`: up to a quarter more, so
/// that not all callers return when it comes; `random` is any random number.
pub fn delay_after(wait: clock::Millis, random: u64) -> clock::Millis {
    let spread = clock::Millis::new(wait.as_u64() / 4).max(MIN_SPREAD);
    wait + clock::Millis::new(random % spread.as_u64())
}
