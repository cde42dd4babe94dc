//! Requests that are answered by a stream of events, placed on prefill and decode servers.

mod log_lines;

use std::sync;

use bytes::Bytes;
use tokio::time;

use crate::clock;
use crate::document;
use crate::fleet::budget;
use crate::fleet::message;
use crate::http::body;
use crate::id;
use crate::router::balancer;
use crate::router::in_flight;
use crate::router::output;
use crate::router::prefill;
use crate::router::protocol;
use crate::router::relay;
use crate::router::request;
use crate::router::reserve;
use crate::router::retry_after;
use crate::router::upstream;
use crate::unit;

use request::Refusal;
use request::draw_retry_after;

/// The part of the target up to which a request waits for a place, as a divisor and a factor: the
/// rest is for reading the prompt.
const PLACEMENT_WAIT_SHARE: (u64, u64) = (3, 2);

/// The shortest wait for a place, for a request that is sent again late.
const MIN_PLACEMENT_WAIT: clock::Millis = clock::Millis::new(100);

/// How long a request waits whose caller was refused before: less than the time after which callers
/// take a silent stream for lost.
const MAX_RESEND_WAIT: clock::Millis = clock::Millis::new(2_500);

/// How long a stream that broke waits for another server, before all that have not begun: less than
/// the time after which callers take a silent stream for lost.
const MAX_RESUME_WAIT: clock::Millis = clock::Millis::new(2_000);

/// Put before the rank of requests that are late already, so that they hold no other request up.
const PAST_TARGET_PRIORITY: u16 = 1 << 15;

/// The longest pause between two looks for a place; places also become free at other routers.
const POLL_INTERVAL: clock::Millis = clock::Millis::new(40);

/// The pieces of an answer that may wait for a slow caller: small instances hold many streams.
const MAX_BUFFERED_CHUNKS: usize = 16;

/// A run of a request, over all its attempts.
pub struct StreamRequest {
    /// The request.
    pub req: request::Request,
    /// The servers that were tried.
    tried: Vec<id::BackendServerId>,
    /// The servers that the request was sent to.
    attempts: u32,
    connect_failures: u32,
    /// Whether some attempt may have run.
    may_have_run: bool,
    /// The KV cache of the prompt, while it is there for another decode server.
    export: Option<prefill::Exported>,
    /// The server that read the prompt ahead.
    prefill_server: Option<id::BackendServerId>,
    /// The time from the arrival to the newest place.
    waited: clock::Millis,
    /// The last event that the caller has.
    pub resume_after: Option<u64>,
}

/// An answer that has begun.
pub struct OpenStream {
    /// The answer.
    pub answer: upstream::Answer,
    /// The first piece of its body, if it has one.
    pub first_chunk: Option<Bytes>,
    /// The place at its server.
    pub guard: in_flight::Guard,
    /// The server.
    pub pick: balancer::Pick,
}

/// A decode server that was picked, with the room there.
struct Placement {
    pick: balancer::Pick,
    guard: in_flight::Guard,
    /// The room that the server keeps for the request.
    reservation: Option<reserve::Guard>,
}

/// How an attempt went.
enum Attempt {
    Opened(Box<OpenStream>),
    /// A server's own failure, as a whole answer.
    Failed(request::Response),
    /// The request did not run there.
    NotRun,
    /// It may have run there.
    Lost,
}

/// Serves a request that is answered by a stream.
///
/// # Errors
///
/// Tells the caller whether the request may have run.
pub async fn serve(req: request::Request) -> Result<request::Response, Refusal> {
    let mut stream = StreamRequest::new(req);
    let opened = match stream.open().await? {
        Ok(opened) => opened,
        Err(failed) => return Ok(failed),
    };
    let (tx, body) = body::Body::channel(MAX_BUFFERED_CHUNKS);
    let response = opened.answer.to_response(body);
    let first_event = stream.req.age();
    metrics::histogram!("buckthorncleat_first_event_seconds").record(first_event.as_secs_f64());
    stream.log_begun(&opened);
    let core = sync::Arc::clone(&stream.req.core);
    core.spawn_stream(relay::run(stream, *opened, tx, first_event));
    Ok(response)
}

impl StreamRequest {
    fn new(req: request::Request) -> Self {
        Self {
            tried: Vec::new(),
            attempts: 0,
            connect_failures: 0,
            may_have_run: false,
            export: None,
            prefill_server: None,
            waited: clock::Millis::ZERO,
            resume_after: req.caller.resume_after,
            req,
        }
    }

    /// Returns the memory that the request is expected to need.
    pub fn expected_memory(&self) -> unit::Tokens {
        self.decode_load().memory
    }

    /// Makes attempts until an answer has begun; the inner error is a server's own failure.
    ///
    /// # Errors
    ///
    /// Tells whether the request may have run.
    pub async fn open(&mut self) -> Result<Result<Box<OpenStream>, request::Response>, Refusal> {
        let deadline = self.placement_deadline();
        loop {
            if let Err(refusal) = self.check_attempt() {
                return Err(self.final_refusal(refusal));
            }
            let placement = match self.find_placement(deadline).await {
                Ok(Some(placement)) => placement,
                Ok(None) => continue,
                Err(refusal) => return Err(self.final_refusal(refusal)),
            };
            self.waited = self.req.age();
            metrics::histogram!("buckthorncleat_wait_seconds").record(self.waited.as_secs_f64());
            let pick = placement.pick.clone();
            if self.attempts > 0 && !self.req.take_retry(budget::Purpose::Needed) {
                return Err(self.final_refusal(Refusal::NotRun(
                    "no retry budget",
                    draw_retry_after(retry_after::Cause::StreamsFull),
                )));
            }
            self.tried.push(pick.id.clone());
            match self.attempt(placement).await {
                Attempt::Opened(opened) => return Ok(Ok(opened)),
                Attempt::Failed(response) => {
                    self.may_have_run = true;
                    if self.check_attempt().is_err() {
                        let served = request::Served::FailedAtServer;
                        self.req.log_served(served, &pick, self.attempts);
                        return Ok(Err(response));
                    }
                }
                Attempt::NotRun => {}
                Attempt::Lost => self.may_have_run = true,
            }
        }
    }

    fn check_attempt(&self) -> Result<(), Refusal> {
        let may_resend = self.req.route.repeats.is_allowed() || !self.may_have_run;
        let max_attempts = self.req.route.attempts.max(1);
        if !may_resend
            || self.attempts >= max_attempts
            || self.connect_failures > request::MAX_CONNECT_FAILURES
        {
            return Err(Refusal::NotRun(
                "servers failed",
                draw_retry_after(retry_after::Cause::ServersFailed),
            ));
        }
        if self.req.time_left() == clock::Millis::ZERO {
            return Err(Refusal::NotRun(
                "no time left",
                draw_retry_after(retry_after::Cause::StreamsFull),
            ));
        }
        Ok(())
    }

    /// Tells whether the caller has a part of the answer already.
    fn has_begun(&self) -> bool {
        self.resume_after > self.req.caller.resume_after
    }

    /// Returns until when to wait for a place: as long as the answer can still begin in time. A
    /// caller that has waited before is late anyway; it waits for what the others leave.
    fn placement_deadline(&self) -> clock::Millis {
        let now = self.req.core.clock.now();
        if self.has_begun() {
            return (now + MAX_RESUME_WAIT).min(self.req.deadline);
        }
        let wait = if self.req.is_resend() {
            MAX_RESEND_WAIT
        } else {
            let target = self.req.route.target.as_u64();
            clock::Millis::new(target * PLACEMENT_WAIT_SHARE.1 / PLACEMENT_WAIT_SHARE.0)
        };
        let deadline = (self.req.received_at + wait).max(now + MIN_PLACEMENT_WAIT);
        deadline.min(self.req.deadline)
    }

    fn final_refusal(&self, refusal: Refusal) -> Refusal {
        if !self.may_have_run {
            refusal
        } else if self.req.time_left() == clock::Millis::ZERO {
            Refusal::TimedOut("server silent")
        } else {
            Refusal::MayHaveRun("server broke off")
        }
    }

    /// Finds a decode server and reserves room there; `None` means that another look is needed.
    async fn find_placement(
        &mut self,
        deadline: clock::Millis,
    ) -> Result<Option<Placement>, Refusal> {
        let (pick, guard) = self.wait_for_server(deadline).await?;
        let req = &self.req;
        let reserved = reserve::reserve(&req.core, &req.service, &pick, guard.load().memory).await;
        let reservation = match reserved {
            reserve::Outcome::Reserved(reservation) => Some(reservation),
            reserve::Outcome::Unsupported => None,
            reserve::Outcome::Full => {
                guard.finish(balancer::Outcome::Neutral);
                req.core.mark_full(&pick.id);
                return Ok(None);
            }
            reserve::Outcome::Misdirected => {
                guard.finish(balancer::Outcome::Neutral);
                req.core.mark_misdirected(&pick.id);
                return Ok(None);
            }
            reserve::Outcome::Lost(failure) => {
                guard.finish(failure.outcome());
                self.connect_failures += 1;
                self.tried.push(pick.id);
                return Ok(None);
            }
        };
        Ok(Some(Placement {
            pick,
            guard,
            reservation,
        }))
    }

    /// Waits for a decode server with room, for as long as the answer can still begin in time.
    async fn wait_for_server(
        &self,
        deadline: clock::Millis,
    ) -> Result<(balancer::Pick, in_flight::Guard), Refusal> {
        let req = &self.req;
        let load = self.decode_load();
        let has_begun = self.has_begun();
        let past_target = req.is_resend() && !has_begun;
        let priority = match (has_begun, past_target) {
            (true, _) => 0,
            (false, true) => req.priority | PAST_TARGET_PRIORITY,
            (false, false) => req.priority,
        };
        let requirements = balancer::Requirements {
            memory: load.memory,
            past_target,
        };
        let queued = req.core.enqueue(&req.service.id, priority);
        loop {
            let now = req.core.clock.now();
            // The waiter registers before the look, so that no change in between is missed.
            let freed = req.core.capacity_freed.notified();
            let picked = if queued.is_first() {
                let balancer = req.core.balancer();
                balancer.pick_decode(now, &req.service, requirements, &self.tried, rand::random())
            } else {
                Err(balancer::PickError::Full)
            };
            match picked {
                Ok(pick) => {
                    let guard = in_flight::Guard::new(&req.core, &pick.id, load);
                    return Ok((pick, guard));
                }
                Err(balancer::PickError::NoServer) => {
                    return Err(Refusal::NotRun(
                        "no server",
                        draw_retry_after(retry_after::Cause::ServersFailed),
                    ));
                }
                Err(balancer::PickError::Full) if now >= deadline => {
                    self.log_no_room(now, load.memory);
                    return Err(Refusal::NotRun(
                        "servers full",
                        draw_retry_after(retry_after::Cause::StreamsFull),
                    ));
                }
                Err(balancer::PickError::Full) => {}
            }
            let wait = POLL_INTERVAL.min(deadline - now).max(clock::Millis::new(1));
            // The end of the pause is a reason to look again too.
            let _ = time::timeout(wait.as_duration(), freed).await;
        }
    }

    fn decode_load(&self) -> message::Load {
        let generation = self.req.caller.generation.unwrap_or_default();
        message::Load {
            requests: 1,
            memory: balancer::memory_for(generation.prompt, output::expected_output(generation)),
            prompts: unit::Tokens::new(0),
        }
    }

    async fn attempt(&mut self, placement: Placement) -> Attempt {
        let Placement {
            pick,
            guard,
            mut reservation,
        } = placement;
        let pick = &pick;
        if self.resume_after.is_none() && self.attempts == 0 && self.export.is_none() {
            self.export = prefill::run(&self.req).await;
            self.prefill_server = self.export.as_ref().map(|e| e.server.clone());
        }
        let now = self.req.core.clock.now();
        let export = self.export.clone().filter(|e| now < e.usable_until);
        let work = match &export {
            Some(exported) => protocol::Work::Decode {
                from: exported.address,
                export: &exported.export,
            },
            None => protocol::Work::Run,
        };
        let reservation = reservation.as_mut().map(reserve::Guard::take);
        let server_req =
            self.req
                .server_request(pick, work, self.resume_after, reservation.as_ref());
        let limit = self.first_event_timeout();
        let deadline = self.req.core.clock.now() + limit;
        let answer = upstream::send(pick.address, server_req, limit).await;
        let answer = answer.and_then(|answer| {
            self.req
                .execution(&answer)
                .map(|execution| (execution, answer))
        });
        match answer {
            Ok((protocol::Execution::Ran, answer)) => {
                self.attempts += 1;
                self.export = None;
                self.begin_answer(pick, guard, answer, deadline).await
            }
            Ok((execution, _)) => {
                self.attempts += 1;
                if execution == protocol::Execution::Misdirected {
                    self.req.core.mark_misdirected(&pick.id);
                }
                guard.finish(balancer::Outcome::Neutral);
                self.log_refused_by_server(pick, execution, export.is_some());
                Attempt::NotRun
            }
            Err(upstream::Failure::NotSent) => {
                self.connect_failures += 1;
                guard.finish(balancer::Outcome::ConnectFailed);
                Attempt::NotRun
            }
            Err(failure) => {
                self.attempts += 1;
                self.export = None;
                self.record_lost_server(pick, guard, failure);
                Attempt::Lost
            }
        }
    }

    async fn begin_answer(
        &self,
        pick: &balancer::Pick,
        guard: in_flight::Guard,
        mut answer: upstream::Answer,
        deadline: clock::Millis,
    ) -> Attempt {
        let left = deadline - self.req.core.clock.now();
        if !answer.status.is_success() {
            let whole = answer.read_to_end(left).await;
            let Ok(whole) = whole else {
                self.record_lost_server(pick, guard, upstream::Failure::Broken);
                return Attempt::Lost;
            };
            guard.finish(balancer::Outcome::Failed);
            return Attempt::Failed(answer.to_response(body::Body::from_bytes(whole)));
        }
        let first_chunk = match time::timeout(left.as_duration(), answer.next_chunk()).await {
            Ok(Ok(first_chunk)) => first_chunk,
            Ok(Err(failure)) => {
                self.record_lost_server(pick, guard, failure);
                return Attempt::Lost;
            }
            Err(_) => {
                self.record_lost_server(pick, guard, upstream::Failure::TimedOut);
                return Attempt::Lost;
            }
        };
        Attempt::Opened(Box::new(OpenStream {
            answer,
            first_chunk,
            guard,
            pick: pick.clone(),
        }))
    }

    /// Returns how long a server may take to its first event; a stream that can be taken up
    /// elsewhere is not left waiting at a silent server.
    fn first_event_timeout(&self) -> clock::Millis {
        let left = self.req.time_left();
        let max_attempts = self.req.route.attempts;
        let has_more_attempts =
            self.req.route.repeats.is_allowed() && self.attempts + 1 < max_attempts;
        if has_more_attempts {
            left.min(self.req.route.target * 2)
        } else {
            left
        }
    }

    /// Notes that a server was lost while it ran the request.
    pub fn record_lost_server(
        &self,
        pick: &balancer::Pick,
        guard: in_flight::Guard,
        failure: upstream::Failure,
    ) {
        guard.finish(balancer::Outcome::Lost);
        if failure == upstream::Failure::Broken {
            self.req.core.record_loss(self.req.fingerprint, &pick.id);
        }
        self.log_lost(pick, failure);
    }
}

/// Tells whether a stream of the route can be taken up at another server.
pub fn can_resume(route: &document::Route) -> bool {
    route.repeats == document::Repeats::ByResuming
}
