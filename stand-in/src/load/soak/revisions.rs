//! Watches that no gateway ever serves an older configuration than before.

use std::net;
use std::time;

use tokio::sync::watch;

use crate::client;
use crate::load::cluster;

/// The pause between two looks at a gateway.
const PERIOD: time::Duration = time::Duration::from_millis(100);
/// How long a gateway may take to tell its status.
const PATIENCE: time::Duration = time::Duration::from_secs(1);

/// The gateways to watch.
#[derive(Debug)]
pub struct Watch {
    gateways: Vec<net::SocketAddr>,
}

impl Watch {
    /// Watches all gateways of a deployment.
    pub fn new(cluster: &cluster::Cluster, gateways: usize) -> Self {
        let gateways = (0..gateways).map(|i| cluster.status_address(i)).collect();
        Self { gateways }
    }

    /// Watches until `stop` turns true, and returns each step back.
    pub async fn run(&self, stop: watch::Receiver<bool>) -> Vec<String> {
        let mut highest = vec![0; self.gateways.len()];
        let mut reverts = Vec::new();
        while !*stop.borrow() {
            for (i, address) in self.gateways.iter().enumerate() {
                let Some(revision) = revision(*address).await else {
                    continue;
                };
                if revision < highest[i] {
                    let before = highest[i];
                    reverts.push(format!("gateway {i} went from {before} to {revision}"));
                }
                highest[i] = highest[i].max(revision);
            }
            tokio::time::sleep(PERIOD).await;
        }
        reverts
    }
}

/// Returns the revision that a gateway serves by, if it does.
async fn revision(address: net::SocketAddr) -> Option<u64> {
    let req = client::request(hyper::Method::GET, "/v1/status");
    let answer = tokio::time::timeout(PATIENCE, client::ask(address, req)).await;
    let status: serde_json::Value = answer.ok()?.ok()?.json().ok()?;
    status["fresh"].as_bool()?.then_some(())?;
    status["revision"].as_u64()
}
