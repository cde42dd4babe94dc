//! Whether a server may be tried after failures.

use crate::clock;

/// The pauses between probes.
#[derive(Clone, Copy, Debug)]
pub struct ProbeDelays {
    /// After the first failure.
    pub first: clock::Millis,
    /// At most.
    pub max: clock::Millis,
}

impl ProbeDelays {
    fn delay_after(self, failures: u32) -> clock::Millis {
        let factor = 1 << (failures - 1).min(20);
        (self.first * factor).min(self.max)
    }
}

/// The health of one server, as far as requests showed it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// It answers.
    #[default]
    Up,
    /// It failed; one request at a time tries it from `probe_at` on.
    Down {
        /// The failures in a row.
        failures: u32,
        /// When it may be tried.
        probe_at: clock::Millis,
        /// Whether a request tries it now.
        probing: bool,
        /// When it failed last.
        failed_at: clock::Millis,
        /// Until when it is left alone unless it reports its load again.
        silent_until: clock::Millis,
    },
}

impl Health {
    /// Tells whether a request may be placed now.
    pub fn allows(self, now: clock::Millis) -> bool {
        let probing = matches!(self, Self::Down { probing: true, .. });
        now >= self.allows_from() && !probing
    }

    /// Returns when a request may be placed, if that is known.
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

    /// Notes that a request is placed.
    pub fn record_placement(&mut self) {
        if let Self::Down { probing, .. } = self {
            *probing = true;
        }
    }

    /// Notes that the server did its work for a request.
    pub fn record_success(&mut self) {
        *self = Self::Up;
    }

    /// Notes a failure; several in one pause count once. `has_report` tells whether the server has
    /// reported its load before, so that its silence means something.
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

    /// Notes that the server reported its load as it was at a time.
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

    /// Notes that a request left the server without showing how it does.
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
