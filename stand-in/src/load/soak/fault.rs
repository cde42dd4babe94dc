//! Fault injection for a soak test, drawn from a seeded random number generator.

use std::time;

use buckthorncleat::state::model;
use rand::Rng as _;
use tokio::sync::watch;

use crate::client;
use crate::fault;
use crate::load::cluster;
use crate::load::cluster::operate::Which;
use crate::process;

/// Range of the time that a fault lasts.
const FAULT_MS: std::ops::Range<u64> = 300..4_500;
/// Range of the time without faults between two rounds.
const PAUSE_MS: std::ops::Range<u64> = 200..3_000;
/// Longest time for a control member that lost its disk to become a voter again.
const REPAIR_TIMEOUT: time::Duration = time::Duration::from_secs(60);
/// Longest time for a stand-in to accept injected faults.
const INJECTION_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// One kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// The process gets SIGKILL and is restarted later.
    Kill,
    /// The process gets SIGSTOP, and SIGCONT later.
    Freeze,
    /// The process gets SIGKILL, its data folder is deleted and it is restarted.
    LoseDisk,
    /// A backend server sends nothing more on its open connections; new connections work.
    Silence,
    /// A backend server accepts requests but makes no progress.
    Stall,
    /// An engine cuts all its streams.
    CutStreams,
    /// An engine refuses its next three imports.
    FailImports,
}

/// How often a kind of fault was injected into a kind of process.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Count {
    pub kind: Kind,
    /// `gateway`, `control`, `engine` or `service`.
    pub process: &'static str,
    pub count: u64,
}

/// Injects faults into a deployment and ends each after a time.
#[derive(Debug)]
pub struct Injector {
    cluster: cluster::Cluster,
    rng: rand_chacha::ChaCha8Rng,
    counts: Vec<Count>,
}

#[derive(Clone, Copy, Debug)]
struct Fault {
    kind: Kind,
    which: Which,
}

impl Injector {
    pub fn new(cluster: cluster::Cluster, rng: rand_chacha::ChaCha8Rng) -> Self {
        Self {
            cluster,
            rng,
            counts: Vec::new(),
        }
    }

    pub fn cluster(&self) -> &cluster::Cluster {
        &self.cluster
    }

    /// Returns the deployment; no fault lasts once `run` has returned.
    pub fn into_cluster(self) -> cluster::Cluster {
        self.cluster
    }

    /// Returns how many faults were injected so far, by kind and process.
    pub fn counts(&self) -> Vec<Count> {
        self.counts.clone()
    }

    /// Injects one or two faults at a time until `stop` is true; ends all faults before it returns.
    pub async fn run(&mut self, mut stop: watch::Receiver<bool>) {
        while !*stop.borrow() {
            let mut round = vec![self.draw()];
            if self.rng.random_bool(0.3) {
                let second = self.draw();
                if second.which != round[0].which {
                    round.push(second);
                }
            }
            for fault in &round {
                self.inject(*fault).await;
            }
            let duration = time::Duration::from_millis(self.rng.random_range(FAULT_MS));
            let _ = tokio::time::timeout(duration, stop.wait_for(|stop| *stop)).await;
            for fault in &round {
                self.end_fault(*fault).await;
            }
            let pause = time::Duration::from_millis(self.rng.random_range(PAUSE_MS));
            let _ = tokio::time::timeout(pause, stop.wait_for(|stop| *stop)).await;
        }
    }

    fn draw(&mut self) -> Fault {
        let gateway = self.rng.random_range(0..self.cluster.gateways());
        let control = self.rng.random_range(0..3);
        let engines = self.cluster.servers_of(model::Role::Prefill);
        let engines = [engines, self.cluster.servers_of(model::Role::Decode)].concat();
        let engine = engines[self.rng.random_range(0..engines.len())];
        let services = self.cluster.servers_of(model::Role::Plain);
        let service = services[self.rng.random_range(0..services.len())];
        let (kind, which) = match self.rng.random_range(0..12) {
            0 => (Kind::Kill, Which::Gateway(gateway)),
            1 => (Kind::Freeze, Which::Gateway(gateway)),
            2 => (Kind::Kill, Which::Control(control)),
            3 => (Kind::Freeze, Which::Control(control)),
            4 => (Kind::LoseDisk, Which::Control(control)),
            5 => (Kind::Kill, Which::Server(engine)),
            6 => (Kind::Freeze, Which::Server(engine)),
            7 => (Kind::Silence, Which::Server(engine)),
            8 => (Kind::CutStreams, Which::Server(engine)),
            9 => (Kind::FailImports, Which::Server(engine)),
            10 => (Kind::Stall, Which::Server(service)),
            // A service loses its counts of runs when it ends, so services are not killed.
            _ => (Kind::Silence, Which::Server(service)),
        };
        Fault { kind, which }
    }

    async fn inject(&mut self, fault: Fault) {
        log::info!("inject fault: {fault:?}");
        self.count(fault);
        match fault.kind {
            Kind::Kill | Kind::LoseDisk => {
                let child = self.cluster.child(fault.which);
                child.kill().expect("a child can be killed");
            }
            Kind::Freeze => self.signal(fault.which, process::Signal::Stop),
            Kind::Silence => {
                let faults = fault::Faults {
                    silent: true,
                    ..fault::Faults::default()
                };
                self.set_faults(fault.which, &faults).await;
            }
            Kind::Stall => self.stall(fault.which, true).await,
            Kind::CutStreams => {
                let faults = fault::Faults {
                    cut_streams: true,
                    ..fault::Faults::default()
                };
                self.set_faults(fault.which, &faults).await;
            }
            Kind::FailImports => {
                let faults = fault::Faults {
                    fail_imports: Some(3),
                    ..fault::Faults::default()
                };
                self.set_faults(fault.which, &faults).await;
            }
        }
    }

    async fn end_fault(&mut self, fault: Fault) {
        match fault.kind {
            Kind::Kill => self.start_again(fault.which),
            Kind::LoseDisk => self.replace_disk(fault.which).await,
            Kind::Freeze => self.signal(fault.which, process::Signal::Cont),
            Kind::Stall => self.stall(fault.which, false).await,
            Kind::Silence | Kind::CutStreams | Kind::FailImports => {}
        }
    }

    fn start_again(&mut self, which: Which) {
        let started = self.cluster.start_again(which);
        started.expect("a process restarts with its address");
    }

    /// Restarts a control member without its data, and waits until the group has all its voters
    /// again, at most for `REPAIR_TIMEOUT`.
    async fn replace_disk(&mut self, which: Which) {
        let Which::Control(i) = which else { return };
        self.cluster.lose_disk(i).expect("the data folder exists");
        self.start_again(which);
        let end = time::Instant::now() + REPAIR_TIMEOUT;
        while time::Instant::now() < end && !self.cluster.is_repaired().await {
            tokio::time::sleep(time::Duration::from_millis(100)).await;
        }
    }

    fn signal(&mut self, which: Which, signal: process::Signal) {
        let child = self.cluster.child(which);
        // If the process ended by itself, the checks after the soak report a violation.
        if let Err(e) = child.signal(signal) {
            log::error!("could not signal {which:?}: {e}");
        }
    }

    async fn stall(&mut self, which: Which, stall: bool) {
        let faults = fault::Faults {
            stall: Some(stall),
            ..fault::Faults::default()
        };
        self.set_faults(which, &faults).await;
    }

    async fn set_faults(&self, which: Which, faults: &fault::Faults) {
        let req = client::post("/_stand-in/faults", faults);
        let asked = client::ask(self.cluster.address(which), req);
        let _ = tokio::time::timeout(INJECTION_TIMEOUT, asked).await;
    }

    fn count(&mut self, fault: Fault) {
        let process = match fault.which {
            Which::Gateway(_) => "gateway",
            Which::Control(_) => "control",
            Which::Server(i) if self.cluster.servers_of(model::Role::Plain).contains(&i) => {
                "service"
            }
            Which::Server(_) => "engine",
        };
        let same = |c: &&mut Count| c.kind == fault.kind && c.process == process;
        match self.counts.iter_mut().find(same) {
            Some(count) => count.count += 1,
            None => self.counts.push(Count {
                kind: fault.kind,
                process,
                count: 1,
            }),
        }
    }
}
