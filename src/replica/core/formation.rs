//! Members without a group: forming a new one, or being taken in.
//!
//! A group is formed once, by the initial member with the lowest name, and only after every other
//! initial member has answered in its present life that it has no group either. So a member that
//! lost its disk never forms a second group beside the one that lives on: it asks to be taken in,
//! and the leader admits its new life as a learner.

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

/// What a member without a group knows of the others.
#[derive(Debug, Default)]
pub struct Hello {
    /// When to ask again.
    next_at: clock::Millis,
    /// The initial members that said they have no group.
    unformed: sorted::Map<id::InstanceId, id::Incarnation>,
    /// Whether any member said that a group exists.
    formed: bool,
    /// The leader that another member named.
    leader: Option<core::Peer>,
    /// Where instances that asked to be taken in listen.
    strangers: sorted::Map<id::InstanceId, net::SocketAddr>,
}

/// The most instances outside the group whose addresses are kept.
const MAX_STRANGERS: usize = 64;

impl Hello {
    /// Returns where an instance outside the group listens.
    pub fn address_of(&self, instance: &id::InstanceId) -> Option<net::SocketAddr> {
        let leader = self.leader.iter().find(|l| l.instance == *instance);
        let stranger = self.strangers.get(instance).copied();
        stranger.or_else(|| leader.map(|l| l.address))
    }

    fn learn_stranger(&mut self, instance: &id::InstanceId, address: net::SocketAddr) {
        if self.strangers.len() >= MAX_STRANGERS && !self.strangers.contains(instance) {
            self.strangers.clear();
        }
        self.strangers.insert(instance.clone(), address);
    }
}

impl core::Replica {
    /// Tells whether this member should ask to be taken in: it has no group, or it has no vote
    /// and hears of no leader, since the entry that made it a learner may have been replaced.
    pub(super) fn is_outside(&self, now: clock::Millis) -> bool {
        let votes = self
            .members()
            .is_some_and(|m| m.is_voter(&self.settings.node));
        !votes && !self.hears_leader(now)
    }

    /// Tells whether the sender of a hello may belong to the group of this member.
    pub(super) fn may_share_group(&self, group: id::Incarnation) -> bool {
        let own = self.joined.as_ref().map(|j| j.group);
        group == id::Incarnation::default() || own == Some(group)
    }

    /// Asks all initial members, and forms a group when all may.
    pub(super) fn say_hello(&mut self, now: clock::Millis) {
        if now < self.hello.next_at {
            return;
        }
        self.hello.next_at = now + self.settings.heartbeat * 2;
        if self.joined.is_none() && self.may_form() {
            self.form();
            return;
        }
        let mut asked = self.settings.initial.clone();
        if let core::Admission::Open { .. } = self.settings.admission {
            asked.extend(self.hello.leader.clone());
            asked.sort_by(|a, b| a.instance.cmp(&b.instance));
            asked.dedup_by(|a, b| a.instance == b.instance);
        }
        let address = self.settings.address;
        for peer in asked {
            if peer.instance != self.settings.node.instance {
                let to = message::NodeId {
                    instance: peer.instance,
                    incarnation: id::Incarnation::default(),
                };
                self.send_now(&to, Body::Hello { address });
            }
        }
    }

    fn may_form(&self) -> bool {
        if let core::Admission::Open { forms: false, .. } = self.settings.admission {
            return false;
        }
        let me = &self.settings.node.instance;
        let initial = &self.settings.initial;
        let lowest = initial.iter().map(|p| &p.instance).min() == Some(me);
        let known = |p: &core::Peer| p.instance == *me || self.hello.unformed.contains(&p.instance);
        lowest && !self.hello.formed && initial.iter().all(known)
    }

    fn form(&mut self) {
        let me = self.settings.node.clone();
        let seat = |peer: &core::Peer| {
            let other = self.hello.unformed.get(&peer.instance);
            let seat = members::Seat {
                incarnation: *other.unwrap_or(&me.incarnation),
                address: peer.address,
            };
            (peer.instance.clone(), seat)
        };
        let voters = self.settings.initial.iter().map(seat).collect();
        let group = id::Incarnation::new(self.random.random::<u64>() | 1);
        let head = message::SnapshotHead {
            group,
            at: message::Position::default(),
            members: members::Membership {
                voters,
                learners: sorted::Map::new(),
            },
        };
        self.install(message::Snapshot {
            head,
            data: Vec::new(),
        });
    }

    /// Answers a member without a group.
    pub(super) fn answer_hello(
        &mut self,
        now: clock::Millis,
        from: &message::NodeId,
        address: net::SocketAddr,
    ) {
        if let core::Admission::Open { .. } = self.settings.admission {
            self.hello.learn_stranger(&from.instance, address);
        }
        let formed = self.joined.is_some();
        let leader = self.leader_as_peer();
        self.send_after_sync(from, Body::Seen { formed, leader });
        let Some(joined) = &self.joined else {
            return;
        };
        // A leader brings its voters up to date by itself. Without one, the group may need this
        // voter, which was counted in when the group was formed and never heard of it, to elect.
        let is_lone_voter = joined.log.members().is_voter(from) && self.leader().is_none();
        if is_lone_voter {
            let snapshot = message::Snapshot::clone(&joined.snapshot);
            self.send_after_sync(from, Body::Welcome(Box::new(snapshot)));
        }
        self.consider_newcomer(now, from);
    }

    fn leader_as_peer(&self) -> Option<core::Peer> {
        let instance = self.leader()?.instance.clone();
        let address = self.address_of(&instance)?;
        Some(core::Peer { instance, address })
    }

    /// Takes a message while this member has no group.
    pub(super) fn receive_blank(&mut self, now: clock::Millis, message: message::Message) {
        let message::Message {
            group,
            from,
            term,
            body,
            ..
        } = message;
        match body {
            Body::Seen {
                formed: true,
                leader,
            } => {
                self.hello.formed = true;
                self.hello.leader = leader.or(self.hello.leader.take());
            }
            Body::Seen { formed: false, .. } => {
                self.hello.unformed.insert(from.instance, from.incarnation);
            }
            Body::Welcome(snapshot) => {
                let term = snapshot.head.at.term;
                if term > self.hard.term {
                    self.enter_term(now, term);
                }
                self.install(*snapshot);
            }
            Body::Append { round, .. } => {
                let outcome = message::Outcome::Blank;
                let mut answer = self.message(&from, Body::Appended { round, outcome });
                answer.group = group;
                answer.term = term;
                self.guarded.push(answer);
            }
            Body::Piece {
                head,
                offset,
                total,
                data,
                round,
            } if term >= self.hard.term => {
                if term > self.hard.term {
                    self.enter_term(now, term);
                }
                let piece = follower::Piece {
                    head,
                    offset,
                    total,
                    data,
                };
                self.take_piece(&from, piece, round);
                self.name_group(group);
            }
            _ => (),
        }
    }

    /// Takes in the leader that another member named, for a member that was taken out.
    pub(super) fn learn_leader(&mut self, leader: core::Peer) {
        self.hello.leader = Some(leader);
    }

    /// Puts the group into answers that were made before this member joined it.
    fn name_group(&mut self, group: id::Incarnation) {
        for message in &mut self.guarded {
            message.group = group;
        }
    }
}
