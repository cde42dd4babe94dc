//! Messages of a leader: heartbeat rounds, entries and snapshot chunks.

use std::sync;

use crate::clock;
use crate::id;
use crate::replica::core;
use crate::replica::core::message;
use crate::replica::core::progress;

use message::Body;

/// The maximum size of the commands in one append; a single larger command is sent alone.
const MAX_APPEND_BYTES: usize = 256 << 10;

/// The maximum size of one snapshot chunk.
const MAX_CHUNK_BYTES: usize = 256 << 10;

impl core::Replica {
    /// Appends an entry of the current term and returns its position.
    pub(super) fn append_payload(&mut self, payload: message::Payload) -> message::Position {
        let last = self
            .log()
            .map_or_else(Default::default, core::log::Log::last);
        let at = message::Position {
            index: last.index.next(),
            term: self.hard_state.term,
        };
        self.append_entry(message::Entry { at, payload });
        at
    }

    /// Starts a heartbeat round, which sends every member an append or a snapshot chunk. Earlier
    /// appends count as answered, so that lost ones do not block new ones.
    pub(super) fn start_heartbeat_round(&mut self, now: clock::Millis) {
        self.update_progress_map(now);
        let heartbeat = self.settings.heartbeat_interval;
        let Some(leadership) = self.leadership_mut() else {
            return;
        };
        leadership.round += 1;
        leadership.heartbeat_at = now + heartbeat;
        for progress in leadership.others.values_mut() {
            progress.in_flight = 0;
        }
        self.send_to_all(true);
    }

    pub(super) fn send_entries(&mut self, now: clock::Millis) {
        self.update_progress_map(now);
        self.send_to_all(false);
    }

    pub(super) fn send_to_all(&mut self, force: bool) {
        let Some(leadership) = self.leadership() else {
            return;
        };
        let others: Vec<message::NodeId> = leadership.others.keys().cloned().collect();
        for node in others {
            self.send_to(&node, force);
        }
    }

    /// Adds the progress of new members and drops that of removed ones.
    pub(super) fn update_progress_map(&mut self, now: clock::Millis) {
        let Some(joined) = &self.joined else {
            return;
        };
        let last = joined.log.last().index;
        let me = &self.settings.node;
        let mut nodes: Vec<message::NodeId> =
            joined.log.members().nodes().filter(|n| n != me).collect();
        let Some(leadership) = self.leadership_mut() else {
            return;
        };
        leadership.former.retain(|f| !nodes.contains(&f.node));
        let uninformed = leadership.former.iter().filter(|f| !f.is_informed);
        nodes.extend(uninformed.map(|f| f.node.clone()));
        leadership.others.retain(|node, _| nodes.contains(node));
        for node in nodes {
            leadership
                .others
                .get_or_insert_with(node, || progress::Progress::new(now, last));
        }
    }

    /// Sends a member the next entries, or a chunk of its snapshot transfer. Without `force`, sends
    /// no heartbeat without entries, and of a transfer only the first chunk.
    pub(super) fn send_to(&mut self, node: &message::NodeId, force: bool) {
        let Some((joined, leadership)) = self.as_leader() else {
            return;
        };
        let Some(progress) = leadership.others.get(node) else {
            return;
        };
        let round = leadership.round;
        let previous = id::LogIndex::new(progress.next_index.as_u64() - 1);
        let body = match (&progress.transfer, joined.log.term_at(previous)) {
            (Some(transfer), _) if force || transfer.offset == 0 => snapshot_chunk(transfer, round),
            (Some(_), _) => return,
            (None, None) => {
                self.start_snapshot_transfer(node);
                self.send_to(node, true);
                return;
            }
            (None, Some(term)) => {
                let entries = if progress.may_send() {
                    joined
                        .log
                        .entries_after(previous, MAX_APPEND_BYTES)
                        .to_vec()
                } else {
                    Vec::new()
                };
                if entries.is_empty() && !force {
                    return;
                }
                Body::AppendRequest {
                    previous: message::Position {
                        index: previous,
                        term,
                    },
                    entries,
                    committed: joined.committed,
                    round,
                }
            }
        };
        self.record_sent(node, &body);
        self.send(node, body);
    }

    pub(super) fn record_sent(&mut self, node: &message::NodeId, body: &Body) {
        let Body::AppendRequest { entries, .. } = body else {
            return;
        };
        let Some(last) = entries.last().map(|e| e.at.index) else {
            return;
        };
        if let Some(progress) = self.progress_mut(node) {
            progress.record_sent(last);
        }
    }

    pub(super) fn start_snapshot_transfer(&mut self, node: &message::NodeId) {
        let snapshot = self.joined.as_ref().map(|j| sync::Arc::clone(&j.snapshot));
        if let Some(progress) = self.progress_mut(node) {
            progress.transfer = snapshot.map(|snapshot| progress::SnapshotTransfer {
                snapshot,
                offset: 0,
            });
        }
    }
}

fn snapshot_chunk(transfer: &progress::SnapshotTransfer, round: u64) -> Body {
    let snapshot = &transfer.snapshot;
    let start = (transfer.offset as usize).min(snapshot.data.len());
    let end = (start + MAX_CHUNK_BYTES).min(snapshot.data.len());
    Body::SnapshotChunk {
        metadata: snapshot.metadata.clone(),
        offset: transfer.offset,
        total: snapshot.data.len() as u64,
        data: snapshot.data[start..end].to_vec(),
        round,
    }
}
