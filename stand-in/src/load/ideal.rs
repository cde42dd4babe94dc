//! An ideal limiter: one exact token bucket for each account, on the same arrivals.

use buckthorncleat::clock;
use buckthorncleat::unit;

use crate::load::arrival;
use crate::load::plan;

/// A token bucket without rounding, full at the start.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    rate: unit::TokensPerSecond,
    burst: unit::Tokens,
    /// In thousandths of a token.
    level: u128,
    at: clock::Millis,
}

impl Bucket {
    /// Makes a full bucket.
    pub fn new(rate: unit::TokensPerSecond, burst: unit::Tokens) -> Self {
        Self {
            rate,
            burst,
            level: thousandths(burst),
            at: clock::Millis::ZERO,
        }
    }

    /// Takes tokens if all of them are there.
    pub fn take(&mut self, now: clock::Millis, tokens: unit::Tokens) -> bool {
        let passed = u128::from((now - self.at).as_u64());
        let refill = u128::from(self.rate.as_u64()) * passed;
        self.level = (self.level + refill).min(thousandths(self.burst));
        self.at = now;
        let charge = thousandths(tokens);
        let fits = charge <= self.level;
        if fits {
            self.level -= charge;
        }
        fits
    }
}

fn thousandths(tokens: unit::Tokens) -> u128 {
    u128::from(tokens.as_u64()) * 1000
}

/// Tells for each call whether ideal buckets admit it; the calls are in order of time.
///
/// Prompt and whole answer are charged when the call is made. Callers ask for no more tokens than
/// the answer has, so nothing is returned later.
pub fn admitted(plan: &plan::Plan, arrivals: &[arrival::Arrival]) -> Vec<bool> {
    let buckets = plan.accounts.iter().map(|a| Bucket::new(a.rate, a.burst));
    let mut buckets: Vec<Bucket> = buckets.collect();
    let admit = |arrival: &arrival::Arrival| {
        let charge = arrival.charge(&plan.traffic);
        buckets[arrival.account].take(arrival.at, charge)
    };
    arrivals.iter().map(admit).collect()
}
