//! Limits on log lines: with a blocked reader, in bursts, and across processes that sample.

use std::io::{self, Write as _};
use std::sync::{Arc, mpsc};
use std::time::Duration;

use buckthorncleat::clock::Millis;
use buckthorncleat::logging::queue::{Counts, MAX_QUEUED_LINES, Queue};
use buckthorncleat::logging::sample::{
    Decision, MAX_OTHER_LINES_PER_SECOND, ROUTINE_LINES_PER_SECOND, Sampler,
};

/// A writer that blocks on each line until the test sends to `go` or drops the sender.
struct BlockedWriter {
    go: mpsc::Receiver<()>,
    written: mpsc::Sender<Vec<u8>>,
}

impl io::Write for BlockedWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let _ = self.go.recv();
        self.written.send(buf.to_vec()).unwrap();
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_blocked_reader_does_not_block_writers() {
    let (go, stalled) = mpsc::channel();
    let (tx, written) = mpsc::channel();
    let writer = BlockedWriter {
        go: stalled,
        written: tx,
    };
    let counts = Arc::new(Counts::default());
    let mut queue = Queue::start(writer, Arc::clone(&counts)).unwrap();
    let lines = 10 * MAX_QUEUED_LINES;
    for i in 0..lines {
        // If a write waited for the reader, the test would hang here.
        queue.write_all(format!("{i}\n").as_bytes()).unwrap();
    }
    let dropped = counts.take_dropped() as usize;
    // The writing thread may hold one line that it has taken out of the queue.
    assert!((lines - MAX_QUEUED_LINES - 1..=lines - MAX_QUEUED_LINES).contains(&dropped));
    drop(go);
    drop(queue);
    let kept: Vec<Vec<u8>> = written.iter().collect();
    assert_eq!(kept.len(), lines - dropped);
    assert_eq!(kept[0], b"0\n");
    assert_eq!(counts.take_dropped(), 0);
    counts.flush(Duration::ZERO);
}

/// Offers `rate` lines per second for `seconds` and returns the lines kept in each second. They are
/// routine lines, each of another request, unless `failed`.
fn kept(sampler: &mut Sampler, rate: u64, seconds: u64, failed: bool) -> Vec<u64> {
    let in_second = |second: u64, sampler: &mut Sampler| {
        let offered = (0..rate).filter(|i| {
            let now = Millis::new(second * 1_000 + i * 1_000 / rate);
            let decision = if failed {
                sampler.check_other(now)
            } else {
                sampler.check_routine(now, &format!("request-{second}-{i}"))
            };
            decision == Decision::Keep
        });
        offered.count() as u64
    };
    (0..seconds).map(|s| in_second(s, sampler)).collect()
}

#[test]
fn a_burst_of_routine_lines_stays_within_the_limit() {
    let mut sampler = Sampler::new();
    let first = kept(&mut sampler, ROUTINE_LINES_PER_SECOND, 2, false);
    assert_eq!(
        first, [ROUTINE_LINES_PER_SECOND; 2],
        "nothing is sampled out at the limit"
    );
    let burst = kept(&mut sampler, 50_000, 5, false);
    // In the first second the level rises step by step; each step lets half the limit through.
    assert!(burst[0] <= 6 * ROUTINE_LINES_PER_SECOND, "{burst:?}");
    assert!(
        burst[1..]
            .iter()
            .all(|n| *n <= 2 * ROUTINE_LINES_PER_SECOND),
        "{burst:?}"
    );
    assert!(
        burst.iter().all(|n| *n >= ROUTINE_LINES_PER_SECOND / 4),
        "{burst:?}"
    );
    kept(&mut sampler, ROUTINE_LINES_PER_SECOND, 2, false);
    assert_eq!(sampler.one_in(), 1, "sampling ends with the burst");
}

#[test]
fn failures_are_kept_up_to_their_own_limit() {
    let mut sampler = Sampler::new();
    kept(&mut sampler, 50_000, 3, false);
    let failures = kept(&mut sampler, MAX_OTHER_LINES_PER_SECOND, 3, true);
    assert_eq!(
        failures, [MAX_OTHER_LINES_PER_SECOND; 3],
        "routine lines do not count against the limit of others"
    );
    let burst = kept(&mut sampler, 20_000, 3, true);
    assert_eq!(burst, [MAX_OTHER_LINES_PER_SECOND; 3]);
}

#[test]
fn processes_at_different_levels_keep_the_same_requests() {
    let (mut busy, mut busier) = (Sampler::new(), Sampler::new());
    kept(&mut busy, 2_000, 3, false);
    kept(&mut busier, 20_000, 3, false);
    assert!(1 < busy.one_in() && busy.one_in() < busier.one_in());
    let now = Millis::new(2_999);
    let names: Vec<String> = (0..5_000).map(|i| format!("shared-{i}")).collect();
    let keeps =
        |sampler: &mut Sampler, name: &str| sampler.check_routine(now, name) == Decision::Keep;
    let mut both = 0;
    for name in &names[..ROUTINE_LINES_PER_SECOND as usize] {
        let (one, other) = (keeps(&mut busy, name), keeps(&mut busier, name));
        assert!(
            one || !other,
            "{name} is kept at the higher level but not at the lower one"
        );
        both += u64::from(one && other);
    }
    assert!(both > 0);
}
