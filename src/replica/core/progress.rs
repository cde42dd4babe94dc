//! The replication progress of one other member, tracked by the leader.

use std::sync;

use crate::clock;
use crate::id;
use crate::replica::core::message;

/// The maximum number of unanswered appends to one member.
pub const MAX_IN_FLIGHT: u32 = 2;

#[derive(Debug)]
pub struct Progress {
    /// The last index at which the member's synced log is known to equal the leader's.
    pub match_index: id::LogIndex,
    /// The index of the next entry to send.
    pub next_index: id::LogIndex,
    /// Whether the leader still looks for the common prefix of the logs.
    pub probing: bool,
    /// The number of appends sent since the last heartbeat round and not answered yet.
    pub in_flight: u32,
    /// The newest heartbeat round that the member responded to.
    pub acked_round: u64,
    /// When the member last responded; initially when the leader started to track it.
    pub active_at: clock::Millis,
    /// The snapshot transfer in progress.
    pub transfer: Option<SnapshotTransfer>,
}

/// A snapshot transfer to a member.
#[derive(Debug)]
pub struct SnapshotTransfer {
    pub snapshot: sync::Arc<message::Snapshot>,
    /// The number of snapshot bytes that the member has confirmed.
    pub offset: u64,
}

impl Progress {
    /// Creates a progress that starts probing at the end of the leader's log.
    pub fn new(now: clock::Millis, last: id::LogIndex) -> Self {
        Self {
            match_index: id::LogIndex::default(),
            next_index: last.next(),
            probing: true,
            in_flight: 0,
            acked_round: 0,
            active_at: now,
            transfer: None,
        }
    }

    /// Records a response to a message of a heartbeat round.
    pub fn record_response(&mut self, now: clock::Millis, round: u64) {
        self.active_at = now;
        self.acked_round = self.acked_round.max(round);
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records that the member's log equals the leader's up to `index`.
    pub fn record_match(&mut self, index: id::LogIndex) {
        self.probing = false;
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index.next());
        let matched = self.match_index;
        self.transfer
            .take_if(|t| matched >= t.snapshot.metadata.at.index);
    }

    /// Records that the member refused entries after `refused`, and moves the next index back to
    /// `retry`. A response to an outdated probe is ignored, since it would restart the search.
    pub fn record_conflict(&mut self, refused: id::LogIndex, retry: id::LogIndex) {
        let is_old = self.probing && refused.next() != self.next_index;
        if is_old || refused <= self.match_index {
            return;
        }
        self.probing = true;
        self.in_flight = 0;
        self.next_index = retry.min(refused).next().max(self.match_index.next());
    }

    /// Returns whether more entries may be sent before the next response.
    pub fn may_send(&self) -> bool {
        let window = if self.probing { 1 } else { MAX_IN_FLIGHT };
        self.in_flight < window
    }

    /// Records that entries up to `last` were sent.
    pub fn record_sent(&mut self, last: id::LogIndex) {
        self.in_flight += 1;
        if !self.probing {
            self.next_index = last.next();
        }
    }
}
