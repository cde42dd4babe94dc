//! The baseline without owners: each gateway limits on its own, with an equal share of each limit.

use crate::clock;
use crate::controller::limiter::bucket;
use crate::controller::limiter::level;
use crate::controller::limiter::message;
use crate::id;
use crate::sorted;
use crate::state::model;
use crate::unit;

/// The buckets of one gateway, with rate and burst divided by the number of members.
#[derive(Clone, Debug)]
pub struct StaticShare {
    now: clock::Millis,
    buckets: sorted::Map<id::ClientAccountId, bucket::Bucket>,
}

impl StaticShare {
    /// Makes a limiter without accounts.
    pub fn new(now: clock::Millis) -> Self {
        Self {
            now,
            buckets: sorted::Map::new(),
        }
    }

    /// Applies a configuration, with this gateway as one of `members`.
    ///
    /// The bucket of an account that is new at this gateway starts empty.
    pub fn configure(
        &mut self,
        now: clock::Millis,
        accounts: &sorted::Map<id::ClientAccountId, model::ClientAccount>,
        members: usize,
    ) {
        self.now = self.now.max(now);
        let now = self.now;
        self.buckets.retain(|id, _| accounts.contains(id));
        for (id, account) in accounts.iter() {
            let limit = share_of(level::Limit::from_account(account), members);
            self.buckets
                .get_or_insert_with(id.clone(), || {
                    bucket::Bucket::new(now, limit, level::Level::ZERO)
                })
                .set_limit(now, limit);
        }
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

fn share_of(limit: level::Limit, members: usize) -> level::Limit {
    let members = members.max(1) as u64;
    level::Limit {
        rate: unit::TokensPerSecond::new(limit.rate.as_u64() / members),
        burst: unit::Tokens::new(limit.burst.as_u64() / members),
    }
}
