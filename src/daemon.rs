//! What the daemons' programs have in common: settings, logs, metrics, signals, exit codes.

use std::path;
use std::process;

use metrics_exporter_prometheus as prometheus;
use tokio::signal::unix;
use tokio::sync::watch;

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
    let settings = match settings {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{e}");
            return process::ExitCode::from(BAD_SETTINGS);
        }
    };
    if check {
        println!("ok");
        return process::ExitCode::SUCCESS;
    }
    match start(settings, run) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            process::ExitCode::FAILURE
        }
    }
}

fn start<S, F>(
    settings: S,
    run: impl FnOnce(S, prometheus::PrometheusHandle, watch::Receiver<bool>) -> F,
) -> error::Result<()>
where
    F: Future<Output = error::Result<()>>,
{
    let metrics = prometheus::PrometheusBuilder::new()
        .install_recorder()
        .map_err(|e| error::Error::bad_value("metrics", e, "start one daemon in a process"))?;
    let runtime =
        tokio::runtime::Runtime::new().map_err(|e| error::Error::io("starting the runtime", e))?;
    runtime.block_on(async {
        let (tx, stop) = watch::channel(false);
        let signals = tokio::spawn(stop_on_signal(tx));
        let result = run(settings, metrics, stop).await;
        signals.abort();
        // An aborted task ends with an error that says just that.
        let _ = signals.await;
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
