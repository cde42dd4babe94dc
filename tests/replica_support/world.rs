//! One seeded simulation: random events and faults, then a phase without faults in which all
//! replicas must agree.

use buckthorncleat::clock;
use buckthorncleat::id;
use buckthorncleat::replica::core;
use buckthorncleat::replica::core::members;
use buckthorncleat::replica::core::message;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use super::network;
use super::node;
use super::oracle;

/// A bug of the program or its disk that the safety checks must find.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum InjectedBug {
    None,
    ConfirmsBeforeSync,
    KeepsIncarnationOfLostDisk,
}

/// The maximum number of steps without faults until all replicas agree.
const MAX_RECOVERY_STEPS: u64 = 60_000;

/// Counts of the events in a run.
#[derive(Debug, Default)]
pub struct Counts {
    pub acknowledged: u64,
    pub reads: u64,
    pub snapshots: u64,
    pub crashes: u64,
    pub lost_disks: u64,
    pub repairs: u64,
    pub lost_after_repair: u64,
    pub freezes: u64,
    pub cuts: u64,
}

impl Counts {
    pub fn add(&mut self, other: &Self) {
        self.acknowledged += other.acknowledged;
        self.reads += other.reads;
        self.snapshots += other.snapshots;
        self.crashes += other.crashes;
        self.lost_disks += other.lost_disks;
        self.repairs += other.repairs;
        self.lost_after_repair += other.lost_after_repair;
        self.freezes += other.freezes;
        self.cuts += other.cuts;
    }
}

struct World {
    rng: ChaCha8Rng,
    now: clock::Millis,
    bug: InjectedBug,
    nodes: Vec<node::Node>,
    initial: Vec<core::Peer>,
    network: network::Network,
    oracle: oracle::Oracle,
    counts: Counts,
    next_request: u64,
    next_incarnation: u64,
    in_repair: Vec<usize>,
    fault_permille: u32,
}

/// Runs one seed and returns its counts; panics when an invariant is violated.
pub fn run(seed: u64, steps: u64, bug: InjectedBug) -> Counts {
    let mut world = World::new(seed, bug);
    for _ in 0..steps {
        world.random_step();
        world.random_fault();
    }
    if bug == InjectedBug::None {
        world.check_recovery();
    }
    world.counts
}

impl World {
    fn new(seed: u64, bug: InjectedBug) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = if rng.random_range(0..3) == 0 { 5 } else { 3 };
        let peer = |number: usize| core::Peer {
            instance: format!("control-{number}").parse().unwrap(),
            address: ([127, 0, 0, 1], 1000 + number as u16).into(),
        };
        let initial: Vec<core::Peer> = (0..count).map(peer).collect();
        let mut network = network::Network::default();
        network.drop_percent = rng.random_range(0..15);
        network.duplicate_percent = rng.random_range(0..10);
        network.long_delay_percent = rng.random_range(0..5);
        let mut world = Self {
            now: clock::Millis::ZERO,
            bug,
            nodes: Vec::new(),
            initial,
            network,
            oracle: oracle::Oracle::default(),
            counts: Counts::default(),
            next_request: 0,
            next_incarnation: 0,
            in_repair: Vec::new(),
            fault_permille: rng.random_range(1..12),
            rng,
        };
        for number in 0..count {
            let incarnation = world.new_incarnation();
            world
                .nodes
                .push(node::Node::new(format!("control-{number}"), incarnation));
            world.start(number);
        }
        world
    }

    fn random_step(&mut self) {
        self.now = self.now + clock::Millis::new(self.rng.random_range(0..3));
        let node = self.rng.random_range(0..self.nodes.len());
        match self.rng.random_range(0..100) {
            0..58 => self.deliver(),
            58..75 => self.step(node, message::Input::Tick),
            75..92 => self.sync(node),
            92..97 => self.propose(node),
            _ => {
                let request = self.new_request();
                self.step(node, message::Input::Read { request });
            }
        }
    }

    fn random_fault(&mut self) {
        self.lose_after_repair();
        self.restart(self.now);
        if self.rng.random_range(0..1_000) >= self.fault_permille {
            return;
        }
        let node = self.rng.random_range(0..self.nodes.len());
        let name = self.nodes[node].name.clone();
        let until = self.now + clock::Millis::new(self.rng.random_range(50..1_500));
        match self.rng.random_range(0..11) {
            0..4 => self.crash(node),
            4..7 => {
                self.lose_disk(node);
            }
            7 => {
                self.counts.freezes += 1;
                self.nodes[node].frozen_until = until;
            }
            8 => self.cut(Some(name), None, until),
            9 => self.cut(None, Some(name), until),
            _ => {
                // A long partition of one member, in both directions.
                let until = until + clock::Millis::new(2_000);
                self.cut(Some(name.clone()), None, until);
                self.cut(None, Some(name), until);
            }
        }
    }

    fn cut(&mut self, from: Option<String>, to: Option<String>, until: clock::Millis) {
        self.counts.cuts += 1;
        self.network.cut(network::Cut { from, to, until });
    }

    fn crash(&mut self, node: usize) {
        if self.nodes[node].replica.is_some() {
            self.counts.crashes += 1;
            let down = clock::Millis::new(self.rng.random_range(10..1_000));
            self.nodes[node].crash(&mut self.rng);
            self.nodes[node].down_until = self.now + down;
        }
    }

    fn restart(&mut self, now: clock::Millis) {
        for node in 0..self.nodes.len() {
            if self.nodes[node].replica.is_none() && self.nodes[node].down_until <= now {
                self.start(node);
            }
        }
    }

    fn start(&mut self, node: usize) {
        let group = node::GroupSettings {
            initial_members: self.initial.clone(),
            admission: core::Admission::ByOperator,
            election_timeout: clock::Millis::new(150),
            heartbeat_interval: clock::Millis::new(30),
        };
        self.nodes[node].start(self.now, &group, &self.oracle, &mut self.rng);
    }

    /// Loses a disk if a majority of all instances are voters with intact disks besides this one. A
    /// replicated log tolerates no more losses.
    fn lose_disk(&mut self, node: usize) -> bool {
        let Some(members) = self.oracle.members.clone() else {
            return self.lose_disk_of_member(node, &self.initial_membership());
        };
        self.lose_disk_of_member(node, &members)
    }

    fn lose_disk_of_member(&mut self, node: usize, members: &members::Membership) -> bool {
        let others = self.nodes.iter().enumerate().filter(|(n, _)| *n != node);
        let intact = others.filter(|(_, n)| members.is_voter(&n.id())).count();
        let formed = self.oracle.committed() > id::LogIndex::default();
        if !formed || intact <= self.nodes.len() / 2 {
            return false;
        }
        self.crash(node);
        self.counts.lost_disks += 1;
        let incarnation = self.new_incarnation();
        let old = &mut self.nodes[node];
        let incarnation = match self.bug {
            InjectedBug::KeepsIncarnationOfLostDisk => old.incarnation,
            _ => incarnation,
        };
        *old = node::Node::new(old.name.clone(), incarnation);
        self.in_repair.push(node);
        true
    }

    /// Returns the initial members, for the time before a membership change was committed.
    fn initial_membership(&self) -> members::Membership {
        let of = |node: &node::Node| Some(node.replica.as_ref()?.members()?.clone());
        self.nodes.iter().find_map(of).unwrap_or_default()
    }

    /// Once a member that lost its disk is a voter again, loses another disk with a probability of
    /// one half.
    fn lose_after_repair(&mut self) {
        let Some(members) = self.oracle.members.clone() else {
            return;
        };
        let nodes = &self.nodes;
        let repaired = self
            .in_repair
            .iter()
            .position(|n| members.is_voter(&nodes[*n].id()));
        let Some(repaired) = repaired else {
            return;
        };
        let node = self.in_repair.swap_remove(repaired);
        self.counts.repairs += 1;
        if self.rng.random() {
            let second = (node + self.rng.random_range(1..self.nodes.len())) % self.nodes.len();
            if self.lose_disk(second) {
                self.counts.lost_after_repair += 1;
            }
        }
    }

    fn deliver(&mut self) {
        let Some(message) = self.network.receive(self.now, &mut self.rng) else {
            return;
        };
        let to = message.to.instance.as_str();
        let node = self.nodes.iter().position(|n| n.name == to).unwrap();
        if self.nodes[node].is_running(self.now) {
            // Encode and decode, as over a real connection.
            let (message, _) = message::Message::from_bytes(&message.to_bytes().unwrap()).unwrap();
            self.step(node, message::Input::Message(message));
        }
    }

    fn sync(&mut self, node: usize) {
        if !self.nodes[node].is_running(self.now) {
            return;
        }
        let disk = &mut self.nodes[node].disk;
        let synced = match self.bug {
            InjectedBug::ConfirmsBeforeSync if self.rng.random() => disk.last_unsynced(),
            _ => disk.sync(&mut self.rng),
        };
        if let Some(number) = synced {
            self.step(node, message::Input::Persisted(number));
        }
    }

    fn propose(&mut self, node: usize) {
        let leads = |n: &node::Node| n.replica.as_ref().is_some_and(core::Replica::is_leader);
        let leader = self.nodes.iter().position(leads);
        let request = self.new_request();
        let command = request.to_le_bytes().to_vec();
        let input = message::Input::Propose { request, command };
        self.step(leader.unwrap_or(node), input);
    }

    fn step(&mut self, node: usize, input: message::Input) {
        if !self.nodes[node].is_running(self.now) {
            return;
        }
        let effects = self.nodes[node].step(self.now, input, &mut self.oracle);
        self.counts.acknowledged += effects.acknowledged;
        self.counts.reads += effects.reads;
        self.counts.snapshots += effects.snapshots;
        for message in effects.messages {
            self.network.send(self.now, message, &mut self.rng);
        }
    }

    fn new_request(&mut self) -> u64 {
        self.next_request += 1;
        self.next_request
    }

    fn new_incarnation(&mut self) -> id::Incarnation {
        self.next_incarnation += 1;
        id::Incarnation::new(self.next_incarnation)
    }

    /// Ends all faults, and panics unless new writes are then committed and all replicas agree.
    fn check_recovery(&mut self) {
        self.network.heal();
        self.restart(clock::Millis::MAX);
        for node in &mut self.nodes {
            node.frozen_until = clock::Millis::ZERO;
        }
        let before = self.counts.acknowledged;
        for _ in 0..MAX_RECOVERY_STEPS {
            self.random_step();
            if self.counts.acknowledged > before + 20 && self.has_recovered() {
                return;
            }
        }
        let status = self
            .nodes
            .iter()
            .map(node::Node::describe)
            .collect::<Vec<_>>();
        let status = status.join("\n");
        let committed = self.oracle.committed();
        panic!("no agreement after the faults ended, {committed} committed:\n{status}");
    }

    /// Returns whether every instance is a voter and has applied all but the last 50 committed
    /// entries.
    fn has_recovered(&self) -> bool {
        let members = self
            .oracle
            .members
            .clone()
            .unwrap_or_else(|| self.initial_membership());
        let near = self.oracle.committed().as_u64().saturating_sub(50);
        self.nodes.iter().all(|node| {
            let applied = node.replica.as_ref().map(core::Replica::applied);
            members.is_voter(&node.id()) && applied.is_some_and(|a| a.as_u64() >= near)
        })
    }
}
