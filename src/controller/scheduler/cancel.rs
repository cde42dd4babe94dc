//! Cancellations that servers have not confirmed yet, and requests that ended there recently.

use std::collections;

use crate::clock;
use crate::controller::scheduler::fleet;
use crate::id;
use crate::macros;
use crate::sorted;

/// The longest delay between two orders to cancel, as a multiple of the first delay.
const MAX_DELAY_FACTOR: u64 = 10;

macros::data! {copy
    /// A request at a server.
    pub struct Target {
        pub server: fleet::ServerIndex,
        pub request: id::RequestId,
    }
}

/// The capacity that stays reserved at a server until a cancellation is confirmed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reserved {
    pub requests: u32,
    /// The memory, in pieces.
    pub pieces: u64,
    /// Whether the request may have crashed a server.
    pub suspect: bool,
}

#[derive(Clone, Debug)]
struct Pending {
    reserved: Reserved,
    due: clock::Millis,
    delay: clock::Millis,
}

/// The pending cancellations, and the recently confirmed ones and ended requests.
#[derive(Clone, Debug, Default)]
pub struct Table {
    pending: sorted::Map<Target, Pending>,
    confirmed: sorted::Map<Target, clock::Millis>,
    ended: collections::VecDeque<(clock::Millis, Target)>,
}

impl Table {
    /// Starts a cancellation, or adds to a pending one. The next [`Table::poll_due`] returns its
    /// first order.
    pub fn start(
        &mut self,
        now: clock::Millis,
        target: Target,
        reserved: Reserved,
        delay: clock::Millis,
    ) {
        let pending = self.pending.get_or_insert_with(target, || Pending {
            reserved: Reserved::default(),
            due: now,
            delay,
        });
        pending.reserved.requests += reserved.requests;
        pending.reserved.pieces += reserved.pieces;
        pending.reserved.suspect |= reserved.suspect;
    }

    /// Returns the requests whose cancellation is to be ordered now, and sets when each is due
    /// again.
    pub fn poll_due(&mut self, now: clock::Millis, first_delay: clock::Millis) -> Vec<Target> {
        let max_delay = first_delay * MAX_DELAY_FACTOR;
        let mut due = Vec::new();
        self.pending.retain(|target, pending| {
            if pending.due <= now {
                due.push(*target);
                pending.due = now + pending.delay;
                pending.delay = (pending.delay * 2).min(max_delay);
            }
            true
        });
        due
    }

    /// Records that a server confirmed a cancellation. Returns the capacity to free, or `None` when
    /// the cancellation is not pending.
    pub fn confirm(&mut self, now: clock::Millis, target: Target) -> Option<Reserved> {
        let pending = self.pending.remove(&target)?;
        self.confirmed.insert(target, now);
        self.record_end(now, target);
        Some(pending.reserved)
    }

    /// Records that a request has ended at a server.
    pub fn record_end(&mut self, now: clock::Millis, target: Target) {
        self.ended.push_back((now, target));
    }

    /// Removes all entries of a server that has left.
    pub fn remove_server(&mut self, server: fleet::ServerIndex) {
        self.pending.retain(|target, _| target.server != server);
        self.confirmed.retain(|target, _| target.server != server);
        self.ended.retain(|(_, target)| target.server != server);
    }

    /// Removes ended requests and confirmed cancellations that are older than `retention`, the time
    /// for which servers refuse a cancelled request.
    pub fn prune(&mut self, now: clock::Millis, retention: clock::Millis) {
        while self
            .ended
            .front()
            .is_some_and(|(at, _)| *at + retention < now)
        {
            self.ended.pop_front();
        }
        self.confirmed.retain(|_, at| *at + retention >= now);
    }

    pub fn is_pending(&self, target: Target) -> bool {
        self.pending.contains(&target)
    }

    /// Returns whether a server refuses a request because it is or was cancelled there.
    pub fn refuses(&self, target: Target) -> bool {
        self.pending.contains(&target) || self.confirmed.contains(&target)
    }

    /// Returns the requests that ended at a server since a time.
    pub fn ended_since(
        &self,
        server: fleet::ServerIndex,
        since: clock::Millis,
    ) -> Vec<id::RequestId> {
        let recent = self.ended.iter().rev().take_while(|(at, _)| *at >= since);
        recent
            .filter(|(_, target)| target.server == server)
            .map(|(_, target)| target.request)
            .collect()
    }

    /// Returns whether a request that may have crashed a server is being cancelled.
    pub fn has_suspect(&self) -> bool {
        self.pending.values().any(|p| p.reserved.suspect)
    }

    /// Returns the number of pending cancellations.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns when the next order is due, [`clock::Millis::MAX`] when none is.
    pub fn next_due(&self) -> clock::Millis {
        let due = self.pending.values().map(|p| p.due);
        due.min().unwrap_or(clock::Millis::MAX)
    }

    /// Returns the capacity that pending cancellations keep reserved at a server.
    pub fn reserved_at(&self, server: fleet::ServerIndex) -> Reserved {
        let mut sum = Reserved::default();
        let here = self.pending.iter().filter(|(t, _)| t.server == server);
        for (_, pending) in here {
            sum.requests += pending.reserved.requests;
            sum.pieces += pending.reserved.pieces;
        }
        sum
    }
}
