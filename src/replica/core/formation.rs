//! Nodes without a group: they form a new group or join an existing one.
//!
//! A group is formed once, by the initial member with the lowest name, and only after every other
//! initial member has responded, in its current incarnation, that it has no group either. So a
//! member that lost its disk never forms a second group beside the existing one. It sends join
//! requests, and the leader admits its new incarnation as a learner.

use std::net;

use rand::Rng as _;

use crate::clock;
use crate::id;
use crate::replica::core;
use crate::replica::core::follower;
use crate::replica::core::members;
use crate::replica::core::message;
use crate::sorted;

use message::Body;

/// What a node has learned from join requests and their responses.
#[derive(Debug, Default)]
pub struct Discovery {
    /// When to send the next join requests.
    next_request_at: clock::Millis,
    /// The initial members that responded that they have no group, with their incarnations.
    ungrouped: sorted::Map<id::InstanceId, id::Incarnation>,
    /// Whether any node responded that it belongs to a group.
    formed: bool,
    /// The leader that another node named last.
    leader: Option<core::Peer>,
    /// The addresses of instances that sent a join request.
    joining_nodes: sorted::Map<id::InstanceId, net::SocketAddr>,
}

/// The search for a leader after which a voter sends join requests, in shortest election timeouts:
/// the time of two elections.
const VOTER_JOIN_TIMEOUTS: u64 = 4;

/// The maximum number of join request senders whose addresses are kept. A further one clears the
/// others.
const MAX_JOINING_NODES: usize = 64;

impl Discovery {
    /// Returns the address of an instance that sent a join request, or of the named leader.
    pub fn address_of(&self, instance: &id::InstanceId) -> Option<net::SocketAddr> {
        let leader = self.leader.iter().find(|l| l.instance == *instance);
        let joining_node = self.joining_nodes.get(instance).copied();
        joining_node.or_else(|| leader.map(|l| l.address))
    }

    fn record_joining_node(&mut self, instance: &id::InstanceId, address: net::SocketAddr) {
        if self.joining_nodes.len() >= MAX_JOINING_NODES && !self.joining_nodes.contains(instance) {
            self.joining_nodes.clear();
        }
        self.joining_nodes.insert(instance.clone(), address);
    }
}

impl core::Replica {
    /// Returns whether this node should send join requests: it has no contact with a leader, and it
    /// is not a voter by its own log or has searched for a leader for too long. A learner asks too,
    /// since the entry that added it may have been replaced in the log. A voter that was removed
    /// while it was unreachable is still a voter by its own log, and no leader sends to it.
    pub(super) fn should_join(&self, now: clock::Millis) -> bool {
        if self.has_leader_contact(now) {
            return false;
        }
        let patience = self.settings.election_timeout * VOTER_JOIN_TIMEOUTS;
        !self.is_voter_by_log() || now >= self.leader_search.since + patience
    }

    fn is_voter_by_log(&self) -> bool {
        let me = &self.settings.node;
        self.members().is_some_and(|m| m.is_voter(me))
    }

    /// Returns whether the sender of a join request has no group or the same group as this member.
    pub(super) fn accepts_group(&self, group: id::Incarnation) -> bool {
        let own = self.joined.as_ref().map(|j| j.group);
        group == id::Incarnation::default() || own == Some(group)
    }

    /// Sends join requests when they are due, or forms a new group if this node may.
    pub(super) fn send_join_requests(&mut self, now: clock::Millis) {
        if now < self.discovery.next_request_at {
            return;
        }
        let interval = if self.is_voter_by_log() {
            self.settings.election_timeout * 2
        } else {
            self.settings.heartbeat_interval * 2
        };
        self.discovery.next_request_at = now + interval;
        if self.joined.is_none() && self.can_form_group() {
            self.form_group();
            return;
        }
        let address = self.settings.address;
        for instance in self.known_instances() {
            let to = message::NodeId {
                instance,
                incarnation: id::Incarnation::default(),
            };
            self.send(&to, Body::JoinRequest { address });
        }
    }

    /// Returns the other instances that may know the leader: the initial members, the members in
    /// this node's log and the leader that another node named.
    fn known_instances(&self) -> Vec<id::InstanceId> {
        let initial = self.settings.initial_members.iter().map(|p| &p.instance);
        let members = self
            .members()
            .into_iter()
            .flat_map(|m| m.voters.keys().chain(m.learners.keys()));
        let leader = self.discovery.leader.iter().map(|l| &l.instance);
        let mut instances: Vec<id::InstanceId> =
            initial.chain(members).chain(leader).cloned().collect();
        instances.sort_unstable();
        instances.dedup();
        instances.retain(|i| *i != self.settings.node.instance);
        instances
    }

    fn can_form_group(&self) -> bool {
        if let core::Admission::Open {
            may_form_group: false,
            ..
        } = self.settings.admission
        {
            return false;
        }
        let me = &self.settings.node.instance;
        let initial = &self.settings.initial_members;
        let is_lowest = initial.iter().map(|p| &p.instance).min() == Some(me);
        let known =
            |p: &core::Peer| p.instance == *me || self.discovery.ungrouped.contains(&p.instance);
        is_lowest && !self.discovery.formed && initial.iter().all(known)
    }

    fn form_group(&mut self) {
        let me = self.settings.node.clone();
        let member = |peer: &core::Peer| {
            let other = self.discovery.ungrouped.get(&peer.instance);
            let member = members::Member {
                incarnation: *other.unwrap_or(&me.incarnation),
                address: peer.address,
            };
            (peer.instance.clone(), member)
        };
        let voters = self.settings.initial_members.iter().map(member).collect();
        let group = id::Incarnation::new(self.random.random::<u64>() | 1);
        let metadata = message::SnapshotMetadata {
            group,
            at: message::Position::default(),
            members: members::Membership {
                voters,
                learners: sorted::Map::new(),
            },
        };
        self.install_snapshot(message::Snapshot {
            metadata,
            data: Vec::new(),
        });
    }

    /// Responds to a join request; a leader also considers the sender for admission. `is_in_group`
    /// tells whether the sender has this member's group in its log.
    pub(super) fn handle_join_request(
        &mut self,
        now: clock::Millis,
        from: &message::NodeId,
        address: net::SocketAddr,
        is_in_group: bool,
    ) {
        let is_open = matches!(self.settings.admission, core::Admission::Open { .. });
        if is_open || is_in_group {
            self.discovery.record_joining_node(&from.instance, address);
        }
        let formed = self.joined.is_some();
        let leader = self.leader_as_peer();
        self.send_after_sync(from, Body::JoinResponse { formed, leader });
        let Some(joined) = &self.joined else {
            return;
        };
        // A leader sends its voters what they miss. Without a leader, the election may need the
        // vote of this voter, which was included when the group was formed but does not know of it
        // yet.
        let is_unaware_voter = joined.log.members().is_voter(from) && !is_in_group;
        if is_unaware_voter && self.leader().is_none() {
            let snapshot = message::Snapshot::clone(&joined.snapshot);
            self.send_after_sync(from, Body::GroupFormed(Box::new(snapshot)));
        }
        self.admit_joining_node(now, from);
        if is_in_group {
            self.inform_former_member(now, from);
        }
    }

    fn leader_as_peer(&self) -> Option<core::Peer> {
        let instance = self.leader()?.instance.clone();
        let address = self.address_of(&instance)?;
        Some(core::Peer { instance, address })
    }

    /// Handles a message while this node has no group.
    pub(super) fn receive_before_joining(&mut self, now: clock::Millis, message: message::Message) {
        let message::Message {
            group,
            from,
            term,
            body,
            ..
        } = message;
        match body {
            Body::JoinResponse {
                formed: true,
                leader,
            } => {
                self.discovery.formed = true;
                self.discovery.leader = leader.or(self.discovery.leader.take());
            }
            Body::JoinResponse { formed: false, .. } => {
                self.discovery
                    .ungrouped
                    .insert(from.instance, from.incarnation);
            }
            Body::GroupFormed(snapshot) => {
                let term = snapshot.metadata.at.term;
                if term > self.hard_state.term {
                    self.enter_term(now, term);
                }
                self.install_snapshot(*snapshot);
            }
            Body::AppendRequest { round, .. } => {
                let outcome = message::AppendOutcome::NeedsSnapshot;
                let mut answer = self.message(&from, Body::AppendResponse { round, outcome });
                answer.group = group;
                answer.term = term;
                self.after_sync.push(answer);
            }
            Body::SnapshotChunk {
                metadata,
                offset,
                total,
                data,
                round,
            } if term >= self.hard_state.term => {
                if term > self.hard_state.term {
                    self.enter_term(now, term);
                }
                let chunk = follower::Chunk {
                    metadata,
                    offset,
                    total,
                    data,
                };
                self.handle_chunk(&from, chunk, round);
                self.set_group(group);
            }
            _ => (),
        }
    }

    /// Records the leader that another member named. A member that was removed needs it to rejoin.
    pub(super) fn record_named_leader(&mut self, leader: core::Peer) {
        self.discovery.leader = Some(leader);
    }

    /// Sets the group in queued responses that were created before this node joined it.
    fn set_group(&mut self, group: id::Incarnation) {
        for message in &mut self.after_sync {
            message.group = group;
        }
    }
}
