//! Groups with open admission whose machines freeze, restart, are cut off, lose their disks and are
//! replaced, one at a time.
//!
//! `BUCKTHORNCLEAT_SEEDS=1000 cargo test --release --test replica_members` runs more seeds.

#[path = "replica_support/open_world.rs"]
mod open_world;
#[allow(dead_code)]
mod replica_support;

use std::panic;

use buckthorncleat::clock;
use open_world::{Counts, InjectedBug, World, run};

/// The number of seeds of each size unless the environment sets another.
const SEEDS: u64 = 3;
const ROUNDS: u64 = 10;

/// The numbers of machines of a group.
const SIZES: [usize; 3] = [3, 5, 10];

/// The number of seeds within which the checks must find an injected bug.
const BUG_SEARCH_SEEDS: u64 = 30;

const FREEZE: clock::Millis = clock::Millis::new(4_000);

fn seeds() -> u64 {
    std::env::var("BUCKTHORNCLEAT_SEEDS").map_or(SEEDS, |v| v.parse().unwrap())
}

/// CONFIG: a sound member was no voter any more, and one lost disk ended the group.
#[test]
fn sound_members_vote_after_each_loss() {
    let mut counts = Counts::default();
    for size in SIZES {
        for seed in 0..seeds() {
            let run = panic::catch_unwind(|| run(seed, size, ROUNDS, InjectedBug::None));
            counts.add(&run.unwrap_or_else(|_| panic!("seed {seed} with {size} machines failed")));
        }
    }
    println!("{counts:?}");
    assert!(counts.replacements > 0 && counts.returns > 0, "{counts:?}");
}

#[test]
fn injected_bugs_are_found() {
    let hook = panic::take_hook();
    panic::set_hook(Box::new(|_| ()));
    let is_found = |bug| {
        (0..BUG_SEARCH_SEEDS).any(|seed| panic::catch_unwind(|| run(seed, 3, ROUNDS, bug)).is_err())
    };
    let bugs = [InjectedBug::VotersDoNotAsk, InjectedBug::NobodyJoins];
    let missed: Vec<_> = bugs.into_iter().filter(|bug| !is_found(*bug)).collect();
    panic::set_hook(hook);
    assert_eq!(missed, []);
}

/// CONFIG: a voter that was replaced while it could not be reached was never told, and did not vote
/// again when the group needed it.
#[test]
fn voter_replaced_while_silent_votes_again() {
    type Loss = fn(&mut World, usize);
    let losses: [(&str, Loss); 3] = [
        ("frozen", |world, node| world.freeze(node, FREEZE)),
        ("restarted", |world, node| world.restart(node, FREEZE)),
        ("frozen twice", |world, node| {
            world.freeze(node, FREEZE);
            world.run(clock::Millis::new(300));
            world.freeze(node, FREEZE);
        }),
    ];
    for (name, lose) in losses {
        for is_leader in [false, true] {
            let mut world = World::formed(1, 3, InjectedBug::None);
            let leader = world.leader().unwrap();
            let silent = if is_leader { leader } else { (leader + 1) % 3 };
            world.add();
            world.quiet();
            lose(&mut world, silent);
            assert!(!world.is_voter(silent), "{name}, leads: {is_leader}");
            world.quiet();
            let departing = (silent + 1) % 3;
            world.remove(departing);
            world.quiet();
            assert!(world.is_voter(silent), "{name}, leads: {is_leader}");
            let lost = (silent + 2) % 3;
            world.lose_disk(lost, clock::Millis::new(2_000));
            world.quiet();
        }
    }
}
