//! The structured logger: limits the lines per second and never blocks on the reader of the log.

use std::fmt::Write as _;
use std::io;
use std::io::Write as _;
use std::sync;
use std::time;

use env_logger::fmt;
use log::Log;
use log::kv;

use crate::clock;
use crate::event;
use crate::logging;
use crate::logging::queue;
use crate::logging::sample;

/// The longest wait for the last lines when a process ends.
const FLUSH_TIMEOUT: time::Duration = time::Duration::from_millis(300);

static COUNTS: sync::OnceLock<sync::Arc<queue::Counts>> = sync::OnceLock::new();

/// Installs the logger that writes JSON lines with typed fields to standard output.
///
/// The lines carry the recorder's instance and clock, so that lines of several processes can be
/// merged in causal order. If the writing thread can't be started, logs go to standard error
/// instead.
pub fn init_structured(recorder: sync::Arc<event::Recorder>) {
    let counts = sync::Arc::new(queue::Counts::default());
    let queue = match queue::Queue::start(io::stdout(), sync::Arc::clone(&counts)) {
        Ok(queue) => queue,
        Err(e) => {
            eprintln!("starting the log thread failed: {e}; logging to standard error");
            logging::init();
            return;
        }
    };
    let lines = logging::builder()
        .format(move |f, record| write_fields(&recorder, f, record))
        .target(fmt::Target::Pipe(Box::new(queue)))
        .build();
    let level = lines.filter();
    let logger = BoundedLogger {
        lines,
        counts: sync::Arc::clone(&counts),
        clock: clock::Clock::start(),
        sampler: sync::Mutex::new(sample::Sampler::new()),
    };
    // After a second call, as in tests, the first logger stays.
    if log::set_boxed_logger(Box::new(logger)).is_ok() {
        log::set_max_level(level);
        let _ = COUNTS.set(counts);
    }
}

/// Waits up to 300 ms until the queued lines are written.
pub fn flush() {
    if let Some(counts) = COUNTS.get() {
        counts.flush(FLUSH_TIMEOUT);
    }
}

struct BoundedLogger {
    lines: env_logger::Logger,
    counts: sync::Arc<queue::Counts>,
    clock: clock::Clock,
    sampler: sync::Mutex<sample::Sampler>,
}

impl BoundedLogger {
    /// Decides on a line; the second value is [`sample::Sampler::one_in`] when this line changed
    /// it.
    fn decide(&self, record: &log::Record<'_>) -> (sample::Decision, Option<u64>) {
        let now = self.clock.now();
        let mut sampler = self
            .sampler
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let before = sampler.one_in();
        let decision = if record.target() == sample::ROUTINE {
            let request = record.key_values().get("request".into());
            let request = request.as_ref().and_then(kv::Value::to_borrowed_str);
            sampler.check_routine(now, request.unwrap_or_default())
        } else {
            sampler.check_other(now)
        };
        let after = sampler.one_in();
        (decision, (after != before).then_some(after))
    }

    fn log_notice(&self, event: &str, field: &str, value: u64, msg: &str) {
        let pairs: &[(&str, kv::Value<'_>)] = &[("event", event.into()), (field, value.into())];
        self.lines.log(
            &log::Record::builder()
                .level(log::Level::Warn)
                .target("buckthorncleat")
                .key_values(&pairs)
                .args(format_args!("{msg}"))
                .build(),
        );
    }
}

impl Log for BoundedLogger {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        self.lines.enabled(metadata)
    }

    fn log(&self, record: &log::Record<'_>) {
        if !self.lines.enabled(record.metadata()) {
            return;
        }
        let (decision, one_in) = self.decide(record);
        if let Some(one_in) = one_in {
            let msg = "lines of successful requests are now kept for one request in `one_in`";
            self.log_notice("log_sampled", "one_in", one_in, msg);
        }
        match decision {
            sample::Decision::Skip => return,
            sample::Decision::Drop => return self.counts.drop_line(),
            sample::Decision::Keep => {}
        }
        let dropped = self.counts.take_dropped();
        if dropped > 0 {
            self.log_notice("log_dropped", "lines", dropped, "log lines were dropped");
        }
        self.lines.log(record);
    }

    fn flush(&self) {}
}

fn write_fields(
    recorder: &event::Recorder,
    f: &mut fmt::Formatter,
    record: &log::Record<'_>,
) -> io::Result<()> {
    let at = recorder.stamp();
    let mut line = String::with_capacity(256);
    let instance = recorder.instance().as_str();
    // Writing to a string does not fail.
    let _ = write!(
        line,
        r#"{{"ts":{},"n":{},"instance":"{instance}","level":"{}""#,
        at.wall,
        at.counter,
        record.level()
    );
    // The visitor never fails.
    let _ = record.key_values().visit(&mut Fields(&mut line));
    push_field(&mut line, "msg", &record.args().to_string());
    line.push_str("}\n");
    f.write_all(line.as_bytes())
}

struct Fields<'a>(&'a mut String);

impl<'kvs> kv::VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let key = key.as_str();
        if let Some(n) = value.to_u64() {
            push_plain(self.0, key, n);
        } else if let Some(n) = value.to_i64() {
            push_plain(self.0, key, n);
        } else if let Some(b) = value.to_bool() {
            push_plain(self.0, key, b);
        } else if let Some(text) = value.to_borrowed_str() {
            push_field(self.0, key, text);
        } else {
            push_field(self.0, key, &value.to_string());
        }
        Ok(())
    }
}

fn push_plain(line: &mut String, key: &str, value: impl std::fmt::Display) {
    let _ = write!(line, r#","{key}":{value}"#);
}

fn push_field(line: &mut String, key: &str, text: &str) {
    let _ = write!(line, r#","{key}":{}"#, serde_json::Value::from(text));
}
