//! The audit log: which operator made which revision.

use std::collections;

use crate::id;
use crate::macros;
use crate::state::change;
use crate::state::command;
use crate::state::subject;

pub const MAX_ENTRIES: usize = 4096;

/// Most changed things that one entry names.
pub const MAX_ENTRY_SUBJECTS: usize = 64;

macros::data! {
    /// One change by an operator.
    pub struct Entry {
        /// The revision of the configuration after the change.
        pub revision: id::Revision,
        pub operator: String,
        /// The id that the operator gave the request.
        pub operation: id::OperationId,
        /// When the leader received the request, in milliseconds since 1970.
        pub wall: u64,
        /// What was changed: the first [`MAX_ENTRY_SUBJECTS`] of the changes.
        pub subjects: Vec<subject::Subject>,
        /// The number of all changes, including those that `subjects` leaves out.
        pub changes: usize,
    }
}

macros::data! {
    /// The last [`MAX_ENTRIES`] changes by operators.
    #[derive(Default)]
    pub struct Log {
        entries: collections::VecDeque<Entry>,
    }
}

impl Log {
    /// Returns the kept entries after the revision `from`, oldest first.
    pub fn entries_after(&self, from: id::Revision) -> impl Iterator<Item = &Entry> {
        self.entries.iter().filter(move |e| e.revision > from)
    }

    /// Adds an entry and evicts the oldest beyond [`MAX_ENTRIES`].
    pub fn record(
        &mut self,
        operation: &command::Operation,
        changes: &[change::Change],
        revision: id::Revision,
    ) {
        let named = changes.iter().take(MAX_ENTRY_SUBJECTS);
        self.entries.push_back(Entry {
            revision,
            operator: operation.operator.clone(),
            operation: operation.id.clone(),
            wall: operation.wall,
            subjects: named.map(subject::Subject::from_change).collect(),
            changes: changes.len(),
        });
        if self.entries.len() > MAX_ENTRIES {
            self.entries.pop_front();
        }
    }
}
