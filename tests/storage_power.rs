//! The data folder on a simulated disk that loses power after every operation, or has no space
//! left.

mod storage_support;

use rand::Rng as _;
use rand::SeedableRng as _;
use storage_support::disk;
use storage_support::writes;

/// Outcomes of one loss of power that are tried at most; up to as many, all are.
const MOST_OUTCOMES: usize = 1 << 12;

/// Random outcomes that are tried where there are more.
const RANDOM_OUTCOMES: usize = 200;

/// Calls of `Folder::write` of one process.
const CALLS: usize = 6;

/// Seeds that found a fault: a commit was written again behind a part of itself.
const KNOWN_SEEDS: [u64; 1] = [117];

fn seeds() -> u64 {
    let seeds = std::env::var("BUCKTHORNCLEAT_SEEDS").ok();
    seeds.map_or(20, |seeds| seeds.parse().unwrap())
}

fn rng(seed: u64) -> rand_chacha::ChaCha8Rng {
    rand_chacha::ChaCha8Rng::seed_from_u64(seed)
}

const FATES: [disk::Fate; 4] = [
    disk::Fate::Lost,
    disk::Fate::Kept,
    disk::Fate::Half,
    disk::Fate::Hole,
];

/// Returns the outcomes of a loss of power: all of them, or random ones if there are too many.
fn outcomes(counts: &[usize], most: usize, rng: &mut impl rand::Rng) -> Vec<Vec<disk::Fate>> {
    let total = counts.iter().try_fold(1_usize, |n, c| n.checked_mul(*c));
    let Some(total) = total.filter(|t| *t <= most) else {
        return (0..RANDOM_OUTCOMES.min(most))
            .map(|_| random_outcome(counts, rng))
            .collect();
    };
    let outcome = |mut number: usize| {
        let fate = |count: &usize| {
            let fate = FATES[number % count];
            number /= count;
            fate
        };
        counts.iter().map(fate).collect()
    };
    (0..total).map(outcome).collect()
}

fn random_outcome(counts: &[usize], rng: &mut impl rand::Rng) -> Vec<disk::Fate> {
    let fate = |count: &usize| FATES[rng.random_range(0..*count)];
    counts.iter().map(fate).collect()
}

/// Lets a process open the folder and write, until the disk fails.
fn run(member: &mut writes::Member, rng: &mut impl rand::Rng) -> Result<(), String> {
    if let Some(mut folder) = member.open()? {
        member.write(&mut folder, CALLS, rng);
    }
    Ok(())
}

/// Leaves no space for some operations from each one of a process on; it must go on once there is
/// space. Then loses power.
fn fill_at_each_operation(start: &writes::Member, seed: u64) -> Result<(), String> {
    let mut whole = start.fork();
    let before = whole.disk.operations();
    run(&mut whole, &mut rng(seed))?;
    for operation in 0..=whole.disk.operations() - before {
        for count in [1, 2, 7] {
            let mut member = start.fork();
            member.disk.fill(operation..operation + count);
            let mut random = rng(seed);
            let checked = run(&mut member, &mut random).and_then(|()| {
                if !member.is_acknowledged() {
                    return Err("a write failed although there is space again".to_owned());
                }
                end_process_then_lose_power(member, &mut random)
            });
            checked.map_err(|e| format!("full for {count} from operation {operation} on: {e}"))?;
        }
    }
    Ok(())
}

/// Loses power after each operation of a process, in each way, and checks what the next one reads.
fn lose_power_at_each_operation(start: &writes::Member, seed: u64) -> Result<(), String> {
    let mut whole = start.fork();
    let before = whole.disk.operations();
    run(&mut whole, &mut rng(seed))?;
    for operation in 0..=whole.disk.operations() - before {
        let mut member = start.fork();
        member.disk.lose_power_after(Some(operation));
        run(&mut member, &mut rng(seed))?;
        let mut random = rng(seed);
        for fates in outcomes(&member.disk.unsynced(), MOST_OUTCOMES, &mut random) {
            let mut after = member.fork();
            after.lose_power(&fates);
            let opened = after.open();
            opened
                .map_err(|e| format!("power lost after {operation} operations, {fates:?}: {e}"))?;
        }
        let ended = end_process_then_lose_power(member, &mut random);
        ended.map_err(|e| format!("process ended after {operation} operations: {e}"))?;
    }
    Ok(())
}

/// Lets another process go on with what is visible and not durable, and then loses power.
fn end_process_then_lose_power(
    mut member: writes::Member,
    rng: &mut impl rand::Rng,
) -> Result<(), String> {
    member.disk.lose_power_after(None);
    run(&mut member, rng)?;
    for fates in outcomes(&member.disk.unsynced(), 16, rng) {
        let mut after = member.fork();
        after.lose_power(&fates);
        let opened = after.open();
        opened.map_err(|e| format!("then power lost, {fates:?}: {e}"))?;
    }
    Ok(())
}

/// Ends processes at random operations, some with the power, some without, and others for lack of
/// space.
fn lose_power_repeatedly(member: &mut writes::Member, seed: u64) -> Result<(), String> {
    let mut random = rng(seed);
    for process in 0..12 {
        let longest = if random.random() { 60 } else { 8 };
        member.disk.fill(0..0);
        member
            .disk
            .lose_power_after(Some(random.random_range(0..longest)));
        if random.random_bool(0.2) {
            let begin = random.random_range(0..30);
            member.disk.fill(begin..begin + random.random_range(1..20));
        }
        run(member, &mut random).map_err(|e| format!("process {process}: {e}"))?;
        if random.random_bool(0.6) {
            let fates = random_outcome(&member.disk.unsynced(), &mut random);
            member.lose_power(&fates);
        }
    }
    member.disk.fill(0..0);
    member.disk.lose_power_after(None);
    let opened = member.open()?;
    opened.map(drop).ok_or("the folder stays closed".to_owned())
}

fn check(fault: disk::Fault, seed: u64) -> Result<(), String> {
    let seeded = |e| format!("seed {seed}: {e}");
    lose_power_repeatedly(&mut writes::Member::new(fault), seed).map_err(seeded)?;
    let mut member = writes::Member::new(fault);
    lose_power_at_each_operation(&member, seed).map_err(seeded)?;
    run(&mut member, &mut rng(seed)).map_err(seeded)?;
    lose_power_at_each_operation(&member, seed + 1).map_err(seeded)?;
    lose_power_repeatedly(&mut member, seed).map_err(seeded)
}

/// Guards against a member that is refused, or lost acknowledged entries, after a loss of power in
/// which some removals of segments lasted and others did not (review/1).
#[test]
fn acknowledged_data_is_read_back_after_a_loss_of_power() {
    for seed in 0..seeds() {
        check(disk::Fault::None, seed).unwrap();
    }
}

/// Guards against a member that refuses all writes, or loses acknowledged entries, after its disk was
/// full for a moment.
#[test]
fn writes_go_on_when_a_full_disk_has_space_again() {
    for seed in (0..seeds()).chain(KNOWN_SEEDS) {
        let mut member = writes::Member::new(disk::Fault::None);
        let seeded = |e| format!("seed {seed}: {e}");
        fill_at_each_operation(&member, seed)
            .map_err(seeded)
            .unwrap();
        run(&mut member, &mut rng(seed)).unwrap();
        fill_at_each_operation(&member, seed + 1)
            .map_err(seeded)
            .unwrap();
    }
}

/// Shows that the tests above find syncs that are left out or come too late.
#[test]
fn injected_faults_of_the_disk_are_found() {
    for fault in [
        disk::Fault::FileSyncs,
        disk::Fault::FolderSyncs,
        disk::Fault::RemovalSyncs,
        disk::Fault::RenameSyncs,
    ] {
        let found = (0..200).any(|seed| check(fault, seed).is_err());
        assert!(found, "{fault:?} was not found");
    }
}
