//! Where each request stands in a history.

use crate::id;
use crate::sorted;

/// The sorted vectors over which the requests are spread, to keep insertions short.
const SHARDS: usize = 64;

/// Places by request; request ids are random, so their low bits spread them evenly.
#[derive(Clone, Debug)]
pub struct Places {
    shards: Vec<sorted::Map<id::RequestId, u64>>,
}

impl Default for Places {
    fn default() -> Self {
        Self::new()
    }
}

impl Places {
    /// Makes an empty index.
    pub fn new() -> Self {
        Self {
            shards: vec![sorted::Map::new(); SHARDS],
        }
    }

    /// Finds the place of a request.
    pub fn get(&self, request: id::RequestId) -> Option<u64> {
        self.shards[shard_of(request)].get(&request).copied()
    }

    /// Sets the place of a request and returns the one before.
    pub fn insert(&mut self, request: id::RequestId, place: u64) -> Option<u64> {
        self.shards[shard_of(request)].insert(request, place)
    }

    /// Removes a request.
    pub fn remove(&mut self, request: id::RequestId) {
        self.shards[shard_of(request)].remove(&request);
    }
}

fn shard_of(request: id::RequestId) -> usize {
    (request.as_u128() % SHARDS as u128) as usize
}
