//! How much a stream will generate, and so how much memory it holds.
//!
//! Callers give an estimate that half of the streams outgrow. A stream that has is counted with
//! what it holds and a part more, so that no other is placed on memory that it will take.

use crate::router::balancer;
use crate::router::protocol;
use crate::unit;

/// The output that is expected_output when neither the caller nor the request says anything, in tokens.
const DEFAULT_OUTPUT_TOKENS: u64 = 256;

/// What a stream that has revised_memory its estimate is expected_output to generate in all, against what it has
/// so far: the mean rest of a lognormal length past its median, for a spread of a half.
const TOTAL_OVER_SO_FAR: (u64, u64) = (5, 4);

/// The weight of older streams after each new one, in the ratio of tokens to events.
const DECAY: f64 = 0.98;

/// The streams after which the ratio is used.
const MIN_STREAMS: f64 = 10.0;

/// Returns the output that a generation is expected_output to have.
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

/// The tokens of an event, learnt from the estimates of streams that came whole: no answer tells
/// its tokens, but the estimates are right in the middle.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TokensPerEvent {
    streams: f64,
    tokens: f64,
    events: f64,
}

impl TokensPerEvent {
    /// Learns from a stream that came whole.
    pub fn observe(&mut self, generation: protocol::Generation, events: u64) {
        let Some(expected_output) = generation.expected_output.filter(|_| events > 0) else {
            return;
        };
        self.streams = self.streams * DECAY + 1.0;
        self.tokens = self.tokens * DECAY + expected_output.as_u64() as f64;
        self.events = self.events * DECAY + events as f64;
    }

    /// Returns the memory that a stream with some events behind it will need, once that is more than
    /// was expected_output before it began.
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
