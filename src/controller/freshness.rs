//! The freshness lease: how long a gateway may act on the configuration that it last confirmed.
//!
//! The lease counts from the moment at which the gateway sent its request, on its own clock, so
//! that no clocks need to agree. The leader's session for the gateway counts from a later moment
//! and is longer, so the lease ends first; see [`crate::controller::ownership`].

use crate::clock;
use crate::error;

/// The longest time ahead for which an operator can override an end of the lease.
pub const MAX_OVERRIDE: clock::Millis = clock::Millis::from_secs(3600);

/// The freshness lease of one gateway.
#[derive(Clone, Debug)]
pub struct Lease {
    length: clock::Millis,
    sent: Option<clock::Millis>,
    override_until: clock::Millis,
}

impl Lease {
    /// Makes a lease that is not fresh before its first renewal.
    pub const fn new(length: clock::Millis) -> Self {
        Self {
            length,
            sent: None,
            override_until: clock::Millis::ZERO,
        }
    }

    /// Takes in an answer of a confirmed leader to a request that was sent at `sent`.
    ///
    /// Answers may come in any order; the latest request counts.
    pub fn renew(&mut self, sent: clock::Millis) {
        self.sent = self.sent.max(Some(sent));
    }

    /// Returns when the lease ends; zero before the first renewal. An override is not counted.
    pub fn until(&self) -> clock::Millis {
        self.sent
            .map_or(clock::Millis::ZERO, |sent| sent + self.length)
    }

    /// Tells whether the configuration counts as confirmed now, without regard to an override.
    ///
    /// Roles are served under this condition alone: an override never keeps an owner in place.
    pub fn is_confirmed(&self, now: clock::Millis) -> bool {
        now < self.until()
    }

    /// Tells whether keyed requests may be served now: confirmed, or overridden by an operator.
    pub fn is_fresh(&self, now: clock::Millis) -> bool {
        self.is_confirmed(now) || self.is_overridden(now)
    }

    /// Tells whether only an operator's override keeps the configuration in use now.
    pub fn is_overridden(&self, now: clock::Millis) -> bool {
        !self.is_confirmed(now) && now < self.override_until
    }

    /// Lets this gateway serve its last confirmed configuration for a while after the lease.
    ///
    /// # Errors
    ///
    /// Fails when no configuration was ever confirmed here or when the time is longer than
    /// [`MAX_OVERRIDE`].
    pub fn override_for(
        &mut self,
        now: clock::Millis,
        length: clock::Millis,
    ) -> error::Result<clock::Millis> {
        if self.sent.is_none() {
            return Err(error::Error::unavailable(
                "no configuration was confirmed since this gateway started",
                self.length,
            ));
        }
        if length > MAX_OVERRIDE {
            let remedy = format!("use at most {MAX_OVERRIDE}, and renew it when needed");
            return Err(error::Error::bad_value("override", length, remedy));
        }
        self.override_until = now + length;
        Ok(self.override_until)
    }

    /// Ends an override.
    pub fn end_override(&mut self) {
        self.override_until = clock::Millis::ZERO;
    }
}
