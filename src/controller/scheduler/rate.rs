//! Estimates of the speed of servers, from observed prefills, transfers and answers.

use crate::clock;
use crate::unit;

/// The weight of the earlier samples when a new one is observed.
const SAMPLE_DECAY: f64 = 0.9;

/// The weight of the prior against samples, in prompt tokens.
const PRIOR_TOKENS: f64 = 4_096.0;

/// The fewest computed prompt tokens of a sample; the time of shorter prefills is mostly that of
/// the network.
const MIN_SAMPLE_TOKENS: u64 = 128;

/// The batch size for which the prior has the time between tokens at full slots.
const PRIOR_FULL_BATCH: f64 = 20.0;

/// The weight of each of the two points of the prior against decayed samples.
const PRIOR_WEIGHT: f64 = 0.5;

/// The time without a sample after which a low estimate doubles. It doubles again after each
/// further such time, so that an unused server is tried again.
const RECOVERY_DOUBLING_TIME: clock::Millis = clock::Millis::new(10_000);

/// The weight of a transfer that was slower than expected, in the rate of the links at both ends.
const SLOW_TRANSFER_WEIGHT: f64 = 0.3;

/// The lowest estimate of a link's rate, as a fraction of the configured rate.
const MIN_LINK_FRACTION: f64 = 0.01;

/// The shortest transfer, at the configured rate, from which a link's rate is observed.
const MIN_SAMPLE_TRANSFER: clock::Millis = clock::Millis::new(5);

/// The estimated prefill rate of one server: decayed tokens over decayed time.
#[derive(Clone, Debug)]
pub struct PrefillRate {
    tokens: f64,
    millis: f64,
    prior: f64,
    observed_at: clock::Millis,
}

impl PrefillRate {
    /// Creates an estimate from a prior rate.
    pub fn new(prior: unit::TokensPerSecond) -> Self {
        let rate = prior.as_u64().max(1) as f64;
        Self {
            tokens: PRIOR_TOKENS,
            millis: PRIOR_TOKENS * 1000.0 / rate,
            prior: rate / 1000.0,
            observed_at: clock::Millis::ZERO,
        }
    }

    /// Observes that computing `tokens` took `time` and ended now.
    pub fn observe(&mut self, now: clock::Millis, tokens: unit::Tokens, time: clock::Millis) {
        self.observed_at = now;
        if tokens.as_u64() < MIN_SAMPLE_TOKENS || time == clock::Millis::ZERO {
            return;
        }
        self.tokens = self.tokens * SAMPLE_DECAY + tokens.as_u64() as f64;
        self.millis = self.millis * SAMPLE_DECAY + time.as_u64() as f64;
    }

    /// Returns the estimated rate in tokens per millisecond.
    pub fn per_milli(&self, now: clock::Millis) -> f64 {
        let observed = (self.tokens / self.millis).max(0.001);
        if observed >= self.prior {
            return observed;
        }
        (observed * recovery_factor(now, self.observed_at)).min(self.prior)
    }
}

/// The estimated rate of a server's link, as a fraction of the configured rate.
#[derive(Clone, Debug)]
pub struct LinkRate {
    fraction: f64,
    observed_at: clock::Millis,
    last_end: clock::Millis,
}

impl Default for LinkRate {
    fn default() -> Self {
        Self {
            fraction: 1.0,
            observed_at: clock::Millis::ZERO,
            last_end: clock::Millis::ZERO,
        }
    }
}

impl LinkRate {
    /// Observes a transfer that took from `began` to now, on a link with a configured rate.
    ///
    /// The link has at least the rate of the transfer, so a fast transfer raises the estimate to
    /// that rate. A slow one may be due to the link at the other end, so it lowers the estimate
    /// only in part.
    pub fn observe(
        &mut self,
        now: clock::Millis,
        began: clock::Millis,
        size: unit::Bytes,
        configured: unit::BytesPerSecond,
    ) {
        let exclusive_time = now - began.max(self.last_end);
        self.last_end = now;
        if configured.time_for(size) < MIN_SAMPLE_TRANSFER {
            return;
        }
        let fraction_over = |time: clock::Millis| {
            let millis = time.as_u64().max(1) as f64;
            size.as_u64() as f64 * 1000.0 / millis / configured.as_u64().max(1) as f64
        };
        let known = self.fraction(now);
        let upper_bound = fraction_over(exclusive_time).min(1.0);
        self.fraction = if upper_bound < known {
            known + (upper_bound - known) * SLOW_TRANSFER_WEIGHT
        } else {
            known.max(fraction_over(now - began)).min(1.0)
        };
        self.fraction = self.fraction.max(MIN_LINK_FRACTION);
        self.observed_at = now;
    }

    /// Returns the estimated rate as a fraction of the configured rate, at most 1.
    pub fn fraction(&self, now: clock::Millis) -> f64 {
        (self.fraction * recovery_factor(now, self.observed_at)).min(1.0)
    }
}

/// Returns the factor by which the estimate of an unused server has recovered.
fn recovery_factor(now: clock::Millis, observed_at: clock::Millis) -> f64 {
    let doublings = (now - observed_at).as_u64() / RECOVERY_DOUBLING_TIME.as_u64();
    2_f64.powi(doublings.min(20) as i32)
}

/// The estimated time between tokens of one decode server, as a line over the batch size.
#[derive(Clone, Debug)]
pub struct StepTime {
    prior: LeastSquares,
    observed: LeastSquares,
}

impl StepTime {
    /// Creates an estimate from the prior times with one request and with a full batch.
    pub fn new(base: clock::Millis, full: clock::Millis) -> Self {
        let mut prior = LeastSquares::default();
        prior.add(1.0, base.as_u64() as f64, PRIOR_WEIGHT);
        prior.add(PRIOR_FULL_BATCH, full.as_u64() as f64, PRIOR_WEIGHT);
        Self {
            prior,
            observed: LeastSquares::default(),
        }
    }

    /// Observes a mean time between tokens, in milliseconds, at a mean batch size.
    pub fn observe(&mut self, batch: f64, millis: f64) {
        self.observed.decay();
        self.observed.add(batch, millis, 1.0);
    }

    /// Returns the line that fits the prior and the samples.
    pub fn line(&self) -> Line {
        self.prior.plus(&self.observed).line()
    }
}

/// The time between tokens as a line over the batch size.
#[derive(Clone, Copy, Debug)]
pub struct Line {
    base: f64,
    slope: f64,
}

impl Line {
    /// Returns the time between tokens with `batch` requests, in milliseconds.
    pub fn at(self, batch: u32) -> f64 {
        (self.base + self.slope * f64::from(batch)).max(0.1)
    }
}

/// The sums of a weighted least-squares fit.
#[derive(Clone, Debug, Default)]
struct LeastSquares {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl LeastSquares {
    fn add(&mut self, x: f64, y: f64, weight: f64) {
        self.weight += weight;
        self.x += weight * x;
        self.y += weight * y;
        self.xx += weight * x * x;
        self.xy += weight * x * y;
    }

    fn decay(&mut self) {
        for sum in [
            &mut self.weight,
            &mut self.x,
            &mut self.y,
            &mut self.xx,
            &mut self.xy,
        ] {
            *sum *= SAMPLE_DECAY;
        }
    }

    fn plus(&self, other: &Self) -> Self {
        Self {
            weight: self.weight + other.weight,
            x: self.x + other.x,
            y: self.y + other.y,
            xx: self.xx + other.xx,
            xy: self.xy + other.xy,
        }
    }

    fn line(&self) -> Line {
        let spread = self.weight * self.xx - self.x * self.x;
        let slope = if spread > f64::EPSILON {
            (self.weight * self.xy - self.x * self.y) / spread
        } else {
            0.0
        };
        let slope = slope.max(0.0);
        Line {
            base: (self.y - slope * self.x) / self.weight,
            slope,
        }
    }
}
