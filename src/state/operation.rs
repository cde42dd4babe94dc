//! Answered requests of operators, so that a resend gets the same answer.

use std::collections;

use crate::id;
use crate::macros;
use crate::sorted;
use crate::state::command;

/// Answered requests that are kept; a resend of an older one is treated as a new request.
pub const MAX_OPERATIONS: usize = 4096;

/// Most changed things that a conflict names.
pub const MAX_CONFLICT_SUBJECTS: usize = 64;

macros::data! {
    /// The last [`MAX_OPERATIONS`] answered requests by their operation id.
    #[derive(Default)]
    pub struct Operations {
        records: sorted::Map<id::OperationId, Record>,
        order: collections::VecDeque<id::OperationId>,
    }
}

macros::data! {
    struct Record {
        operator: String,
        digest: u64,
        answer: command::Answer,
    }
}

impl Operations {
    /// Returns the answer to a resend, or `None` for a new request.
    ///
    /// A request that reuses an id with another digest or operator gets
    /// [`command::Answer::OperationReused`].
    pub fn stored_answer(&self, operation: &command::Operation) -> Option<command::Answer> {
        let record = self.records.get(&operation.id)?;
        let same = record.digest == operation.digest && record.operator == operation.operator;
        if same {
            Some(record.answer.clone())
        } else {
            Some(command::Answer::OperationReused)
        }
    }

    /// Records the answer to a new request and evicts the oldest beyond [`MAX_OPERATIONS`].
    ///
    /// # Panics
    ///
    /// Panics if the operation has been recorded already.
    pub fn record(&mut self, operation: &command::Operation, answer: &command::Answer) {
        let record = Record {
            operator: operation.operator.clone(),
            digest: operation.digest,
            answer: answer.clone(),
        };
        let replaced = self.records.insert(operation.id.clone(), record);
        assert!(replaced.is_none(), "an operation is recorded once");
        self.order.push_back(operation.id.clone());
        while self.order.len() > MAX_OPERATIONS {
            if let Some(oldest) = self.order.pop_front() {
                self.records.remove(&oldest);
            }
        }
        assert_eq!(self.records.len(), self.order.len());
    }
}
