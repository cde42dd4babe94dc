//! The prefix cache of an engine, and the events about its changes, which are published late and
//! with gaps.

use std::collections;

use buckthorncleat::backend::wire;
use buckthorncleat::clock;
use buckthorncleat::sorted;
use buckthorncleat::unit;

/// How many events are kept for readers; older ones are dropped.
const MAX_KEPT_EVENTS: usize = 4096;

/// A cache of full pieces of prompts, which evicts the least recently used first.
#[derive(Debug, Default)]
pub struct PrefixCache {
    last_used: sorted::Map<u64, u64>,
    uses: u64,
    events: EventLog,
}

impl PrefixCache {
    /// Returns the memory in use, in pieces.
    pub fn pieces(&self) -> u64 {
        self.last_used.len() as u64
    }

    /// Returns how many tokens at the start of a prompt are cached. `prefixes` are the digests of
    /// the prompt's prefixes, the shortest first.
    pub fn cached(&self, prefixes: &[u64]) -> unit::Tokens {
        let pieces = prefixes.iter().take_while(|p| self.last_used.contains(p));
        unit::Tokens::new(pieces.count() as u64 * unit::PIECE_TOKENS)
    }

    /// Stores the pieces of a prompt, and evicts old ones above `capacity` pieces.
    pub fn store(&mut self, now: clock::Millis, prefixes: &[u64], capacity: u64) {
        // The shortest prefix is marked as used last, so that it is evicted after the longer ones,
        // which are of no use without it.
        for prefix in prefixes.iter().rev() {
            self.uses += 1;
            if self.last_used.insert(*prefix, self.uses).is_none() {
                self.events.push(now, *prefix, true);
            }
        }
        self.shrink(now, capacity);
    }

    /// Evicts the least recently used pieces above `capacity` pieces.
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

    /// Returns the events with a number above `after` that happened at `published_until` or before,
    /// without the `gap_percent` of them that are never published.
    pub fn events(
        &self,
        after: u64,
        published_until: clock::Millis,
        gap_percent: u64,
    ) -> wire::CacheEvents {
        let events = self.events.kept.iter();
        let visible = events
            .filter(|(at, event)| *at <= published_until && event.number > after)
            .filter(|(_, event)| !is_gap(event.number, gap_percent))
            .map(|(_, event)| event.clone());
        wire::CacheEvents {
            events: visible.collect(),
        }
    }
}

fn is_gap(number: u64, gap_percent: u64) -> bool {
    xxhash_rust::xxh3::xxh3_64(&number.to_le_bytes()) % 100 < gap_percent
}

#[derive(Debug, Default)]
struct EventLog {
    kept: collections::VecDeque<(clock::Millis, wire::CacheEvent)>,
    last_number: u64,
}

impl EventLog {
    fn push(&mut self, now: clock::Millis, prefix: u64, stored: bool) {
        self.last_number += 1;
        let event = wire::CacheEvent {
            number: self.last_number,
            prefix,
            stored,
        };
        self.kept.push_back((now, event));
        if self.kept.len() > MAX_KEPT_EVENTS {
            self.kept.pop_front();
        }
    }
}
