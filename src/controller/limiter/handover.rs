//! The state of a bucket that one owner sends to the next.

use crate::clock;
use crate::controller::limiter::bucket;
use crate::controller::limiter::history;
use crate::controller::limiter::level;
use crate::id;
use crate::macros;

/// The maximum number of charges in a hand-over that can still be amended; older ones are folded
/// into the level.
pub const MAX_CHARGES: usize = 2_048;

macros::data! {
    /// The bucket of an account, as the previous owner hands it over.
    pub struct HandOver {
        pub account: id::ClientAccountId,
        /// The epoch in which the previous owner loses the account and the next one gains it.
        pub epoch: id::Epoch,
        /// The limit before the charges.
        pub limit: level::Limit,
        /// The level before the charges.
        pub level: level::Level,
        /// How long ago the bucket was in this state.
        pub age: clock::Millis,
        /// The charges since that state, with times relative to it.
        pub charges: Vec<history::Event>,
    }
}

impl HandOver {
    /// Captures the state of a bucket; `None` when the bucket has not begun to fill.
    pub fn new(
        now: clock::Millis,
        account: id::ClientAccountId,
        epoch: id::Epoch,
        mut history: history::History,
    ) -> Option<Self> {
        while history.len() > MAX_CHARGES {
            history.fold_first();
        }
        let base = history.base();
        let charges = history.events().map(|e| e.at_time(e.at - base.at));
        (base.at <= now).then(|| Self {
            account,
            epoch,
            limit: base.limit,
            level: base.level,
            age: now - base.at,
            charges: charges.collect(),
        })
    }

    /// Restores the bucket on the clock of the next owner.
    ///
    /// The bucket does not fill during the transmission, which is safe. Charges from before the
    /// start of the next owner's process are folded into the level, as its clock can't express
    /// their times.
    pub fn to_bucket(&self, now: clock::Millis) -> bucket::Bucket {
        let before_start = self.age - now;
        let base = history::Base {
            at: (now + before_start) - self.age,
            limit: self.limit,
            level: self.level.min(self.limit.full()),
        };
        let mut history = history::History::new(base);
        for charge in &self.charges {
            history.push(charge.at_time(base.at + charge.at));
        }
        history.fold_before(before_start);
        bucket::Bucket::from_history(now, history.shifted_back(before_start))
    }
}
