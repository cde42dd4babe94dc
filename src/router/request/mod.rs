//! Admits a caller's request: reads it, finds its route, charges its account and hands it to the
//! right handler.

mod log_lines;
mod refusal;

pub use log_lines::Served;
pub use refusal::Attempts;
pub use refusal::Ended;
pub use refusal::Refusal;

use std::sync;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body as hyper_body;
use hyper::header;
use tokio::time;

use crate::clock;
use crate::document;
use crate::fleet::budget;
use crate::fleet::crashes;
use crate::fleet::forward as fleet_forward;
use crate::fleet::origin;
use crate::fleet::quota;
use crate::http::body;
use crate::http::hop;
use crate::id;
use crate::router::arrivals;
use crate::router::availability;
use crate::router::balancer;
use crate::router::core;
use crate::router::forward;
use crate::router::generate;
use crate::router::helper;
use crate::router::plain;
use crate::router::protocol;
use crate::router::retries;
use crate::router::retry_after;
use crate::router::retry_gate;
use crate::router::run_gate;
use crate::router::table;
use crate::router::upstream;
use crate::state::model;

pub type Response = hyper::Response<body::Body>;

/// A caller that waits for less than this share of the route's time limit (numerator, denominator)
/// is taken for one that resends a refused request. On a first attempt some callers also wait for a
/// little less than the route allows.
const MIN_FIRST_WAIT_SHARE: (u64, u64) = (4, 5);

/// Servers that may be tried beyond the allowed attempts because earlier ones could not be reached.
pub const MAX_CONNECT_FAILURES: u32 = 3;

/// The longest wait of a request for a share of its account's quota: a report before its time, and
/// another one when that was lost.
const MAX_SHARE_WAIT: clock::Millis = clock::Millis::new(300);

/// An admitted request: read, routed and charged.
pub struct Request {
    pub core: sync::Arc<core::Core>,
    /// The head as received.
    pub head: hyper::http::request::Parts,
    pub body: Bytes,
    /// What the caller's headers say.
    pub caller: protocol::CallerHead,
    pub route: document::Route,
    /// The service picked by the weights of the route.
    pub service: document::Service,
    /// The account that is charged; `None` on a route open to all.
    pub account: Option<id::ClientAccountId>,
    /// Priority in the queue, lowest first: the account's priority in the high byte, the route's in
    /// the low one.
    pub priority: u16,
    pub received_at: clock::Millis,
    /// When the final answer is due.
    pub deadline: clock::Millis,
    /// What the request has in common with others, broadest first: the parts of its prompt, and the
    /// digest that is the same for each resend.
    pub fingerprints: Vec<model::Fingerprint>,
    /// Quota units that the account had left after the charge, as far as this router knows.
    pub quota_left: i64,
    /// Whether another router passed the request on; it is not passed on once more.
    is_forwarded: bool,
    /// Where a stream began that the caller or another router takes up, as far as that router knows.
    pub known_origin: Option<origin::Origin>,
    arrivals: sync::Mutex<arrivals::Arrivals>,
}

/// How a request came to this router, with its body.
enum Source {
    Caller(hyper_body::Incoming),
    Router(Box<fleet_forward::Forwarded>),
}

/// Returns a random time after which a refused caller should send again.
pub fn draw_retry_after(cause: retry_after::Cause) -> clock::Millis {
    retry_after::delay(cause, rand::random())
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
    let standing = core.suspects().standing(&req.fingerprints);
    if standing == Some(crashes::Standing::Quarantined) {
        log_lines::log_quarantined(core, &log_context.request_id, &req.fingerprints);
        return Err(run_gate::quarantined());
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
    let (body, service, progress) = match source {
        Source::Caller(incoming) => {
            let body = read_body(incoming, &table.document().limits).await?;
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
    fingerprints.push(table::fingerprint(account_id, head.uri.path(), &body));
    let max_wait = caller.max_wait.unwrap_or(route.time_limit);
    let priority =
        account.map_or(0, |a| u16::from(a.priority.min(63))) << 8 | u16::from(route.priority);
    let request = Request {
        core: sync::Arc::clone(core),
        body,
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
        forward::Outcome::Answered(response) => Ok(response),
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

async fn read_body(
    incoming: hyper_body::Incoming,
    limits: &document::CallerLimits,
) -> Result<Bytes, Refusal> {
    let bounded = http_body_util::Limited::new(incoming, limits.max_body_bytes);
    let read = time::timeout(limits.idle_timeout.as_duration(), bounded.collect());
    match read.await {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => Err(Refusal::TooLarge),
        Ok(Err(_)) | Err(_) => Err(Refusal::Malformed),
    }
}

impl Drop for Request {
    fn drop(&mut self) {
        self.give_back_retry();
    }
}

impl Request {
    /// Returns the time until the deadline.
    pub fn time_left(&self) -> clock::Millis {
        self.deadline - self.core.clock.now()
    }

    /// Returns whether the caller waits for less than the route allows, as one does whose earlier
    /// request was refused.
    pub fn is_resend(&self) -> bool {
        let limit = self.route.time_limit.as_u64();
        let max_wait = self.caller.max_wait.map_or(limit, clock::Millis::as_u64);
        max_wait * MIN_FIRST_WAIT_SHARE.1 < limit * MIN_FIRST_WAIT_SHARE.0
    }

    /// Makes the request one for another service of its route.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the document in force has no such service.
    pub fn use_service(&mut self, service: &document::ServiceId) -> Result<(), Refusal> {
        if self.service.id != *service {
            let table = self.core.table();
            let found = table.as_ref().and_then(|t| t.service(service));
            self.service = found.cloned().ok_or(Refusal::NotRun(
                "no service",
                draw_retry_after(retry_after::Cause::NotReady),
            ))?;
        }
        Ok(())
    }

    /// Returns the time since the request was received.
    pub fn age(&self) -> clock::Millis {
        self.core.clock.now() - self.received_at
    }

    /// Builds the request that is sent to a server.
    pub fn server_request(
        &self,
        pick: &balancer::Pick,
        work: protocol::Work<'_>,
        resume_after: Option<u64>,
        reservation: Option<&protocol::Reservation>,
    ) -> hyper::Request<http_body_util::Full<Bytes>> {
        let body = http_body_util::Full::new(self.body.clone());
        let mut req = hyper::Request::new(body);
        *req.method_mut() = self.head.method.clone();
        *req.uri_mut() = hop::path_only(&self.head.uri);
        *req.headers_mut() = hop::end_to_end(&self.head.headers);
        let server_head = protocol::ServerHead {
            time_left: self.time_left(),
            server: &pick.id,
            account: self.account.as_ref(),
            resume_after,
            work,
            priority: None,
            reservation,
        };
        self.core
            .codec
            .write_server_head(req.headers_mut(), &server_head);
        req
    }

    /// Returns whether the request ran, by the head of a server's answer.
    ///
    /// # Errors
    ///
    /// Fails with `Broken` if the answer names another request id. So does a refusal that names none: it may
    /// be that of an earlier request.
    pub fn execution(
        &self,
        head: &protocol::ServerAnswer,
    ) -> Result<protocol::Execution, upstream::Failure> {
        let is_named = head.request_id == self.caller.request_id;
        let is_proper = match head.execution {
            protocol::Execution::Ran => is_named || head.request_id.is_none(),
            protocol::Execution::NotRun | protocol::Execution::Misdirected => is_named,
        };
        if is_proper {
            Ok(head.execution)
        } else {
            Err(upstream::Failure::Broken)
        }
    }

    /// Returns whether another call of the request may be sent to a server. If it is a retry, takes a
    /// share of the budget, unless one was taken before.
    pub async fn may_call(&self, purpose: budget::Purpose) -> bool {
        let now = self.core.clock.now();
        let may_call = self.arrivals().may_send(now);
        may_call || self.take_retry(purpose).await
    }

    /// Takes a share of the retry budget for the call after the next one, which is a retry if the next
    /// one is refused; returns false if there is none.
    pub async fn prepare_retry(&self, purpose: budget::Purpose) -> bool {
        let now = self.core.clock.now();
        let has_share = self.arrivals().has_share(now);
        has_share || self.take_retry(purpose).await
    }

    async fn take_retry(&self, purpose: budget::Purpose) -> bool {
        let share = retry_gate::acquire(&self.core, &self.service.id, purpose).await;
        self.log_retry(purpose, share.is_some());
        let is_granted = share.is_some();
        let unused = share.and_then(|share| self.arrivals().hold(share));
        self.give_back(unused);
        is_granted
    }

    /// Records that a call of the request is sent to a server. Returns false when it must not be
    /// sent, since it is a retry without a valid share of the budget.
    pub fn begin_arrival(&self, pick: &balancer::Pick, purpose: availability::Purpose) -> bool {
        let now = self.core.clock.now();
        let arrival = self.arrivals().send(now);
        if let Some(arrivals::Arrival::Retry(share)) = arrival {
            let service = &self.service.id;
            self.core.retries().record_sent(now, service, share);
            self.log_retry_sent(pick, purpose);
        }
        arrival.is_some()
    }

    /// Gives back the share of the budget that the request holds, if any.
    pub fn give_back_retry(&self) {
        let unused = self.arrivals().take_share();
        self.give_back(unused);
    }

    fn give_back(&self, share: Option<retries::Share>) {
        if let Some(share) = share {
            self.core.retries().give_back(&self.service.id, share);
        }
    }

    /// Records that a server completed the prefill that was sent last.
    pub fn record_prefill(&self) {
        self.arrivals().complete_prefill();
    }

    fn arrivals(&self) -> sync::MutexGuard<'_, arrivals::Arrivals> {
        self.arrivals
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Returns whether another router passed the request on.
    pub const fn is_forwarded(&self) -> bool {
        self.is_forwarded
    }

    /// Returns the caller's request id for the log, empty without one.
    pub fn log_id(&self) -> &str {
        self.caller.request_id.as_deref().unwrap_or("")
    }

    /// Returns whether the request, or a part of its prompt, crashes servers.
    pub fn is_quarantined(&self) -> bool {
        let standing = self.core.suspects().standing(&self.fingerprints);
        standing == Some(crashes::Standing::Quarantined)
    }

    /// Records that a server was lost under a run of the request, which had been going on if `is_sound`.
    pub fn record_loss(
        &self,
        server: &id::BackendServerId,
        begun_at: clock::Millis,
        is_sound: bool,
    ) {
        let now = self.core.clock.now();
        let fingerprints = if is_sound {
            Vec::new()
        } else {
            self.fingerprints.clone()
        };
        let mut suspects = self.core.suspects();
        suspects.record_loss(now, server, fingerprints, begun_at);
        drop(suspects);
        self.core.report_due.notify_one();
    }

    /// Records that a run of the request went on.
    pub fn record_sound(&self, begun_at: clock::Millis) {
        let mut suspects = self.core.suspects();
        suspects.record_sound(&self.fingerprints, begun_at);
    }

    /// Returns the fingerprints for the log, separated by commas.
    pub fn log_fingerprints(&self) -> String {
        let texts: Vec<String> = self.fingerprints.iter().map(|f| f.to_string()).collect();
        texts.join(",")
    }

    /// Returns the account's name for the log, empty on a route open to all.
    pub fn log_account(&self) -> &str {
        self.account.as_ref().map_or("", |a| a.as_str())
    }
}
