//! The daemon `buckthorncleat-control`: one member of the control group.

use std::path;
use std::process;

use buckthorncleat::control;
use buckthorncleat::logging;
use clap::Parser as _;
use tokio::signal::unix;
use tokio::sync::watch;

/// One member of the control group: the replicated log, membership and the admin interface.
#[derive(Debug, clap::Parser)]
#[command(version)]
struct Arguments {
    /// The settings file, in JSON.
    #[arg(long)]
    config: path::PathBuf,
    /// Check the settings and exit.
    #[arg(long)]
    check: bool,
}

fn main() -> process::ExitCode {
    let arguments = Arguments::parse();
    logging::init();
    match run(&arguments) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("buckthorncleat-control: {e}");
            process::ExitCode::FAILURE
        }
    }
}

fn run(arguments: &Arguments) -> buckthorncleat::Result<()> {
    let settings = control::read_settings(&arguments.config)?;
    if arguments.check {
        println!("{}: no faults found", arguments.config.display());
        return Ok(());
    }
    let runtime = tokio::runtime::Runtime::new()
        .map_err(|e| buckthorncleat::Error::io("starting the runtime", e))?;
    runtime.block_on(async {
        let stop = watch::Sender::new(false);
        let signals = tokio::spawn(stop_on_signal(stop.clone()));
        let result = control::run(settings, stop).await;
        signals.abort();
        // An aborted task ends with an error that says just that.
        let _ = signals.await;
        result
    })
}

async fn stop_on_signal(stop: watch::Sender<bool>) -> std::io::Result<()> {
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => (),
        _ = interrupt.recv() => (),
    }
    stop.send_replace(true);
    Ok(())
}
