//! Time in milliseconds on the monotonic clock of one process.

use std::fmt;
use std::ops;
use std::str;
use std::time;

use crate::error;
use crate::macros;

macros::data! {copy
    /// A point in time since the start of the process, or a length of time, in milliseconds.
    ///
    /// Two processes never compare their points in time; only lengths cross the wire.
    #[derive(Default)]
    #[serde(transparent)]
    pub struct Millis(u64);
}

impl Millis {
    /// The start of the process, or no time at all.
    pub const ZERO: Self = Self(0);
    /// The largest time, used for "never".
    pub const MAX: Self = Self(u64::MAX);

    /// Wraps a number of milliseconds.
    pub const fn new(ms: u64) -> Self {
        Self(ms)
    }

    /// Wraps a number of seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1000)
    }

    /// Returns the number of milliseconds.
    pub const fn as_u64(self) -> u64 {
        self.0
    }

    /// Returns the time in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1000.0
    }

    /// Converts a length of time for the timers of tokio.
    pub const fn as_duration(self) -> time::Duration {
        time::Duration::from_millis(self.0)
    }
}

impl ops::Add for Millis {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl ops::Sub for Millis {
    type Output = Self;

    /// Subtracts and stops at zero.
    fn sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl ops::Mul<u64> for Millis {
    type Output = Self;

    fn mul(self, factor: u64) -> Self {
        Self(self.0.saturating_mul(factor))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

impl str::FromStr for Millis {
    type Err = error::Error;

    fn from_str(s: &str) -> error::Result<Self> {
        let digits = s.strip_suffix("ms").unwrap_or(s).trim();
        digits
            .parse()
            .map(Self)
            .map_err(|_| error::Error::bad_value("time", s, "use milliseconds such as `250`"))
    }
}

/// Reads the monotonic clock of this process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: time::Instant,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self {
            origin: time::Instant::now(),
        }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Millis {
        Millis(self.origin.elapsed().as_millis() as u64)
    }

    /// Converts a point in time for the timers of tokio.
    pub fn instant_at(&self, at: Millis) -> time::Instant {
        self.origin + at.as_duration()
    }
}

/// Returns the wall clock in milliseconds since 1970, for logs and events only.
pub fn wall_millis() -> u64 {
    time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .map_or(0, |t| t.as_millis() as u64)
}
