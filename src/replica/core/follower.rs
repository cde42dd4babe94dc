//! The follower's side of the protocol: entries and snapshots received from the leader.

use std::mem;
use std::sync;

use crate::clock;
use crate::id;
use crate::replica::core;
use crate::replica::core::election;
use crate::replica::core::log;
use crate::replica::core::message;

use message::{AppendOutcome, Body, Output};

/// One received chunk of a snapshot.
#[derive(Debug)]
pub struct Chunk {
    pub metadata: message::SnapshotMetadata,
    /// The number of snapshot bytes before this chunk.
    pub offset: u64,
    /// The size of the whole snapshot in bytes.
    pub total: u64,
    pub data: Vec<u8>,
}

/// A snapshot of which some chunks have been received.
#[derive(Debug)]
pub struct PartialSnapshot {
    metadata: message::SnapshotMetadata,
    data: Vec<u8>,
}

impl core::Replica {
    /// Records a message of the leader of the current term and restarts the election timer.
    pub(super) fn record_leader_contact(&mut self, now: clock::Millis, from: &message::NodeId) {
        assert!(!self.is_leader(), "a term has at most one leader");
        self.known_leader.record(self.hard_state.term, from);
        self.role = core::Role::Follower;
        self.leader_contact_at = Some(now);
        self.leader_search = election::LeaderSearch::new(now);
        self.reset_election_timer(now);
    }

    /// Responds to a leader of an older term with the newer term, so that it steps down.
    pub(super) fn reject_outdated_leader(&mut self, from: &message::NodeId) {
        let outcome = AppendOutcome::Conflict {
            refused: id::LogIndex::default(),
            retry: id::LogIndex::default(),
        };
        self.send_after_sync(from, Body::AppendResponse { round: 0, outcome });
    }

    /// Handles entries or a heartbeat of the leader of the current term.
    pub(super) fn handle_append_request(
        &mut self,
        from: &message::NodeId,
        previous: message::Position,
        entries: Vec<message::Entry>,
        committed: id::LogIndex,
        round: u64,
    ) {
        let Some(joined) = &self.joined else {
            return;
        };
        let is_before_commit = previous.index < joined.committed;
        let outcome = if is_before_commit || joined.log.contains(previous) {
            let last = self.merge_entries(previous, entries);
            self.commit_if_newer(committed.min(last));
            AppendOutcome::Matched(last)
        } else {
            let retry = joined.log.before_term_at(previous.index);
            AppendOutcome::Conflict {
                refused: previous.index,
                retry: retry.max(joined.committed),
            }
        };
        self.send_after_sync(from, Body::AppendResponse { round, outcome });
    }

    /// Appends the entries that are missing, after removing conflicting ones, and returns the last
    /// index at which this log equals the leader's.
    fn merge_entries(
        &mut self,
        previous: message::Position,
        entries: Vec<message::Entry>,
    ) -> id::LogIndex {
        let mut last = previous.index;
        for entry in entries {
            last = entry.at.index;
            let Some(joined) = &mut self.joined else {
                break;
            };
            if entry.at.index <= joined.committed {
                let own_term = joined.log.term_at(entry.at.index);
                let equal = own_term.is_none_or(|term| term == entry.at.term);
                assert!(equal, "a committed entry never changes");
                continue;
            }
            if joined.log.contains(entry.at) {
                continue;
            }
            if entry.at.index <= joined.log.last().index {
                joined.log.truncate_from(entry.at.index);
                self.disk.truncate_from(entry.at.index);
            }
            self.append_entry(entry);
        }
        last.max(self.matched_at_least(previous.index))
    }

    /// Returns the index up to which the logs are equal when they are equal at `previous`. A
    /// leader's log contains all committed entries, so this is at least the commit index.
    fn matched_at_least(&self, previous: id::LogIndex) -> id::LogIndex {
        let committed = self.committed();
        if previous < committed {
            committed
        } else {
            previous
        }
    }

    fn commit_if_newer(&mut self, index: id::LogIndex) {
        if index > self.committed() {
            self.commit_to(index);
        }
    }

    /// Handles a snapshot chunk and installs the snapshot once it is complete.
    pub(super) fn handle_chunk(&mut self, from: &message::NodeId, chunk: Chunk, round: u64) {
        let at = chunk.metadata.at;
        let is_outdated = self
            .joined
            .as_ref()
            .is_some_and(|j| at.index <= j.committed);
        if is_outdated {
            self.partial_snapshot = None;
            let outcome = AppendOutcome::Matched(self.committed());
            self.send_after_sync(from, Body::AppendResponse { round, outcome });
            return;
        }
        let total = chunk.total;
        let partial_snapshot = self.collect_chunk(chunk);
        let offset = partial_snapshot.data.len() as u64;
        if offset < total {
            self.send_after_sync(from, Body::SnapshotChunkResponse { at, offset, round });
            return;
        }
        let Some(PartialSnapshot { metadata, data }) = self.partial_snapshot.take() else {
            return;
        };
        self.install_snapshot(message::Snapshot { metadata, data });
        let outcome = AppendOutcome::Matched(at.index);
        self.send_after_sync(from, Body::AppendResponse { round, outcome });
    }

    fn collect_chunk(&mut self, chunk: Chunk) -> &mut PartialSnapshot {
        let same = |i: &PartialSnapshot| i.metadata == chunk.metadata;
        if !self.partial_snapshot.as_ref().is_some_and(same) {
            self.partial_snapshot = None;
        }
        let partial_snapshot = self
            .partial_snapshot
            .get_or_insert_with(|| PartialSnapshot {
                metadata: chunk.metadata,
                data: Vec::new(),
            });
        if partial_snapshot.data.len() as u64 == chunk.offset {
            partial_snapshot.data.extend_from_slice(&chunk.data);
        }
        partial_snapshot
    }

    /// Installs a snapshot as the new state. Keeps the later log entries if the log contains the
    /// snapshot's last position, and replaces the whole log otherwise.
    pub(super) fn install_snapshot(&mut self, snapshot: message::Snapshot) {
        let at = snapshot.metadata.at;
        let snapshot = sync::Arc::new(snapshot);
        let contains_position = |j: &core::Joined| j.log.contains(at);
        if self.joined.as_ref().is_some_and(contains_position) {
            self.keep_log_after(&snapshot);
        } else {
            self.start_log_after(&snapshot);
        }
        self.outputs.push(Output::Restore(snapshot));
    }

    fn keep_log_after(&mut self, snapshot: &sync::Arc<message::Snapshot>) {
        let Some(joined) = self.joined.as_mut() else {
            return;
        };
        let index = snapshot.metadata.at.index;
        assert!(
            index > joined.committed,
            "an installed snapshot is newer than the committed state"
        );
        joined.log.compact_to(index);
        joined.snapshot = sync::Arc::clone(snapshot);
        joined.committed = index;
        joined.applied = index;
        self.disk.batch.snapshot = Some(sync::Arc::clone(snapshot));
    }

    fn start_log_after(&mut self, snapshot: &sync::Arc<message::Snapshot>) {
        let committed = self.joined.as_ref().map(|j| j.committed);
        let index = snapshot.metadata.at.index;
        assert!(
            committed.is_none_or(|c| index > c),
            "an installed snapshot is newer than the committed state"
        );
        self.joined = Some(core::Joined {
            group: snapshot.metadata.group,
            log: log::Log::after(&snapshot.metadata),
            snapshot: sync::Arc::clone(snapshot),
            committed: index,
            applied: index,
        });
        self.disk.truncate_from(id::LogIndex::new(1));
        let batch = &mut self.disk.batch;
        batch.snapshot = Some(sync::Arc::clone(snapshot));
        batch.reset = true;
        mem::take(&mut batch.entries);
        self.disk.hard_state_changed = true;
    }
}
