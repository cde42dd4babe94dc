//! Output estimates of streams, and streams that exceed them.

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
fn estimates_are_capped_by_the_output_limit() {
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

/// Guards against memory that is overcommitted: a stream that exceeds its estimate must count with
/// the memory it holds.
#[test]
fn a_stream_that_exceeds_its_estimate_counts_with_more_memory() {
    let mut tokens_per_event = TokensPerEvent::default();
    assert_eq!(
        tokens_per_event.revised_memory(generation(100), 1_000),
        None,
        "too few streams for an estimate"
    );
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(5);
    let error = LogNormal::new(0.0, 0.5).unwrap();
    for _ in 0..400 {
        let events = rng.random_range(20..120);
        let expected_output = (events * TOKENS_PER_EVENT) as f64 * error.sample(&mut rng);
        tokens_per_event.observe(generation(expected_output as u64), events);
    }
    assert_eq!(tokens_per_event.revised_memory(generation(1_200), 50), None);
    let raised = tokens_per_event
        .revised_memory(generation(600), 80)
        .unwrap();
    // 80 events of 12 tokens, an eighth more because the mean of the estimates is above their
    // median, and a quarter for the output still to come.
    let held_tokens = 3_200 + 80 * TOKENS_PER_EVENT;
    assert!(
        (held_tokens..held_tokens * 5 / 4).contains(&raised.as_u64()),
        "{raised}"
    );
    let capped = tokens_per_event
        .revised_memory(generation(600), 2_000)
        .unwrap();
    assert_eq!(capped, Tokens::new(7_200));
}
