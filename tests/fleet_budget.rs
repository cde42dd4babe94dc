//! The retry budget of a fleet: attempts beyond the first in any window.

use buckthorncleat::clock::Millis;
use buckthorncleat::document::ServiceId;
use buckthorncleat::fleet::budget::{Budget, Purpose, Settings};
use buckthorncleat::sorted::Map;

const SETTINGS: Settings = Settings {
    ratio: 0.2,
    spare: 58,
    window: Millis::from_secs(10),
};

fn service() -> ServiceId {
    "orders".parse().unwrap()
}

/// Ten gateways whose every request asks for two repeats, with a summary every 200 ms.
fn repeats_granted(gateways: usize, summaries: bool) -> (u64, u64) {
    let mut budgets: Vec<Budget> = (0..gateways).map(|_| Budget::new(SETTINGS)).collect();
    let (mut requests, mut repeats) = (0, 0);
    for at in (0..10_000).step_by(20) {
        let now = Millis::new(at);
        let budget = &mut budgets[at as usize / 20 % gateways];
        budget.note_request(now, &service());
        requests += 1;
        for _ in 0..2 {
            repeats += u64::from(budget.try_repeat(now, &service(), Purpose::Needed).granted);
        }
        if summaries && at % 200 == 0 {
            share(&mut budgets, now);
        }
    }
    (requests, repeats)
}

fn share(budgets: &mut [Budget], now: Millis) {
    let own: Vec<_> = budgets.iter_mut().map(|b| b.attempts(now)).collect();
    for at in 0..budgets.len() {
        let mut others = Map::new();
        for (_, attempts) in own.iter().enumerate().filter(|(i, _)| *i != at) {
            for (id, count) in attempts.iter() {
                let sum: &mut buckthorncleat::fleet::message::Attempts =
                    others.get_or_insert_with(id.clone(), Default::default);
                sum.requests += count.requests;
                sum.repeats += count.repeats;
            }
        }
        budgets[at].learn(now, others, budgets.len() as u32);
    }
}

#[test]
fn a_fleet_stays_within_the_budget() {
    let (requests, repeats) = repeats_granted(9, true);
    let allowed = requests / 5 + SETTINGS.spare;
    assert!(repeats <= allowed, "{repeats} of {allowed}");
    assert!(repeats >= allowed / 2, "{repeats} of {allowed}");
}

#[test]
fn gateways_without_a_leader_spend_their_shares() {
    let mut budgets: Vec<Budget> = (0..9).map(|_| Budget::new(SETTINGS)).collect();
    share(&mut budgets, Millis::ZERO);
    let late = Millis::new(5_000);
    let granted: u64 = budgets
        .iter_mut()
        .map(|b| {
            (0..100)
                .filter(|_| b.try_repeat(late, &service(), Purpose::Needed).granted)
                .count() as u64
        })
        .sum();
    assert!(granted <= SETTINGS.spare, "{granted}");
}

#[test]
fn old_attempts_leave_the_window() {
    let mut budget = Budget::new(SETTINGS);
    budget.learn(Millis::ZERO, Map::new(), 1);
    while budget
        .try_repeat(Millis::ZERO, &service(), Purpose::Needed)
        .granted
    {}
    let later = Millis::new(10_500);
    budget.learn(later, Map::new(), 1);
    assert!(
        budget
            .try_repeat(later, &service(), Purpose::Needed)
            .granted
    );
}

/// Pattern: a burst in which prompts are refused; what requests can do without leaves the budget to
/// those that fail without another attempt.
#[test]
fn attempts_that_only_help_leave_most_of_the_budget() {
    let mut budget = Budget::new(SETTINGS);
    let now = Millis::ZERO;
    for _ in 0..100 {
        budget.note_request(now, &service());
    }
    let granted = |budget: &mut Budget, purpose| {
        (0..200)
            .filter(|_| budget.try_repeat(now, &service(), purpose).granted)
            .count()
    };
    let helpful = granted(&mut budget, Purpose::Helpful);
    let needed = granted(&mut budget, Purpose::Needed);
    let allowed = 100 / 5 + SETTINGS.spare as usize;
    assert!(
        helpful > 0 && helpful <= allowed / 3,
        "{helpful} of {allowed}"
    );
    assert!(needed >= allowed / 3, "{needed} of {allowed}");
    assert_eq!(granted(&mut budget, Purpose::Helpful), 0);
}
