//! The freshness lease: how long a gateway may act on its last confirmed configuration.
//!
//! The lease starts when the gateway sends a request and is measured on the gateway's own clock, so
//! clocks need not be synchronised. The leader's session for the gateway starts later and is
//! longer, so the lease ends first; see [`crate::controller::ownership`].

use crate::clock;
use crate::error;

/// The longest time for which an operator can override the end of the lease at once.
pub const MAX_OVERRIDE: clock::Millis = clock::Millis::from_secs(3600);

/// The freshness lease of one gateway.
#[derive(Clone, Debug)]
pub struct Lease {
    length: clock::Millis,
    /// When the latest request that was answered was sent.
    sent: Option<clock::Millis>,
    override_until: clock::Millis,
}

impl Lease {
    /// Makes a lease of the given length, which is not confirmed before its first renewal.
    pub const fn new(length: clock::Millis) -> Self {
        Self {
            length,
            sent: None,
            override_until: clock::Millis::ZERO,
        }
    }

    /// Renews the lease after a confirmed leader answered a request that was sent at `sent`.
    ///
    /// Answers may arrive in any order; the latest request counts.
    pub fn renew(&mut self, sent: clock::Millis) {
        self.sent = self.sent.max(Some(sent));
    }

    /// Returns when the lease ends, without regard to an override; zero before the first renewal.
    pub fn until(&self) -> clock::Millis {
        self.sent
            .map_or(clock::Millis::ZERO, |sent| sent + self.length)
    }

    /// Returns whether the configuration is confirmed now, without regard to an override.
    ///
    /// Roles may only be served while this holds: an override must not extend the service of a
    /// role.
    pub fn is_confirmed(&self, now: clock::Millis) -> bool {
        now < self.until()
    }

    /// Returns whether keyed requests may be served now: confirmed, or overridden by an operator.
    pub fn is_fresh(&self, now: clock::Millis) -> bool {
        self.is_confirmed(now) || self.is_overridden(now)
    }

    /// Returns whether only an operator's override keeps the configuration in use now.
    pub fn is_overridden(&self, now: clock::Millis) -> bool {
        !self.is_confirmed(now) && now < self.override_until
    }

    /// Lets this gateway use its last confirmed configuration for `length`, also after the lease
    /// ends; returns when the override ends.
    ///
    /// # Errors
    ///
    /// Fails when no configuration was confirmed since the gateway started, or when `length` is
    /// over [`MAX_OVERRIDE`].
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

    pub fn end_override(&mut self) {
        self.override_until = clock::Millis::ZERO;
    }
}
