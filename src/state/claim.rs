//! Claims of non-idempotent calls.
//!
//! A claim is committed before its call is sent, so that another request with the same key never
//! sends it again. A replicated state machine can't read a clock; the leader advances the age of
//! the claims with [`command::Command::Advance`]. While there is no leader, claims do not age:
//! they may be kept for longer than [`CLAIM_TTL`], never for less.

use crate::clock;
use crate::id;
use crate::macros;
use crate::sorted;
use crate::state::command;

/// Time after its last change at which a claim is dropped.
pub const CLAIM_TTL: clock::Millis = clock::Millis::from_secs(24 * 3600);

/// Age below which no claim is evicted to make room for another.
pub const MIN_EVICTION_AGE: clock::Millis = clock::Millis::from_secs(3600);

/// Most time that one [`command::Command::Advance`] adds; a longer one is cut to this.
pub const MAX_ADVANCE: clock::Millis = clock::Millis::from_secs(120);

/// Largest answer body that is kept for resends.
pub const MAX_STORED_ANSWER_BYTES: usize = 64 << 10;

/// Total size of the answer bodies that are kept for resends, over all claims.
pub const MAX_STORED_TOTAL_BYTES: usize = 32 << 20;

pub const MAX_CLAIMS: usize = 200_000;

/// Number of sorted vectors that the claims are spread over by the hash of their key.
const SHARDS: usize = 1024;

macros::data! {
    /// All claims that are held.
    pub struct Claims {
        /// The sum of all advances; claims age by it.
        now: clock::Millis,
        count: usize,
        stored_bytes: usize,
        shards: Vec<sorted::Map<command::ClaimKey, Record>>,
    }
}

macros::data! {
    struct Record {
        claim: command::Claim,
        changed: clock::Millis,
        status: Status,
    }
}

macros::data! {
    enum Status {
        Running,
        Ran(command::StoredAnswer),
        RanNotKept,
        /// The gateway reported that it can't know, or was removed or replaced.
        Unknown,
    }
}

impl Default for Claims {
    fn default() -> Self {
        Self {
            now: clock::Millis::ZERO,
            count: 0,
            stored_bytes: 0,
            shards: (0..SHARDS).map(|_| sorted::Map::new()).collect(),
        }
    }
}

impl Claims {
    pub fn len(&self) -> usize {
        self.count
    }

    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Claims a call, or returns the state of the claim that already exists.
    ///
    /// # Panics
    ///
    /// Panics if a new claim replaces one that is held.
    pub fn claim(&mut self, claim: &command::Claim) -> command::Answer {
        if let Some(record) = self.shard(&claim.key).get(&claim.key) {
            return record.answer_to(claim);
        }
        if self.count >= MAX_CLAIMS {
            self.evict_settled();
        }
        if self.count >= MAX_CLAIMS {
            return command::Answer::ClaimsFull;
        }
        let record = Record {
            claim: claim.clone(),
            changed: self.now,
            status: Status::Running,
        };
        let replaced = self.shard(&claim.key).insert(claim.key.clone(), record);
        assert!(replaced.is_none(), "a call is claimed once");
        self.count += 1;
        command::Answer::Claimed
    }

    /// Records the outcome of a call; returns `false` when the request holds no unsettled claim.
    ///
    /// The request that holds the claim may still settle it after its gateway was removed from the
    /// membership.
    pub fn settle(&mut self, settlement: &command::Settlement) -> bool {
        let (now, stored) = (self.now, self.stored_bytes);
        let shard = self.shard(&settlement.key);
        let Some(record) = shard.get_mut(&settlement.key) else {
            return false;
        };
        let is_unsettled = matches!(record.status, Status::Running | Status::Unknown);
        if record.claim.request != settlement.request || !is_unsettled {
            return false;
        }
        if settlement.outcome == command::ClaimOutcome::NotRun {
            shard.remove(&settlement.key);
            self.count -= 1;
            return true;
        }
        record.changed = now;
        record.status = Status::from_claim_outcome(&settlement.outcome, stored);
        let size = record.status.stored_bytes();
        self.stored_bytes += size;
        true
    }

    /// Sets the running claims of a gateway to an unknown outcome, except those of the incarnation
    /// `alive`.
    pub fn mark_unknown(&mut self, gateway: &id::InstanceId, alive: Option<id::Incarnation>) {
        let now = self.now;
        for record in self.shards.iter_mut().flat_map(sorted::Map::values_mut) {
            let is_lost =
                record.claim.gateway == *gateway && Some(record.claim.incarnation) != alive;
            if is_lost && record.status == Status::Running {
                record.changed = now;
                record.status = Status::Unknown;
            }
        }
    }

    /// Adds `time` to the age of all claims and drops those that reach [`CLAIM_TTL`].
    pub fn advance(&mut self, time: clock::Millis) {
        self.now = self.now + time.min(MAX_ADVANCE);
        let now = self.now;
        self.retain(|record| now - record.changed < CLAIM_TTL);
    }

    /// Removes the named claims, whatever their age.
    pub fn remove(&mut self, keys: &[command::ClaimKey]) {
        for key in keys {
            self.shard(key).remove(key);
        }
        self.recount();
    }

    /// Drops settled claims that have at least half the age of the oldest settled one, but none
    /// younger than [`MIN_EVICTION_AGE`].
    fn evict_settled(&mut self) {
        let now = self.now;
        let settled = self.records().filter(|r| r.status != Status::Running);
        let oldest = settled.map(|r| now - r.changed).max().unwrap_or_default();
        let limit = MIN_EVICTION_AGE.max(clock::Millis::new(oldest.as_u64() / 2));
        self.retain(|record| record.status == Status::Running || now - record.changed < limit);
    }

    fn retain(&mut self, retain: impl Fn(&Record) -> bool) {
        for shard in &mut self.shards {
            shard.retain(|_, record| retain(record));
        }
        self.recount();
    }

    fn recount(&mut self) {
        self.count = self.shards.iter().map(sorted::Map::len).sum();
        self.stored_bytes = self.records().map(|r| r.status.stored_bytes()).sum();
        assert!(self.count <= MAX_CLAIMS);
        assert!(self.stored_bytes <= MAX_STORED_TOTAL_BYTES);
    }

    fn records(&self) -> impl Iterator<Item = &Record> {
        self.shards.iter().flat_map(sorted::Map::values)
    }

    fn shard(&mut self, key: &command::ClaimKey) -> &mut sorted::Map<command::ClaimKey, Record> {
        let mut hasher = xxhash_rust::xxh3::Xxh3::new();
        hasher.update(key.owner.as_bytes());
        hasher.update(&[0]);
        hasher.update(key.key.as_bytes());
        &mut self.shards[hasher.digest() as usize % SHARDS]
    }
}

impl Record {
    fn answer_to(&self, claim: &command::Claim) -> command::Answer {
        if self.claim.digest != claim.digest {
            return command::Answer::KeyReused;
        }
        match &self.status {
            Status::Ran(answer) => command::Answer::Ran(answer.clone()),
            Status::RanNotKept => command::Answer::RanNotKept,
            Status::Unknown => command::Answer::Unknown,
            Status::Running if self.claim.request == claim.request => command::Answer::Claimed,
            Status::Running => command::Answer::Running,
        }
    }
}

impl Status {
    fn from_claim_outcome(outcome: &command::ClaimOutcome, stored_bytes: usize) -> Self {
        match outcome {
            command::ClaimOutcome::Ran(answer) => {
                let size = answer.body.len();
                let fits = size <= MAX_STORED_ANSWER_BYTES
                    && stored_bytes + size <= MAX_STORED_TOTAL_BYTES;
                if fits {
                    Self::Ran(answer.clone())
                } else {
                    Self::RanNotKept
                }
            }
            command::ClaimOutcome::NotRun | command::ClaimOutcome::Unknown => Self::Unknown,
        }
    }

    fn stored_bytes(&self) -> usize {
        match self {
            Self::Ran(answer) => answer.body.len(),
            Self::Running | Self::RanNotKept | Self::Unknown => 0,
        }
    }
}
