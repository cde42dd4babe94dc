//! The gateway daemon.

use std::path;
use std::process;

use buckthorncleat::config::settings;
use buckthorncleat::gateway;
use buckthorncleat::logging;
use buckthorncleat::shutdown;
use clap::Parser as _;
use metrics_exporter_prometheus as prometheus;

/// The exit code for settings that are not usable.
const BAD_SETTINGS: u8 = 2;

/// Answers callers and routes their requests to backend servers.
#[derive(clap::Parser, Debug)]
#[command(version)]
struct Args {
    /// The settings file, in JSON.
    #[arg(long)]
    config: path::PathBuf,
    /// Checks the settings and ends.
    #[arg(long)]
    check: bool,
}

#[tokio::main]
async fn main() -> process::ExitCode {
    let args = Args::parse();
    logging::init();
    let settings = match settings::Gateway::from_file(&args.config) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{e}");
            return process::ExitCode::from(BAD_SETTINGS);
        }
    };
    if args.check {
        println!("ok");
        return process::ExitCode::SUCCESS;
    }
    let metrics = match prometheus::PrometheusBuilder::new().install_recorder() {
        Ok(metrics) => metrics,
        Err(e) => {
            eprintln!("metrics: {e}");
            return process::ExitCode::FAILURE;
        }
    };
    match gateway::run(settings, metrics, shutdown::signalled()).await {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            process::ExitCode::FAILURE
        }
    }
}
