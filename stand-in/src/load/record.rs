//! Result of one call.

use buckthorncleat::clock;

use crate::load::arrival;

/// One call and how it ended.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Record {
    /// [`arrival::Arrival::number`] of the call.
    pub number: u64,
    /// Index of the account in the plan.
    pub account: usize,
    pub kind: arrival::Kind,
    /// Time at which the call was due, from the start of the run.
    pub at: clock::Millis,
    /// Time at which the call ended, from the start of the run.
    pub ended: clock::Millis,
    pub end: End,
    /// Value of the outcome header. `None` if no answer came or it had no such header.
    pub outcome: Option<String>,
    /// Time from when the call was due to the first token, in milliseconds.
    pub first_token_ms: Option<f64>,
    /// Mean time between tokens, in milliseconds.
    pub between_tokens_ms: Option<f64>,
    /// Number of tokens received.
    pub tokens: u64,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// A complete and correct answer came.
    Whole,
    /// A complete answer came, but it is not the expected one.
    Wrong,
    /// The answer ended before it was complete.
    Broken,
    /// The call was refused.
    Refused {
        /// HTTP status.
        status: u16,
        /// Error code in the body, for programs. Empty if there was none.
        code: String,
    },
    /// None of the gateway entries tried could be reached.
    Unreachable,
    /// The call did not end within `call_timeout_ms`.
    TimedOut,
}

impl Record {
    /// Returns whether the call was refused because of its account's limit (status 429).
    pub fn is_limited(&self) -> bool {
        matches!(self.end, End::Refused { status: 429, .. })
    }

    /// Returns whether the call was refused for any reason.
    pub fn is_refused(&self) -> bool {
        matches!(self.end, End::Refused { .. })
    }

    /// Returns whether a complete and correct answer came within both latency targets.
    pub fn is_good(&self, first_token: clock::Millis, between_tokens: clock::Millis) -> bool {
        let within = |time: Option<f64>, target: clock::Millis| {
            time.is_some_and(|ms| ms <= target.as_u64() as f64)
        };
        self.end == End::Whole
            && within(self.first_token_ms, first_token)
            && within(self.between_tokens_ms, between_tokens)
    }
}
