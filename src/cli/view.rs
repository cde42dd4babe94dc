//! Commands that show processes, their events and the audit log, and that drain a gateway.

use serde_json::Value;
use serde_json::json;

use crate::cli::client;
use crate::cli::failure;
use crate::cli::output;
use crate::cli::session;
use crate::error;
use crate::event;
use crate::http::admin::target;
use crate::http::admin::wire;
use crate::id;
use crate::macros;
use crate::peer::trailer;
use crate::replica::group;
use crate::state::model;
use crate::state::subject;

macros::data! {
    /// The part of a gateway's status that identifies it.
    pub struct GatewayName {
        pub instance: id::InstanceId,
    }
}

/// Shows the status of every control member and gateway.
///
/// # Errors
///
/// Fails if no control member answers.
pub async fn status(cx: &session::Session) -> failure::Result<output::Output> {
    let cfg = cx.client.settings();
    let mut lines = Vec::new();
    let mut control = Vec::new();
    for address in &cfg.admin {
        match cx
            .client
            .read_at::<wire::Status>(*address, "/v1/status")
            .await
        {
            Ok(status) => {
                lines.push(format!("control {address}: {}", status_line(&status)));
                control.push(status);
            }
            Err(e) => lines.push(format!("control {address}: {e}")),
        }
    }
    let mut gateways = Vec::new();
    for address in &cfg.gateways {
        match gateway_status(*address).await {
            Ok(status) => {
                lines.push(format!("gateway {address}: {status}"));
                gateways.push(status);
            }
            Err(e) => lines.push(format!("gateway {address}: {e}")),
        }
    }
    if control.is_empty() {
        let after = cfg.timeout_ms;
        return Err(error::Error::unavailable(lines.join("\n"), after).into());
    }
    let value = json!({ "control": control, "gateways": gateways });
    Ok(output::Output::new(lines.join("\n"), &value)?)
}

/// Lists the gateways that hold a session.
///
/// # Errors
///
/// Fails if no control member answers.
pub async fn members(cx: &session::Session) -> failure::Result<output::Output> {
    let path = target::collection_path(subject::Kind::Member);
    let all: wire::Listing<model::Member> = cx.client.read(path).await?;
    let mut table = output::Table::new(&["instance", "data centre", "callers", "leaving"]);
    for m in &all.items {
        table.push(&[&m.id, &m.data_centre, &m.caller_address, &m.leaving]);
    }
    Ok(output::Output::new(table.to_string(), &all)?)
}

/// Shows the changes after revision `since`, with the operators who made them.
///
/// # Errors
///
/// Fails if no control member answers.
pub async fn audit(cx: &session::Session, since: id::Revision) -> failure::Result<output::Output> {
    let audit: wire::Audit = cx.client.read(&format!("/v1/audit?since={since}")).await?;
    let mut table = output::Table::new(&["revision", "time", "operator", "operation", "changes"]);
    for e in &audit.entries {
        let subjects: Vec<_> = e.subjects.iter().map(ToString::to_string).collect();
        let subjects = subjects.join(", ");
        table.push(&[&e.revision, &e.wall, &e.operator, &e.operation, &subjects]);
    }
    Ok(output::Output::new(table.to_string(), &audit)?)
}

/// Shows the events of all processes in causal order, after a line for each process that did not
/// answer.
///
/// # Errors
///
/// Fails if no process answers.
pub async fn timeline(
    cx: &session::Session,
    request: Option<id::RequestId>,
    since: event::Stamp,
) -> failure::Result<output::Output> {
    let cfg = cx.client.settings();
    let path = format!("/v1/events?since={}.{}", since.wall, since.counter);
    let mut events = Vec::new();
    let mut unanswered = Vec::new();
    for address in &cfg.admin {
        match cx.client.read_at::<wire::Events>(*address, &path).await {
            Ok(answer) => events.extend(answer.events),
            Err(e) => unanswered.push(format!("# no events of control {address}: {e}")),
        }
    }
    for address in &cfg.gateways {
        let answer = client::send(hyper::Method::GET, *address, &path).await;
        match answer.and_then(|a| client::decode::<wire::Events>(&a)) {
            Ok(answer) => events.extend(answer.events),
            Err(e) => unanswered.push(format!("# no events of gateway {address}: {e}")),
        }
    }
    if unanswered.len() == cfg.admin.len() + cfg.gateways.len() {
        let after = cfg.timeout_ms;
        return Err(error::Error::unavailable(unanswered.join("\n"), after).into());
    }
    let mut events = event::merge(events);
    events.retain(|e| request.is_none() || e.request == request);
    let lines = unanswered.into_iter().chain(events.iter().map(event_line));
    let lines: Vec<_> = lines.collect();
    Ok(output::Output::new(lines.join("\n"), &events)?)
}

/// Tells a gateway to finish its running requests and stop.
///
/// # Errors
///
/// Fails if no gateway of this name answers, or it refuses.
pub async fn drain(
    cx: &session::Session,
    instance: &id::InstanceId,
) -> failure::Result<output::Output> {
    for address in &cx.client.settings().gateways {
        let Ok(status) = gateway_status(*address).await else {
            continue;
        };
        let name: Result<GatewayName, _> = serde_json::from_value(status);
        if name.is_ok_and(|n| n.instance == *instance) {
            client::send(hyper::Method::POST, *address, "/v1/drain").await?;
            let text = format!("{instance} drains");
            return Ok(output::Output::new(text, &json!({ "drains": instance }))?);
        }
    }
    let remedy = "give the status addresses of all gateways with --gateways or --operator";
    Err(error::Error::missing("gateway", instance, remedy).into())
}

async fn gateway_status(address: std::net::SocketAddr) -> failure::Result<Value> {
    let answer = client::send(hyper::Method::GET, address, "/v1/status").await?;
    client::decode(&answer)
}

fn status_line(status: &wire::Status) -> String {
    let group = &status.group;
    let leader = group.leader.as_ref().map_or("unknown", |id| id.as_str());
    format!(
        "{} {} term {} leader {leader} revision {} epoch {} committed {} applied {} claims {} \
         level {} versions {}",
        group.instance,
        standing(group),
        group.term,
        status.revision,
        status.epoch,
        group.committed,
        group.applied,
        status.claims,
        group.feature_level.0,
        versions(group),
    )
}

/// Returns the standing of a member by its own log.
fn standing(group: &group::Status) -> &'static str {
    if group.voters.contains(&group.instance) {
        "voter"
    } else if group.learners.contains(&group.instance) {
        "learner"
    } else {
        "no member"
    }
}

/// Formats the protocol versions of the members, `?` for one that has sent no message yet.
fn versions(group: &group::Status) -> String {
    let one = |(member, version): &(_, Option<trailer::ProtocolVersion>)| {
        let version = version.map_or_else(|| "?".to_owned(), |v| v.to_string());
        format!("{member}={version}")
    };
    let all: Vec<String> = group.versions.members.iter().map(one).collect();
    all.join(",")
}

fn event_line(event: &event::Event) -> String {
    let kind = serde_json::to_value(event.kind).unwrap_or_default();
    let kind = kind.as_str().unwrap_or_default();
    let request = event
        .request
        .map_or_else(|| "-".to_owned(), |r| r.to_string());
    format!(
        "{}.{} {} {kind} {request} {}",
        event.at.wall, event.at.counter, event.instance, event.detail
    )
}
