//! What the daemons' programs have in common: settings, logs, metrics, signals, exit codes.

use std::path;
use std::process;

use metrics_exporter_prometheus as prometheus;
use tokio::signal::unix;
use tokio::sync::watch;
use tokio::task;

use crate::error;
use crate::logging;

/// The arguments of a daemon.
#[derive(clap::Args, Clone, Debug)]
pub struct Args {
    /// The settings file, in JSON.
    #[arg(long)]
    pub config: path::PathBuf,
    /// Checks the settings and ends.
    #[arg(long)]
    pub check: bool,
}

/// The exit code for settings that are not usable.
const BAD_SETTINGS: u8 = 2;

/// Runs a daemon until it ends by itself or by SIGTERM or SIGINT.
///
/// With `check`, only tells whether the settings are usable.
pub fn main<S, F>(
    settings: error::Result<S>,
    check: bool,
    run: impl FnOnce(S, prometheus::PrometheusHandle, watch::Receiver<bool>) -> F,
) -> process::ExitCode
where
    F: Future<Output = error::Result<()>>,
{
    logging::init();
    let settings = match usable(settings, check) {
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

/// Returns settings to run with, or how the process ends: they are not usable, or were only checked.
///
/// # Errors
///
/// Returns the exit code, after it has told the reason.
pub fn usable<S>(settings: error::Result<S>, check: bool) -> Result<S, process::ExitCode> {
    match settings {
        Ok(_) if check => {
            println!("ok");
            Err(process::ExitCode::SUCCESS)
        }
        Ok(settings) => Ok(settings),
        Err(e) => {
            eprintln!("{e}");
            Err(process::ExitCode::from(BAD_SETTINGS))
        }
    }
}

/// Begins to record the metrics of the process.
///
/// # Errors
///
/// Fails when the process records them already.
pub fn record_metrics() -> error::Result<prometheus::PrometheusHandle> {
    prometheus::PrometheusBuilder::new()
        .install_recorder()
        .map_err(|e| error::Error::bad_value("metrics", e, "start one daemon in a process"))
}

/// Ends a task that runs beside a daemon.
pub async fn end_task<T>(task: task::JoinHandle<T>) {
    task.abort();
    // An aborted task ends with an error that says just that.
    let _ = task.await;
}

/// Returns how a task of a daemon ended; one that panicked is a fault of the program.
///
/// # Errors
///
/// Returns the task's own error, or reports the panic.
pub fn joined(ended: Result<error::Result<()>, task::JoinError>) -> error::Result<()> {
    ended.unwrap_or_else(|e| {
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
    runtime.block_on(async {
        let (tx, stop) = watch::channel(false);
        let signals = tokio::spawn(stop_on_signal(tx));
        let result = run(settings, metrics, stop).await;
        end_task(signals).await;
        result
    })
}

/// Turns `stop` true at the first signal, and keeps it so.
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
