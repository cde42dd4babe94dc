//! Serves operators' calls on the quarantine: list it, add to it, release from it.
//!
//! Paths and bodies are those of the admin interface, so that the operators' tool works with both.

use crate::http::admin::target;
use crate::http::admin::wire;
use crate::http::body;
use crate::id;
use crate::replica::group;
use crate::router::request;
use crate::sorted;
use crate::state::change;
use crate::state::command;
use crate::state::model;
use crate::state::subject;

/// Answers a call on the quarantine; `None` if the path is another one.
pub async fn handle(
    group: &group::Group,
    method: &hyper::Method,
    path: &str,
) -> Option<request::Response> {
    let rest = path.strip_prefix(target::collection_path(subject::Kind::Quarantine))?;
    if group.watch().borrow().leads.is_none() {
        let reason = "this member does not lead the control group; ask another one";
        let status = hyper::StatusCode::SERVICE_UNAVAILABLE;
        return Some(body::answer(status, reason));
    }
    let fingerprint = rest.strip_prefix('/').map(str::parse);
    Some(match (method.as_str(), fingerprint) {
        ("GET", None) => list(group).await,
        ("PUT", Some(Ok(fingerprint))) => {
            submit(group, change::Change::Quarantine(fingerprint)).await
        }
        ("DELETE", Some(Ok(fingerprint))) => {
            submit(group, change::Change::Release(fingerprint)).await
        }
        (_, Some(Err(e))) => {
            let e: crate::error::Error = e;
            body::answer(hyper::StatusCode::BAD_REQUEST, e.to_string())
        }
        _ => body::answer(
            hyper::StatusCode::METHOD_NOT_ALLOWED,
            "use GET for the quarantine, PUT or DELETE for one of its fingerprints",
        ),
    })
}

async fn list(group: &group::Group) -> request::Response {
    if let Err(e) = group.ensure_linearizable().await {
        return body::answer(hyper::StatusCode::SERVICE_UNAVAILABLE, e.to_string());
    }
    let listing = group.with_state(|state| {
        let config = state.config();
        let by_operators = config.quarantined.iter().map(|(f, since)| (*f, *since));
        let verdicts = state.verdicts().iter().map(|(f, v)| (*f, v.since));
        // Both may name the same one.
        let all: sorted::Map<model::Fingerprint, id::Revision> =
            verdicts.chain(by_operators).collect();
        let items = all.iter().map(|(fingerprint, since)| wire::Quarantined {
            fingerprint: fingerprint.to_string(),
            since: *since,
        });
        wire::Listing {
            revision: config.revision,
            items: items.collect(),
        }
    });
    to_json(&listing)
}

async fn submit(group: &group::Group, change: change::Change) -> request::Response {
    let command = command::Command::System(vec![change]);
    match group.submit(&command).await {
        Ok(group::Outcome::Applied(command::Answer::Done(revision))) => {
            to_json(&wire::Written { revision })
        }
        Ok(group::Outcome::Uncertain) => body::answer(
            hyper::StatusCode::GATEWAY_TIMEOUT,
            "not committed in time; it may be committed later: send the change again",
        ),
        Ok(_) => body::answer(
            hyper::StatusCode::SERVICE_UNAVAILABLE,
            "another change is in progress; try again",
        ),
        Err(e) => body::answer(hyper::StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
    }
}

/// Returns a response with a value as JSON.
pub(super) fn to_json<T: serde::Serialize>(value: &T) -> request::Response {
    match serde_json::to_vec(value) {
        Ok(bytes) => body::json(bytes),
        Err(e) => body::answer(hyper::StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
    }
}
