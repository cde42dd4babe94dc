//! The handle to the control group's replicated state.

use std::sync;

use crate::error;
use crate::id;
use crate::macros;
use crate::state::command;

/// The replicated state as one member of the control group sees it.
#[derive(Clone, Debug)]
pub struct Group {
    instance: id::InstanceId,
    state: sync::Arc<sync::RwLock<command::State>>,
}

macros::data! {
    /// What a member knows of the group.
    pub struct Status {
        /// This member.
        pub instance: id::InstanceId,
        /// The leader, if one is known.
        pub leader: Option<id::InstanceId>,
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
    }
}

impl Group {
    /// Makes a group of one member that keeps its state in memory only.
    pub fn in_memory(instance: id::InstanceId) -> Self {
        Self {
            instance,
            state: sync::Arc::default(),
        }
    }

    /// Commits a command and returns the answer of the state machine.
    ///
    /// # Errors
    ///
    /// Fails as unavailable when this member does not lead, naming the leader if it is known, or
    /// when the command was not committed in time; it may then be committed later.
    pub async fn propose(&self, command: command::Command) -> error::Result<command::Answer> {
        let mut state = self
            .state
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner);
        Ok(state.apply(&command))
    }

    /// Returns once this member has confirmed that it led after the call began, and has applied
    /// all that was committed before.
    ///
    /// # Errors
    ///
    /// Fails as unavailable when this member does not lead, naming the leader if it is known.
    pub async fn confirm(&self) -> error::Result<()> {
        Ok(())
    }

    /// Reads the state as applied at this member; call [`Self::confirm`] before for a fresh one.
    pub fn with_state<T>(&self, read: impl FnOnce(&command::State) -> T) -> T {
        let state = self
            .state
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner);
        read(&state)
    }

    /// Returns what this member knows of the group.
    pub fn status(&self) -> Status {
        Status {
            instance: self.instance.clone(),
            leader: Some(self.instance.clone()),
            term: id::Term::new(1),
            committed: id::LogIndex::new(0),
            applied: id::LogIndex::new(0),
            voters: vec![self.instance.clone()],
            learners: Vec::new(),
        }
    }
}
