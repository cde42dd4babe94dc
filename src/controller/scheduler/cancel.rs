//! Work that is being cancelled at servers, and what has ended there lately.

use std::collections;

use crate::clock;
use crate::controller::scheduler::fleet;
use crate::id;
use crate::macros;
use crate::sorted;

/// The longest pause between two orders to cancel, in first pauses.
const LONGEST_PAUSE: u64 = 10;

macros::data! {copy
    /// A request at a server.
    pub struct Target {
        /// The server's position.
        pub server: fleet::ServerIndex,
        /// The request.
        pub request: id::RequestId,
    }
}

/// What a cancellation still holds of its server's capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Held {
    /// Requests.
    pub requests: u32,
    /// Memory.
    pub pieces: u64,
    /// Whether the request may crash its server.
    pub suspect: bool,
}

#[derive(Clone, Debug)]
struct Pending {
    held: Held,
    due: clock::Millis,
    pause: clock::Millis,
}

/// The cancellations that are not confirmed, and the ends that are recent.
#[derive(Clone, Debug, Default)]
pub struct Cancels {
    pending: sorted::Map<Target, Pending>,
    confirmed: sorted::Map<Target, clock::Millis>,
    ended: collections::VecDeque<(clock::Millis, Target)>,
}

impl Cancels {
    /// Starts a cancellation; the order goes out with the next [`Cancels::due`].
    pub fn start(&mut self, now: clock::Millis, target: Target, held: Held, pause: clock::Millis) {
        let pending = self.pending.get_or_insert_with(target, || Pending {
            held: Held::default(),
            due: now,
            pause,
        });
        pending.held.requests += held.requests;
        pending.held.pieces += held.pieces;
        pending.held.suspect |= held.suspect;
    }

    /// Returns the orders to send now.
    pub fn due(&mut self, now: clock::Millis, first_pause: clock::Millis) -> Vec<Target> {
        let longest = first_pause * LONGEST_PAUSE;
        let mut due = Vec::new();
        self.pending.retain(|target, pending| {
            if pending.due <= now {
                due.push(*target);
                pending.due = now + pending.pause;
                pending.pause = (pending.pause * 2).min(longest);
            }
            true
        });
        due
    }

    /// Notes that a server confirmed a cancellation, and returns what it held.
    pub fn confirm(&mut self, now: clock::Millis, target: Target) -> Option<Held> {
        let pending = self.pending.remove(&target)?;
        self.confirmed.insert(target, now);
        self.note_end(now, target);
        Some(pending.held)
    }

    /// Notes that a request has ended at a server.
    pub fn note_end(&mut self, now: clock::Millis, target: Target) {
        self.ended.push_back((now, target));
    }

    /// Drops all that concerns a server that has left.
    pub fn forget(&mut self, server: fleet::ServerIndex) {
        self.pending.retain(|target, _| target.server != server);
        self.confirmed.retain(|target, _| target.server != server);
        self.ended.retain(|(_, target)| target.server != server);
    }

    /// Forgets ends that are older than the servers' memory of them.
    pub fn prune(&mut self, now: clock::Millis, memory: clock::Millis) {
        while self.ended.front().is_some_and(|(at, _)| *at + memory < now) {
            self.ended.pop_front();
        }
        self.confirmed.retain(|_, at| *at + memory >= now);
    }

    /// Tells whether a cancellation at a server is pending.
    pub fn is_pending(&self, target: Target) -> bool {
        self.pending.contains(&target)
    }

    /// Tells whether a server refuses a request because it is or was cancelled there.
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

    /// Tells whether a request that may crash its server is being cancelled.
    pub fn has_suspect(&self) -> bool {
        self.pending.values().any(|p| p.held.suspect)
    }

    /// Returns how many cancellations are not confirmed.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns when the next order is due.
    pub fn next_due(&self) -> clock::Millis {
        let due = self.pending.values().map(|p| p.due);
        due.min().unwrap_or(clock::Millis::MAX)
    }

    /// Returns what the cancellations at a server hold.
    pub fn held_at(&self, server: fleet::ServerIndex) -> Held {
        let mut sum = Held::default();
        let here = self.pending.iter().filter(|(t, _)| t.server == server);
        for (_, pending) in here {
            sum.requests += pending.held.requests;
            sum.pieces += pending.held.pieces;
        }
        sum
    }
}
