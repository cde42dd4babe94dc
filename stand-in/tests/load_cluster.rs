//! Runs the load tool against real gateways, control members and stand-ins.
//!
//! `cargo test --workspace` builds the daemons; build them first to run this test by itself.

use buckthorncleat::clock;
use stand_in::engine::settings;
use stand_in::load::case;
use stand_in::load::cluster;
use stand_in::load::compare;
use stand_in::load::policy;

fn comparison() -> compare::Comparison {
    compare::Comparison {
        policies: vec![
            policy::Policy::JointWorstServed,
            policy::Policy::LeastLoaded,
        ],
        cases: vec![case::Case::Steady],
        seeds: vec![1, 2],
        duration: clock::Millis::from_secs(2),
        warm_up: clock::Millis::ZERO,
        size: cluster::Size {
            prefill: 2,
            decode: 2,
            services: 2,
            gateways: 2,
        },
        engine: settings::Settings::with_stated_costs(),
    }
}

#[tokio::test]
async fn answers_are_complete_and_orders_run_at_most_once() {
    let folder = tempfile::tempdir().unwrap();
    let run = (1, case::Case::Steady, policy::Policy::JointWorstServed);
    let report = comparison().run(folder.path(), run).await.unwrap().report;
    assert!(report.chats.good > 0, "{report:?}");
    assert_eq!(report.wrong, 0, "{report:?}");
    assert_eq!(report.broken, 0, "{report:?}");
    assert_eq!(report.unreachable, 0, "{report:?}");
    assert_eq!(report.timed_out, 0, "{report:?}");
    assert_eq!(report.plain.ran_twice, 0, "{report:?}");
    assert_eq!(report.plain.ran_after_not_run, 0, "{report:?}");
    assert_eq!(report.plain.answered_without_run, 0, "{report:?}");
}

#[test]
fn policies_alternate_in_order_and_spread_has_median_and_range() {
    let comparison = comparison();
    let order = comparison.order();
    let policies: Vec<_> = order.iter().map(|(_, _, policy)| *policy).collect();
    let [joint, least] = [
        policy::Policy::JointWorstServed,
        policy::Policy::LeastLoaded,
    ];
    assert_eq!(policies, [joint, least, least, joint]);
    let spread = compare::Spread::new(vec![3.0, 1.0, 2.0]);
    assert_eq!((spread.median, spread.min, spread.max), (2.0, 1.0, 3.0));
}
