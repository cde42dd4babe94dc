//! Tracks the failures of a server. After a failure, single requests probe it after growing delays
//! until one succeeds.

use crate::clock;

/// The delays between probes of a failed server; they double with each failure.
#[derive(Clone, Copy, Debug)]
pub struct ProbeDelays {
    /// The delay after the first failure.
    pub first: clock::Millis,
    /// The longest delay.
    pub max: clock::Millis,
}

impl ProbeDelays {
    fn delay_after(self, failures: u32) -> clock::Millis {
        let factor = 1 << (failures - 1).min(20);
        (self.first * factor).min(self.max)
    }
}

/// The health of one server, by the outcome of its requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// The server has not failed since its last success.
    #[default]
    Up,
    /// The server failed; from `probe_at` on, one request at a time probes it.
    Down {
        /// The number of consecutive failures.
        failures: u32,
        /// When the next probe may start.
        probe_at: clock::Millis,
        /// Whether a request probes the server now.
        probing: bool,
        /// When the server failed last.
        failed_at: clock::Millis,
        /// Until when no probe starts unless the server reports its load again.
        silent_until: clock::Millis,
    },
}

impl Health {
    /// Returns whether a request may be placed now.
    pub fn allows(self, now: clock::Millis) -> bool {
        let probing = matches!(self, Self::Down { probing: true, .. });
        now >= self.allows_from() && !probing
    }

    /// Returns from when on a request may be placed, apart from a probe that runs now.
    pub fn allows_from(self) -> clock::Millis {
        match self {
            Self::Up => clock::Millis::ZERO,
            Self::Down {
                probe_at,
                silent_until,
                ..
            } => probe_at.max(silent_until),
        }
    }

    pub fn record_placement(&mut self) {
        if let Self::Down { probing, .. } = self {
            *probing = true;
        }
    }

    /// Records that the server did its work for a request.
    pub fn record_success(&mut self) {
        *self = Self::Up;
    }

    /// Records a failure; several within one delay count once. `has_report` says whether the server
    /// has reported its load before: only then does a missing report mean that it is still down.
    pub fn record_failure(&mut self, now: clock::Millis, delays: ProbeDelays, has_report: bool) {
        let failures = match *self {
            Self::Up => 1,
            Self::Down {
                failures, probing, ..
            } if probing || now >= self.allows_from() => failures + 1,
            Self::Down { .. } => return,
        };
        let silent_until = match has_report {
            true => now + delays.max,
            false => now,
        };
        *self = Self::Down {
            failures,
            probe_at: now + delays.delay_after(failures),
            probing: false,
            failed_at: now,
            silent_until,
        };
    }

    /// Records that the server reported its load as it was at a time.
    pub fn record_report(&mut self, at: clock::Millis) {
        if let Self::Down {
            failed_at,
            silent_until,
            ..
        } = self
            && at > *failed_at
        {
            *silent_until = *failed_at;
        }
    }

    /// Records that a request left the server without success or failure.
    pub fn record_end(&mut self, now: clock::Millis, delays: ProbeDelays) {
        if let Self::Down {
            failures,
            probe_at,
            probing,
            ..
        } = self
            && *probing
        {
            *probing = false;
            *probe_at = now + delays.delay_after(*failures);
        }
    }
}
