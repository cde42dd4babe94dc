//! Checks that no gateway serves an older configuration than it served before.

use std::net;
use std::time;

use tokio::sync::watch;

use crate::client;
use crate::load::cluster;

/// Time between two polls of the gateways.
const POLL_DELAY: time::Duration = time::Duration::from_millis(100);
/// Longest time for a gateway to return its status.
const STATUS_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Polls the configuration revisions of gateways.
#[derive(Debug)]
pub struct Watch {
    gateways: Vec<net::SocketAddr>,
}

impl Watch {
    /// Returns a watch over the first `gateways` gateways of a deployment.
    pub fn new(cluster: &cluster::Cluster, gateways: usize) -> Self {
        let gateways = (0..gateways).map(|i| cluster.status_address(i)).collect();
        Self { gateways }
    }

    /// Polls until `stop` is true; returns one line per poll that returned an older revision.
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
                    reverts.push(format!(
                        "gateway {i} went back from revision {before} to {revision}"
                    ));
                }
                highest[i] = highest[i].max(revision);
            }
            tokio::time::sleep(POLL_DELAY).await;
        }
        reverts
    }
}

/// Returns the revision that a gateway serves.
///
/// `None` if it does not answer in time or its status is not `fresh`.
async fn revision(address: net::SocketAddr) -> Option<u64> {
    let req = client::request(hyper::Method::GET, "/v1/status");
    let answer = tokio::time::timeout(STATUS_TIMEOUT, client::ask(address, req)).await;
    let status: serde_json::Value = answer.ok()?.ok()?.json().ok()?;
    status["fresh"].as_bool()?.then_some(())?;
    status["revision"].as_u64()
}
