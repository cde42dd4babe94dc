//! Batches for the disk, the messages that wait until their batch is synced, and log compaction.

use std::collections;
use std::mem;
use std::sync;

use crate::clock;
use crate::id;
use crate::replica::core;
use crate::replica::core::message;

use message::{Body, Output};

/// The state of the writes to disk.
#[derive(Debug, Default)]
pub struct Disk {
    /// The batch that the current step adds to; its number is that of the newest batch handed out.
    pub batch: message::Batch,
    /// Whether the current step changed the term or the vote.
    pub hard_state_changed: bool,
    /// The number of the newest batch known to be on disk.
    persisted_batch: u64,
    /// The number of the batch that contains the current term and vote.
    hard_state_batch: u64,
    /// The last index known to be on disk.
    pub durable_index: id::LogIndex,
    /// The batches that were handed out and are not confirmed yet.
    pending: collections::VecDeque<PendingWrite>,
    /// The messages that wait until their batch is on disk.
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
    /// Appends an entry to the log and to the batch of the current step.
    pub(super) fn append_entry(&mut self, entry: message::Entry) {
        let joined = self
            .joined
            .as_mut()
            .expect("a replica without a group appends no entries");
        self.disk.batch.entries.push(entry.clone());
        joined.log.append(entry);
    }

    /// Ends the step: hands out its batch, and queues its messages until the batch is on disk.
    pub(super) fn finish_step(&mut self) -> Vec<Output> {
        let mut batch = mem::take(&mut self.disk.batch);
        if mem::take(&mut self.disk.hard_state_changed) {
            batch.hard_state = Some(self.hard_state.clone());
        }
        let dirty =
            batch.hard_state.is_some() || batch.snapshot.is_some() || !batch.entries.is_empty();
        let number = self.disk.batch_number(dirty);
        self.disk.batch.number = number;
        if dirty {
            batch.number = number;
            if batch.hard_state.is_some() {
                self.disk.hard_state_batch = number;
            }
            let last = self.joined.as_ref().map(|j| j.log.last().index);
            let last = last.unwrap_or_default();
            self.disk.pending.push_back(PendingWrite { number, last });
            self.outputs.push(Output::Persist(batch));
        }
        for message in mem::take(&mut self.after_sync) {
            self.disk.held.push_back(HeldMessage { number, message });
        }
        self.release_messages();
        self.check_invariants();
        mem::take(&mut self.outputs)
    }

    /// Sends the messages whose batches are on disk. Messages of an older term are dropped as
    /// outdated, except those of a pre-vote, whose term is not this member's own.
    pub(super) fn release_messages(&mut self) {
        let persisted = self.disk.persisted_batch;
        while self
            .disk
            .held
            .front()
            .is_some_and(|h| h.number <= persisted)
        {
            let Some(held) = self.disk.held.pop_front() else {
                return;
            };
            let is_pre_vote = matches!(
                held.message.body,
                Body::PreVoteResponse { .. } | Body::PreVoteRequest { .. }
            );
            if held.message.term >= self.hard_state.term || is_pre_vote {
                self.outputs.push(Output::Send(held.message));
            }
        }
    }

    /// Handles the confirmation that all batches up to `number` are on disk: a candidate counts its
    /// own vote, a leader advances the commit index.
    pub(super) fn handle_persisted(&mut self, now: clock::Millis, number: u64) {
        assert!(
            number <= self.disk.batch.number,
            "only batches that were handed out are confirmed"
        );
        self.disk.persisted_batch = self.disk.persisted_batch.max(number);
        while self
            .disk
            .pending
            .front()
            .is_some_and(|p| p.number <= number)
        {
            if let Some(write) = self.disk.pending.pop_front() {
                self.disk.durable_index = write.last;
            }
        }
        if matches!(self.role, core::Role::Candidate(_)) && number >= self.disk.hard_state_batch {
            let me = self.settings.node.clone();
            self.count_vote(now, me, true);
        }
        if self.is_leader() {
            self.advance_commit(now);
        }
    }

    /// Creates a snapshot from the state after the entry at `index`, and removes the entries up to
    /// it except for the trailing ones.
    pub(super) fn compact(&mut self, index: id::LogIndex, data: Vec<u8>) {
        let trailing_entries = self.settings.trailing_entries;
        let Some(joined) = self.joined.as_mut() else {
            return;
        };
        if index <= joined.snapshot.metadata.at.index {
            return;
        }
        assert!(
            index <= joined.applied,
            "a snapshot includes only applied entries"
        );
        let term = joined.log.term_at(index);
        let metadata = message::SnapshotMetadata {
            group: joined.group,
            at: message::Position {
                index,
                term: term.expect("an applied entry after the snapshot is in the log"),
            },
            members: joined.log.members_at(index).clone(),
        };
        joined.snapshot = sync::Arc::new(message::Snapshot { metadata, data });
        let keep_from = index.as_u64().saturating_sub(trailing_entries);
        joined.log.compact_to(id::LogIndex::new(keep_from));
        self.disk.batch.snapshot = Some(sync::Arc::clone(&joined.snapshot));
    }

    /// Queues a message, which is sent once everything written up to this step is on disk.
    pub(super) fn send_after_sync(&mut self, to: &message::NodeId, body: Body) {
        let message = self.message(to, body);
        self.after_sync.push(message);
    }

    /// Sends a message at once, for content that does not depend on this member's disk.
    pub(super) fn send(&mut self, to: &message::NodeId, body: Body) {
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
            term: self.hard_state.term,
            body,
        }
    }
}

impl Disk {
    /// Returns the number of the newest batch, including one that is handed out now.
    fn batch_number(&mut self, dirty: bool) -> u64 {
        let newest = self
            .pending
            .back()
            .map_or(self.persisted_batch, |p| p.number);
        newest + u64::from(dirty)
    }

    /// Lowers the durable index of finished and pending writes below `index`, from which on other
    /// entries replace those written.
    pub fn truncate_from(&mut self, index: id::LogIndex) {
        let last = id::LogIndex::new(index.as_u64() - 1);
        self.durable_index = self.durable_index.min(last);
        for write in &mut self.pending {
            write.last = write.last.min(last);
        }
    }
}
