//! Tests that a bucket keeps its level and its charges when it is handed over to a process with
//! another clock.

use buckthorncleat::clock;
use buckthorncleat::controller::limiter;
use buckthorncleat::controller::limiter::bucket;
use buckthorncleat::controller::limiter::level;
use buckthorncleat::id;
use buckthorncleat::unit;
use rand::Rng as _;
use rand::SeedableRng as _;

const SEEDS: u64 = 300;

fn charge(request: u128, tokens: u64) -> limiter::Charge {
    limiter::Charge {
        request: id::RequestId::new(request),
        account: "acme".parse().unwrap(),
        tokens: unit::Tokens::new(tokens),
        max_wait: bucket::MAX_DELAY,
    }
}

#[test]
fn level_future_grants_and_recent_charges_are_handed_over() {
    let limit = level::Limit {
        rate: unit::TokensPerSecond::new(1_000),
        burst: unit::Tokens::new(5_000),
    };
    for seed in 0..SEEDS {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let mut now = rng.random_range(0..100_000);
        let mut old = bucket::Bucket::new(clock::Millis::new(now), limit, limit.full());
        let mut last = None;
        for request in 0..rng.random_range(1..200) {
            now += rng.random_range(0..2_000);
            let charge = charge(request, rng.random_range(1..3_000));
            let reply = old.charge(clock::Millis::new(now), &charge);
            if let limiter::Reply::Granted { delay } = reply {
                last = Some((charge, delay));
            }
        }
        let old_now = clock::Millis::new(now);
        let new_now = clock::Millis::new(rng.random_range(0..200_000));
        let history = old.clone().into_history();
        let account = "acme".parse().unwrap();
        let epoch = id::Epoch::new(1);
        let hand_over = limiter::HandOver::new(old_now, account, epoch, history).unwrap();
        let mut new = hand_over.to_bucket(new_now);
        assert_eq!(new.level(new_now), old.level(old_now), "seed {seed}");
        let (charge, _) = last.unwrap();
        let again = old.charge(old_now, &charge);
        assert_eq!(new.charge(new_now, &charge), again, "seed {seed}");
        let later = clock::Millis::from_secs(1);
        assert_eq!(
            new.level(new_now + later),
            old.level(old_now + later),
            "seed {seed}"
        );
    }
}
