//! One backend server in the view of a router: its entry in the list, load, availability, failures.

use std::collections;

use crate::clock;
use crate::fleet::call_limit;
use crate::fleet::message;
use crate::router::availability;
use crate::router::warmth;
use crate::unit;

/// Assumed prefill speed of a server until its first prefill was measured.
pub const INITIAL_PREFILL_TOKENS_PER_MS: f64 = 30.0;

/// Weight of the newest sample in the exponential moving averages of failures and prefill speed.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Failure rate up to which a server gets no penalty, since some requests fail at any server.
const TOLERATED_FAILURE_RATE: f64 = 0.25;

/// Penalty for the part of a failure rate above [`TOLERATED_FAILURE_RATE`], as a factor; the
/// product is compared with utilisation.
const FAILURE_RATE_PENALTY: f64 = 4.0;

/// How long the ending of a call is reported.
const ENDINGS_WINDOW: clock::Millis = clock::Millis::from_secs(2);

/// Upper bound of the endings that are kept for one server.
const MAX_ENDINGS: usize = 64;

/// A server and what this router knows of it.
#[derive(Debug)]
pub struct Backend {
    pub server: message::Server,
    pub availability: availability::Availability,
    /// The limit of calls that the server's answers to this router named.
    pub limit: call_limit::NamedLimit,
    /// The limit that its answers to other routers named, by the leader.
    pub fleet_limit: Option<unit::CallRate>,
    pub warmth: warmth::Warmth,
    /// When the last calls ended, and whether they were lost; oldest first.
    endings: collections::VecDeque<(clock::Millis, bool)>,
    pub own_load: message::Load,
    /// The load that the other routers have on the server.
    pub remote_load: message::Load,
    failure_rate: f64,
    pub prefill_tokens_per_ms: f64,
}

impl Backend {
    pub fn new(server: message::Server) -> Self {
        Self {
            server,
            availability: availability::Availability::default(),
            limit: call_limit::NamedLimit::default(),
            fleet_limit: None,
            warmth: warmth::Warmth::default(),
            endings: collections::VecDeque::new(),
            own_load: message::Load::default(),
            remote_load: message::Load::default(),
            failure_rate: 0.0,
            prefill_tokens_per_ms: INITIAL_PREFILL_TOKENS_PER_MS,
        }
    }

    /// Returns the limit of calls that the server names to any router; `None` without one.
    pub fn call_limit(&self, now: clock::Millis) -> Option<unit::CallRate> {
        self.limit.rate(now).or(self.fleet_limit)
    }

    /// Forgets whether the server was warm when its entry in a new list shows another start.
    pub fn forget_former_start(&mut self, listed: &message::Server) {
        let is_later =
            self.server.started_at.is_some() && listed.started_at > self.server.started_at;
        if is_later || listed.address != self.server.address {
            self.warmth = warmth::Warmth::default();
        }
    }

    /// Records how work at the server ended.
    pub fn record_outcome(&mut self, now: clock::Millis, outcome: availability::Outcome) {
        let sample = match outcome {
            availability::Outcome::Neutral => return,
            availability::Outcome::Succeeded => 0.0,
            availability::Outcome::Failed
            | availability::Outcome::Lost
            | availability::Outcome::ConnectFailed => 1.0,
        };
        self.failure_rate += (sample - self.failure_rate) * SAMPLE_WEIGHT;
        self.availability.record_outcome(now, outcome);
        self.endings
            .push_back((now, outcome == availability::Outcome::Lost));
        if self.endings.len() > MAX_ENDINGS {
            self.endings.pop_front();
        }
    }

    /// Returns the penalty for the server's failures, to be compared with utilisation.
    pub fn failure_penalty(&self) -> f64 {
        (self.failure_rate - TOLERATED_FAILURE_RATE).max(0.0) * FAILURE_RATE_PENALTY
    }

    /// Records how long the server took for a number of prompt tokens.
    pub fn record_prefill(&mut self, tokens: unit::Tokens, took: clock::Millis) {
        let rate = tokens.as_u64() as f64 / took.as_u64().max(1) as f64;
        self.prefill_tokens_per_ms += (rate - self.prefill_tokens_per_ms) * SAMPLE_WEIGHT;
    }

    /// Returns how the calls of the last two seconds ended.
    pub fn recent_endings(&self, now: clock::Millis) -> message::Endings {
        let recent = self.endings.iter();
        let recent = recent.filter(|(at, _)| now < *at + ENDINGS_WINDOW);
        recent.fold(message::Endings::default(), |sum, (_, lost)| {
            message::Endings {
                calls: sum.calls + 1,
                lost: sum.lost + u32::from(*lost),
            }
        })
    }
}
