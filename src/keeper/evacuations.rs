//! Serves operators' calls on the evacuations of data centres: start, finish and list them.

use crate::clock;
use crate::http::admin::target;
use crate::http::admin::wire;
use crate::http::body;
use crate::id;
use crate::keeper::aggregator;
use crate::keeper::quarantine;
use crate::peer::trailer;
use crate::replica::group;
use crate::router::protocol;
use crate::router::request;
use crate::state::command;

/// After this time an operator should send again when not all processes speak the version that knows
/// evacuations.
const LEVEL_RETRY: clock::Millis = clock::Millis::new(1_000);

/// After this time an operator should send again when another change is in progress or no leader is
/// known: about half of an election.
const BUSY_RETRY: clock::Millis = clock::Millis::new(250);

/// What an operator asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    Start,
    Finish,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The change is committed.
    Committed,
    /// It was so before the call.
    Unchanged,
    /// Another member leads.
    NotLeader,
    /// Not all processes speak the version that knows evacuations.
    LevelTooLow,
    /// Another change is in progress.
    Busy,
    /// The change may be committed later.
    Uncertain,
    /// The change is not allowed; the text says why.
    Refused(String),
}

impl Action {
    /// Returns whether the replicated state already is what the action asks for.
    fn is_done(self, state: &command::State, data_centre: &id::DataCentre) -> bool {
        state.evacuations().contains(data_centre) == (self == Self::Start)
    }

    const fn as_str(self) -> &'static str {
        match self {
            Self::Start => "start",
            Self::Finish => "finish",
        }
    }

    fn to_command(self, data_centre: &id::DataCentre) -> command::Command {
        match self {
            Self::Start => command::Command::StartEvacuation(data_centre.clone()),
            Self::Finish => command::Command::FinishEvacuation(data_centre.clone()),
        }
    }
}

impl Outcome {
    /// Returns the name in the log.
    const fn as_str(&self) -> &'static str {
        match self {
            Self::Committed => "committed",
            Self::Unchanged => "unchanged",
            Self::NotLeader => "not leader",
            Self::LevelTooLow => "feature level too low",
            Self::Busy => "busy",
            Self::Uncertain => "uncertain",
            Self::Refused(_) => "refused",
        }
    }

    /// Returns the answer to the operator.
    pub fn to_response(&self, codec: &dyn protocol::Codec) -> request::Response {
        use hyper::StatusCode;
        let busy = Some(BUSY_RETRY);
        let (status, text, retry_after) = match self {
            Self::Committed | Self::Unchanged => (StatusCode::OK, "", None),
            Self::NotLeader => (
                StatusCode::SERVICE_UNAVAILABLE,
                "this member does not lead the control group; ask another one",
                busy,
            ),
            Self::LevelTooLow => (
                StatusCode::SERVICE_UNAVAILABLE,
                "some processes run a build that knows no evacuations; send again after the upgrade",
                Some(LEVEL_RETRY),
            ),
            Self::Busy => (
                StatusCode::SERVICE_UNAVAILABLE,
                "another change is in progress; try again",
                busy,
            ),
            Self::Uncertain => (
                StatusCode::GATEWAY_TIMEOUT,
                "not committed in time; it may be committed later: send the call again",
                None,
            ),
            Self::Refused(reason) => (StatusCode::BAD_REQUEST, reason.as_str(), None),
        };
        with_retry_after(codec, body::answer(status, text.to_owned()), retry_after)
    }
}

/// Adds the time after which an operator should send again.
fn with_retry_after(
    codec: &dyn protocol::Codec,
    mut response: request::Response,
    retry_after: Option<clock::Millis>,
) -> request::Response {
    if let Some(retry_after) = retry_after {
        codec.write_retry_after(response.headers_mut(), retry_after);
    }
    response
}

/// Tells an operator, who is not redirected since no leader is known, when to send again.
pub fn mark_busy(codec: &dyn protocol::Codec, response: request::Response) -> request::Response {
    let is_busy = response.status() == hyper::StatusCode::SERVICE_UNAVAILABLE;
    with_retry_after(codec, response, is_busy.then_some(BUSY_RETRY))
}

/// Starts or finishes an evacuation and logs how that ended.
///
/// A call for what is so already is answered after a linearizable read. Calls carry no version, so one
/// that was sent before another call was acknowledged and arrives after it counts as new.
pub async fn change(group: &group::Group, action: Action, data_centre: &id::DataCentre) -> Outcome {
    let outcome = try_change(group, action, data_centre).await;
    if outcome != Outcome::NotLeader {
        log::info!(
            event = "evacuation",
            action = action.as_str(),
            data_centre = data_centre.as_str(),
            outcome = outcome.as_str(),
            revision = group.with_state(|s| s.evacuations().revision().as_u64());
            "an operator's call on an evacuation was processed"
        );
    }
    outcome
}

async fn try_change(group: &group::Group, action: Action, data_centre: &id::DataCentre) -> Outcome {
    if group.watch().borrow().leads.is_none() {
        return Outcome::NotLeader;
    }
    let is_known = |s: &command::State| s.feature_level().0 >= trailer::CURRENT;
    let is_done = |s: &command::State| action.is_done(s, data_centre);
    // A new leader may not have applied yet what the former one committed.
    if group.with_state(|s| !is_known(s) || is_done(s)) {
        if group.ensure_linearizable().await.is_err() {
            let leads = group.watch().borrow().leads.is_some();
            return if leads {
                Outcome::Busy
            } else {
                Outcome::NotLeader
            };
        }
        if !group.with_state(is_known) {
            return Outcome::LevelTooLow;
        }
        if group.with_state(is_done) {
            return Outcome::Unchanged;
        }
    }
    match group.submit(&action.to_command(data_centre)).await {
        Ok(group::Outcome::Applied(command::Answer::Refused(faults))) => {
            let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
            Outcome::Refused(faults.join("; "))
        }
        Ok(group::Outcome::Applied(_)) => Outcome::Committed,
        Ok(group::Outcome::NotLeader(_)) => Outcome::NotLeader,
        Ok(group::Outcome::Uncertain) => Outcome::Uncertain,
        Ok(_) => Outcome::Busy,
        Err(e) => Outcome::Refused(e.to_string()),
    }
}

/// Answers a call of the operators' tool; `None` if the path is another one.
pub async fn handle(
    group: &group::Group,
    aggregator: &aggregator::Aggregator,
    codec: &dyn protocol::Codec,
    method: &hyper::Method,
    path: &str,
) -> Option<request::Response> {
    let rest = path.strip_prefix(target::EVACUATIONS_PATH)?;
    let data_centre = match rest.strip_prefix('/') {
        Some(name) => Some(name.parse::<id::DataCentre>()),
        None if rest.is_empty() => None,
        None => return None,
    };
    let action = match (method.as_str(), data_centre) {
        ("GET", None) => return Some(list(group, aggregator, codec).await),
        ("PUT", Some(Ok(data_centre))) => (Action::Start, data_centre),
        ("DELETE", Some(Ok(data_centre))) => (Action::Finish, data_centre),
        (_, Some(Err(e))) => {
            return Some(body::answer(hyper::StatusCode::BAD_REQUEST, e.to_string()));
        }
        _ => {
            return Some(body::answer(
                hyper::StatusCode::METHOD_NOT_ALLOWED,
                "use GET for the evacuations, PUT or DELETE for one data centre",
            ));
        }
    };
    let outcome = change(group, action.0, &action.1).await;
    if !matches!(outcome, Outcome::Committed | Outcome::Unchanged) {
        return Some(outcome.to_response(codec));
    }
    let revision = group.with_state(|s| s.evacuations().revision().as_u64());
    let revision = id::Revision::new(revision);
    Some(quarantine::to_json(&wire::Written { revision }))
}

async fn list(
    group: &group::Group,
    aggregator: &aggregator::Aggregator,
    codec: &dyn protocol::Codec,
) -> request::Response {
    if group.watch().borrow().leads.is_none() || group.ensure_linearizable().await.is_err() {
        return Outcome::NotLeader.to_response(codec);
    }
    let evacuations = group.with_state(|s| s.evacuations().clone());
    let progress = aggregator.evacuation_progress(evacuations.revision());
    let (routers, behind) = progress.map(|p| (p.routers, p.behind)).unwrap_or_default();
    let listing = wire::Evacuations {
        revision: evacuations.revision(),
        items: evacuations.data_centres().to_vec(),
        routers,
        behind,
    };
    quarantine::to_json(&listing)
}
