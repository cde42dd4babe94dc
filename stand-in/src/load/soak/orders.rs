//! Orders that are sent until they have a final answer, through one gateway after the other.

use std::net;
use std::time;

use buckthorncleat::state::model;
use tokio::sync::watch;

use crate::client;
use crate::load::cluster;
use crate::load::plan;
use crate::plain;

/// The pause between two orders.
const PERIOD: time::Duration = time::Duration::from_millis(150);
/// How long one sending waits for its answer.
const PATIENCE: time::Duration = time::Duration::from_secs(4);
/// The times that one order is sent.
const SENDINGS: usize = 12;
/// The pause before an order is sent again.
const PAUSE: time::Duration = time::Duration::from_millis(250);

/// Sends orders, each again and again until it is answered as ran or as perhaps ran.
#[derive(Debug)]
pub struct Sender {
    entries: Vec<net::SocketAddr>,
    path: String,
    key: String,
}

/// What became of each order.
#[derive(Debug, Default)]
pub struct Sent {
    orders: Vec<Order>,
}

#[derive(Clone, Debug)]
struct Order {
    name: String,
    end: End,
    sendings: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Ran,
    NotRun,
    Unknown,
}

/// The figures of all orders.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub struct Figures {
    /// The orders.
    pub orders: u64,
    /// How often they were sent together.
    pub sendings: u64,
    /// Those answered as ran.
    pub ran: u64,
    /// Those whose every sending was answered as not run.
    pub not_run: u64,
    /// Those that may have run.
    pub unknown: u64,
}

impl Sender {
    /// Makes the sender of a plan's first account.
    pub fn new(plan: &plan::Plan) -> Self {
        Self {
            entries: plan.entries.clone(),
            path: plan.traffic.order_path.clone(),
            key: plan.accounts[0].key.clone(),
        }
    }

    /// Sends orders until `stop` turns true.
    pub async fn run(&self, stop: watch::Receiver<bool>) -> Sent {
        let mut calls = tokio::task::JoinSet::new();
        let mut sent = Sent::default();
        for number in 0_usize.. {
            if *stop.borrow() {
                break;
            }
            let (entries, path, key) = (self.entries.clone(), self.path.clone(), self.key.clone());
            calls.spawn(async move { send(&entries, &path, &key, number).await });
            tokio::time::sleep(PERIOD).await;
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
        end: End::NotRun,
        sendings: 0,
    };
    for sending in 0..SENDINGS {
        let entry = entries[(number + sending) % entries.len()];
        order.sendings += 1;
        match send_once(entry, path, key, &order.name).await {
            Some(End::Ran) => {
                order.end = End::Ran;
                return order;
            }
            Some(End::NotRun) => {}
            Some(End::Unknown) | None => order.end = End::Unknown,
        }
        tokio::time::sleep(PAUSE).await;
    }
    order
}

/// Sends an order once; `None` when no answer came.
async fn send_once(entry: net::SocketAddr, path: &str, key: &str, name: &str) -> Option<End> {
    let body = serde_json::json!({ "order": name });
    let mut req = client::post(path, &body);
    let headers = req.headers_mut();
    let bearer = format!("Bearer {key}");
    headers.insert(hyper::header::AUTHORIZATION, bearer.parse().ok()?);
    headers.insert("idempotency-key", name.parse().ok()?);
    let answer = tokio::time::timeout(PATIENCE, client::ask(entry, req)).await;
    let answer = answer.ok()?.ok()?;
    let outcome = answer.headers.get("buckthorncleat-outcome")?;
    match outcome.to_str().ok()? {
        "ran" => Some(End::Ran),
        "not-run" => Some(End::NotRun),
        _ => Some(End::Unknown),
    }
}

impl Sent {
    /// Compares what callers were told with what the services counted.
    pub async fn check(&self, cluster: &cluster::Cluster) -> Vec<String> {
        let mut counted = Vec::new();
        for i in cluster.servers_of(model::Role::Plain) {
            let address = cluster.address(cluster::operate::Which::Server(i));
            let req = client::request(hyper::Method::GET, "/_stand-in/orders");
            let answer = client::ask(address, req).await;
            match answer.and_then(|a| a.json::<plain::Orders>()) {
                Ok(orders) => counted.extend(orders.orders),
                Err(e) => return vec![format!("service {i} does not tell its counts: {e}")],
            }
        }
        let runs_of = |name: &str| {
            let runs = counted.iter().filter(|c| c.order == name).map(|c| c.runs);
            runs.sum::<u64>()
        };
        let orders = self.orders.iter();
        orders
            .filter_map(|order| order.fault(runs_of(&order.name)))
            .collect()
    }

    /// Returns the figures.
    pub fn figures(&self) -> Figures {
        let count = |end| self.orders.iter().filter(|o| o.end == end).count() as u64;
        Figures {
            orders: self.orders.len() as u64,
            sendings: self.orders.iter().map(|o| o.sendings).sum(),
            ran: count(End::Ran),
            not_run: count(End::NotRun),
            unknown: count(End::Unknown),
        }
    }
}

impl Order {
    fn fault(&self, runs: u64) -> Option<String> {
        let right = match self.end {
            End::Ran => runs == 1,
            End::NotRun => runs == 0,
            End::Unknown => runs <= 1,
        };
        let Self { name, end, .. } = self;
        (!right).then(|| format!("order {name} was answered {end:?} and ran {runs} times"))
    }
}
