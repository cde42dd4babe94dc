//! Requests that are answered by a stream of events, placed on prefill and decode servers.

mod lines;

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
use crate::router::edge;
use crate::router::in_flight;
use crate::router::output;
use crate::router::prefill;
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
const WAIT_SHARE: (u64, u64) = (3, 2);

/// The shortest wait for a place, for a request that is sent again late.
const MIN_WAIT: clock::Millis = clock::Millis::new(100);

/// How long a request waits whose caller was refused before: less than the time after which callers
/// take a silent stream for lost.
const LATE_WAIT: clock::Millis = clock::Millis::new(2_500);

/// How long a stream that broke waits for another server, before all that have not begun: less than
/// the time after which callers take a silent stream for lost.
const RESUME_WAIT: clock::Millis = clock::Millis::new(2_000);

/// Put before the rank of requests that are late already, so that they hold no other request up.
const LATE_RANK: u16 = 1 << 15;

/// The longest pause between two looks for a place; places also become free at other routers.
const LOOK_PAUSE: clock::Millis = clock::Millis::new(40);

/// The pieces of an answer that may wait for a slow caller: small instances hold many streams.
const CALLER_PIECES: usize = 16;

/// A run of a request, over all its attempts.
pub struct Run {
    /// The request.
    pub req: request::Request,
    /// The servers that were tried.
    tried: Vec<id::BackendServerId>,
    /// The servers that the request was sent to.
    sent: u32,
    unreached: u32,
    /// Whether some attempt may have run.
    ran: bool,
    /// The KV cache of the prompt, while it is there for another decode server.
    export: Option<prefill::Exported>,
    /// The server that read the prompt ahead.
    prompt_server: Option<id::BackendServerId>,
    /// The time from the arrival to the newest place.
    waited: clock::Millis,
    /// The last event that the caller has.
    pub resume_after: Option<u64>,
}

/// An answer that has begun.
pub struct Opened {
    /// The answer.
    pub answer: upstream::Answer,
    /// The first piece of its body, if it has one.
    pub first: Option<Bytes>,
    /// The place at its server.
    pub guard: in_flight::Guard,
    /// The server.
    pub pick: balancer::Pick,
}

/// A decode server that was picked, with the room there.
struct Place {
    pick: balancer::Pick,
    guard: in_flight::Guard,
    /// The room that the server keeps for the request.
    hold: Option<reserve::Taken>,
}

/// How an attempt went.
enum Attempt {
    Opened(Box<Opened>),
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
    let mut run = Run::new(req);
    let opened = match run.open().await? {
        Ok(opened) => opened,
        Err(failed) => return Ok(failed),
    };
    let (tx, body) = body::Body::channel(CALLER_PIECES);
    let response = opened.answer.relay(body);
    let first_event = run.req.age();
    metrics::histogram!("buckthorncleat_first_event_seconds").record(first_event.as_secs_f64());
    run.log_begun(&opened);
    let core = sync::Arc::clone(&run.req.core);
    core.spawn_stream(relay::run(run, *opened, tx, first_event));
    Ok(response)
}

impl Run {
    fn new(req: request::Request) -> Self {
        Self {
            tried: Vec::new(),
            sent: 0,
            unreached: 0,
            ran: false,
            export: None,
            prompt_server: None,
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
    pub async fn open(&mut self) -> Result<Result<Box<Opened>, request::Response>, Refusal> {
        let until = self.place_until();
        loop {
            if let Err(refusal) = self.may_try() {
                return Err(self.give_up(refusal));
            }
            let place = match self.place_and_reserve(until).await {
                Ok(Some(place)) => place,
                Ok(None) => continue,
                Err(refusal) => return Err(self.give_up(refusal)),
            };
            self.waited = self.req.age();
            metrics::histogram!("buckthorncleat_wait_seconds").record(self.waited.as_secs_f64());
            let pick = place.pick.clone();
            if self.sent > 0 && !self.req.may_repeat(budget::Purpose::Needed) {
                return Err(self.give_up(Refusal::NotRun(
                    "no retry budget",
                    draw_retry_after(retry_after::Cause::StreamsFull),
                )));
            }
            self.tried.push(pick.id.clone());
            match self.attempt(place).await {
                Attempt::Opened(opened) => return Ok(Ok(opened)),
                Attempt::Failed(response) => {
                    self.ran = true;
                    if self.may_try().is_err() {
                        let served = request::Served::FailedAtServer;
                        self.req.log_served(served, &pick, self.sent);
                        return Ok(Err(response));
                    }
                }
                Attempt::NotRun => {}
                Attempt::Lost => self.ran = true,
            }
        }
    }

    fn may_try(&self) -> Result<(), Refusal> {
        let again = self.req.route.repeats.is_allowed() || !self.ran;
        let attempts = self.req.route.attempts.max(1);
        if !again || self.sent >= attempts || self.unreached > request::MAX_UNREACHED {
            return Err(Refusal::NotRun(
                "servers failed",
                draw_retry_after(retry_after::Cause::ServersFailed),
            ));
        }
        if self.req.left() == clock::Millis::ZERO {
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
    fn place_until(&self) -> clock::Millis {
        let now = self.req.core.clock.now();
        if self.has_begun() {
            return (now + RESUME_WAIT).min(self.req.due);
        }
        let wait = if self.req.is_returning() {
            LATE_WAIT
        } else {
            let target = self.req.route.target.as_u64();
            clock::Millis::new(target * WAIT_SHARE.1 / WAIT_SHARE.0)
        };
        let until = (self.req.came + wait).max(now + MIN_WAIT);
        until.min(self.req.due)
    }

    fn give_up(&self, refusal: Refusal) -> Refusal {
        if !self.ran {
            refusal
        } else if self.req.left() == clock::Millis::ZERO {
            Refusal::Late("server silent")
        } else {
            Refusal::Unknown("server broke off")
        }
    }

    /// Finds a decode server and reserves room there; `None` means that another look is needed.
    async fn place_and_reserve(&mut self, until: clock::Millis) -> Result<Option<Place>, Refusal> {
        let (pick, guard) = self.place(until).await?;
        let req = &self.req;
        let reserved = reserve::take(&req.core, &req.service, &pick, guard.load().memory).await;
        let hold = match reserved {
            reserve::Reserved::Taken(hold) => Some(hold),
            reserve::Reserved::NotOffered => None,
            reserve::Reserved::Full => {
                guard.finish(balancer::Outcome::Neutral);
                req.core.note_full(&pick.id);
                return Ok(None);
            }
            reserve::Reserved::Elsewhere => {
                guard.finish(balancer::Outcome::Neutral);
                req.core.note_misplaced(&pick.id);
                return Ok(None);
            }
            reserve::Reserved::Lost(failure) => {
                guard.finish(failure.into_end());
                self.unreached += 1;
                self.tried.push(pick.id);
                return Ok(None);
            }
        };
        Ok(Some(Place { pick, guard, hold }))
    }

    /// Waits for a decode server with room, for as long as the answer can still begin in time.
    async fn place(
        &self,
        until: clock::Millis,
    ) -> Result<(balancer::Pick, in_flight::Guard), Refusal> {
        let req = &self.req;
        let load = self.decode_load();
        let begun = self.has_begun();
        let past_target = req.is_returning() && !begun;
        let rank = match (begun, past_target) {
            (true, _) => 0,
            (false, true) => req.rank | LATE_RANK,
            (false, false) => req.rank,
        };
        let requirements = balancer::Requirements {
            memory: load.memory,
            past_target,
        };
        let queued = req.core.queue(&req.service.id, rank);
        loop {
            let now = req.core.clock.now();
            // The waiter registers before the look, so that no change in between is missed.
            let freed = req.core.freed.notified();
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
                Err(balancer::PickError::Full) if now >= until => {
                    self.log_no_room(now, load.memory);
                    return Err(Refusal::NotRun(
                        "servers full",
                        draw_retry_after(retry_after::Cause::StreamsFull),
                    ));
                }
                Err(balancer::PickError::Full) => {}
            }
            let pause = LOOK_PAUSE.min(until - now).max(clock::Millis::new(1));
            // The end of the pause is a reason to look again too.
            let _ = time::timeout(pause.as_duration(), freed).await;
        }
    }

    fn decode_load(&self) -> message::Load {
        let generation = self.req.caller.generation.unwrap_or_default();
        message::Load {
            requests: 1,
            memory: balancer::memory_for(generation.prompt, output::expected(generation)),
            prompts: unit::Tokens::new(0),
        }
    }

    async fn attempt(&mut self, place: Place) -> Attempt {
        let Place {
            pick,
            guard,
            mut hold,
        } = place;
        let pick = &pick;
        if self.resume_after.is_none() && self.sent == 0 && self.export.is_none() {
            self.export = prefill::read(&self.req).await;
            self.prompt_server = self.export.as_ref().map(|e| e.server.clone());
        }
        let now = self.req.core.clock.now();
        let export = self.export.clone().filter(|e| now < e.until);
        let work = match &export {
            Some(exported) => edge::Work::Decode {
                from: exported.from,
                export: &exported.export,
            },
            None => edge::Work::Run,
        };
        let name = hold.as_mut().map(reserve::Taken::spend);
        let sent = self
            .req
            .for_server(pick, work, self.resume_after, name.as_ref());
        let limit = self.first_event_limit();
        let until = self.req.core.clock.now() + limit;
        let answer = upstream::send(pick.address, sent, limit).await;
        let answer = answer.and_then(|answer| self.req.ran(&answer).map(|ran| (ran, answer)));
        match answer {
            Ok((edge::Ran::Yes, answer)) => {
                self.sent += 1;
                self.export = None;
                self.begin_answer(pick, guard, answer, until).await
            }
            Ok((ran, _)) => {
                self.sent += 1;
                if ran == edge::Ran::Elsewhere {
                    self.req.core.note_misplaced(&pick.id);
                }
                guard.finish(balancer::Outcome::Neutral);
                self.log_not_run(pick, ran, export.is_some());
                Attempt::NotRun
            }
            Err(upstream::Failure::NotSent) => {
                self.unreached += 1;
                guard.finish(balancer::Outcome::ConnectFailed);
                Attempt::NotRun
            }
            Err(failure) => {
                self.sent += 1;
                self.export = None;
                self.lost(pick, guard, failure);
                Attempt::Lost
            }
        }
    }

    async fn begin_answer(
        &self,
        pick: &balancer::Pick,
        guard: in_flight::Guard,
        mut answer: upstream::Answer,
        until: clock::Millis,
    ) -> Attempt {
        let left = until - self.req.core.clock.now();
        if !answer.status.is_success() {
            let whole = answer.whole(left).await;
            let Ok(whole) = whole else {
                self.lost(pick, guard, upstream::Failure::Broken);
                return Attempt::Lost;
            };
            guard.finish(balancer::Outcome::Failed);
            return Attempt::Failed(answer.relay(body::Body::from_bytes(whole)));
        }
        let first = match time::timeout(left.as_duration(), answer.piece()).await {
            Ok(Ok(first)) => first,
            Ok(Err(failure)) => {
                self.lost(pick, guard, failure);
                return Attempt::Lost;
            }
            Err(_) => {
                self.lost(pick, guard, upstream::Failure::Silent);
                return Attempt::Lost;
            }
        };
        Attempt::Opened(Box::new(Opened {
            answer,
            first,
            guard,
            pick: pick.clone(),
        }))
    }

    /// Returns how long a server may take to its first event; a stream that can be taken up
    /// elsewhere is not left waiting at a silent server.
    fn first_event_limit(&self) -> clock::Millis {
        let left = self.req.left();
        let attempts = self.req.route.attempts;
        let more = self.req.route.repeats.is_allowed() && self.sent + 1 < attempts;
        if more {
            left.min(self.req.route.target * 2)
        } else {
            left
        }
    }

    /// Notes that a server was lost while it ran the request.
    pub fn lost(&self, pick: &balancer::Pick, guard: in_flight::Guard, failure: upstream::Failure) {
        guard.finish(balancer::Outcome::Lost);
        if failure == upstream::Failure::Broken {
            self.req.core.note_loss(self.req.fingerprint, &pick.id);
        }
        self.log_lost(pick, failure);
    }
}

/// Tells whether a stream of the route can be taken up at another server.
pub fn can_resume(route: &document::Route) -> bool {
    route.repeats == document::Repeats::ByResuming
}
