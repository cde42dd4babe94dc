//! Whether a server may be tried after failures.

use crate::clock;

/// The pauses between probes.
#[derive(Clone, Copy, Debug)]
pub struct Pauses {
    /// After the first failure.
    pub first: clock::Millis,
    /// At most.
    pub longest: clock::Millis,
}

impl Pauses {
    fn after(self, failures: u32) -> clock::Millis {
        let factor = 1 << (failures - 1).min(20);
        (self.first * factor).min(self.longest)
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
    },
}

impl Health {
    /// Tells whether a request may be placed now.
    pub fn allows(self, now: clock::Millis) -> bool {
        match self {
            Self::Up => true,
            Self::Down {
                probe_at, probing, ..
            } => now >= probe_at && !probing,
        }
    }

    /// Returns when a request may be placed, if that is known.
    pub fn allows_from(self) -> clock::Millis {
        match self {
            Self::Up => clock::Millis::ZERO,
            Self::Down { probe_at, .. } => probe_at,
        }
    }

    /// Notes that a request is placed.
    pub fn placed(&mut self) {
        if let Self::Down { probing, .. } = self {
            *probing = true;
        }
    }

    /// Notes that the server did its work for a request.
    pub fn succeeded(&mut self) {
        *self = Self::Up;
    }

    /// Notes a failure; several in one pause count once.
    pub fn failed(&mut self, now: clock::Millis, pauses: Pauses) {
        let failures = match *self {
            Self::Up => 1,
            Self::Down {
                failures,
                probing: true,
                ..
            } => failures + 1,
            Self::Down {
                failures, probe_at, ..
            } if now >= probe_at => failures + 1,
            Self::Down { .. } => return,
        };
        *self = Self::Down {
            failures,
            probe_at: now + pauses.after(failures),
            probing: false,
        };
    }

    /// Notes that a request left the server without showing how it does.
    pub fn ended(&mut self, now: clock::Millis, pauses: Pauses) {
        if let Self::Down {
            failures,
            probe_at,
            probing,
        } = self
            && *probing
        {
            *probing = false;
            *probe_at = now + pauses.after(*failures);
        }
    }
}
