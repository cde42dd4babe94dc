//! Membership changes on the leader: changes by operators, joining nodes and promotion of learners.

use crate::clock;
use crate::id;
use crate::replica::core;
use crate::replica::core::leader;
use crate::replica::core::members;
use crate::replica::core::message;

use message::{Output, Refusal};

/// The maximum number of former members that a leader keeps; a further one replaces the oldest.
const MAX_FORMER_MEMBERS: usize = 64;

impl core::Replica {
    /// Handles a membership change requested by an operator.
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
        let next = next.filter(|next| self.is_quorum_active(now, next));
        let Some(next) = next else {
            self.refuse(request, Refusal::Invalid);
            return;
        };
        let at = self.append_payload(message::Payload::Members(next));
        self.outputs.push(Output::Proposed { request, at });
        self.send_entries(now);
    }

    /// Adds a joining node as a learner: a member with an empty disk, an instance that an operator
    /// admitted, or with open admission any instance. Does nothing while another incarnation of the
    /// instance is an active member.
    pub(super) fn admit_joining_node(&mut self, now: clock::Millis, node: &message::NodeId) {
        if !self.is_leader() || !self.may_change_members() {
            return;
        }
        let Some(members) = self.members() else {
            return;
        };
        if members.is_voter(node) || members.is_learner(node) {
            return;
        }
        let joining_address = || match self.settings.admission {
            core::Admission::ByOperator => None,
            core::Admission::Open { .. } => self.address_of(&node.instance),
        };
        let Some(address) = members.address_of(&node.instance).or_else(joining_address) else {
            return;
        };
        if self.is_previous_incarnation_active(now, members, &node.instance) {
            return;
        }
        let next = members.with_learner(node, address);
        self.append_payload(message::Payload::Members(next));
        self.send_entries(now);
    }

    /// Sends the log to a former member until it has the membership that excludes it: with admission
    /// by operators a removed member stays out, and must stop asking for votes. A node is informed
    /// once in a term, unless it was a member again in between.
    pub(super) fn inform_former_member(&mut self, now: clock::Millis, node: &message::NodeId) {
        let Some((joined, leadership)) = self.as_leader() else {
            return;
        };
        let members = joined.log.members();
        let is_known = leadership.former.iter().any(|f| f.node == *node);
        let is_member = members.is_voter(node) || members.is_learner(node);
        if is_member || is_known || !self.may_change_members() {
            return;
        }
        if let Some(leadership) = self.leadership_mut() {
            if leadership.former.len() >= MAX_FORMER_MEMBERS {
                leadership.former.remove(0);
            }
            leadership.former.push(leader::FormerMember {
                node: node.clone(),
                is_informed: false,
            });
        }
        self.update_progress_map(now);
        self.send_to(node, true);
    }

    /// Notes when the log of a former member has the current membership.
    pub(super) fn record_informed(&mut self, node: &message::NodeId) {
        let Some((joined, leadership)) = self.as_leader() else {
            return;
        };
        let members_index = joined.log.members_index();
        let matched = leadership.others.get(node).map(|p| p.match_index);
        if matched < Some(members_index) {
            return;
        }
        let Some(leadership) = self.leadership_mut() else {
            return;
        };
        let former = leadership.former.iter_mut().find(|f| f.node == *node);
        if let Some(former) = former {
            former.is_informed = true;
        }
    }

    /// Returns whether a member of the same instance is active, or is this leader itself.
    pub(super) fn is_previous_incarnation_active(
        &self,
        now: clock::Millis,
        members: &members::Membership,
        instance: &id::InstanceId,
    ) -> bool {
        let previous = members.nodes().filter(|n| n.instance == *instance);
        previous
            .into_iter()
            .any(|node| node == self.settings.node || self.is_active(now, &node))
    }

    /// Makes one change that brings a caught-up learner closer to being a voter: removes the voter
    /// that it replaces, or else promotes it.
    ///
    /// The replaced voter is a previous incarnation of the learner's instance or, with open
    /// admission and no free place, an inactive voter. It is removed before the learner is
    /// promoted. The removed voter casts no votes any more, so a majority needs the same live
    /// members before and after its removal. Only then does the learner, which has all committed
    /// entries, add to them.
    pub(super) fn promote_caught_up_learner(&mut self, now: clock::Millis) {
        if !self.may_change_members() {
            return;
        }
        let Some((joined, leadership)) = self.as_leader() else {
            return;
        };
        let members = joined.log.members();
        let caught_up_learner = members.learners.iter().find(|(instance, member)| {
            let node = message::NodeId {
                instance: (*instance).clone(),
                incarnation: member.incarnation,
            };
            let progress = leadership.others.get(&node);
            let caught_up = progress.is_some_and(|p| p.match_index >= joined.committed);
            caught_up && self.is_active(now, &node)
        });
        let Some((instance, _)) = caught_up_learner else {
            return;
        };
        let next = if members.voters.contains(instance) {
            members.without_voter(instance)
        } else if self.needs_voter(members) {
            members.with_promoted(instance)
        } else if let Some(inactive) = self.longest_inactive_voter(now, members) {
            members.without_voter(&inactive)
        } else {
            return;
        };
        if !self.is_quorum_active(now, &next) {
            return;
        }
        self.append_payload(message::Payload::Members(next));
        self.send_entries(now);
    }

    /// Returns whether the group has fewer voters than its target.
    fn needs_voter(&self, members: &members::Membership) -> bool {
        match self.settings.admission {
            core::Admission::ByOperator => true,
            core::Admission::Open { target_voters, .. } => members.voters.len() < target_voters,
        }
    }

    /// Returns the voter that has been inactive for the longest time, if that is long enough to
    /// replace it.
    fn longest_inactive_voter(
        &self,
        now: clock::Millis,
        members: &members::Membership,
    ) -> Option<id::InstanceId> {
        let core::Admission::Open { replace_after, .. } = self.settings.admission else {
            return None;
        };
        let leadership = self.leadership()?;
        let last_active = |voter: message::NodeId| {
            let progress = leadership.others.get(&voter)?;
            (voter != self.settings.node).then_some((progress.active_at, voter.instance))
        };
        let (active_at, instance) = core::voters(members).filter_map(last_active).min()?;
        (now >= active_at + replace_after).then_some(instance)
    }

    /// Returns whether a membership change may start: none is in progress, and this leader has
    /// committed an entry of its own term.
    pub(super) fn may_change_members(&self) -> bool {
        let Some((joined, leadership)) = self.as_leader() else {
            return false;
        };
        let is_members_committed = joined.log.members_index() <= joined.committed;
        is_members_committed && leadership.first_index <= joined.committed
    }

    /// Steps down once a membership without this leader is committed.
    pub(super) fn step_down_if_removed(&mut self, now: clock::Millis) {
        let Some((joined, _)) = self.as_leader() else {
            return;
        };
        let is_members_committed = joined.log.members_index() <= joined.committed;
        if is_members_committed && !joined.log.members().is_voter(&self.settings.node) {
            self.become_follower(now);
        }
    }
}
