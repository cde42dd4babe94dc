//! The limiter owner: the one place that counts the tokens of its accounts.

use crate::clock;
use crate::controller::limiter::bucket;
use crate::controller::limiter::level;
use crate::controller::limiter::message;
use crate::id;
use crate::sorted;
use crate::state::model;

/// The buckets of the client accounts that this instance owns.
///
/// Every request is charged here, so nothing is granted ahead of demand and the buckets are exact.
#[derive(Clone, Debug)]
pub struct Owner {
    now: clock::Millis,
    limits: sorted::Map<id::ClientAccountId, level::Limit>,
    buckets: sorted::Map<id::ClientAccountId, bucket::Bucket>,
}

impl Owner {
    /// Makes an owner of no account.
    pub fn new(now: clock::Millis) -> Self {
        Self {
            now,
            limits: sorted::Map::new(),
            buckets: sorted::Map::new(),
        }
    }

    /// Puts the rates and bursts of a configuration in force at once.
    ///
    /// Buckets of removed accounts are dropped; an account created anew must be started again.
    pub fn configure(
        &mut self,
        now: clock::Millis,
        accounts: &sorted::Map<id::ClientAccountId, model::ClientAccount>,
    ) {
        self.now = self.now.max(now);
        self.limits = accounts
            .iter()
            .map(|(id, account)| (id.clone(), level::Limit::from_account(account)))
            .collect();
        let limits = &self.limits;
        self.buckets.retain(|id, _| limits.contains(id));
        for (id, limit) in self.limits.iter() {
            if let Some(bucket) = self.buckets.get_mut(id) {
                bucket.set_limit(self.now, *limit);
            }
        }
    }

    /// Starts an account that this instance newly owns, with an empty bucket that begins to fill
    /// [`bucket::MAX_DELAY`] from now.
    ///
    /// That is safe without a hand-over: the owner before has stopped, and what it promised ahead
    /// starts before the bucket begins to fill. An account that is not configured is ignored.
    pub fn start_account(&mut self, now: clock::Millis, id: &id::ClientAccountId) {
        self.now = self.now.max(now);
        if let Some(limit) = self.limits.get(id) {
            let bucket = bucket::Bucket::after_unknown_owner(self.now, *limit);
            self.buckets.insert(id.clone(), bucket);
        }
    }

    /// Drops an account that this instance no longer owns.
    pub fn drop_account(&mut self, id: &id::ClientAccountId) {
        self.buckets.remove(id);
    }

    /// Tells whether an account was started and not dropped.
    pub fn has_account(&self, id: &id::ClientAccountId) -> bool {
        self.buckets.contains(id)
    }

    /// Returns the level of an account that was started.
    pub fn level(&self, now: clock::Millis, id: &id::ClientAccountId) -> Option<level::Level> {
        Some(self.buckets.get(id)?.level(now.max(self.now)))
    }

    /// Charges or refunds.
    pub fn handle(&mut self, now: clock::Millis, req: &message::Request) -> message::Reply {
        self.now = self.now.max(now);
        let now = self.now;
        let Some(bucket) = self.buckets.get_mut(req.account()) else {
            return message::Reply::UnknownAccount;
        };
        match req {
            message::Request::Charge(charge) => bucket.charge(now, charge),
            message::Request::Refund(refund) => bucket.refund(now, refund),
        }
    }
}
