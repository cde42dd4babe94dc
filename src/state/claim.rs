//! The claims of non-idempotent calls.
//!
//! A claim is committed before its call is sent, so that another request with the same key never
//! sends it again. Time does not exist in a replicated state machine; the leader moves the age of
//! the claims on with [`command::Command::Advance`]. While there is no leader, claims do not age,
//! so that they live longer than [`CLAIM_AGE`], never shorter.

use crate::clock;
use crate::id;
use crate::macros;
use crate::sorted;
use crate::state::command;

/// The time after which a claim is dropped, counted from its last change.
pub const CLAIM_AGE: clock::Millis = clock::Millis::from_secs(24 * 3600);

/// The most time that one [`command::Command::Advance`] adds; more is cut off.
pub const MAX_ADVANCE: clock::Millis = clock::Millis::from_secs(120);

/// The largest body of an answer that is kept for resends, in bytes.
pub const STORED_ANSWER_BYTES: usize = 64 << 10;

/// The bytes of bodies that are kept for resends, over all claims.
pub const STORED_TOTAL_BYTES: usize = 64 << 20;

/// The most claims that are held.
pub const CLAIMS: usize = 500_000;

macros::data! {
    /// All claims that are held.
    #[derive(Default)]
    pub struct Claims {
        now: clock::Millis,
        stored_bytes: usize,
        records: sorted::Map<command::ClaimKey, Record>,
    }
}

macros::data! {
    struct Record {
        claim: command::Claim,
        changed: clock::Millis,
        end: End,
    }
}

macros::data! {
    enum End {
        Running,
        Ran(command::StoredAnswer),
        RanNotKept,
        /// The gateway reported that it can't know, or died.
        Unknown,
    }
}

impl Claims {
    /// Returns the number of claims held.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Tells whether no claim is held.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Claims a call, or tells how the claim that is there stands.
    pub fn claim(&mut self, claim: &command::Claim) -> command::Answer {
        if let Some(record) = self.records.get(&claim.key) {
            return record.answer_to(claim);
        }
        if self.records.len() >= CLAIMS {
            return command::Answer::ClaimsFull;
        }
        let record = Record {
            claim: claim.clone(),
            changed: self.now,
            end: End::Running,
        };
        self.records.insert(claim.key.clone(), record);
        command::Answer::Claimed
    }

    /// Records the end of a call; returns `false` when the request does not hold the claim.
    ///
    /// The request that holds the claim may still tell the end after its gateway was given up.
    pub fn settle(&mut self, settlement: &command::Settlement) -> bool {
        let Some(record) = self.records.get_mut(&settlement.key) else {
            return false;
        };
        let open = matches!(record.end, End::Running | End::Unknown);
        if record.claim.request != settlement.request || !open {
            return false;
        }
        if settlement.end == command::ClaimEnd::NotRun {
            self.records.remove(&settlement.key);
            return true;
        }
        record.changed = self.now;
        record.end = End::from_claim_end(&settlement.end, self.stored_bytes);
        self.stored_bytes += record.end.stored_bytes();
        true
    }

    /// Marks the running claims of a gateway as ones of unknown end, but for those of `alive`.
    pub fn lose(&mut self, gateway: &id::InstanceId, alive: Option<id::Incarnation>) {
        for record in self.records.values_mut() {
            let dead = record.claim.gateway == *gateway && Some(record.claim.incarnation) != alive;
            if dead && record.end == End::Running {
                record.changed = self.now;
                record.end = End::Unknown;
            }
        }
    }

    /// Moves the age of all claims on, and drops those older than [`CLAIM_AGE`].
    pub fn advance(&mut self, time: clock::Millis) {
        self.now = self.now + time.min(MAX_ADVANCE);
        let now = self.now;
        self.records.retain(|_, r| now - r.changed < CLAIM_AGE);
        self.count_stored_bytes();
    }

    /// Removes claims, whatever their age.
    pub fn remove(&mut self, keys: &[command::ClaimKey]) {
        for key in keys {
            self.records.remove(key);
        }
        self.count_stored_bytes();
    }

    fn count_stored_bytes(&mut self) {
        self.stored_bytes = self.records.values().map(|r| r.end.stored_bytes()).sum();
        assert!(self.stored_bytes <= STORED_TOTAL_BYTES);
    }
}

impl Record {
    fn answer_to(&self, claim: &command::Claim) -> command::Answer {
        if self.claim.digest != claim.digest {
            return command::Answer::KeyReused;
        }
        match &self.end {
            End::Ran(answer) => command::Answer::Ran(answer.clone()),
            End::RanNotKept => command::Answer::RanNotKept,
            End::Unknown => command::Answer::Unknown,
            End::Running if self.claim.request == claim.request => command::Answer::Claimed,
            End::Running => command::Answer::Running,
        }
    }
}

impl End {
    fn from_claim_end(end: &command::ClaimEnd, stored_bytes: usize) -> Self {
        match end {
            command::ClaimEnd::Ran(answer) => {
                let size = answer.body.len();
                let fits = size <= STORED_ANSWER_BYTES && stored_bytes + size <= STORED_TOTAL_BYTES;
                if fits {
                    Self::Ran(answer.clone())
                } else {
                    Self::RanNotKept
                }
            }
            command::ClaimEnd::NotRun | command::ClaimEnd::Unknown => Self::Unknown,
        }
    }

    fn stored_bytes(&self) -> usize {
        match self {
            Self::Ran(answer) => answer.body.len(),
            Self::Running | Self::RanNotKept | Self::Unknown => 0,
        }
    }
}
