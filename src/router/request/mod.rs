//! An admitted request of a caller, with what all its attempts need.

mod admission;
mod caller_body;
mod log_lines;
mod refusal;

pub use admission::serve;
pub use admission::serve_forwarded;
pub use log_lines::Served;
pub use refusal::Attempts;
pub use refusal::Ended;
pub use refusal::Refusal;
pub use refusal::is_own_refusal;

use std::sync;

use bytes::Bytes;

use crate::clock;
use crate::document;
use crate::fleet::budget;
use crate::fleet::crashes;
use crate::fleet::origin;
use crate::http::body;
use crate::http::hop;
use crate::http::memory;
use crate::http::progress;
use crate::id;
use crate::router::arrivals;
use crate::router::availability;
use crate::router::balancer;
use crate::router::core;
use crate::router::departures;
use crate::router::protocol;
use crate::router::retries;
use crate::router::retry_after;
use crate::router::retry_gate;
use crate::router::server_check;
use crate::router::upstream;
use crate::state::model;

pub type Response = hyper::Response<body::Body>;

/// A caller that waits for less than this share of the route's time limit (numerator, denominator)
/// is taken for one that resends a refused request. On a first attempt some callers also wait for a
/// little less than the route allows.
const MIN_FIRST_WAIT_SHARE: (u64, u64) = (4, 5);

/// Servers that may be tried beyond the allowed attempts because earlier ones could not be reached.
pub const MAX_CONNECT_FAILURES: u32 = 3;

/// An admitted request: read, routed and charged.
pub struct Request {
    pub core: sync::Arc<core::Core>,
    /// The head as received.
    pub head: hyper::http::request::Parts,
    pub body: Bytes,
    /// The memory that the body takes.
    _body_memory: memory::BodyPermit,
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
    /// The run of which nothing tells yet how it goes.
    running: sync::Mutex<Option<departures::Run>>,
}

/// Returns a random time after which a refused caller should send again.
pub fn draw_retry_after(cause: retry_after::Cause) -> clock::Millis {
    retry_after::delay(cause, rand::random())
}

impl Drop for Request {
    fn drop(&mut self) {
        self.give_back_retry();
        if let Some(run) = self.running().take() {
            server_check::depart(&self.core, run);
        }
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

    /// Returns whether an answer with this status, of a server that may have run the request, must not reach
    /// the caller: it would promise that the request can be sent again without running twice.
    ///
    /// On a route whose requests may run more than once, nothing depends on the promise, and the server's
    /// answer tells the caller more than one of this router.
    pub fn withholds(&self, status: hyper::StatusCode) -> bool {
        refusal::is_promise(status) && !self.route.retry_policy.allows_retry()
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
        if arrival.is_some() {
            self.begin_run(now, pick);
        }
        arrival.is_some()
    }

    fn begin_run(&self, now: clock::Millis, pick: &balancer::Pick) {
        let request = self.fingerprints.last();
        *self.running() = request.map(|request| departures::Run {
            server: pick.id.clone(),
            address: pick.address,
            started_at: self.core.balancer().life(&pick.id).started_at,
            request: *request,
            begun_at: now,
            begun_wall: clock::wall_millis(),
        });
    }

    /// Records that it is known how the run went, so that nothing has to be found out when the caller leaves.
    pub fn end_run(&self) {
        *self.running() = None;
    }

    fn running(&self) -> sync::MutexGuard<'_, Option<departures::Run>> {
        self.running
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
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

    /// Records that a server was lost under a run of the request, which had been going on if `is_sound`;
    /// returns whether the leader must know it before the request runs again.
    pub fn record_loss(
        &self,
        pick: &balancer::Pick,
        begun_at: clock::Millis,
        is_sound: bool,
        failure: upstream::Failure,
    ) -> bool {
        self.end_run();
        let is_broken = match failure {
            upstream::Failure::Broken => true,
            upstream::Failure::TimedOut => false,
            upstream::Failure::NotSent | upstream::Failure::Withdrawn => return false,
        };
        let fingerprints = if is_sound {
            Vec::new()
        } else {
            self.fingerprints.clone()
        };
        if is_broken {
            let now = self.core.clock.now();
            let mut suspects = self.core.suspects();
            suspects.record_loss(now, &pick.id, fingerprints, begun_at);
            drop(suspects);
            self.core.report_due.notify_one();
        }
        if !is_sound {
            let seen = match is_broken {
                true => server_check::Seen::Broken,
                false => server_check::Seen::Silent,
            };
            self.check_server(pick, begun_at, seen);
        }
        is_broken && !is_sound
    }

    /// Records that a run of the request went on to its end. An answer that ends with its connection may have
    /// been cut, so the server is checked first.
    pub fn record_end(
        &self,
        pick: &balancer::Pick,
        begun_at: clock::Millis,
        framing: progress::Framing,
    ) {
        self.end_run();
        match framing {
            progress::Framing::Length | progress::Framing::Chunked => self.record_sound(begun_at),
            progress::Framing::UntilClose => {
                self.check_server(pick, begun_at, server_check::Seen::EndedWithConnection);
            }
        }
    }

    /// Records that a run of the request went on.
    pub fn record_sound(&self, begun_at: clock::Millis) {
        self.end_run();
        let mut suspects = self.core.suspects();
        suspects.record_sound(&self.fingerprints, begun_at);
    }

    fn check_server(
        &self,
        pick: &balancer::Pick,
        begun_at: clock::Millis,
        seen: server_check::Seen,
    ) {
        let run = server_check::Run {
            server: pick.id.clone(),
            address: pick.address,
            fingerprints: self.fingerprints.clone(),
            begun_at,
            seen,
        };
        server_check::spawn(&self.core, run);
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
