//! The JSON bodies of the admin interface.

use crate::event;
use crate::id;
use crate::macros;
use crate::replica::group;
use crate::sorted;
use crate::state::audit;
use crate::state::change;
use crate::state::check;
use crate::state::model;
use crate::state::subject;

macros::data! {
    /// All things of one kind, at one revision.
    pub struct Listing<T> {
        /// The revision of the configuration that was read.
        pub revision: id::Revision,
        /// The things, ordered by name.
        pub items: Vec<T>,
    }
}

macros::data! {
    /// One thing, at one revision.
    pub struct Single<T> {
        /// The revision of the configuration that was read.
        pub revision: id::Revision,
        /// The thing.
        pub item: T,
    }
}

macros::data! {
    /// A quarantined request.
    pub struct Quarantined {
        /// The fingerprint of the request, in hex.
        pub fingerprint: String,
        /// The revision that quarantined it.
        pub since: id::Revision,
    }
}

macros::data! {
    /// The answer to a change that is committed.
    pub struct Written {
        /// The revision that the change made, or the present one when it made no difference.
        pub revision: id::Revision,
    }
}

macros::data! {
    /// Changes to make together or not at all.
    #[serde(deny_unknown_fields)]
    pub struct Changes {
        /// The changes, in order.
        pub changes: Vec<change::Change>,
    }
}

macros::data! {
    /// The whole configuration.
    #[derive(Default)]
    pub struct Config {
        /// The revision of the configuration.
        pub revision: id::Revision,
        /// The epoch of the membership.
        pub epoch: id::Epoch,
        /// The client accounts.
        pub accounts: Vec<model::ClientAccount>,
        /// The keys; never their secrets.
        pub keys: Vec<model::Key>,
        /// The models.
        pub models: Vec<model::Model>,
        /// The backend servers.
        pub servers: Vec<model::BackendServer>,
        /// The routes.
        pub routes: Vec<model::Route>,
        /// The entry instances with a live session.
        pub members: Vec<model::Member>,
        /// The quarantined requests.
        pub quarantined: Vec<Quarantined>,
    }
}

impl Config {
    /// Copies the configuration in force.
    pub fn from_config(config: &change::Config) -> Self {
        Self {
            revision: config.revision,
            epoch: config.epoch,
            accounts: config.accounts.values().cloned().collect(),
            keys: config.keys.values().cloned().collect(),
            models: config.models.values().cloned().collect(),
            servers: config.servers.values().cloned().collect(),
            routes: config.routes.values().cloned().collect(),
            members: config.members.values().cloned().collect(),
            quarantined: quarantined(config),
        }
    }

    /// Rebuilds what operators put into the configuration; members and quarantine are left out.
    pub fn to_config(&self) -> change::Config {
        let by_hash = |key: &model::Key| (key.hash, key.id.clone());
        change::Config {
            revision: self.revision,
            epoch: self.epoch,
            accounts: by_id(&self.accounts, |a| a.id.clone()),
            keys: by_id(&self.keys, |k| k.id.clone()),
            key_hashes: self.keys.iter().map(by_hash).collect(),
            models: by_id(&self.models, |m| m.id.clone()),
            servers: by_id(&self.servers, |s| s.id.clone()),
            routes: by_id(&self.routes, |r| r.id.clone()),
            ..change::Config::default()
        }
    }
}

/// Lists the quarantined requests.
pub fn quarantined(config: &change::Config) -> Vec<Quarantined> {
    let pairs = config.quarantined.iter();
    pairs
        .map(|(fingerprint, since)| Quarantined {
            fingerprint: fingerprint.to_string(),
            since: *since,
        })
        .collect()
}

fn by_id<K: Ord, V: Clone>(values: &[V], id: impl Fn(&V) -> K) -> sorted::Map<K, V> {
    values.iter().map(|v| (id(v), v.clone())).collect()
}

macros::data! {
    /// What a control member knows of its group and the configuration.
    pub struct Status {
        /// The control group as this member sees it.
        pub group: group::Status,
        /// The revision applied at this member.
        pub revision: id::Revision,
        /// The epoch of the membership.
        pub epoch: id::Epoch,
        /// The number of claims of non-idempotent calls that are held.
        pub claims: usize,
    }
}

macros::data! {
    /// Events of one process.
    pub struct Events {
        /// The events, oldest first.
        pub events: Vec<event::Event>,
    }
}

macros::data! {
    /// Entries of the audit trail.
    pub struct Audit {
        /// The entries, oldest first.
        pub entries: Vec<audit::Entry>,
    }
}

macros::data! {copy
    /// Why a request was refused.
    #[serde(rename_all = "kebab-case")]
    pub enum Reason {
        /// The request is malformed, or the change is not allowed.
        BadRequest,
        /// No operator's token came with the request.
        Unauthorised,
        /// The path or the thing does not exist.
        NotFound,
        /// The path does not take the method.
        MethodNotAllowed,
        /// The body took too long.
        Timeout,
        /// The operation id was used for another request.
        OperationReused,
        /// The configuration changed since it was read.
        Conflict,
        /// The body is too large.
        TooLarge,
        /// This member can't answer now; another may, or this one later.
        ///
        /// A change may be committed nevertheless: send it again under the same operation id.
        Unavailable,
        /// The member is at fault.
        Internal,
    }
}

macros::data! {
    /// The body of every refusal.
    pub struct Problem {
        /// Why the request was refused.
        pub reason: Reason,
        /// What is wrong, in words, with the remedy.
        pub message: String,
        /// Each fault, when the change is not allowed.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub faults: Vec<check::Fault>,
        /// The current revision, after a conflict.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub revision: Option<id::Revision>,
        /// What changed since the expected revision, oldest first, after a conflict.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub changed: Vec<subject::Subject>,
        /// The member that leads, when this one does not and knows it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub leader: Option<id::InstanceId>,
    }
}

impl Problem {
    /// Makes a problem without particulars.
    pub fn new(reason: Reason, message: impl Into<String>) -> Self {
        Self {
            reason,
            message: message.into(),
            faults: Vec::new(),
            revision: None,
            changed: Vec::new(),
            leader: None,
        }
    }
}
