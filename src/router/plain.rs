//! Serves requests with one complete answer.

use tokio::time;

use crate::clock;
use crate::fleet::budget;
use crate::fleet::message;
use crate::http::body;
use crate::http::progress;
use crate::id;
use crate::router::availability;
use crate::router::balancer;
use crate::router::call;
use crate::router::in_flight;
use crate::router::limited;
use crate::router::protocol;
use crate::router::request;
use crate::router::retry_after;
use crate::router::run_gate;
use crate::router::upstream;
use crate::unit;

use request::Refusal;
use request::draw_retry_after;

/// No attempt begins with less time than this.
const MIN_ATTEMPT_TIME: clock::Millis = clock::Millis::new(5);

/// Longest time between two searches for a server that takes one call at a time.
const POLL_INTERVAL: clock::Millis = clock::Millis::new(20);

/// A request waits for a limited server for this part of its latency target (a divisor). If some
/// waited longer, all that are served would be served late.
const LIMITED_WAIT_DIVISOR: u64 = 2;

/// State of a request over its attempts.
#[derive(Default)]
struct Progress {
    tried: Vec<id::BackendServerId>,
    attempts: u32,
    connect_failures: u32,
    /// Whether an attempt may have run.
    may_have_run: bool,
    /// Whether the request lost a server of which the leader may not know yet.
    must_report: bool,
    /// Last error response of a server, returned if no later attempt succeeds.
    failed: Option<(request::Response, balancer::Pick)>,
}

/// Serves a request with one complete answer.
///
/// # Errors
///
/// Returns a refusal that says whether the request may have run, and whether another router may serve it.
pub async fn serve(req: &request::Request) -> Result<request::Response, request::Ended> {
    let mut progress = Progress::default();
    loop {
        let pick = match next_server(req, &mut progress).await {
            Ok(pick) => pick,
            Err(refusal) => return progress.finish(req, refusal),
        };
        if let Some(response) = attempt(req, &pick, &mut progress).await {
            let (served, status) = (request::Served::Answered, response.status());
            req.log_served(served, status, &pick, progress.attempts);
            return Ok(response);
        }
    }
}

/// Returns the server for the next attempt, if another one is allowed.
async fn next_server(
    req: &request::Request,
    progress: &mut Progress,
) -> Result<balancer::Pick, Refusal> {
    if req.time_left() < MIN_ATTEMPT_TIME {
        return Err(Refusal::NotRun(
            "no time left",
            draw_retry_after(retry_after::Cause::PlainFull),
        ));
    }
    let may_resend = req.route.retry_policy.allows_retry() || !progress.may_have_run;
    if progress.attempts >= req.route.max_attempts.max(1)
        || !may_resend
        || progress.connect_failures > request::MAX_CONNECT_FAILURES
    {
        return Err(Refusal::unreached("servers failed"));
    }
    if progress.connect_failures > 0 && req.core.paths().is_lost(&req.service.id) {
        return Err(Refusal::unreached("no server"));
    }
    if std::mem::take(&mut progress.must_report) {
        run_gate::wait_until_reported(&req.core).await;
    }
    let latest_start = req.deadline - req.route.target_latency;
    run_gate::admit(&req.core, &req.fingerprints, latest_start).await?;
    let pick = wait_for_server(req, &progress.tried).await?;
    if !req.may_call(budget::Purpose::Required).await {
        return Err(Refusal::NotRun(
            "no retry budget",
            draw_retry_after(retry_after::Cause::PlainFull),
        ));
    }
    Ok(pick)
}

/// Picks a server. When all want no calls for a time, waits for the first one, if the request can
/// still be served then.
async fn wait_for_server(
    req: &request::Request,
    tried: &[id::BackendServerId],
) -> Result<balancer::Pick, Refusal> {
    let latest_start = req.deadline - req.route.target_latency;
    loop {
        // Register for notification before the search, so that no change in between is missed.
        let freed = req.core.capacity_freed.notified();
        let now = req.core.clock.now();
        let (picked, limited) = {
            let balancer = req.core.balancer();
            let service = &req.service.id;
            (
                balancer.pick_plain(now, service, tried, rand::random()),
                balancer.limited_plain(now, service, tried),
            )
        };
        if let Some((limited, need)) = limited_call(req, &picked, limited) {
            match limited::acquire(&req.core, &limited, need, req.log_id()).await {
                Ok(pick) => return Ok(pick),
                Err(denial) if picked == Err(balancer::PickError::Limited) => {
                    return Err(Refusal::limited(denial));
                }
                Err(_) => {}
            }
        }
        let error = match picked {
            Ok(pick) => return Ok(pick),
            Err(error) => error,
        };
        let until = match error {
            balancer::PickError::Quiet { until } if until.max(now) < latest_start => until,
            _ => {
                let cause = retry_after::Cause::PlainFull;
                return Err(Refusal::no_server(now, error, cause));
            }
        };
        let wait = (until - now).max(POLL_INTERVAL);
        // A timeout also starts the next search.
        let _ = time::timeout(wait.as_duration(), freed).await;
    }
}

/// Returns the limited servers of which one is preferred to the server that was picked without a
/// permit, or to none, and what the call needs; `None` when there is no such server.
fn limited_call(
    req: &request::Request,
    picked: &Result<balancer::Pick, balancer::PickError>,
    limited: Vec<balancer::Pick>,
) -> Option<(Vec<balancer::Pick>, limited::Need)> {
    if limited.is_empty() {
        return None;
    }
    let at_once = limited::Need::optional(clock::Millis::ZERO);
    match picked {
        Err(error) => {
            let target = req.route.target_latency.as_u64();
            let need = limited::Need {
                latest: clock::Millis::new(target / LIMITED_WAIT_DIVISOR),
                refuses: *error == balancer::PickError::Limited,
                ..at_once
            };
            Some((limited, need))
        }
        Ok(pick) if pick.utilisation_percent >= 100 => Some((limited, at_once)),
        Ok(pick) => {
            let percent = pick.utilisation_percent;
            let is_preferred = |p: &balancer::Pick| p.utilisation_percent <= percent;
            let servers = limited::to_call_beside(&req.core, &limited, is_preferred)?;
            Some((servers, at_once))
        }
    }
}

/// Makes one attempt; `None` means that another one may follow.
async fn attempt(
    req: &request::Request,
    pick: &balancer::Pick,
    progress: &mut Progress,
) -> Option<request::Response> {
    let load = message::Load {
        requests: 1,
        memory: unit::Tokens::new(0),
        prompts: unit::Tokens::new(0),
    };
    let guard = in_flight::Guard::new(&req.core, &pick.id, load);
    let begun_at = req.core.clock.now();
    let result = exchange(req, pick, attempt_timeout(req, progress)).await;
    req.end_run();
    let failure = match result {
        Ok((protocol::Execution::Ran, response, framing)) => {
            progress.attempts += 1;
            progress.tried.push(pick.id.clone());
            let status = response.status();
            let withholds = req.withholds(status);
            let failed = status.is_server_error() || withholds;
            guard.finish(if failed {
                req.core.failure_outcome(&pick.id)
            } else {
                balancer::Outcome::Succeeded
            });
            progress.may_have_run = true;
            req.record_end(pick, begun_at, framing);
            if withholds {
                req.log_withheld(status, pick);
                return None;
            }
            if failed
                && req.route.retry_policy.allows_retry()
                && progress.attempts < req.route.max_attempts
            {
                progress.failed = Some((response, pick.clone()));
                return None;
            }
            return Some(response);
        }
        Ok((execution, ..)) => {
            progress.attempts += 1;
            if !req.core.is_quiet(&pick.id) {
                progress.tried.push(pick.id.clone());
            }
            guard.finish(balancer::Outcome::Neutral);
            if execution == protocol::Execution::Misdirected {
                req.core.mark_misdirected(&pick.id);
            }
            return None;
        }
        Err(upstream::Failure::Withdrawn) => return None,
        Err(failure) => failure,
    };
    progress.tried.push(pick.id.clone());
    log::info!(
        event = "attempt_failed",
        request = req.log_id(),
        route = req.route.name.as_str(),
        service = req.service.id.as_str(),
        server = pick.id.as_str(),
        purpose = availability::Purpose::Plain.as_str(),
        failure = failure.to_string(),
        fingerprints = req.log_fingerprints(),
        tries = progress.attempts,
        age_ms = req.age().as_u64();
        "attempt at a server failed"
    );
    guard.finish(failure.outcome());
    if failure == upstream::Failure::NotSent {
        progress.connect_failures += 1;
        return None;
    }
    progress.attempts += 1;
    progress.may_have_run = true;
    progress.must_report |= req.record_loss(pick, begun_at, false, failure);
    None
}

/// Returns the time that the next attempt may take. When a further attempt is allowed, this is the
/// latency target or half of the remaining time, whichever is longer, so that time is left for it.
fn attempt_timeout(req: &request::Request, progress: &Progress) -> clock::Millis {
    let left = req.time_left();
    let has_more_attempts =
        req.route.retry_policy.allows_retry() && progress.attempts + 1 < req.route.max_attempts;
    if has_more_attempts {
        left.min(
            req.route
                .target_latency
                .max(clock::Millis::new(left.as_u64() / 2)),
        )
    } else {
        left
    }
}

/// Sends the request and reads the answer; returns also what marked its end.
async fn exchange(
    req: &request::Request,
    pick: &balancer::Pick,
    timeout: clock::Millis,
) -> Result<(protocol::Execution, request::Response, progress::Framing), upstream::Failure> {
    let deadline = req.core.clock.now() + timeout;
    let server_req = req.server_request(pick, protocol::Work::Run, req.caller.resume_after, None);
    let purpose = availability::Purpose::Plain;
    let (head, mut answer) =
        call::send(&req.core, pick, purpose, Some(req), server_req, timeout).await?;
    let execution = req.execution(&head)?;
    let left = deadline - req.core.clock.now();
    let bytes = answer.read_to_end(left, upstream::MAX_ANSWER_BYTES).await?;
    let framing = answer.progress().framing();
    let response = answer.to_response(body::Body::from_bytes(bytes));
    Ok((execution, response, framing))
}

impl Progress {
    /// Ends the attempts with a server's error response if there is one, else with a refusal.
    fn finish(
        self,
        req: &request::Request,
        refusal: Refusal,
    ) -> Result<request::Response, request::Ended> {
        if let Some((response, pick)) = self.failed {
            let (served, status) = (request::Served::FailedAtServer, response.status());
            req.log_served(served, status, &pick, self.attempts);
            return Ok(response);
        }
        let may_resend = req.route.retry_policy.allows_retry() || !self.may_have_run;
        let attempts = request::Attempts {
            sent: self.attempts,
            may_have_run: self.may_have_run,
            may_go_on: may_resend && self.attempts < req.route.max_attempts,
            is_timed_out: req.time_left() < MIN_ATTEMPT_TIME,
        };
        Err(request::Ended::new(refusal, attempts))
    }
}
