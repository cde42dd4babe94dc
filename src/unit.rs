//! Sizes and rates.

use std::iter;
use std::ops;

use crate::clock;
use crate::macros;

macros::number! {
    /// A number of model tokens.
    Tokens
}
macros::number! {
    /// A rate of model tokens a second.
    TokensPerSecond
}
macros::number! {
    /// A number of bytes.
    Bytes
}
macros::number! {
    /// A rate of bytes a second.
    BytesPerSecond
}
macros::number! {
    /// Engine memory in pieces of [`PIECE_TOKENS`] tokens.
    Pieces
}

/// The tokens of KV cache that one piece of engine memory holds.
pub const PIECE_TOKENS: u64 = 4096;

/// The bytes of prompt text that count as one token when a request is admitted.
pub const BYTES_PER_TOKEN: u64 = 4;

impl Tokens {
    /// Estimates the tokens of a text from its length in bytes.
    pub const fn from_text_bytes(len: usize) -> Self {
        Self::new((len as u64).div_ceil(BYTES_PER_TOKEN))
    }

    /// Returns the engine memory that this many tokens take.
    pub const fn to_pieces(self) -> Pieces {
        Pieces::new(self.as_u64().div_ceil(PIECE_TOKENS))
    }

    /// Subtracts and stops at zero.
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
    /// Returns the tokens that flow in a length of time, rounded down.
    pub const fn over(self, time: clock::Millis) -> Tokens {
        let product = self.as_u64() as u128 * time.as_u64() as u128 / 1000;
        Tokens::new(product as u64)
    }
}

impl BytesPerSecond {
    /// Returns the time that a transfer of `size` takes, rounded up.
    pub const fn time_for(self, size: Bytes) -> clock::Millis {
        let rate = if self.as_u64() == 0 { 1 } else { self.as_u64() };
        clock::Millis::new((size.as_u64() as u128 * 1000).div_ceil(rate as u128) as u64)
    }
}
