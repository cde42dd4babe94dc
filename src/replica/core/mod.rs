//! One replica of the log as a deterministic state machine: Raft without I/O.
//!
//! [`Replica::step`] takes the current time and one input and returns the actions for the caller to
//! perform. A message that depends on written data is not sent before [`message::Input::Persisted`]
//! confirms the write: a vote or an entry counts only once it is synced. The protocol is Raft with
//! pre-vote, check-quorum, read-index, learners and single-voter membership changes. A member is
//! identified by its instance name and the incarnation of its data folder. After the loss of its
//! disk it is a new member, which has no vote until it has caught up.

pub mod election;
mod follower;
mod formation;
mod leader;
pub mod log;
pub mod members;
mod membership_change;
pub mod message;
mod persistence;
mod progress;
mod reads;
mod receive;
mod sending;

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
    /// One initial member of a new group.
    pub struct Peer {
        pub instance: id::InstanceId,
        pub address: net::SocketAddr,
    }
}

#[derive(Clone, Debug)]
pub struct Settings {
    /// This member; the incarnation is that of its data folder.
    pub node: message::NodeId,
    /// The initial members of a new group. A node without a group sends its join requests to
    /// them.
    pub initial_members: Vec<Peer>,
    /// The address at which the other members reach this one.
    pub address: net::SocketAddr,
    pub admission: Admission,
    /// The shortest election timeout. Each timeout is drawn at random from this value up to twice
    /// this value.
    pub election_timeout: clock::Millis,
    pub heartbeat_interval: clock::Millis,
    /// The number of entries kept before a snapshot, so that a slightly lagging member needs no
    /// snapshot.
    pub trailing_entries: u64,
    /// The seed of the election timeouts and of the random id of a new group.
    pub seed: u64,
}

/// The rule by which nodes become members of the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Only the initial members and the instances that an operator admitted. Each becomes a voter
    /// once it has caught up.
    ByOperator,
    /// Any instance that sends a join request. Learners replace inactive voters without an
    /// operator.
    Open {
        /// Whether this node may form a new group with the initial members.
        may_form_group: bool,
        /// The target number of voters.
        target_voters: usize,
        /// How long a voter must be inactive before a caught-up learner replaces it.
        replace_after: clock::Millis,
    },
}

/// The contents of a data folder when a replica starts.
#[derive(Clone, Debug, Default)]
pub struct Stored {
    pub hard_state: message::HardState,
    /// The newest snapshot; `None` for a node that has not joined a group.
    pub snapshot: Option<message::Snapshot>,
    /// The entries after the snapshot.
    pub entries: Vec<message::Entry>,
}

/// One replica of the log.
#[derive(Debug)]
pub struct Replica {
    settings: Settings,
    random: rand::rngs::StdRng,
    hard_state: message::HardState,
    /// `None` until this node has joined a group.
    joined: Option<Joined>,
    role: Role,
    known_leader: KnownLeader,
    /// When the last message of a leader arrived; reset when this member stops leading.
    leader_contact_at: Option<clock::Millis>,
    leader_search: election::LeaderSearch,
    /// When the next pre-vote is due.
    election_at: clock::Millis,
    partial_snapshot: Option<follower::PartialSnapshot>,
    discovery: formation::Discovery,
    disk: persistence::Disk,
    outputs: Vec<Output>,
    /// Messages to send once the batch of the current step is on disk.
    after_sync: Vec<message::Message>,
}

/// The replicated data of a node that has joined a group.
#[derive(Debug)]
struct Joined {
    group: id::Incarnation,
    log: log::Log,
    /// The newest snapshot.
    snapshot: sync::Arc<message::Snapshot>,
    committed: id::LogIndex,
    applied: id::LogIndex,
}

#[derive(Debug)]
enum Role {
    Follower,
    PreCandidate(GrantedVotes),
    Candidate(GrantedVotes),
    Leader(leader::Leadership),
}

/// The voters that have granted their vote or pre-vote.
type GrantedVotes = Vec<message::NodeId>;

#[derive(Debug, Default)]
struct KnownLeader {
    term: id::Term,
    leader: Option<message::NodeId>,
}

impl Replica {
    /// Creates a replica from the contents of its data folder.
    ///
    /// The state machine starts from [`Self::snapshot`]. Committed entries after the snapshot are
    /// applied again once a leader has sent its commit index.
    ///
    /// # Panics
    ///
    /// Panics when the entries do not follow the snapshot.
    pub fn new(settings: Settings, stored: Stored, now: clock::Millis) -> Self {
        let mut disk = persistence::Disk::default();
        let mut hard_state = stored.hard_state;
        let snapshot_term = stored.snapshot.as_ref().map(|s| s.metadata.at.term);
        if let Some(term) = snapshot_term.filter(|t| *t > hard_state.term) {
            // The process crashed after a snapshot was installed and before its term was written.
            hard_state = message::HardState { term, vote: None };
        }
        let joined = stored.snapshot.map(|snapshot| {
            let joined = Joined::new(snapshot, stored.entries);
            disk.durable_index = joined.log.last().index;
            joined
        });
        let mut replica = Self {
            random: rand::rngs::StdRng::seed_from_u64(settings.seed),
            settings,
            hard_state,
            joined,
            role: Role::Follower,
            known_leader: KnownLeader::default(),
            leader_contact_at: None,
            leader_search: election::LeaderSearch::new(now),
            election_at: now,
            partial_snapshot: None,
            discovery: formation::Discovery::default(),
            disk,
            outputs: Vec::new(),
            after_sync: Vec::new(),
        };
        replica.schedule_first_election(now);
        replica
    }

    /// Processes one input and returns the actions to perform, in order.
    ///
    /// # Panics
    ///
    /// Panics when an invariant of the log is violated; the member must then stop.
    pub fn step(&mut self, now: clock::Millis, input: Input) -> Vec<Output> {
        match input {
            Input::Tick => self.tick(now),
            Input::Message(message) => self.receive(now, message),
            Input::Persisted(number) => self.handle_persisted(now, number),
            Input::Propose { request, command } => self.propose(now, request, command),
            Input::Read { request } => self.queue_read(now, request),
            Input::ChangeMembers { request, change } => self.change_members(now, request, &change),
            Input::Compact { index, data } => self.compact(index, data),
        }
        self.flush_reads(now);
        self.finish_step()
    }

    pub fn node(&self) -> &message::NodeId {
        &self.settings.node
    }

    pub fn term(&self) -> id::Term {
        self.hard_state.term
    }

    /// Returns whether this member believes itself to be the leader; a newer leader may exist
    /// already.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns the leader of the current term, or `None` while it is unknown.
    pub fn leader(&self) -> Option<&message::NodeId> {
        let known = self.known_leader.leader.as_ref();
        let known = known.filter(|_| self.known_leader.term == self.hard_state.term);
        match self.role {
            Role::Leader(_) => known,
            Role::Follower => known.filter(|l| **l != self.settings.node),
            Role::PreCandidate(_) | Role::Candidate(_) => None,
        }
    }

    /// Returns the commit index; zero before a group was joined.
    pub fn committed(&self) -> id::LogIndex {
        self.joined
            .as_ref()
            .map_or_else(Default::default, |j| j.committed)
    }

    /// Returns the last index handed out as [`Output::Apply`]; zero before a group was joined.
    pub fn applied(&self) -> id::LogIndex {
        self.joined
            .as_ref()
            .map_or_else(Default::default, |j| j.applied)
    }

    /// Returns the log, or `None` for a node that has not joined a group.
    pub fn log(&self) -> Option<&log::Log> {
        self.joined.as_ref().map(|j| &j.log)
    }

    /// Returns the newest snapshot, or `None` for a node that has not joined a group.
    pub fn snapshot(&self) -> Option<&message::Snapshot> {
        self.joined.as_ref().map(|j| &*j.snapshot)
    }

    /// Returns the membership of the last log entry, or `None` for a node that has not joined a
    /// group.
    pub fn members(&self) -> Option<&members::Membership> {
        self.joined.as_ref().map(|j| j.log.members())
    }

    /// Returns the address of an instance: of a member, an initial member or a node known from join
    /// messages, in this order.
    pub fn address_of(&self, instance: &id::InstanceId) -> Option<net::SocketAddr> {
        let member_address = self.members().and_then(|m| m.address_of(instance));
        let initial = || {
            self.settings
                .initial_members
                .iter()
                .find(|p| p.instance == *instance)
        };
        member_address
            .or_else(|| initial().map(|p| p.address))
            .or_else(|| self.discovery.address_of(instance))
    }

    fn tick(&mut self, now: clock::Millis) {
        if self.should_join(now) {
            self.send_join_requests(now);
        }
        if self.joined.is_none() {
            return;
        }
        if self.is_leader() {
            self.tick_leader(now);
        } else if now >= self.election_at {
            self.start_pre_vote(now);
        }
    }

    /// Enters a newer term as follower, without a vote in that term.
    fn enter_term(&mut self, now: clock::Millis, term: id::Term) {
        assert!(term > self.hard_state.term, "the term never decreases");
        self.hard_state = message::HardState { term, vote: None };
        self.disk.hard_state_changed = true;
        self.become_follower(now);
    }

    /// Becomes a follower in the current term; a leader refuses its pending reads.
    fn become_follower(&mut self, now: clock::Millis) {
        let role = mem::replace(&mut self.role, Role::Follower);
        if let Role::Leader(leadership) = role {
            for read in leadership.reads {
                self.refuse(read.request, message::Refusal::NotLeader);
            }
            self.leader_contact_at = None;
            self.leader_search = election::LeaderSearch::new(now);
        }
        self.reset_election_timer(now);
    }

    fn reset_election_timer(&mut self, now: clock::Millis) {
        let shortest = self.settings.election_timeout.as_u64();
        let wait = self.random.random_range(shortest..shortest * 2);
        self.election_at = now + clock::Millis::new(wait);
    }

    fn refuse(&mut self, request: u64, reason: message::Refusal) {
        self.outputs.push(Output::Refused { request, reason });
    }

    /// Raises the commit index and hands out the newly committed entries to be applied.
    fn commit_to(&mut self, index: id::LogIndex) {
        let Some(joined) = self.joined.as_mut() else {
            return;
        };
        assert!(
            index <= joined.log.last().index,
            "the commit index never exceeds the last log index"
        );
        assert!(
            index >= joined.committed,
            "the commit index never decreases"
        );
        joined.committed = index;
        while joined.applied < joined.committed {
            let next = joined.applied.next();
            let entry = joined.log.entry(next);
            let entry = entry
                .expect("entries stay in the log until they are applied")
                .clone();
            joined.applied = next;
            self.outputs.push(Output::Apply(entry));
        }
    }

    /// Asserts the invariants that hold between any two steps.
    fn check_invariants(&self) {
        let Some(joined) = &self.joined else {
            return;
        };
        assert!(
            joined.applied <= joined.committed,
            "only committed entries are applied"
        );
        assert!(
            joined.committed <= joined.log.last().index,
            "the commit index never exceeds the last log index"
        );
        assert!(
            joined.snapshot.metadata.at.index <= joined.applied,
            "a snapshot includes only applied entries"
        );
        assert!(
            joined.log.last().term <= self.hard_state.term,
            "no log entry has a later term than the replica"
        );
        if self.is_leader() {
            assert_eq!(
                self.leader(),
                Some(&self.settings.node),
                "a leader is the known leader of its term"
            );
        }
    }
}

impl Joined {
    fn new(snapshot: message::Snapshot, entries: Vec<message::Entry>) -> Self {
        let mut log = log::Log::after(&snapshot.metadata);
        for entry in entries {
            log.append(entry);
        }
        let start = snapshot.metadata.at.index;
        Self {
            group: snapshot.metadata.group,
            log,
            snapshot: sync::Arc::new(snapshot),
            committed: start,
            applied: start,
        }
    }
}

impl KnownLeader {
    /// Records the leader of a term.
    ///
    /// # Panics
    ///
    /// Panics when the term is older than the recorded one, or has another leader already.
    fn record(&mut self, term: id::Term, leader: &message::NodeId) {
        assert!(
            term >= self.term,
            "the term of the known leader never decreases"
        );
        let known = self.leader.as_ref().filter(|_| term == self.term);
        assert!(
            known.is_none_or(|k| k == leader),
            "a term has at most one leader"
        );
        self.term = term;
        self.leader = Some(leader.clone());
    }
}

/// Returns whether more than half of the voters satisfy the predicate.
fn is_quorum(members: &members::Membership, counted: impl Fn(&message::NodeId) -> bool) -> bool {
    let count = voters(members).filter(|v| counted(v)).count();
    count >= members.quorum()
}

fn voters(members: &members::Membership) -> impl Iterator<Item = message::NodeId> {
    members
        .voters
        .iter()
        .map(|(instance, member)| message::NodeId {
            instance: instance.clone(),
            incarnation: member.incarnation,
        })
}

/// The replication progress of the other members.
type ProgressMap = sorted::Map<message::NodeId, progress::Progress>;
