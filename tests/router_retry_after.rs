//! When refused callers come back.

use buckthorncleat::router::retry_after::{Cause, delay};
use rand::{Rng as _, SeedableRng as _};

/// Pattern: refused clients that all return at once.
#[test]
fn callers_refused_together_return_apart() {
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
        assert!(spread >= 90, "{cause:?} returns within {spread} ms");
        let tenth = spread / 10;
        for earliest in &times {
            let together = times
                .iter()
                .filter(|t| (*earliest..earliest + tenth).contains(t));
            assert!(together.count() < 200, "{cause:?} at {earliest} ms");
        }
    }
}

/// Pattern: a burst of streams; refused callers have one more try, which must not meet the same burst.
#[test]
fn refused_streams_return_when_places_have_changed_hands() {
    for draw in 0..10_000 {
        let time = delay(Cause::StreamsFull, draw).as_u64();
        assert!((2_500..=4_600).contains(&time), "{time}");
    }
}
