//! Tracks which pieces of prompts the prefill servers likely have in their prefix caches.

/// The number of buckets of the map; the low bits of a digest select one.
const BUCKET_COUNT: usize = 256;

/// The most entries of a bucket; beyond, its least recently used half is evicted.
const MAX_BUCKET_ENTRIES: usize = 512;

/// The number of servers that a bit mask can hold.
pub const MAX_SERVERS: usize = 64;

#[derive(Clone, Copy, Debug)]
struct Entry {
    digest: u64,
    servers: u64,
    last_used: u64,
}

/// A map from digests of prompt pieces to the servers that likely cache them.
#[derive(Clone, Debug)]
pub struct Map {
    buckets: Vec<Vec<Entry>>,
    uses: u64,
}

impl Default for Map {
    fn default() -> Self {
        Self {
            buckets: vec![Vec::new(); BUCKET_COUNT],
            uses: 0,
        }
    }
}

impl Map {
    /// Records that a server caches a piece.
    pub fn insert(&mut self, server: usize, digest: u64) {
        let Some(bit) = bit_of(server) else { return };
        self.uses += 1;
        let last_used = self.uses;
        let bucket = &mut self.buckets[bucket_of(digest)];
        match bucket.binary_search_by_key(&digest, |e| e.digest) {
            Ok(at) => {
                bucket[at].servers |= bit;
                bucket[at].last_used = last_used;
            }
            Err(at) => {
                let entry = Entry {
                    digest,
                    servers: bit,
                    last_used,
                };
                bucket.insert(at, entry);
            }
        }
        if bucket.len() > MAX_BUCKET_ENTRIES {
            evict_least_recently_used_half(bucket);
        }
    }

    /// Records that a server no longer caches a piece.
    pub fn remove(&mut self, server: usize, digest: u64) {
        let Some(bit) = bit_of(server) else { return };
        let bucket = &mut self.buckets[bucket_of(digest)];
        let Ok(at) = bucket.binary_search_by_key(&digest, |e| e.digest) else {
            return;
        };
        bucket[at].servers &= !bit;
        if bucket[at].servers == 0 {
            bucket.remove(at);
        }
    }

    /// Removes a server from all entries.
    pub fn remove_server(&mut self, server: usize) {
        let Some(bit) = bit_of(server) else { return };
        for bucket in &mut self.buckets {
            bucket.iter_mut().for_each(|e| e.servers &= !bit);
            bucket.retain(|e| e.servers != 0);
        }
    }

    /// Returns, for each leading piece of a prompt, a bit mask of the servers that cache it and all
    /// pieces before it. Stops at the first piece without such a server.
    pub fn lookup(&self, prefix: &[u64]) -> Vec<u64> {
        let mut mask = u64::MAX;
        let mut masks = Vec::with_capacity(prefix.len());
        for digest in prefix {
            mask &= self.servers_of(*digest);
            if mask == 0 {
                break;
            }
            masks.push(mask);
        }
        masks
    }

    fn servers_of(&self, digest: u64) -> u64 {
        let bucket = &self.buckets[bucket_of(digest)];
        bucket
            .binary_search_by_key(&digest, |e| e.digest)
            .map_or(0, |at| bucket[at].servers)
    }
}

/// Returns how many leading pieces a server caches, by the masks that [`Map::lookup`] returned.
pub fn cached_pieces(masks: &[u64], server: usize) -> usize {
    let Some(bit) = bit_of(server) else { return 0 };
    masks.iter().take_while(|mask| *mask & bit != 0).count()
}

fn bit_of(server: usize) -> Option<u64> {
    (server < MAX_SERVERS).then(|| 1 << server)
}

fn bucket_of(digest: u64) -> usize {
    digest as usize % BUCKET_COUNT
}

fn evict_least_recently_used_half(bucket: &mut Vec<Entry>) {
    let mut last_uses: Vec<u64> = bucket.iter().map(|e| e.last_used).collect();
    last_uses.sort_unstable();
    let median = last_uses[last_uses.len() / 2];
    bucket.retain(|e| e.last_used >= median);
}
