//! What one call met.

use buckthorncleat::clock;

use crate::load::arrival;

/// One call and its end.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Record {
    /// The number of the call.
    pub number: u64,
    /// The position of its account in the plan.
    pub account: usize,
    /// The kind of the call.
    pub kind: arrival::Kind,
    /// When it was due, from the start of the run.
    pub at: clock::Millis,
    /// When it ended, from the start of the run.
    pub ended: clock::Millis,
    /// How it ended.
    pub end: End,
    /// The value of the outcome header, if an answer came.
    pub outcome: Option<String>,
    /// The time from when it was due to the first token, in milliseconds.
    pub first_token_ms: Option<f64>,
    /// The mean time between tokens, in milliseconds.
    pub between_tokens_ms: Option<f64>,
    /// The tokens that came.
    pub tokens: u64,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// The whole answer came, and it is the right one.
    Whole,
    /// A whole answer came that is not the right one.
    Wrong,
    /// The answer broke off.
    Broken,
    /// It was refused.
    Refused {
        /// The HTTP status.
        status: u16,
        /// The word for programs.
        code: String,
    },
    /// No entry could be reached.
    Unreachable,
    /// The caller gave up waiting.
    TimedOut,
}

impl Record {
    /// Tells whether the call was refused for its account's limit.
    pub fn is_limited(&self) -> bool {
        matches!(self.end, End::Refused { status: 429, .. })
    }

    /// Tells whether the call was refused.
    pub fn is_refused(&self) -> bool {
        matches!(self.end, End::Refused { .. })
    }

    /// Tells whether a whole answer came within both targets.
    pub fn is_good(&self, first_token: clock::Millis, between_tokens: clock::Millis) -> bool {
        let within = |time: Option<f64>, target: clock::Millis| {
            time.is_some_and(|ms| ms <= target.as_u64() as f64)
        };
        self.end == End::Whole
            && within(self.first_token_ms, first_token)
            && within(self.between_tokens_ms, between_tokens)
    }
}
