//! The figures of one run.

use buckthorncleat::id;
use buckthorncleat::sorted;
use buckthorncleat::unit;

use crate::engine::totals;
use crate::load::arrival;
use crate::load::fairness;
use crate::load::ideal;
use crate::load::plan;
use crate::load::record;
use crate::plain;

/// The finest step of times, in milliseconds.
const STEP_MS: f64 = 0.1;

/// All that was seen in one run.
#[derive(Clone, Debug)]
pub struct Seen {
    /// The calls, by number.
    pub records: Vec<record::Record>,
    /// The totals of the engines before.
    pub before: Vec<totals::Totals>,
    /// The totals of the engines after, or the last ones that a lost engine told.
    pub after: Vec<totals::Totals>,
    /// What ran at the plain services that are still there.
    pub orders: Vec<plain::Orders>,
}

/// The figures of one run.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// The chats.
    pub chats: Chats,
    /// The plain calls.
    pub plain: Plain,
    /// Prompt tokens computed for nothing over all computed; 0 when none were.
    pub wasted_prefill: f64,
    /// Each account.
    pub accounts: Vec<AccountFigures>,
    /// The smallest [`AccountFigures::served`].
    pub worst_served: f64,
    /// Calls within the limits that were refused for the limit, over calls within them.
    pub wrongful_refusals: f64,
    /// Calls within the limits that were refused for any reason, over calls within them.
    pub refused_within_limits: f64,
    /// The refusals by status and code.
    pub refusals: Vec<Refusals>,
    /// Answers that were whole but wrong.
    pub wrong: u64,
    /// Answers that broke off.
    pub broken: u64,
    /// Calls that reached no entry.
    pub unreachable: u64,
    /// Calls that the caller gave up.
    pub timed_out: u64,
}

/// The figures of the chats.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Chats {
    /// All.
    pub offered: u64,
    /// Those with a whole and right answer.
    pub whole: u64,
    /// Those within both targets.
    pub good: u64,
    /// Those within both targets, a second.
    pub goodput: f64,
    /// The times to the first token.
    pub first_token: Percentiles,
    /// The mean times between tokens.
    pub between_tokens: Percentiles,
}

/// The figures of the plain calls.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Plain {
    /// All.
    pub offered: u64,
    /// Those with a right answer.
    pub whole: u64,
    /// The times to the answer.
    pub time: Percentiles,
    /// Orders and bookings that ran more than once; must be 0.
    pub ran_twice: u64,
    /// Orders and bookings that ran though the answer said that they did not; must be 0.
    pub ran_after_not_run: u64,
    /// Orders and bookings with a right answer that no service ran; lost services aside must be 0.
    pub answered_without_run: u64,
}

/// The figures of one account.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct AccountFigures {
    /// The account.
    pub account: id::ClientAccountId,
    /// The answer tokens of its chats within the ideal limits.
    pub demand: f64,
    /// The answer tokens of its chats within both targets.
    pub good: f64,
    /// Its fair share of all good answer tokens, by weight and demand.
    pub fair_share: f64,
    /// `good` over `fair_share`; 0 when nothing was good, 1 when it asked for nothing.
    pub served: f64,
    /// Its calls within the limits that were refused for the limit.
    pub wrongful: u64,
}

/// Refusals with one status and code.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Refusals {
    /// The HTTP status.
    pub status: u16,
    /// The word for programs.
    pub code: String,
    /// How many.
    pub count: u64,
}

/// Percentiles of times, in milliseconds; zero when there are none.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Percentiles {
    /// The number of times.
    pub count: u64,
    /// The median.
    pub p50: f64,
    /// The 90th.
    pub p90: f64,
    /// The 99th.
    pub p99: f64,
    /// The largest.
    pub max: f64,
}

impl Percentiles {
    /// Counts times in milliseconds.
    ///
    /// # Panics
    ///
    /// Panics if the histogram rejects its fixed precision.
    pub fn new(times: impl Iterator<Item = f64>) -> Self {
        let mut histogram = hdrhistogram::Histogram::<u64>::new(3).expect("three digits are valid");
        for time in times {
            let steps = (time.max(0.0) / STEP_MS).round() as u64;
            histogram
                .record(steps)
                .expect("the histogram grows as needed");
        }
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 * STEP_MS;
        Self {
            count: histogram.len(),
            p50: at(0.5),
            p90: at(0.9),
            p99: at(0.99),
            max: histogram.max() as f64 * STEP_MS,
        }
    }
}

impl Report {
    /// Puts what was seen beside what was asked for.
    ///
    /// # Panics
    ///
    /// If there is not one record for each arrival, by number.
    pub fn new(plan: &plan::Plan, arrivals: &[arrival::Arrival], seen: &Seen) -> Self {
        assert_eq!(arrivals.len(), seen.records.len(), "each call has a record");
        let admitted = ideal::admitted(plan, arrivals);
        let within = ideal::within(plan, arrivals, &seen.records);
        let cold = arrivals.partition_point(|a| a.at < plan.traffic.warm_up_ms);
        let records = &seen.records[cold..];
        let within = &within[cold..];
        let accounts = account_figures(plan, &arrivals[cold..], records, &admitted[cold..], within);
        let ends = |end| records.iter().filter(|r| r.end == end).count() as u64;
        let served = accounts.iter().map(|a| a.served);
        Self {
            seed: plan.traffic.seed,
            chats: chats(plan, records),
            plain: plain_figures(plan, arrivals, seen),
            wasted_prefill: wasted(seen),
            worst_served: served.fold(f64::INFINITY, f64::min),
            accounts,
            wrongful_refusals: part(records, within, record::Record::is_limited),
            refused_within_limits: part(records, within, record::Record::is_refused),
            refusals: refusals(records),
            wrong: ends(record::End::Wrong),
            broken: ends(record::End::Broken),
            unreachable: ends(record::End::Unreachable),
            timed_out: ends(record::End::TimedOut),
        }
    }
}

fn part(
    records: &[record::Record],
    within: &[bool],
    is_counted: impl Fn(&record::Record) -> bool,
) -> f64 {
    let all = records.iter().zip(within).filter(|(_, within)| **within);
    let (mut calls, mut counted) = (0, 0);
    for (record, _) in all {
        calls += 1;
        counted += u64::from(is_counted(record));
    }
    ratio(counted, calls)
}

fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}

fn chats(plan: &plan::Plan, records: &[record::Record]) -> Chats {
    let chats = || records.iter().filter(|r| r.kind == arrival::Kind::Chat);
    let good = chats().filter(|r| is_good(plan, r)).count() as u64;
    Chats {
        offered: chats().count() as u64,
        whole: chats().filter(|r| r.end == record::End::Whole).count() as u64,
        good,
        goodput: good as f64 / plan.traffic.counted().as_secs_f64(),
        first_token: Percentiles::new(chats().filter_map(|r| r.first_token_ms)),
        between_tokens: Percentiles::new(chats().filter_map(|r| r.between_tokens_ms)),
    }
}

fn is_good(plan: &plan::Plan, record: &record::Record) -> bool {
    record.is_good(plan.model.first_token_ms, plan.model.between_tokens_ms)
}

fn plain_figures(plan: &plan::Plan, arrivals: &[arrival::Arrival], seen: &Seen) -> Plain {
    let plain = || {
        seen.records
            .iter()
            .filter(|r| r.kind != arrival::Kind::Chat)
    };
    let whole = || plain().filter(|r| r.end == record::End::Whole);
    let runs = order_runs(&seen.orders);
    let orders = || {
        let is_order = |r: &&record::Record| r.kind != arrival::Kind::Lookup;
        plain().filter(is_order).map(|record| {
            let name = arrivals[record.number as usize].order_name(plan.traffic.seed);
            (record, runs.get(&name).copied().unwrap_or(0))
        })
    };
    let is_not_run = |r: &record::Record| r.outcome.as_deref() == Some("not-run");
    let answered = |r: &record::Record| r.end == record::End::Whole;
    let twice = orders().filter(|(_, runs)| *runs > 1);
    let after_not_run = orders().filter(|(r, runs)| *runs > 0 && is_not_run(r));
    let without_run = orders().filter(|(r, runs)| *runs == 0 && answered(r));
    Plain {
        offered: plain().count() as u64,
        whole: whole().count() as u64,
        time: Percentiles::new(whole().map(|r| (r.ended - r.at).as_u64() as f64)),
        ran_twice: twice.count() as u64,
        ran_after_not_run: after_not_run.count() as u64,
        answered_without_run: match seen.orders.is_empty() {
            true => 0,
            false => without_run.count() as u64,
        },
    }
}

fn order_runs(services: &[plain::Orders]) -> sorted::Map<String, u64> {
    let mut runs = sorted::Map::new();
    for count in services.iter().flat_map(|s| &s.orders) {
        *runs.get_or_insert_with(count.order.clone(), || 0) += count.runs;
    }
    runs
}

fn wasted(seen: &Seen) -> f64 {
    let sum = |all: &[totals::Totals], of: fn(&totals::Totals) -> unit::Tokens| {
        all.iter().map(of).sum::<unit::Tokens>()
    };
    let grown = |of| sum(&seen.after, of).saturating_sub(sum(&seen.before, of));
    let computed = grown(|t| t.computed_tokens);
    let used = grown(|t| t.decoded_from_tokens);
    ratio(computed.saturating_sub(used).as_u64(), computed.as_u64())
}

fn account_figures(
    plan: &plan::Plan,
    arrivals: &[arrival::Arrival],
    records: &[record::Record],
    admitted: &[bool],
    within: &[bool],
) -> Vec<AccountFigures> {
    let mut demand = vec![0.0; plan.accounts.len()];
    let mut good = vec![0.0; plan.accounts.len()];
    for ((arrival, record), admitted) in arrivals.iter().zip(records).zip(admitted) {
        let arrival::Work::Chat(chat) = &arrival.work else {
            continue;
        };
        if *admitted {
            demand[arrival.account] += chat.answer_tokens as f64;
        }
        if is_good(plan, record) {
            good[arrival.account] += chat.answer_tokens as f64;
        }
    }
    let claims = plan
        .accounts
        .iter()
        .zip(&demand)
        .map(|(account, demand)| fairness::Claim {
            demand: *demand,
            weight: f64::from(account.weight.max(1)),
        });
    let claims: Vec<_> = claims.collect();
    let shares = fairness::shares(good.iter().sum(), &claims);
    let wrongful = |i: usize| {
        let own = records.iter().zip(within).filter(|(r, _)| r.account == i);
        own.filter(|(r, within)| r.is_limited() && **within).count() as u64
    };
    let figures = |i: usize| AccountFigures {
        account: plan.accounts[i].id.clone(),
        demand: demand[i],
        good: good[i],
        fair_share: shares[i],
        served: served(good[i], shares[i], demand[i]),
        wrongful: wrongful(i),
    };
    (0..plan.accounts.len()).map(figures).collect()
}

fn served(good: f64, share: f64, demand: f64) -> f64 {
    if demand == 0.0 {
        return 1.0;
    }
    match share > 0.0 {
        true => good / share,
        false => 0.0,
    }
}

fn refusals(records: &[record::Record]) -> Vec<Refusals> {
    let mut counts = sorted::Map::new();
    for record in records {
        if let record::End::Refused { status, code } = &record.end {
            *counts.get_or_insert_with((*status, code.clone()), || 0) += 1;
        }
    }
    let counts = counts.iter().map(|((status, code), count)| Refusals {
        status: *status,
        code: code.clone(),
        count: *count,
    });
    counts.collect()
}
