//! Runs a model request: placement, prefill, transfer of the KV cache, decode.
//!
//! When an attempt fails, the request gets another placement and a begun stream is resumed there.

use std::sync;

use bytes::Bytes;
use tokio::time;

use crate::backend::wire;
use crate::clock;
use crate::controller::quarantine;
use crate::controller::scheduler;
use crate::event;
use crate::filter;
use crate::filter::attempt;
use crate::filter::authorise;
use crate::filter::exchange;
use crate::filter::limit;
use crate::gateway::placement;
use crate::gateway::shared;
use crate::http::caller::answer;
use crate::http::caller::chat;
use crate::id;
use crate::state::model;
use crate::unit;

/// The most attempts of one request, each with its own placement.
const MAX_ATTEMPTS: u32 = 6;
/// The longest time that a broken stream waits for its next placement.
const RESUME_TIMEOUT: clock::Millis = clock::Millis::from_secs(20);
/// The delay before a scheduler owner that did not answer is asked again.
const OWNER_RETRY_DELAY: clock::Millis = clock::Millis::new(25);
/// The retry-after time of refusals for which the scheduler gives none.
const RETRY_AFTER: clock::Millis = clock::Millis::from_secs(1);

/// Runs the request and answers it.
///
/// # Errors
///
/// Refuses a request that gets no placement in time, is quarantined, loses its key or caller, or
/// fails in all attempts. The refusal's outcome is `Unknown` once a server was asked to run it.
pub async fn apply(exchange: &mut exchange::Exchange) -> Result<filter::Flow, answer::Refusal> {
    let exchange::Target::Model(call) = exchange.target.clone() else {
        return Ok(filter::Flow::Next);
    };
    let account = exchange.account().ok_or_else(exchange::invalid_key)?;
    let fingerprint = model::Fingerprint::from_request(account, &exchange.body);
    let mut run = Run::new(call, fingerprint);
    let end = run.run_attempts(exchange).await;
    exchange.used = run.used();
    finish(exchange, &run, end).await
}

/// The progress of one request over all its attempts.
#[derive(Debug)]
pub struct Run {
    pub call: sync::Arc<exchange::ModelCall>,
    /// The texts of all tokens received so far, in order.
    pub tokens: Vec<String>,
    /// The length of the prompt as the engine counts it; `None` before the first prefill.
    pub prompt: Option<unit::Tokens>,
    /// How many tokens earlier attempts had delivered; a server may have been lost at this point.
    pub delivered_before: usize,
    fingerprint: model::Fingerprint,
    /// The number of the current attempt, from 0.
    attempt: u32,
    /// The servers that failed earlier attempts.
    exclude: Vec<id::BackendServerId>,
    /// Whether an attempt may have sent the request to a server.
    started: bool,
}

/// How a request ended.
enum End {
    Done(wire::Done),
    Refused(answer::Refusal),
}

/// Why an attempt failed, and what follows for the request.
pub enum AttemptError {
    /// Try another placement, without the named server that failed.
    Retry(Option<id::BackendServerId>),
    /// Try again with all servers: only excluded ones are left, and they may have recovered.
    RetryAnywhere,
    /// End the request with this refusal.
    Refuse(answer::Refusal),
}

impl Run {
    fn new(call: sync::Arc<exchange::ModelCall>, fingerprint: model::Fingerprint) -> Self {
        Self {
            delivered_before: 0,
            fingerprint,
            call,
            tokens: Vec::new(),
            prompt: None,
            attempt: 0,
            exclude: Vec::new(),
            started: false,
        }
    }

    /// Returns the tokens that the account pays for: none before the request was started.
    fn used(&self) -> unit::Tokens {
        if !self.started {
            return unit::Tokens::new(0);
        }
        let prompt = self.prompt.unwrap_or(self.call.call.prompt_tokens());
        prompt + unit::Tokens::new(self.tokens.len() as u64)
    }

    async fn run_attempts(&mut self, exchange: &mut exchange::Exchange) -> End {
        while self.attempt < MAX_ATTEMPTS {
            match self.attempt(exchange).await {
                Ok(done) => return End::Done(done),
                Err(AttemptError::Refuse(refusal)) => return End::Refused(refusal),
                Err(AttemptError::Retry(server)) => self.exclude.extend(server),
                Err(AttemptError::RetryAnywhere) => self.exclude.clear(),
            }
            self.attempt += 1;
        }
        End::Refused(self.attempts_exhausted())
    }

    async fn attempt(
        &mut self,
        exchange: &mut exchange::Exchange,
    ) -> Result<wire::Done, AttemptError> {
        let cx = sync::Arc::clone(&exchange.cx);
        let key = exchange.key.clone().ok_or_else(key_withdrawn)?;
        let mut place = self.placement_request(exchange);
        let placement = tokio::select! {
            placed = self.check_and_place(&cx, &mut place) => placed?,
            () = cx.key_withdrawn(&key) => return Err(key_withdrawn()),
            () = exchange.responder.closed() => return Err(caller_gone()),
        };
        let mut attempt =
            attempt::Attempt::begin(&cx, exchange.id, place, placement, self.fingerprint);
        cx.wait_fresh(self.fresh_timeout()).await;
        if let Err(refusal) = exchange.check_allowed() {
            attempt.end(false, self).await;
            return Err(AttemptError::Refuse(refusal));
        }
        self.started = true;
        let result = tokio::select! {
            result = attempt.run(self, &mut exchange.responder) => result,
            () = cx.key_withdrawn(&key) => Err(key_withdrawn()),
        };
        attempt.end(result.is_ok(), self).await;
        result
    }

    fn placement_request(&self, exchange: &exchange::Exchange) -> scheduler::Place {
        let call = &self.call;
        let resumes = !self.tokens.is_empty();
        let delivered = unit::Tokens::new(self.tokens.len() as u64);
        scheduler::Place {
            request: exchange.id.for_attempt(self.attempt),
            account: exchange.account().cloned().expect("model calls are keyed"),
            priority: attempt::priority_of(exchange),
            model: call.model.id.clone(),
            kind: if resumes {
                scheduler::PlaceKind::Resume
            } else {
                scheduler::PlaceKind::New
            },
            prompt: call.call.prompt_tokens() + delivered,
            max_output: call.max_output.saturating_sub(delivered),
            prefix: wire::prefix_digests(&call.call.prompt),
            first_token: self.place_timeout(exchange),
            exclude: self.exclude.clone(),
            suspect: false,
        }
    }

    /// Returns the time that is left until the first token must come, or [`RESUME_TIMEOUT`] for a
    /// broken stream.
    fn place_timeout(&self, exchange: &exchange::Exchange) -> clock::Millis {
        if self.tokens.is_empty() {
            self.call.model.first_token - exchange.age()
        } else {
            RESUME_TIMEOUT
        }
    }

    /// Returns the longest wait for a confirmed configuration once there is a placement. A broken
    /// stream may wait longer, so that it can be completed.
    fn fresh_timeout(&self) -> clock::Millis {
        match self.tokens.is_empty() {
            true => authorise::FRESH_TIMEOUT,
            false => RESUME_TIMEOUT,
        }
    }

    /// Asks for a placement, unless the request is quarantined for crashing two servers or a loss
    /// of its own is not recorded in time.
    async fn check_and_place(
        &self,
        cx: &shared::Shared,
        place: &mut scheduler::Place,
    ) -> Result<scheduler::Placement, AttemptError> {
        let max_wait = place.first_token;
        let status = cx
            .suspects
            .wait_for_status(cx, self.fingerprint, max_wait)
            .await;
        place.suspect = match status {
            quarantine::Status::Clear => false,
            quarantine::Status::Suspect => true,
            quarantine::Status::Pending => {
                return Err(AttemptError::Refuse(self.loss_not_recorded()));
            }
            quarantine::Status::Quarantined => {
                return Err(AttemptError::Refuse(self.quarantined()));
            }
        };
        self.place(cx, place).await
    }

    async fn place(
        &self,
        cx: &shared::Shared,
        place: &scheduler::Place,
    ) -> Result<scheduler::Placement, AttemptError> {
        let until = cx.clock.now() + place.first_token;
        loop {
            let request = scheduler::Request::Place(Box::new(place.clone()));
            match placement::ask_owner(cx, &place.model, request).await {
                Some(scheduler::Reply::Placed(placement)) => return Ok(placement),
                Some(scheduler::Reply::Refused {
                    reason,
                    retry_after,
                }) => return Err(self.placement_refused(reason, retry_after)),
                Some(_) => {}
                None => time::sleep(OWNER_RETRY_DELAY.as_duration()).await,
            }
            if cx.clock.now() >= until {
                return Err(AttemptError::Refuse(self.no_owner()));
            }
        }
    }

    fn placement_refused(
        &self,
        reason: scheduler::Refusal,
        retry_after: clock::Millis,
    ) -> AttemptError {
        if reason == scheduler::Refusal::NoServer && !self.exclude.is_empty() {
            return AttemptError::RetryAnywhere;
        }
        let (status, code, message) = match reason {
            scheduler::Refusal::TooLate => (
                503,
                "too_busy",
                "the request would miss its latency target for the first token",
            ),
            scheduler::Refusal::NoServer => {
                (503, "no_server", "no server in service has the model now")
            }
            scheduler::Refusal::TooLarge => (
                400,
                "too_large",
                "prompt and answer need more memory than any server has",
            ),
            scheduler::Refusal::QueueFull => (
                503,
                "queue_full",
                "too many requests are waiting for the model",
            ),
        };
        let refusal = self.refusal(status, code, message);
        AttemptError::Refuse(match reason {
            scheduler::Refusal::TooLarge => refusal,
            _ => refusal.retry_after(retry_after),
        })
    }

    fn no_owner(&self) -> answer::Refusal {
        self.refusal(
            503,
            "placement_not_ready",
            "the scheduler of the model did not answer; it may be moving to another gateway",
        )
        .retry_after(RETRY_AFTER)
    }

    fn quarantined(&self) -> answer::Refusal {
        let message = "servers crashed while they ran this request; ask your operator";
        self.refusal(422, "request_quarantined", message)
    }

    fn loss_not_recorded(&self) -> answer::Refusal {
        let message = "a server was lost while it ran this request; send the request again later";
        self.refusal(503, "server_lost", message)
            .retry_after(RETRY_AFTER)
    }

    fn attempts_exhausted(&self) -> answer::Refusal {
        let message = "backend servers failed all attempts to run the request";
        self.refusal(502, "servers_failed", message)
            .retry_after(RETRY_AFTER)
    }

    /// Makes a refusal whose outcome is `NotRun` only while no server was asked to run the request.
    fn refusal(&self, status: u16, code: &'static str, message: &str) -> answer::Refusal {
        if self.started {
            answer::Refusal::unknown(status, code, message)
        } else {
            answer::Refusal::not_run(status, code, message)
        }
    }

    /// Appends a token to the answer and streams it to the caller if the call asks for a stream.
    ///
    /// Tokens that were received before are ignored.
    ///
    /// # Errors
    ///
    /// Fails with [`AttemptError::Retry`] when a token before this one is missing, and with
    /// [`AttemptError::Refuse`] when the caller is gone.
    pub async fn deliver(
        &mut self,
        token: wire::Token,
        request: id::RequestId,
        responder: &mut exchange::Responder,
    ) -> Result<(), AttemptError> {
        let expected = self.tokens.len() as u64;
        if token.index < expected {
            return Ok(());
        }
        if token.index > expected {
            return Err(AttemptError::Retry(None));
        }
        if self.call.call.stream {
            if !responder.has_sent_head() {
                responder.begin_stream(stream_head(request));
            }
            let event = self.call.call.token_event(request, &token);
            if !responder.send_chunk(event).await {
                return Err(caller_gone());
            }
        }
        self.tokens.push(token.text);
        Ok(())
    }
}

fn stream_head(request: id::RequestId) -> hyper::http::response::Builder {
    answer::head(200, answer::Outcome::Ran, request)
        .header(hyper::header::CONTENT_TYPE, "text/event-stream")
        .header(hyper::header::CACHE_CONTROL, "no-store")
}

fn key_withdrawn() -> AttemptError {
    AttemptError::Refuse(exchange::invalid_key())
}

fn caller_gone() -> AttemptError {
    AttemptError::Refuse(limit::caller_gone())
}

async fn finish(
    exchange: &mut exchange::Exchange,
    run: &Run,
    end: End,
) -> Result<filter::Flow, answer::Refusal> {
    let recorder = sync::Arc::clone(&exchange.cx.recorder);
    match end {
        End::Done(done) => {
            recorder.record_request(event::Kind::Answered, exchange.id, "");
            if !run.call.call.stream {
                return Ok(filter::Flow::Answer(whole_response(
                    exchange.id,
                    run,
                    &done,
                )));
            }
            if !exchange.responder.has_sent_head() {
                exchange.responder.begin_stream(stream_head(exchange.id));
            }
            let last = run.call.call.last_events(exchange.id, done.finish_reason);
            exchange.responder.send_chunk(last).await;
            Ok(filter::Flow::Streamed)
        }
        End::Refused(refusal) if exchange.responder.has_sent_head() => {
            recorder.record_request(event::Kind::Refused, exchange.id, refusal.code);
            exchange.responder.send_chunk(error_event(&refusal)).await;
            Ok(filter::Flow::Streamed)
        }
        End::Refused(refusal) => Err(with_true_outcome(refusal, run)),
    }
}

/// Sets the outcome to `Unknown` once a server was asked to run the request.
fn with_true_outcome(refusal: answer::Refusal, run: &Run) -> answer::Refusal {
    if run.started {
        answer::Refusal {
            outcome: answer::Outcome::Unknown,
            ..refusal
        }
    } else {
        refusal
    }
}

fn whole_response(request: id::RequestId, run: &Run, done: &wire::Done) -> answer::Response {
    let whole = chat::Completion {
        text: run.tokens.concat(),
        finish_reason: done.finish_reason,
        prompt_tokens: run.prompt.unwrap_or(run.call.call.prompt_tokens()),
        completion_tokens: unit::Tokens::new(run.tokens.len() as u64),
    };
    let body = run.call.call.completion_json(request, &whole);
    answer::json(200, answer::Outcome::Ran, request, &body)
}

fn error_event(refusal: &answer::Refusal) -> Bytes {
    Bytes::from(format!("event: error\ndata: {}\n\n", refusal.to_json()))
}
