//! Structured logs: one JSON object a line on standard error.

use std::io::Write as _;

use crate::clock;

#[derive(serde::Serialize)]
struct Line<'a> {
    ts_ms: u64,
    level: &'a str,
    target: &'a str,
    msg: String,
}

/// Sends the `log` records of this process to standard error as JSON lines.
///
/// `RUST_LOG` chooses what is shown; the default is `info`. A second call changes nothing.
pub fn init() {
    let env = env_logger::Env::default().default_filter_or("info");
    let _ = env_logger::Builder::from_env(env)
        .format(|buf, record| {
            let line = Line {
                ts_ms: clock::wall_millis(),
                level: record.level().as_str(),
                target: record.target(),
                msg: record.args().to_string(),
            };
            let text = serde_json::to_string(&line).unwrap_or_default();
            writeln!(buf, "{text}")
        })
        .try_init();
}
