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
        /// Removes a model.
        RemoveModel(id::ModelId),
        /// Creates or replaces a backend server.
        PutServer(model::BackendServer),
        /// Removes a backend server.
        RemoveServer(id::BackendServerId),
        /// Creates or replaces a route.
        PutRoute(model::Route),
        /// Removes a route.
        RemoveRoute(id::RouteId),
        /// Admits an entry instance, or its next life; makes a new epoch.
        PutMember(model::Member),
        /// Removes an entry instance that left or died; makes a new epoch.
        RemoveMember(id::InstanceId),
        /// Refuses a request that crashed backend servers, everywhere.
        Quarantine(model::Fingerprint),
        /// Lets a quarantined request run again, on behalf of an operator.
        Release(model::Fingerprint),
        /// Suspects a request; the second loss of a backend server quarantines it.
        Suspect(model::Suspicion),
        /// Clears a suspect that ran to its end; a quarantine stays.
        ClearSuspect(model::Fingerprint),
    }
}

macros::data! {
    /// The changes of one revision; they take effect together.
    pub struct Commit {
        /// The revision that the changes make.
        pub revision: id::Revision,
        /// The changes, in order.
        pub changes: Vec<Change>,
    }
}

macros::data! {
    /// The configuration in force at one revision.
    #[derive(Default)]
    pub struct Config {
        /// The revision of the last commit.
        pub revision: id::Revision,
        /// The epoch of the membership.
        pub epoch: id::Epoch,
        /// The client accounts.
        pub accounts: sorted::Map<id::ClientAccountId, model::ClientAccount>,
        /// The keys by name.
        pub keys: sorted::Map<id::KeyId, model::Key>,
        /// The names of the keys by the digest of their secret.
        pub key_hashes: sorted::Map<model::KeyHash, id::KeyId>,
        /// The models.
        pub models: sorted::Map<id::ModelId, model::Model>,
        /// The backend servers.
        pub servers: sorted::Map<id::BackendServerId, model::BackendServer>,
        /// The routes to plain services.
        pub routes: sorted::Map<id::RouteId, model::Route>,
        /// The entry instances with a live session.
        pub members: sorted::Map<id::InstanceId, model::Member>,
        /// The requests that crash backend servers.
        pub quarantined: sorted::Map<model::Fingerprint, id::Revision>,
        /// The requests that ran when a backend server was lost, and did not run to an end since.
        pub suspects: sorted::Map<model::Fingerprint, model::Suspect>,
    }
}

/// The most suspects that are kept; the oldest are dropped first.
pub const MAX_SUSPECTS: usize = 4_096;

/// The most quarantined requests that are kept; the oldest are dropped first.
pub const MAX_QUARANTINED: usize = 16_384;

impl Config {
    /// Applies the next commit.
    ///
    /// Returns `false` and changes nothing when the commit is not newer than this configuration,
    /// so that a repeated or late delivery never takes it back.
    ///
    /// # Panics
    ///
    /// Panics when a commit is missing between this configuration and `commit`; the feed that
    /// delivers commits must not leave one out.
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

    /// Finds the key that a caller presents.
    pub fn key_by_secret(&self, secret: &[u8]) -> Option<&model::Key> {
        let id = self.key_hashes.get(&model::KeyHash::from_secret(secret))?;
        self.keys.get(id)
    }

    /// Finds the route with the longest prefix of `path`, on whole path segments.
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

    fn suspect(&mut self, report: &model::Suspicion) {
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
    most: usize,
    age: impl Fn(&V) -> id::Revision,
) {
    if map.len() < most {
        return;
    }
    let oldest = map.iter().min_by_key(|(_, value)| age(value));
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
