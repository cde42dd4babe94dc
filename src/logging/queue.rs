//! A bounded queue of log lines in front of a writer that may block.

use std::io;
use std::sync;
use std::sync::atomic;
use std::sync::mpsc;
use std::thread;
use std::time;

/// The most lines that wait for a slow reader of the log; further ones are dropped and counted. At
/// 300 bytes per line this is less than 1 % of the smallest instance's memory.
pub const MAX_QUEUED_LINES: usize = 2_048;

/// How often [`Counts::flush`] checks whether the queue is empty.
const FLUSH_POLL_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// Counts the lines of one queue that wait or were dropped.
#[derive(Debug, Default)]
pub struct Counts {
    waiting: atomic::AtomicUsize,
    dropped: atomic::AtomicU64,
}

impl Counts {
    /// Counts a line as dropped.
    pub fn drop_line(&self) {
        self.dropped.fetch_add(1, atomic::Ordering::Relaxed);
        metrics::counter!("buckthorncleat_log_dropped_total").increment(1);
    }

    /// Returns the number of lines dropped since the last call.
    pub fn take_dropped(&self) -> u64 {
        self.dropped.swap(0, atomic::Ordering::Relaxed)
    }

    /// Blocks until all queued lines are written, at most for `limit`.
    pub fn flush(&self, limit: time::Duration) {
        let end = time::Instant::now() + limit;
        while self.waiting.load(atomic::Ordering::Relaxed) > 0 && time::Instant::now() < end {
            thread::sleep(FLUSH_POLL_INTERVAL);
        }
    }
}

/// The writing end of the queue: each call of `write` queues one line and never blocks.
pub struct Queue {
    tx: mpsc::SyncSender<Vec<u8>>,
    counts: sync::Arc<Counts>,
}

impl Queue {
    /// Starts a thread that writes the lines to `writer`; it ends when the queue is dropped and all
    /// its lines are written.
    ///
    /// # Errors
    ///
    /// Fails when the thread can't be started.
    pub fn start(
        writer: impl io::Write + Send + 'static,
        counts: sync::Arc<Counts>,
    ) -> io::Result<Self> {
        let (tx, rx) = mpsc::sync_channel(MAX_QUEUED_LINES);
        let thread_counts = sync::Arc::clone(&counts);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_all(&rx, writer, &thread_counts))?;
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
        // When the output is closed, there is nowhere to report the error.
        let _ = writer.write_all(&line).and_then(|()| writer.flush());
        counts.waiting.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}
