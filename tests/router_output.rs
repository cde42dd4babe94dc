//! What streams are expected to generate, and those that generate more.

use buckthorncleat::router::output::{TokensPerEvent, expected_output};
use buckthorncleat::router::protocol::Generation;
use buckthorncleat::unit::Tokens;
use rand::{Rng as _, SeedableRng as _};
use rand_distr::{Distribution as _, LogNormal};

const TOKENS_PER_EVENT: u64 = 12;

fn generation(expected_output: u64) -> Generation {
    Generation {
        prompt: Tokens::new(3_200),
        max_output: Tokens::new(4_000),
        expected_output: Some(Tokens::new(expected_output)),
    }
}

#[test]
fn estimates_are_bounded_by_what_was_asked_for() {
    assert_eq!(expected_output(generation(700)), Tokens::new(700));
    assert_eq!(expected_output(generation(9_000)), Tokens::new(4_000));
    let open = Generation {
        max_output: Tokens::new(0),
        ..generation(9_000)
    };
    assert_eq!(expected_output(open), Tokens::new(9_000));
    let unknown = Generation {
        expected_output: None,
        ..generation(0)
    };
    assert_eq!(expected_output(unknown), Tokens::new(4_000));
    assert_eq!(expected_output(Generation::default()), Tokens::new(256));
}

/// Pattern: long answers; what outgrows its estimate is counted with what it holds.
#[test]
fn a_stream_that_outgrows_its_estimate_counts_with_more() {
    let mut size = TokensPerEvent::default();
    assert_eq!(
        size.revised_memory(generation(100), 1_000),
        None,
        "nothing is known"
    );
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(5);
    let spread = LogNormal::new(0.0, 0.5).unwrap();
    for _ in 0..400 {
        let events = rng.random_range(20..120);
        let expected_output = (events * TOKENS_PER_EVENT) as f64 * spread.sample(&mut rng);
        size.observe(generation(expected_output as u64), events);
    }
    assert_eq!(size.revised_memory(generation(1_200), 50), None);
    let grown = size.revised_memory(generation(600), 80).unwrap();
    // 80 events of 12 tokens, an eighth more for the mean of the estimates, and a quarter for the rest.
    let held = 3_200 + 80 * TOKENS_PER_EVENT;
    assert!((held..held * 5 / 4).contains(&grown.as_u64()), "{grown}");
    let max_output = size.revised_memory(generation(600), 2_000).unwrap();
    assert_eq!(max_output, Tokens::new(7_200));
}
