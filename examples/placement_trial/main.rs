//! Compares the placement policies on the same seeded arrivals, in virtual time.
//!
//! `cargo run --release --example placement_trial [-- seeds [case]]`; docs/PLACEMENT.md tells what
//! the figures mean.

mod engine;
#[path = "../../tests/support/shard.rs"]
mod shard;
mod simulation;
mod workload;

use std::env;

use buckthorncleat::config::settings;
use buckthorncleat::controller::scheduler;

const DURATION_MS: u64 = 60_000;
/// Requests count that arrive after the start and early enough to end.
const COUNTED_ARRIVALS_MS: std::ops::Range<u64> = 8_000..44_000;
/// The requests a second that count as load 1.
const FULL_LOAD_REQUESTS_PER_SECOND: f64 = 27.0;

struct Case {
    name: &'static str,
    load: f64,
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

#[derive(Clone, Copy)]
struct Figures {
    goodput: f64,
    good_share: f64,
    refused: f64,
    late: f64,
    wasted: f64,
    worst_requests: f64,
    worst_tokens: f64,
}

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

/// Returns the least ratio of an account's goodput to its fair share: the weighted max-min division
/// of the policy's own goodput among the accounts' demands.
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

/// Shows the median, the least and the greatest.
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
