//! Two operators who change the same account under equal numbers, again and again.

use std::net;
use std::time;

use buckthorncleat::state::change;
use buckthorncleat::state::model;
use buckthorncleat::unit;
use tokio::sync::watch;

use crate::client;
use crate::load::cluster;

/// The pause between two races.
const PERIOD: time::Duration = time::Duration::from_millis(700);

/// The racing operators.
#[derive(Debug)]
pub struct Race {
    admin: Vec<net::SocketAddr>,
    acknowledged: Vec<String>,
    figures: Figures,
    violations: Vec<String>,
}

/// The figures of all races.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub struct Figures {
    /// The races.
    pub races: u64,
    /// Those that one operator won.
    pub won: u64,
    /// The changes that were refused as made on an older state.
    pub conflicts: u64,
    /// The changes that got no answer.
    pub unanswered: u64,
}

impl Race {
    /// Makes the operators of a deployment.
    pub fn new(cluster: &cluster::Cluster) -> Self {
        let control = (0..3).map(cluster::operate::Which::Control);
        Self {
            admin: control.map(|which| cluster.address(which)).collect(),
            acknowledged: Vec::new(),
            figures: Figures::default(),
            violations: Vec::new(),
        }
    }

    /// Races until `stop` turns true.
    pub async fn run(mut self, stop: watch::Receiver<bool>) -> Self {
        for round in 0_usize.. {
            if *stop.borrow() {
                break;
            }
            self.race(round).await;
            tokio::time::sleep(PERIOD).await;
        }
        self
    }

    async fn race(&mut self, round: usize) {
        let Some(revision) = self.revision().await else {
            return;
        };
        self.figures.races += 1;
        let names = [format!("race-{round}-a"), format!("race-{round}-b")];
        let (a, b) = tokio::join!(
            self.change(&names[0], revision),
            self.change(&names[1], revision),
        );
        let mut winners = 0;
        for (name, status) in names.into_iter().zip([a, b]) {
            match status {
                Some(200..=299) => {
                    winners += 1;
                    self.acknowledged.push(name);
                }
                Some(412) => self.figures.conflicts += 1,
                _ => self.figures.unanswered += 1,
            }
        }
        self.figures.won += u64::from(winners == 1);
        if winners > 1 {
            let what = format!("race {round}: both operators won under revision {revision}");
            self.violations.push(what);
        }
    }

    async fn revision(&self) -> Option<u64> {
        for address in &self.admin {
            let req =
                cluster::operate::as_operator(client::request(hyper::Method::GET, "/v1/config"));
            let asked = tokio::time::timeout(cluster::ASK_TIMEOUT, client::ask(*address, req));
            if let Ok(Ok(answer)) = asked.await
                && answer.status.is_success()
                && let Ok(value) = answer.json::<serde_json::Value>()
            {
                return value["revision"].as_u64();
            }
        }
        None
    }

    async fn change(&self, name: &str, revision: u64) -> Option<u16> {
        let changes = vec![change::Change::PutAccount(model::ClientAccount {
            id: name.parse().ok()?,
            rate: unit::TokensPerSecond::new(1),
            burst: unit::Tokens::new(1),
            priority: model::Priority::Low,
            weight: 1,
        })];
        for address in &self.admin {
            let mut req = cluster::operate::change_request(name, &changes);
            let expected = format!("\"{revision}\"");
            req.headers_mut()
                .insert(hyper::header::IF_MATCH, expected.parse().ok()?);
            let asked = tokio::time::timeout(cluster::ASK_TIMEOUT, client::ask(*address, req));
            if let Ok(Ok(answer)) = asked.await
                && answer.status.as_u16() != 503
            {
                return Some(answer.status.as_u16());
            }
        }
        None
    }

    /// Checks that every acknowledged change is still there.
    pub async fn check(&self, cluster: &cluster::Cluster) -> Vec<String> {
        let mut violations = self.violations.clone();
        let Some(config) = cluster.config().await else {
            violations.push("no control member tells the configuration".to_owned());
            return violations;
        };
        let lost = self.acknowledged.iter().filter(|name| {
            let mut accounts = config.accounts.iter();
            !accounts.any(|account| account.id.as_str() == name.as_str())
        });
        violations.extend(lost.map(|name| format!("acknowledged change {name} is lost")));
        violations
    }

    /// Returns the figures.
    pub fn figures(&self) -> Figures {
        self.figures
    }
}
