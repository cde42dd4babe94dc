//! Elections: pre-vote, vote and the check that a candidate's log is up to date.

use rand::Rng as _;

use crate::clock;
use crate::id;
use crate::replica::core;
use crate::replica::core::message;

use message::Body;

/// The divisor of the election timeout for the first election after a start. A short first timeout
/// is safe: while a leader is active, the other members refuse the pre-vote.
const FIRST_ELECTION_DIVISOR: u64 = 3;

/// A member's search for a leader since its last contact with one.
#[derive(Debug)]
pub struct LeaderSearch {
    /// When the last contact ended; before the first one, when the replica started.
    pub since: clock::Millis,
    /// The nodes that refused a pre-vote in this search, sorted.
    refused_by: Vec<message::NodeId>,
}

impl LeaderSearch {
    pub const fn new(now: clock::Millis) -> Self {
        Self {
            since: now,
            refused_by: Vec::new(),
        }
    }

    /// Iterates over the nodes that refused a pre-vote in this search.
    pub fn refused_by(&self) -> impl Iterator<Item = &message::NodeId> {
        self.refused_by.iter()
    }

    fn record_refusal(&mut self, from: message::NodeId) {
        if let Err(at) = self.refused_by.binary_search(&from) {
            self.refused_by.insert(at, from);
        }
    }
}

impl core::Replica {
    /// Returns the search for a leader, or `None` while this member knows the leader or has no
    /// group.
    pub fn leader_search(&self) -> Option<&LeaderSearch> {
        (self.joined.is_some() && self.leader().is_none()).then_some(&self.leader_search)
    }

    /// Records a refused pre-vote.
    pub(super) fn record_pre_vote_refusal(&mut self, from: message::NodeId) {
        if matches!(self.role, core::Role::PreCandidate(_)) {
            self.leader_search.record_refusal(from);
        }
    }

    /// Schedules the first election after a start, sooner than a full election timeout: no earlier
    /// contact with a leader has to expire.
    pub(super) fn schedule_first_election(&mut self, now: clock::Millis) {
        let shortest = (self.settings.election_timeout.as_u64() / FIRST_ELECTION_DIVISOR).max(1);
        let wait = self.random.random_range(shortest..shortest * 2 + 1);
        self.election_at = now + clock::Millis::new(wait);
    }

    /// Starts a pre-vote, which asks whether an election could be won. The term does not change, so
    /// an isolated member does not disturb the others.
    pub(super) fn start_pre_vote(&mut self, now: clock::Millis) {
        self.reset_election_timer(now);
        let me = self.settings.node.clone();
        let Some(members) = self.members().filter(|m| m.is_voter(&me)).cloned() else {
            return;
        };
        self.role = core::Role::PreCandidate(vec![me]);
        if self.is_elected(&members) {
            self.start_election(now);
            return;
        }
        let last = self.last();
        let term = self.hard_state.term.next();
        for voter in self.other_voters(&members) {
            let mut message = self.message(&voter, Body::PreVoteRequest { last });
            message.term = term;
            self.outputs.push(message::Output::Send(message));
        }
    }

    /// Responds to a pre-vote request without changing any state.
    pub(super) fn handle_pre_vote_request(
        &mut self,
        now: clock::Millis,
        from: &message::NodeId,
        term: id::Term,
        last: message::Position,
    ) {
        let granted = term > self.hard_state.term
            && !self.has_leader_contact(now)
            && self.is_log_up_to_date(last);
        let mut message = self.message(from, Body::PreVoteResponse { granted });
        if granted {
            message.term = term;
        }
        self.after_sync.push(message);
    }

    /// Counts a granted pre-vote and starts the election once a quorum has granted theirs.
    pub(super) fn count_pre_vote(
        &mut self,
        now: clock::Millis,
        from: message::NodeId,
        term: id::Term,
    ) {
        if term != self.hard_state.term.next() {
            return;
        }
        let core::Role::PreCandidate(votes) = &mut self.role else {
            return;
        };
        votes.push(from);
        let members = self.members().cloned().unwrap_or_default();
        if self.is_elected(&members) {
            self.start_election(now);
        }
    }

    fn start_election(&mut self, now: clock::Millis) {
        let me = self.settings.node.clone();
        self.enter_term(now, self.hard_state.term.next());
        self.hard_state.vote = Some(me);
        // This member's own vote is counted by `handle_persisted`, once it is on disk.
        self.role = core::Role::Candidate(Vec::new());
        let members = self.members().cloned().unwrap_or_default();
        let last = self.last();
        for voter in self.other_voters(&members) {
            self.send_after_sync(&voter, Body::VoteRequest { last });
        }
    }

    /// Responds to a vote request; `current` is false for one of an older term, which is refused.
    pub(super) fn handle_vote_request(
        &mut self,
        now: clock::Millis,
        from: &message::NodeId,
        current: bool,
        last: message::Position,
    ) {
        let is_vote_available = self.hard_state.vote.as_ref().is_none_or(|v| v == from);
        let granted = current && is_vote_available && self.is_log_up_to_date(last);
        if granted && self.hard_state.vote.is_none() {
            self.hard_state.vote = Some(from.clone());
            self.disk.hard_state_changed = true;
        }
        if granted {
            self.reset_election_timer(now);
        }
        self.send_after_sync(from, Body::VoteResponse { granted });
    }

    /// Counts a vote for this candidate and becomes the leader once a quorum has voted for it.
    pub(super) fn count_vote(&mut self, now: clock::Millis, from: message::NodeId, granted: bool) {
        let core::Role::Candidate(votes) = &mut self.role else {
            return;
        };
        if !granted {
            return;
        }
        votes.push(from);
        let members = self.members().cloned().unwrap_or_default();
        if self.is_elected(&members) {
            self.become_leader(now);
        }
    }

    /// Returns whether this member is the leader, or received a message from one within the shortest
    /// election timeout.
    pub(super) fn has_leader_contact(&self, now: clock::Millis) -> bool {
        let recent = |at: clock::Millis| now < at + self.settings.election_timeout;
        self.is_leader() || self.leader_contact_at.is_some_and(recent)
    }

    fn is_elected(&self, members: &core::members::Membership) -> bool {
        let (core::Role::PreCandidate(votes) | core::Role::Candidate(votes)) = &self.role else {
            return false;
        };
        core::is_quorum(members, |voter| votes.contains(voter))
    }

    fn is_log_up_to_date(&self, last: message::Position) -> bool {
        let own = self.last();
        (last.term, last.index) >= (own.term, own.index)
    }

    fn last(&self) -> message::Position {
        self.log()
            .map_or_else(Default::default, core::log::Log::last)
    }

    fn other_voters(&self, members: &core::members::Membership) -> Vec<message::NodeId> {
        let me = &self.settings.node;
        core::voters(members).filter(|v| v != me).collect()
    }
}
