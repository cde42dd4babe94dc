//! Responses to GET requests of the admin interface.

use serde::Serialize;

use crate::error;
use crate::event;
use crate::http::admin::reply;
use crate::http::admin::wire;
use crate::id;
use crate::replica;
use crate::sorted;
use crate::state::change;
use crate::state::subject;

/// Lists all objects of a kind, with the revision they were read at.
pub fn collection(config: &change::Config, kind: subject::Kind) -> reply::Reply {
    match kind {
        subject::Kind::Account => list(config, &config.accounts),
        subject::Kind::Key => list(config, &config.keys),
        subject::Kind::Model => list(config, &config.models),
        subject::Kind::Server => list(config, &config.servers),
        subject::Kind::Route => list(config, &config.routes),
        subject::Kind::Member => list(config, &config.members),
        subject::Kind::Quarantine => {
            let revision = config.revision;
            let items = wire::quarantined(config);
            reply::at_revision(revision, &wire::Listing { revision, items })
        }
    }
}

/// Returns one object, with the revision it was read at.
///
/// # Errors
///
/// Fails when the name is malformed or no object has it.
pub fn item(
    config: &change::Config,
    kind: subject::Kind,
    name: &str,
) -> error::Result<reply::Reply> {
    match kind {
        subject::Kind::Account => single(config, &config.accounts, kind, name),
        subject::Kind::Key => single(config, &config.keys, kind, name),
        subject::Kind::Model => single(config, &config.models, kind, name),
        subject::Kind::Server => single(config, &config.servers, kind, name),
        subject::Kind::Route => single(config, &config.routes, kind, name),
        subject::Kind::Member => single(config, &config.members, kind, name),
        subject::Kind::Quarantine => single(config, &config.quarantined, kind, name),
    }
}

/// Returns this member's view of the control group; not linearizable.
pub fn status(group: &replica::Group) -> wire::Status {
    let status = group.status();
    group.with_state(|state| wire::Status {
        group: status,
        revision: state.config().revision,
        epoch: state.config().epoch,
        claims: state.claims().len(),
    })
}

/// Parses the query `since=WALL.COUNTER` of events; without one, the earliest stamp.
///
/// # Errors
///
/// Fails when the query is anything else.
pub fn since_stamp(query: Option<&str>) -> error::Result<event::Stamp> {
    since(query)?.map_or(Ok(event::Stamp::default()), parse_stamp)
}

/// Parses a stamp, `WALL` or `WALL.COUNTER`.
///
/// # Errors
///
/// Fails when either part is not a number.
pub fn parse_stamp(value: &str) -> error::Result<event::Stamp> {
    let (wall, counter) = value.split_once('.').unwrap_or((value, "0"));
    match (wall.parse(), counter.parse()) {
        (Ok(wall), Ok(counter)) => Ok(event::Stamp { wall, counter }),
        _ => {
            let remedy = "use `WALL.COUNTER` as in an event's `at`";
            Err(error::Error::bad_value("since", value, remedy))
        }
    }
}

/// Parses the query `since=REVISION` of the audit log; without one, revision 0.
///
/// # Errors
///
/// Fails when the query is anything else.
pub fn since_revision(query: Option<&str>) -> error::Result<id::Revision> {
    since(query)?.map_or(Ok(id::Revision::default()), str::parse)
}

fn since(query: Option<&str>) -> error::Result<Option<&str>> {
    match query {
        None | Some("") => Ok(None),
        Some(query) => match query.strip_prefix("since=") {
            Some(value) if !value.contains('&') => Ok(Some(value)),
            _ => Err(error::Error::bad_value("query", query, "use only `since=`")),
        },
    }
}

fn list<K: Ord, V: Clone + Serialize>(
    config: &change::Config,
    map: &sorted::Map<K, V>,
) -> reply::Reply {
    let revision = config.revision;
    let items: Vec<V> = map.values().cloned().collect();
    reply::at_revision(revision, &wire::Listing { revision, items })
}

fn single<K, V>(
    config: &change::Config,
    map: &sorted::Map<K, V>,
    kind: subject::Kind,
    name: &str,
) -> error::Result<reply::Reply>
where
    K: Ord + std::str::FromStr<Err = error::Error>,
    V: Clone + Serialize,
{
    let Some(value) = map.get(&name.parse()?) else {
        let remedy = "list what exists";
        return Err(error::Error::missing(kind_name(kind), name, remedy));
    };
    let revision = config.revision;
    let item = value.clone();
    Ok(reply::at_revision(
        revision,
        &wire::Single { revision, item },
    ))
}

fn kind_name(kind: subject::Kind) -> &'static str {
    match kind {
        subject::Kind::Account => "account",
        subject::Kind::Key => "key",
        subject::Kind::Model => "model",
        subject::Kind::Server => "server",
        subject::Kind::Route => "route",
        subject::Kind::Member => "member",
        subject::Kind::Quarantine => "quarantined request",
    }
}
