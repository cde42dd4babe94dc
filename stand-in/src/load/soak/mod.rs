//! A randomised soak over real processes: faults are injected while callers and operators go on,
//! then what callers saw, what stand-ins recorded and what the log holds are compared.

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

/// How long a healed deployment may take to free what requests held.
const SETTLE: time::Duration = time::Duration::from_secs(30);
/// The pause between two looks at a deployment that settles.
const LOOK: time::Duration = time::Duration::from_millis(200);
/// The share of the capacity that callers ask for, in percent of the steady case.
const ENGINE_COSTS: fn() -> settings::Settings = settings::Settings::with_stated_costs;

/// What a soak does.
#[derive(Clone, Copy, Debug)]
pub struct Soak {
    /// The seed of arrivals and faults.
    pub seed: u64,
    /// How long callers arrive.
    pub duration: clock::Millis,
    /// The processes.
    pub size: cluster::Size,
    /// The policy of the gateways.
    pub policy: policy::Policy,
}

/// What came of a soak.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Outcome {
    /// The seed.
    pub seed: u64,
    /// How long callers arrived.
    pub duration_ms: clock::Millis,
    /// The faults injected, by kind.
    pub faults: Vec<fault::Count>,
    /// The orders that were sent until they had a final answer.
    pub orders: orders::Figures,
    /// The changes of racing operators.
    pub operators: operators::Figures,
    /// What the other callers met.
    pub report: report::Report,
    /// Every promise that was broken, in words; empty when all held.
    pub violations: Vec<String>,
}

impl Soak {
    /// Runs the soak in a folder for settings and logs.
    ///
    /// # Errors
    ///
    /// If the processes can't be started.
    pub async fn run(&self, folder: &path::Path) -> buckthorncleat::Result<Outcome> {
        let comparison = compare::Comparison {
            policies: vec![self.policy],
            cases: vec![case::Case::Steady],
            seeds: vec![self.seed],
            duration: self.duration,
            warm_up: clock::Millis::ZERO,
            size: self.size,
            engine: ENGINE_COSTS(),
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

/// Waits until no engine holds anything for requests that are gone.
async fn settle(cluster: &cluster::Cluster) -> Vec<String> {
    let end = time::Instant::now() + SETTLE;
    loop {
        let held = held(cluster).await;
        if held.is_empty() || time::Instant::now() > end {
            return held;
        }
        tokio::time::sleep(LOOK).await;
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
