//! The limiter owner: the one instance that keeps the token buckets of its accounts.

use crate::clock;
use crate::controller::limiter::bucket;
use crate::controller::limiter::handover;
use crate::controller::limiter::level;
use crate::controller::limiter::message;
use crate::id;
use crate::sorted;
use crate::state::model;

/// The buckets of the client accounts that this instance owns.
///
/// Every request is charged at the owner, with no tokens handed out to gateways in advance, so the
/// buckets are exact.
#[derive(Clone, Debug)]
pub struct Owner {
    now: clock::Millis,
    limits: sorted::Map<id::ClientAccountId, level::Limit>,
    buckets: sorted::Map<id::ClientAccountId, bucket::Bucket>,
    /// Buckets that previous owners handed over, until their accounts are started.
    received: sorted::Map<id::ClientAccountId, Received>,
}

#[derive(Clone, Debug)]
struct Received {
    epoch: id::Epoch,
    bucket: bucket::Bucket,
}

impl Owner {
    /// Makes an owner without accounts.
    pub fn new(now: clock::Millis) -> Self {
        Self {
            now,
            limits: sorted::Map::new(),
            buckets: sorted::Map::new(),
            received: sorted::Map::new(),
        }
    }

    /// Applies the rates and bursts of a configuration at once.
    ///
    /// Buckets of removed accounts are dropped; an account that is created again must be started
    /// again.
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
        self.received.retain(|id, _| limits.contains(id));
        for (id, limit) in self.limits.iter() {
            if let Some(bucket) = self.buckets.get_mut(id) {
                bucket.set_limit(self.now, *limit);
            }
        }
    }

    /// Starts an account that this instance newly owns, with an empty bucket that begins to fill
    /// after [`bucket::MAX_DELAY`].
    ///
    /// This is safe without a hand-over: the previous owner has stopped, and all requests that it
    /// granted start before the bucket begins to fill. An account that is not configured is
    /// ignored.
    pub fn start_account(&mut self, now: clock::Millis, id: &id::ClientAccountId) {
        self.now = self.now.max(now);
        if let Some(limit) = self.limits.get(id) {
            let bucket = bucket::Bucket::after_unknown_owner(self.now, *limit);
            self.buckets.insert(id.clone(), bucket);
        }
    }

    /// Starts an account that this instance owns since an epoch, with the bucket that the previous
    /// owner handed over for that epoch, or like [`Self::start_account`] if there is none.
    pub fn start_account_since(
        &mut self,
        now: clock::Millis,
        id: &id::ClientAccountId,
        since: id::Epoch,
    ) {
        self.start_account(now, id);
        let received = self.received.remove(id).filter(|r| r.epoch == since);
        let limit = self.limits.get(id);
        if let (Some(mut received), Some(limit)) = (received, limit) {
            received.bucket.set_limit(self.now, *limit);
            self.buckets.insert(id.clone(), received.bucket);
        }
    }

    /// Stops an account and returns its bucket, for the owner that gains the account in `epoch`.
    ///
    /// Returns `None` when the account was not started or its bucket has not begun to fill.
    ///
    /// Only for a role that
    /// [`take_hand_overs`](crate::controller::ownership::Ownership::take_hand_overs) names with
    /// that epoch; for any other, drop the account.
    pub fn hand_over(
        &mut self,
        now: clock::Millis,
        id: &id::ClientAccountId,
        epoch: id::Epoch,
    ) -> Option<handover::HandOver> {
        self.now = self.now.max(now);
        let history = self.buckets.remove(id)?.into_history();
        handover::HandOver::new(self.now, id.clone(), epoch, history)
    }

    /// Stores a bucket that the previous owner handed over, until the account is started.
    ///
    /// A bucket that arrives after the account was started is not used.
    pub fn receive(&mut self, now: clock::Millis, hand_over: &handover::HandOver) {
        self.now = self.now.max(now);
        let is_newer = |r: &Received| r.epoch < hand_over.epoch;
        let wanted = self.received.get(&hand_over.account).is_none_or(is_newer);
        if wanted && self.limits.contains(&hand_over.account) {
            let received = Received {
                epoch: hand_over.epoch,
                bucket: hand_over.to_bucket(self.now),
            };
            self.received.insert(hand_over.account.clone(), received);
        }
    }

    /// Drops an account that this instance no longer owns.
    pub fn drop_account(&mut self, id: &id::ClientAccountId) {
        self.buckets.remove(id);
    }

    /// Returns whether an account was started, and neither dropped nor handed over since.
    pub fn has_account(&self, id: &id::ClientAccountId) -> bool {
        self.buckets.contains(id)
    }

    /// Returns the level of an account; `None` when it was not started.
    pub fn level(&self, now: clock::Millis, id: &id::ClientAccountId) -> Option<level::Level> {
        Some(self.buckets.get(id)?.level(now.max(self.now)))
    }

    /// Charges or refunds a request.
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
