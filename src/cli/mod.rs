//! The command-line tool of the operators, `buckthorncleat`.

pub mod args;
pub mod ask;
pub mod client;
pub mod explain;
pub mod failure;
pub mod local;
pub mod output;
pub mod resource;
pub mod session;
pub mod sheet;
pub mod view;

use std::process;

/// Runs one command, prints its output or error, and returns the exit code.
pub async fn run(cli: args::Cli) -> process::ExitCode {
    let json = cli.json;
    match run_command(cli).await {
        Ok(output) => {
            if json {
                println!("{:#}", output.json);
            } else if !output.text.is_empty() {
                println!("{}", output.text);
            }
            process::ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("{e}");
            process::ExitCode::from(e.exit_code())
        }
    }
}

async fn run_command(cli: args::Cli) -> failure::Result<output::Output> {
    use args::Command;
    let connect = || session::Session::new(&cli.connection);
    match cli.command {
        Command::Check { files } => Ok(local::check(&files)?),
        Command::Secret { file } => Ok(local::make_secret(&file)?),
        Command::Token { name, file } => Ok(local::add_token(&name, &file)?),
        Command::Explain { request, files } => Ok(explain::explain(&request, &files)?),
        Command::Account(command) => resource::account(&connect()?, command).await,
        Command::Key(command) => resource::key(&connect()?, command).await,
        Command::Model(command) => resource::model(&connect()?, command).await,
        Command::Server(command) => resource::server(&connect()?, command).await,
        Command::Route(command) => resource::route(&connect()?, command).await,
        Command::Quarantine(command) => resource::quarantine(&connect()?, command).await,
        Command::Evacuation(command) => resource::evacuation(&connect()?, command).await,
        Command::Sheet(args::Sheet::Check(file)) => Ok(sheet::check(&file)?),
        Command::Sheet(args::Sheet::Diff(file)) => sheet::diff(&connect()?, &file).await,
        Command::Sheet(args::Sheet::Apply(file)) => sheet::apply(&connect()?, &file).await,
        Command::Control(command) => resource::control(&connect()?, command).await,
        Command::Member(args::Member::List) => view::members(&connect()?).await,
        Command::Status => view::status(&connect()?).await,
        Command::Audit { since } => view::audit(&connect()?, since).await,
        Command::Timeline { request, since } => {
            view::timeline(&connect()?, request, since.unwrap_or_default()).await
        }
        Command::Ask(args::Ask::Entries { entry }) => ask::entries(entry).await,
        Command::Ask(args::Ask::Chat(chat)) => ask::chat(chat).await,
        Command::Ask(args::Ask::Call(call)) => ask::call(call).await,
        Command::Drain { instance } => view::drain(&connect()?, &instance).await,
    }
}
