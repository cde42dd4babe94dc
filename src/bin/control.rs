//! The control daemon: one member of the control group.

use std::path;
use std::process;

use buckthorncleat::config::settings;
use buckthorncleat::control;
use buckthorncleat::daemon;
use clap::Parser as _;

/// One member of the control group: the replicated log, membership and the admin interface.
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
    let settings = settings::Control::from_file(&args.config);
    daemon::main(settings, args.check, control::run)
}
