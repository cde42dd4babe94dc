//! Estimates the output of a stream, and with it the KV memory that it holds.
//!
//! Callers send an estimate that half of the streams exceed. The load of a stream that has exceeded
//! it is raised to the memory it holds plus a margin, so that no other stream is placed on memory
//! that it will take.

use crate::document;
use crate::router::balancer;
use crate::router::protocol;
use crate::unit;

/// Output assumed when neither the caller nor the request gives a number.
const DEFAULT_OUTPUT_TOKENS: u64 = 256;

/// Expected total output of a stream that has exceeded its estimate, relative to its output so far
/// (numerator, denominator). It is the mean remaining length past the median of a lognormal
/// distribution with a spread of 0.5.
const TOTAL_OVER_SO_FAR: (u64, u64) = (5, 4);

/// Weight of the older streams in the token-to-event ratio at each new stream.
const DECAY: f64 = 0.98;

/// The ratio is used from this number of (weighted) streams on.
const MIN_STREAMS: f64 = 10.0;

/// Returns the output that a generation is expected to have: the caller's estimate within the
/// limit, else the limit, else 256 tokens.
pub fn expected_output(generation: protocol::Generation) -> unit::Tokens {
    let max_output = generation.max_output;
    let has_limit = max_output.as_u64() > 0;
    let expected_output = match generation.expected_output {
        Some(expected_output) => expected_output,
        None if has_limit => max_output,
        None => unit::Tokens::new(DEFAULT_OUTPUT_TOKENS),
    };
    if has_limit {
        expected_output.min(max_output)
    } else {
        expected_output
    }
}

/// Returns the memory that must be free at a server before it gets a stream that is expected to need
/// `memory`.
///
/// A server compares a reservation with the memory that is used now, but the streams that it runs
/// grow. Until the next one ends, they grow by about the mean output of one stream together: each of
/// n streams by an nth. Without room for that, the server preempts the newest stream, whose prompt
/// is then read again.
pub fn required_memory(
    memory: unit::Tokens,
    mean_output: unit::Tokens,
    service: &document::Service,
) -> unit::Tokens {
    let capacity = service.engine.as_ref().map_or(memory, |e| e.memory);
    (memory + mean_output).min(capacity).max(memory)
}

/// Estimate of the tokens in one event. No answer states its number of tokens, so the ratio comes
/// from the callers' estimates of complete streams, whose median is right.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TokensPerEvent {
    streams: f64,
    tokens: f64,
    events: f64,
}

impl TokensPerEvent {
    /// Records a complete stream.
    pub fn observe(&mut self, generation: protocol::Generation, events: u64) {
        let Some(expected_output) = generation.expected_output.filter(|_| events > 0) else {
            return;
        };
        self.streams = self.streams * DECAY + 1.0;
        self.tokens = self.tokens * DECAY + expected_output.as_u64() as f64;
        self.events = self.events * DECAY + events as f64;
    }

    /// Returns the mean output of the streams as their callers estimated it; zero before the first
    /// one has ended.
    pub fn mean_output(&self) -> unit::Tokens {
        if self.streams == 0.0 {
            return unit::Tokens::new(0);
        }
        unit::Tokens::new((self.tokens / self.streams) as u64)
    }

    /// Returns the memory that a stream with this many events is expected to need, if that is more
    /// than was expected before it began. Returns `None` otherwise, and as long as there are too
    /// few streams for the ratio.
    pub fn revised_memory(
        &self,
        generation: protocol::Generation,
        events: u64,
    ) -> Option<unit::Tokens> {
        if self.streams < MIN_STREAMS {
            return None;
        }
        let output_so_far = (events as f64 * self.tokens / self.events) as u64;
        if output_so_far <= expected_output(generation).as_u64() {
            return None;
        }
        let output = unit::Tokens::new(output_so_far * TOTAL_OVER_SO_FAR.0 / TOTAL_OVER_SO_FAR.1);
        let output = match generation.max_output.as_u64() {
            0 => output,
            _ => output.min(generation.max_output),
        };
        Some(balancer::memory_for(generation.prompt, output))
    }
}
