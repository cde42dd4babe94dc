//! The leader's side of the protocol: proposals, responses of members, commits and check-quorum.

use std::sync;

use crate::clock;
use crate::id;
use crate::replica::core;
use crate::replica::core::members;
use crate::replica::core::message;
use crate::replica::core::progress;

use message::{AppendOutcome, Output, Refusal};

/// The state of a leader during its term.
#[derive(Debug)]
pub struct Leadership {
    /// The replication progress of the other members.
    pub others: core::ProgressMap,
    /// The former members that asked for admission in this term without knowing that they were
    /// removed.
    pub former: Vec<FormerMember>,
    pub reads: Vec<PendingRead>,
    /// The number of the newest heartbeat round.
    pub round: u64,
    /// When the next heartbeat round is due.
    pub heartbeat_at: clock::Millis,
    /// The index of the first entry of this term.
    pub first_index: id::LogIndex,
    started_at: clock::Millis,
}

/// A node that was removed from the group without hearing of it.
#[derive(Debug)]
pub struct FormerMember {
    pub node: message::NodeId,
    /// Whether its log has the membership that excludes it; until then it receives the log.
    pub is_informed: bool,
}

/// A read that waits until a quorum has responded to its heartbeat round.
#[derive(Debug)]
pub struct PendingRead {
    /// The caller's number of the request.
    pub request: u64,
    /// The first heartbeat round that starts after the read arrived.
    pub round: u64,
}

impl core::Replica {
    /// Becomes the leader of the current term and appends an empty entry. Committing that entry
    /// commits all entries before it.
    pub(super) fn become_leader(&mut self, now: clock::Millis) {
        let me = self.settings.node.clone();
        self.known_leader.record(self.hard_state.term, &me);
        let Some(joined) = &self.joined else {
            return;
        };
        let first_index = joined.log.last().index.next();
        self.role = core::Role::Leader(Leadership {
            others: core::ProgressMap::new(),
            former: Vec::new(),
            reads: Vec::new(),
            round: 0,
            heartbeat_at: now,
            first_index,
            started_at: now,
        });
        self.append_payload(message::Payload::Empty);
        self.tick_leader(now);
    }

    /// Handles the timers of a leader: steps down without a quorum, starts heartbeat rounds and
    /// promotes learners.
    pub(super) fn tick_leader(&mut self, now: clock::Millis) {
        if !self.has_active_quorum(now) {
            self.become_follower(now);
            return;
        }
        let due = self.leadership().is_some_and(|l| now >= l.heartbeat_at);
        if due {
            self.start_heartbeat_round(now);
        }
        // Runs on every tick, not only when a heartbeat is due: rounds started by reads postpone
        // the next due heartbeat, under constant reads indefinitely.
        self.promote_caught_up_learner(now);
    }

    /// Appends a command to the log and sends it to the members.
    pub(super) fn propose(&mut self, now: clock::Millis, request: u64, command: Vec<u8>) {
        if !self.is_leader() {
            self.refuse(request, Refusal::NotLeader);
            return;
        }
        let at = self.append_payload(message::Payload::Command(command));
        self.outputs.push(Output::Proposed { request, at });
        self.send_entries(now);
    }

    /// Handles a member's response to an append.
    pub(super) fn handle_append_response(
        &mut self,
        now: clock::Millis,
        from: &message::NodeId,
        round: u64,
        outcome: AppendOutcome,
    ) {
        let snapshot = self.joined.as_ref().map(|j| sync::Arc::clone(&j.snapshot));
        let last = self.log().map(|l| l.last().index);
        let Some(progress) = self.progress_mut(from) else {
            return;
        };
        progress.record_response(now, round);
        match outcome {
            AppendOutcome::Matched(index) => {
                assert!(
                    Some(index) <= last,
                    "a member never matches beyond the last index of the leader's log"
                );
                progress.record_match(index);
            }
            AppendOutcome::Conflict { refused, retry } => progress.record_conflict(refused, retry),
            AppendOutcome::NeedsSnapshot if progress.transfer.is_none() => {
                progress.transfer = snapshot.map(|snapshot| progress::SnapshotTransfer {
                    snapshot,
                    offset: 0,
                });
            }
            AppendOutcome::NeedsSnapshot => (),
        }
        self.record_informed(from);
        self.advance_commit(now);
        self.send_to(from, false);
    }

    /// Handles a member's response to a snapshot chunk.
    pub(super) fn handle_chunk_response(
        &mut self,
        now: clock::Millis,
        from: &message::NodeId,
        at: message::Position,
        offset: u64,
        round: u64,
    ) {
        let Some(progress) = self.progress_mut(from) else {
            return;
        };
        progress.record_response(now, round);
        let Some(transfer) = &mut progress.transfer else {
            return;
        };
        let is_new_offset = transfer.snapshot.metadata.at == at && transfer.offset != offset;
        if is_new_offset {
            transfer.offset = offset;
            self.send_to(from, true);
        }
    }

    /// Raises the commit index to the last entry that a quorum has on disk, if that entry is of the
    /// current term, and completes the reads that a quorum has confirmed.
    pub(super) fn advance_commit(&mut self, now: clock::Millis) {
        let Some((joined, leadership)) = self.as_leader() else {
            return;
        };
        let me = &self.settings.node;
        let durable_index = self.disk.durable_index;
        let matched = |voter: &message::NodeId| {
            if voter == me {
                return durable_index;
            }
            let progress = leadership.others.get(voter);
            progress.map_or_else(Default::default, |p| p.match_index)
        };
        let members = joined.log.members();
        let mut indexes: Vec<id::LogIndex> = core::voters(members).map(|v| matched(&v)).collect();
        indexes.sort_unstable_by(|a, b| b.cmp(a));
        let quorum_index = indexes[members.quorum() - 1];
        let is_current_term = joined.log.term_at(quorum_index) == Some(self.hard_state.term);
        if quorum_index > joined.committed && is_current_term {
            self.commit_to(quorum_index);
        }
        self.complete_reads();
        self.step_down_if_removed(now);
    }

    /// Returns whether a quorum has responded within the shortest election timeout. A new leader gets
    /// that time to hear from its followers.
    fn has_active_quorum(&self, now: clock::Millis) -> bool {
        let Some((joined, leadership)) = self.as_leader() else {
            return false;
        };
        if now < leadership.started_at + self.settings.election_timeout {
            return true;
        }
        self.is_quorum_active(now, joined.log.members())
    }

    /// Returns whether a quorum of the given membership is active, so that it can commit entries.
    pub(super) fn is_quorum_active(
        &self,
        now: clock::Millis,
        members: &members::Membership,
    ) -> bool {
        core::is_quorum(members, |voter| {
            *voter == self.settings.node || self.is_active(now, voter)
        })
    }

    /// Returns whether a member has responded within the shortest election timeout.
    pub(super) fn is_active(&self, now: clock::Millis, node: &message::NodeId) -> bool {
        let progress = self.leadership().and_then(|l| l.others.get(node));
        progress.is_some_and(|p| now < p.active_at + self.settings.election_timeout)
    }

    /// Returns the replicated data and the leader state, or `None` when this member is not the
    /// leader.
    pub(super) fn as_leader(&self) -> Option<(&core::Joined, &Leadership)> {
        Some((self.joined.as_ref()?, self.leadership()?))
    }

    pub(super) fn leadership(&self) -> Option<&Leadership> {
        match &self.role {
            core::Role::Leader(leadership) => Some(leadership),
            _ => None,
        }
    }

    pub(super) fn leadership_mut(&mut self) -> Option<&mut Leadership> {
        match &mut self.role {
            core::Role::Leader(leadership) => Some(leadership),
            _ => None,
        }
    }

    pub(super) fn progress_mut(
        &mut self,
        node: &message::NodeId,
    ) -> Option<&mut progress::Progress> {
        self.leadership_mut()?.others.get_mut(node)
    }
}
