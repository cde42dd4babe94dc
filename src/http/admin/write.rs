//! Write requests of the admin interface: parses the changes and answers with their result.

use std::fmt;

use hyper::Method;
use hyper::header;
use serde::de;
use serde_json::Value;

use crate::clock;
use crate::config::decoder;
use crate::error;
use crate::http::admin::reply;
use crate::http::admin::sample;
use crate::http::admin::target;
use crate::http::admin::wire;
use crate::id;
use crate::state::change;
use crate::state::command;
use crate::state::subject;

/// The header with the operation id, by which a request that is sent again is recognised.
pub const OPERATION_ID: &str = "operation-id";

/// Parses a write request into an operation for the replicated log.
///
/// # Errors
///
/// Fails when a header, the path or the body is invalid; names the header or field.
pub fn operation(
    operator: &str,
    head: &hyper::http::request::Parts,
    target: &target::Target,
    body: &[u8],
) -> error::Result<command::Operation> {
    let id = operation_id(&head.headers)?;
    let expected = expected(&head.headers)?;
    let changes = changes(&head.method, target, body)?;
    Ok(command::Operation {
        id,
        operator: operator.to_owned(),
        expected,
        changes,
        digest: digest(head, expected, body),
        wall: clock::wall_millis(),
    })
}

/// Converts the state machine's answer to an HTTP response.
pub fn answer(answer: command::Answer) -> reply::Reply {
    match answer {
        command::Answer::Done(revision) => {
            reply::at_revision(revision, &wire::Written { revision })
        }
        command::Answer::Conflict {
            current,
            reason,
            changed,
        } => {
            let message = format!(
                "{reason}; read the configuration again and check whether the change still applies"
            );
            let mut problem = wire::Problem::new(wire::Reason::Conflict, message);
            problem.revision = Some(current);
            problem.changed = changed;
            let mut refusal = reply::problem(&problem);
            reply::set_header(&mut refusal, header::ETAG, &format!("\"{current}\""));
            refusal
        }
        command::Answer::OperationReused => {
            let message = "the operation id was used for another request; choose a new one";
            reply::refuse(wire::Reason::OperationReused, message)
        }
        command::Answer::Refused(faults) => refused(faults),
        other => {
            let message = format!("unexpected answer {other:?}; report this fault");
            reply::refuse(wire::Reason::Internal, message)
        }
    }
}

fn refused(faults: Vec<crate::state::check::Fault>) -> reply::Reply {
    let missing = faults.iter().all(|f| f.missing);
    let reason = if missing {
        wire::Reason::NotFound
    } else {
        wire::Reason::BadRequest
    };
    let lines: Vec<_> = faults.iter().map(ToString::to_string).collect();
    let mut problem = wire::Problem::new(reason, lines.join("\n"));
    problem.faults = faults;
    reply::problem(&problem)
}

fn operation_id(headers: &header::HeaderMap) -> error::Result<id::OperationId> {
    let Some(value) = headers.get(OPERATION_ID) else {
        let remedy = "name each change, and send the same name again after a lost answer";
        return Err(error::Error::bad_value("Operation-Id", "(missing)", remedy));
    };
    value.to_str().unwrap_or_default().parse()
}

fn expected(headers: &header::HeaderMap) -> error::Result<Option<id::Revision>> {
    let Some(value) = headers.get(header::IF_MATCH) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    if text == "*" {
        return Ok(None);
    }
    let quoted = text.strip_prefix('"').and_then(|t| t.strip_suffix('"'));
    match quoted.unwrap_or(text).parse() {
        Ok(revision) => Ok(Some(revision)),
        Err(_) => {
            let remedy = "use a revision in quotes, such as \"12\"";
            Err(error::Error::bad_value("If-Match", text, remedy))
        }
    }
}

fn digest(head: &hyper::http::request::Parts, expected: Option<id::Revision>, body: &[u8]) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    for part in [head.method.as_str(), head.uri.path()] {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    hasher.update(format!("{expected:?}").as_bytes());
    hasher.update(&[0]);
    hasher.update(body);
    hasher.digest()
}

fn changes(
    method: &Method,
    target: &target::Target,
    body: &[u8],
) -> error::Result<Vec<change::Change>> {
    match target {
        target::Target::Changes => Ok(parse::<wire::Changes>(body)?.changes),
        target::Target::Item(kind, name) if *method == Method::PUT => {
            Ok(vec![put(*kind, name, body)?])
        }
        target::Target::Item(kind, name) => Ok(vec![remove(*kind, name)?]),
        other => Err(unwritable(format!("{other:?}"))),
    }
}

fn put(kind: subject::Kind, name: &str, body: &[u8]) -> error::Result<change::Change> {
    match kind {
        subject::Kind::Account => Ok(change::Change::PutAccount(parse_object(kind, name, body)?)),
        subject::Kind::Key => Ok(change::Change::PutKey(parse_object(kind, name, body)?)),
        subject::Kind::Model => Ok(change::Change::PutModel(parse_object(kind, name, body)?)),
        subject::Kind::Server => Ok(change::Change::PutServer(parse_object(kind, name, body)?)),
        subject::Kind::Route => Ok(change::Change::PutRoute(parse_object(kind, name, body)?)),
        subject::Kind::Quarantine => Ok(change::Change::Quarantine(name.parse()?)),
        subject::Kind::Member => Err(unwritable(kind)),
    }
}

fn remove(kind: subject::Kind, name: &str) -> error::Result<change::Change> {
    match kind {
        subject::Kind::Account => Ok(change::Change::RemoveAccount(name.parse()?)),
        subject::Kind::Key => Ok(change::Change::RemoveKey(name.parse()?)),
        subject::Kind::Model => Ok(change::Change::RemoveModel(name.parse()?)),
        subject::Kind::Server => Ok(change::Change::RemoveServer(name.parse()?)),
        subject::Kind::Route => Ok(change::Change::RemoveRoute(name.parse()?)),
        subject::Kind::Quarantine => Ok(change::Change::Release(name.parse()?)),
        subject::Kind::Member => Err(unwritable(kind)),
    }
}

fn unwritable(what: impl fmt::Display) -> error::Error {
    error::Error::bad_value(
        "path",
        what,
        "change accounts, keys, models, servers or routes",
    )
}

/// Parses an object; its name is taken from the path, and `id` in the body must be the same if set.
fn parse_object<T: de::DeserializeOwned>(
    kind: subject::Kind,
    name: &str,
    body: &[u8],
) -> error::Result<T> {
    let mut document: Value = parse(body)?;
    if let Some(fields) = document.as_object_mut() {
        let own = Value::from(name);
        let given = fields.entry("id").or_insert_with(|| own.clone());
        if *given != own {
            let remedy = format!("use the name of the path, `{name}`, or leave it out");
            return Err(error::Error::bad_value("id", given, remedy));
        }
    }
    decoder::decode(&document, &sample::of(kind)?)
}

fn parse<T: de::DeserializeOwned>(body: &[u8]) -> error::Result<T> {
    serde_json::from_slice(body).map_err(|e| {
        let remedy = "send a JSON object as the documentation shows";
        error::Error::bad_value("body", e, remedy)
    })
}
