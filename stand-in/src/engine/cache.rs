//! The prefix cache of an engine, and the late and gappy news of its changes.

use std::collections;

use buckthorncleat::backend::wire;
use buckthorncleat::clock;
use buckthorncleat::sorted;
use buckthorncleat::unit;

/// The newest events kept.
const KEPT_EVENTS: usize = 4096;

/// Whole pieces of prompts, the least recently used dropped first.
#[derive(Debug, Default)]
pub struct PrefixCache {
    last_used: sorted::Map<u64, u64>,
    uses: u64,
    events: EventLog,
}

impl PrefixCache {
    /// Returns the memory in use.
    pub fn pieces(&self) -> u64 {
        self.last_used.len() as u64
    }

    /// Counts the tokens at the start of a prompt that need not be computed.
    pub fn cached(&self, prefixes: &[u64]) -> unit::Tokens {
        let pieces = prefixes.iter().take_while(|p| self.last_used.contains(p));
        unit::Tokens::new(pieces.count() as u64 * unit::PIECE_TOKENS)
    }

    /// Stores the pieces of a prompt and drops old ones above the capacity.
    pub fn store(&mut self, now: clock::Millis, prefixes: &[u64], capacity: u64) {
        // The start of a prompt is used last, so that a prefix outlives what builds on it.
        for prefix in prefixes.iter().rev() {
            self.uses += 1;
            if self.last_used.insert(*prefix, self.uses).is_none() {
                self.events.push(now, *prefix, true);
            }
        }
        self.shrink(now, capacity);
    }

    /// Drops the least recently used pieces above the capacity.
    ///
    /// # Panics
    ///
    /// Panics if the cache is above its capacity but holds no piece.
    pub fn shrink(&mut self, now: clock::Millis, capacity: u64) {
        while self.pieces() > capacity {
            let oldest = self.last_used.iter().min_by_key(|(_, used)| **used);
            let prefix = *oldest.expect("a cache above its capacity holds a piece").0;
            self.last_used.remove(&prefix);
            self.events.push(now, prefix, false);
        }
    }

    /// Returns the events above a number that are old enough to be published.
    pub fn events(
        &self,
        after: u64,
        published: clock::Millis,
        gap_percent: u64,
    ) -> wire::CacheEvents {
        let events = self.events.kept.iter();
        let shown = events
            .filter(|(at, event)| *at <= published && event.number > after)
            .filter(|(_, event)| !is_gap(event.number, gap_percent))
            .map(|(_, event)| event.clone());
        wire::CacheEvents {
            events: shown.collect(),
        }
    }
}

fn is_gap(number: u64, gap_percent: u64) -> bool {
    xxhash_rust::xxh3::xxh3_64(&number.to_le_bytes()) % 100 < gap_percent
}

#[derive(Debug, Default)]
struct EventLog {
    kept: collections::VecDeque<(clock::Millis, wire::CacheEvent)>,
    last: u64,
}

impl EventLog {
    fn push(&mut self, now: clock::Millis, prefix: u64, stored: bool) {
        self.last += 1;
        let event = wire::CacheEvent {
            number: self.last,
            prefix,
            stored,
        };
        self.kept.push_back((now, event));
        if self.kept.len() > KEPT_EVENTS {
            self.kept.pop_front();
        }
    }
}
