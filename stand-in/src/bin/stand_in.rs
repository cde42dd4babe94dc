//! The program `buckthorncleat-stand-in`: stand-ins for tests and the demo.

use std::net;
use std::process;

use clap::Parser as _;
use stand_in::engine;
use stand_in::plain;
use stand_in::platform;
use stand_in::shutdown;
use stand_in::weights;
use stand_in::wire;

/// Stand-ins for the services that buckthorncleat works with; for tests and the demo only.
#[derive(Debug, clap::Parser)]
#[command(version)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, clap::Subcommand)]
enum Command {
    /// A model engine; docs/ENGINES.md describes its interface and costs.
    Engine {
        /// Address to listen on, as `IP:port`.
        #[arg(long)]
        listen: net::SocketAddr,
        #[command(flatten)]
        settings: engine::settings::Settings,
    },
    /// A plain service that counts how often each order ran.
    Plain {
        /// Address to listen on, as `IP:port`.
        #[arg(long)]
        listen: net::SocketAddr,
        #[command(flatten)]
        settings: plain::Settings,
    },
    /// The platform's list of instances, which shows changes late.
    Platform {
        /// Address to listen on, as `IP:port`.
        #[arg(long)]
        listen: net::SocketAddr,
        #[command(flatten)]
        settings: platform::Settings,
    },
    /// A rate-limited store of model weights.
    Weights {
        /// Address to listen on, as `IP:port`.
        #[arg(long)]
        listen: net::SocketAddr,
        #[command(flatten)]
        settings: weights::Settings,
    },
    /// A TCP relay that can drop, delay and rate-limit the bytes it forwards, and cut connections.
    Wire {
        /// Address to listen on, as `IP:port`.
        #[arg(long)]
        listen: net::SocketAddr,
        #[command(flatten)]
        settings: wire::Settings,
    },
}

#[tokio::main]
async fn main() -> process::ExitCode {
    env_logger::init();
    let args = Args::parse();
    let (stop, signals) = shutdown::on_signal();
    let result = match args.command {
        Command::Engine { listen, settings } => engine::server::run(listen, settings, stop).await,
        Command::Plain { listen, settings } => plain::run(listen, settings, stop).await,
        Command::Platform { listen, settings } => platform::run(listen, settings, stop).await,
        Command::Weights { listen, settings } => weights::run(listen, settings, stop).await,
        Command::Wire { listen, settings } => wire::run(listen, settings, stop).await,
    };
    signals.abort();
    let _ = signals.await;
    match result {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            process::ExitCode::FAILURE
        }
    }
}
