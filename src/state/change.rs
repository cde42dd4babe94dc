//! Changes of the replicated configuration, and the configuration that they make.

use crate::id;
use crate::macros;
use crate::sorted;
use crate::state::model;

macros::data! {
    /// One change of the configuration.
    pub enum Change {
        /// Creates or replaces a client account.
        PutAccount(model::ClientAccount),
        /// Removes a client account and its keys.
        RemoveAccount(id::ClientAccountId),
        /// Grants a key.
        PutKey(model::Key),
        /// Withdraws a key.
        RemoveKey(id::KeyId),
        /// Creates or replaces a model.
        PutModel(model::Model),
        RemoveModel(id::ModelId),
        /// Creates or replaces a backend server.
        PutServer(model::BackendServer),
        RemoveServer(id::BackendServerId),
        /// Creates or replaces a route.
        PutRoute(model::Route),
        RemoveRoute(id::RouteId),
        /// Admits a gateway or its next incarnation, or updates its record; starts a new epoch.
        PutMember(model::Member),
        /// Removes a gateway that left or whose session ended; starts a new epoch.
        RemoveMember(id::InstanceId),
        /// Makes all gateways refuse a request that crashed backend servers.
        Quarantine(model::Fingerprint),
        /// Ends a quarantine, and clears the suspect, on behalf of an operator.
        Release(model::Fingerprint),
        /// Reports a backend server as lost while it ran a request; a second loss quarantines the
        /// request.
        Suspect(model::LossReport),
        /// Clears a suspect that ran to completion; a quarantine stays.
        ClearSuspect(model::Fingerprint),
    }
}

macros::data! {
    /// The changes of one revision; they take effect together.
    pub struct Commit {
        /// The revision of the configuration after the changes.
        pub revision: id::Revision,
        /// Applied in this order.
        pub changes: Vec<Change>,
    }
}

macros::data! {
    /// The configuration at one revision.
    #[derive(Default)]
    pub struct Config {
        /// The revision of the last commit.
        pub revision: id::Revision,
        /// The epoch of the membership; each change of a member starts the next one.
        pub epoch: id::Epoch,
        pub accounts: sorted::Map<id::ClientAccountId, model::ClientAccount>,
        pub keys: sorted::Map<id::KeyId, model::Key>,
        /// The names of the keys by the digest of their secret.
        pub key_hashes: sorted::Map<model::KeyHash, id::KeyId>,
        pub models: sorted::Map<id::ModelId, model::Model>,
        pub servers: sorted::Map<id::BackendServerId, model::BackendServer>,
        pub routes: sorted::Map<id::RouteId, model::Route>,
        /// The gateways with a live session.
        pub members: sorted::Map<id::InstanceId, model::Member>,
        /// The requests that crash backend servers, with the revision that quarantined each.
        pub quarantined: sorted::Map<model::Fingerprint, id::Revision>,
        /// The requests that were running when a backend server was lost and have not run to
        /// completion since.
        pub suspects: sorted::Map<model::Fingerprint, model::Suspect>,
    }
}

/// Suspects that are kept; the oldest is dropped first.
pub const MAX_SUSPECTS: usize = 4_096;

/// Quarantined requests that are kept; the oldest is dropped first.
pub const MAX_QUARANTINED: usize = 16_384;

impl Config {
    /// Applies the next commit.
    ///
    /// Returns `false` and changes nothing when the commit is not newer than this configuration,
    /// so that a repeated or late delivery never reverts it.
    ///
    /// # Panics
    ///
    /// Panics when a commit is missing between this configuration and `commit`; the feed must
    /// deliver every commit.
    pub fn apply(&mut self, commit: &Commit) -> bool {
        if commit.revision <= self.revision {
            return false;
        }
        assert_eq!(
            commit.revision,
            self.revision.next(),
            "a commit is missing from the configuration feed"
        );
        self.revision = commit.revision;
        for change in &commit.changes {
            self.apply_change(change);
        }
        true
    }

    /// Returns the key whose secret a caller presented.
    pub fn key_by_secret(&self, secret: &[u8]) -> Option<&model::Key> {
        let id = self.key_hashes.get(&model::KeyHash::from_secret(secret))?;
        self.keys.get(id)
    }

    /// Returns the route whose prefix is the longest one that matches whole segments of `path`.
    pub fn route_for(&self, path: &str) -> Option<&model::Route> {
        self.routes
            .values()
            .filter(|route| prefix_matches(&route.prefix, path))
            .max_by_key(|route| route.prefix.len())
    }

    pub(crate) fn apply_change(&mut self, change: &Change) {
        match change {
            Change::PutAccount(account) => {
                self.accounts.insert(account.id.clone(), account.clone());
            }
            Change::RemoveAccount(id) => self.remove_account(id),
            Change::PutKey(key) => self.put_key(key),
            Change::RemoveKey(id) => self.remove_key(id),
            Change::PutModel(model) => {
                self.models.insert(model.id.clone(), model.clone());
            }
            Change::RemoveModel(id) => {
                self.models.remove(id);
            }
            Change::PutServer(server) => {
                self.servers.insert(server.id.clone(), server.clone());
            }
            Change::RemoveServer(id) => {
                self.servers.remove(id);
            }
            Change::PutRoute(route) => {
                self.routes.insert(route.id.clone(), route.clone());
            }
            Change::RemoveRoute(id) => {
                self.routes.remove(id);
            }
            Change::PutMember(member) => {
                self.members.insert(member.id.clone(), member.clone());
                self.epoch = self.epoch.next();
            }
            Change::RemoveMember(id) => {
                self.members.remove(id);
                self.epoch = self.epoch.next();
            }
            Change::Quarantine(fingerprint) => self.quarantine(*fingerprint),
            Change::Release(fingerprint) => {
                self.quarantined.remove(fingerprint);
                self.suspects.remove(fingerprint);
            }
            Change::Suspect(report) => self.suspect(report),
            Change::ClearSuspect(fingerprint) => {
                self.suspects.remove(fingerprint);
            }
        }
    }

    fn suspect(&mut self, report: &model::LossReport) {
        let fingerprint = report.fingerprint;
        if self.quarantined.contains(&fingerprint) {
            return;
        }
        match self.suspects.get(&fingerprint) {
            Some(first) if first.is_other_loss(report) => self.quarantine(fingerprint),
            Some(_) => {}
            None => {
                let suspect = model::Suspect {
                    server: report.server.clone(),
                    recorded: self.revision,
                };
                drop_oldest(&mut self.suspects, MAX_SUSPECTS, |s| s.recorded);
                self.suspects.insert(fingerprint, suspect);
            }
        }
    }

    fn quarantine(&mut self, fingerprint: model::Fingerprint) {
        self.suspects.remove(&fingerprint);
        drop_oldest(&mut self.quarantined, MAX_QUARANTINED, |revision| *revision);
        self.quarantined.insert(fingerprint, self.revision);
    }

    fn put_key(&mut self, key: &model::Key) {
        self.remove_key(&key.id);
        self.key_hashes.insert(key.hash, key.id.clone());
        self.keys.insert(key.id.clone(), key.clone());
    }

    fn remove_key(&mut self, id: &id::KeyId) {
        if let Some(key) = self.keys.remove(id) {
            self.key_hashes.remove(&key.hash);
        }
    }

    fn remove_account(&mut self, id: &id::ClientAccountId) {
        self.accounts.remove(id);
        self.keys.retain(|_, key| key.account != *id);
        let keys = &self.keys;
        self.key_hashes.retain(|_, key| keys.contains(key));
    }
}

fn drop_oldest<V>(
    map: &mut sorted::Map<model::Fingerprint, V>,
    max_len: usize,
    revision_of: impl Fn(&V) -> id::Revision,
) {
    if map.len() < max_len {
        return;
    }
    let oldest = map.iter().min_by_key(|(_, value)| revision_of(value));
    if let Some(key) = oldest.map(|(key, _)| *key) {
        map.remove(&key);
    }
}

fn prefix_matches(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/')
}
