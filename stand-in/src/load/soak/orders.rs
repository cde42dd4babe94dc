//! Orders that are retried through one gateway after the other, until they are answered as run.

use std::net;
use std::time;

use buckthorncleat::state::model;
use tokio::sync::watch;

use crate::client;
use crate::load::cluster;
use crate::load::plan;
use crate::plain;

/// Time between two orders.
const ORDER_DELAY: time::Duration = time::Duration::from_millis(150);
/// Longest time for one attempt to be answered.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_secs(4);
/// Most attempts of one order.
const MAX_ATTEMPTS: usize = 12;
/// Time between two attempts of one order.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(250);

/// Sends orders, each until it is answered as run or `MAX_ATTEMPTS` is reached.
#[derive(Debug)]
pub struct Sender {
    entries: Vec<net::SocketAddr>,
    path: String,
    key: String,
}

/// The orders sent, with the outcome of each.
#[derive(Debug, Default)]
pub struct Sent {
    orders: Vec<Order>,
}

#[derive(Clone, Debug)]
struct Order {
    name: String,
    outcome: Outcome,
    attempts: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Ran,
    NotRun,
    Unknown,
}

/// Counts over all orders.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub struct Figures {
    pub orders: u64,
    /// Attempts of all orders together.
    pub sendings: u64,
    /// Orders answered as run.
    pub ran: u64,
    /// Orders of which every attempt was answered as not run.
    pub not_run: u64,
    /// Orders not answered as run, of which an attempt got no answer or an unknown outcome.
    pub unknown: u64,
}

impl Sender {
    /// Returns a sender that uses the key of the plan's first account.
    pub fn new(plan: &plan::Plan) -> Self {
        Self {
            entries: plan.entries.clone(),
            path: plan.traffic.order_path.clone(),
            key: plan.accounts[0].key.clone(),
        }
    }

    /// Sends orders until `stop` is true, then waits for the open ones.
    pub async fn run(&self, stop: watch::Receiver<bool>) -> Sent {
        let mut calls = tokio::task::JoinSet::new();
        let mut sent = Sent::default();
        for number in 0_usize.. {
            if *stop.borrow() {
                break;
            }
            let (entries, path, key) = (self.entries.clone(), self.path.clone(), self.key.clone());
            calls.spawn(async move { send(&entries, &path, &key, number).await });
            tokio::time::sleep(ORDER_DELAY).await;
            while let Some(Ok(order)) = calls.try_join_next() {
                sent.orders.push(order);
            }
        }
        sent.orders.extend(calls.join_all().await);
        sent
    }
}

async fn send(entries: &[net::SocketAddr], path: &str, key: &str, number: usize) -> Order {
    let mut order = Order {
        name: format!("soak-{number}"),
        outcome: Outcome::NotRun,
        attempts: 0,
    };
    for attempt in 0..MAX_ATTEMPTS {
        let entry = entries[(number + attempt) % entries.len()];
        order.attempts += 1;
        match send_once(entry, path, key, &order.name).await {
            Some(Outcome::Ran) => {
                order.outcome = Outcome::Ran;
                return order;
            }
            Some(Outcome::NotRun) => {}
            Some(Outcome::Unknown) | None => order.outcome = Outcome::Unknown,
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    order
}

/// Sends an order once.
///
/// Returns `None` if no answer with an outcome came within `ANSWER_TIMEOUT`.
async fn send_once(entry: net::SocketAddr, path: &str, key: &str, name: &str) -> Option<Outcome> {
    let body = serde_json::json!({ "order": name });
    let mut req = client::post(path, &body);
    let headers = req.headers_mut();
    let bearer = format!("Bearer {key}");
    headers.insert(hyper::header::AUTHORIZATION, bearer.parse().ok()?);
    headers.insert("idempotency-key", name.parse().ok()?);
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, client::ask(entry, req)).await;
    let answer = answer.ok()?.ok()?;
    let outcome = answer.headers.get("buckthorncleat-outcome")?;
    match outcome.to_str().ok()? {
        "ran" => Some(Outcome::Ran),
        "not-run" => Some(Outcome::NotRun),
        _ => Some(Outcome::Unknown),
    }
}

impl Sent {
    /// Compares the outcomes told to callers with the runs that the services counted.
    ///
    /// Returns one line per order whose outcome does not match its runs.
    pub async fn check(&self, cluster: &cluster::Cluster) -> Vec<String> {
        let mut counted = Vec::new();
        for i in cluster.servers_of(model::Role::Plain) {
            let address = cluster.address(cluster::operate::Which::Server(i));
            let req = client::request(hyper::Method::GET, "/_stand-in/orders");
            let answer = client::ask(address, req).await;
            match answer.and_then(|a| a.json::<plain::Orders>()) {
                Ok(orders) => counted.extend(orders.orders),
                Err(e) => return vec![format!("service {i} did not return its counts: {e}")],
            }
        }
        let runs_of = |name: &str| {
            let runs = counted.iter().filter(|c| c.order == name).map(|c| c.runs);
            runs.sum::<u64>()
        };
        let orders = self.orders.iter();
        orders
            .filter_map(|order| order.violation(runs_of(&order.name)))
            .collect()
    }

    pub fn figures(&self) -> Figures {
        let count = |outcome| self.orders.iter().filter(|o| o.outcome == outcome).count() as u64;
        Figures {
            orders: self.orders.len() as u64,
            sendings: self.orders.iter().map(|o| o.attempts).sum(),
            ran: count(Outcome::Ran),
            not_run: count(Outcome::NotRun),
            unknown: count(Outcome::Unknown),
        }
    }
}

impl Order {
    fn violation(&self, runs: u64) -> Option<String> {
        let is_consistent = match self.outcome {
            Outcome::Ran => runs == 1,
            Outcome::NotRun => runs == 0,
            Outcome::Unknown => runs <= 1,
        };
        let Self { name, outcome, .. } = self;
        (!is_consistent)
            .then(|| format!("order {name} was answered {outcome:?} and ran {runs} times"))
    }
}
