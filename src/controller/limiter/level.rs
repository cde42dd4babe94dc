//! Levels of token buckets, and how time and charges move them.

use std::ops;

use crate::clock;
use crate::macros;
use crate::state::model;
use crate::unit;

macros::data! {copy
    /// A level of a bucket, or a change of it, in thousandths of a token; below zero it is a debt.
    ///
    /// A rate in tokens a second moves it by a whole number each millisecond, so nothing drifts.
    #[derive(Default)]
    #[serde(transparent)]
    pub struct Level(i128);
}

impl Level {
    /// The level of an empty bucket.
    pub const ZERO: Self = Self(0);

    /// Converts whole tokens.
    pub const fn from_tokens(tokens: unit::Tokens) -> Self {
        Self(tokens.as_u64() as i128 * 1000)
    }

    /// Returns the level in thousandths of a token.
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
    /// The rate and the burst of a bucket.
    pub struct Limit {
        /// The tokens that flow in a second.
        pub rate: unit::TokensPerSecond,
        /// The most tokens that the bucket holds.
        pub burst: unit::Tokens,
    }
}

impl Limit {
    /// Returns the limit of a client account.
    pub fn from_account(account: &model::ClientAccount) -> Self {
        Self {
            rate: account.rate,
            burst: account.burst,
        }
    }

    /// Returns the highest level.
    pub const fn full(self) -> Level {
        Level::from_tokens(self.burst)
    }

    /// Returns what flows into the bucket in a length of time.
    pub fn flow_in(self, time: clock::Millis) -> Level {
        let rate = i128::from(self.rate.as_u64());
        Level(rate.saturating_mul(i128::from(time.as_u64())))
    }

    /// Returns the time until a shortage has flowed in, rounded up, or `None` at rate zero.
    pub fn time_for(self, shortage: Level) -> Option<clock::Millis> {
        if shortage <= Level::ZERO {
            return Some(clock::Millis::ZERO);
        }
        let rate = u128::from(self.rate.as_u64());
        if rate == 0 {
            return None;
        }
        let millis = shortage.0.unsigned_abs().div_ceil(rate);
        Some(clock::Millis::new(
            u64::try_from(millis).unwrap_or(u64::MAX),
        ))
    }
}

macros::data! {copy
    /// How a stretch of a bucket's history moves its level: `x` becomes `min(x + add, cap)`.
    ///
    /// Any stretch has this form, whatever its charges and limits, and two stretches in a row
    /// make one of the same form.
    pub struct Flow {
        add: Level,
        cap: Level,
    }
}

impl Flow {
    /// The empty stretch.
    pub const NONE: Self = Self {
        add: Level::ZERO,
        cap: Level(i128::MAX),
    };

    /// Lets tokens flow in for a length of time.
    pub fn fill(limit: Limit, time: clock::Millis) -> Self {
        Self {
            add: limit.flow_in(time),
            cap: limit.full(),
        }
    }

    /// Takes a charge.
    pub fn charge(tokens: unit::Tokens) -> Self {
        Self {
            add: Level::ZERO - Level::from_tokens(tokens),
            cap: Self::NONE.cap,
        }
    }

    /// Joins this stretch and the one that follows it.
    #[must_use]
    pub fn then(self, next: Self) -> Self {
        let through = if self.cap == Self::NONE.cap {
            Self::NONE.cap
        } else {
            self.cap + next.add
        };
        Self {
            add: self.add + next.add,
            cap: through.min(next.cap),
        }
    }

    /// Moves a level through the stretch.
    pub fn apply(self, level: Level) -> Level {
        (level + self.add).min(self.cap)
    }
}
