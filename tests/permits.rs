//! Limits of calls that servers name, kept by all routers together: the decisions of routers and
//! leaders over late, lost and doubled messages, without network.
//!
//! `BUCKTHORNCLEAT_SEEDS` sets the number of seeds of the random runs.

#[path = "permit_support/fleet.rs"]
mod fleet;

use fleet::{Fleet, Plan};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

const DEFAULT_SEEDS: u64 = 3;
const SIZES: [usize; 4] = [9, 30, 191, 300];

fn seeds() -> u64 {
    let seeds = std::env::var("BUCKTHORNCLEAT_SEEDS").ok();
    seeds.map_or(DEFAULT_SEEDS, |s| s.parse().expect("a number of seeds"))
}

/// Returns the calls that a server may get in 4 s.
fn goal(per_second: f64) -> f64 {
    (1.1 * per_second * 4.0 + 2.0).floor()
}

fn steady(routers: usize, per_second: f64) -> Plan {
    Plan {
        routers,
        demand: per_second * 5.0,
        at_one_router: false,
        limits: vec![(0, Some(per_second))],
        bad_links: false,
        leader_losses: Vec::new(),
        freezes: Vec::new(),
        length: 16_000,
    }
}

fn check_limit(plan: &Plan, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(plan.clone(), seed);
    fleet.run();
    if let Some((begin, calls, allowed)) = fleet.worst_window(goal) {
        panic!("seed {seed}: {calls} calls from {begin} ms on, allowed {allowed}: {plan:?}");
    }
    fleet
}

/// Guards against equal parts of a limit: with many routers, none gets one that is of use.
#[test]
fn a_limit_is_used_whether_requests_come_to_one_router_or_to_all() {
    for routers in SIZES {
        for at_one_router in [false, true] {
            for per_second in [1.0, 4.0, 20.0, 60.0] {
                let plan = Plan {
                    at_one_router,
                    ..steady(routers, per_second)
                };
                let fleet = check_limit(&plan, 1);
                let used = fleet.calls_within(5_000, 15_000) as f64 / (per_second * 10.0);
                assert!(used >= 0.85, "only {used} used: {plan:?}");
            }
        }
    }
}

/// Guards against routers that act on old news: the sum over all routers stays within the limit
/// whatever is lost, late, doubled, frozen or led by another member.
#[test]
fn routers_together_keep_to_a_limit_whatever_news_is_late_or_lost() {
    for seed in 1..=seeds() {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        for routers in SIZES {
            let mut plan = steady(routers, rng.random_range(0.3..40.0));
            plan.demand = plan.demand.max(10.0) * rng.random_range(1.0..3.0);
            plan.at_one_router = rng.random_bool(0.2);
            plan.bad_links = rng.random_bool(0.7);
            for _ in 0..rng.random_range(0..3) {
                plan.leader_losses.push(rng.random_range(2_000..14_000));
            }
            for _ in 0..rng.random_range(0..4) {
                let router = rng.random_range(0..routers);
                let (at, length) = (
                    rng.random_range(1_000..12_000),
                    rng.random_range(100..5_000),
                );
                plan.freezes.push((router, at, length));
            }
            plan.leader_losses.sort_unstable();
            check_limit(&plan, seed);
        }
    }
}

/// Guards against limits that hold on after their end, and against old news of one that has ended
/// or changed.
#[test]
fn limits_that_rise_fall_end_and_come_again_are_followed() {
    for seed in 1..=seeds() {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        for routers in SIZES {
            let mut plan = steady(routers, 4.0);
            plan.demand = 60.0;
            plan.limits = vec![(0, None), (3_000, Some(8.0)), (7_000, Some(3.0))];
            plan.limits.push((11_000, Some(12.0)));
            plan.limits.push((15_000, None));
            plan.length = 24_000;
            plan.bad_links = rng.random_bool(0.5);
            let fleet = check_limit(&plan, seed);
            let risen = fleet.calls_within(13_000, 15_000) as f64 / 2.0;
            assert!(
                risen > 8.0,
                "{risen} a second after the limit rose to 12: {plan:?}"
            );
            let ended = fleet.calls_within(21_000, 24_000) as f64 / 3.0;
            assert!(
                ended > 45.0,
                "{ended} a second after the limit ended: {plan:?}"
            );
        }
    }
}
