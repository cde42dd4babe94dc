//! The protocol versions of the other members, as their messages show them.

use crate::id;
use crate::macros;
use crate::peer::trailer;
use crate::replica::core;
use crate::replica::core::members;
use crate::replica::core::message;
use crate::sorted;

/// Nodes whose versions are kept; a further one removes those that are not members.
const MAX_NODES: usize = 256;

macros::data! {
    /// The protocol versions of the members of a group, as one member knows them.
    #[derive(Default)]
    pub struct MemberVersions {
        /// The version of each member, voters first; `None` before its first message.
        pub members: Vec<(id::InstanceId, Option<trailer::ProtocolVersion>)>,
        /// Whether this process took part in forming the group and no node of an older version was
        /// there since.
        pub is_new_group: bool,
    }
}

/// Collects the protocol versions of the nodes that send messages.
#[derive(Debug)]
pub struct Versions {
    /// The version that the last message of each node shows.
    seen: sorted::Map<message::NodeId, trailer::ProtocolVersion>,
    /// Whether this process started without a group.
    started_ungrouped: bool,
    /// Whether a message of an older version than this build's came.
    saw_older: bool,
}

impl Versions {
    /// Starts with the replica as it is before its first step.
    pub fn new(replica: &core::Replica) -> Self {
        Self {
            seen: sorted::Map::new(),
            started_ungrouped: replica.snapshot().is_none(),
            saw_older: false,
        }
    }

    /// Records the version that a message shows; returns whether it differs from the one before.
    pub fn record(
        &mut self,
        members: Option<&members::Membership>,
        from: &message::NodeId,
        version: trailer::ProtocolVersion,
    ) -> bool {
        self.saw_older |= version < trailer::CURRENT;
        if self.seen.get(from) == Some(&version) {
            return false;
        }
        if self.seen.len() >= MAX_NODES && !self.seen.contains(from) {
            self.seen
                .retain(|node, _| members.is_some_and(|m| m.is_voter(node) || m.is_learner(node)));
        }
        self.seen.insert(from.clone(), version);
        true
    }

    /// Returns the versions of the members of the replica's group.
    pub fn of_members(&self, replica: &core::Replica) -> MemberVersions {
        let Some(members) = replica.members() else {
            return MemberVersions::default();
        };
        let version = |(instance, member): (&id::InstanceId, &members::Member)| {
            let node = message::NodeId {
                instance: instance.clone(),
                incarnation: member.incarnation,
            };
            let version = if node == *replica.node() {
                Some(trailer::CURRENT)
            } else {
                self.seen.get(&node).copied()
            };
            (node.instance, version)
        };
        // Until its first snapshot the log of a group starts where the group was formed.
        let is_young = replica
            .snapshot()
            .is_some_and(|s| s.metadata.at == message::Position::default());
        MemberVersions {
            members: members
                .voters
                .iter()
                .chain(members.learners.iter())
                .map(version)
                .collect(),
            is_new_group: self.started_ungrouped && !self.saw_older && is_young,
        }
    }
}
