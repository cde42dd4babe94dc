//! The leading side: replication, commits, reads and the care for the members.

use std::sync;

use crate::clock;
use crate::id;
use crate::replica::core;
use crate::replica::core::members;
use crate::replica::core::message;
use crate::replica::core::progress;

use message::{Body, Outcome, Output, Refusal};

/// The bytes of commands in one append.
const APPEND_BYTES: usize = 256 << 10;

/// The bytes in one piece of a snapshot.
const PIECE_BYTES: usize = 256 << 10;

/// What a leader keeps in its term.
#[derive(Debug)]
pub struct Leadership {
    /// The other members.
    pub others: core::ProgressMap,
    /// The reads that wait for a quorum.
    pub reads: Vec<PendingRead>,
    round: u64,
    heartbeat_at: clock::Millis,
    first: id::LogIndex,
    since: clock::Millis,
}

/// A read that waits for a quorum to answer its heartbeat round.
#[derive(Debug)]
pub struct PendingRead {
    /// The caller's number of the request.
    pub request: u64,
    round: u64,
}

impl core::Replica {
    /// Becomes leader of the present term; the first entry commits all before it.
    pub(super) fn become_leader(&mut self, now: clock::Millis) {
        let me = self.settings.node.clone();
        self.leaders.learn(self.hard.term, &me);
        let Some(joined) = &self.joined else {
            return;
        };
        let first = joined.log.last().index.next();
        self.role = core::Role::Leader(Leadership {
            others: core::ProgressMap::new(),
            reads: Vec::new(),
            round: 0,
            heartbeat_at: now,
            first,
            since: now,
        });
        self.append_own(message::Payload::Empty);
        self.lead(now);
    }

    /// Does what is due for a leader.
    pub(super) fn lead(&mut self, now: clock::Millis) {
        if !self.has_quorum(now) {
            self.follow(now);
            return;
        }
        let due = self.leadership().is_some_and(|l| now >= l.heartbeat_at);
        if due {
            self.start_round(now);
            self.care_for_members(now);
        }
    }

    /// Takes a command into the log.
    pub(super) fn propose(&mut self, now: clock::Millis, request: u64, command: Vec<u8>) {
        if !self.is_leader() {
            self.refuse(request, Refusal::NotLeader);
            return;
        }
        let at = self.append_own(message::Payload::Command(command));
        self.outputs.push(Output::Proposed { request, at });
        self.send_entries(now);
    }

    /// Takes a read, to be answered once a quorum has confirmed the lead after now.
    pub(super) fn read(&mut self, _now: clock::Millis, request: u64) {
        let Some(leadership) = self.leadership_mut() else {
            self.refuse(request, Refusal::NotLeader);
            return;
        };
        let round = leadership.round + 1;
        leadership.reads.push(PendingRead { request, round });
    }

    /// Takes a change of the members.
    pub(super) fn change_members(
        &mut self,
        now: clock::Millis,
        request: u64,
        change: &members::MemberChange,
    ) {
        if !self.is_leader() {
            self.refuse(request, Refusal::NotLeader);
            return;
        }
        if !self.may_change_members() {
            self.refuse(request, Refusal::Busy);
            return;
        }
        let next = self.members().and_then(|m| m.after(change));
        let next = next.filter(|next| self.hears_quorum_of(now, next));
        let Some(next) = next else {
            self.refuse(request, Refusal::Invalid);
            return;
        };
        let at = self.append_own(message::Payload::Members(next));
        self.outputs.push(Output::Proposed { request, at });
        self.send_entries(now);
    }

    /// Takes a member's answer to an append.
    pub(super) fn take_appended(
        &mut self,
        now: clock::Millis,
        from: &message::NodeId,
        round: u64,
        outcome: Outcome,
    ) {
        let snapshot = self.joined.as_ref().map(|j| sync::Arc::clone(&j.snapshot));
        let last = self.log().map(|l| l.last().index);
        let Some(progress) = self.progress_mut(from) else {
            return;
        };
        progress.hear(now, round);
        match outcome {
            Outcome::Matched(index) => {
                assert!(
                    Some(index) <= last,
                    "a member never matches beyond the leader's log"
                );
                progress.match_up_to(index);
            }
            Outcome::Differs { refused, retry } => progress.refuse(refused, retry),
            Outcome::Blank if progress.transfer.is_none() => {
                progress.transfer = snapshot.map(|snapshot| progress::Transfer {
                    snapshot,
                    offset: 0,
                });
            }
            Outcome::Blank => (),
        }
        self.advance_commit(now);
        self.send_to(from, false);
    }

    /// Takes a member's answer to a piece of a snapshot.
    pub(super) fn take_received(
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
        progress.hear(now, round);
        let Some(transfer) = &mut progress.transfer else {
            return;
        };
        let moved = transfer.snapshot.head.at == at && transfer.offset != offset;
        if moved {
            transfer.offset = offset;
            self.send_to(from, true);
        }
    }

    /// Commits what is on the disks of a quorum, and answers reads that a quorum confirmed.
    pub(super) fn advance_commit(&mut self, now: clock::Millis) {
        let Some((joined, leadership)) = self.leading() else {
            return;
        };
        let me = &self.settings.node;
        let durable = self.disk.durable;
        let matched = |voter: &message::NodeId| {
            if voter == me {
                return durable;
            }
            let progress = leadership.others.get(voter);
            progress.map_or_else(Default::default, |p| p.matched)
        };
        let members = joined.log.members();
        let mut indexes: Vec<id::LogIndex> = core::voters(members).map(|v| matched(&v)).collect();
        indexes.sort_unstable_by(|a, b| b.cmp(a));
        let agreed = indexes[members.quorum() - 1];
        let own_term = joined.log.term_at(agreed) == Some(self.hard.term);
        if agreed > joined.committed && own_term {
            self.commit_to(agreed);
        }
        self.answer_reads();
        self.step_down_if_dismissed(now);
    }

    /// Starts a heartbeat round when reads wait for one and none is under way.
    pub(super) fn flush_reads(&mut self, now: clock::Millis) {
        let Some(leadership) = self.leadership() else {
            return;
        };
        let waits = leadership.reads.iter().any(|r| r.round > leadership.round);
        let busy = leadership.reads.iter().any(|r| r.round <= leadership.round);
        if waits && !busy {
            self.start_round(now);
            self.answer_reads();
        }
    }

    /// Admits a new life of a member that lost its disk, or of one that an operator announced.
    pub(super) fn consider_newcomer(&mut self, now: clock::Millis, node: &message::NodeId) {
        if !self.is_leader() || !self.may_change_members() {
            return;
        }
        let Some(members) = self.members() else {
            return;
        };
        if members.is_voter(node) || members.is_learner(node) {
            return;
        }
        let Some(address) = members.address_of(&node.instance) else {
            return;
        };
        if self.old_life_is_heard(now, members, &node.instance) {
            return;
        }
        let next = members.with_learner(node, address);
        self.append_own(message::Payload::Members(next));
        self.send_entries(now);
    }

    fn old_life_is_heard(
        &self,
        now: clock::Millis,
        members: &members::Membership,
        instance: &id::InstanceId,
    ) -> bool {
        let lives = members.nodes().filter(|n| n.instance == *instance);
        lives
            .into_iter()
            .any(|node| node == self.settings.node || self.is_heard(now, &node))
    }

    /// Turns a learner that has caught up into a voter; a lost life of it leaves first.
    ///
    /// The lost life gives no vote any more, so the majority needs the same live members before
    /// and after it leaves. Only then does the learner, which has all entries, add to them.
    fn care_for_members(&mut self, now: clock::Millis) {
        if !self.may_change_members() {
            return;
        }
        let Some((joined, leadership)) = self.leading() else {
            return;
        };
        let members = joined.log.members();
        let ready = members.learners.iter().find(|(instance, seat)| {
            let node = message::NodeId {
                instance: (*instance).clone(),
                incarnation: seat.incarnation,
            };
            let progress = leadership.others.get(&node);
            let caught_up = progress.is_some_and(|p| p.matched >= joined.committed);
            caught_up && self.is_heard(now, &node)
        });
        let Some((instance, _)) = ready else {
            return;
        };
        let next = if members.voters.contains(instance) {
            members.without_voter(instance)
        } else {
            members.with_promoted(instance)
        };
        if !self.hears_quorum_of(now, &next) {
            return;
        }
        self.append_own(message::Payload::Members(next));
        self.send_entries(now);
    }

    /// One change at a time, and only after this leader has committed in its own term.
    fn may_change_members(&self) -> bool {
        let Some((joined, leadership)) = self.leading() else {
            return false;
        };
        let settled = joined.log.members_index() <= joined.committed;
        settled && leadership.first <= joined.committed
    }

    fn step_down_if_dismissed(&mut self, now: clock::Millis) {
        let Some((joined, _)) = self.leading() else {
            return;
        };
        let settled = joined.log.members_index() <= joined.committed;
        if settled && !joined.log.members().is_voter(&self.settings.node) {
            self.follow(now);
        }
    }

    /// Tells whether a quorum has answered within the shortest election timeout.
    fn has_quorum(&self, now: clock::Millis) -> bool {
        let Some((joined, leadership)) = self.leading() else {
            return false;
        };
        if now < leadership.since + self.settings.election {
            return true;
        }
        self.hears_quorum_of(now, joined.log.members())
    }

    /// Tells whether these members could commit now, by who has answered lately.
    fn hears_quorum_of(&self, now: clock::Millis, members: &members::Membership) -> bool {
        core::is_quorum(members, |voter| {
            *voter == self.settings.node || self.is_heard(now, voter)
        })
    }

    fn is_heard(&self, now: clock::Millis, node: &message::NodeId) -> bool {
        let progress = self.leadership().and_then(|l| l.others.get(node));
        progress.is_some_and(|p| now < p.heard_at + self.settings.election)
    }

    fn answer_reads(&mut self) {
        let Some((joined, leadership)) = self.leading() else {
            return;
        };
        if leadership.first > joined.committed {
            return;
        }
        let me = &self.settings.node;
        let confirmed = |round: u64| {
            core::is_quorum(joined.log.members(), |voter| {
                let progress = leadership.others.get(voter);
                voter == me || progress.is_some_and(|p| p.acked_round >= round)
            })
        };
        let newest = leadership.reads.iter().map(|r| r.round);
        let newest = newest
            .filter(|r| *r <= leadership.round && confirmed(*r))
            .max();
        let Some(newest) = newest else {
            return;
        };
        let Some(leadership) = self.leadership_mut() else {
            return;
        };
        let ready = leadership.reads.extract_if(.., |r| r.round <= newest);
        let ready: Vec<u64> = ready.map(|r| r.request).collect();
        for request in ready {
            self.outputs.push(Output::ReadReady { request });
        }
    }

    fn append_own(&mut self, payload: message::Payload) -> message::Position {
        let last = self
            .log()
            .map_or_else(Default::default, core::log::Log::last);
        let at = message::Position {
            index: last.index.next(),
            term: self.hard.term,
        };
        self.append_entry(message::Entry { at, payload });
        at
    }

    fn start_round(&mut self, now: clock::Millis) {
        self.refresh_others(now);
        let heartbeat = self.settings.heartbeat;
        let Some(leadership) = self.leadership_mut() else {
            return;
        };
        leadership.round += 1;
        leadership.heartbeat_at = now + heartbeat;
        for progress in leadership.others.values_mut() {
            progress.in_flight = 0;
        }
        self.send_to_all(true);
    }

    fn send_entries(&mut self, now: clock::Millis) {
        self.refresh_others(now);
        self.send_to_all(false);
    }

    fn send_to_all(&mut self, also_empty: bool) {
        let Some(leadership) = self.leadership() else {
            return;
        };
        let others: Vec<message::NodeId> = leadership.others.keys().cloned().collect();
        for node in others {
            self.send_to(&node, also_empty);
        }
    }

    /// Keeps one progress for each other member.
    fn refresh_others(&mut self, now: clock::Millis) {
        let Some(joined) = &self.joined else {
            return;
        };
        let last = joined.log.last().index;
        let me = &self.settings.node;
        let nodes: Vec<message::NodeId> =
            joined.log.members().nodes().filter(|n| n != me).collect();
        let Some(leadership) = self.leadership_mut() else {
            return;
        };
        leadership.others.retain(|node, _| nodes.contains(node));
        for node in nodes {
            leadership
                .others
                .get_or_insert_with(node, || progress::Progress::new(now, last));
        }
    }

    fn send_to(&mut self, node: &message::NodeId, also_empty: bool) {
        let Some((joined, leadership)) = self.leading() else {
            return;
        };
        let Some(progress) = leadership.others.get(node) else {
            return;
        };
        let round = leadership.round;
        let previous = id::LogIndex::new(progress.next.as_u64() - 1);
        let body = match (&progress.transfer, joined.log.term_at(previous)) {
            (Some(transfer), _) if also_empty || transfer.offset == 0 => piece(transfer, round),
            (Some(_), _) => return,
            (None, None) => {
                self.start_transfer(node);
                self.send_to(node, true);
                return;
            }
            (None, Some(term)) => {
                let entries = if progress.may_send() {
                    joined.log.entries_after(previous, APPEND_BYTES).to_vec()
                } else {
                    Vec::new()
                };
                if entries.is_empty() && !also_empty {
                    return;
                }
                Body::Append {
                    previous: message::Position {
                        index: previous,
                        term,
                    },
                    entries,
                    committed: joined.committed,
                    round,
                }
            }
        };
        self.note_sent(node, &body);
        self.send_now(node, body);
    }

    fn note_sent(&mut self, node: &message::NodeId, body: &Body) {
        let Body::Append { entries, .. } = body else {
            return;
        };
        let Some(last) = entries.last().map(|e| e.at.index) else {
            return;
        };
        if let Some(progress) = self.progress_mut(node) {
            progress.note_sent(last);
        }
    }

    fn start_transfer(&mut self, node: &message::NodeId) {
        let snapshot = self.joined.as_ref().map(|j| sync::Arc::clone(&j.snapshot));
        if let Some(progress) = self.progress_mut(node) {
            progress.transfer = snapshot.map(|snapshot| progress::Transfer {
                snapshot,
                offset: 0,
            });
        }
    }

    fn leading(&self) -> Option<(&core::Joined, &Leadership)> {
        Some((self.joined.as_ref()?, self.leadership()?))
    }

    fn leadership(&self) -> Option<&Leadership> {
        match &self.role {
            core::Role::Leader(leadership) => Some(leadership),
            _ => None,
        }
    }

    fn leadership_mut(&mut self) -> Option<&mut Leadership> {
        match &mut self.role {
            core::Role::Leader(leadership) => Some(leadership),
            _ => None,
        }
    }

    fn progress_mut(&mut self, node: &message::NodeId) -> Option<&mut progress::Progress> {
        self.leadership_mut()?.others.get_mut(node)
    }
}

fn piece(transfer: &progress::Transfer, round: u64) -> Body {
    let snapshot = &transfer.snapshot;
    let start = (transfer.offset as usize).min(snapshot.data.len());
    let end = (start + PIECE_BYTES).min(snapshot.data.len());
    Body::Piece {
        head: snapshot.head.clone(),
        offset: transfer.offset,
        total: snapshot.data.len() as u64,
        data: snapshot.data[start..end].to_vec(),
        round,
    }
}
