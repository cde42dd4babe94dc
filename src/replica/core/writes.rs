//! What goes to disk, and what waits until it is there.

use std::collections;
use std::mem;
use std::sync;

use crate::clock;
use crate::id;
use crate::replica::core;
use crate::replica::core::message;

use message::{Body, Output};

/// What is being written to disk.
#[derive(Debug, Default)]
pub struct Disk {
    /// The batch that this step adds to.
    pub batch: message::Batch,
    /// Whether this step changed the term or the vote.
    pub hard_changed: bool,
    persisted: u64,
    /// The batch that holds the present term and vote.
    hard_number: u64,
    /// The last entry known to be on disk.
    pub durable: id::LogIndex,
    pending: collections::VecDeque<PendingWrite>,
    held: collections::VecDeque<HeldMessage>,
}

#[derive(Debug)]
struct PendingWrite {
    number: u64,
    last: id::LogIndex,
}

#[derive(Debug)]
struct HeldMessage {
    number: u64,
    message: message::Message,
}

impl core::Replica {
    /// Adds an entry to the log and to the batch for the disk.
    pub(super) fn append_entry(&mut self, entry: message::Entry) {
        let joined = self
            .joined
            .as_mut()
            .expect("only a joined member has a log");
        self.disk.batch.entries.push(entry.clone());
        joined.log.append(entry);
    }

    /// Closes the step: hands out the batch and the messages that wait for it.
    pub(super) fn finish(&mut self) -> Vec<Output> {
        let mut batch = mem::take(&mut self.disk.batch);
        if mem::take(&mut self.disk.hard_changed) {
            batch.hard = Some(self.hard.clone());
        }
        let dirty = batch.hard.is_some() || batch.snapshot.is_some() || !batch.entries.is_empty();
        let number = self.disk.batch_number(dirty);
        self.disk.batch.number = number;
        if dirty {
            batch.number = number;
            if batch.hard.is_some() {
                self.disk.hard_number = number;
            }
            let last = self.joined.as_ref().map(|j| j.log.last().index);
            let last = last.unwrap_or_default();
            self.disk.pending.push_back(PendingWrite { number, last });
            self.outputs.push(Output::Persist(batch));
        }
        for message in mem::take(&mut self.guarded) {
            self.disk.held.push_back(HeldMessage { number, message });
        }
        self.release();
        self.check();
        mem::take(&mut self.outputs)
    }

    /// Sends the messages whose batches are on disk; an older term's say nothing any more.
    pub(super) fn release(&mut self) {
        let persisted = self.disk.persisted;
        while self
            .disk
            .held
            .front()
            .is_some_and(|h| h.number <= persisted)
        {
            let Some(held) = self.disk.held.pop_front() else {
                return;
            };
            let asks_ahead = matches!(
                held.message.body,
                Body::PreVoted { .. } | Body::PreVote { .. }
            );
            if held.message.term >= self.hard.term || asks_ahead {
                self.outputs.push(Output::Send(held.message));
            }
        }
    }

    pub(super) fn persisted(&mut self, now: clock::Millis, number: u64) {
        assert!(
            number <= self.disk.batch.number,
            "only batches that were handed out are written"
        );
        self.disk.persisted = self.disk.persisted.max(number);
        while self
            .disk
            .pending
            .front()
            .is_some_and(|p| p.number <= number)
        {
            if let Some(write) = self.disk.pending.pop_front() {
                self.disk.durable = write.last;
            }
        }
        if matches!(self.role, core::Role::Candidate(_)) && number >= self.disk.hard_number {
            let me = self.settings.node.clone();
            self.count_vote(now, me, true);
        }
        if self.is_leader() {
            self.advance_commit(now);
        }
    }

    pub(super) fn compact(&mut self, index: id::LogIndex, data: Vec<u8>) {
        let trailing = self.settings.trailing;
        let Some(joined) = self.joined.as_mut() else {
            return;
        };
        if index <= joined.snapshot.head.at.index {
            return;
        }
        assert!(
            index <= joined.applied,
            "a snapshot covers applied entries only"
        );
        let term = joined.log.term_at(index);
        let head = message::SnapshotHead {
            group: joined.group,
            at: message::Position {
                index,
                term: term.expect("an applied entry after the snapshot is in the log"),
            },
            members: joined.log.members_at(index).clone(),
        };
        joined.snapshot = sync::Arc::new(message::Snapshot { head, data });
        let keep_from = index.as_u64().saturating_sub(trailing);
        joined.log.compact_to(id::LogIndex::new(keep_from));
        self.disk.batch.snapshot = Some(sync::Arc::clone(&joined.snapshot));
    }

    /// Sends a message as soon as all that was decided so far is on disk.
    pub(super) fn send_after_sync(&mut self, to: &message::NodeId, body: Body) {
        let message = self.message(to, body);
        self.guarded.push(message);
    }

    /// Sends a message at once: it says nothing about this member's disk.
    pub(super) fn send_now(&mut self, to: &message::NodeId, body: Body) {
        let message = self.message(to, body);
        self.outputs.push(Output::Send(message));
    }

    pub(super) fn message(&self, to: &message::NodeId, body: Body) -> message::Message {
        message::Message {
            group: self
                .joined
                .as_ref()
                .map_or_else(Default::default, |j| j.group),
            from: self.settings.node.clone(),
            to: to.clone(),
            term: self.hard.term,
            body,
        }
    }
}

impl Disk {
    /// Returns the number of the newest batch, counting one that is handed out now.
    fn batch_number(&mut self, dirty: bool) -> u64 {
        let newest = self.pending.back().map_or(self.persisted, |p| p.number);
        newest + u64::from(dirty)
    }

    /// Forgets the promise of entries from an index on, since others replace them.
    pub fn forget_from(&mut self, index: id::LogIndex) {
        let last = id::LogIndex::new(index.as_u64() - 1);
        self.durable = self.durable.min(last);
        for write in &mut self.pending {
            write.last = write.last.min(last);
        }
    }
}
