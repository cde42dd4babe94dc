//! The program `buckthorncleat-load`: sends seeded, open-loop traffic to running gateways.

use std::fs;
use std::path;
use std::process;
use std::sync;

use buckthorncleat::clock;
use clap::Parser as _;
use stand_in::engine::settings;
use stand_in::load::arrival;
use stand_in::load::case;
use stand_in::load::cluster;
use stand_in::load::compare;
use stand_in::load::plan;
use stand_in::load::plot;
use stand_in::load::policy;
use stand_in::load::report;
use stand_in::load::run;
use stand_in::load::soak;
use stand_in::shutdown;
use tokio::sync::watch;

/// Seeded open-loop load generator; docs/LOAD.md describes plans and figures.
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
    /// Starts its own deployments on loopback and compares policies in several cases.
    Compare(Compare),
    /// Injects faults into its own deployment while callers and operators keep working.
    Soak(Soak),
}

#[derive(Debug, clap::Args)]
struct Soak {
    /// The seed of arrivals and faults.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Period in which calls are sent, in milliseconds.
    #[arg(long, default_value = "60000")]
    duration_ms: clock::Millis,
    /// The policy of the gateways.
    #[arg(long, default_value = "joint-worst-served")]
    policy: policy::Policy,
    #[command(flatten)]
    size: cluster::Size,
    /// Folder for settings and logs; kept afterwards.
    #[arg(long)]
    folder: path::PathBuf,
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

#[derive(Debug, clap::Args)]
struct Compare {
    /// Policies, separated by commas; all when left out.
    #[arg(long, value_delimiter = ',')]
    policies: Vec<policy::Policy>,
    /// Cases, separated by commas; all when left out.
    #[arg(long, value_delimiter = ',')]
    cases: Vec<case::Case>,
    /// Number of seeds; the first is 1.
    #[arg(long, default_value_t = 5)]
    seeds: u64,
    /// Period in which calls are sent in each run, in milliseconds.
    #[arg(long, default_value = "20000")]
    duration_ms: clock::Millis,
    /// Period at the start of each run whose calls are not counted, in milliseconds.
    #[arg(long, default_value = "5000")]
    warm_up_ms: clock::Millis,
    #[command(flatten)]
    size: cluster::Size,
    /// Folder for settings and logs; kept afterwards.
    #[arg(long)]
    folder: path::PathBuf,
    /// File for the rows of the table, in JSON; all runs are in FOLDER/runs.json.
    #[arg(long)]
    out: Option<path::PathBuf>,
    /// File for a plot of the goodput, in SVG.
    #[arg(long)]
    plot: Option<path::PathBuf>,
}

#[tokio::main]
async fn main() -> process::ExitCode {
    env_logger::init();
    let result = match Args::parse().command {
        Command::Run(args) => run_plan(&args).await,
        Command::Compare(args) => compare_policies(args).await,
        Command::Soak(args) => soak_deployment(&args).await,
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

async fn compare_policies(args: Compare) -> buckthorncleat::Result<()> {
    let comparison = compare::Comparison {
        policies: all_if_none(args.policies, &policy::Policy::ALL),
        cases: all_if_none(args.cases, &case::Case::ALL),
        seeds: (1..=args.seeds).collect(),
        duration: args.duration_ms,
        warm_up: args.warm_up_ms,
        size: args.size,
        engine: settings::Settings::with_stated_costs(),
    };
    let (stop, signals) = shutdown::on_signal();
    let runs = make_runs(&comparison, &args.folder, stop).await;
    signals.abort();
    let _ = signals.await;
    let rows = compare::rows(&runs?);
    print!("{}", compare::table(&rows));
    if let Some(path) = &args.plot {
        compare::draw(path, &rows)?;
    }
    args.out
        .map_or(Ok(()), |path| write_json(Some(&path), &rows))
}

async fn soak_deployment(args: &Soak) -> buckthorncleat::Result<()> {
    let make =
        |e| buckthorncleat::Error::io(format!("make the folder {}", args.folder.display()), e);
    fs::create_dir_all(&args.folder).map_err(make)?;
    let soak = soak::Soak {
        seed: args.seed,
        duration: args.duration_ms,
        size: args.size,
        policy: args.policy,
    };
    let outcome = soak.run(&args.folder).await?;
    write_json(None, &outcome)?;
    if outcome.violations.is_empty() {
        return Ok(());
    }
    let remedy = "run the same seed again and read the logs in the folder";
    let what = format!(
        "the outcome of the soak run ({} violations)",
        outcome.violations.len()
    );
    Err(buckthorncleat::Error::damaged(what, remedy))
}

async fn make_runs(
    comparison: &compare::Comparison,
    folder: &path::Path,
    stop: watch::Receiver<bool>,
) -> buckthorncleat::Result<Vec<compare::Run>> {
    let order = comparison.order();
    let style = indicatif::ProgressStyle::with_template("{wide_bar} {pos}/{len} {eta} {msg}");
    let style = style.expect("a fixed template is valid");
    let bar = indicatif::ProgressBar::new(order.len() as u64).with_style(style);
    let mut runs = Vec::new();
    for (i, (seed, case, policy)) in order.into_iter().enumerate() {
        bar.set_message(format!("seed {seed} {} {}", case.name(), policy.name()));
        let run_folder = folder.join(format!("run-{i}"));
        fs::create_dir_all(&run_folder).map_err(|e| {
            buckthorncleat::Error::io(format!("make the folder {}", run_folder.display()), e)
        })?;
        // Dropping the future of a run kills its processes.
        let run = tokio::select! {
            run = comparison.run(&run_folder, (seed, case, policy)) => run?,
            () = shutdown::requested(stop.clone()) => return Err(interrupted()),
        };
        runs.push(run);
        bar.inc(1);
        write_json(Some(&folder.join("runs.json")), &runs)?;
    }
    bar.finish_and_clear();
    Ok(runs)
}

fn interrupted() -> buckthorncleat::Error {
    let doing = "compare policies";
    buckthorncleat::Error::io(doing, std::io::ErrorKind::Interrupted.into())
}

fn all_if_none<T: Copy>(given: Vec<T>, all: &[T]) -> Vec<T> {
    match given.is_empty() {
        true => all.to_vec(),
        false => given,
    }
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
