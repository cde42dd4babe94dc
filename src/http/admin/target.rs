//! The paths of the admin interface.

use hyper::Method;

use crate::state::subject;

/// The resource that a path names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// All objects of one kind.
    Collection(subject::Kind),
    /// One object, by its name.
    Item(subject::Kind, String),
    /// Several changes that are applied together or not at all.
    Changes,
    /// The complete configuration.
    Config,
    /// This member's view of the control group.
    Status,
    /// The events of this process.
    Events,
    /// The audit log.
    Audit,
    /// The metrics of this process.
    Metrics,
    /// A member of the control group, by its name, to admit or to dismiss.
    ControlMember(String),
}

impl Target {
    /// Parses a path; `None` when it names no resource.
    pub fn from_path(path: &str) -> Option<Self> {
        if path == "/metrics" {
            return Some(Self::Metrics);
        }
        let rest = path.strip_prefix("/v1/")?;
        match rest {
            "changes" => return Some(Self::Changes),
            "config" => return Some(Self::Config),
            "status" => return Some(Self::Status),
            "events" => return Some(Self::Events),
            "audit" => return Some(Self::Audit),
            _ => {}
        }
        match rest.split_once('/') {
            None => Some(Self::Collection(kind(rest)?)),
            Some((_, name)) if name.is_empty() || name.contains('/') => None,
            Some(("control-members", name)) => Some(Self::ControlMember(name.to_owned())),
            Some((collection, name)) => Some(Self::Item(kind(collection)?, name.to_owned())),
        }
    }

    /// Returns the methods that the resource allows.
    pub fn methods(&self) -> &'static [Method] {
        match self {
            Self::Item(subject::Kind::Member, _) => &[Method::GET],
            Self::Item(..) => &[Method::GET, Method::PUT, Method::DELETE],
            Self::Changes => &[Method::POST],
            Self::ControlMember(_) => &[Method::PUT, Method::DELETE],
            _ => &[Method::GET],
        }
    }
}

/// The path of the evacuations of data centres, which only members of a platform's control group serve.
pub const EVACUATIONS_PATH: &str = "/v1/evacuations";

/// Returns the path of a collection, such as `/v1/accounts`.
pub fn collection_path(kind: subject::Kind) -> &'static str {
    match kind {
        subject::Kind::Account => "/v1/accounts",
        subject::Kind::Key => "/v1/keys",
        subject::Kind::Model => "/v1/models",
        subject::Kind::Server => "/v1/servers",
        subject::Kind::Route => "/v1/routes",
        subject::Kind::Member => "/v1/members",
        subject::Kind::Quarantine => "/v1/quarantine",
    }
}

fn kind(collection: &str) -> Option<subject::Kind> {
    match collection {
        "accounts" => Some(subject::Kind::Account),
        "keys" => Some(subject::Kind::Key),
        "models" => Some(subject::Kind::Model),
        "servers" => Some(subject::Kind::Server),
        "routes" => Some(subject::Kind::Route),
        "members" => Some(subject::Kind::Member),
        "quarantine" => Some(subject::Kind::Quarantine),
        _ => None,
    }
}
