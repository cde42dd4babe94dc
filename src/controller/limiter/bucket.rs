//! An exact token bucket with charges that are amended when a request ends.

use crate::clock;
use crate::controller::limiter::history;
use crate::controller::limiter::level;
use crate::controller::limiter::message;
use crate::id;
use crate::unit;

/// How long after its start a charge can be amended.
pub const AMENDABLE_AGE: clock::Millis = clock::Millis::from_secs(120);

/// The most charges of one bucket that are kept for amendment.
pub const MAX_CHARGES: usize = 16_384;

/// The longest time ahead for which tokens are promised; a new owner waits as long before its
/// bucket fills.
pub const MAX_DELAY: clock::Millis = clock::Millis::from_secs(2);

/// How long after its start a charge is answered again; later the request is told to ask anew.
///
/// It bounds how much later than its charge a request can start when answers are lost.
pub const MAX_RESEND: clock::Millis = clock::Millis::from_secs(2);

/// What a refused request is told when its tokens never come, because the rate is zero.
pub const RETRY_NEVER: clock::Millis = clock::Millis::from_secs(24 * 3600);

/// A token bucket whose net charges never exceed rate × window + burst in any window.
#[derive(Clone, Debug)]
pub struct Bucket {
    now: clock::Millis,
    history: history::History,
}

impl Bucket {
    /// Makes a bucket with a level.
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

    /// Makes an empty bucket that begins to fill [`MAX_DELAY`] from now.
    pub fn after_unknown_owner(now: clock::Millis, limit: level::Limit) -> Self {
        let mut bucket = Self::new(now + MAX_DELAY, limit, level::Level::ZERO);
        bucket.now = now;
        bucket
    }

    /// Goes on with a history.
    pub fn from_history(now: clock::Millis, history: history::History) -> Self {
        Self { now, history }
    }

    /// Returns the history, for the next owner.
    pub fn into_history(self) -> history::History {
        self.history
    }

    /// Returns the limit in force.
    pub fn limit(&self) -> level::Limit {
        self.history.limit()
    }

    /// Returns the level now, after all charges including those promised ahead.
    pub fn level(&self, now: clock::Millis) -> level::Level {
        self.history.level_at(now.max(self.history.last_at()))
    }

    /// Returns the number of events that are kept for amendment.
    pub fn history_len(&self) -> usize {
        self.history.len()
    }

    /// Puts another limit in force at once.
    ///
    /// The level is lowered to a smaller burst and never raised. Charges that were promised ahead
    /// keep their start.
    pub fn set_limit(&mut self, now: clock::Millis, limit: level::Limit) {
        self.advance(now);
        if limit == self.limit() {
            return;
        }
        self.history.set_limit(self.now, limit);
        self.check();
    }

    /// Charges a request, now or as soon as there are tokens within its patience.
    ///
    /// # Panics
    ///
    /// Panics if a granted charge would leave the bucket overdrawn.
    pub fn charge(&mut self, now: clock::Millis, charge: &message::Charge) -> message::Reply {
        self.advance(now);
        if let Some(event) = self.history.find(charge.request) {
            return self.repeat(event);
        }
        if charge.tokens > self.limit().burst {
            return message::Reply::TooLarge;
        }
        let Some(start) = self.earliest(charge.tokens) else {
            return message::Reply::Refused {
                retry_after: RETRY_NEVER,
            };
        };
        let delay = start - self.now;
        if delay > charge.patience.min(MAX_DELAY) {
            return message::Reply::Refused { retry_after: delay };
        }
        self.book(start, charge.request, charge.tokens, false);
        assert!(
            self.history.level_at(start) >= level::Level::ZERO,
            "a granted charge must be covered"
        );
        message::Reply::Granted { delay }
    }

    /// Amends the charge of a request to what it used.
    ///
    /// A refund of a request that is not known is remembered, so that its charge is refused when
    /// it comes late. Of several refunds of one request the largest use counts.
    pub fn refund(&mut self, now: clock::Millis, refund: &message::Refund) -> message::Reply {
        self.advance(now);
        match self.history.find(refund.request) {
            None => {
                let at = self.now.max(self.history.last_at());
                self.book(at, refund.request, unit::Tokens::new(0), true);
            }
            Some(event) if event.settled && event.tokens >= refund.used => {}
            Some(_) => self.history.settle(refund.request, refund.used),
        }
        self.check();
        message::Reply::Refunded
    }

    fn repeat(&self, event: &history::Event) -> message::Reply {
        if event.settled || self.now - event.at > MAX_RESEND {
            return message::Reply::Refused {
                retry_after: clock::Millis::ZERO,
            };
        }
        message::Reply::Granted {
            delay: event.at - self.now,
        }
    }

    fn earliest(&self, tokens: unit::Tokens) -> Option<clock::Millis> {
        let at = self.now.max(self.history.last_at());
        let shortage = level::Level::from_tokens(tokens) - self.history.level_at(at);
        Some(at + self.limit().time_for(shortage)?)
    }

    fn book(
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
        self.check();
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

    fn check(&self) {
        assert!(self.history.len() <= MAX_CHARGES + 1, "history is bounded");
        assert!(
            self.level(self.now) <= self.limit().full(),
            "a level never exceeds the burst"
        );
    }
}
