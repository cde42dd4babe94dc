//! Figures of the limiter; see `docs/LIMITS.md`.
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

fn charge(request: u128, tokens: u64, patience: u64) -> limiter::Charge {
    limiter::Charge {
        request: id::RequestId::new(
            request.wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835),
        ),
        account: "acme".parse().unwrap(),
        tokens: unit::Tokens::new(tokens),
        patience: clock::Millis::new(patience),
    }
}

/// Prints the time of a charge and the refund of an older one, with a history of some length.
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
