//! Types for sizes and rates.

use std::fmt;
use std::iter;
use std::ops;
use std::str;

use crate::clock;
use crate::error;
use crate::macros;

macros::number! {
    /// A number of model tokens.
    Tokens
}
macros::number! {
    /// A rate in model tokens per second.
    TokensPerSecond
}
macros::number! {
    /// A rate in requests per second.
    RequestsPerSecond
}
macros::number! {
    /// A number of bytes.
    Bytes
}
macros::number! {
    /// A rate in bytes per second.
    BytesPerSecond
}
macros::number! {
    /// An amount of engine memory, in pieces that each hold the KV cache of [`PIECE_TOKENS`]
    /// tokens.
    Pieces
}

macros::data! {copy
    /// A rate in calls per second, kept in thousandths of a call.
    #[derive(Default)]
    #[serde(transparent)]
    pub struct CallRate(u64);
}

/// The number of tokens whose KV cache fits in one piece of engine memory.
pub const PIECE_TOKENS: u64 = 4096;

/// The bytes of prompt text that are counted as one token to estimate the size of a prompt when a
/// request is admitted.
pub const BYTES_PER_TOKEN: u64 = 4;

impl Tokens {
    /// Estimates the tokens of a text from its length in bytes, rounded up.
    pub const fn from_text_bytes(len: usize) -> Self {
        Self::new((len as u64).div_ceil(BYTES_PER_TOKEN))
    }

    /// Returns the engine memory that the KV cache of this many tokens takes, rounded up.
    pub const fn to_pieces(self) -> Pieces {
        Pieces::new(self.as_u64().div_ceil(PIECE_TOKENS))
    }

    /// Subtracts; the result is zero when `other` is larger.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self::new(self.as_u64().saturating_sub(other.as_u64()))
    }
}

impl ops::Add for Tokens {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self::new(self.as_u64().saturating_add(other.as_u64()))
    }
}

impl iter::Sum for Tokens {
    fn sum<I: Iterator<Item = Self>>(values: I) -> Self {
        values.fold(Self::new(0), ops::Add::add)
    }
}

impl TokensPerSecond {
    /// Returns the tokens that this rate gives in a duration, rounded down.
    pub const fn over(self, time: clock::Millis) -> Tokens {
        let product = self.as_u64() as u128 * time.as_u64() as u128 / 1000;
        Tokens::new(product as u64)
    }
}

impl BytesPerSecond {
    /// Returns the time to transfer `size` at this rate, rounded up; a rate of 0 counts as 1.
    pub const fn time_for(self, size: Bytes) -> clock::Millis {
        let rate = if self.as_u64() == 0 { 1 } else { self.as_u64() };
        clock::Millis::new((size.as_u64() as u128 * 1000).div_ceil(rate as u128) as u64)
    }
}

impl CallRate {
    /// Makes a rate from thousandths of a call per second.
    pub const fn from_millicalls(rate: u64) -> Self {
        Self(rate)
    }

    /// Returns the thousandths of a call per second.
    pub const fn as_millicalls(self) -> u64 {
        self.0
    }
}

impl fmt::Display for CallRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} calls/s", self.0 as f64 / 1000.0)
    }
}

impl str::FromStr for CallRate {
    type Err = error::Error;

    /// Parses a decimal number of calls per second; a number above what the type holds becomes its
    /// largest value.
    fn from_str(s: &str) -> error::Result<Self> {
        let parsed: Option<f64> = s.strip_suffix("calls/s").unwrap_or(s).trim().parse().ok();
        let valid = parsed.filter(|rate| *rate >= 0.0);
        let rate = valid.ok_or_else(|| {
            error::Error::bad_value("call rate", s, "use calls per second such as `4.1`")
        })?;
        Ok(Self((rate * 1000.0) as u64))
    }
}
