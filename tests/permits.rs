//! Limits of calls that servers name, kept by all routers together: the decisions of routers and
//! leaders over late, lost and doubled messages, without network.
//!
//! `BUCKTHORNCLEAT_SEEDS` sets the number of seeds of the random runs.

#[path = "permit_support/fleet.rs"]
mod fleet;

use buckthorncleat::clock::Millis;
use buckthorncleat::fleet::call_limit::{NamedLimit, News, Said};
use buckthorncleat::fleet::permit::{Answer, Ask, AskNumber, Issuer, LIFETIME};
use buckthorncleat::id::BackendServerId;
use buckthorncleat::router::permits::{Permits, Verdict};
use buckthorncleat::unit::CallRate;
use fleet::{Fleet, Plan};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

const DEFAULT_SEEDS: u64 = 3;
const SIZES: [usize; 4] = [9, 30, 191, 300];

fn seeds() -> u64 {
    let seeds = std::env::var("BUCKTHORNCLEAT_SEEDS").ok();
    seeds.map_or(DEFAULT_SEEDS, |s| s.parse().expect("a number of seeds"))
}

/// Returns the calls that a server may get in 4 s.
fn goal(per_second: f64) -> f64 {
    (1.1 * per_second * 4.0 + 2.0).floor()
}

fn steady(routers: usize, per_second: f64) -> Plan {
    Plan {
        routers,
        demand: per_second * 5.0,
        at_one_router: false,
        limits: vec![(0, Some(per_second))],
        bad_links: false,
        leader_losses: Vec::new(),
        freezes: Vec::new(),
        length: 16_000,
    }
}

fn check_limit(plan: &Plan, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(plan.clone(), seed);
    fleet.run();
    if let Some((begin, calls, allowed)) = fleet.worst_window(goal) {
        panic!("seed {seed}: {calls} calls from {begin} ms on, allowed {allowed}: {plan:?}");
    }
    fleet
}

/// Guards against equal parts of a limit: with many routers, none gets one that is of use.
#[test]
fn a_limit_is_used_whether_requests_come_to_one_router_or_to_all() {
    for routers in SIZES {
        for at_one_router in [false, true] {
            for per_second in [1.0, 4.0, 20.0, 60.0] {
                let plan = Plan {
                    at_one_router,
                    ..steady(routers, per_second)
                };
                let fleet = check_limit(&plan, 1);
                let used = fleet.calls_within(5_000, 15_000) as f64 / (per_second * 10.0);
                assert!(used >= 0.85, "only {used} used: {plan:?}");
            }
        }
    }
}

/// Guards against routers that act on old news: the sum over all routers stays within the limit
/// whatever is lost, late, doubled, frozen or led by another member.
#[test]
fn routers_together_keep_to_a_limit_whatever_news_is_late_or_lost() {
    for seed in 1..=seeds() {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        for routers in SIZES {
            let mut plan = steady(routers, rng.random_range(0.3..40.0));
            plan.demand = plan.demand.max(10.0) * rng.random_range(1.0..3.0);
            plan.at_one_router = rng.random_bool(0.2);
            plan.bad_links = rng.random_bool(0.7);
            for _ in 0..rng.random_range(0..3) {
                plan.leader_losses.push(rng.random_range(2_000..14_000));
            }
            for _ in 0..rng.random_range(0..4) {
                let router = rng.random_range(0..routers);
                let (at, length) = (
                    rng.random_range(1_000..12_000),
                    rng.random_range(100..5_000),
                );
                plan.freezes.push((router, at, length));
            }
            plan.leader_losses.sort_unstable();
            check_limit(&plan, seed);
        }
    }
}

/// Guards against limits that hold on after their end, and against old news of one that has ended
/// or changed.
#[test]
fn limits_that_rise_fall_end_and_come_again_are_followed() {
    for seed in 1..=seeds() {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        for routers in SIZES {
            let mut plan = steady(routers, 4.0);
            plan.demand = 60.0;
            plan.limits = vec![(0, None), (3_000, Some(8.0)), (7_000, Some(3.0))];
            plan.limits.push((11_000, Some(12.0)));
            plan.limits.push((19_000, None));
            plan.length = 28_000;
            plan.bad_links = rng.random_bool(0.5);
            let fleet = check_limit(&plan, seed);
            let used = fleet.calls_within(13_000, 19_000) as f64 / (12.0 * 6.0);
            assert!(
                used >= 0.85,
                "seed {seed}: only {used} of 12 used: {plan:?}"
            );
            let asked = fleet.requests_within(25_000, 28_000) as f64;
            let served = fleet.calls_within(25_000, 28_000) as f64 / asked;
            assert!(
                served >= 0.85,
                "seed {seed}: only {served} after the end: {plan:?}"
            );
        }
    }
}

/// Guards against calls that nobody makes since the answer with their permit was lost.
#[test]
fn a_limit_is_used_although_messages_are_lost_and_late() {
    for seed in 1..=seeds() {
        for routers in SIZES {
            let plan = Plan {
                bad_links: true,
                ..steady(routers, 12.0)
            };
            let fleet = check_limit(&plan, seed);
            let used = fleet.calls_within(5_000, 15_000) as f64 / 120.0;
            assert!(used >= 0.85, "seed {seed}: only {used} used: {plan:?}");
        }
    }
}

fn at(ms: u64) -> Millis {
    Millis::new(ms)
}

fn server() -> BackendServerId {
    "server-1".parse().unwrap()
}

fn four_a_second() -> Option<CallRate> {
    Some(CallRate::from_millicalls(4_000))
}

fn named(age: u64, rate: Option<CallRate>) -> Vec<(BackendServerId, News)> {
    vec![(server(), News { age: at(age), rate })]
}

fn ask(number: u64, news: Vec<(BackendServerId, News)>) -> Ask {
    Ask {
        number: AskNumber::new(number),
        lost: Vec::new(),
        servers: vec![server()],
        news,
        sent_at: None,
        earliest: Millis::ZERO,
        latest: at(10_000),
        refuses: true,
        calls: 1,
        refused: 0,
    }
}

/// Returns an issuer that knows a limit of four calls a second since its begin, at 5 s.
fn issuer() -> Issuer {
    let mut issuer = Issuer::default();
    issuer.hear(Millis::ZERO, None, &named(0, four_a_second()));
    issuer
}

fn router() -> buckthorncleat::id::InstanceId {
    "router-1".parse().unwrap()
}

/// Guards against a router that was paused with a permit, and calls when the permit has run out.
#[test]
fn a_permit_counts_from_the_question_on_and_lapses() {
    let mut permits = Permits::new(0);
    let servers = [server()];
    permits.begin_ask(at(1_000), &servers);
    let granted = Answer::Granted {
        server: server(),
        delay: at(100),
        calls: 3,
    };
    let verdict = permits.apply(at(1_020), at(1_000), &servers, granted.clone());
    let Verdict::Granted { permit, .. } = verdict else {
        panic!("{verdict:?}");
    };
    for (now, valid) in [(1_119, false), (1_120, true), (1_349, true), (1_350, false)] {
        assert_eq!(permit.is_valid(at(now)), valid, "{now}");
    }
    let spare = permits.take_spare(at(1_200), at(1_200), &servers);
    assert_eq!(spare, Some((server(), permit)));
    // The other spare one is not used after its time.
    assert_eq!(permits.take_spare(at(1_350), at(1_400), &servers), None);
    // An answer that took longer than a permit lasts brings none that is valid.
    let late = permits.apply(at(2_000) + LIFETIME, at(2_000), &servers, granted);
    let Verdict::Granted { permit, .. } = late else {
        panic!("{late:?}");
    };
    assert!((2_000..3_000).all(|now| !permit.is_valid(at(now))));
}

/// Guards against a new leader and its predecessor that both issue permits.
#[test]
fn a_new_leader_issues_no_permit_while_those_of_its_predecessor_may_be_valid() {
    let mut issuer = issuer();
    // A confirmation of the predecessor, a call ahead, and the life of its permit.
    let overlap = 300 + 600 + 250;
    for now in [0, 500, overlap - 1] {
        let answer = issuer.ask(at(now), None, &router(), &ask(now, Vec::new()));
        assert!(matches!(answer, Answer::Denied { wait, .. } if wait == at(overlap - now)));
    }
    let answer = issuer.ask(at(overlap), None, &router(), &ask(1, Vec::new()));
    assert!(matches!(answer, Answer::Granted { .. }), "{answer:?}");
}

/// Guards against a message that was held up and brings back what a server said long ago.
#[test]
fn old_messages_and_messages_of_unknown_age_end_no_limit() {
    let mut issuer = issuer();
    let limit = |issuer: &Issuer, now| issuer.limits(at(now)).next().unwrap().1;
    issuer.hear(at(5_000), None, &named(0, None));
    assert_eq!(limit(&issuer, 5_000), four_a_second(), "unknown age");
    issuer.hear(at(5_000), Some(at(3_000)), &named(0, None));
    assert_eq!(limit(&issuer, 5_000), four_a_second(), "held up");
    issuer.hear(at(5_000), Some(at(4_900)), &named(100, None));
    assert_eq!(limit(&issuer, 5_400), None, "known age");
    issuer.hear(at(5_500), Some(at(5_500)), &named(1_000, four_a_second()));
    assert_eq!(limit(&issuer, 5_500), None, "said before the end");
}

/// Guards against a copy of a question that takes another call, and a lost one that blocks its call.
#[test]
fn a_question_gets_its_calls_once_and_lost_ones_are_free_again() {
    let mut issuer = issuer();
    let now = at(5_000);
    let first = issuer.ask(now, None, &router(), &ask(1, Vec::new()));
    assert_eq!(first, issuer.ask(now, None, &router(), &ask(1, Vec::new())));
    let delay = |answer: &Answer| match answer {
        Answer::Granted { delay, .. } => delay.as_u64(),
        other => panic!("{other:?}"),
    };
    let second = issuer.ask(now, None, &router(), &ask(2, Vec::new()));
    let third = issuer.ask(now, None, &router(), &ask(3, Vec::new()));
    assert_eq!([delay(&first), delay(&second), delay(&third)], [0, 0, 250]);
    let lost = vec![AskNumber::new(2), AskNumber::new(3)];
    let again = Ask {
        lost,
        ..ask(4, Vec::new())
    };
    assert_eq!(delay(&issuer.ask(now, None, &router(), &again)), 0);
}

/// Guards against crossed answers: the last one to arrive need not be the newest.
#[test]
fn of_answers_that_cross_the_lowest_limit_holds_until_it_is_settled() {
    let rate = |calls: u64| Some(CallRate::from_millicalls(calls * 1_000));
    let cases = [
        // What was said when, and the limit right after and a second later.
        (vec![(100, rate(4)), (110, None)], rate(4), None),
        (vec![(110, None), (100, rate(4))], rate(4), None),
        (vec![(100, rate(8)), (90, rate(4))], rate(4), rate(8)),
        (vec![(100, rate(4)), (900, rate(8))], rate(8), rate(8)),
        (vec![(100, rate(8)), (900, rate(4))], rate(4), rate(4)),
        (vec![(100, rate(0)), (120, rate(8))], rate(0), rate(8)),
        (vec![(100, None), (100, rate(5))], rate(5), rate(5)),
    ];
    for (said, first, settled) in cases {
        let mut limit = NamedLimit::default();
        for (ms, rate) in &said {
            limit.record(Said {
                at: at(*ms),
                rate: *rate,
            });
        }
        let last = said.iter().map(|(ms, _)| *ms).max().unwrap();
        assert_eq!(limit.rate(at(last + 1)), first, "{said:?}");
        assert_eq!(limit.rate(at(last + 1_000)), settled, "{said:?}");
    }
}

/// A server that takes no calls at all is still asked once in ten seconds whether that holds.
#[test]
fn a_limit_of_zero_allows_one_call_in_ten_seconds() {
    let mut issuer = Issuer::default();
    issuer.hear(Millis::ZERO, None, &named(0, Some(CallRate::default())));
    let mut calls = 0;
    for number in 0..600 {
        let question = Ask {
            latest: Millis::ZERO,
            ..ask(number, Vec::new())
        };
        let answer = issuer.ask(at(number * 100), None, &router(), &question);
        calls += u32::from(matches!(answer, Answer::Granted { .. }));
    }
    assert!((4..=7).contains(&calls), "{calls} calls in a minute");
}

/// Guards against times in whole milliseconds that take a part of a high limit away.
#[test]
fn a_limit_of_three_calls_in_a_millisecond_is_used() {
    let mut issuer = Issuer::default();
    let rate = Some(CallRate::from_millicalls(3_000_000));
    issuer.hear(Millis::ZERO, None, &named(0, rate));
    let mut granted = 0;
    for number in 0..10_000 {
        let question = Ask {
            latest: at(50),
            ..ask(number, Vec::new())
        };
        let answer = issuer.ask(at(5_000 + number / 5), None, &router(), &question);
        granted += u32::from(matches!(answer, Answer::Granted { .. }));
    }
    let allowed = 3 * 2_000;
    assert!(granted >= allowed * 98 / 100, "{granted} of {allowed}");
    assert!(granted <= allowed + 3 * 51, "{granted} of {allowed}");
}

/// Guards against sums that overflow.
#[test]
fn huge_limits_never_bind() {
    let mut issuer = Issuer::default();
    let huge = Some(CallRate::from_millicalls(u64::MAX));
    issuer.hear(Millis::ZERO, None, &named(0, huge));
    for number in 0..1_000 {
        let question = Ask {
            earliest: at(500),
            calls: 200,
            refused: 3,
            ..ask(number, Vec::new())
        };
        let answer = issuer.ask(at(5_000 + number / 2), None, &router(), &question);
        let granted = matches!(&answer, Answer::Granted { delay, calls, .. }
            if *delay <= at(510) && *calls == 200);
        assert!(granted, "{answer:?}");
    }
}

/// Pattern: many callers are refused at once. Those that were told to return come back one by one,
/// at the rate of the limit.
#[test]
fn refused_callers_are_told_to_return_at_the_rate_that_the_server_takes() {
    let mut issuer = issuer();
    let now = at(5_000);
    let mut times = Vec::new();
    for number in 0..40 {
        let question = Ask {
            latest: at(100),
            ..ask(number, Vec::new())
        };
        if let Answer::Denied { retry_after, .. } = issuer.ask(now, None, &router(), &question) {
            times.push(retry_after.as_u64());
        }
    }
    assert_eq!(times.len(), 38);
    for pair in times.windows(2) {
        assert_eq!(pair[1] - pair[0], 250, "{times:?}");
    }
    // Whoever comes next is told to return after all of them.
    let question = Ask {
        latest: Millis::ZERO,
        ..ask(99, Vec::new())
    };
    let answer = issuer.ask(now + at(10), None, &router(), &question);
    let Answer::Denied { retry_after, .. } = answer else {
        panic!("{answer:?}");
    };
    assert!(retry_after.as_u64() > times[37], "{answer:?}");
}

/// Guards against times to return that grow with callers that were not refused: they wait, or another
/// server serves them.
#[test]
fn only_refused_callers_are_given_a_time_to_return() {
    let mut issuer = issuer();
    let now = at(5_000);
    let mut retry_after = |number, refuses| {
        let question = Ask {
            latest: Millis::ZERO,
            refuses,
            ..ask(number, Vec::new())
        };
        match issuer.ask(now, None, &router(), &question) {
            Answer::Denied { retry_after, .. } => Some(retry_after.as_u64()),
            _ => None,
        }
    };
    let granted = [retry_after(1, false), retry_after(2, false)];
    assert_eq!(granted, [None, None]);
    let waiting: Vec<_> = (3..20).map(|n| retry_after(n, false).unwrap()).collect();
    assert!(
        waiting.iter().all(|time| *time == waiting[0]),
        "{waiting:?}"
    );
    let refused: Vec<_> = (20..23).map(|n| retry_after(n, true).unwrap()).collect();
    assert_eq!(refused, [waiting[0], waiting[0] + 250, waiting[0] + 500]);
}

/// Guards against limits that hold on at all servers but the one that is asked first.
#[test]
fn a_limited_server_that_was_not_asked_is_due_while_another_one_is_not() {
    let other: BackendServerId = "server-2".parse().unwrap();
    let mut permits = Permits::new(0);
    permits.begin_ask(at(1_000), &[server()]);
    assert!(!permits.needs_refresh(at(1_100), &server(), 9));
    assert!(permits.needs_refresh(at(1_100), &other, 9));
    assert!(permits.needs_refresh(at(1_000 + 9 * 250), &server(), 9));
}
