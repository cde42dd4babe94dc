//! Tests of the load tool's arrivals, ideal limiter, fair shares and reports.

use buckthorncleat::clock;
use buckthorncleat::unit;
use stand_in::engine::totals;
use stand_in::load::arrival;
use stand_in::load::fairness;
use stand_in::load::ideal;
use stand_in::load::plan;
use stand_in::load::record;
use stand_in::load::report;
use stand_in::plain;

fn account(id: &str, surge: Option<plan::Surge>) -> plan::Account {
    plan::Account {
        id: id.parse().unwrap(),
        key: format!("secret-of-{id}"),
        rate: unit::TokensPerSecond::new(1_000_000),
        burst: unit::Tokens::new(1_000_000),
        weight: 1,
        share: 1.0,
        surge,
    }
}

fn plan(accounts: Vec<plan::Account>) -> plan::Plan {
    plan::Plan {
        entries: vec!["127.0.0.1:1".parse().unwrap()],
        engines: Vec::new(),
        services: Vec::new(),
        accounts,
        model: plan::Model {
            id: "sosej".parse().unwrap(),
            first_token_ms: clock::Millis::new(1_000),
            between_tokens_ms: clock::Millis::new(30),
        },
        traffic: plan::Traffic::default(),
    }
}

fn surge(factor: f64) -> Option<plan::Surge> {
    Some(plan::Surge {
        factor,
        from_ms: clock::Millis::from_secs(500),
        until_ms: clock::Millis::from_secs(1_000),
    })
}

#[test]
fn calls_depend_only_on_plan_and_seed() {
    let mut plan = plan(vec![account("a", None), account("b", None)]);
    let first = arrival::draw(&plan);
    assert_eq!(first, arrival::draw(&plan));
    assert!(first.windows(2).all(|w| w[0].at <= w[1].at));
    assert!(first.iter().zip(0..).all(|(a, i)| a.number == i));
    plan.traffic.seed += 1;
    assert_ne!(first, arrival::draw(&plan));
}

#[test]
fn surge_changes_only_its_account_and_period() {
    let mut plain = plan(vec![account("a", None), account("b", None)]);
    plain.traffic.duration_ms = clock::Millis::from_secs(1_000);
    plain.traffic.max_calls = usize::MAX;
    let mut surging = plain.clone();
    surging.accounts[1].surge = surge(5.0);
    let count = |plan: &plan::Plan, account, late| {
        let calls = arrival::draw(plan);
        let half = clock::Millis::from_secs(500);
        let of = calls.iter().filter(|c| c.account == account);
        of.filter(|c| (c.at >= half) == late).count() as f64
    };
    assert_eq!(count(&plain, 0, true), count(&surging, 0, true));
    let usual = count(&surging, 1, false);
    let surged = count(&surging, 1, true);
    assert!(
        (4.5..5.5).contains(&(surged / usual)),
        "{usual} then {surged}"
    );
}

#[test]
fn the_ideal_bucket_is_exact() {
    let rate = unit::TokensPerSecond::new(10);
    let mut bucket = ideal::Bucket::new(rate, unit::Tokens::new(100));
    let cases = [
        (0, 100, true),
        (0, 1, false),
        (99, 1, false),
        (100, 1, true),
        (1_100, 11, false),
        (1_100, 10, true),
        (60_000, 101, false),
        (60_000, 100, true),
    ];
    for (at, tokens, expected) in cases {
        let taken = bucket.take(clock::Millis::new(at), unit::Tokens::new(tokens));
        assert_eq!(taken, expected, "{tokens} at {at}");
    }
}

#[test]
fn fair_shares_follow_weight_and_demand() {
    let claim = |demand, weight| fairness::Claim { demand, weight };
    let cases = [
        (9.0, vec![claim(9.0, 1.0), claim(9.0, 2.0)], vec![3.0, 6.0]),
        (9.0, vec![claim(1.0, 1.0), claim(9.0, 1.0)], vec![1.0, 8.0]),
        (20.0, vec![claim(1.0, 1.0), claim(9.0, 1.0)], vec![1.0, 9.0]),
        (0.0, vec![claim(1.0, 1.0)], vec![0.0]),
        (
            6.0,
            vec![claim(0.0, 5.0), claim(9.0, 1.0), claim(9.0, 1.0)],
            vec![0.0, 3.0, 3.0],
        ),
    ];
    for (amount, claims, expected) in cases {
        assert_eq!(fairness::shares(amount, &claims), expected, "{claims:?}");
    }
}

fn records(plan: &plan::Plan, calls: &[arrival::Arrival]) -> Vec<record::Record> {
    let whole = |call: &arrival::Arrival| record::Record {
        number: call.number,
        account: call.account,
        kind: call.work.kind(),
        at: call.at,
        ended: call.at + plan.model.first_token_ms,
        end: record::End::Whole,
        outcome: Some("ran".to_owned()),
        first_token_ms: Some(900.0),
        between_tokens_ms: Some(20.0),
        tokens: 1,
    };
    calls.iter().map(whole).collect()
}

#[test]
fn report_counts_failed_and_slow_calls() {
    let plan = plan(vec![account("a", None), account("b", None)]);
    let calls = arrival::draw(&plan);
    let mut observations = report::Observations {
        records: records(&plan, &calls),
        before: vec![totals::Totals::default()],
        after: vec![totals::Totals {
            computed_tokens: unit::Tokens::new(200),
            decoded_from_tokens: unit::Tokens::new(150),
            ..totals::Totals::default()
        }],
        orders: vec![plain::Orders::default()],
    };
    let names = calls
        .iter()
        .filter(|c| c.work.kind() == arrival::Kind::Order);
    let numbers: Vec<usize> = names.map(|c| c.number as usize).collect();
    let chats = calls
        .iter()
        .filter(|c| c.work.kind() == arrival::Kind::Chat);
    let chats: Vec<usize> = chats.map(|c| c.number as usize).collect();
    let run = |number: usize, runs| plain::Count {
        order: calls[number].order_name(plan.traffic.seed),
        runs,
    };
    observations.orders[0].orders = vec![run(numbers[0], 2), run(numbers[1], 1)];
    observations.records[numbers[1]].end = record::End::Broken;
    observations.records[numbers[1]].outcome = Some("not-run".to_owned());
    observations.records[chats[0]].between_tokens_ms = Some(31.0);
    observations.records[chats[1]].end = record::End::Refused {
        status: 429,
        code: "limited".to_owned(),
    };
    let report = report::Report::new(&plan, &calls, &observations);
    assert_eq!(report.chats.good, chats.len() as u64 - 2);
    assert_eq!(report.chats.whole, chats.len() as u64 - 1);
    assert_eq!(report.plain.ran_twice, 1);
    assert_eq!(report.plain.ran_after_not_run, 1);
    assert!(report.plain.answered_without_run > 0);
    assert_eq!(report.wasted_prefill, 0.25);
    assert_eq!(report.wrongful_refusals, 1.0 / calls.len() as f64);
    assert_eq!(report.refusals.len(), 1);
    assert!(report.worst_served < 1.0);
}

#[test]
fn a_refusal_is_wrongful_only_when_the_bucket_had_the_tokens() {
    let mut plan = plan(vec![account("a", None)]);
    plan.accounts[0].rate = unit::TokensPerSecond::new(0);
    plan.accounts[0].burst = unit::Tokens::new(3);
    plan.traffic.chats_per_second = 0.0;
    let calls = &arrival::draw(&plan)[..6];
    let mut records = records(&plan, calls);
    let refused = |status| record::End::Refused {
        status,
        code: String::new(),
    };
    let (early, late) = (clock::Millis::ZERO, clock::Millis::MAX);
    let ends = [
        (record::End::Whole, late, true),
        (refused(503), early, true),
        (refused(429), late, true),
        (refused(503), late, true),
        (record::End::Broken, late, true),
        (refused(429), late, false),
    ];
    for (record, (end, ended, _)) in records.iter_mut().zip(&ends) {
        record.end = end.clone();
        record.ended = *ended;
    }
    let expected: Vec<bool> = ends.iter().map(|(_, _, within)| *within).collect();
    assert_eq!(ideal::within(&plan, calls, &records), expected);
}

#[test]
fn worst_served_is_zero_when_no_chat_is_good() {
    let plan = plan(vec![account("a", None)]);
    let calls = arrival::draw(&plan);
    let mut records = records(&plan, &calls);
    records.iter_mut().for_each(|r| r.end = record::End::Broken);
    let observations = report::Observations {
        records,
        before: Vec::new(),
        after: Vec::new(),
        orders: Vec::new(),
    };
    assert_eq!(
        report::Report::new(&plan, &calls, &observations).worst_served,
        0.0
    );
}

#[test]
fn percentiles_cover_long_times() {
    let found = report::Percentiles::new((1..=1_000).map(|i| f64::from(i) * 50.0));
    let cases = [
        (found.p50, 25_000.0),
        (found.p90, 45_000.0),
        (found.p99, 49_500.0),
        (found.max, 50_000.0),
    ];
    for (found, expected) in cases {
        assert!(
            (found / expected - 1.0_f64).abs() < 0.002,
            "{found} for {expected}"
        );
    }
    assert_eq!(
        report::Percentiles::new([].into_iter()),
        report::Percentiles::default()
    );
}

#[test]
fn check_names_every_invalid_field() {
    let mut plan = plan(Vec::new());
    plan.traffic.prefix_share = 1.5;
    plan.traffic.callers = 0;
    let message = plan.check().unwrap_err().to_string();
    for field in ["accounts", "traffic.prefix_share", "traffic.callers"] {
        assert!(message.contains(field), "{message}");
    }
}

#[test]
fn the_documented_plan_is_valid() {
    let text = include_str!("../../docs/LOAD.md");
    let json = text
        .split("```json")
        .nth(1)
        .unwrap()
        .split("```")
        .next()
        .unwrap();
    let plan: plan::Plan = serde_json::from_str(json).unwrap();
    plan.check().unwrap();
}
