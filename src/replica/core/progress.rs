//! What a leader knows of one other member.

use std::sync;

use crate::clock;
use crate::id;
use crate::replica::core::message;

/// The appends that may be under way to one member without an answer.
pub const WINDOW: u32 = 2;

/// The state of one other member, as its leader sees it.
#[derive(Debug)]
pub struct Progress {
    /// The last index known to be on the member's disk and equal to the leader's log.
    pub matched: id::LogIndex,
    /// The index of the next entry to send.
    pub next: id::LogIndex,
    /// Whether the place where the logs meet is still searched for.
    pub probing: bool,
    /// The appends sent and not answered since the last heartbeat.
    pub in_flight: u32,
    /// The newest heartbeat round that was answered.
    pub acked_round: u64,
    /// When the member last answered.
    pub heard_at: clock::Millis,
    /// The snapshot that is being sent.
    pub transfer: Option<Transfer>,
}

/// A snapshot on its way to a member.
#[derive(Debug)]
pub struct Transfer {
    /// The snapshot.
    pub snapshot: sync::Arc<message::Snapshot>,
    /// The bytes that the member has.
    pub offset: u64,
}

impl Progress {
    /// Starts at the end of the leader's log.
    pub fn new(now: clock::Millis, last: id::LogIndex) -> Self {
        Self {
            matched: id::LogIndex::default(),
            next: last.next(),
            probing: true,
            in_flight: 0,
            acked_round: 0,
            heard_at: now,
            transfer: None,
        }
    }

    /// Takes in an answer to a message of a heartbeat round.
    pub fn hear(&mut self, now: clock::Millis, round: u64) {
        self.heard_at = now;
        self.acked_round = self.acked_round.max(round);
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Takes in that the member's log is equal up to `index`.
    pub fn match_up_to(&mut self, index: id::LogIndex) {
        self.probing = false;
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched.next());
        let matched = self.matched;
        self.transfer
            .take_if(|t| matched >= t.snapshot.head.at.index);
    }

    /// Takes in that the member refused entries after `refused`; an answer to an older attempt is
    /// left aside, or the search would start over and over.
    pub fn refuse(&mut self, refused: id::LogIndex, retry: id::LogIndex) {
        let is_old = self.probing && refused.next() != self.next;
        if is_old || refused <= self.matched {
            return;
        }
        self.probing = true;
        self.in_flight = 0;
        self.next = retry.min(refused).next().max(self.matched.next());
    }

    /// Tells whether more entries may be sent before the next answer.
    pub fn may_send(&self) -> bool {
        let window = if self.probing { 1 } else { WINDOW };
        self.in_flight < window
    }

    /// Takes in that entries up to `last` were sent.
    pub fn note_sent(&mut self, last: id::LogIndex) {
        self.in_flight += 1;
        if !self.probing {
            self.next = last.next();
        }
    }
}
