//! Tests of the ejection of failing backend servers, and of the retry budget.

use buckthorncleat::clock;
use buckthorncleat::controller::outlier;
use buckthorncleat::id;
use rand::Rng as _;
use rand::SeedableRng as _;

const SEEDS: u64 = 100;
const CALLS: u64 = 2_000;

fn servers(count: usize) -> Vec<id::BackendServerId> {
    (0..count)
        .map(|i| format!("shop-{i}").parse().unwrap())
        .collect()
}

#[test]
fn a_failing_server_gets_few_calls_and_is_used_again_after_recovery() {
    for seed in 0..SEEDS {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let servers = servers(3);
        let mut outliers = outlier::Outliers::new();
        let mut calls_while_dead = 0;
        let mut calls_after = 0;
        for call in 0..CALLS {
            let now = clock::Millis::new(call * 20);
            let is_dead = call < CALLS / 2;
            let picked = outliers.pick(now, &servers, &[], rng.random()).unwrap();
            outliers.call_started(&picked);
            let is_first = picked == servers[0];
            calls_while_dead += u64::from(is_first && is_dead);
            calls_after += u64::from(is_first && !is_dead);
            outliers.call_ended(now, &picked, !(is_first && is_dead));
        }
        assert!(calls_while_dead < 12, "seed {seed}: {calls_while_dead}");
        assert!(calls_after > CALLS / 50, "seed {seed}: {calls_after}");
    }
}

#[test]
fn at_most_half_of_the_servers_of_a_route_are_ejected() {
    for count in 1..6 {
        let servers = servers(count);
        let mut outliers = outlier::Outliers::new();
        let now = clock::Millis::new(100);
        for _ in 0..20 {
            for id in &servers {
                outliers.call_started(id);
                outliers.call_ended(now, id, false);
            }
        }
        let mut picked: Vec<_> = (0..200)
            .filter_map(|seed| outliers.pick(now, &servers, &[], seed * 7_919))
            .collect();
        picked.sort();
        picked.dedup();
        assert_eq!(picked.len(), count.div_ceil(2));
        assert_eq!(outliers.pick(now, &servers, &servers, 1), None);
    }
}

#[test]
fn retries_stay_within_a_tenth_of_the_requests_plus_the_burst() {
    for seed in 0..SEEDS {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let mut budget = outlier::RetryBudget::new();
        let (mut requests, mut retries) = (0_u64, 0_u64);
        let failing = rng.random_range(0.0..1.0);
        for _ in 0..CALLS {
            budget.record_request();
            requests += 1;
            retries += u64::from(rng.random_bool(failing) && budget.try_retry());
            assert!(retries <= requests / outlier::REQUESTS_PER_RETRY + outlier::RETRY_BURST);
        }
    }
}
