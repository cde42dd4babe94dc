//! Randomised simulations of the replicated log with a faulty network and faulty disks.
//!
//! The full test is 1,000 seeds of 10,000 steps:
//! `REPLICA_SEEDS=1000 REPLICA_STEPS=10000 cargo test --release --test replica`.
//! `REPLICA_FIRST_SEED` sets the first seed, for example to repeat a failed one.

mod replica_support;

use std::panic;

use replica_support::world;

/// The number of seeds and steps unless the environment sets others.
const SEEDS: u64 = 24;
const STEPS: u64 = 3_000;

/// The number of seeds within which the checks must find an injected bug.
const BUG_SEARCH_SEEDS: u64 = 200;

fn from_env(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |v| v.parse().unwrap())
}

/// Runs the seeds on several threads and returns the sum of their counts.
fn run_seeds(bug: world::InjectedBug) -> world::Counts {
    let first = from_env("REPLICA_FIRST_SEED", 0);
    let seeds = from_env("REPLICA_SEEDS", SEEDS);
    let steps = from_env("REPLICA_STEPS", STEPS);
    let threads = from_env("REPLICA_THREADS", 3);
    let run = |thread: u64| {
        let mut counts = world::Counts::default();
        for seed in (first..first + seeds).filter(|s| s % threads == thread) {
            let run = panic::catch_unwind(|| world::run(seed, steps, bug));
            counts.add(&run.unwrap_or_else(|_| panic!("seed {seed} failed")));
        }
        counts
    };
    let run = &run;
    let mut counts = world::Counts::default();
    std::thread::scope(|scope| {
        let running: Vec<_> = (0..threads).map(|t| scope.spawn(move || run(t))).collect();
        for thread in running {
            counts.add(&thread.join().expect("a seed failed"));
        }
    });
    counts
}

#[test]
fn acknowledged_writes_survive_random_faults() {
    let counts = run_seeds(world::InjectedBug::None);
    println!("{counts:?}");
    assert!(counts.acknowledged > 0 && counts.reads > 0 && counts.repairs > 0);
    assert!(counts.lost_disks > 0 && counts.lost_after_repair > 0 && counts.snapshots > 0);
}

/// Runs seeds until a safety check fails, and returns its message; `None` if none fails.
fn find_violation(bug: world::InjectedBug) -> Option<String> {
    let hook = panic::take_hook();
    panic::set_hook(Box::new(|_| ()));
    let violation_of = |seed| {
        let run = panic::catch_unwind(|| world::run(seed, STEPS, bug));
        let message = run.err()?.downcast::<String>().ok()?;
        Some(format!("seed {seed}: {message}"))
    };
    let violation = (0..BUG_SEARCH_SEEDS).find_map(violation_of);
    panic::set_hook(hook);
    violation
}

#[test]
fn injected_bugs_are_found() {
    let bugs = [
        world::InjectedBug::ConfirmsBeforeSync,
        world::InjectedBug::KeepsIncarnationOfLostDisk,
    ];
    for bug in bugs {
        let violation = find_violation(bug);
        println!("{bug:?}: {violation:?}");
        assert!(violation.is_some(), "the checks did not find {bug:?}");
    }
}
