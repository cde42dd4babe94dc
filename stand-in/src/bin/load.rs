//! The program `buckthorncleat-load`: seeded callers against running gateways.

use std::fs;
use std::path;
use std::process;
use std::sync;

use clap::Parser as _;
use stand_in::load::arrival;
use stand_in::load::plan;
use stand_in::load::plot;
use stand_in::load::report;
use stand_in::load::run;

/// Seeded open-loop callers; docs/LOAD.md describes plans and figures.
#[derive(Debug, clap::Parser)]
#[command(version)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, clap::Subcommand)]
enum Command {
    /// Runs one plan against running gateways.
    Run(Run),
}

#[derive(Debug, clap::Args)]
struct Run {
    /// Plan file, in JSON.
    #[arg(long)]
    plan: path::PathBuf,
    /// File for the figures; without it they go to standard output.
    #[arg(long)]
    out: Option<path::PathBuf>,
    /// File for a plot of the latencies, in SVG.
    #[arg(long)]
    plot: Option<path::PathBuf>,
}

#[tokio::main]
async fn main() -> process::ExitCode {
    env_logger::init();
    let result = match Args::parse().command {
        Command::Run(args) => run_plan(&args).await,
    };
    match result {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            process::ExitCode::FAILURE
        }
    }
}

async fn run_plan(args: &Run) -> buckthorncleat::Result<()> {
    let plan = sync::Arc::new(plan::Plan::from_file(&args.plan)?);
    let calls = arrival::draw(&plan).len() as u64;
    let bar = indicatif::ProgressBar::new(calls);
    let report = run::run(&plan, |_| bar.inc(1)).await;
    bar.finish_and_clear();
    if let Some(path) = &args.plot {
        plot_latencies(path, &report)?;
    }
    write_json(args.out.as_deref(), &report)
}

fn plot_latencies(path: &path::Path, report: &report::Report) -> buckthorncleat::Result<()> {
    let line = |name: &str, p: report::Percentiles| plot::Line {
        name: name.to_owned(),
        points: vec![(50.0, p.p50), (90.0, p.p90), (99.0, p.p99), (100.0, p.max)],
    };
    let lines = [
        line("first token", report.chats.first_token),
        line("between tokens", report.chats.between_tokens),
        line("plain call", report.plain.time),
    ];
    let labels = plot::Labels {
        title: "Latencies",
        x: "percentile",
        y: "ms",
        positions: &[],
    };
    plot::draw(path, labels, &lines)
}

fn write_json<T: serde::Serialize>(
    path: Option<&path::Path>,
    value: &T,
) -> buckthorncleat::Result<()> {
    let text = serde_json::to_string_pretty(value).expect("figures are plain data");
    let Some(path) = path else {
        println!("{text}");
        return Ok(());
    };
    fs::write(path, text).map_err(|e| {
        buckthorncleat::Error::io(format!("write the figures to {}", path.display()), e)
    })
}
