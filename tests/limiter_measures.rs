//! Measures the limiter; see `docs/LIMITS.md`.
//!
//! `cargo test --release --test limiter_measures -- --ignored --nocapture --test-threads=1`

use std::time;

use buckthorncleat::clock;
use buckthorncleat::controller::limiter;
use buckthorncleat::controller::limiter::bucket;
use buckthorncleat::controller::limiter::level;
use buckthorncleat::id;
use buckthorncleat::unit;

const PAIRS: u128 = 20_000;

fn charge(request: u128, tokens: u64, max_wait: u64) -> limiter::Charge {
    limiter::Charge {
        request: id::RequestId::new(
            request.wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835),
        ),
        account: "acme".parse().unwrap(),
        tokens: unit::Tokens::new(tokens),
        max_wait: clock::Millis::new(max_wait),
    }
}

/// Prints the time of a charge and the refund of an older one, for several lengths of the history.
#[test]
#[ignore = "prints figures"]
fn time_per_charge_and_refund() {
    let limit = level::Limit {
        rate: unit::TokensPerSecond::new(1_000_000),
        burst: unit::Tokens::new(1_000_000_000),
    };
    for length in [1, 100, 1_000, 10_000, 16_000] {
        let mut bucket = bucket::Bucket::new(clock::Millis::ZERO, limit, limit.full());
        for i in 0..length {
            bucket.charge(clock::Millis::ZERO, &charge(i, 100, 0));
        }
        let start = time::Instant::now();
        for i in length..length + PAIRS {
            let now = clock::Millis::new(((i - length) * 120_000 / length) as u64);
            bucket.charge(now, &charge(i, 100, 0));
            let old = charge(i - length / 2, 100, 0);
            bucket.refund(
                now,
                &limiter::Refund {
                    request: old.request,
                    account: old.account,
                    used: unit::Tokens::new(50),
                },
            );
        }
        let nanos = start.elapsed().as_nanos() / PAIRS;
        println!(
            "history {:>6}: {nanos} ns for a charge and a refund",
            bucket.history_len()
        );
    }
}

const RATE: u64 = 2_000;
const BURST: u64 = 20_000;
const MAX_TOKENS: u64 = 4_000;
const MINUTES: u64 = 240;
const GATEWAYS: u64 = 6;
const OWNER_CHANGE_INTERVAL_MS: u64 = 60_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    /// One bucket whose owner never changes.
    Ideal,
    /// An owner is lost each minute; the next starts empty after the lease.
    LostOwner,
    /// The owner changes each minute by a planned hand-over; the next starts empty.
    PlannedFromZero,
    /// As `PlannedFromZero`, but the level and the charges are handed over.
    PlannedWithLevel,
    /// Each gateway has an equal share.
    StaticShare,
}

impl Policy {
    /// Returns how long no owner answers during a change, in milliseconds.
    fn outage(self) -> u64 {
        match self {
            Self::Ideal | Self::StaticShare => 0,
            Self::LostOwner => 2_800,
            Self::PlannedFromZero | Self::PlannedWithLevel => 100,
        }
    }
}

struct Arrival {
    at: u64,
    tokens: u64,
    used: u64,
    ends: u64,
    gateway: u64,
}

fn arrivals(load: f64, seed: u64) -> Vec<Arrival> {
    use rand::Rng as _;
    use rand::SeedableRng as _;
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let mean_gap = (MAX_TOKENS / 2) as f64 * 0.6 / (RATE as f64 * load) * 1000.0;
    let mut at = 0.0;
    let mut list = Vec::new();
    while at < (MINUTES * 60_000) as f64 {
        let uniform: f64 = rng.random_range(1e-9..1.0);
        at -= uniform.ln() * mean_gap;
        let tokens = rng.random_range(1..MAX_TOKENS);
        list.push(Arrival {
            at: at as u64,
            tokens,
            used: tokens * rng.random_range(200..1_000) / 1_000,
            ends: rng.random_range(2_000..30_000),
            gateway: rng.random_range(0..GATEWAYS),
        });
    }
    list
}

fn full_buckets(policy: Policy) -> Vec<bucket::Bucket> {
    let count = if policy == Policy::StaticShare {
        GATEWAYS
    } else {
        1
    };
    let limit = level::Limit {
        rate: unit::TokensPerSecond::new(RATE / count),
        burst: unit::Tokens::new(BURST / count),
    };
    (0..count)
        .map(|_| bucket::Bucket::new(clock::Millis::ZERO, limit, limit.full()))
        .collect()
}

/// Returns for each arrival whether it was admitted.
fn run(policy: Policy, list: &[Arrival], max_wait: u64) -> Vec<bool> {
    let mut buckets = full_buckets(policy);
    let mut ends: Vec<(u64, usize)> = Vec::new();
    let mut admitted = vec![false; list.len()];
    let mut changes = 0;
    for (i, a) in list.iter().enumerate() {
        let owner_wait = if policy.outage() == 0 || a.at < OWNER_CHANGE_INTERVAL_MS {
            0
        } else {
            policy
                .outage()
                .saturating_sub(a.at % OWNER_CHANGE_INTERVAL_MS)
        };
        let now = clock::Millis::new(a.at + owner_wait);
        if policy.outage() > 0
            && a.at / OWNER_CHANGE_INTERVAL_MS > changes
            && owner_wait <= max_wait
        {
            changes = a.at / OWNER_CHANGE_INTERVAL_MS;
            let begun = clock::Millis::new(changes * OWNER_CHANGE_INTERVAL_MS + policy.outage());
            if policy != Policy::PlannedWithLevel {
                buckets[0] = bucket::Bucket::after_unknown_owner(begun, buckets[0].limit());
            }
        }
        let (due, later) = ends
            .into_iter()
            .partition(|(at, _)| *at <= a.at + owner_wait);
        ends = later;
        for (_, j) in due {
            let old: &Arrival = &list[j];
            let shard = old.gateway as usize % buckets.len();
            let refund = limiter::Refund {
                request: charge(j as u128, 0, 0).request,
                account: "acme".parse().unwrap(),
                used: unit::Tokens::new(old.used),
            };
            buckets[shard].refund(now, &refund);
        }
        if owner_wait > max_wait {
            continue;
        }
        let shard = a.gateway as usize % buckets.len();
        let request = charge(i as u128, a.tokens, max_wait - owner_wait);
        if let limiter::Reply::Granted { delay } = buckets[shard].charge(now, &request) {
            admitted[i] = true;
            ends.push((a.at + owner_wait + delay.as_u64() + a.ends, i));
        }
    }
    admitted
}

/// Prints how many requests each policy refuses although one ideal bucket admits them.
#[test]
#[ignore = "prints figures"]
fn wrongful_refusals() {
    let policies = [
        Policy::LostOwner,
        Policy::PlannedFromZero,
        Policy::PlannedWithLevel,
        Policy::StaticShare,
    ];
    for load in [0.5, 0.8, 3.0] {
        for max_wait in [500, 2_000] {
            let list = arrivals(load, 1);
            let ideal = run(Policy::Ideal, &list, max_wait);
            let admitted = ideal.iter().filter(|x| **x).count();
            println!(
                "load {load}, maximum wait {max_wait} ms: {} requests, ideal {admitted}",
                list.len()
            );
            for policy in policies {
                let real = run(policy, &list, max_wait);
                let total = real.iter().filter(|x| **x).count();
                let wrongful = ideal.iter().zip(&real).filter(|(i, r)| **i && !**r).count();
                println!(
                    "  {policy:?}: admitted {total}, wrongful {wrongful} ({:.2} %), {:.2} a change",
                    wrongful as f64 * 100.0 / admitted as f64,
                    wrongful as f64 / (MINUTES - 1) as f64,
                );
            }
        }
    }
}
