//! Runs several policies in several cases with the same arrivals, one run at a time.

use std::fmt::Write as _;
use std::path;
use std::sync;

use buckthorncleat::clock;
use buckthorncleat::unit;
use tokio::time;

use crate::load::case;
use crate::load::cluster;
use crate::load::plan;
use crate::load::plot;
use crate::load::policy;
use crate::load::report;
use crate::load::run;

/// Accounts and their parts of the traffic. A few are large.
const ACCOUNTS: [(&str, f64); 5] = [
    ("large-1", 4.0),
    ("large-2", 3.0),
    ("small-1", 1.0),
    ("small-2", 1.0),
    ("small-3", 1.0),
];

/// Settings of a comparison.
#[derive(Clone, Debug)]
pub struct Comparison {
    pub policies: Vec<policy::Policy>,
    pub cases: Vec<case::Case>,
    pub seeds: Vec<u64>,
    /// Period in which calls are sent in each run.
    pub duration: clock::Millis,
    /// Period at the start of each run whose calls are not counted.
    pub warm_up: clock::Millis,
    /// Number of processes in each run.
    pub size: cluster::Size,
    /// Engine costs from which the capacity is computed.
    pub engine: crate::engine::settings::Settings,
}

/// Result of one run.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Run {
    pub policy: policy::Policy,
    pub case: case::Case,
    pub report: report::Report,
}

impl Comparison {
    /// Returns the runs to make, in order: by seed, then by case, then by policy. The order of
    /// the policies rotates by one place with each seed.
    pub fn order(&self) -> Vec<(u64, case::Case, policy::Policy)> {
        let mut order = Vec::new();
        for (rotation, seed) in self.seeds.iter().enumerate() {
            for case in &self.cases {
                for i in 0..self.policies.len() {
                    let policy = self.policies[(i + rotation) % self.policies.len()];
                    order.push((*seed, *case, policy));
                }
            }
        }
        order
    }

    /// Makes one run, whose settings and logs go to an empty folder.
    ///
    /// # Errors
    ///
    /// Returns an error if the processes can't be started or ended, or the fault can't be injected.
    pub async fn run(
        &self,
        folder: &path::Path,
        (seed, case, policy): (u64, case::Case, policy::Policy),
    ) -> buckthorncleat::Result<Run> {
        let mut plan = self.plan(seed, case);
        let mut cluster = cluster::Cluster::start(folder, self.size, policy, &mut plan).await?;
        let fault_at = time::Instant::now() + self.fault_delay().as_duration();
        let inject_fault = async {
            time::sleep_until(fault_at).await;
            case.inject_fault(&mut cluster).await
        };
        let plan = sync::Arc::new(plan);
        let (report, fault_injected) = tokio::join!(run::run(&plan, |_| ()), inject_fault);
        fault_injected?;
        log::info!("all calls of the run with seed {seed} have ended; stopping its processes");
        cluster.end()?;
        Ok(Run {
            policy,
            case,
            report,
        })
    }

    /// Returns when the fault of a case is injected: after a third of the counted time.
    fn fault_delay(&self) -> clock::Millis {
        let counted = self.duration - self.warm_up;
        self.warm_up + clock::Millis::new(counted.as_u64() / 3)
    }

    /// Returns the plan of a run. The addresses of entries, engines and services are left empty.
    ///
    /// # Panics
    ///
    /// Panics if a constant name in the plan is not valid.
    pub fn plan(&self, seed: u64, case: case::Case) -> plan::Plan {
        let mut plan = plan::Plan {
            entries: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            accounts: ACCOUNTS
                .iter()
                .map(|(id, share)| account(id, *share))
                .collect(),
            model: plan::Model {
                id: "sosej".parse().expect("a constant name is valid"),
                first_token_ms: clock::Millis::new(3_000),
                between_tokens_ms: clock::Millis::new(30),
            },
            traffic: plan::Traffic {
                seed,
                duration_ms: self.duration,
                warm_up_ms: self.warm_up,
                ..plan::Traffic::default()
            },
        };
        let (prefill, decode) = (self.size.prefill, self.size.decode);
        let capacity = case::capacity(&plan.traffic, &self.engine, prefill, decode);
        case.configure(&mut plan, capacity);
        plan
    }
}

fn account(id: &str, share: f64) -> plan::Account {
    plan::Account {
        id: id.parse().expect("a constant name is valid"),
        key: format!("load-tool-key-of-{id}"),
        rate: unit::TokensPerSecond::new(0),
        burst: unit::Tokens::new(0),
        weight: share as u32,
        share,
        surge: None,
    }
}

/// Median, minimum and maximum of a figure over several runs.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Spread {
    /// For an even number of runs, the lower of the two middle values.
    pub median: f64,
    pub min: f64,
    pub max: f64,
}

impl Spread {
    /// Computes the spread of `figures`.
    ///
    /// # Panics
    ///
    /// Panics if `figures` is empty.
    pub fn new(mut figures: Vec<f64>) -> Self {
        figures.sort_by(f64::total_cmp);
        let last = figures
            .len()
            .checked_sub(1)
            .expect("there is at least one figure");
        Self {
            median: figures[last / 2],
            min: figures[0],
            max: figures[last],
        }
    }
}

/// Figures of one policy in one case, over all runs.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Row {
    pub case: case::Case,
    pub policy: policy::Policy,
    /// Chats per second within both latency targets.
    pub goodput: Spread,
    /// Part of the prefill work that was wasted, from 0 to 1.
    pub wasted: Spread,
    /// Part of its fair share that the worst-served account got.
    pub worst_served: Spread,
    /// Calls within the limits that were refused for the limit, over all calls within the limits.
    pub wrongful: Spread,
    /// Calls within the limits that were refused for any reason, over all calls within the limits.
    pub refused_within: Spread,
    /// 99th percentile of the time to the first token, in milliseconds.
    pub first_token_p99: Spread,
    /// Number of calls with a wrong or incomplete answer, without a reachable entry, or timed out.
    pub failed: Spread,
}

/// Summarises the runs of each policy in each case.
pub fn rows(runs: &[Run]) -> Vec<Row> {
    let mut rows = Vec::new();
    for case in case::Case::ALL {
        for policy in policy::Policy::ALL {
            let same = |r: &&Run| r.case == case && r.policy == policy;
            let reports: Vec<_> = runs.iter().filter(same).map(|r| &r.report).collect();
            if !reports.is_empty() {
                rows.push(row(case, policy, &reports));
            }
        }
    }
    rows
}

fn row(case: case::Case, policy: policy::Policy, reports: &[&report::Report]) -> Row {
    let spread = |of: fn(&report::Report) -> f64| {
        Spread::new(reports.iter().map(|report| of(report)).collect())
    };
    Row {
        case,
        policy,
        goodput: spread(|r| r.chats.goodput),
        wasted: spread(|r| r.wasted_prefill),
        worst_served: spread(|r| r.worst_served),
        wrongful: spread(|r| r.wrongful_refusals),
        refused_within: spread(|r| r.refused_within_limits),
        first_token_p99: spread(|r| r.chats.first_token.p99),
        failed: spread(|r| (r.wrong + r.broken + r.unreachable + r.timed_out) as f64),
    }
}

/// Renders rows as a Markdown table. Cells show the median, and minimum and maximum in brackets.
pub fn table(rows: &[Row]) -> String {
    let mut text = String::from(
        "| case | policy | goodput /s | wasted prefill % | worst served | wrongful refusals % \
         | refused within limits % | first token p99 ms | failed |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for row in rows {
        let cells = [
            cell(row.goodput, 1.0, 1),
            cell(row.wasted, 100.0, 1),
            cell(row.worst_served, 1.0, 2),
            cell(row.wrongful, 100.0, 2),
            cell(row.refused_within, 100.0, 1),
            cell(row.first_token_p99, 1.0, 0),
            cell(row.failed, 1.0, 0),
        ];
        let (case, policy) = (row.case.name(), row.policy.name());
        let cells = cells.join(" | ");
        writeln!(text, "| {case} | {policy} | {cells} |").expect("writing to a string can't fail");
    }
    text
}

fn cell(spread: Spread, factor: f64, digits: usize) -> String {
    let Spread { median, min, max } = spread;
    let [median, min, max] = [median, min, max].map(|v| format!("{:.digits$}", v * factor));
    format!("{median} ({min}–{max})")
}

/// Plots the median goodput of each policy over the cases as an SVG file.
///
/// # Errors
///
/// Returns an error if the file can't be written.
pub fn draw(path: &path::Path, rows: &[Row]) -> buckthorncleat::Result<()> {
    let mut cases: Vec<case::Case> = rows.iter().map(|r| r.case).collect();
    cases.dedup();
    let names: Vec<String> = cases.iter().map(|c| c.name().to_owned()).collect();
    let position = |row: &Row| cases.iter().position(|c| *c == row.case).unwrap_or(0) as f64;
    let line = |policy: policy::Policy| plot::Line {
        name: policy.name().to_owned(),
        points: rows
            .iter()
            .filter(|row| row.policy == policy)
            .map(|row| (position(row), row.goodput.median))
            .collect(),
    };
    let lines: Vec<_> = policy::Policy::ALL.into_iter().map(line).collect();
    let drawn: Vec<_> = lines.into_iter().filter(|l| !l.points.is_empty()).collect();
    let labels = plot::Labels {
        title: "Goodput under both latency targets, median over seeds",
        x: "case",
        y: "chats a second",
        positions: &names,
    };
    plot::draw(path, labels, &drawn)
}
