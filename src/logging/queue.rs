//! A bounded queue of log lines before a writer that may stall.

use std::io;
use std::sync;
use std::sync::atomic;
use std::sync::mpsc;
use std::thread;
use std::time;

/// The lines that wait for a slow reader; more are dropped and counted. At 300 bytes a line that is
/// less than a hundredth of the smallest instance's memory.
pub const QUEUE_LINES: usize = 2_048;

/// The pause between two looks whether the queue is empty.
const FLUSH_PAUSE: time::Duration = time::Duration::from_millis(5);

/// What becomes of the lines of one queue.
#[derive(Debug, Default)]
pub struct Counts {
    waiting: atomic::AtomicUsize,
    dropped: atomic::AtomicU64,
}

impl Counts {
    /// Counts a line that is not written.
    pub fn drop_line(&self) {
        self.dropped.fetch_add(1, atomic::Ordering::Relaxed);
        metrics::counter!("buckthorncleat_log_dropped_total").increment(1);
    }

    /// Returns the lines dropped since the last call.
    pub fn take_dropped(&self) -> u64 {
        self.dropped.swap(0, atomic::Ordering::Relaxed)
    }

    /// Waits until all lines are written, at most for `limit`.
    pub fn flush(&self, limit: time::Duration) {
        let end = time::Instant::now() + limit;
        while self.waiting.load(atomic::Ordering::Relaxed) > 0 && time::Instant::now() < end {
            thread::sleep(FLUSH_PAUSE);
        }
    }
}

/// The sending end: each call of `write` is one line, and none waits.
pub struct Queue {
    tx: mpsc::SyncSender<Vec<u8>>,
    counts: sync::Arc<Counts>,
}

impl Queue {
    /// Starts a thread that writes the lines to `writer`; it ends when the queue is dropped and
    /// written.
    ///
    /// # Errors
    ///
    /// Fails when no thread can be started.
    pub fn start(
        writer: impl io::Write + Send + 'static,
        counts: sync::Arc<Counts>,
    ) -> io::Result<Self> {
        let (tx, rx) = mpsc::sync_channel(QUEUE_LINES);
        let written = sync::Arc::clone(&counts);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_all(&rx, writer, &written))?;
        Ok(Self { tx, counts })
    }
}

impl io::Write for Queue {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.counts.waiting.fetch_add(1, atomic::Ordering::Relaxed);
        if self.tx.try_send(buf.to_vec()).is_err() {
            self.counts.waiting.fetch_sub(1, atomic::Ordering::Relaxed);
            self.counts.drop_line();
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_all(rx: &mpsc::Receiver<Vec<u8>>, mut writer: impl io::Write, counts: &Counts) {
    while let Ok(line) = rx.recv() {
        // Nobody is left to tell when the output is gone.
        let _ = writer.write_all(&line).and_then(|()| writer.flush());
        counts.waiting.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}
