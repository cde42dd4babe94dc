//! Logs in JSON lines: simple ones on standard error, structured ones on standard output.

pub mod queue;
pub mod sample;

mod structured;

pub use sample::ROUTINE;
pub use structured::flush;
pub use structured::init_structured;

use std::io;
use std::io::Write as _;

use env_logger::fmt;

use crate::clock;
use crate::macros;

macros::data! {
    /// One line of the simple log.
    pub struct Line {
        /// The wall-clock time, in milliseconds since 1970.
        pub ts: u64,
        /// The level, such as `INFO`.
        pub level: String,
        /// The module that wrote the line.
        pub target: String,
        pub msg: String,
    }
}

/// Installs the simple logger. `RUST_LOG` sets the level, `info` when it is not set.
pub fn init() {
    // After a second call, as in tests, the first logger stays.
    let _ = builder().format(write_line).try_init();
}

fn builder() -> env_logger::Builder {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
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
