//! The status of the group at one member, and the outcomes of requests to it.

use std::net;
use std::sync;

use tokio::sync::watch;

use crate::config::settings;
use crate::id;
use crate::macros;
use crate::replica::group::versions;
use crate::state::command;

macros::data! {
    /// The status of the group as one member knows it.
    pub struct Status {
        pub instance: id::InstanceId,
        pub leader: Option<id::InstanceId>,
        /// The address at which the leader listens for other processes.
        pub leader_address: Option<net::SocketAddr>,
        pub term: id::Term,
        /// The commit index known to this member.
        pub committed: id::LogIndex,
        /// The index of the last log entry applied at this member.
        pub applied: id::LogIndex,
        pub voters: Vec<id::InstanceId>,
        /// The members that replicate the log without a vote.
        pub learners: Vec<id::InstanceId>,
        /// The addresses at which the voters listen for other processes, in the order of `voters`.
        pub addresses: Vec<net::SocketAddr>,
        /// The protocol version of whose commands and messages the group makes use.
        #[serde(default)]
        pub feature_level: command::FeatureLevel,
        /// The protocol versions of the members.
        #[serde(default)]
        pub versions: versions::MemberVersions,
    }
}

impl Status {
    /// Returns the leader and its address, or `None` while either is unknown.
    pub fn leader_peer(&self) -> Option<settings::ControlPeer> {
        let (instance, peer_address) = self.leader.clone().zip(self.leader_address)?;
        Some(settings::ControlPeer {
            instance,
            peer_address,
        })
    }
}

macros::data! {
    /// The values whose changes are published to watchers.
    #[derive(Default)]
    pub struct View {
        /// The configuration revision applied at this member.
        pub revision: id::Revision,
        pub leader: Option<id::InstanceId>,
        /// The term in which this member is the leader; `None` otherwise.
        pub leads: Option<id::Term>,
    }
}

macros::data! {
    /// The outcome of a request to the group.
    pub enum Outcome {
        /// It was committed, and the state machine returned this answer.
        Applied(command::Answer),
        /// It succeeded and has no answer: a membership change or a read.
        Done,
        /// It was not accepted: this member is not the leader. The named member may be the leader.
        NotLeader(Option<id::InstanceId>),
        /// It was not accepted: another change or too many requests are in progress; try again.
        Busy,
        /// It was not accepted: it would have no effect, or leave no quorum of active voters.
        Invalid,
        /// It was not committed in time; it may be committed later.
        Uncertain,
    }
}

/// The data shared by the handles and the driver.
#[derive(Debug)]
pub struct Shared {
    pub instance: id::InstanceId,
    /// The state applied at this member.
    pub state: sync::RwLock<command::State>,
    pub status: sync::RwLock<Status>,
    pub view: watch::Sender<View>,
}

impl Shared {
    /// Creates the shared data; the status is that of a group of one member until the driver sets
    /// it.
    pub fn new(instance: id::InstanceId, state: command::State) -> Self {
        let status = Status {
            instance: instance.clone(),
            leader: Some(instance.clone()),
            leader_address: None,
            term: id::Term::new(1),
            committed: id::LogIndex::default(),
            applied: id::LogIndex::default(),
            voters: vec![instance.clone()],
            learners: Vec::new(),
            addresses: Vec::new(),
            feature_level: state.feature_level(),
            versions: versions::MemberVersions::default(),
        };
        Self {
            instance,
            state: sync::RwLock::new(state),
            status: sync::RwLock::new(status),
            view: watch::Sender::new(View::default()),
        }
    }

    /// Returns the feature level of the state applied at this member.
    pub fn feature_level(&self) -> command::FeatureLevel {
        let state = self.state.read();
        state
            .unwrap_or_else(sync::PoisonError::into_inner)
            .feature_level()
    }

    /// Applies a command and publishes the new revision.
    pub fn apply(&self, command: &command::Command) -> command::Answer {
        let state = self.state.write();
        let mut state = state.unwrap_or_else(sync::PoisonError::into_inner);
        let before = state.config().revision;
        let answer = state.apply(command);
        let revision = state.config().revision;
        assert!(revision >= before, "the revision never decreases");
        drop(state);
        self.view.send_if_modified(|view| {
            let newer = revision != view.revision;
            view.revision = revision;
            newer
        });
        answer
    }

    /// Replaces the state by that of a snapshot and publishes its revision.
    pub fn replace_state(&self, next: command::State) {
        let state = self.state.write();
        let mut state = state.unwrap_or_else(sync::PoisonError::into_inner);
        let revision = next.config().revision;
        assert!(
            revision >= state.config().revision,
            "the revision never decreases"
        );
        *state = next;
        drop(state);
        self.view.send_modify(|view| view.revision = revision);
    }
}
