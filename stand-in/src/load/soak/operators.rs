//! Two operators who repeatedly make concurrent changes based on the same revision.

use std::net;
use std::time;

use buckthorncleat::state::change;
use buckthorncleat::state::model;
use buckthorncleat::unit;
use tokio::sync::watch;

use crate::client;
use crate::load::cluster;

/// Time between two races.
const RACE_DELAY: time::Duration = time::Duration::from_millis(700);

/// The two operators, whose every race is a pair of changes based on one revision.
#[derive(Debug)]
pub struct Race {
    admin: Vec<net::SocketAddr>,
    acknowledged: Vec<String>,
    figures: Figures,
    violations: Vec<String>,
}

/// Counts over all races.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub struct Figures {
    pub races: u64,
    /// Races in which exactly one operator's change was accepted.
    pub won: u64,
    /// Changes that were refused with 412 because the revision was no longer current.
    pub conflicts: u64,
    /// Changes that got no answer, or another status than success or 412.
    pub unanswered: u64,
}

impl Race {
    pub fn new(cluster: &cluster::Cluster) -> Self {
        let control = (0..3).map(cluster::operate::Which::Control);
        Self {
            admin: control.map(|which| cluster.address(which)).collect(),
            acknowledged: Vec::new(),
            figures: Figures::default(),
            violations: Vec::new(),
        }
    }

    /// Runs races until `stop` is true.
    pub async fn run(mut self, stop: watch::Receiver<bool>) -> Self {
        for round in 0_usize.. {
            if *stop.borrow() {
                break;
            }
            self.race(round).await;
            tokio::time::sleep(RACE_DELAY).await;
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
            let what = format!(
                "race {round}: both operators' changes were accepted at revision {revision}"
            );
            self.violations.push(what);
        }
    }

    async fn revision(&self) -> Option<u64> {
        for address in &self.admin {
            let req =
                cluster::operate::as_operator(client::request(hyper::Method::GET, "/v1/config"));
            let asked = tokio::time::timeout(cluster::ANSWER_TIMEOUT, client::ask(*address, req));
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
            let asked = tokio::time::timeout(cluster::ANSWER_TIMEOUT, client::ask(*address, req));
            if let Ok(Ok(answer)) = asked.await
                && answer.status.as_u16() != 503
            {
                return Some(answer.status.as_u16());
            }
        }
        None
    }

    /// Returns one line per race that both operators won and per acknowledged change that is not
    /// in the configuration.
    pub async fn check(&self, cluster: &cluster::Cluster) -> Vec<String> {
        let mut violations = self.violations.clone();
        let Some(config) = cluster.config().await else {
            violations.push("no control member returned the configuration".to_owned());
            return violations;
        };
        let lost = self.acknowledged.iter().filter(|name| {
            let mut accounts = config.accounts.iter();
            !accounts.any(|account| account.id.as_str() == name.as_str())
        });
        violations.extend(lost.map(|name| format!("acknowledged change {name} is lost")));
        violations
    }

    pub fn figures(&self) -> Figures {
        self.figures
    }
}
