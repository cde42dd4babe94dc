//! A bucket on its way from one owner to the next.

use crate::clock;
use crate::controller::limiter::bucket;
use crate::controller::limiter::history;
use crate::controller::limiter::level;
use crate::id;
use crate::macros;

/// The most charges that are passed on open to amendment; older ones are closed.
pub const MAX_CHARGES: usize = 2_048;

macros::data! {
    /// The bucket of an account as the owner before passes it on.
    pub struct HandOver {
        /// The account.
        pub account: id::ClientAccountId,
        /// The epoch in which the owner before gave the account up and the next one gains it.
        pub epoch: id::Epoch,
        /// The limit before the charges.
        pub limit: level::Limit,
        /// The level before the charges.
        pub level: level::Level,
        /// How long ago the bucket was in this state.
        pub age: clock::Millis,
        /// The charges since, with the lengths of time after that state.
        pub charges: Vec<history::Event>,
    }
}

impl HandOver {
    /// Takes the state of a bucket, or returns `None` when the bucket has not begun to fill.
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

    /// Makes the bucket anew on the clock of the next owner.
    ///
    /// Time on the way counts as if the bucket had not filled, which is safe. A process that is
    /// younger than the charges closes those from before its start.
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
        history.close_before(before_start);
        bucket::Bucket::from_history(now, history.earlier_by(before_start))
    }
}
