//! A writer that records acknowledged changes and checks that the log still holds them.

use std::net;
use std::sync;
use std::time;

use buckthorncleat::clock;
use buckthorncleat::id;
use buckthorncleat::peer::link;
use buckthorncleat::peer::message;
use buckthorncleat::state::change;
use buckthorncleat::state::command;
use buckthorncleat::state::model;
use buckthorncleat::unit;

use super::cluster;

pub struct Writer {
    links: sync::Arc<link::Links>,
    addresses: Vec<net::SocketAddr>,
    /// Index of the address that answered last; it is asked first.
    preferred: usize,
    next: usize,
    slowest: time::Duration,
    acknowledged: Vec<change::Commit>,
}

impl Writer {
    pub fn new(links: sync::Arc<link::Links>, addresses: Vec<net::SocketAddr>) -> Self {
        Self {
            links,
            addresses,
            preferred: 0,
            next: 0,
            slowest: time::Duration::ZERO,
            acknowledged: Vec::new(),
        }
    }

    /// Writes until `count` more changes are acknowledged.
    pub async fn write(&mut self, count: usize) {
        for _ in 0..count {
            self.write_one().await;
        }
    }

    /// Writes `count` changes and injects a fault after half of them, with one write in flight.
    pub async fn write_while(&mut self, count: usize, fault: impl FnOnce()) {
        self.write(count / 2).await;
        let links = sync::Arc::clone(&self.links);
        let (addresses, request) = (self.addresses.clone(), self.request(self.next));
        let in_flight = tokio::spawn(async move {
            for address in addresses {
                cluster::ask(&links, address, &request).await;
            }
        });
        tokio::task::yield_now().await;
        fault();
        self.write(count / 2).await;
        in_flight.await.unwrap();
    }

    /// Returns the address of the member that answers a watch, which only the leader does.
    pub async fn leader(&self) -> net::SocketAddr {
        self.watch().await.0
    }

    /// Checks that the log holds all acknowledged changes at the acknowledged revisions.
    pub async fn check(&self) {
        let (_, watched) = self.watch().await;
        let message::Update::Commits(commits) = watched.update else {
            panic!("the history is shorter than this test");
        };
        for pair in commits.windows(2) {
            assert_eq!(pair[1].revision, pair[0].revision.next());
        }
        for acknowledged in &self.acknowledged {
            assert!(commits.contains(acknowledged), "lost: {acknowledged:?}");
        }
        let count = self.acknowledged.len();
        println!(
            "{count} changes, the slowest acknowledged in {:?}",
            self.slowest
        );
    }

    async fn write_one(&mut self) {
        let number = self.next;
        self.next += 1;
        let request = self.request(number);
        let start = time::Instant::now();
        loop {
            for _ in 0..self.addresses.len() {
                let address = self.addresses[self.preferred];
                let reply = cluster::ask(&self.links, address, &request).await;
                if let Some(message::Reply::Applied(answer)) = reply {
                    self.slowest = self.slowest.max(start.elapsed());
                    let command::Answer::Done(revision) = answer else {
                        panic!("unexpected answer {answer:?}");
                    };
                    let changes = vec![put_account(number)];
                    self.acknowledged.push(change::Commit { revision, changes });
                    return;
                }
                self.preferred = (self.preferred + 1) % self.addresses.len();
            }
            assert!(
                start.elapsed() < cluster::HANG_GUARD,
                "no leader for too long"
            );
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    }

    async fn watch(&self) -> (net::SocketAddr, message::Watched) {
        let start = time::Instant::now();
        loop {
            for address in &self.addresses {
                let request = message::Request::Watch(self.watch_request());
                let reply = cluster::ask(&self.links, *address, &request).await;
                if let Some(message::Reply::Watched(watched)) = reply {
                    return (*address, watched);
                }
            }
            assert!(
                start.elapsed() < cluster::HANG_GUARD,
                "no leader for too long"
            );
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    }

    fn watch_request(&self) -> message::Watch {
        let member = model::Member {
            id: self.links.identity().instance.clone(),
            incarnation: self.links.identity().incarnation,
            data_centre: "test".parse().unwrap(),
            caller_address: self.addresses[0],
            peer_address: self.addresses[0],
            leaving: false,
        };
        message::Watch {
            member,
            have: id::Revision::default(),
            wait: clock::Millis::ZERO,
        }
    }

    fn request(&self, number: usize) -> message::Request {
        message::Request::Propose(command::Command::Operate(command::Operation {
            id: format!("operation-{number}").parse().unwrap(),
            operator: "writer".to_owned(),
            expected: None,
            changes: vec![put_account(number)],
            wall: 0,
            digest: number as u64,
        }))
    }
}

fn put_account(number: usize) -> change::Change {
    change::Change::PutAccount(model::ClientAccount {
        id: format!("account-{number}").parse().unwrap(),
        rate: unit::TokensPerSecond::new(number as u64 + 1),
        burst: unit::Tokens::new(number as u64 + 1),
        priority: model::Priority::Normal,
        weight: 1,
    })
}
