//! The members of the group and the allowed changes, one voter at a time.

use std::net;

use crate::id;
use crate::macros;
use crate::replica::core::message;
use crate::sorted;

macros::data! {
    /// The place of one member.
    pub struct Seat {
        /// The life of its data folder; zero until it reported for the first time.
        pub incarnation: id::Incarnation,
        /// Where it listens.
        pub address: net::SocketAddr,
    }
}

macros::data! {
    /// The members of the group.
    #[derive(Default)]
    pub struct Membership {
        /// The members that vote and count.
        pub voters: sorted::Map<id::InstanceId, Seat>,
        /// The members that catch up; each becomes a voter when it has.
        pub learners: sorted::Map<id::InstanceId, Seat>,
    }
}

macros::data! {
    /// A change of the members.
    pub enum MemberChange {
        /// Admits a new instance: first as a learner, later by itself as a voter.
        Admit {
            /// The name of the instance.
            instance: id::InstanceId,
            /// Where it listens.
            address: net::SocketAddr,
        },
        /// Takes an instance out.
        Dismiss(id::InstanceId),
    }
}

impl Membership {
    /// Tells whether this life of the member votes.
    pub fn is_voter(&self, node: &message::NodeId) -> bool {
        holds(&self.voters, node)
    }

    /// Tells whether this life of the member catches up.
    pub fn is_learner(&self, node: &message::NodeId) -> bool {
        holds(&self.learners, node)
    }

    /// Returns how many voters make a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Iterates over the members that have reported so far, voters first.
    pub fn nodes(&self) -> impl Iterator<Item = message::NodeId> {
        let known = |(instance, seat): (&id::InstanceId, &Seat)| {
            (seat.incarnation != id::Incarnation::default()).then(|| message::NodeId {
                instance: instance.clone(),
                incarnation: seat.incarnation,
            })
        };
        let voters = self.voters.iter().filter_map(known);
        voters.chain(self.learners.iter().filter_map(known))
    }

    /// Returns where a member listens.
    pub fn address_of(&self, instance: &id::InstanceId) -> Option<net::SocketAddr> {
        let seat = self.learners.get(instance);
        seat.or_else(|| self.voters.get(instance))
            .map(|s| s.address)
    }

    /// Returns the members after a change, or `None` when it is not allowed.
    pub fn after(&self, change: &MemberChange) -> Option<Self> {
        let mut next = self.clone();
        match change {
            MemberChange::Admit { instance, address } => {
                if self.voters.contains(instance) || self.learners.contains(instance) {
                    return None;
                }
                let seat = Seat {
                    incarnation: id::Incarnation::default(),
                    address: *address,
                };
                next.learners.insert(instance.clone(), seat);
            }
            MemberChange::Dismiss(instance) => {
                next.voters.remove(instance);
                next.learners.remove(instance);
            }
        }
        (next != *self && !next.voters.is_empty()).then_some(next)
    }

    /// Returns the members with a learner in the life that reported.
    pub fn with_learner(&self, node: &message::NodeId, address: net::SocketAddr) -> Self {
        let mut next = self.clone();
        let seat = Seat {
            incarnation: node.incarnation,
            address,
        };
        next.learners.insert(node.instance.clone(), seat);
        next
    }

    /// Returns the members without a voter whose data folder was lost.
    pub fn without_voter(&self, instance: &id::InstanceId) -> Self {
        let mut next = self.clone();
        next.voters.remove(instance);
        next
    }

    /// Returns the members with a learner turned into a voter.
    ///
    /// # Panics
    ///
    /// Panics when the instance is no learner or has a seat among the voters.
    pub fn with_promoted(&self, instance: &id::InstanceId) -> Self {
        let mut next = self.clone();
        let seat = next.learners.remove(instance);
        let seat = seat.expect("only a learner becomes a voter");
        let old = next.voters.insert(instance.clone(), seat);
        assert!(
            old.is_none(),
            "a lost voter leaves before its next life votes"
        );
        next
    }

    /// Returns how many voters, in one life each, only one of the two has.
    pub fn voters_apart(&self, other: &Self) -> usize {
        let only = |a: &Self, b: &Self| {
            let missing = |(k, v): &(&id::InstanceId, &Seat)| {
                b.voters
                    .get(k)
                    .is_none_or(|s| s.incarnation != v.incarnation)
            };
            a.voters.iter().filter(missing).count()
        };
        only(self, other) + only(other, self)
    }
}

fn holds(seats: &sorted::Map<id::InstanceId, Seat>, node: &message::NodeId) -> bool {
    let seat = seats.get(&node.instance);
    seat.is_some_and(|s| s.incarnation == node.incarnation)
}
