//! Delays after which refused callers send again.

use buckthorncleat::router::retry_after::{Cause, delay};
use rand::{Rng as _, SeedableRng as _};

/// Guards against refused callers that all send again at the same moment.
#[test]
fn callers_refused_together_get_different_delays() {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(11);
    let causes = [
        Cause::StreamsFull,
        Cause::PlainFull,
        Cause::ServersFailed,
        Cause::NotReady,
    ];
    for cause in causes {
        let mut times: Vec<u64> = (0..1_000)
            .map(|_| delay(cause, rng.random()).as_u64())
            .collect();
        times.sort_unstable();
        let spread = times[times.len() - 1] - times[0];
        assert!(spread >= 90, "{cause:?}: all delays lie within {spread} ms");
        let tenth = spread / 10;
        for earliest in &times {
            let together = times
                .iter()
                .filter(|t| (*earliest..earliest + tenth).contains(t));
            assert!(together.count() < 200, "{cause:?} at {earliest} ms");
        }
    }
}

/// Guards against a second refusal: after a burst of streams most refused callers send again only
/// once, and must not meet the same burst.
#[test]
fn refused_streams_are_delayed_by_the_length_of_a_stream() {
    for random in 0..10_000 {
        let time = delay(Cause::StreamsFull, random).as_u64();
        assert!((2_500..=4_600).contains(&time), "{time}");
    }
}
