//! Report on one run, computed from its calls and the totals of the stand-ins.

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

/// Resolution of the latency histograms, in milliseconds.
const RESOLUTION_MS: f64 = 0.1;

/// Raw observations of one run.
#[derive(Clone, Debug)]
pub struct Observations {
    /// Records of all calls, by number.
    pub records: Vec<record::Record>,
    /// Totals of the engines before the run.
    pub before: Vec<totals::Totals>,
    /// Totals of the engines after the run. For a lost engine, the last totals read.
    pub after: Vec<totals::Totals>,
    /// Orders that ran at the plain services; empty for a service that no longer answers.
    pub orders: Vec<plain::Orders>,
}

/// Figures of one run.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Report {
    pub seed: u64,
    pub chats: Chats,
    pub plain: Plain,
    /// Computed prompt tokens that no decode used, over all computed ones. 0 if none were computed.
    pub wasted_prefill: f64,
    pub accounts: Vec<AccountFigures>,
    /// Smallest [`AccountFigures::served`].
    pub worst_served: f64,
    /// Calls within the limits that were refused for the limit, over all calls within the limits.
    pub wrongful_refusals: f64,
    /// Calls within the limits that were refused for any reason, over all calls within the limits.
    pub refused_within_limits: f64,
    /// Refusals by status and code.
    pub refusals: Vec<Refusals>,
    /// Answers that were complete but not as expected.
    pub wrong: u64,
    /// Answers that ended before they were complete.
    pub broken: u64,
    /// Calls that could not reach a gateway entry.
    pub unreachable: u64,
    /// Calls that did not end within the caller's time-out.
    pub timed_out: u64,
}

/// Figures of the chats.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Chats {
    /// Number of calls made.
    pub offered: u64,
    /// Number of complete and correct answers.
    pub whole: u64,
    /// Number of complete and correct answers within both latency targets.
    pub good: u64,
    /// `good` per second of the counted time.
    pub goodput: f64,
    /// Times to the first token.
    pub first_token: Percentiles,
    /// Mean times between tokens of each chat.
    pub between_tokens: Percentiles,
}

/// Figures of the plain calls, including those in the warm-up.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Plain {
    /// Number of calls made.
    pub offered: u64,
    /// Number of correct answers.
    pub whole: u64,
    /// Times to the complete answer.
    pub time: Percentiles,
    /// Orders and bookings that ran more than once. Must be 0.
    pub ran_twice: u64,
    /// Orders and bookings that ran although the answer said that they did not. Must be 0.
    pub ran_after_not_run: u64,
    /// Orders and bookings with a correct answer that no service ran. Must be 0 unless a service
    /// was lost.
    pub answered_without_run: u64,
}

/// Figures of one account.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct AccountFigures {
    pub account: id::ClientAccountId,
    /// Answer tokens of its chats that an ideal limiter would admit.
    pub demand: f64,
    /// Answer tokens of its chats within both latency targets.
    pub good: f64,
    /// Fair share of the `good` tokens of all accounts, by weight and demand.
    pub fair_share: f64,
    /// `good` over `fair_share`. 0 if `fair_share` is 0, 1 if `demand` is 0.
    pub served: f64,
    /// Number of its calls within the limits that were refused for the limit.
    pub wrongful: u64,
}

/// Refusals with one status and code.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Refusals {
    /// HTTP status.
    pub status: u16,
    /// Error code in the body, for programs. Empty if there was none.
    pub code: String,
    /// Number of refusals.
    pub count: u64,
}

/// Percentiles of times, in milliseconds. All are 0 if there are no times.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Percentiles {
    /// Number of times.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 99th percentile.
    pub p99: f64,
    pub max: f64,
}

impl Percentiles {
    /// Computes the percentiles of times in milliseconds.
    ///
    /// # Panics
    ///
    /// Panics if the histogram rejects its fixed precision.
    pub fn new(times: impl Iterator<Item = f64>) -> Self {
        let mut histogram = hdrhistogram::Histogram::<u64>::new(3).expect("three digits are valid");
        for time in times {
            let steps = (time.max(0.0) / RESOLUTION_MS).round() as u64;
            histogram
                .record(steps)
                .expect("the histogram grows as needed");
        }
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 * RESOLUTION_MS;
        Self {
            count: histogram.len(),
            p50: at(0.5),
            p90: at(0.9),
            p99: at(0.99),
            max: histogram.max() as f64 * RESOLUTION_MS,
        }
    }
}

impl Report {
    /// Computes the figures of a run from its plan, its arrivals and what was observed.
    ///
    /// # Panics
    ///
    /// Panics if the number of records differs from the number of arrivals.
    pub fn new(
        plan: &plan::Plan,
        arrivals: &[arrival::Arrival],
        observations: &Observations,
    ) -> Self {
        assert_eq!(
            arrivals.len(),
            observations.records.len(),
            "each call has a record"
        );
        let admitted = ideal::admitted(plan, arrivals);
        let within = ideal::within(plan, arrivals, &observations.records);
        let warm_up_calls = arrivals.partition_point(|a| a.at < plan.traffic.warm_up_ms);
        let records = &observations.records[warm_up_calls..];
        let within = &within[warm_up_calls..];
        let accounts = account_figures(
            plan,
            &arrivals[warm_up_calls..],
            records,
            &admitted[warm_up_calls..],
            within,
        );
        let count_ended = |end| records.iter().filter(|r| r.end == end).count() as u64;
        let served = accounts.iter().map(|a| a.served);
        Self {
            seed: plan.traffic.seed,
            chats: chats(plan, records),
            plain: plain_figures(plan, arrivals, observations),
            wasted_prefill: wasted_prefill_share(observations),
            worst_served: served.fold(f64::INFINITY, f64::min),
            accounts,
            wrongful_refusals: share_within_limits(records, within, record::Record::is_limited),
            refused_within_limits: share_within_limits(records, within, record::Record::is_refused),
            refusals: refusals(records),
            wrong: count_ended(record::End::Wrong),
            broken: count_ended(record::End::Broken),
            unreachable: count_ended(record::End::Unreachable),
            timed_out: count_ended(record::End::TimedOut),
        }
    }
}

fn share_within_limits(
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

fn plain_figures(
    plan: &plan::Plan,
    arrivals: &[arrival::Arrival],
    observations: &Observations,
) -> Plain {
    let plain = || {
        observations
            .records
            .iter()
            .filter(|r| r.kind != arrival::Kind::Chat)
    };
    let whole = || plain().filter(|r| r.end == record::End::Whole);
    let runs = order_runs(&observations.orders);
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
        answered_without_run: match observations.orders.is_empty() {
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

fn wasted_prefill_share(observations: &Observations) -> f64 {
    let sum = |all: &[totals::Totals], of: fn(&totals::Totals) -> unit::Tokens| {
        all.iter().map(of).sum::<unit::Tokens>()
    };
    let increase = |of| sum(&observations.after, of).saturating_sub(sum(&observations.before, of));
    let computed = increase(|t| t.computed_tokens);
    let used = increase(|t| t.decoded_from_tokens);
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
