//! The gateway daemon `buckthorncleat-gateway`.

use std::process;

use buckthorncleat::config::settings;
use buckthorncleat::daemon;
use buckthorncleat::gateway;
use clap::Parser as _;

/// Answers callers and routes their requests to backend servers.
#[derive(clap::Parser, Debug)]
#[command(version)]
struct Cli {
    #[command(flatten)]
    args: daemon::Args,
}

fn main() -> process::ExitCode {
    let Cli { args } = Cli::parse();
    let settings = settings::Gateway::from_file(&args.config);
    daemon::main(settings, args.check, gateway::run)
}
