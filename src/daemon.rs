//! Start-up and shutdown that all daemons share: settings, logs, metrics, signals and exit codes.

use std::path;
use std::process;

use metrics_exporter_prometheus as prometheus;
use tokio::signal::unix;
use tokio::sync::watch;
use tokio::task;

use crate::clock;
use crate::error;
use crate::logging;

/// The command-line arguments of a daemon.
#[derive(clap::Args, Clone, Debug)]
pub struct Args {
    /// The settings file, in JSON.
    #[arg(long)]
    pub config: path::PathBuf,
    /// Check the settings and exit; exit code 2 if they are invalid.
    #[arg(long)]
    pub check: bool,
}

/// The exit code of a daemon whose settings are invalid.
const BAD_SETTINGS_EXIT_CODE: u8 = 2;

/// How long the process waits for blocking calls when it ends.
pub const RUNTIME_STOP_TIMEOUT: clock::Millis = clock::Millis::new(500);

/// Runs a daemon until it ends by itself, or until SIGTERM or SIGINT asks it to stop.
///
/// The receiver passed to `run` becomes true when the daemon is to stop. With `check`, only checks
/// the settings and does not call `run`.
pub fn main<S, F>(
    settings: error::Result<S>,
    check: bool,
    run: impl FnOnce(S, prometheus::PrometheusHandle, watch::Receiver<bool>) -> F,
) -> process::ExitCode
where
    F: Future<Output = error::Result<()>>,
{
    logging::init();
    let settings = match settings_or_exit(settings, check) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    match start(settings, run) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            process::ExitCode::FAILURE
        }
    }
}

/// Returns the settings to run with, or the exit code if the process is to exit at once.
///
/// # Errors
///
/// Returns success after printing `ok` if the settings were only to be checked, and exit code 2
/// after printing the reason if they are invalid.
pub fn settings_or_exit<S>(
    settings: error::Result<S>,
    check: bool,
) -> Result<S, process::ExitCode> {
    match settings {
        Ok(_) if check => {
            println!("ok");
            Err(process::ExitCode::SUCCESS)
        }
        Ok(settings) => Ok(settings),
        Err(e) => {
            eprintln!("{e}");
            Err(process::ExitCode::from(BAD_SETTINGS_EXIT_CODE))
        }
    }
}

/// Installs the metrics recorder of the process.
///
/// # Errors
///
/// Fails if the process has a recorder already.
pub fn record_metrics() -> error::Result<prometheus::PrometheusHandle> {
    prometheus::PrometheusBuilder::new()
        .install_recorder()
        .map_err(|e| error::Error::bad_value("metrics", e, "start one daemon in a process"))
}

/// Aborts a background task and waits until it has ended.
pub async fn abort_task<T>(task: task::JoinHandle<T>) {
    task.abort();
    // The result of an aborted task is always a cancellation error.
    let _ = task.await;
}

/// Returns the result of a task that was joined.
///
/// # Errors
///
/// Returns the task's own error, or an error that reports its panic.
pub fn task_result(joined: Result<error::Result<()>, task::JoinError>) -> error::Result<()> {
    joined.unwrap_or_else(|e| {
        let remedy = "report this fault with the logs of all instances";
        Err(error::Error::damaged(format!("a task: {e}"), remedy))
    })
}

fn start<S, F>(
    settings: S,
    run: impl FnOnce(S, prometheus::PrometheusHandle, watch::Receiver<bool>) -> F,
) -> error::Result<()>
where
    F: Future<Output = error::Result<()>>,
{
    let metrics = record_metrics()?;
    let runtime =
        tokio::runtime::Runtime::new().map_err(|e| error::Error::io("starting the runtime", e))?;
    let result = runtime.block_on(async {
        let (tx, stop) = watch::channel(false);
        let signals = tokio::spawn(stop_on_signal(tx));
        let result = run(settings, metrics, stop).await;
        abort_task(signals).await;
        result
    });
    // Dropping the runtime would wait for blocking calls, such as those of a stalled disk.
    runtime.shutdown_timeout(RUNTIME_STOP_TIMEOUT.as_duration());
    result
}

/// Sets `stop` to true at the first SIGTERM or SIGINT.
///
/// Never returns after that, so that the sender lives on and receivers keep reading true.
async fn stop_on_signal(stop: watch::Sender<bool>) -> std::io::Result<()> {
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    stop.send_replace(true);
    std::future::pending().await
}
