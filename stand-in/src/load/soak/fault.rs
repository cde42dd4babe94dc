//! The faults of a soak, drawn from a seed.

use std::time;

use buckthorncleat::state::model;
use rand::Rng as _;
use tokio::sync::watch;

use crate::client;
use crate::fault;
use crate::load::cluster;
use crate::load::cluster::operate::Which;
use crate::process;

/// The shortest and the longest time that a fault lasts, in milliseconds.
const HOLD_MS: std::ops::Range<u64> = 300..4_500;
/// The shortest and the longest pause between two rounds of faults, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 200..3_000;
/// How long a control member may take to become a voter again after it lost its disk.
const REPAIR: time::Duration = time::Duration::from_secs(60);
/// How long a switch of a stand-in may take.
const SWITCH: time::Duration = time::Duration::from_secs(2);

/// One kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// SIGKILL, and a start some time later.
    Kill,
    /// SIGSTOP, and SIGCONT some time later.
    Freeze,
    /// SIGKILL and a deleted data folder, then a start.
    LoseDisk,
    /// Open connections to a backend server go silent for good; new ones work.
    Silence,
    /// A backend server accepts work but does not go on.
    Stall,
    /// All streams of an engine are cut.
    CutStreams,
    /// An engine refuses its next imports.
    FailImports,
}

/// How often a kind of fault was injected into a kind of process.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Count {
    /// The fault.
    pub kind: Kind,
    /// The process: `gateway`, `control`, `engine` or `service`.
    pub process: &'static str,
    /// How often.
    pub count: u64,
}

/// Injects faults into a deployment, and heals each after a while.
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
    /// Makes the injector of a deployment.
    pub fn new(cluster: cluster::Cluster, rng: rand_chacha::ChaCha8Rng) -> Self {
        Self {
            cluster,
            rng,
            counts: Vec::new(),
        }
    }

    /// Returns the deployment.
    pub fn cluster(&self) -> &cluster::Cluster {
        &self.cluster
    }

    /// Returns the deployment, healed.
    pub fn into_cluster(self) -> cluster::Cluster {
        self.cluster
    }

    /// Returns what was injected.
    pub fn counts(&self) -> Vec<Count> {
        self.counts.clone()
    }

    /// Injects one or two faults at a time until `stop` turns true; all are healed then.
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
            let hold = time::Duration::from_millis(self.rng.random_range(HOLD_MS));
            let _ = tokio::time::timeout(hold, stop.wait_for(|stop| *stop)).await;
            for fault in &round {
                self.heal(*fault).await;
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
            // A service that ends forgets its counts, so services are not killed.
            _ => (Kind::Silence, Which::Server(service)),
        };
        Fault { kind, which }
    }

    async fn inject(&mut self, fault: Fault) {
        log::info!("injects {fault:?}");
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
                self.switch(fault.which, &faults).await;
            }
            Kind::Stall => self.stall(fault.which, true).await,
            Kind::CutStreams => {
                let faults = fault::Faults {
                    cut_streams: true,
                    ..fault::Faults::default()
                };
                self.switch(fault.which, &faults).await;
            }
            Kind::FailImports => {
                let faults = fault::Faults {
                    fail_imports: Some(3),
                    ..fault::Faults::default()
                };
                self.switch(fault.which, &faults).await;
            }
        }
    }

    async fn heal(&mut self, fault: Fault) {
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
        started.expect("a process starts again under its address");
    }

    /// Starts a member without its data, and waits until the group has all its voters again.
    async fn replace_disk(&mut self, which: Which) {
        let Which::Control(i) = which else { return };
        self.cluster.lose_disk(i).expect("the folder is there");
        self.start_again(which);
        let end = time::Instant::now() + REPAIR;
        while time::Instant::now() < end && !self.cluster.is_repaired().await {
            tokio::time::sleep(time::Duration::from_millis(100)).await;
        }
    }

    fn signal(&mut self, which: Which, signal: process::Signal) {
        let child = self.cluster.child(which);
        // A process that ended by itself shows as a violation later.
        if let Err(e) = child.signal(signal) {
            log::error!("{which:?}: {e}");
        }
    }

    async fn stall(&mut self, which: Which, stall: bool) {
        let faults = fault::Faults {
            stall: Some(stall),
            ..fault::Faults::default()
        };
        self.switch(which, &faults).await;
    }

    async fn switch(&self, which: Which, faults: &fault::Faults) {
        let req = client::post("/_stand-in/faults", faults);
        let asked = client::ask(self.cluster.address(which), req);
        let _ = tokio::time::timeout(SWITCH, asked).await;
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
