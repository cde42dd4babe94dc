//! Times in milliseconds, and the monotonic clock of the process.

use std::fmt;
use std::ops;
use std::str;
use std::time;

use crate::error;
use crate::macros;

macros::data! {copy
    /// A duration, or a point in time since the start of the process, in milliseconds.
    ///
    /// Points in time have no meaning in another process; messages carry durations only.
    /// Addition, subtraction and multiplication saturate.
    #[derive(Default)]
    #[serde(transparent)]
    pub struct Millis(u64);
}

impl Millis {
    /// The start of the process, or a duration of zero.
    pub const ZERO: Self = Self(0);
    /// The largest time, which stands for "never".
    pub const MAX: Self = Self(u64::MAX);

    pub const fn new(ms: u64) -> Self {
        Self(ms)
    }

    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1000)
    }

    pub const fn as_u64(self) -> u64 {
        self.0
    }

    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1000.0
    }

    /// Converts a duration to the type that tokio's timers take.
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

    /// Subtracts; the result is zero when `other` is larger.
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

/// The clock of this process. It is monotonic and counts the time for which the machine was
/// suspended, so that nothing that has expired meanwhile is taken for valid.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Time from the start of the machine to that of the clock.
    origin: time::Duration,
}

impl Clock {
    /// Makes a clock that reads zero now.
    ///
    /// # Panics
    ///
    /// Panics on a system without `CLOCK_BOOTTIME`.
    pub fn start() -> Self {
        Self {
            origin: since_boot(),
        }
    }

    /// Returns the time since the clock was started.
    pub fn now(&self) -> Millis {
        Millis(since_boot().saturating_sub(self.origin).as_millis() as u64)
    }

    /// Converts a point in time to the type that tokio's timers take, which do not count the time
    /// for which the machine is suspended.
    pub fn instant_at(&self, at: Millis) -> time::Instant {
        time::Instant::now() + (at - self.now()).as_duration()
    }
}

/// Returns the time since the machine was started, including that for which it was suspended.
fn since_boot() -> time::Duration {
    let since_boot = nix::time::ClockId::CLOCK_BOOTTIME.now();
    since_boot.map_or_else(
        |e| panic!("the system has no CLOCK_BOOTTIME ({e}): use Linux 2.6.39 or later"),
        time::Duration::from,
    )
}

/// Returns the wall-clock time in milliseconds since 1970; 0 if it is before 1970.
///
/// Use it for logs and events only: the wall clock may be set back. Use [`Clock`] for timeouts.
pub fn wall_millis() -> u64 {
    time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .map_or(0, |t| t.as_millis() as u64)
}
