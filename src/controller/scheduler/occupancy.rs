//! The capacity in use at a server: reservations are known exactly; foreign work, which has no
//! reservation here, is estimated from late load reports.

use std::collections;

use crate::backend::wire;
use crate::clock;

/// How long past reservations are kept to compare late reports with, and how long a report counts.
const HISTORY_RETENTION: clock::Millis = clock::Millis::new(5_000);

/// By how much the time of a report may be wrong.
const REPORT_TIME_TOLERANCE: clock::Millis = clock::Millis::new(100);

/// An amount of capacity at a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    pub requests: u32,
    /// The memory, in pieces.
    pub pieces: u64,
    /// The prompt tokens that are still to be computed.
    pub tokens: u64,
}

impl Usage {
    fn max(self, other: Self) -> Self {
        Self {
            requests: self.requests.max(other.requests),
            pieces: self.pieces.max(other.pieces),
            tokens: self.tokens.max(other.tokens),
        }
    }

    /// Subtracts each amount, down to zero.
    fn saturating_sub(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(other.requests),
            pieces: self.pieces.saturating_sub(other.pieces),
            tokens: self.tokens.saturating_sub(other.tokens),
        }
    }
}

/// The capacity in use at a server, by reservations and by foreign work.
#[derive(Clone, Debug, Default)]
pub struct Occupancy {
    reserved: Usage,
    foreign: Usage,
    reported_at: Option<clock::Millis>,
    reported_requests: u32,
    history: collections::VecDeque<(clock::Millis, Usage)>,
}

impl Occupancy {
    /// Returns the capacity that reservations take.
    pub fn reserved(&self) -> Usage {
        self.reserved
    }

    /// Returns the capacity that foreign work takes by the latest report, or none when that report
    /// is too old.
    pub fn foreign(&self, now: clock::Millis) -> Usage {
        match self.reported_at {
            Some(at) if now - at <= HISTORY_RETENTION => self.foreign,
            _ => Usage::default(),
        }
    }

    /// Returns whether the server has ever reported its load.
    pub fn has_report(&self) -> bool {
        self.reported_at.is_some()
    }

    /// Returns the number of requests in the latest report, without correction.
    pub fn reported_requests(&self) -> u32 {
        self.reported_requests
    }

    /// Adds to the capacity that reservations take.
    pub fn reserve(&mut self, now: clock::Millis, requests: u32, pieces: u64) {
        self.reserved.requests += requests;
        self.reserved.pieces += pieces;
        self.record_history(now);
    }

    /// Subtracts from the capacity that reservations take.
    ///
    /// # Panics
    ///
    /// Panics when more is released than is reserved.
    pub fn release(&mut self, now: clock::Millis, requests: u32, pieces: u64) {
        assert!(
            self.reserved.requests >= requests && self.reserved.pieces >= pieces,
            "released more than was reserved"
        );
        self.reserved.requests -= requests;
        self.reserved.pieces -= pieces;
        self.record_history(now);
    }

    /// Sets the prompt tokens that reservations still have to compute.
    pub fn set_tokens(&mut self, now: clock::Millis, tokens: u64) {
        self.reserved.tokens = tokens;
        self.record_history(now);
    }

    /// Applies a load report: what exceeds the reservations at its time is foreign work.
    pub fn apply_report(&mut self, now: clock::Millis, load: &wire::Load) {
        let at = now - load.age_ms;
        if self.reported_at.is_some_and(|last| at < last) {
            return;
        }
        let reported = Usage {
            requests: load.running.saturating_add(load.waiting),
            pieces: load.used.as_u64(),
            tokens: load.waiting_tokens.as_u64(),
        };
        self.foreign = reported.saturating_sub(self.max_reserved_around(at));
        self.reported_requests = reported.requests;
        self.reported_at = Some(at);
    }

    /// Returns the most capacity that reservations took around a time.
    fn max_reserved_around(&self, at: clock::Millis) -> Usage {
        let mut max = Usage::default();
        let mut before = Usage::default();
        for (time, amount) in &self.history {
            if *time + REPORT_TIME_TOLERANCE < at {
                before = *amount;
            } else if *time <= at + REPORT_TIME_TOLERANCE {
                max = max.max(*amount);
            }
        }
        max.max(before)
    }

    fn record_history(&mut self, now: clock::Millis) {
        match self.history.back_mut() {
            Some((at, amount)) if *at == now => *amount = amount.max(self.reserved),
            _ => self.history.push_back((now, self.reserved)),
        }
        while self.history.len() > 1 && self.history[1].0 + HISTORY_RETENTION < now {
            self.history.pop_front();
        }
    }
}
