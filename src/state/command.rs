//! Commands of the replicated log, their answers, and the state machine that applies them.

use crate::clock;
use crate::error;
use crate::id;
use crate::macros;
use crate::sorted;
use crate::state::change;

macros::data! {
    /// One entry of the replicated log.
    pub enum Command {
        /// Changes the configuration on behalf of an operator.
        Operate(Operation),
        /// Changes the membership or the quarantine on behalf of the system itself.
        System(Vec<change::Change>),
        /// Claims a non-idempotent call before it is sent to a backend server.
        Claim(Claim),
        /// Records how a claimed call ended.
        Settle(Settlement),
        /// Removes claims that were settled or claimed more than their age ago.
        ExpireClaims(Vec<ClaimKey>),
    }
}

macros::data! {
    /// A change asked for by an operator.
    pub struct Operation {
        /// The operator's name of this request; a resend carries the same.
        pub id: id::OperationId,
        /// The operator, for the audit trail.
        pub operator: String,
        /// The revision that the operator saw, or `None` to change whatever is there.
        pub expected: Option<id::Revision>,
        /// The changes, applied together or not at all.
        pub changes: Vec<change::Change>,
        /// The digest of the request, to tell a resend from another request of the same name.
        pub digest: u64,
    }
}

macros::data! {key
    /// The identity of a claimed call: the account and the caller's idempotency key.
    pub struct ClaimKey {
        /// The account that calls, or the open route's name for callers without a key.
        pub owner: String,
        /// The value of the `Idempotency-Key` header.
        pub key: String,
    }
}

macros::data! {
    /// The intent to send a non-idempotent call once.
    pub struct Claim {
        /// The identity of the call.
        pub key: ClaimKey,
        /// The digest of method, path and body; another call must not reuse the key.
        pub digest: u64,
        /// The request that claims, to tell its own resend from another request.
        pub request: id::RequestId,
        /// The gateway that claims.
        pub gateway: id::InstanceId,
        /// The life of that gateway.
        pub incarnation: id::Incarnation,
    }
}

macros::data! {
    /// How a claimed call ended.
    pub struct Settlement {
        /// The identity of the call.
        pub key: ClaimKey,
        /// The request that claimed it.
        pub request: id::RequestId,
        /// The end of the call.
        pub end: ClaimEnd,
    }
}

macros::data! {
    /// The end of a claimed call.
    pub enum ClaimEnd {
        /// It ran; resends get this answer.
        Ran(StoredAnswer),
        /// It surely did not run; the claim is dropped, a resend may run.
        NotRun,
        /// Nobody knows; resends are told so and never run.
        Unknown,
    }
}

macros::data! {
    /// An answer kept for resends of a claimed call.
    pub struct StoredAnswer {
        /// The HTTP status.
        pub status: u16,
        /// The content type.
        pub content_type: String,
        /// The body.
        pub body: Vec<u8>,
    }
}

macros::data! {
    /// The answer to an applied command.
    pub enum Answer {
        /// The configuration now has this revision.
        Done(id::Revision),
        /// The operator's expected revision is not the current one.
        Conflict {
            /// The current revision.
            current: id::Revision,
            /// What is wrong.
            reason: String,
        },
        /// The claim is new: the call may be sent now.
        Claimed,
        /// The call is claimed by another request that still runs.
        Running,
        /// The call ran before; this was its answer.
        Ran(StoredAnswer),
        /// The call may have run; it will not be sent again.
        Unknown,
        /// The idempotency key was used for another call.
        KeyReused,
    }
}

macros::data! {
    /// The state that every control member holds.
    #[derive(Default)]
    pub struct State {
        config: change::Config,
        history: Vec<change::Commit>,
        operations: sorted::Map<id::OperationId, OperationRecord>,
        claims: sorted::Map<ClaimKey, ClaimRecord>,
    }
}

macros::data! {
    struct OperationRecord {
        digest: u64,
        revision: id::Revision,
        answer: Answer,
    }
}

macros::data! {
    struct ClaimRecord {
        claim: Claim,
        end: Option<ClaimEnd>,
    }
}

/// The time after which a claim is dropped.
pub const CLAIM_AGE: clock::Millis = clock::Millis::from_secs(24 * 3600);

/// The commits that are kept for gateways that catch up by changes.
pub const HISTORY_COMMITS: usize = 4096;

impl State {
    /// Returns the configuration in force.
    pub fn config(&self) -> &change::Config {
        &self.config
    }

    /// Returns the commits after `from`, or `None` when some are no longer kept.
    pub fn commits_after(&self, from: id::Revision) -> Option<&[change::Commit]> {
        let first = self.history.partition_point(|c| c.revision <= from);
        let rest = &self.history[first..];
        let complete = match rest.first() {
            Some(commit) => commit.revision == from.next(),
            None => from >= self.config.revision,
        };
        complete.then_some(rest)
    }

    /// Applies one command; the same commands in the same order give the same state.
    pub fn apply(&mut self, command: &Command) -> Answer {
        match command {
            Command::Operate(operation) => self.operate(operation),
            Command::System(changes) => Answer::Done(self.commit(changes)),
            Command::Claim(claim) => self.claim(claim),
            Command::Settle(settlement) => self.settle(settlement),
            Command::ExpireClaims(keys) => self.expire(keys),
        }
    }

    /// Encodes the whole state for a snapshot.
    ///
    /// # Errors
    ///
    /// Fails when the state can't be encoded, which points to a fault in the program.
    pub fn to_bytes(&self) -> error::Result<Vec<u8>> {
        postcard::to_stdvec(self)
            .map_err(|e| error::Error::damaged(format!("state: {e}"), "report this fault"))
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not a snapshot of this version.
    pub fn from_bytes(bytes: &[u8]) -> error::Result<Self> {
        postcard::from_bytes(bytes).map_err(|e| {
            error::Error::damaged(
                format!("snapshot: {e}"),
                "empty the data folder and let the member join again",
            )
        })
    }

    fn operate(&mut self, operation: &Operation) -> Answer {
        if let Some(record) = self.operations.get(&operation.id) {
            if record.digest == operation.digest {
                return record.answer.clone();
            }
            return self.conflict("the operation id was used for another request");
        }
        let answer = match operation.expected {
            Some(expected) if expected != self.config.revision => {
                self.conflict("the configuration changed since it was read")
            }
            _ => Answer::Done(self.commit(&operation.changes)),
        };
        let record = OperationRecord {
            digest: operation.digest,
            revision: self.config.revision,
            answer: answer.clone(),
        };
        self.operations.insert(operation.id.clone(), record);
        answer
    }

    fn conflict(&self, reason: &str) -> Answer {
        Answer::Conflict {
            current: self.config.revision,
            reason: reason.to_owned(),
        }
    }

    fn commit(&mut self, changes: &[change::Change]) -> id::Revision {
        if changes.is_empty() {
            return self.config.revision;
        }
        let commit = change::Commit {
            revision: self.config.revision.next(),
            changes: changes.to_vec(),
        };
        self.config.apply(&commit);
        self.history.push(commit);
        if self.history.len() > HISTORY_COMMITS {
            self.history.remove(0);
        }
        self.config.revision
    }

    fn claim(&mut self, claim: &Claim) -> Answer {
        let Some(record) = self.claims.get(&claim.key) else {
            let record = ClaimRecord {
                claim: claim.clone(),
                end: None,
            };
            self.claims.insert(claim.key.clone(), record);
            return Answer::Claimed;
        };
        if record.claim.digest != claim.digest {
            return Answer::KeyReused;
        }
        match &record.end {
            Some(ClaimEnd::Ran(answer)) => Answer::Ran(answer.clone()),
            Some(_) => Answer::Unknown,
            None if record.claim.request == claim.request => Answer::Claimed,
            None => Answer::Running,
        }
    }

    fn settle(&mut self, settlement: &Settlement) -> Answer {
        let Some(record) = self.claims.get_mut(&settlement.key) else {
            return Answer::Unknown;
        };
        if record.claim.request != settlement.request || record.end.is_some() {
            return Answer::Unknown;
        }
        if settlement.end == ClaimEnd::NotRun {
            self.claims.remove(&settlement.key);
        } else {
            record.end = Some(settlement.end.clone());
        }
        Answer::Done(self.config.revision)
    }

    fn expire(&mut self, keys: &[ClaimKey]) -> Answer {
        for key in keys {
            self.claims.remove(key);
        }
        Answer::Done(self.config.revision)
    }
}
