//! The arrivals of one request at servers, as the retry budget counts them.
//!
//! The first call that a server receives for a request is no retry, each further one is, also when
//! the server refuses it. The first prefill that a server completes does not count.

use crate::clock;
use crate::router::retries;

/// The arrivals of one request.
#[derive(Debug, Default)]
pub struct Arrivals {
    /// The arrivals that count.
    counted: u32,
    /// The share for the next retry; `None` when none was taken.
    share: Option<retries::Share>,
    /// Whether a server completed a prefill of the request.
    has_prefilled: bool,
}

/// An arrival that is about to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// The first one of its request.
    First,
    /// A retry, with its share of the budget.
    Retry(retries::Share),
}

impl Arrivals {
    /// Returns whether the next call may be sent: it is the first one, or there is a share for it.
    pub fn may_send(&self, now: clock::Millis) -> bool {
        self.counted == 0 || self.has_share(now)
    }

    /// Returns whether there is a valid share for the next retry.
    pub fn has_share(&self, now: clock::Millis) -> bool {
        self.share.is_some_and(|s| s.is_valid(now))
    }

    /// Sets the share for the next retry and returns the one before.
    pub fn hold(&mut self, share: retries::Share) -> Option<retries::Share> {
        self.share.replace(share)
    }

    /// Takes the share for the next retry.
    pub fn take_share(&mut self) -> Option<retries::Share> {
        self.share.take()
    }

    /// Records that a call is sent to a server; `None` when it must not be, since it is a retry
    /// without a valid share.
    pub fn send(&mut self, now: clock::Millis) -> Option<Arrival> {
        if !self.may_send(now) {
            return None;
        }
        self.counted += 1;
        if self.counted == 1 {
            return Some(Arrival::First);
        }
        self.share.take().map(Arrival::Retry)
    }

    /// Records that the server completed the prefill that was sent last.
    pub fn complete_prefill(&mut self) {
        if !self.has_prefilled {
            self.has_prefilled = true;
            self.counted -= 1;
        }
    }
}
