//! Compares the amendable history with a reference that replays all events.

use buckthorncleat::clock;
use buckthorncleat::controller::limiter::history;
use buckthorncleat::controller::limiter::level;
use buckthorncleat::id;
use buckthorncleat::unit;
use proptest::prelude::*;

#[derive(Clone, Copy, Debug)]
enum Step {
    Charge { gap: u64, tokens: u64 },
    Settle { which: usize, tokens: u64 },
    Limit { back: u64, rate: u64, burst: u64 },
    Fold,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..500_u64, 0..900_u64).prop_map(|(gap, tokens)| Step::Charge { gap, tokens }),
        4 => (0..200_usize, 0..1_500_u64).prop_map(|(which, tokens)| Step::Settle { which, tokens }),
        1 => (0..900_u64, 0..2_000_u64, 1..2_000_u64)
            .prop_map(|(back, rate, burst)| Step::Limit { back, rate, burst }),
        2 => Just(Step::Fold),
    ]
}

fn limit(rate: u64, burst: u64) -> level::Limit {
    level::Limit {
        rate: unit::TokensPerSecond::new(rate),
        burst: unit::Tokens::new(burst),
    }
}

/// Keeps every event and recomputes the level from the first one each time.
struct Reference {
    events: Vec<history::Event>,
}

impl Reference {
    fn level(&self, start: history::Base) -> level::Level {
        let (mut at, mut limit, mut level) = (start.at, start.limit, start.level);
        for event in &self.events {
            level = (level + limit.refill(event.at - at)).min(limit.full());
            level = level - level::Level::from_tokens(event.tokens);
            (at, limit) = (event.at, event.limit);
        }
        level.min(limit.full())
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_history_equals_a_replay_of_all_events(steps in prop::collection::vec(step(), 1..200)) {
        let start = history::Base {
            at: clock::Millis::new(10),
            limit: limit(1_000, 1_000),
            level: level::Level::ZERO,
        };
        let mut history = history::History::new(start);
        let mut reference = Reference { events: Vec::new() };
        let mut folded = 0;
        for (i, step) in steps.into_iter().enumerate() {
            match step {
                Step::Charge { gap, tokens } => {
                    let event = history::Event {
                        at: history.last_at() + clock::Millis::new(gap),
                        limit: history.limit(),
                        request: Some(id::RequestId::new(i as u128)),
                        tokens: unit::Tokens::new(tokens),
                        settled: false,
                    };
                    history.push(event);
                    reference.events.push(event);
                }
                Step::Settle { which, tokens } => {
                    let event = reference.events.iter_mut().skip(folded).nth(which);
                    let Some(event) = event else { continue };
                    let Some(request) = event.request else { continue };
                    event.tokens = unit::Tokens::new(tokens);
                    history.settle(request, event.tokens);
                }
                Step::Limit { back, rate, burst } => {
                    let at = history.last_at() - clock::Millis::new(back);
                    history.set_limit(at, limit(rate, burst));
                    reference.events.truncate(folded);
                    reference.events.extend(history.events().copied());
                }
                Step::Fold => {
                    folded = reference.events.len().min(folded + 1);
                    history.fold_first();
                }
            }
            prop_assert_eq!(history.level_at(history.last_at()), reference.level(start));
            prop_assert_eq!(history.len(), reference.events.len() - folded);
        }
    }
}
