//! The operators' requests that were answered, for idempotent resends.

use std::collections;

use crate::id;
use crate::macros;
use crate::sorted;
use crate::state::command;

/// The answered requests that are kept; a resend older than these is taken for a new request.
pub const OPERATIONS: usize = 4096;

/// The most changed things that a conflict names.
pub const CONFLICT_SUBJECTS: usize = 64;

macros::data! {
    /// The last [`OPERATIONS`] answered requests by their operation id.
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
    /// Returns the answer that a resend gets, or `None` for a new request.
    pub fn answer_to(&self, operation: &command::Operation) -> Option<command::Answer> {
        let record = self.records.get(&operation.id)?;
        let same = record.digest == operation.digest && record.operator == operation.operator;
        if same {
            Some(record.answer.clone())
        } else {
            Some(command::Answer::OperationReused)
        }
    }

    /// Keeps the answer to a new request, and forgets the oldest when there are too many.
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
        while self.order.len() > OPERATIONS {
            if let Some(oldest) = self.order.pop_front() {
                self.records.remove(&oldest);
            }
        }
        assert_eq!(self.records.len(), self.order.len());
    }
}
