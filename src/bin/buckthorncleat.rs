//! The command-line tool of the operators.

use std::process;

use buckthorncleat::cli;
use clap::Parser as _;

#[tokio::main(flavor = "current_thread")]
async fn main() -> process::ExitCode {
    cli::run(cli::args::Cli::parse()).await
}
