//! What a server holds: own reservations exactly, the rest by correcting late load reports.

use std::collections;

use crate::backend::wire;
use crate::clock;

/// How long past amounts are kept to compare late reports with.
const HISTORY_RETENTION: clock::Millis = clock::Millis::new(5_000);

/// How far the time of a report may be off.
const REPORT_TIME_TOLERANCE: clock::Millis = clock::Millis::new(100);

/// An amount of work at a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Requests.
    pub requests: u32,
    /// Memory.
    pub pieces: u64,
    /// Prompt tokens still to be computed.
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

    /// Subtracts and stops at zero.
    fn saturating_sub(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(other.requests),
            pieces: self.pieces.saturating_sub(other.pieces),
            tokens: self.tokens.saturating_sub(other.tokens),
        }
    }
}

/// What a server holds by reservations and besides.
#[derive(Clone, Debug, Default)]
pub struct Occupancy {
    reserved: Usage,
    foreign: Usage,
    reported_at: Option<clock::Millis>,
    reported_requests: u32,
    history: collections::VecDeque<(clock::Millis, Usage)>,
}

impl Occupancy {
    /// Returns what reservations hold.
    pub fn reserved(&self) -> Usage {
        self.reserved
    }

    /// Returns what is held besides reservations, as far as a recent report showed it.
    pub fn foreign(&self, now: clock::Millis) -> Usage {
        match self.reported_at {
            Some(at) if now - at <= HISTORY_RETENTION => self.foreign,
            _ => Usage::default(),
        }
    }

    /// Tells whether any report has come in.
    pub fn has_report(&self) -> bool {
        self.reported_at.is_some()
    }

    /// Returns the requests of the latest report as it came, without correction.
    pub fn reported_requests(&self) -> u32 {
        self.reported_requests
    }

    /// Adds to what reservations hold.
    pub fn reserve(&mut self, now: clock::Millis, requests: u32, pieces: u64) {
        self.reserved.requests += requests;
        self.reserved.pieces += pieces;
        self.record_history(now);
    }

    /// Takes from what reservations hold.
    pub fn release(&mut self, now: clock::Millis, requests: u32, pieces: u64) {
        assert!(
            self.reserved.requests >= requests && self.reserved.pieces >= pieces,
            "released more than was held"
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

    /// Takes in a load report: what own reservations did not explain at its time is foreign.
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

    /// Returns the most that reservations held around a time.
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
