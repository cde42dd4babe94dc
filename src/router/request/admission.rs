//! Admits a caller's request: reads it, finds its route, charges its account and hands it to the
//! right handler, or to another router.

use std::sync;

use bytes::Bytes;
use hyper::body as hyper_body;
use hyper::header;
use tokio::time;

use crate::clock;
use crate::fleet::crashes;
use crate::fleet::forward as fleet_forward;
use crate::fleet::quota;
use crate::http::memory;
use crate::id;
use crate::router::arrivals;
use crate::router::core;
use crate::router::forward;
use crate::router::generate;
use crate::router::helper;
use crate::router::plain;
use crate::router::request;
use crate::router::request::caller_body;
use crate::router::request::log_lines;
use crate::router::retry_after;
use crate::router::run_gate;
use crate::router::table;

use request::Refusal;
use request::Request;
use request::Response;
use request::draw_retry_after;

/// The longest wait of a request for a share of its account's quota: a report before its time, and
/// another one when that was lost.
const MAX_SHARE_WAIT: clock::Millis = clock::Millis::new(300);

/// How a request came to this router, with its body.
enum Source {
    Caller(hyper_body::Incoming),
    Router(Box<fleet_forward::Forwarded>),
}

/// Answers one request of a caller, with a refusal if it can't be served.
pub async fn serve(
    core: sync::Arc<core::Core>,
    req: hyper::Request<hyper_body::Incoming>,
) -> Response {
    let received_at = core.clock.now();
    let mut log_context = log_lines::LogContext::default();
    let chunked = req.headers().contains_key(header::TRANSFER_ENCODING);
    let (head, incoming) = req.into_parts();
    let source = Source::Caller(incoming);
    let result = admit_and_serve(&core, head, source, received_at, &mut log_context).await;
    let mut response = match result {
        Ok(response) => response,
        Err(refusal) => {
            log_context.log_refused(&core, received_at, refusal);
            refusal.into_response(&*core.codec)
        }
    };
    // A length beside the chunked encoding may have been dropped by the HTTP parser, so the start
    // of the next request on this connection is not certain. Close it.
    if chunked || core.phase() > core::Phase::Serving {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Serves a request that another router passed on; `None` when nothing was sent to a server, so that a
/// further router may be asked.
pub async fn serve_forwarded(
    core: sync::Arc<core::Core>,
    forwarded: fleet_forward::Forwarded,
) -> Option<Response> {
    let received_at = core.clock.now();
    let mut log_context = log_lines::LogContext::default();
    let mut req = hyper::Request::new(());
    *req.method_mut() = forwarded.method.parse().ok()?;
    *req.uri_mut() = forwarded.target.parse().ok()?;
    *req.headers_mut() = helper::read_headers(&forwarded.headers);
    let (head, ()) = req.into_parts();
    let source = Source::Router(Box::new(forwarded));
    let result = admit_and_serve(&core, head, source, received_at, &mut log_context).await;
    match result {
        Ok(response) => Some(response),
        Err(refusal) if refusal.is_unreached() => None,
        Err(refusal) => {
            log_context.log_refused(&core, received_at, refusal);
            Some(refusal.into_response(&*core.codec))
        }
    }
}

async fn admit_and_serve(
    core: &sync::Arc<core::Core>,
    head: hyper::http::request::Parts,
    source: Source,
    received_at: clock::Millis,
    log_context: &mut log_lines::LogContext,
) -> Result<Response, Refusal> {
    let table = core.table().ok_or(Refusal::Unreached(
        "no document",
        draw_retry_after(retry_after::Cause::NotReady),
    ))?;
    let (mut req, progress) =
        read_request(core, &table, head, source, received_at, log_context).await?;
    if core.phase() == core::Phase::Draining && !req.is_forwarded {
        // It may last beyond the grace period.
        let retry_after = draw_retry_after(retry_after::Cause::Stopping);
        return Err(Refusal::NotRun("router stopping", retry_after));
    }
    let standing = core.suspects().standing(&req.fingerprints);
    if standing == Some(crashes::Standing::Quarantined) {
        log_lines::log_quarantined(core, &log_context.request_id, &req.fingerprints);
        return Err(run_gate::quarantined(core, &req.fingerprints));
    }
    if core.paths().is_lost(&req.service.id) {
        if req.is_forwarded {
            return Err(Refusal::unreached("no server"));
        }
        req = match forward::serve(req, progress).await {
            forward::Outcome::Answered(response) => return Ok(response),
            forward::Outcome::Refused(refusal) => return Err(refusal),
            forward::Outcome::Unserved(req) => req,
        };
    }
    if progress != fleet_forward::Progress::Read {
        return serve_here(req).await;
    }
    let cost = charge(core, &table, &mut req).await?;
    let charged_at = core.clock.now();
    let account = req.account.clone();
    core.retries().record_request(charged_at, &req.service.id);
    let result = serve_here(req).await;
    if let (Err(refusal), Some(account)) = (&result, account)
        && refusal.is_not_run()
    {
        let now = core.clock.now();
        if now < charged_at + core.settings.quota_window {
            core.quotas().refund(now, &account, cost);
        }
    }
    result
}

/// Reads a request and finds its route, service and account. The progress is that of the router that passed
/// it on.
async fn read_request(
    core: &sync::Arc<core::Core>,
    table: &table::Table,
    head: hyper::http::request::Parts,
    source: Source,
    received_at: clock::Millis,
    log_context: &mut log_lines::LogContext,
) -> Result<(Box<Request>, fleet_forward::Progress), Refusal> {
    let has_two_framings = head.headers.contains_key(header::TRANSFER_ENCODING)
        && head.headers.contains_key(header::CONTENT_LENGTH);
    if has_two_framings {
        return Err(Refusal::Malformed);
    }
    let caller = core.codec.read_caller(&head.headers);
    let mut caller = caller.map_err(|e| {
        log::info!(event = "unreadable", detail = e.to_string(); "the head of a caller's request can't be parsed; refusing the request");
        Refusal::Malformed
    })?;
    log_context.request_id = caller.request_id.clone().unwrap_or_default();
    let host = host_of(&head).ok_or(Refusal::Malformed)?;
    let route = table
        .route(&host, head.uri.path())
        .ok_or(Refusal::NoRoute)?;
    log_context.route.clone_from(&route.name);
    let account = match table.caller(route, caller.key.as_deref()) {
        table::Caller::Anonymous => None,
        table::Caller::Account(account) => Some(account),
        table::Caller::Unknown => return Err(Refusal::InvalidKey),
    };
    let is_forwarded = matches!(source, Source::Router(_));
    let mut arrivals = arrivals::Arrivals::default();
    let mut known_origin = None;
    let mut body_memory = memory::BodyPermit::default();
    let (body, service, progress) = match source {
        Source::Caller(incoming) => {
            let body;
            (body, body_memory) = caller_body::read(incoming, &table.document().limits).await?;
            let service = table.pick_service(route, rand::random());
            (body, service.cloned(), fleet_forward::Progress::Read)
        }
        Source::Router(forwarded) => {
            caller.max_wait = Some(forwarded.time_left);
            if let Some(resume) = forwarded.resume {
                caller.resume_after = Some(resume.after);
                caller.resumes = Some(resume.begun_by);
                known_origin = resume.origin;
            }
            if forwarded.progress == fleet_forward::Progress::Sent {
                // The first arrival was at a server of the other router.
                arrivals.send(received_at);
            }
            let is_routed = route.split.iter().any(|s| s.service == forwarded.service);
            let service = is_routed.then_some(forwarded.service);
            (Bytes::from(forwarded.body), service, forwarded.progress)
        }
    };
    let service = service.and_then(|id| table.service(&id).cloned());
    let service = service.ok_or(Refusal::NotRun(
        "no service",
        draw_retry_after(retry_after::Cause::NotReady),
    ))?;
    let mut fingerprints = caller.parts.clone();
    let account_id = account.map(|a| &a.id);
    let target = head.uri.path_and_query().map_or("/", |t| t.as_str());
    fingerprints.push(table::fingerprint(account_id, target, &body));
    let max_wait = caller.max_wait.unwrap_or(route.time_limit);
    let priority =
        account.map_or(0, |a| u16::from(a.priority.min(63))) << 8 | u16::from(route.priority);
    let request = Request {
        core: sync::Arc::clone(core),
        body,
        _body_memory: body_memory,
        route: route.clone(),
        service,
        account: account_id.cloned(),
        priority,
        received_at,
        deadline: received_at + max_wait.min(route.time_limit),
        fingerprints,
        quota_left: 0,
        is_forwarded,
        known_origin,
        arrivals: sync::Mutex::new(arrivals),
        running: sync::Mutex::default(),
        caller,
        head,
    };
    Ok((Box::new(request), progress))
}

/// Serves a request at the servers that this router reaches, or through another router if there are none.
async fn serve_here(req: Box<Request>) -> Result<Response, Refusal> {
    let (req, ended) = if req.route.retry_policy.is_stream() {
        match generate::serve(req).await {
            Ok(response) => return Ok(response),
            Err(ended) => *ended,
        }
    } else {
        match plain::serve(&req).await {
            Ok(response) => return Ok(response),
            Err(ended) => (req, ended),
        }
    };
    let Some(progress) = ended.pass_on.filter(|_| !req.is_forwarded) else {
        return Err(ended.refusal);
    };
    match forward::serve(req, progress).await {
        forward::Outcome::Answered(response) => ended.accept(response),
        forward::Outcome::Refused(refusal) => Err(refusal),
        forward::Outcome::Unserved(_) => Err(ended.refusal),
    }
}

/// Charges a request to its account; returns its cost.
///
/// While much of the quota remains in the fleet, a request that is beyond this router's share waits
/// for the next summary.
async fn charge(
    core: &core::Core,
    table: &table::Table,
    req: &mut Request,
) -> Result<u64, Refusal> {
    let accounts = &table.document().accounts;
    let charged = req.account.as_ref();
    let account = charged.and_then(|id| accounts.iter().find(|a| a.id == *id));
    let Some(account) = account else {
        return Ok(0);
    };
    let cost = account.cost(req.caller.generation.as_ref());
    let account_label = table.account_label(account);
    let now = core.clock.now();
    let mut charged = core.quotas().charge(now, &account.id, cost);
    if charged.is_err_and(|e| e.may_wait) {
        charged = wait_for_share(core, &account.id, cost).await;
    }
    let outcome = if charged.is_ok() {
        "charged"
    } else {
        "refused"
    };
    metrics::counter!(
        "buckthorncleat_quota_units_total",
        "account" => account_label.to_owned(),
        "outcome" => outcome
    )
    .increment(cost);
    if let Err(exceeded) = charged {
        log_lines::log_over_quota(req.log_id(), &account.id, exceeded);
        return Err(Refusal::OverQuota(exceeded.retry_after));
    }
    let left = core.quotas().remaining(&account.id);
    req.quota_left = left.unwrap_or_default();
    Ok(cost)
}

/// Charges a request after a summary has brought a share for it.
async fn wait_for_share(
    core: &core::Core,
    account: &id::ClientAccountId,
    cost: u64,
) -> Result<(), quota::Exceeded> {
    let deadline = core.clock.now() + MAX_SHARE_WAIT;
    loop {
        let answered = core.report_answered.notified();
        core.report_due.notify_one();
        let rest = deadline - core.clock.now();
        let is_late = time::timeout(rest.as_duration(), answered).await.is_err();
        let now = core.clock.now();
        let charged = core.quotas().charge_again(now, account, cost, false);
        if is_late || !charged.is_err_and(|e| e.may_wait) {
            let outcome = if charged.is_ok() {
                "granted"
            } else {
                "refused"
            };
            metrics::counter!("buckthorncleat_quota_waits_total", "outcome" => outcome)
                .increment(1);
            return charged;
        }
    }
}

fn host_of(head: &hyper::http::request::Parts) -> Option<String> {
    let named = head.headers.get(header::HOST);
    let named = named.and_then(|value| value.to_str().ok());
    let host = named.or_else(|| head.uri.host())?;
    let host = host.rsplit_once(':').map_or(host, |(host, _)| host);
    Some(host.to_ascii_lowercase())
}
