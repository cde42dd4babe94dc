//! What a member shows of the group, and how requests to it went.

use std::net;
use std::sync;

use tokio::sync::watch;

use crate::config::settings;
use crate::id;
use crate::macros;
use crate::state::command;

macros::data! {
    /// What a member knows of the group.
    pub struct Status {
        /// This member.
        pub instance: id::InstanceId,
        /// The leader, if one is known.
        pub leader: Option<id::InstanceId>,
        /// Where the leader listens for other processes, if it is known.
        pub leader_address: Option<net::SocketAddr>,
        /// The present term.
        pub term: id::Term,
        /// The last log entry known to be committed.
        pub committed: id::LogIndex,
        /// The last log entry that was applied here.
        pub applied: id::LogIndex,
        /// The members that vote.
        pub voters: Vec<id::InstanceId>,
        /// The members that catch up before they vote.
        pub learners: Vec<id::InstanceId>,
        /// Where the voters listen for other processes.
        pub addresses: Vec<net::SocketAddr>,
    }
}

impl Status {
    /// Returns the leader and where it listens, as far as this member knows.
    pub fn leader_peer(&self) -> Option<settings::ControlPeer> {
        let (instance, peer_address) = self.leader.clone().zip(self.leader_address)?;
        Some(settings::ControlPeer {
            instance,
            peer_address,
        })
    }
}

macros::data! {
    /// What those wait for who follow the group.
    #[derive(Default)]
    pub struct View {
        /// The revision that was applied here.
        pub revision: id::Revision,
        /// The leader, if one is known.
        pub leader: Option<id::InstanceId>,
        /// The term in which this member leads, if it does.
        pub leads: Option<id::Term>,
    }
}

macros::data! {
    /// How a request to the group went.
    pub enum Outcome {
        /// It was committed; the state machine gave this answer.
        Applied(command::Answer),
        /// It was committed; it has no answer.
        Done,
        /// It was not taken in: this member does not lead, perhaps the named one does.
        NotLeader(Option<id::InstanceId>),
        /// It was not taken in: another one is under way; try again.
        Busy,
        /// It was not taken in: it would have no effect, or leave too few live voters.
        Invalid,
        /// It was not committed in time; it may be committed later.
        Uncertain,
    }
}

/// What the handles and the driver share.
#[derive(Debug)]
pub struct Shared {
    /// This member.
    pub instance: id::InstanceId,
    /// The state as applied here.
    pub state: sync::RwLock<command::State>,
    /// What is shown of the group.
    pub status: sync::RwLock<Status>,
    /// What others follow.
    pub view: watch::Sender<View>,
}

impl Shared {
    /// Makes the view of a group of one member.
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
        };
        Self {
            instance,
            state: sync::RwLock::new(state),
            status: sync::RwLock::new(status),
            view: watch::Sender::new(View::default()),
        }
    }

    /// Applies a command and shows the new revision.
    pub fn apply(&self, command: &command::Command) -> command::Answer {
        let state = self.state.write();
        let mut state = state.unwrap_or_else(sync::PoisonError::into_inner);
        let before = state.config().revision;
        let answer = state.apply(command);
        let revision = state.config().revision;
        assert!(revision >= before, "the revision never goes down");
        drop(state);
        self.view.send_if_modified(|view| {
            let newer = revision != view.revision;
            view.revision = revision;
            newer
        });
        answer
    }

    /// Replaces the state by a snapshot.
    pub fn replace_state(&self, next: command::State) {
        let state = self.state.write();
        let mut state = state.unwrap_or_else(sync::PoisonError::into_inner);
        let revision = next.config().revision;
        assert!(
            revision >= state.config().revision,
            "the revision never goes down"
        );
        *state = next;
        drop(state);
        self.view.send_modify(|view| view.revision = revision);
    }
}
