//! Tests that a request that crashes servers and is sent again through all gateways is quarantined
//! after two losses, and that no other request is.

use buckthorncleat::controller::quarantine;
use buckthorncleat::id;
use buckthorncleat::state::change;
use buckthorncleat::state::model;
use rand::Rng as _;
use rand::SeedableRng as _;

const GATEWAYS: usize = 6;
const SERVERS: usize = 8;
const SEEDS: u64 = 500;
const STEPS: u64 = 3_000;
/// The number of steps for which a gateway serves on its last confirmed configuration.
const LEASE_STEPS: u64 = 60;
/// The number of steps from the record of a loss until the caller is answered and may send again.
const ANSWER_DELAY: u64 = LEASE_STEPS;

struct Running {
    request: id::RequestId,
    body: u8,
    gateway: usize,
    server: usize,
}

/// Gateways that share one log and apply it with different delays.
struct Fleet {
    rng: rand_chacha::ChaCha8Rng,
    log: Vec<change::Commit>,
    have: Vec<change::Config>,
    gateways: Vec<quarantine::Quarantine>,
    unsent: Vec<Vec<change::Change>>,
    running: Vec<Running>,
    now: u64,
    confirmed_at: [u64; GATEWAYS],
    resend_at: [u64; 40],
    losses: u32,
    cleared: u32,
}

/// The body of the request that crashes its servers.
const CRASHING: u8 = 0;

impl Fleet {
    fn new(seed: u64) -> Self {
        Self {
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            log: Vec::new(),
            have: vec![change::Config::default(); GATEWAYS],
            gateways: vec![quarantine::Quarantine::new(); GATEWAYS],
            unsent: vec![Vec::new(); GATEWAYS],
            running: Vec::new(),
            now: 0,
            confirmed_at: [0; GATEWAYS],
            resend_at: [0; 40],
            losses: 0,
            cleared: 0,
        }
    }

    fn step(&mut self) {
        self.now += 1;
        let gateway = self.rng.random_range(0..GATEWAYS);
        match self.rng.random_range(0..10) {
            0..4 => {
                let body = self.rng.random_range(0..40);
                self.send(gateway, body);
            }
            4..6 => self.end_one(),
            6 => self.propose(gateway),
            _ if self.rng.random_bool(0.2) => self.apply_log(gateway),
            _ => {}
        }
        let crashing = self
            .running
            .iter()
            .find(|r| r.body == CRASHING)
            .map(|r| r.server);
        if let Some(server) = crashing.filter(|_| self.rng.random_bool(0.3)) {
            self.crash_server(server);
        }
    }

    /// A caller sends one copy of a request at a time; at most one suspect runs at a server.
    fn send(&mut self, gateway: usize, body: u8) {
        let server = self.rng.random_range(0..SERVERS);
        let is_fresh = self.now - self.confirmed_at[gateway] < LEASE_STEPS;
        let may_resend = self.now >= self.resend_at[usize::from(body)];
        if !is_fresh || !may_resend || self.running.iter().any(|r| r.body == body) {
            return;
        }
        let cfg = &self.have[gateway];
        match self.gateways[gateway].status(cfg, fingerprint(body)) {
            quarantine::Status::Clear => {}
            quarantine::Status::Suspect if !self.has_suspect(server) => {}
            _ => return,
        }
        let request = id::RequestId::new(self.rng.random());
        let name = server_id(server);
        self.gateways[gateway].request_sent(cfg, fingerprint(body), request, &name);
        self.running.push(Running {
            request,
            body,
            gateway,
            server,
        });
    }

    fn has_suspect(&self, server: usize) -> bool {
        let suspects = &self.newest().suspects;
        let here = |r: &&Running| r.server == server;
        self.running
            .iter()
            .filter(here)
            .any(|r| suspects.contains(&fingerprint(r.body)))
    }

    fn end_one(&mut self) {
        let at = self.running.iter().position(|r| r.body != CRASHING);
        let Some(at) = at else { return };
        let r = self.running.remove(at);
        let cfg = &self.have[r.gateway];
        let change =
            self.gateways[r.gateway].request_ended(cfg, fingerprint(r.body), r.request, true);
        self.cleared += u32::from(change.is_some());
        self.unsent[r.gateway].extend(change);
    }

    fn crash_server(&mut self, server: usize) {
        self.losses += 1;
        for r in self.running.extract_if(.., |r| r.server == server) {
            self.resend_at[usize::from(r.body)] = self.now + ANSWER_DELAY;
        }
        for gateway in 0..GATEWAYS {
            let cfg = &self.have[gateway];
            let losses = self.gateways[gateway].server_lost(cfg, &server_id(server));
            let reports = losses
                .into_iter()
                .map(|l| change::Change::Suspect(l.report));
            self.unsent[gateway].extend(reports);
        }
        // A gateway answers its caller a lease after its report is in the log.
        (0..GATEWAYS).for_each(|gateway| self.propose(gateway));
    }

    fn propose(&mut self, gateway: usize) {
        let changes = std::mem::take(&mut self.unsent[gateway]);
        if !changes.is_empty() {
            let revision = id::Revision::new(self.log.len() as u64 + 1);
            self.log.push(change::Commit { revision, changes });
        }
    }

    fn apply_log(&mut self, gateway: usize) {
        self.confirmed_at[gateway] = self.now;
        for commit in &self.log {
            self.have[gateway].apply(commit);
        }
        self.gateways[gateway].configure(&self.have[gateway]);
    }

    fn newest(&self) -> change::Config {
        let mut cfg = change::Config::default();
        for commit in &self.log {
            cfg.apply(commit);
        }
        cfg
    }
}

fn fingerprint(body: u8) -> model::Fingerprint {
    model::Fingerprint::from_request(&"acme".parse().unwrap(), &[body])
}

fn server_id(number: usize) -> id::BackendServerId {
    format!("engine-{number}").parse().unwrap()
}

#[test]
fn a_crashing_request_is_quarantined_after_two_losses_and_no_other_is() {
    let mut cleared = 0;
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed);
        for _ in 0..STEPS {
            fleet.step();
        }
        assert_eq!(fleet.losses, 2, "seed {seed}");
        let cfg = fleet.newest();
        assert!(
            cfg.quarantined.contains(&fingerprint(CRASHING)),
            "seed {seed}"
        );
        assert_eq!(
            cfg.quarantined.len(),
            1,
            "seed {seed}: a request that crashes no server was quarantined"
        );
        cleared += fleet.cleared;
    }
    assert!(
        cleared > 100,
        "only {cleared} suspects that crash no server were cleared"
    );
}

#[test]
fn reports_of_one_loss_count_once_and_a_second_loss_quarantines() {
    let cases = [
        ("the same loss seen by two gateways", "engine-1", 0, false),
        ("another server", "engine-2", 0, true),
        (
            "the same server, sent when the first loss was known",
            "engine-1",
            1,
            true,
        ),
    ];
    for (case, server, began, is_quarantined) in cases {
        let report = |server: &str, began| {
            change::Change::Suspect(model::LossReport {
                fingerprint: fingerprint(1),
                server: server.parse().unwrap(),
                began: id::Revision::new(began),
            })
        };
        let mut cfg = change::Config::default();
        let mut commit = |revision, change| {
            let changes = vec![change];
            let revision = id::Revision::new(revision);
            cfg.apply(&change::Commit { revision, changes });
            cfg.quarantined.contains(&fingerprint(1))
        };
        assert!(!commit(1, report("engine-1", 0)), "{case}");
        assert_eq!(commit(2, report(server, began)), is_quarantined, "{case}");
        assert_eq!(
            commit(3, change::Change::ClearSuspect(fingerprint(1))),
            is_quarantined,
            "{case}"
        );
        assert!(
            !commit(4, change::Change::Release(fingerprint(1))),
            "{case}"
        );
    }
}

#[test]
fn suspects_are_bounded_and_the_oldest_are_evicted_first() {
    let mut cfg = change::Config::default();
    for i in 1..=change::MAX_SUSPECTS as u64 + 1 {
        let report = model::LossReport {
            fingerprint: model::Fingerprint::from_request(&"a".parse().unwrap(), &i.to_le_bytes()),
            server: server_id(1),
            began: id::Revision::new(0),
        };
        let changes = vec![change::Change::Suspect(report)];
        cfg.apply(&change::Commit {
            revision: id::Revision::new(i),
            changes,
        });
    }
    assert_eq!(cfg.suspects.len(), change::MAX_SUSPECTS);
    let oldest = cfg.suspects.values().map(|s| s.recorded).min();
    assert_eq!(oldest, Some(id::Revision::new(2)));
}
