//! The daemon `buckthorncleat-control`, one member of the control group.

use std::process;

use buckthorncleat::config::settings;
use buckthorncleat::control;
use buckthorncleat::daemon;
use clap::Parser as _;

/// One member of the control group: the replicated log, membership and the admin interface.
#[derive(clap::Parser, Debug)]
#[command(version)]
struct Cli {
    #[command(flatten)]
    args: daemon::Args,
}

fn main() -> process::ExitCode {
    let Cli { args } = Cli::parse();
    let settings = settings::Control::from_file(&args.config);
    daemon::main(settings, args.check, control::run)
}
