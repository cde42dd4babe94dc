//! Runs several policies in several cases with the same arrivals, one after the other in turn.

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

/// The accounts and their parts of the traffic; a few are large.
const ACCOUNTS: [(&str, f64); 5] = [
    ("large-1", 4.0),
    ("large-2", 3.0),
    ("small-1", 1.0),
    ("small-2", 1.0),
    ("small-3", 1.0),
];

/// What is compared.
#[derive(Clone, Debug)]
pub struct Comparison {
    /// The policies.
    pub policies: Vec<policy::Policy>,
    /// The cases.
    pub cases: Vec<case::Case>,
    /// The seeds.
    pub seeds: Vec<u64>,
    /// How long callers arrive in each run.
    pub duration: clock::Millis,
    /// How long calls do not count at the start of each run.
    pub warm_up: clock::Millis,
    /// The processes of each run.
    pub size: cluster::Size,
    /// What engines cost, for the capacity.
    pub engine: crate::engine::settings::Settings,
}

/// One run.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Run {
    /// The policy.
    pub policy: policy::Policy,
    /// The case.
    pub case: case::Case,
    /// The figures.
    pub report: report::Report,
}

impl Comparison {
    /// Returns the runs to make: seeds outermost, policies innermost in a turning order.
    pub fn order(&self) -> Vec<(u64, case::Case, policy::Policy)> {
        let mut order = Vec::new();
        for (turn, seed) in self.seeds.iter().enumerate() {
            for case in &self.cases {
                for i in 0..self.policies.len() {
                    let policy = self.policies[(i + turn) % self.policies.len()];
                    order.push((*seed, *case, policy));
                }
            }
        }
        order
    }

    /// Makes one run in an empty folder.
    ///
    /// # Errors
    ///
    /// If the processes can't be started or ended.
    pub async fn run(
        &self,
        folder: &path::Path,
        (seed, case, policy): (u64, case::Case, policy::Policy),
    ) -> buckthorncleat::Result<Run> {
        let mut plan = self.plan(seed, case);
        let mut cluster = cluster::Cluster::start(folder, self.size, policy, &mut plan).await?;
        let strike_at = time::Instant::now() + self.strike_after().as_duration();
        let strike = async {
            time::sleep_until(strike_at).await;
            case.strike(&mut cluster).await
        };
        let plan = sync::Arc::new(plan);
        let (report, struck) = tokio::join!(run::run(&plan, |_| ()), strike);
        struck?;
        log::info!("the calls of seed {seed} ended");
        cluster.end()?;
        Ok(Run {
            policy,
            case,
            report,
        })
    }

    /// Returns when a case strikes: at a third of the time that counts.
    fn strike_after(&self) -> clock::Millis {
        let counted = self.duration - self.warm_up;
        self.warm_up + clock::Millis::new(counted.as_u64() / 3)
    }

    /// Returns the plan of a run, without addresses.
    ///
    /// # Panics
    ///
    /// Panics if a fixed name in the plan is not valid.
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
                id: "sosej".parse().expect("a fixed name is valid"),
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
        case.shape(&mut plan, capacity);
        plan
    }
}

fn account(id: &str, share: f64) -> plan::Account {
    plan::Account {
        id: id.parse().expect("a fixed name is valid"),
        key: format!("load-tool-key-of-{id}"),
        rate: unit::TokensPerSecond::new(0),
        burst: unit::Tokens::new(0),
        weight: share as u32,
        share,
        surge: None,
    }
}

/// The median of several runs, and their ends.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Spread {
    /// The median; of an even number of runs the lower middle one.
    pub median: f64,
    /// The smallest.
    pub min: f64,
    /// The largest.
    pub max: f64,
}

impl Spread {
    /// Sorts figures.
    ///
    /// # Panics
    ///
    /// If there are none.
    pub fn new(mut figures: Vec<f64>) -> Self {
        figures.sort_by(f64::total_cmp);
        let last = figures.len().checked_sub(1).expect("there is a figure");
        Self {
            median: figures[last / 2],
            min: figures[0],
            max: figures[last],
        }
    }
}

/// The runs of one policy in one case together.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Row {
    /// The case.
    pub case: case::Case,
    /// The policy.
    pub policy: policy::Policy,
    /// Chats a second within both targets.
    pub goodput: Spread,
    /// The part of the prefill that was wasted.
    pub wasted: Spread,
    /// What the worst-served account got of its fair share.
    pub worst_served: Spread,
    /// Wrongful refusals over calls within the limits.
    pub wrongful: Spread,
    /// Refusals for any reason over calls within the limits.
    pub refused_within: Spread,
    /// The 99th percentile of the time to the first token, in milliseconds.
    pub first_token_p99: Spread,
    /// Wrong, broken, lost and given-up calls.
    pub failed: Spread,
}

/// Puts the runs of each policy in each case together.
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

/// Renders rows as a Markdown table: the median, and the ends in brackets.
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
        writeln!(text, "| {case} | {policy} | {cells} |").expect("a string takes all");
    }
    text
}

fn cell(spread: Spread, factor: f64, digits: usize) -> String {
    let Spread { median, min, max } = spread;
    let [median, min, max] = [median, min, max].map(|v| format!("{:.digits$}", v * factor));
    format!("{median} ({min}–{max})")
}

/// Draws the median goodput of each policy over the cases.
///
/// # Errors
///
/// If the file can't be written.
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
