//! A randomised soak test over real processes.
//!
//! Faults are injected while callers and operators send requests. Then the answers that callers
//! got, the records of the stand-ins and the configuration in the replicated log are compared.

pub mod fault;
mod operators;
mod orders;
mod revisions;

use std::path;
use std::sync;
use std::time;

use buckthorncleat::clock;
use buckthorncleat::state::model;
use rand::SeedableRng as _;
use tokio::sync::watch;

use crate::client;
use crate::engine::settings;
use crate::load::case;
use crate::load::cluster;
use crate::load::compare;
use crate::load::policy;
use crate::load::report;
use crate::load::run;

/// Longest time for the engines to free what requests held, after the last fault ended.
const SETTLE_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Interval at which the engines are asked what they still hold.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Settings of the engine stand-ins.
const ENGINE_SETTINGS: fn() -> settings::Settings = settings::Settings::with_stated_costs;

/// Parameters of a soak test.
#[derive(Clone, Copy, Debug)]
pub struct Soak {
    /// Seed of the arrivals and of the faults.
    pub seed: u64,
    /// Time during which callers arrive.
    pub duration: clock::Millis,
    /// Number of processes of each kind.
    pub size: cluster::Size,
    /// Policy of the gateways.
    pub policy: policy::Policy,
}

/// Result of a soak test.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Outcome {
    pub seed: u64,
    /// Time during which callers arrived.
    pub duration_ms: clock::Millis,
    /// Numbers of injected faults, by kind and process.
    pub faults: Vec<fault::Count>,
    /// Figures of the orders that were retried until they had a final answer.
    pub orders: orders::Figures,
    /// Figures of the operators' concurrent changes.
    pub operators: operators::Figures,
    /// Report on the other callers.
    pub report: report::Report,
    /// One line per broken guarantee; empty if all were kept.
    pub violations: Vec<String>,
}

impl Soak {
    /// Runs the soak test; settings, logs and data go into `folder`.
    ///
    /// # Errors
    ///
    /// If the processes can't be started, or do not end in time after the soak.
    pub async fn run(&self, folder: &path::Path) -> buckthorncleat::Result<Outcome> {
        let comparison = compare::Comparison {
            policies: vec![self.policy],
            cases: vec![case::Case::Steady],
            seeds: vec![self.seed],
            duration: self.duration,
            warm_up: clock::Millis::ZERO,
            size: self.size,
            engine: ENGINE_SETTINGS(),
        };
        let mut plan = comparison.plan(self.seed, case::Case::Steady);
        let cluster = cluster::Cluster::start(folder, self.size, self.policy, &mut plan).await?;
        let plan = sync::Arc::new(plan);
        let (stop, stopped) = watch::channel(false);
        let rng = rand_chacha::ChaCha8Rng::seed_from_u64(self.seed);
        let mut injector = fault::Injector::new(cluster, rng);
        let order_sender = orders::Sender::new(&plan);
        let race = operators::Race::new(injector.cluster());
        let watch = revisions::Watch::new(injector.cluster(), self.size.gateways);
        let calls = async {
            let report = run::run(&plan, |_| ()).await;
            stop.send_replace(true);
            report
        };
        let (report, (), orders, race, reverts) = tokio::join!(
            calls,
            injector.run(stopped.clone()),
            order_sender.run(stopped.clone()),
            race.run(stopped.clone()),
            watch.run(stopped),
        );
        let mut violations = reverts;
        let faults = injector.counts();
        let cluster = injector.into_cluster();
        violations.extend(check_report(&report));
        violations.extend(settle(&cluster).await);
        violations.extend(orders.check(&cluster).await);
        violations.extend(race.check(&cluster).await);
        let outcome = Outcome {
            seed: self.seed,
            duration_ms: self.duration,
            faults,
            orders: orders.figures(),
            operators: race.figures(),
            report,
            violations,
        };
        cluster.end()?;
        Ok(outcome)
    }
}

fn check_report(report: &report::Report) -> Vec<String> {
    let counts = [
        ("answers with a wrong text", report.wrong),
        ("orders that ran twice", report.plain.ran_twice),
        (
            "orders that ran after not-run",
            report.plain.ran_after_not_run,
        ),
        (
            "orders answered without a run",
            report.plain.answered_without_run,
        ),
    ];
    counts
        .iter()
        .filter(|(_, count)| *count > 0)
        .map(|(what, count)| format!("{count} {what}"))
        .collect()
}

/// Waits until no engine holds anything for a request, at most for `SETTLE_TIMEOUT`.
///
/// Returns one line per request still held and per engine that does not answer.
async fn settle(cluster: &cluster::Cluster) -> Vec<String> {
    let end = time::Instant::now() + SETTLE_TIMEOUT;
    loop {
        let held = held(cluster).await;
        if held.is_empty() || time::Instant::now() > end {
            return held;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn held(cluster: &cluster::Cluster) -> Vec<String> {
    let mut lines = Vec::new();
    let roles = [model::Role::Prefill, model::Role::Decode];
    for server in roles.iter().flat_map(|role| cluster.servers_of(*role)) {
        let req = client::request(hyper::Method::GET, "/v1/held");
        let address = cluster.address(cluster::operate::Which::Server(server));
        let Ok(answer) = client::ask(address, req).await else {
            lines.push(format!("engine {server} does not answer after the soak"));
            continue;
        };
        if let Ok(held) = answer.json::<buckthorncleat::backend::wire::Held>() {
            let held = held.requests.iter();
            lines.extend(held.map(|h| format!("engine {server} still holds {h:?}")));
        }
    }
    lines
}
