//! Ideal limiter for comparison: one exact token bucket per account, given the same arrivals.

use buckthorncleat::clock;
use buckthorncleat::unit;

use crate::load::arrival;
use crate::load::plan;
use crate::load::record;

/// Token bucket without rounding, full at the start.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    rate: unit::TokensPerSecond,
    burst: unit::Tokens,
    /// In thousandths of a token. Negative when the gateways admitted more than this bucket would.
    level: i128,
    at: clock::Millis,
}

impl Bucket {
    pub fn new(rate: unit::TokensPerSecond, burst: unit::Tokens) -> Self {
        Self {
            rate,
            burst,
            level: to_millitokens(burst),
            at: clock::Millis::ZERO,
        }
    }

    /// Takes the tokens if the bucket has all of them. Returns whether it did.
    pub fn take(&mut self, now: clock::Millis, tokens: unit::Tokens) -> bool {
        let fits = self.fits(now, tokens);
        if fits {
            self.take_unchecked(tokens);
        }
        fits
    }

    /// Refills the bucket up to `now` and returns whether it has the tokens.
    pub fn fits(&mut self, now: clock::Millis, tokens: unit::Tokens) -> bool {
        let passed = i128::from((now - self.at).as_u64());
        let refill = i128::from(self.rate.as_u64()) * passed;
        self.level = (self.level + refill).min(to_millitokens(self.burst));
        self.at = now;
        to_millitokens(tokens) <= self.level
    }

    /// Returns tokens to the bucket. The next refill limits the level to the burst.
    pub fn refund(&mut self, tokens: unit::Tokens) {
        self.level += to_millitokens(tokens);
    }

    /// Takes the tokens even if the level becomes negative.
    pub fn take_unchecked(&mut self, tokens: unit::Tokens) {
        self.level -= to_millitokens(tokens);
    }
}

fn to_millitokens(tokens: unit::Tokens) -> i128 {
    i128::from(tokens.as_u64()) * 1000
}

/// Returns for each call whether it was within its account's limit, given the calls admitted.
///
/// A call that was not refused for the limit counts as within it. A call that was refused for the
/// limit is within it if an exact bucket still has its tokens after all calls admitted before it.
/// The tokens of calls refused for other reasons are refunded when they end.
pub fn within(
    plan: &plan::Plan,
    arrivals: &[arrival::Arrival],
    records: &[record::Record],
) -> Vec<bool> {
    let mut buckets = buckets(plan);
    let mut refunds: Vec<Refund> = Vec::new();
    let is_within = |(arrival, record): (&arrival::Arrival, &record::Record)| {
        for refund in refunds.extract_if(.., |refund| refund.at <= arrival.at) {
            buckets[refund.account].refund(refund.tokens);
        }
        let bucket = &mut buckets[arrival.account];
        let charge = arrival.charge(&plan.traffic);
        let fits = bucket.fits(arrival.at, charge);
        if record.is_limited() {
            return fits;
        }
        bucket.take_unchecked(charge);
        if record.is_refused() {
            refunds.push(Refund {
                at: record.ended,
                account: arrival.account,
                tokens: charge,
            });
        }
        true
    };
    arrivals.iter().zip(records).map(is_within).collect()
}

struct Refund {
    at: clock::Millis,
    account: usize,
    tokens: unit::Tokens,
}

fn buckets(plan: &plan::Plan) -> Vec<Bucket> {
    let buckets = plan.accounts.iter().map(|a| Bucket::new(a.rate, a.burst));
    buckets.collect()
}

/// Returns for each call whether ideal buckets admit it. The calls must be in order of time.
///
/// The prompt and the whole answer are charged when the call is made. Callers ask for no more
/// tokens than the answer has, so nothing is refunded later.
pub fn admitted(plan: &plan::Plan, arrivals: &[arrival::Arrival]) -> Vec<bool> {
    let mut buckets = buckets(plan);
    let admit = |arrival: &arrival::Arrival| {
        let charge = arrival.charge(&plan.traffic);
        buckets[arrival.account].take(arrival.at, charge)
    };
    arrivals.iter().map(admit).collect()
}
