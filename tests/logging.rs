//! The bounds on log lines: a reader that stalls, bursts, and samples that processes share.

use std::io::{self, Write as _};
use std::sync::{Arc, mpsc};
use std::time::Duration;

use buckthorncleat::clock::Millis;
use buckthorncleat::logging::queue::{Counts, QUEUE_LINES, Queue};
use buckthorncleat::logging::sample::{OTHER_LINES, ROUTINE_LINES, Sampler, Verdict};

/// A writer whose reader reads a line each time it is told to.
struct Stalled {
    go: mpsc::Receiver<()>,
    written: mpsc::Sender<Vec<u8>>,
}

impl io::Write for Stalled {
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
fn a_reader_that_stalls_holds_no_writer_up() {
    let (go, stalled) = mpsc::channel();
    let (tx, written) = mpsc::channel();
    let writer = Stalled {
        go: stalled,
        written: tx,
    };
    let counts = Arc::new(Counts::default());
    let mut queue = Queue::start(writer, Arc::clone(&counts)).unwrap();
    let lines = 10 * QUEUE_LINES;
    for i in 0..lines {
        // The test would not end if a line waited for the reader.
        queue.write_all(format!("{i}\n").as_bytes()).unwrap();
    }
    let dropped = counts.take_dropped() as usize;
    // The writing thread may have taken one line out of the queue.
    assert!((lines - QUEUE_LINES - 1..=lines - QUEUE_LINES).contains(&dropped));
    drop(go);
    drop(queue);
    let kept: Vec<Vec<u8>> = written.iter().collect();
    assert_eq!(kept.len(), lines - dropped);
    assert_eq!(kept[0], b"0\n");
    assert_eq!(counts.take_dropped(), 0);
    counts.flush(Duration::ZERO);
}

/// Offers `rate` requests a second for `seconds` and returns the lines kept in each second.
fn kept(sampler: &mut Sampler, rate: u64, seconds: u64, failed: bool) -> Vec<u64> {
    let in_second = |second: u64, sampler: &mut Sampler| {
        let offered = (0..rate).filter(|i| {
            let now = Millis::new(second * 1_000 + i * 1_000 / rate);
            let verdict = if failed {
                sampler.other(now)
            } else {
                sampler.routine(now, &format!("request-{second}-{i}"))
            };
            verdict == Verdict::Keep
        });
        offered.count() as u64
    };
    (0..seconds).map(|s| in_second(s, sampler)).collect()
}

#[test]
fn a_burst_stays_inside_the_bound() {
    let mut sampler = Sampler::new();
    let first = kept(&mut sampler, ROUTINE_LINES, 2, false);
    assert_eq!(first, [ROUTINE_LINES; 2], "nothing is sampled at the bound");
    let burst = kept(&mut sampler, 50_000, 5, false);
    // In its first second the level rises step by step, half the bound for each.
    assert!(burst[0] <= 6 * ROUTINE_LINES, "{burst:?}");
    assert!(
        burst[1..].iter().all(|n| *n <= 2 * ROUTINE_LINES),
        "{burst:?}"
    );
    assert!(burst.iter().all(|n| *n >= ROUTINE_LINES / 4), "{burst:?}");
    kept(&mut sampler, ROUTINE_LINES, 2, false);
    assert_eq!(sampler.one_in(), 1, "sampling ends with the burst");
}

#[test]
fn failures_are_kept_up_to_their_own_bound() {
    let mut sampler = Sampler::new();
    kept(&mut sampler, 50_000, 3, false);
    let failures = kept(&mut sampler, OTHER_LINES, 3, true);
    assert_eq!(
        failures, [OTHER_LINES; 3],
        "successes take nothing from them"
    );
    let burst = kept(&mut sampler, 20_000, 3, true);
    assert_eq!(burst, [OTHER_LINES; 3]);
}

#[test]
fn processes_at_different_levels_keep_the_same_requests() {
    let (mut busy, mut busier) = (Sampler::new(), Sampler::new());
    kept(&mut busy, 2_000, 3, false);
    kept(&mut busier, 20_000, 3, false);
    assert!(1 < busy.one_in() && busy.one_in() < busier.one_in());
    let now = Millis::new(2_999);
    let names: Vec<String> = (0..5_000).map(|i| format!("shared-{i}")).collect();
    let keeps = |sampler: &mut Sampler, name: &str| sampler.routine(now, name) == Verdict::Keep;
    let mut both = 0;
    for name in &names[..ROUTINE_LINES as usize] {
        let (one, other) = (keeps(&mut busy, name), keeps(&mut busier, name));
        assert!(
            one || !other,
            "{name} is only in the log of the busier process"
        );
        both += u64::from(one && other);
    }
    assert!(both > 0);
}
