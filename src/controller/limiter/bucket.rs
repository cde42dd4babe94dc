//! An exact token bucket whose charges are amended when their requests end.

use crate::clock;
use crate::controller::limiter::history;
use crate::controller::limiter::level;
use crate::controller::limiter::message;
use crate::id;
use crate::unit;

/// How long after its start a charge can be amended.
pub const AMENDABLE_AGE: clock::Millis = clock::Millis::from_secs(120);

/// The maximum number of charges of one bucket that can be amended; older ones are final.
pub const MAX_CHARGES: usize = 16_384;

/// The longest time ahead for which tokens are granted.
///
/// A new owner without a hand-over waits as long before its bucket begins to fill, so that all
/// grants of the previous owner have started by then.
pub const MAX_DELAY: clock::Millis = clock::Millis::from_secs(2);

/// How long after its start a charge that is sent again gets the same answer; later it is refused,
/// and the caller has to send the request again.
///
/// Bounds how much later than its charge a request can start when answers are lost.
pub const MAX_RESEND_AGE: clock::Millis = clock::Millis::from_secs(2);

/// The `retry_after` of a refusal when the rate is zero, so that there will never be enough tokens.
pub const ZERO_RATE_RETRY_AFTER: clock::Millis = clock::Millis::from_secs(24 * 3600);

/// A token bucket whose net charges never exceed rate × window + burst in any window.
#[derive(Clone, Debug)]
pub struct Bucket {
    now: clock::Millis,
    history: history::History,
}

impl Bucket {
    /// Makes a bucket with the given level, but at most the burst.
    pub fn new(now: clock::Millis, limit: level::Limit, level: level::Level) -> Self {
        let base = history::Base {
            at: now,
            limit,
            level: level.min(limit.full()),
        };
        Self {
            now,
            history: history::History::new(base),
        }
    }

    /// Makes an empty bucket that begins to fill after [`MAX_DELAY`], for use without a hand-over.
    pub fn after_unknown_owner(now: clock::Millis, limit: level::Limit) -> Self {
        let mut bucket = Self::new(now + MAX_DELAY, limit, level::Level::ZERO);
        bucket.now = now;
        bucket
    }

    pub fn from_history(now: clock::Millis, history: history::History) -> Self {
        Self { now, history }
    }

    pub fn into_history(self) -> history::History {
        self.history
    }

    pub fn limit(&self) -> level::Limit {
        self.history.limit()
    }

    /// Returns the level after all charges, including those that start in the future.
    pub fn level(&self, now: clock::Millis) -> level::Level {
        self.history.level_at(now.max(self.history.last_at()))
    }

    /// Returns the number of events that can still be amended.
    pub fn history_len(&self) -> usize {
        self.history.len()
    }

    /// Changes the limit at once.
    ///
    /// The level is lowered to a smaller burst and never raised. Charges that were granted for a
    /// later start keep it.
    pub fn set_limit(&mut self, now: clock::Millis, limit: level::Limit) {
        self.advance(now);
        if limit == self.limit() {
            return;
        }
        self.history.set_limit(self.now, limit);
        self.check_invariants();
    }

    /// Charges a request as soon as there are enough tokens, at most `max_wait` and [`MAX_DELAY`]
    /// ahead.
    ///
    /// # Panics
    ///
    /// Panics if a granted charge would overdraw the bucket.
    pub fn charge(&mut self, now: clock::Millis, charge: &message::Charge) -> message::Reply {
        self.advance(now);
        if let Some(event) = self.history.find(charge.request) {
            return self.answer_resend(event);
        }
        if charge.tokens > self.limit().burst {
            return message::Reply::TooLarge;
        }
        let Some(start) = self.earliest_start(charge.tokens) else {
            return message::Reply::Refused {
                retry_after: ZERO_RATE_RETRY_AFTER,
            };
        };
        let delay = start - self.now;
        if delay > charge.max_wait.min(MAX_DELAY) {
            return message::Reply::Refused { retry_after: delay };
        }
        self.append(start, charge.request, charge.tokens, false);
        assert!(
            self.history.level_at(start) >= level::Level::ZERO,
            "a granted charge must not overdraw the bucket"
        );
        message::Reply::Granted { delay }
    }

    /// Amends the charge of a request to what it used.
    ///
    /// A refund of an unknown request is recorded, so that a charge that arrives after its refund
    /// is refused. Of several refunds of one request the largest use counts.
    pub fn refund(&mut self, now: clock::Millis, refund: &message::Refund) -> message::Reply {
        self.advance(now);
        match self.history.find(refund.request) {
            None => {
                let at = self.now.max(self.history.last_at());
                self.append(at, refund.request, unit::Tokens::new(0), true);
            }
            Some(event) if event.settled && event.tokens >= refund.used => {}
            Some(_) => self.history.settle(refund.request, refund.used),
        }
        self.check_invariants();
        message::Reply::Refunded
    }

    fn answer_resend(&self, event: &history::Event) -> message::Reply {
        if event.settled || self.now - event.at > MAX_RESEND_AGE {
            return message::Reply::Refused {
                retry_after: clock::Millis::ZERO,
            };
        }
        message::Reply::Granted {
            delay: event.at - self.now,
        }
    }

    fn earliest_start(&self, tokens: unit::Tokens) -> Option<clock::Millis> {
        let at = self.now.max(self.history.last_at());
        let deficit = level::Level::from_tokens(tokens) - self.history.level_at(at);
        Some(at + self.limit().refill_time(deficit)?)
    }

    fn append(
        &mut self,
        at: clock::Millis,
        request: id::RequestId,
        tokens: unit::Tokens,
        settled: bool,
    ) {
        self.history.push(history::Event {
            at,
            limit: self.limit(),
            request: Some(request),
            tokens,
            settled,
        });
        if self.history.len() > MAX_CHARGES {
            self.history.fold_first();
        }
        self.check_invariants();
    }

    fn advance(&mut self, now: clock::Millis) {
        self.now = self.now.max(now);
        while let Some(event) = self.history.first() {
            if event.at + AMENDABLE_AGE >= self.now {
                break;
            }
            self.history.fold_first();
        }
    }

    fn check_invariants(&self) {
        assert!(self.history.len() <= MAX_CHARGES + 1, "history is bounded");
        assert!(
            self.level(self.now) <= self.limit().full(),
            "a level never exceeds the burst"
        );
    }
}
