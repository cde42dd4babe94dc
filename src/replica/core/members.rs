//! The membership of the group and its allowed changes, which add or remove one voter at a time.

use std::net;

use crate::id;
use crate::macros;
use crate::replica::core::message;
use crate::sorted;

macros::data! {
    pub struct Member {
        /// The incarnation of its data folder; zero for an admitted instance that has not sent a
        /// join request yet.
        pub incarnation: id::Incarnation,
        pub address: net::SocketAddr,
    }
}

macros::data! {
    /// The voters and learners of the group. An instance can be in both: a learner in a new
    /// incarnation beside the voter that lost its disk.
    #[derive(Default)]
    pub struct Membership {
        /// The members that vote in elections and count towards the commit quorum.
        pub voters: sorted::Map<id::InstanceId, Member>,
        /// The members that replicate the log without a vote; one that has caught up may be
        /// promoted to voter.
        pub learners: sorted::Map<id::InstanceId, Member>,
    }
}

macros::data! {
    /// A membership change requested by an operator.
    pub enum MemberChange {
        /// Admits a new instance as a learner, which the leader promotes to voter once it has
        /// caught up.
        Admit {
            instance: id::InstanceId,
            address: net::SocketAddr,
        },
        /// Removes an instance.
        Dismiss(id::InstanceId),
    }
}

impl Membership {
    /// Returns whether the node is a voter, in this incarnation.
    pub fn is_voter(&self, node: &message::NodeId) -> bool {
        contains_node(&self.voters, node)
    }

    /// Returns whether the node is a learner, in this incarnation.
    pub fn is_learner(&self, node: &message::NodeId) -> bool {
        contains_node(&self.learners, node)
    }

    /// Returns the number of voters in a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Iterates over the members whose incarnation is known, voters first.
    pub fn nodes(&self) -> impl Iterator<Item = message::NodeId> {
        let known = |(instance, member): (&id::InstanceId, &Member)| {
            (member.incarnation != id::Incarnation::default()).then(|| message::NodeId {
                instance: instance.clone(),
                incarnation: member.incarnation,
            })
        };
        let voters = self.voters.iter().filter_map(known);
        voters.chain(self.learners.iter().filter_map(known))
    }

    /// Returns the address of a member; that of the learner if the instance is also a voter.
    pub fn address_of(&self, instance: &id::InstanceId) -> Option<net::SocketAddr> {
        let member = self.learners.get(instance);
        member
            .or_else(|| self.voters.get(instance))
            .map(|m| m.address)
    }

    /// Returns the membership after a change, or `None` when the change has no effect, admits a
    /// member again or leaves no voters.
    pub fn after(&self, change: &MemberChange) -> Option<Self> {
        let mut next = self.clone();
        match change {
            MemberChange::Admit { instance, address } => {
                if self.voters.contains(instance) || self.learners.contains(instance) {
                    return None;
                }
                let member = Member {
                    incarnation: id::Incarnation::default(),
                    address: *address,
                };
                next.learners.insert(instance.clone(), member);
            }
            MemberChange::Dismiss(instance) => {
                next.voters.remove(instance);
                next.learners.remove(instance);
            }
        }
        (next != *self && !next.voters.is_empty()).then_some(next)
    }

    /// Returns the membership with `node` as a learner in its incarnation.
    pub fn with_learner(&self, node: &message::NodeId, address: net::SocketAddr) -> Self {
        let mut next = self.clone();
        let member = Member {
            incarnation: node.incarnation,
            address,
        };
        next.learners.insert(node.instance.clone(), member);
        next
    }

    /// Returns the membership without one voter; a learner of the same instance stays.
    pub fn without_voter(&self, instance: &id::InstanceId) -> Self {
        let mut next = self.clone();
        next.voters.remove(instance);
        next
    }

    /// Returns the membership with a learner promoted to voter.
    ///
    /// # Panics
    ///
    /// Panics when the instance is not a learner, or is already a voter.
    pub fn with_promoted(&self, instance: &id::InstanceId) -> Self {
        let mut next = self.clone();
        let member = next.learners.remove(instance);
        let member = member.expect("only a learner is promoted to voter");
        let old = next.voters.insert(instance.clone(), member);
        assert!(
            old.is_none(),
            "the previous incarnation is removed before the new one becomes a voter"
        );
        next
    }

    /// Returns the number of voters that only one of the two has; incarnations of an instance count
    /// as different voters.
    pub fn voter_difference(&self, other: &Self) -> usize {
        let only = |a: &Self, b: &Self| {
            let missing = |(k, v): &(&id::InstanceId, &Member)| {
                b.voters
                    .get(k)
                    .is_none_or(|m| m.incarnation != v.incarnation)
            };
            a.voters.iter().filter(missing).count()
        };
        only(self, other) + only(other, self)
    }
}

fn contains_node(members: &sorted::Map<id::InstanceId, Member>, node: &message::NodeId) -> bool {
    let member = members.get(&node.instance);
    member.is_some_and(|m| m.incarnation == node.incarnation)
}
