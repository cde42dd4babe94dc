//! An index of requests by their position in a history.

use crate::id;
use crate::sorted;

/// The number of sorted vectors over which the requests are spread, so that insertions stay cheap.
const SHARDS: usize = 64;

/// The position of each request. Request ids are random, so their low bits spread them evenly over
/// the shards.
#[derive(Clone, Debug)]
pub struct Positions {
    shards: Vec<sorted::Map<id::RequestId, u64>>,
}

impl Default for Positions {
    fn default() -> Self {
        Self::new()
    }
}

impl Positions {
    pub fn new() -> Self {
        Self {
            shards: vec![sorted::Map::new(); SHARDS],
        }
    }

    /// Returns the position of a request, if it is in the index.
    pub fn get(&self, request: id::RequestId) -> Option<u64> {
        self.shards[shard_of(request)].get(&request).copied()
    }

    /// Sets the position of a request and returns its previous one.
    pub fn insert(&mut self, request: id::RequestId, position: u64) -> Option<u64> {
        self.shards[shard_of(request)].insert(request, position)
    }

    pub fn remove(&mut self, request: id::RequestId) {
        self.shards[shard_of(request)].remove(&request);
    }
}

fn shard_of(request: id::RequestId) -> usize {
    (request.as_u128() % SHARDS as u128) as usize
}
