//! Logs as JSON lines: plain ones on standard error, structured ones on standard output.

use std::io;
use std::io::Write as _;
use std::sync::atomic;
use std::sync::mpsc;
use std::thread;
use std::time;

use env_logger::fmt;
use log::kv;

use crate::clock;
use crate::macros;

macros::data! {
    /// One line of the log.
    pub struct Line {
        /// Milliseconds since 1970.
        pub ts: u64,
        /// The level, such as `INFO`.
        pub level: String,
        /// The module that logs.
        pub target: String,
        /// The message.
        pub msg: String,
    }
}

/// Starts logging; `RUST_LOG` sets the level, `info` when it is not set.
pub fn init() {
    let env = env_logger::Env::default().default_filter_or("info");
    let mut builder = env_logger::Builder::from_env(env);
    // A second call, as in tests, keeps the first logger.
    let _ = builder.format(write_line).try_init();
}

fn write_line(f: &mut fmt::Formatter, record: &log::Record<'_>) -> io::Result<()> {
    let line = Line {
        ts: clock::wall_millis(),
        level: record.level().to_string(),
        target: record.target().to_owned(),
        msg: record.args().to_string(),
    };
    serde_json::to_writer(&mut *f, &line)?;
    writeln!(f)
}

/// The lines that wait for a slow reader of standard output; more are dropped and counted.
const QUEUE_LINES: usize = 2_048;

/// How long the end of a process waits for its last lines.
const FLUSH_LIMIT: time::Duration = time::Duration::from_millis(300);

static WAITING: atomic::AtomicUsize = atomic::AtomicUsize::new(0);

/// Starts logging as JSON lines with typed fields on standard output, through a bounded queue, so
/// that a reader that stalls holds nothing up.
pub fn init_structured() {
    let env = env_logger::Env::default().default_filter_or("info");
    let mut builder = env_logger::Builder::from_env(env);
    let (tx, rx) = mpsc::sync_channel(QUEUE_LINES);
    let written = thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_queued(&rx));
    if let Err(e) = written {
        eprintln!("no thread for the log: {e}; it goes to standard error");
        init();
        return;
    }
    let queue = Queue { tx, dropped: 0 };
    // A second call, as in tests, keeps the first logger.
    let _ = builder
        .format(write_fields)
        .target(fmt::Target::Pipe(Box::new(queue)))
        .try_init();
}

/// Waits a moment for the lines that are queued.
pub fn flush() {
    let end = time::Instant::now() + FLUSH_LIMIT;
    while WAITING.load(atomic::Ordering::Relaxed) > 0 && time::Instant::now() < end {
        thread::sleep(time::Duration::from_millis(5));
    }
}

struct Queue {
    tx: mpsc::SyncSender<Vec<u8>>,
    dropped: u64,
}

impl io::Write for Queue {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let mut line = buf.to_vec();
        if self.dropped > 0 {
            let note = format!(
                "{{\"ts\":{},\"level\":\"WARN\",\"event\":\"log_dropped\",\"lines\":{}}}\n",
                clock::wall_millis(),
                self.dropped
            );
            line.splice(0..0, note.into_bytes());
        }
        WAITING.fetch_add(1, atomic::Ordering::Relaxed);
        if self.tx.try_send(line).is_ok() {
            self.dropped = 0;
        } else {
            WAITING.fetch_sub(1, atomic::Ordering::Relaxed);
            self.dropped += 1;
            metrics::counter!("buckthorncleat_log_dropped_total").increment(1);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_queued(rx: &mpsc::Receiver<Vec<u8>>) {
    while let Ok(line) = rx.recv() {
        // Nobody is left to tell when standard output is gone.
        let _ = io::stdout().lock().write_all(&line);
        WAITING.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

fn write_fields(f: &mut fmt::Formatter, record: &log::Record<'_>) -> io::Result<()> {
    let mut fields = serde_json::Map::new();
    fields.insert("ts".to_owned(), clock::wall_millis().into());
    fields.insert("level".to_owned(), record.level().as_str().into());
    let mut visitor = Fields(&mut fields);
    // The visitor itself never fails.
    let _ = record.key_values().visit(&mut visitor);
    fields.insert("msg".to_owned(), record.args().to_string().into());
    serde_json::to_writer(&mut *f, &fields)?;
    writeln!(f)
}

struct Fields<'a>(&'a mut serde_json::Map<String, serde_json::Value>);

impl<'kvs> kv::VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let json = if let Some(n) = value.to_u64() {
            n.into()
        } else if let Some(b) = value.to_bool() {
            b.into()
        } else {
            value.to_string().into()
        };
        self.0.insert(key.as_str().to_owned(), json);
        Ok(())
    }
}
