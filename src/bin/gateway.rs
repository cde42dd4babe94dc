//! The gateway daemon.

use std::path;
use std::process;

use buckthorncleat::config::settings;
use buckthorncleat::daemon;
use buckthorncleat::gateway;
use clap::Parser as _;

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

fn main() -> process::ExitCode {
    let args = Args::parse();
    let settings = settings::Gateway::from_file(&args.config);
    daemon::main(settings, args.check, gateway::run)
}
