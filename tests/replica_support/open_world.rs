//! A group with open admission whose machines are lost and replaced, no more at a time than the group
//! tolerates. After each loss the group must have repaired itself within the time that the
//! deployment allows.

use std::collections;

use buckthorncleat::clock;
use buckthorncleat::id;
use buckthorncleat::replica::core;
use buckthorncleat::replica::core::message;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand::seq::IndexedRandom as _;
use rand_chacha::ChaCha8Rng;

use crate::replica_support::network;
use crate::replica_support::node;
use crate::replica_support::oracle;

/// How long a machine remains lost after it is back, and within which messages arrive again.
const CATCH_UP: clock::Millis = clock::Millis::new(4_000);
const CONTACT: clock::Millis = clock::Millis::new(3_000);

/// The time without a fault in which a change is committed.
const ACKNOWLEDGEMENT: clock::Millis = clock::Millis::new(4_000);

const STEP: clock::Millis = clock::Millis::new(20);

/// The number of machines that are named to a process when it starts.
const SEEDS: usize = 3;

/// A bug of the program that the checks must find.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum InjectedBug {
    None,
    /// A voter by its own log never asks whether it still is one.
    VotersDoNotAsk,
    /// The leader never hears that a node wants to join.
    NobodyJoins,
}

/// What a seed did.
#[derive(Debug, Default)]
pub struct Counts {
    pub losses: u64,
    pub replacements: u64,
    /// Members that were voters before a loss and not after it.
    pub removals: u64,
    /// Members that were removed and voted again.
    pub returns: u64,
}

impl Counts {
    pub fn add(&mut self, other: &Self) {
        self.losses += other.losses;
        self.replacements += other.replacements;
        self.removals += other.removals;
        self.returns += other.returns;
    }
}

pub struct World {
    rng: ChaCha8Rng,
    now: clock::Millis,
    bug: InjectedBug,
    target_voters: usize,
    nodes: Vec<node::Node>,
    network: network::Network,
    oracle: oracle::Oracle,
    counts: Counts,
    /// The machines that were removed for good.
    gone: Vec<usize>,
    removed: collections::BTreeSet<message::NodeId>,
    acknowledged: u64,
    reads: u64,
    last_request: u64,
    next_incarnation: u64,
}

/// Runs one seed with a number of machines and returns its counts; panics when a check fails.
pub fn run(seed: u64, machines: usize, rounds: u64, bug: InjectedBug) -> Counts {
    let mut world = World::formed(seed, machines, bug);
    for _ in 0..rounds {
        world.random_round();
    }
    world.counts
}

impl World {
    /// Starts a group and waits until it is complete.
    pub fn formed(seed: u64, machines: usize, bug: InjectedBug) -> Self {
        let mut world = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: clock::Millis::ZERO,
            bug,
            target_voters: machines - 1 + machines % 2,
            nodes: Vec::new(),
            network: network::Network::default(),
            oracle: oracle::Oracle::default(),
            counts: Counts::default(),
            gone: Vec::new(),
            removed: collections::BTreeSet::new(),
            acknowledged: 0,
            reads: 0,
            last_request: 0,
            next_incarnation: 0,
        };
        world.network.drop_percent = world.rng.random_range(0..5);
        for _ in 0..machines {
            world.new_machine();
        }
        let seeds: Vec<usize> = (0..SEEDS).collect();
        for number in 0..machines {
            world.start(number, &seeds, number < SEEDS);
        }
        // Members become voters one after the other.
        world.run(clock::Millis::new(2_000) * machines as u64);
        world.check();
        world
    }

    fn random_round(&mut self) {
        self.counts.losses += 1;
        let node = *self.live().choose(&mut self.rng).unwrap();
        let duration = self.random_duration();
        match self.rng.random_range(0..8) {
            0 | 1 => self.freeze(node, duration),
            2 => self.restart(node, duration),
            3 => self.lose_disk(node, duration),
            4 => self.cut(node, duration),
            5 => self.lose_several(),
            6 => {
                self.add();
                self.quiet();
            }
            _ => self.replace(node),
        }
        self.quiet();
    }

    pub fn freeze(&mut self, node: usize, duration: clock::Millis) {
        self.nodes[node].frozen_until = self.now + duration;
        self.run(duration);
    }

    /// Ends a process and starts it again on its disk.
    pub fn restart(&mut self, node: usize, duration: clock::Millis) {
        self.nodes[node].crash(&mut self.rng);
        self.run(duration);
        self.start_again(node);
    }

    pub fn lose_disk(&mut self, node: usize, duration: clock::Millis) {
        self.nodes[node].crash(&mut self.rng);
        let incarnation = self.new_incarnation();
        let name = self.nodes[node].name.clone();
        self.nodes[node] = node::Node::new(name, incarnation);
        self.run(duration);
        self.start_again(node);
    }

    /// Loses as many machines at once as the group tolerates; each is frozen or restarted.
    fn lose_several(&mut self) {
        let live = self.live();
        let tolerance = self.target_voters / 2;
        let lost: Vec<usize> = live
            .choose_multiple(&mut self.rng, tolerance)
            .copied()
            .collect();
        let mut crashed = Vec::new();
        for node in &lost {
            if self.rng.random() {
                let duration = self.random_duration();
                self.nodes[*node].frozen_until = self.now + duration;
            } else {
                self.nodes[*node].crash(&mut self.rng);
                crashed.push(*node);
            }
        }
        for node in crashed {
            let duration = self.random_duration();
            self.run(duration);
            self.start_again(node);
        }
        let until = lost.iter().map(|n| self.nodes[*n].frozen_until).max();
        self.run(until.unwrap_or_default() - self.now);
    }

    fn random_duration(&mut self) -> clock::Millis {
        clock::Millis::new(self.rng.random_range(100..10_000))
    }

    /// Cuts a machine off, in one direction or in both.
    fn cut(&mut self, node: usize, duration: clock::Millis) {
        let name = Some(self.nodes[node].name.clone());
        let until = self.now + duration;
        let direction = self.rng.random_range(0..3);
        let mut cut = |from, to| self.network.cut(network::Cut { from, to, until });
        if direction != 0 {
            cut(name.clone(), None);
        }
        if direction != 1 {
            cut(None, name);
        }
        self.run(duration);
    }

    /// Adds a machine with an empty disk.
    pub fn add(&mut self) -> usize {
        let node = self.new_machine();
        self.start_again(node);
        node
    }

    /// Replaces a machine as planned: its successor is added first.
    fn replace(&mut self, node: usize) {
        self.add();
        self.quiet();
        self.remove(node);
        self.counts.replacements += 1;
    }

    pub fn remove(&mut self, node: usize) {
        self.nodes[node].crash(&mut self.rng);
        self.gone.push(node);
    }

    /// Lets the time go by after which a loss no longer counts, and checks that it is repaired.
    pub fn quiet(&mut self) {
        self.run(CATCH_UP + CONTACT);
        self.check();
    }

    /// Checks that the sound machines agree on the members, that as many of them vote as the group
    /// needs, that acknowledged entries are read back and that new ones are committed.
    fn check(&mut self) {
        let leader = self.leader();
        let leader =
            leader.unwrap_or_else(|| panic!("no leader at {}\n{}", self.now, self.describe()));
        let members = self.nodes[leader]
            .replica
            .as_ref()
            .unwrap()
            .members()
            .unwrap()
            .clone();
        let live = self.live();
        let voters = live
            .iter()
            .filter(|n| members.is_voter(&self.nodes[**n].id()));
        let needed = self.target_voters.min(live.len());
        assert_eq!(
            voters.count(),
            needed,
            "sound voters at {}\n{}",
            self.now,
            self.describe()
        );
        assert_eq!(
            members.voters.len(),
            needed,
            "voters at {}\n{}",
            self.now,
            self.describe()
        );
        for node in &live {
            let known = self.nodes[*node].replica.as_ref().unwrap().members();
            assert_eq!(
                known,
                Some(&members),
                "members at {}\n{}",
                self.now,
                self.describe()
            );
        }
        self.record_removals(&live, &members);
        self.check_service();
    }

    fn record_removals(&mut self, live: &[usize], members: &core::members::Membership) {
        for node in live {
            let node = self.nodes[*node].id();
            if !members.is_voter(&node) {
                self.counts.removals += u64::from(self.removed.insert(node));
            } else if self.removed.remove(&node) {
                self.counts.returns += 1;
            }
        }
    }

    fn check_service(&mut self) {
        let (acknowledged, reads) = (self.acknowledged, self.reads);
        let until = self.now + ACKNOWLEDGEMENT;
        while self.acknowledged == acknowledged || self.reads == reads {
            assert!(
                self.now < until,
                "no answer at {}\n{}",
                self.now,
                self.describe()
            );
            self.run(STEP);
        }
    }

    pub fn run(&mut self, duration: clock::Millis) {
        let until = self.now + duration;
        while self.now < until {
            self.now = self.now + STEP;
            while let Some(message) = self.network.receive(self.now, &mut self.rng) {
                self.deliver(message);
            }
            for node in self.live() {
                self.step(node, message::Input::Tick);
                self.sync(node);
            }
            self.send_requests();
        }
    }

    /// Sends the leader a change and a read, now and then.
    fn send_requests(&mut self) {
        let Some(leader) = self.leader().filter(|_| self.rng.random_range(0..5) == 0) else {
            return;
        };
        self.last_request += 2;
        let request = self.last_request;
        let command = request.to_le_bytes().to_vec();
        self.step(leader, message::Input::Propose { request, command });
        let request = request + 1;
        self.step(leader, message::Input::Read { request });
    }

    fn deliver(&mut self, message: message::Message) {
        let to = message.to.instance.as_str();
        let node = self.nodes.iter().position(|n| n.name == to).unwrap();
        if self.nodes[node].is_running(self.now) && !self.is_hidden(&message) {
            self.step(node, message::Input::Message(message));
        }
    }

    /// Returns whether an injected bug hides a message.
    fn is_hidden(&self, message: &message::Message) -> bool {
        if !matches!(message.body, message::Body::JoinRequest { .. }) {
            return false;
        }
        match self.bug {
            InjectedBug::None => false,
            InjectedBug::NobodyJoins => message.group != id::Incarnation::default(),
            InjectedBug::VotersDoNotAsk => {
                let sender = self.nodes.iter().find(|n| n.id() == message.from);
                let members = sender.and_then(|n| n.replica.as_ref()?.members());
                members.is_some_and(|m| m.is_voter(&message.from))
            }
        }
    }

    fn sync(&mut self, node: usize) {
        if !self.nodes[node].is_running(self.now) {
            return;
        }
        if let Some(number) = self.nodes[node].disk.sync(&mut self.rng) {
            self.step(node, message::Input::Persisted(number));
        }
    }

    fn step(&mut self, node: usize, input: message::Input) {
        if !self.nodes[node].is_running(self.now) {
            return;
        }
        let effects = self.nodes[node].step(self.now, input, &mut self.oracle);
        self.acknowledged += effects.acknowledged;
        self.reads += effects.reads;
        for message in effects.messages {
            self.network.send(self.now, message, &mut self.rng);
        }
    }

    /// Starts a process on a machine of a running group.
    fn start_again(&mut self, node: usize) {
        let others: Vec<usize> = self.live().into_iter().filter(|n| *n != node).collect();
        let seeds: Vec<usize> = others
            .choose_multiple(&mut self.rng, SEEDS)
            .copied()
            .collect();
        self.start(node, &seeds, false);
    }

    fn start(&mut self, node: usize, seeds: &[usize], may_form_group: bool) {
        let peer = |n: &usize| core::Peer {
            instance: self.nodes[*n].name.parse().unwrap(),
            address: ([127, 0, 0, 1], 1_000 + *n as u16).into(),
        };
        let group = node::GroupSettings {
            initial_members: seeds.iter().map(peer).collect(),
            admission: core::Admission::Open {
                may_form_group,
                target_voters: self.target_voters,
                replace_after: clock::Millis::new(2_500),
            },
            election_timeout: clock::Millis::new(500),
            heartbeat_interval: clock::Millis::new(120),
        };
        self.nodes[node].start(self.now, &group, &self.oracle, &mut self.rng);
    }

    fn new_machine(&mut self) -> usize {
        let number = self.nodes.len();
        let incarnation = self.new_incarnation();
        let name = format!("control-{number}");
        self.nodes.push(node::Node::new(name, incarnation));
        number
    }

    fn new_incarnation(&mut self) -> id::Incarnation {
        self.next_incarnation += 1;
        id::Incarnation::new(self.next_incarnation)
    }

    /// Returns the machines that were not removed for good.
    pub fn live(&self) -> Vec<usize> {
        let all = 0..self.nodes.len();
        all.filter(|n| !self.gone.contains(n)).collect()
    }

    /// Returns the leader that a majority follows, as far as one runs.
    pub fn leader(&self) -> Option<usize> {
        let leads = |n: &usize| {
            let node = &self.nodes[*n];
            let replica = node.replica.as_ref().filter(|_| node.is_running(self.now));
            replica.is_some_and(core::Replica::is_leader)
        };
        let term = |n: &usize| self.nodes[*n].replica.as_ref().map(core::Replica::term);
        (0..self.nodes.len()).filter(leads).max_by_key(term)
    }

    pub fn is_voter(&self, node: usize) -> bool {
        let members = self.oracle.members.as_ref();
        members.is_some_and(|m| m.is_voter(&self.nodes[node].id()))
    }

    fn describe(&self) -> String {
        let lines = self.nodes.iter().map(node::Node::describe);
        lines.collect::<Vec<_>>().join("\n")
    }
}
