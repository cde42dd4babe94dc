//! Logs as JSON lines on the standard error output.

use std::io;
use std::io::Write as _;

use env_logger::fmt;

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
