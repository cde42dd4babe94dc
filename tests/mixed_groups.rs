//! Groups whose members run different releases: simulated members of both are replaced one after the
//! other, in any order, while leaders change and processes are lost.

#[allow(dead_code)]
mod replica_support;

use buckthorncleat::clock::Millis;
use buckthorncleat::document::{DocumentVersion, Packed};
use buckthorncleat::fleet::origin::Origins;
use buckthorncleat::fleet::upgrade::{QUIET_TIME, Watch};
use buckthorncleat::id::{Incarnation, LogIndex, Term};
use buckthorncleat::peer::trailer::{CURRENT, FIRST, ProtocolVersion};
use buckthorncleat::replica::core::message::{Body, Input, Message, NodeId, Output, Payload};
use buckthorncleat::replica::core::{Admission, Peer, Replica, Settings};
use buckthorncleat::replica::group::Versions;
use buckthorncleat::state::command::{Command, FeatureLevel, State};
use rand::Rng as _;
use rand::SeedableRng as _;
use rand::seq::SliceRandom as _;
use rand_chacha::ChaCha8Rng;
use replica_support::disk::Disk;

/// Commands that the first release can read; the number that starts a command tells its variant.
const FIRST_COMMANDS: u8 = 8;

const STEP: u64 = 10;
const SNAPSHOT_ENTRIES: u64 = 64;

/// Time in which a group without faults has a leader and has committed a change.
const RECOVERY: u64 = 15_000;

/// What a release does with bytes.
mod release {
    use super::*;

    pub fn encode(version: ProtocolVersion, message: &Message) -> Vec<u8> {
        match version {
            FIRST => postcard::to_stdvec(message).unwrap(),
            _ => message.to_bytes().unwrap(),
        }
    }

    /// The first release ignores what follows the message.
    pub fn decode(version: ProtocolVersion, bytes: &[u8]) -> (Message, ProtocolVersion) {
        match version {
            FIRST => (postcard::from_bytes(bytes).unwrap(), FIRST),
            _ => Message::from_bytes(bytes).unwrap(),
        }
    }

    pub fn command(version: ProtocolVersion, bytes: &[u8], level: FeatureLevel) -> Option<Command> {
        match version {
            FIRST if bytes[0] >= FIRST_COMMANDS => None,
            FIRST => postcard::from_bytes(bytes).ok(),
            _ => Some(Command::from_bytes(bytes, level).unwrap()),
        }
    }

    pub fn save(version: ProtocolVersion, state: &State) -> Vec<u8> {
        match version {
            FIRST => postcard::to_stdvec(&(state, state.origins())).unwrap(),
            _ => state.to_bytes().unwrap(),
        }
    }

    pub fn load(version: ProtocolVersion, bytes: &[u8]) -> Option<State> {
        if bytes.is_empty() {
            return Some(State::default());
        }
        if version > FIRST {
            return Some(State::from_bytes(bytes).unwrap());
        }
        let read: (State, Origins) = postcard::from_bytes(bytes).ok()?;
        Some(State::from_bytes(&postcard::to_stdvec(&read).unwrap()).unwrap())
    }
}

/// The process of a member.
struct Process {
    replica: Replica,
    state: State,
    versions: Versions,
    /// The term in which it leads, and what it learned of versions in it.
    leads: Option<(Term, Watch)>,
}

struct Member {
    version: ProtocolVersion,
    disk: Disk,
    process: Option<Process>,
    /// Whether a process stopped because it could not read its data.
    stopped: bool,
}

struct World {
    rng: ChaCha8Rng,
    now: u64,
    peers: Vec<Peer>,
    members: Vec<Member>,
    in_flight: Vec<(u64, usize, Vec<u8>)>,
    /// The version of each router; they report to the leader all the time.
    routers: Vec<ProtocolVersion>,
    last_old_report: u64,
    next_document: u64,
    /// Whether operators send documents.
    has_operators: bool,
    acknowledged: u64,
    raised_at: Option<u64>,
}

impl World {
    fn new(seed: u64, count: usize) -> Self {
        let peer = |n: usize| Peer {
            instance: format!("m-{n}").parse().unwrap(),
            address: ([127, 0, 0, 1], n as u16 + 1).into(),
        };
        let member = |_| Member {
            version: FIRST,
            disk: Disk::default(),
            process: None,
            stopped: false,
        };
        let mut world = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            peers: (0..count).map(peer).collect(),
            members: (0..count).map(member).collect(),
            in_flight: Vec::new(),
            routers: vec![FIRST; 4],
            last_old_report: 0,
            next_document: 0,
            has_operators: true,
            acknowledged: 0,
            raised_at: None,
        };
        (0..count).for_each(|n| world.start(n));
        world
    }

    fn start(&mut self, n: usize) {
        let stored = self.members[n].disk.load();
        let settings = Settings {
            node: NodeId {
                instance: self.peers[n].instance.clone(),
                incarnation: Incarnation::new(n as u64 + 1),
            },
            initial_members: self.peers.clone(),
            address: self.peers[n].address,
            admission: Admission::Open {
                may_form_group: true,
                target_voters: self.peers.len(),
                replace_after: Millis::new(2_500),
            },
            election_timeout: Millis::new(500),
            heartbeat_interval: Millis::new(120),
            trailing_entries: SNAPSHOT_ENTRIES / 2,
            seed: self.rng.random(),
        };
        let member = &mut self.members[n];
        let data = stored.snapshot.as_ref().map_or(&[][..], |s| &s.data);
        let Some(state) = release::load(member.version, data) else {
            member.stopped = true;
            return;
        };
        let replica = Replica::new(settings, stored, Millis::new(self.now));
        member.process = Some(Process {
            versions: Versions::new(&replica),
            replica,
            state,
            leads: None,
        });
    }

    fn kill(&mut self, n: usize) {
        if self.members[n].process.take().is_some() {
            self.members[n].disk.crash(&mut self.rng);
        }
    }

    fn replace(&mut self, n: usize, version: ProtocolVersion) {
        self.kill(n);
        self.members[n].version = version;
        self.run(self.now + 200);
        self.start(n);
    }

    fn run(&mut self, until: u64) {
        while self.now < until {
            self.now += STEP;
            for n in 0..self.members.len() {
                self.step(n, Input::Tick);
                if let Some(number) = self.members[n].disk.sync(&mut self.rng) {
                    self.step(n, Input::Persisted(number));
                }
                self.lead(n);
            }
            let now = self.now;
            let due: Vec<_> = self.in_flight.extract_if(.., |m| m.0 <= now).collect();
            for (_, to, bytes) in due {
                self.deliver(to, &bytes);
            }
        }
    }

    fn deliver(&mut self, n: usize, bytes: &[u8]) {
        let member = &mut self.members[n];
        let Some(process) = &mut member.process else {
            return;
        };
        let (message, version) = release::decode(member.version, bytes);
        if member.version > FIRST {
            let members = process.replica.members();
            process.versions.record(members, &message.from, version);
            let joins = matches!(message.body, Body::JoinRequest { .. });
            if joins && version < process.state.feature_level().0 {
                return;
            }
        }
        self.step(n, Input::Message(message));
    }

    fn step(&mut self, n: usize, input: Input) {
        let now = Millis::new(self.now);
        let Some(process) = &mut self.members[n].process else {
            return;
        };
        for output in process.replica.step(now, input) {
            self.perform(n, output);
            if self.members[n].process.is_none() {
                return;
            }
        }
        let version = self.members[n].version;
        let process = self.members[n].process.as_ref().unwrap();
        let covered = process
            .replica
            .snapshot()
            .map_or(LogIndex::default(), |s| s.metadata.at.index);
        let index = process.replica.applied();
        if process.replica.snapshot().is_some()
            && index.as_u64() >= covered.as_u64() + SNAPSHOT_ENTRIES
        {
            let data = release::save(version, &process.state);
            self.step(n, Input::Compact { index, data });
        }
    }

    fn perform(&mut self, n: usize, output: Output) {
        let member = &mut self.members[n];
        let process = member.process.as_mut().unwrap();
        match output {
            Output::Send(message) => {
                let bytes = release::encode(member.version, &message);
                let to = self
                    .peers
                    .iter()
                    .position(|p| p.instance == message.to.instance);
                if self.rng.random_range(0..100) < 98 {
                    let due = self.now + self.rng.random_range(0..30);
                    self.in_flight.push((due, to.unwrap(), bytes));
                }
            }
            Output::Persist(batch) => member.disk.write(batch),
            Output::Apply(entry) => {
                let Payload::Command(bytes) = &entry.payload else {
                    return;
                };
                match release::command(member.version, bytes, process.state.feature_level()) {
                    Some(command) => {
                        process.state.apply(&command);
                        let document = process.state.document().map(|d| d.version.as_u64());
                        if process.replica.is_leader() {
                            self.acknowledged = self.acknowledged.max(document.unwrap_or(0));
                        }
                    }
                    None => self.stop(n),
                }
            }
            Output::Restore(snapshot) => match release::load(member.version, &snapshot.data) {
                Some(state) => process.state = state,
                None => self.stop(n),
            },
            Output::Proposed { .. } | Output::ReadReady { .. } | Output::Refused { .. } => (),
        }
    }

    /// Ends a process that can't read its data.
    fn stop(&mut self, n: usize) {
        self.kill(n);
        self.members[n].stopped = true;
    }

    /// Does what a leader does beside the log: operators' documents, routers' reports, the level.
    fn lead(&mut self, n: usize) {
        let now = Millis::new(self.now);
        let Some(process) = &mut self.members[n].process else {
            return;
        };
        if !process.replica.is_leader() {
            process.leads = None;
            return;
        }
        let term = process.replica.term();
        if process.leads.as_ref().is_none_or(|l| l.0 != term) {
            process.leads = Some((term, Watch::default()));
        }
        if self.has_operators && self.now.is_multiple_of(50) {
            self.next_document += 1;
            let version = DocumentVersion::new(self.next_document);
            let content = Packed::from_plain(version, b"{}").unwrap();
            self.propose(n, &Command::PutDocument(content));
        }
        if self.now.is_multiple_of(100) && self.members[n].version > FIRST {
            let process = self.members[n].process.as_mut().unwrap();
            let watch = &mut process.leads.as_mut().unwrap().1;
            for router in &self.routers {
                watch.record_report(now, *router);
                if *router == FIRST {
                    self.last_old_report = self.now;
                }
            }
            let versions = process.versions.of_members(&process.replica);
            let level = process.state.feature_level();
            if let Ok(Some(next)) = watch.next_level(now, level, &versions) {
                self.check_raise();
                self.propose(n, &Command::RaiseLevel(next));
            }
        }
    }

    /// The level is raised only when no process of the first release is left.
    fn check_raise(&mut self) {
        assert!(
            self.members.iter().all(|m| m.version == CURRENT),
            "an older member is left"
        );
        let quiet = self.now - self.last_old_report;
        assert!(
            quiet >= QUIET_TIME.as_u64(),
            "an older router reported {quiet} ms ago"
        );
        self.raised_at.get_or_insert(self.now);
    }

    fn propose(&mut self, n: usize, command: &Command) {
        let command = postcard::to_stdvec(command).unwrap();
        self.step(
            n,
            Input::Propose {
                request: 0,
                command,
            },
        );
    }

    fn leader(&self) -> Option<usize> {
        let leads = |m: &Member| m.process.as_ref().is_some_and(|p| p.replica.is_leader());
        self.members.iter().position(leads)
    }

    /// Waits until a change that came after this call is acknowledged.
    fn wait_until_serving(&mut self) {
        let (needed, end) = (self.next_document + 1, self.now + RECOVERY);
        while self.acknowledged < needed {
            assert!(
                self.now < end,
                "no change is committed: {}",
                self.describe()
            );
            self.run(self.now + 100);
        }
    }

    fn describe(&self) -> String {
        let one = |m: &Member| {
            let term = m
                .process
                .as_ref()
                .map(|p| (p.replica.term(), p.replica.is_leader()));
            format!("version {} {term:?} stopped {}", m.version, m.stopped)
        };
        self.members.iter().map(one).collect::<Vec<_>>().join("; ")
    }

    /// Replaces members in this order. At some steps the leader is killed as well, or all are.
    fn replace_each(&mut self, order: &[usize], version: ProtocolVersion) {
        for n in order {
            let lost = self.rng.random_range(0..4);
            match (lost, self.leader()) {
                (0, _) => self.restart_all(),
                (1 | 2, Some(leader)) => self.replace(leader, self.members[leader].version),
                _ => (),
            }
            self.replace(*n, version);
            self.wait_until_serving();
            assert!(
                self.members.iter().all(|m| !m.stopped),
                "{}",
                self.describe()
            );
        }
    }

    fn restart_all(&mut self) {
        (0..self.members.len()).for_each(|n| self.kill(n));
        self.in_flight.clear();
        self.run(self.now + 500);
        (0..self.members.len()).for_each(|n| self.start(n));
    }

    /// Checks that every member has what was acknowledged, and all have the same state.
    fn check_agreement(&mut self, level: ProtocolVersion) {
        self.wait_until_serving();
        self.has_operators = false;
        self.run(self.now + 5_000);
        self.has_operators = true;
        let first = &self.members[0].process.as_ref().unwrap().state;
        for member in &self.members {
            let state = &member.process.as_ref().unwrap().state;
            assert_eq!(state.feature_level(), FeatureLevel(level));
            assert!(state == first, "members differ");
            let document = state.document().unwrap().version.as_u64();
            assert!(
                document >= self.acknowledged,
                "an acknowledged change was lost"
            );
        }
    }
}

fn upgrade(seed: u64) {
    let count = if seed.is_multiple_of(2) { 3 } else { 5 };
    let mut world = World::new(seed, count);
    world.wait_until_serving();
    let mut order: Vec<usize> = (0..count).collect();
    order.shuffle(&mut world.rng);
    // Routers are replaced first, between the members or last.
    let routers = world.rng.random_range(0..3);
    if routers == 0 {
        world.routers.fill(CURRENT);
    }
    // Half way, and back again.
    let half = world.rng.random_range(1..count);
    world.replace_each(&order[..half], CURRENT);
    let back: Vec<usize> = order[..half].iter().rev().copied().collect();
    world.replace_each(&back, FIRST);
    if routers == 1 {
        world.routers[1..].fill(CURRENT);
    }
    world.run(world.now + QUIET_TIME.as_u64());
    world.replace_each(&order[..count - 1], CURRENT);
    world.restart_all();
    world.check_agreement(FIRST);
    world.replace_each(&order[count - 1..], CURRENT);
    if routers > 0 {
        world.run(world.now + QUIET_TIME.as_u64() + 5_000);
        world.check_agreement(FIRST);
        world.routers.fill(CURRENT);
    }
    world.run(world.now + QUIET_TIME.as_u64() + RECOVERY);
    assert!(world.raised_at.is_some(), "{}", world.describe());
    world.check_agreement(CURRENT);
    return_too_late(&mut world, order[0]);
}

/// A member of the first release comes back after the level was raised: it stops, the others go on,
/// and its data is whole for the next build.
fn return_too_late(world: &mut World, n: usize) {
    world.replace(n, FIRST);
    world.run(world.now + RECOVERY);
    assert!(
        world.members[n].stopped,
        "it went on with what it can't read"
    );
    world.wait_until_serving();
    world.members[n].stopped = false;
    world.replace(n, CURRENT);
    world.restart_all();
    world.check_agreement(CURRENT);
    assert!(world.members.iter().all(|m| !m.stopped));
}

/// UPGRADE: members of two builds did not work together, lost acknowledged changes, or used what
/// the older build can't read.
#[test]
fn groups_of_two_releases_work_and_lose_nothing() {
    let seeds = std::env::var("BUCKTHORNCLEAT_SEEDS").map_or(3, |s| s.parse().unwrap());
    for seed in 0..seeds {
        println!("seed {seed}");
        upgrade(seed);
    }
}
