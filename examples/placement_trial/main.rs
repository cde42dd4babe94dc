//! Compares the placement policies of the scheduler on the same seeded arrivals, in virtual time.
//!
//! `cargo run --release --example placement_trial [-- seeds [case]]`
//!
//! The scheduler is the real one. Callers, gateways, network and engines are simulated. Arrivals
//! are open-loop: callers don't slow down when the servers are overloaded. Each case runs for each
//! policy once per seed, from 1 to `seeds` (default 5); `case` selects the cases whose name
//! contains it. The program prints a Markdown table with the median (least..greatest) over the
//! seeds. docs/PLACEMENT.md explains the figures.

mod engine;
#[path = "../../tests/support/shard.rs"]
mod shard;
mod simulation;
mod workload;

use std::env;

use buckthorncleat::config::settings;
use buckthorncleat::controller::scheduler;

/// Simulated time of one run. A fault occurs after a third of it.
const DURATION_MS: u64 = 60_000;
/// Only requests that arrive in this range are counted: after the start of the run, and early
/// enough to end within it.
const COUNTED_ARRIVALS_MS: std::ops::Range<u64> = 8_000..44_000;
/// Arrival rate of a case with `load` 1.0, taken as the capacity of the engines.
const FULL_LOAD_REQUESTS_PER_SECOND: f64 = 27.0;

/// One load pattern, with or without a fault.
struct Case {
    name: &'static str,
    /// Arrival rate as a multiple of [`FULL_LOAD_REQUESTS_PER_SECOND`].
    load: f64,
    /// Index of an account and the factor by which its arrival rate is raised.
    flood: Option<(usize, f64)>,
    fault: simulation::Fault,
}

const fn case(name: &'static str, load: f64, fault: simulation::Fault) -> Case {
    Case {
        name,
        load,
        flood: None,
        fault,
    }
}

const CASES: [Case; 8] = [
    case("steady 0.7x", 0.7, simulation::Fault::None),
    case("full 1.0x", 1.0, simulation::Fault::None),
    case("overload 1.5x", 1.5, simulation::Fault::None),
    Case {
        name: "one at 5x",
        load: 0.7,
        flood: Some((2, 5.0)),
        fault: simulation::Fault::None,
    },
    case("decode lost", 0.8, simulation::Fault::DecodeLost),
    case("prefill slow", 0.8, simulation::Fault::PrefillSlow),
    case("link at 1/10", 0.8, simulation::Fault::LinkSlow),
    case("owner killed", 0.8, simulation::Fault::OwnerKilled),
];

/// The printed name of each policy and the settings that select it.
const POLICIES: [(&str, settings::Placement, settings::Objective); 4] = [
    (
        "joint fair",
        settings::Placement::Joint,
        settings::Objective::WorstServedAccount,
    ),
    (
        "joint goodput",
        settings::Placement::Joint,
        settings::Objective::Goodput,
    ),
    (
        "least-loaded",
        settings::Placement::LeastLoaded,
        settings::Objective::WorstServedAccount,
    ),
    (
        "round-robin",
        settings::Placement::RoundRobin,
        settings::Objective::WorstServedAccount,
    ),
];

/// What one run measured.
#[derive(Clone, Copy)]
struct Figures {
    /// Counted requests that met both latency targets, per second.
    goodput: f64,
    /// Share of the counted requests that met both latency targets.
    good_share: f64,
    /// Share of the counted requests that the scheduler refused.
    refused: f64,
    /// Share of the counted requests that were neither good nor refused: late, abandoned or
    /// unfinished.
    late: f64,
    /// Share of the prefill tokens of all requests that were wasted; see
    /// [`simulation::Simulation::wasted`].
    wasted: f64,
    /// Result of [`worst_served`] when each request counts 1.
    worst_requests: f64,
    /// Result of [`worst_served`] when a prompt token counts 1 and an output token counts 2.
    worst_tokens: f64,
}

/// Runs `case` under the policy at index `policy` of [`POLICIES`].
fn measure(seed: u64, case: &Case, policy: usize) -> Figures {
    let requests = workload::generate(
        seed,
        DURATION_MS,
        FULL_LOAD_REQUESTS_PER_SECOND * case.load,
        case.flood,
    );
    let settings = scheduler::Settings {
        placement: POLICIES[policy].1,
        objective: POLICIES[policy].2,
        ..scheduler::Settings::default()
    };
    let mut simulation = simulation::Simulation::new(seed, requests, settings, case.fault);
    simulation.run(DURATION_MS);
    let counted: Vec<_> = simulation
        .runs
        .iter()
        .filter(|r| COUNTED_ARRIVALS_MS.contains(&r.request.arrived_at))
        .collect();
    let seconds = (COUNTED_ARRIVALS_MS.end - COUNTED_ARRIVALS_MS.start) as f64 / 1000.0;
    let good = counted.iter().filter(|r| r.is_good()).count() as f64;
    let refused = counted.iter().filter(|r| r.refused).count() as f64;
    let all = counted.len() as f64;
    Figures {
        goodput: good / seconds,
        good_share: good / all,
        refused: refused / all,
        late: (all - good - refused) / all,
        wasted: simulation.wasted / simulation.computed.max(1.0),
        worst_requests: worst_served(&counted, |_| 1.0),
        worst_tokens: worst_served(&counted, |r| {
            (r.request.prompt + 2 * r.request.output) as f64
        }),
    }
}

/// Returns the lowest ratio, over all accounts, of an account's goodput to its fair share, where
/// `size` tells how much a request counts.
///
/// The fair shares divide the total goodput that this policy reached by weighted max-min fairness
/// among the demands of the accounts. A policy with less goodput thus has smaller fair shares.
fn worst_served(counted: &[&simulation::Run], size: fn(&simulation::Run) -> f64) -> f64 {
    let mut demand = [0.0; workload::ACCOUNT_WEIGHTS.len()];
    let mut good = [0.0; workload::ACCOUNT_WEIGHTS.len()];
    for run in counted {
        demand[run.request.account] += size(run);
        if run.is_good() {
            good[run.request.account] += size(run);
        }
    }
    let fair = fair_shares(good.iter().sum(), &demand);
    let ratios = good.iter().zip(&fair).map(|(g, f)| g / f.max(1e-9));
    ratios.fold(f64::INFINITY, f64::min)
}

/// Divides `total` among the accounts by weighted max-min fairness: no account gets more than its
/// demand, and what it leaves goes to the others by weight.
fn fair_shares(mut total: f64, demand: &[f64; 5]) -> [f64; 5] {
    let mut fair = [0.0; 5];
    let mut unsatisfied: Vec<usize> = (0..5).collect();
    loop {
        let weights: f64 = unsatisfied
            .iter()
            .map(|a| f64::from(workload::ACCOUNT_WEIGHTS[*a]))
            .sum();
        let offer = |a: usize| total * f64::from(workload::ACCOUNT_WEIGHTS[a]) / weights;
        let (satisfied, rest): (Vec<_>, Vec<_>) =
            unsatisfied.iter().partition(|a| demand[**a] <= offer(**a));
        if satisfied.is_empty() {
            rest.iter().for_each(|a| fair[*a] = offer(*a));
            return fair;
        }
        satisfied.iter().for_each(|a| fair[*a] = demand[*a]);
        total -= satisfied.iter().map(|a| demand[*a]).sum::<f64>();
        unsatisfied = rest;
        if unsatisfied.is_empty() {
            return fair;
        }
    }
}

/// Formats `values`, each multiplied by `scale`, as "median (least..greatest)".
fn spread(mut values: Vec<f64>, scale: f64) -> String {
    values.sort_by(f64::total_cmp);
    let at = |n: usize| values[n] * scale;
    format!(
        "{:.1} ({:.1}..{:.1})",
        at(values.len() / 2),
        at(0),
        at(values.len() - 1)
    )
}

fn main() {
    let mut args = env::args().skip(1);
    let seeds: u64 = args.next().and_then(|s| s.parse().ok()).unwrap_or(5);
    let case_filter = args.next();
    println!(
        "| case | policy | goodput /s | good % | refused % | late % | wasted prefill % | worst account, requests % | worst account, tokens % |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for case in CASES.iter().filter(|c| {
        case_filter
            .as_ref()
            .is_none_or(|o| c.name.contains(o.as_str()))
    }) {
        let mut figures = vec![Vec::new(); POLICIES.len()];
        for seed in 1..=seeds {
            for (policy, list) in figures.iter_mut().enumerate() {
                list.push(measure(seed, case, policy));
            }
        }
        for (policy, list) in figures.iter().enumerate() {
            let column = |f: fn(&Figures) -> f64| list.iter().map(f).collect::<Vec<_>>();
            println!(
                "| {} | {} | {} | {} | {} | {} | {} | {} | {} |",
                case.name,
                POLICIES[policy].0,
                spread(column(|f| f.goodput), 1.0),
                spread(column(|f| f.good_share), 100.0),
                spread(column(|f| f.refused), 100.0),
                spread(column(|f| f.late), 100.0),
                spread(column(|f| f.wasted), 100.0),
                spread(column(|f| f.worst_requests), 100.0),
                spread(column(|f| f.worst_tokens), 100.0),
            );
        }
    }
}
