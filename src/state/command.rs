//! Commands of the replicated log, their answers, and the state machine that applies them.

use crate::clock;
use crate::document;
use crate::error;
use crate::fleet::allowance;
use crate::fleet::crashes;
use crate::fleet::evacuation;
use crate::fleet::known;
use crate::fleet::origin;
use crate::id;
use crate::macros;
use crate::peer::trailer;
use crate::state::audit;
use crate::state::change;
use crate::state::check;
use crate::state::claim;
use crate::state::operation;
use crate::state::subject;

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
        /// Removes the named claims, whatever their age.
        ExpireClaims(Vec<ClaimKey>),
        /// Adds the time since the leader's previous `Advance` to the age of all claims, at most
        /// [`claim::MAX_ADVANCE`].
        Advance(clock::Millis),
        /// Replaces the deployment's document if this one has a higher version.
        PutDocument(document::Packed),
        /// Records software versions and the streams that began at them.
        Origins(origin::Batch),
        /// Raises the feature level; a lower one than the current has no effect. Members of the first
        /// release can't read it.
        RaiseLevel(FeatureLevel),
        /// Starts the evacuation of a data centre. Members of the first release can't read it.
        StartEvacuation(id::DataCentre),
        /// Finishes the evacuation of a data centre. Members of the first release can't read it.
        FinishEvacuation(id::DataCentre),
        /// Records what client accounts may have used. Needs feature level 2.
        Allow(allowance::Batch),
        /// Changes the verdicts on what crashes backend servers. Needs feature level 2.
        Judge(Vec<crashes::Judgement>),
        /// Changes which servers the platform's list named. [`Self::to_bytes`] writes it so that members of
        /// earlier builds skip it.
        KnowServers(known::Change),
    }
}

macros::data! {
    /// A change asked for by an operator.
    pub struct Operation {
        /// Identifies the request; a resend carries the same id.
        pub id: id::OperationId,
        /// Recorded in the audit log.
        pub operator: String,
        /// The revision that the changes are based on, or `None` to apply them to any revision.
        ///
        /// Later changes by the system itself, such as to the membership, don't conflict.
        pub expected: Option<id::Revision>,
        /// The changes, applied together or not at all.
        pub changes: Vec<change::Change>,
        /// Digest of the request; tells a resend from another request with the same id.
        pub digest: u64,
        /// When the leader received the request, in milliseconds since 1970; recorded in
        /// the audit log.
        pub wall: u64,
    }
}

macros::data! {key
    /// The identity of a claimed call: the account and the caller's idempotency key.
    pub struct ClaimKey {
        /// The calling account, or the name of the open route for callers without a key.
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
        /// Digest of method, path and body; a call with another digest must not reuse the key.
        pub digest: u64,
        /// The request that makes the claim; tells its own resend from another request.
        pub request: id::RequestId,
        /// The gateway that makes the claim.
        pub gateway: id::InstanceId,
        /// The incarnation of that gateway; when it is removed or replaced by another incarnation,
        /// the outcome of its running claims becomes unknown.
        pub incarnation: id::Incarnation,
    }
}

macros::data! {
    /// How a claimed call ended.
    pub struct Settlement {
        /// The identity of the call.
        pub key: ClaimKey,
        /// The request that made the claim.
        pub request: id::RequestId,
        pub outcome: ClaimOutcome,
    }
}

macros::data! {
    /// Whether a claimed call ran.
    pub enum ClaimOutcome {
        /// It ran; resends get this answer.
        Ran(StoredAnswer),
        /// It certainly did not run; the claim is dropped and a resend may run.
        NotRun,
        /// It may have run; resends get that answer and never run.
        Unknown,
    }
}

macros::data! {
    /// An answer kept for resends of a claimed call.
    pub struct StoredAnswer {
        pub status: u16,
        pub content_type: String,
        pub body: Vec<u8>,
    }
}

macros::data! {
    /// The answer to an applied command.
    pub enum Answer {
        /// The configuration now has this revision.
        Done(id::Revision),
        /// An operator changed the configuration after the expected revision, or that revision does
        /// not exist yet.
        Conflict {
            current: id::Revision,
            /// The message for the operator.
            reason: String,
            /// What changed since the expected revision, oldest first; at most
            /// [`operation::MAX_CONFLICT_SUBJECTS`]. Empty when the history does not reach back to it.
            changed: Vec<subject::Subject>,
        },
        /// The operation id was already used for a different request.
        OperationReused,
        /// The changes failed their checks; nothing was changed.
        Refused(Vec<check::Fault>),
        /// The claim is new: the call may be sent now.
        Claimed,
        /// Another request holds the claim and its call is still running.
        Running,
        /// The call ran before; this was its answer.
        Ran(StoredAnswer),
        /// The call ran before; its answer was too large to keep.
        RanNotKept,
        /// The call may have run and is not sent again; also the answer to a settlement by a request
        /// that does not hold the claim.
        Unknown,
        /// Too many claims are held; the call must not be sent.
        ClaimsFull,
        /// The idempotency key was used for another call.
        KeyReused,
    }
}

macros::data! {copy
    /// The protocol version that all processes speak. Commands and messages of a later version are not
    /// used before the level is raised, so that the members of the version before can read the log.
    pub struct FeatureLevel(pub trailer::ProtocolVersion);
}

impl Default for FeatureLevel {
    fn default() -> Self {
        Self(trailer::FIRST)
    }
}

macros::data! {
    /// The state that is replicated to every member of the control group.
    #[derive(Default)]
    pub struct State {
        config: change::Config,
        /// The revision of the last change by an operator.
        operator_revision: id::Revision,
        history: Vec<change::Commit>,
        operations: operation::Operations,
        claims: claim::Claims,
        audit: audit::Log,
        /// The deployment's document, or `None` before the first one.
        document: Option<document::Packed>,
        /// Follows the other fields in a snapshot; one without it is of a former build.
        #[serde(skip)]
        origins: origin::Origins,
        /// In the trailer of a snapshot; one without it has [`trailer::FIRST`].
        #[serde(skip)]
        feature_level: FeatureLevel,
        /// In the trailer of a snapshot; one without it has none.
        #[serde(skip)]
        evacuations: evacuation::Evacuations,
        /// In the trailer of a snapshot.
        #[serde(skip)]
        allowances: allowance::Allowances,
        /// In the trailer of a snapshot.
        #[serde(skip)]
        verdicts: crashes::Verdicts,
        /// In the trailer of a snapshot.
        #[serde(skip)]
        known_servers: known::Known,
    }
}

impl Command {
    /// Encodes the command for the log.
    ///
    /// # Errors
    ///
    /// Fails when the command can't be encoded, which is a bug.
    pub fn to_bytes(&self) -> error::Result<Vec<u8>> {
        let Self::KnowServers(change) = self else {
            return postcard::to_stdvec(self).map_err(|e| {
                error::Error::damaged(format!("encoding a command: {e}"), "report this fault")
            });
        };
        let mut trailer = trailer::Trailer::new();
        trailer.add(trailer::section::KNOWN_SERVERS, change)?;
        trailer.append_to(&Self::Origins(origin::Batch::default()))
    }

    /// Decodes a command of the log, of a group at this feature level.
    ///
    /// # Errors
    ///
    /// Fails when this build can't read the command, or the level that it raises; the member must then
    /// stop.
    pub fn from_bytes(bytes: &[u8], level: FeatureLevel) -> error::Result<Self> {
        let command = postcard::from_bytes(bytes).map_err(|e| {
            let what = format!("a command in the log at feature level {}: {e}", level.0);
            unreadable(&what, level)
        })?;
        match command {
            Self::Origins(batch) if batch == origin::Batch::default() => {
                let (_, trailer): (Self, _) = trailer::Trailer::split(bytes)?;
                let change = trailer.get(trailer::section::KNOWN_SERVERS)?;
                Ok(change.map_or(Self::Origins(batch), Self::KnowServers))
            }
            Self::RaiseLevel(raised) if raised.0 > trailer::CURRENT => {
                Err(unreadable("the log from here on", raised))
            }
            command => Ok(command),
        }
    }
}

/// Makes the error for data that another build wrote.
fn unreadable(what: &str, level: FeatureLevel) -> error::Error {
    let remedy = format!(
        "this build speaks protocol version {} and the group is at feature level {}: install the \
         newest build that ran in the group and keep the data folder",
        trailer::CURRENT,
        level.0,
    );
    error::Error::unreadable(what, remedy)
}

/// Starts the snapshots of a group that has raised its feature level; the level follows. The first
/// release fails at it, because these bytes are no number and a snapshot of its own starts with one.
const NOT_FIRST: [u8; 10] = [0xff; 10];

/// Returns the feature level that a snapshot starts with, and what follows.
fn split_level(bytes: &[u8]) -> (FeatureLevel, &[u8]) {
    let level = bytes.strip_prefix(&NOT_FIRST);
    match level.and_then(|l| l.split_first_chunk()) {
        Some((level, rest)) => {
            let level = trailer::ProtocolVersion::new(u64::from_le_bytes(*level));
            (FeatureLevel(level), rest)
        }
        None => (FeatureLevel::default(), bytes),
    }
}

/// Commits kept in the history; a gateway that is further behind gets the whole configuration.
pub const MAX_HISTORY_COMMITS: usize = 4096;

impl State {
    pub fn config(&self) -> &change::Config {
        &self.config
    }

    /// Returns the deployment's document, or `None` before the first one.
    pub fn document(&self) -> Option<&document::Packed> {
        self.document.as_ref()
    }

    /// Returns the software versions at which streams began.
    pub fn origins(&self) -> &origin::Origins {
        &self.origins
    }

    /// Returns the protocol version that all processes speak.
    pub fn feature_level(&self) -> FeatureLevel {
        self.feature_level
    }

    /// Returns the evacuations of data centres.
    pub fn evacuations(&self) -> &evacuation::Evacuations {
        &self.evacuations
    }

    /// Returns what client accounts may have used.
    pub fn allowances(&self) -> &allowance::Allowances {
        &self.allowances
    }

    /// Returns the verdicts on what crashes backend servers.
    pub fn verdicts(&self) -> &crashes::Verdicts {
        &self.verdicts
    }

    /// Returns the servers that the platform's list named.
    pub fn known_servers(&self) -> &known::Known {
        &self.known_servers
    }

    pub fn audit(&self) -> &audit::Log {
        &self.audit
    }

    pub fn claims(&self) -> &claim::Claims {
        &self.claims
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

    /// Applies one command.
    ///
    /// The same commands in the same order give the same state and answers on every member.
    ///
    /// # Panics
    ///
    /// Panics if the command would lower the revision of the configuration.
    pub fn apply(&mut self, command: &Command) -> Answer {
        let before = self.config.revision;
        let answer = match command {
            Command::Operate(operation) => self.apply_operation(operation),
            Command::System(changes) => self.apply_system_changes(changes),
            Command::Claim(claim) => self.claims.claim(claim),
            Command::Settle(settlement) => self.settle(settlement),
            Command::ExpireClaims(keys) => {
                self.claims.remove(keys);
                Answer::Done(self.config.revision)
            }
            Command::Advance(time) => {
                self.claims.advance(*time);
                Answer::Done(self.config.revision)
            }
            Command::PutDocument(document) => self.put_document(document),
            Command::Origins(batch) => {
                self.origins.apply(batch);
                Answer::Done(self.config.revision)
            }
            Command::RaiseLevel(level) => {
                self.feature_level = self.feature_level.max(*level);
                Answer::Done(self.config.revision)
            }
            Command::StartEvacuation(data_centre) => self.start_evacuation(data_centre),
            Command::FinishEvacuation(data_centre) => {
                self.evacuations.finish(data_centre);
                Answer::Done(self.config.revision)
            }
            Command::Allow(batch) => {
                self.allowances.apply(batch);
                Answer::Done(self.config.revision)
            }
            Command::Judge(judgements) => {
                for judgement in judgements {
                    self.verdicts.apply(*judgement, self.config.revision);
                }
                Answer::Done(self.config.revision)
            }
            Command::KnowServers(change) => {
                self.known_servers.apply(change);
                Answer::Done(self.config.revision)
            }
        };
        assert!(self.config.revision >= before, "the revision decreased");
        answer
    }

    /// Encodes the whole state for a snapshot.
    ///
    /// The first release reads it as long as the feature level is the first one. After that it must
    /// not, since it would drop what the trailer holds.
    ///
    /// # Errors
    ///
    /// Fails when the state can't be encoded, which is a bug.
    pub fn to_bytes(&self) -> error::Result<Vec<u8>> {
        let mut trailer = trailer::Trailer::new();
        trailer.add(trailer::section::FEATURE_LEVEL, &self.feature_level)?;
        trailer.add(trailer::section::EVACUATIONS, &self.evacuations)?;
        trailer.add(trailer::section::QUOTAS, &self.allowances)?;
        trailer.add(trailer::section::VERDICTS, &self.verdicts)?;
        trailer.add(trailer::section::KNOWN_SERVERS, &self.known_servers)?;
        let state = trailer.append_to(&(self, &self.origins))?;
        if self.feature_level == FeatureLevel::default() {
            return Ok(state);
        }
        let mut buf = NOT_FIRST.to_vec();
        buf.extend(self.feature_level.0.as_u64().to_le_bytes());
        buf.extend(state);
        Ok(buf)
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not a snapshot that this build can read.
    pub fn from_bytes(bytes: &[u8]) -> error::Result<Self> {
        let (level, bytes) = split_level(bytes);
        if level.0 > trailer::CURRENT {
            return Err(unreadable("the snapshot", level));
        }
        let damaged = |e: postcard::Error| unreadable(&format!("the snapshot: {e}"), level);
        let (mut state, rest): (Self, _) = postcard::take_from_bytes(bytes).map_err(damaged)?;
        if !rest.is_empty() {
            let (origins, trailer) = trailer::Trailer::split(rest)?;
            state.origins = origins;
            let level = trailer.get(trailer::section::FEATURE_LEVEL)?;
            state.feature_level = level.unwrap_or_default();
            let evacuations = trailer.get(trailer::section::EVACUATIONS)?;
            state.evacuations = evacuations.unwrap_or_default();
            let allowances = trailer.get(trailer::section::QUOTAS)?;
            state.allowances = allowances.unwrap_or_default();
            let verdicts = trailer.get(trailer::section::VERDICTS)?;
            state.verdicts = verdicts.unwrap_or_default();
            let known = trailer.get(trailer::section::KNOWN_SERVERS)?;
            state.known_servers = known.unwrap_or_default();
        }
        Ok(state)
    }

    /// Replaces the document if the new one has a higher version.
    fn put_document(&mut self, document: &document::Packed) -> Answer {
        let current_version = self.document.as_ref().map(|d| d.version);
        if current_version < Some(document.version) {
            self.document = Some(document.clone());
        }
        assert!(
            self.document.as_ref().map(|d| d.version) >= current_version,
            "the version of the document never goes down"
        );
        Answer::Done(self.config.revision)
    }

    fn start_evacuation(&mut self, data_centre: &id::DataCentre) -> Answer {
        match self.evacuations.start(data_centre) {
            Ok(()) => Answer::Done(self.config.revision),
            Err(evacuation::TooMany) => Answer::Refused(vec![check::Fault {
                field: "evacuations".to_owned(),
                value: data_centre.to_string(),
                remedy: format!(
                    "finish another one; at most {} data centres are evacuated at once",
                    evacuation::MAX_EVACUATED
                ),
                missing: false,
            }]),
        }
    }

    fn apply_operation(&mut self, operation: &Operation) -> Answer {
        if let Some(answer) = self.operations.stored_answer(operation) {
            return answer;
        }
        let answer = self.apply_new_operation(operation);
        self.operations.record(operation, &answer);
        answer
    }

    fn apply_new_operation(&mut self, operation: &Operation) -> Answer {
        let expected = operation.expected.unwrap_or(self.config.revision);
        if expected < self.operator_revision || expected > self.config.revision {
            return self.conflict(expected);
        }
        let mut faults = check::check(&self.config, &operation.changes);
        faults.truncate(check::MAX_FAULTS);
        if !faults.is_empty() {
            return Answer::Refused(faults);
        }
        let changes = check::effective(&self.config, &operation.changes);
        if changes.is_empty() {
            return Answer::Done(self.config.revision);
        }
        let next = self.config.revision.next();
        self.audit.record(operation, &changes, next);
        self.operator_revision = self.commit(changes);
        assert_eq!(self.operator_revision, next);
        Answer::Done(next)
    }

    fn conflict(&self, expected: id::Revision) -> Answer {
        let reason = if expected > self.config.revision {
            "the expected revision does not exist yet"
        } else {
            "the configuration changed since it was read"
        };
        let since = self.commits_after(expected).unwrap_or_default();
        let subjects = since.iter().flat_map(|c| &c.changes);
        let subjects = subjects.map(subject::Subject::from_change);
        Answer::Conflict {
            current: self.config.revision,
            reason: reason.to_owned(),
            changed: subjects
                .filter(|s| s.kind != subject::Kind::Member)
                .take(operation::MAX_CONFLICT_SUBJECTS)
                .collect(),
        }
    }

    fn apply_system_changes(&mut self, changes: &[change::Change]) -> Answer {
        for change in changes {
            self.mark_claims_unknown(change);
        }
        if changes.is_empty() {
            return Answer::Done(self.config.revision);
        }
        Answer::Done(self.commit(changes.to_vec()))
    }

    /// Sets the running claims of a removed or replaced gateway process to an unknown outcome.
    fn mark_claims_unknown(&mut self, change: &change::Change) {
        match change {
            change::Change::RemoveMember(id) => self.claims.mark_unknown(id, None),
            change::Change::PutMember(member) => {
                self.claims
                    .mark_unknown(&member.id, Some(member.incarnation));
            }
            _ => {}
        }
    }

    fn commit(&mut self, changes: Vec<change::Change>) -> id::Revision {
        let commit = change::Commit {
            revision: self.config.revision.next(),
            changes,
        };
        for change in &commit.changes {
            if let change::Change::Release(fingerprint) = change {
                let judgement = crashes::Judgement::Clear(*fingerprint);
                self.verdicts.apply(judgement, commit.revision);
            }
        }
        let applied = self.config.apply(&commit);
        assert!(applied, "a commit of the next revision applies");
        self.history.push(commit);
        if self.history.len() > MAX_HISTORY_COMMITS {
            self.history.remove(0);
        }
        self.config.revision
    }

    fn settle(&mut self, settlement: &Settlement) -> Answer {
        if self.claims.settle(settlement) {
            Answer::Done(self.config.revision)
        } else {
            Answer::Unknown
        }
    }
}
