//! Levels of token buckets, and how time and charges change them.

use std::ops;

use crate::clock;
use crate::macros;
use crate::state::model;
use crate::unit;

macros::data! {copy
    /// The level of a bucket, or a change of it, in thousandths of a token; a debt is negative.
    ///
    /// A rate in tokens a second changes it by a whole number each millisecond, so there are no
    /// rounding errors.
    #[derive(Default)]
    #[serde(transparent)]
    pub struct Level(i128);
}

impl Level {
    /// The level of an empty bucket.
    pub const ZERO: Self = Self(0);

    pub const fn from_tokens(tokens: unit::Tokens) -> Self {
        Self(tokens.as_u64() as i128 * 1000)
    }

    pub const fn as_thousandths(self) -> i128 {
        self.0
    }

    /// Returns the whole tokens of the level; a debt counts as none.
    pub fn to_tokens(self) -> unit::Tokens {
        unit::Tokens::new(u64::try_from(self.0.max(0) / 1000).unwrap_or(u64::MAX))
    }
}

impl ops::Add for Level {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl ops::Sub for Level {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

macros::data! {copy
    pub struct Limit {
        pub rate: unit::TokensPerSecond,
        /// The most tokens that the bucket holds.
        pub burst: unit::Tokens,
    }
}

impl Limit {
    pub fn from_account(account: &model::ClientAccount) -> Self {
        Self {
            rate: account.rate,
            burst: account.burst,
        }
    }

    /// Returns the level of a full bucket.
    pub const fn full(self) -> Level {
        Level::from_tokens(self.burst)
    }

    /// Returns the tokens that are added to the bucket in the given time.
    pub fn refill(self, time: clock::Millis) -> Level {
        let rate = i128::from(self.rate.as_u64());
        Level(rate.saturating_mul(i128::from(time.as_u64())))
    }

    /// Returns the time until a deficit is refilled, rounded up; `None` if the rate is zero.
    pub fn refill_time(self, deficit: Level) -> Option<clock::Millis> {
        if deficit <= Level::ZERO {
            return Some(clock::Millis::ZERO);
        }
        let rate = u128::from(self.rate.as_u64());
        if rate == 0 {
            return None;
        }
        let millis = deficit.0.unsigned_abs().div_ceil(rate);
        Some(clock::Millis::new(
            u64::try_from(millis).unwrap_or(u64::MAX),
        ))
    }
}

macros::data! {copy
    /// The effect of a part of a bucket's history on its level: `x` becomes `min(x + add, cap)`.
    ///
    /// Any sequence of charges and refills has this form, whatever the limits, and so has the
    /// composition of two.
    pub struct Transform {
        add: Level,
        cap: Level,
    }
}

impl Transform {
    /// The transform that leaves every level unchanged.
    pub const IDENTITY: Self = Self {
        add: Level::ZERO,
        cap: Level(i128::MAX),
    };

    /// Makes the transform of refilling a bucket for the given time.
    pub fn fill(limit: Limit, time: clock::Millis) -> Self {
        Self {
            add: limit.refill(time),
            cap: limit.full(),
        }
    }

    pub fn charge(tokens: unit::Tokens) -> Self {
        Self {
            add: Level::ZERO - Level::from_tokens(tokens),
            cap: Self::IDENTITY.cap,
        }
    }

    /// Composes this transform with the one that follows it.
    #[must_use]
    pub fn then(self, next: Self) -> Self {
        let through = if self.cap == Self::IDENTITY.cap {
            Self::IDENTITY.cap
        } else {
            self.cap + next.add
        };
        Self {
            add: self.add + next.add,
            cap: through.min(next.cap),
        }
    }

    pub fn apply(self, level: Level) -> Level {
        (level + self.add).min(self.cap)
    }
}
