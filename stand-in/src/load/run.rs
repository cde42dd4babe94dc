//! Runs a plan with open-loop callers: each call is sent when it is due, whether or not earlier
//! calls have ended.

use std::convert;
use std::net;
use std::sync;

use tokio::time;

use crate::client;
use crate::engine::totals;
use crate::load::arrival;
use crate::load::caller;
use crate::load::entries;
use crate::load::plan;
use crate::load::record;
use crate::load::report;
use crate::plain;

/// Longest wait for the totals or orders of one stand-in.
const READ_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Delay between two readings of the engines' totals.
const TOTALS_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Runs a plan and returns its report. Calls `on_ended` at the end of each call.
pub async fn run(
    plan: &sync::Arc<plan::Plan>,
    on_ended: impl Fn(&record::Record),
) -> report::Report {
    let arrivals = arrival::draw(plan);
    let mut before = vec![totals::Totals::default(); plan.engines.len()];
    read_totals(plan, &mut before).await;
    let mut after = before.clone();
    let records = tokio::select! {
        records = make_calls(plan, &arrivals, on_ended) => records,
        never = poll_totals(plan, &mut after) => match never {},
    };
    read_totals(plan, &mut after).await;
    let orders = read_orders(plan).await;
    let observations = report::Observations {
        records,
        before,
        after,
        orders,
    };
    report::Report::new(plan, &arrivals, &observations)
}

async fn make_calls(
    plan: &sync::Arc<plan::Plan>,
    arrivals: &[arrival::Arrival],
    on_ended: impl Fn(&record::Record),
) -> Vec<record::Record> {
    let start = time::Instant::now();
    let caches = (0..plan.traffic.callers).map(|_| sync::Arc::new(entries::Cache::default()));
    let caches: Vec<_> = caches.collect();
    let mut calls = tokio::task::JoinSet::new();
    let mut records = Vec::new();
    for arrival in arrivals {
        let due = start + arrival.at.as_duration();
        while let Ok(Some(done)) = time::timeout_at(due, calls.join_next()).await {
            finish(&mut records, done, &on_ended);
        }
        time::sleep_until(due).await;
        let (plan, arrival) = (sync::Arc::clone(plan), arrival.clone());
        let cache = sync::Arc::clone(&caches[arrival.number as usize % caches.len()]);
        calls.spawn(async move {
            let cx = caller::Context {
                plan: &plan,
                start,
                cache: &cache,
            };
            caller::call(cx, &arrival).await
        });
    }
    while let Some(done) = calls.join_next().await {
        finish(&mut records, done, &on_ended);
    }
    records.sort_by_key(|record| record.number);
    records
}

fn finish(
    records: &mut Vec<record::Record>,
    done: Result<record::Record, tokio::task::JoinError>,
    on_ended: &impl Fn(&record::Record),
) {
    let record = done.expect("a call does not panic");
    on_ended(&record);
    records.push(record);
}

/// Reads the totals at intervals, so that the last totals of an engine that dies are known.
async fn poll_totals(plan: &plan::Plan, last: &mut [totals::Totals]) -> convert::Infallible {
    loop {
        time::sleep(TOTALS_INTERVAL).await;
        read_totals(plan, last).await;
    }
}

/// Reads the totals of the engines. Those of an engine that does not answer stay unchanged.
async fn read_totals(plan: &plan::Plan, last: &mut [totals::Totals]) {
    for (address, last) in plan.engines.iter().zip(last) {
        if let Some(totals) = read(*address, "/_stand-in/totals").await {
            *last = totals;
        }
    }
}

async fn read_orders(plan: &plan::Plan) -> Vec<plain::Orders> {
    let mut all = Vec::new();
    for address in &plan.services {
        all.push(
            read(*address, "/_stand-in/orders")
                .await
                .unwrap_or_default(),
        );
    }
    all
}

async fn read<T: serde::de::DeserializeOwned>(address: net::SocketAddr, path: &str) -> Option<T> {
    let req = client::request(hyper::Method::GET, path);
    let answer = time::timeout(READ_TIMEOUT, client::ask(address, req)).await;
    answer.ok()?.ok()?.json().ok()
}
