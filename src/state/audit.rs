//! The audit trail: which operator made which revision.

use std::collections;

use crate::id;
use crate::macros;
use crate::state::change;
use crate::state::command;
use crate::state::subject;

/// The entries that are kept.
pub const ENTRIES: usize = 4096;

/// The most changed things that an entry names.
pub const ENTRY_SUBJECTS: usize = 64;

macros::data! {
    /// One change by an operator.
    pub struct Entry {
        /// The revision that the change made.
        pub revision: id::Revision,
        /// The operator.
        pub operator: String,
        /// The operator's name of the request.
        pub operation: id::OperationId,
        /// When the leader took the request, in milliseconds since 1970.
        pub wall: u64,
        /// What was changed; at most [`ENTRY_SUBJECTS`] are named.
        pub subjects: Vec<subject::Subject>,
        /// The number of things changed.
        pub changes: usize,
    }
}

macros::data! {
    /// The last [`ENTRIES`] changes by operators.
    #[derive(Default)]
    pub struct Trail {
        entries: collections::VecDeque<Entry>,
    }
}

impl Trail {
    /// Returns the kept entries after a revision, oldest first.
    pub fn entries_after(&self, from: id::Revision) -> impl Iterator<Item = &Entry> {
        self.entries.iter().filter(move |e| e.revision > from)
    }

    /// Adds an entry, and forgets the oldest when there are too many.
    pub fn record(
        &mut self,
        operation: &command::Operation,
        changes: &[change::Change],
        revision: id::Revision,
    ) {
        let named = changes.iter().take(ENTRY_SUBJECTS);
        self.entries.push_back(Entry {
            revision,
            operator: operation.operator.clone(),
            operation: operation.id.clone(),
            wall: operation.wall,
            subjects: named.map(subject::Subject::from_change).collect(),
            changes: changes.len(),
        });
        if self.entries.len() > ENTRIES {
            self.entries.pop_front();
        }
    }
}
