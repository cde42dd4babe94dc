//! The times of day of a sheet.

use std::fmt;
use std::str;

use crate::error;
use crate::macros;

macros::data! {copy
    /// A time of day, in minutes since midnight; read and written as `HH:MM`.
    pub struct TimeOfDay(u16);
}

impl TimeOfDay {
    pub const MIDNIGHT: Self = Self(0);
}

impl fmt::Display for TimeOfDay {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:02}:{:02}", self.0 / 60, self.0 % 60)
    }
}

impl str::FromStr for TimeOfDay {
    type Err = error::Error;

    fn from_str(s: &str) -> error::Result<Self> {
        parse(s).map(Self).ok_or_else(|| {
            let remedy = "use HH:MM from 00:00 to 23:59, or leave it empty";
            error::Error::bad_value("time of day", s, remedy)
        })
    }
}

fn parse(s: &str) -> Option<u16> {
    let (hours, minutes) = s.split_once(':')?;
    let two_digits = |part: &str| part.len() == 2 && part.bytes().all(|b| b.is_ascii_digit());
    if !two_digits(hours) || !two_digits(minutes) {
        return None;
    }
    let hours: u16 = hours.parse().ok()?;
    let minutes: u16 = minutes.parse().ok()?;
    (hours < 24 && minutes < 60).then_some(hours * 60 + minutes)
}
