//! One replica of the log as a deterministic state machine: Raft without I/O.
//!
//! [`Replica::step`] takes the time and one input and returns what is to be done. Nothing that
//! depends on the disk leaves the replica before [`message::Input::Persisted`] confirms it: a vote
//! or an entry counts only once it was synced. The rules are Raft's, with pre-vote, check-quorum,
//! read-index, learners and one change of a voter at a time. A member is known by its name and
//! the life of its data folder; after its disk was lost it is another member, which has no vote
//! until it has caught up.

mod care;
mod election;
mod follower;
mod formation;
mod leader;
pub mod log;
pub mod members;
pub mod message;
mod progress;
mod reads;
mod receive;
mod sending;
mod writes;

use std::mem;
use std::net;
use std::sync;

use rand::Rng as _;
use rand::SeedableRng as _;

use crate::clock;
use crate::id;
use crate::macros;
use crate::sorted;

use message::{Input, Output};

macros::data! {
    /// One member that a new group starts with.
    pub struct Peer {
        /// The name of the instance.
        pub instance: id::InstanceId,
        /// Where it listens.
        pub address: net::SocketAddr,
    }
}

/// The settings of a replica.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This member in the life of its data folder.
    pub node: message::NodeId,
    /// The members that a new group starts with, or, for a member that joins, whom it asks.
    pub initial: Vec<Peer>,
    /// Where this member listens.
    pub address: net::SocketAddr,
    /// Who may become a member.
    pub admission: Admission,
    /// The shortest time without a leader before an election; the longest is twice it.
    pub election: clock::Millis,
    /// The time between two heartbeats.
    pub heartbeat: clock::Millis,
    /// The entries kept behind a snapshot for members that lag a little.
    pub trailing: u64,
    /// The seed of the election timeouts and of a new group's name.
    pub seed: u64,
}

/// Who may become a member of the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The initial members and those that an operator announced; each that has caught up votes.
    Announced,
    /// Any instance that asks; learners take the places of silent voters by themselves.
    Open {
        /// Whether this member may form a new group with the initial members.
        forms: bool,
        /// The voters that the group aims at.
        voters: usize,
        /// The silence after which a caught-up learner takes a voter's place.
        silence: clock::Millis,
    },
}

/// What a data folder holds when a replica starts.
#[derive(Clone, Debug, Default)]
pub struct Stored {
    /// The term and vote.
    pub hard: message::HardState,
    /// The newest snapshot; `None` for a member that has not joined a group.
    pub snapshot: Option<message::Snapshot>,
    /// The entries after the snapshot.
    pub entries: Vec<message::Entry>,
}

/// One replica of the log.
#[derive(Debug)]
pub struct Replica {
    settings: Settings,
    random: rand::rngs::StdRng,
    hard: message::HardState,
    joined: Option<Joined>,
    role: Role,
    leaders: LeaderOfTerm,
    heard_leader_at: Option<clock::Millis>,
    election_at: clock::Millis,
    incoming: Option<follower::Incoming>,
    hello: formation::Hello,
    disk: writes::Disk,
    outputs: Vec<Output>,
    guarded: Vec<message::Message>,
}

/// What a member has of the group that it belongs to.
#[derive(Debug)]
struct Joined {
    group: id::Incarnation,
    log: log::Log,
    snapshot: sync::Arc<message::Snapshot>,
    committed: id::LogIndex,
    applied: id::LogIndex,
}

#[derive(Debug)]
enum Role {
    Follower,
    PreCandidate(Ballot),
    Candidate(Ballot),
    Leader(leader::Leadership),
}

/// The voters that have granted their vote.
type Ballot = Vec<message::NodeId>;

#[derive(Debug, Default)]
struct LeaderOfTerm {
    term: id::Term,
    leader: Option<message::NodeId>,
}

impl Replica {
    /// Makes a replica from what its data folder holds.
    ///
    /// The state machine starts from [`Self::snapshot`]; committed entries after it are applied
    /// again once a leader tells which are.
    ///
    /// # Panics
    ///
    /// Panics when the entries do not follow the snapshot.
    pub fn new(settings: Settings, stored: Stored, now: clock::Millis) -> Self {
        let mut disk = writes::Disk::default();
        let mut hard = stored.hard;
        let snapshot_term = stored.snapshot.as_ref().map(|s| s.head.at.term);
        if let Some(term) = snapshot_term.filter(|t| *t > hard.term) {
            // The crash came after an installed snapshot and before the term beside it.
            hard = message::HardState { term, vote: None };
        }
        let joined = stored.snapshot.map(|snapshot| {
            let joined = Joined::new(snapshot, stored.entries);
            disk.durable = joined.log.last().index;
            joined
        });
        let mut replica = Self {
            random: rand::rngs::StdRng::seed_from_u64(settings.seed),
            settings,
            hard,
            joined,
            role: Role::Follower,
            leaders: LeaderOfTerm::default(),
            heard_leader_at: None,
            election_at: now,
            incoming: None,
            hello: formation::Hello::default(),
            disk,
            outputs: Vec::new(),
            guarded: Vec::new(),
        };
        replica.hasten_election(now);
        replica
    }

    /// Takes one input and returns what is to be done, in order.
    ///
    /// # Panics
    ///
    /// Panics when an invariant of the log is broken; the member must then stop.
    pub fn step(&mut self, now: clock::Millis, input: Input) -> Vec<Output> {
        match input {
            Input::Tick => self.tick(now),
            Input::Message(message) => self.receive(now, message),
            Input::Persisted(number) => self.persisted(now, number),
            Input::Propose { request, command } => self.propose(now, request, command),
            Input::Read { request } => self.read(now, request),
            Input::ChangeMembers { request, change } => self.change_members(now, request, &change),
            Input::Compact { index, data } => self.compact(index, data),
        }
        self.flush_reads(now);
        self.finish()
    }

    /// Returns this member.
    pub fn node(&self) -> &message::NodeId {
        &self.settings.node
    }

    /// Returns the present term.
    pub fn term(&self) -> id::Term {
        self.hard.term
    }

    /// Tells whether this member leads, as far as it knows.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns the leader of the present term, if it is known.
    pub fn leader(&self) -> Option<&message::NodeId> {
        let known = self.leaders.leader.as_ref();
        let known = known.filter(|_| self.leaders.term == self.hard.term);
        match self.role {
            Role::Leader(_) => known,
            Role::Follower => known.filter(|l| **l != self.settings.node),
            Role::PreCandidate(_) | Role::Candidate(_) => None,
        }
    }

    /// Returns the last entry known to be committed.
    pub fn committed(&self) -> id::LogIndex {
        self.joined
            .as_ref()
            .map_or_else(Default::default, |j| j.committed)
    }

    /// Returns the last entry given out to be applied.
    pub fn applied(&self) -> id::LogIndex {
        self.joined
            .as_ref()
            .map_or_else(Default::default, |j| j.applied)
    }

    /// Returns the log, unless this member has not joined a group yet.
    pub fn log(&self) -> Option<&log::Log> {
        self.joined.as_ref().map(|j| &j.log)
    }

    /// Returns the newest snapshot, unless this member has not joined a group yet.
    pub fn snapshot(&self) -> Option<&message::Snapshot> {
        self.joined.as_ref().map(|j| &*j.snapshot)
    }

    /// Returns the present members, unless this member has not joined a group yet.
    pub fn members(&self) -> Option<&members::Membership> {
        self.joined.as_ref().map(|j| j.log.members())
    }

    /// Returns where a member listens.
    pub fn address_of(&self, instance: &id::InstanceId) -> Option<net::SocketAddr> {
        let seat = self.members().and_then(|m| m.address_of(instance));
        let initial = || {
            self.settings
                .initial
                .iter()
                .find(|p| p.instance == *instance)
        };
        seat.or_else(|| initial().map(|p| p.address))
            .or_else(|| self.hello.address_of(instance))
    }

    fn tick(&mut self, now: clock::Millis) {
        if self.is_outside(now) {
            self.say_hello(now);
        }
        if self.joined.is_none() {
            return;
        }
        if self.is_leader() {
            self.lead(now);
        } else if now >= self.election_at {
            self.start_pre_vote(now);
        }
    }

    /// Enters a newer term as follower; the vote of the old one is void.
    fn enter_term(&mut self, now: clock::Millis, term: id::Term) {
        assert!(term > self.hard.term, "terms never go down");
        self.hard = message::HardState { term, vote: None };
        self.disk.hard_changed = true;
        self.follow(now);
    }

    /// Becomes follower in the present term.
    fn follow(&mut self, now: clock::Millis) {
        let role = mem::replace(&mut self.role, Role::Follower);
        if let Role::Leader(leadership) = role {
            for read in leadership.reads {
                self.refuse(read.request, message::Refusal::NotLeader);
            }
            self.heard_leader_at = None;
        }
        self.delay_election(now);
    }

    fn delay_election(&mut self, now: clock::Millis) {
        let shortest = self.settings.election.as_u64();
        let wait = self.random.random_range(shortest..shortest * 2);
        self.election_at = now + clock::Millis::new(wait);
    }

    fn refuse(&mut self, request: u64, reason: message::Refusal) {
        self.outputs.push(Output::Refused { request, reason });
    }

    /// Raises the commit index and hands out what may be applied.
    fn commit_to(&mut self, index: id::LogIndex) {
        let Some(joined) = self.joined.as_mut() else {
            return;
        };
        assert!(
            index <= joined.log.last().index,
            "only entries of the log are committed"
        );
        assert!(
            index >= joined.committed,
            "the commit index never goes down"
        );
        joined.committed = index;
        while joined.applied < joined.committed {
            let next = joined.applied.next();
            let entry = joined.log.entry(next);
            let entry = entry
                .expect("entries are kept until they are applied")
                .clone();
            joined.applied = next;
            self.outputs.push(Output::Apply(entry));
        }
    }

    /// Asserts what must hold between any two steps.
    fn check(&self) {
        let Some(joined) = &self.joined else {
            return;
        };
        assert!(
            joined.applied <= joined.committed,
            "only committed entries are applied"
        );
        assert!(
            joined.committed <= joined.log.last().index,
            "committed entries are kept"
        );
        assert!(
            joined.snapshot.head.at.index <= joined.applied,
            "a snapshot covers applied entries only"
        );
        assert!(
            joined.log.last().term <= self.hard.term,
            "no entry is of a later term"
        );
        if self.is_leader() {
            assert_eq!(
                self.leader(),
                Some(&self.settings.node),
                "a leader knows itself as the one of its term"
            );
        }
    }
}

impl Joined {
    fn new(snapshot: message::Snapshot, entries: Vec<message::Entry>) -> Self {
        let mut log = log::Log::after(&snapshot.head);
        for entry in entries {
            log.append(entry);
        }
        let start = snapshot.head.at.index;
        Self {
            group: snapshot.head.group,
            log,
            snapshot: sync::Arc::new(snapshot),
            committed: start,
            applied: start,
        }
    }
}

impl LeaderOfTerm {
    /// Remembers the leader of a term.
    ///
    /// # Panics
    ///
    /// Panics when another leader of the same term was seen before.
    fn learn(&mut self, term: id::Term, leader: &message::NodeId) {
        assert!(term >= self.term, "leaders of old terms are refused");
        let known = self.leader.as_ref().filter(|_| term == self.term);
        assert!(known.is_none_or(|k| k == leader), "a term has one leader");
        self.term = term;
        self.leader = Some(leader.clone());
    }
}

/// Returns whether more than half of the voters are counted.
fn is_quorum(members: &members::Membership, counted: impl Fn(&message::NodeId) -> bool) -> bool {
    let count = voters(members).filter(|v| counted(v)).count();
    count >= members.quorum()
}

/// Iterates over the voters.
fn voters(members: &members::Membership) -> impl Iterator<Item = message::NodeId> {
    members
        .voters
        .iter()
        .map(|(instance, seat)| message::NodeId {
            instance: instance.clone(),
            incarnation: seat.incarnation,
        })
}

/// The progress of the other members, by member.
type ProgressMap = sorted::Map<message::NodeId, progress::Progress>;
