//! What a change puts or removes, as conflicts, audit entries and diffs name it.

use std::fmt;

use crate::macros;
use crate::state::change;

macros::data! {key
    /// The thing that a change puts or removes.
    pub struct Subject {
        pub action: Action,
        pub kind: Kind,
        pub name: String,
    }
}

macros::data! {copy
    /// Whether a change puts or removes its subject.
    #[serde(rename_all = "kebab-case")]
    pub enum Action {
        /// Creates or replaces it.
        Put,
        Remove,
    }
}

macros::data! {copy
    /// The kind of a thing in the configuration.
    #[serde(rename_all = "kebab-case")]
    pub enum Kind {
        Account,
        Key,
        Model,
        Server,
        Route,
        /// A gateway.
        Member,
        /// A request that is quarantined or a suspect.
        Quarantine,
    }
}

impl Subject {
    pub fn from_change(change: &change::Change) -> Self {
        use change::Change;
        match change {
            Change::PutAccount(account) => Self::put(Kind::Account, &account.id),
            Change::RemoveAccount(id) => Self::remove(Kind::Account, id),
            Change::PutKey(key) => Self::put(Kind::Key, &key.id),
            Change::RemoveKey(id) => Self::remove(Kind::Key, id),
            Change::PutModel(model) => Self::put(Kind::Model, &model.id),
            Change::RemoveModel(id) => Self::remove(Kind::Model, id),
            Change::PutServer(server) => Self::put(Kind::Server, &server.id),
            Change::RemoveServer(id) => Self::remove(Kind::Server, id),
            Change::PutRoute(route) => Self::put(Kind::Route, &route.id),
            Change::RemoveRoute(id) => Self::remove(Kind::Route, id),
            Change::PutMember(member) => Self::put(Kind::Member, &member.id),
            Change::RemoveMember(id) => Self::remove(Kind::Member, id),
            Change::Quarantine(fingerprint) => Self::put(Kind::Quarantine, fingerprint),
            Change::Release(fingerprint) => Self::remove(Kind::Quarantine, fingerprint),
            Change::Suspect(report) => Self::put(Kind::Quarantine, &report.fingerprint),
            Change::ClearSuspect(fingerprint) => Self::remove(Kind::Quarantine, fingerprint),
        }
    }

    fn put(kind: Kind, name: &impl fmt::Display) -> Self {
        Self::new(Action::Put, kind, name)
    }

    fn remove(kind: Kind, name: &impl fmt::Display) -> Self {
        Self::new(Action::Remove, kind, name)
    }

    fn new(action: Action, kind: Kind, name: &impl fmt::Display) -> Self {
        Self {
            action,
            kind,
            name: name.to_string(),
        }
    }
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Put => "put",
            Self::Remove => "remove",
        })
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Account => "account",
            Self::Key => "key",
            Self::Model => "model",
            Self::Server => "server",
            Self::Route => "route",
            Self::Member => "member",
            Self::Quarantine => "quarantine",
        })
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}", self.action, self.kind, self.name)
    }
}
