//! The JSON bodies of the admin interface.

use crate::event;
use crate::fleet::evacuation;
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
    /// All objects of one kind, at one revision.
    pub struct Listing<T> {
        /// The revision of the configuration at the read.
        pub revision: id::Revision,
        /// The objects, ordered by name.
        pub items: Vec<T>,
    }
}

macros::data! {
    /// One object, at one revision.
    pub struct Single<T> {
        /// The revision of the configuration at the read.
        pub revision: id::Revision,
        pub item: T,
    }
}

macros::data! {
    /// A request that is quarantined: no gateway sends it to a server.
    pub struct Quarantined {
        /// The fingerprint of the request, in hex.
        pub fingerprint: String,
        /// The revision at which it was quarantined.
        pub since: id::Revision,
    }
}

macros::data! {
    /// The data centres that are being evacuated, and how far that is in force.
    pub struct Evacuations {
        /// The revision of the evacuations.
        pub revision: evacuation::Revision,
        /// The data centres, ordered by name.
        pub items: Vec<id::DataCentre>,
        /// The number of routers that report to the leader.
        pub routers: usize,
        /// Those of them that have not reported this revision yet.
        pub behind: Vec<id::InstanceId>,
    }
}

macros::data! {
    /// The response to a change that is committed.
    pub struct Written {
        /// The revision that the change created, or the current one when the change had no effect.
        pub revision: id::Revision,
    }
}

macros::data! {
    /// Changes that are applied together or not at all.
    #[serde(deny_unknown_fields)]
    pub struct Changes {
        /// The changes, in the order in which they are applied.
        pub changes: Vec<change::Change>,
    }
}

macros::data! {
    /// The complete configuration.
    #[derive(Default)]
    pub struct Config {
        pub revision: id::Revision,
        /// The epoch of the membership of gateways.
        pub epoch: id::Epoch,
        pub accounts: Vec<model::ClientAccount>,
        /// The keys, with hashes of their secrets only.
        pub keys: Vec<model::Key>,
        pub models: Vec<model::Model>,
        pub servers: Vec<model::BackendServer>,
        pub routes: Vec<model::Route>,
        /// The gateways with a live session.
        pub members: Vec<model::Member>,
        pub quarantined: Vec<Quarantined>,
    }
}

impl Config {
    /// Copies the current configuration.
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

    /// Rebuilds the part of the configuration that operators write, without members and quarantine.
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

/// Lists the quarantined requests, ordered by fingerprint.
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
    /// A control group member's view of its group and of the configuration.
    pub struct Status {
        pub group: group::Status,
        /// The revision that this member has applied.
        pub revision: id::Revision,
        /// The epoch of the membership of gateways.
        pub epoch: id::Epoch,
        /// The number of claims held for calls that are not idempotent.
        pub claims: usize,
    }
}

macros::data! {
    pub struct Events {
        /// The events, oldest first.
        pub events: Vec<event::Event>,
    }
}

macros::data! {
    pub struct Audit {
        /// The entries, oldest first.
        pub entries: Vec<audit::Entry>,
    }
}

macros::data! {copy
    /// Why a request was refused.
    #[serde(rename_all = "kebab-case")]
    pub enum Reason {
        /// The request is malformed, or the change is not valid.
        BadRequest,
        /// The request has no valid operator's token.
        Unauthorised,
        /// The path or the object does not exist.
        NotFound,
        /// The path does not allow the method.
        MethodNotAllowed,
        /// The body did not arrive in time.
        Timeout,
        /// The operation id was used for a different request.
        OperationReused,
        /// The configuration has changed since the revision in `If-Match`.
        Conflict,
        /// The body is too large.
        TooLarge,
        /// This member can't serve the request now; another member may, or this one later.
        ///
        /// A change may have been committed nevertheless: send it again with the same operation id.
        Unavailable,
        /// A fault in this member.
        Internal,
    }
}

macros::data! {
    /// The body of every error response.
    pub struct Problem {
        /// Why the request was refused.
        pub reason: Reason,
        /// What is wrong, for people, with the remedy.
        pub message: String,
        /// The faults of the change, when it is not valid.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub faults: Vec<check::Fault>,
        /// After a conflict: the current revision.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub revision: Option<id::Revision>,
        /// After a conflict: the objects changed since the expected revision, oldest change first.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub changed: Vec<subject::Subject>,
        /// The leader, when this member is not it but knows it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub leader: Option<id::InstanceId>,
    }
}

impl Problem {
    /// Makes a problem with a reason and a message only.
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
