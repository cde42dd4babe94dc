//! Runs a model request: place, prefill, transfer, decode; again elsewhere when a part fails.

use std::sync;

use bytes::Bytes;
use tokio::time;

use crate::backend::wire;
use crate::clock;
use crate::controller::quarantine;
use crate::controller::scheduler;
use crate::event;
use crate::filter;
use crate::filter::authorise;
use crate::filter::exchange;
use crate::filter::limit;
use crate::filter::stage;
use crate::gateway::placement;
use crate::gateway::shared;
use crate::http::caller::answer;
use crate::http::caller::chat;
use crate::id;
use crate::state::model;
use crate::unit;

/// The places that one request may get, one after the other.
const MAX_ATTEMPTS: u32 = 6;
/// How long a broken stream may wait for its next place.
const RESUME_PATIENCE: clock::Millis = clock::Millis::from_secs(20);
/// The pause before the owner of a model is asked again.
const PAUSE: clock::Millis = clock::Millis::new(25);
/// When to come back when no owner of a model answered.
const OWNER_RETRY: clock::Millis = clock::Millis::from_secs(1);

/// Runs the request and answers it.
///
/// # Errors
///
/// Refuses requests that get no place in time, and tells when a request may have run in part.
pub async fn apply(exchange: &mut exchange::Exchange) -> Result<filter::Flow, answer::Refusal> {
    let exchange::Target::Model(call) = exchange.target.clone() else {
        return Ok(filter::Flow::Next);
    };
    let account = exchange.account().ok_or_else(exchange::withdrawn)?;
    let fingerprint = model::Fingerprint::from_request(account, &exchange.body);
    let mut run = Run::new(call, fingerprint);
    let end = run.finish(exchange).await;
    exchange.used = run.used();
    finish(exchange, &run, end).await
}

/// The progress of one request over all its attempts.
#[derive(Debug)]
pub struct Run {
    /// What is asked for.
    pub call: sync::Arc<exchange::ModelCall>,
    /// The texts of the tokens that came, in order.
    pub tokens: Vec<String>,
    /// The tokens of the prompt as the engine counts them.
    pub prompt: Option<unit::Tokens>,
    /// The tokens that had come when a server was last lost.
    pub lost_at: usize,
    fingerprint: model::Fingerprint,
    attempt: u32,
    exclude: Vec<id::BackendServerId>,
    started: bool,
}

/// How a request ended.
enum End {
    Done(wire::Done),
    Refused(answer::Refusal),
}

/// How one attempt ended without the end of the request.
pub enum Interruption {
    /// Another place may do better; the named server did badly.
    Retry(Option<id::BackendServerId>),
    /// No server is left but those that did badly; one of them may do better now.
    RetryAnywhere,
    /// The request ends here.
    End(answer::Refusal),
}

impl Run {
    fn new(call: sync::Arc<exchange::ModelCall>, fingerprint: model::Fingerprint) -> Self {
        Self {
            lost_at: 0,
            fingerprint,
            call,
            tokens: Vec::new(),
            prompt: None,
            attempt: 0,
            exclude: Vec::new(),
            started: false,
        }
    }

    /// Returns the tokens to pay for.
    fn used(&self) -> unit::Tokens {
        if !self.started {
            return unit::Tokens::new(0);
        }
        let prompt = self.prompt.unwrap_or(self.call.call.prompt_tokens());
        prompt + unit::Tokens::new(self.tokens.len() as u64)
    }

    async fn finish(&mut self, exchange: &mut exchange::Exchange) -> End {
        while self.attempt < MAX_ATTEMPTS {
            match self.attempt(exchange).await {
                Ok(done) => return End::Done(done),
                Err(Interruption::End(refusal)) => return End::Refused(refusal),
                Err(Interruption::Retry(server)) => self.exclude.extend(server),
                Err(Interruption::RetryAnywhere) => self.exclude.clear(),
            }
            self.attempt += 1;
        }
        End::Refused(self.gave_up())
    }

    async fn attempt(
        &mut self,
        exchange: &mut exchange::Exchange,
    ) -> Result<wire::Done, Interruption> {
        let cx = sync::Arc::clone(&exchange.cx);
        let key = exchange.key.clone().ok_or_else(withdrawn)?;
        let mut place = self.place_request(exchange);
        let placement = tokio::select! {
            placed = self.screen_and_place(&cx, &mut place) => placed?,
            () = cx.withdrawn(&key) => return Err(withdrawn()),
            () = exchange.caller.gone() => return Err(cancelled()),
        };
        let mut stage = stage::Stage::begin(&cx, exchange.id, place, placement, self.fingerprint);
        cx.wait_fresh(self.fresh_patience()).await;
        if let Err(refusal) = exchange.check_allowed() {
            stage.end(false, self).await;
            return Err(Interruption::End(refusal));
        }
        self.started = true;
        let result = tokio::select! {
            result = stage.run(self, &mut exchange.caller) => result,
            () = cx.withdrawn(&key) => Err(withdrawn()),
        };
        stage.end(result.is_ok(), self).await;
        result
    }

    fn place_request(&self, exchange: &exchange::Exchange) -> scheduler::Place {
        let call = &self.call;
        let resumes = !self.tokens.is_empty();
        let delivered = unit::Tokens::new(self.tokens.len() as u64);
        scheduler::Place {
            request: exchange.id.of_attempt(self.attempt),
            account: exchange.account().cloned().expect("model calls are keyed"),
            priority: stage::priority_of(exchange),
            model: call.model.id.clone(),
            kind: if resumes {
                scheduler::PlaceKind::Resume
            } else {
                scheduler::PlaceKind::New
            },
            prompt: call.call.prompt_tokens() + delivered,
            max_output: call.output.saturating_sub(delivered),
            prefix: wire::prefix_digests(&call.call.prompt),
            first_token: self.patience(exchange),
            exclude: self.exclude.clone(),
            suspect: false,
        }
    }

    fn patience(&self, exchange: &exchange::Exchange) -> clock::Millis {
        if self.tokens.is_empty() {
            self.call.model.first_token - exchange.age()
        } else {
            RESUME_PATIENCE
        }
    }

    /// Returns how long a place may wait for a confirmed configuration: a broken stream waits
    /// longer, so that it ends whole.
    fn fresh_patience(&self) -> clock::Millis {
        match self.tokens.is_empty() {
            true => authorise::FRESH_PATIENCE,
            false => RESUME_PATIENCE,
        }
    }

    /// Asks for a place, but never for a request that crashed two servers.
    async fn screen_and_place(
        &self,
        cx: &shared::Shared,
        place: &mut scheduler::Place,
    ) -> Result<scheduler::Placement, Interruption> {
        let patience = place.first_token;
        let screening = cx.screens.screen(cx, self.fingerprint, patience).await;
        place.suspect = match screening {
            quarantine::Status::Clear => false,
            quarantine::Status::Suspect => true,
            quarantine::Status::Pending => return Err(Interruption::End(self.not_recorded())),
            quarantine::Status::Quarantined => {
                return Err(Interruption::End(self.quarantined()));
            }
        };
        self.place(cx, place).await
    }

    async fn place(
        &self,
        cx: &shared::Shared,
        place: &scheduler::Place,
    ) -> Result<scheduler::Placement, Interruption> {
        let until = cx.clock.now() + place.first_token;
        loop {
            let request = scheduler::Request::Place(Box::new(place.clone()));
            match placement::ask_owner(cx, &place.model, request).await {
                Some(scheduler::Reply::Placed(placement)) => return Ok(placement),
                Some(scheduler::Reply::Refused {
                    reason,
                    retry_after,
                }) => return Err(self.refused(reason, retry_after)),
                Some(_) => {}
                None => time::sleep(PAUSE.as_duration()).await,
            }
            if cx.clock.now() >= until {
                return Err(Interruption::End(self.no_owner()));
            }
        }
    }

    fn refused(&self, reason: scheduler::Refusal, retry_after: clock::Millis) -> Interruption {
        if reason == scheduler::Refusal::NoServer && !self.exclude.is_empty() {
            return Interruption::RetryAnywhere;
        }
        let (status, code, message) = match reason {
            scheduler::Refusal::TooLate => (
                503,
                "too_busy",
                "the request would miss its target for the first token",
            ),
            scheduler::Refusal::NoServer => (503, "no_server", "no server has the model now"),
            scheduler::Refusal::TooLarge => (400, "too_large", "no server has the memory for it"),
            scheduler::Refusal::QueueFull => (503, "queue_full", "too many requests wait"),
        };
        let refusal = self.refusal(status, code, message);
        Interruption::End(match reason {
            scheduler::Refusal::TooLarge => refusal,
            _ => refusal.retry_after(retry_after),
        })
    }

    fn no_owner(&self) -> answer::Refusal {
        self.refusal(503, "placement_not_ready", "placement is changing hands")
            .retry_after(OWNER_RETRY)
    }

    fn quarantined(&self) -> answer::Refusal {
        let message = "servers crashed while they ran this request; ask your operator";
        self.refusal(422, "request_quarantined", message)
    }

    fn not_recorded(&self) -> answer::Refusal {
        let message = "a server was lost while it ran this request; come back later";
        self.refusal(503, "server_lost", message)
            .retry_after(OWNER_RETRY)
    }

    fn gave_up(&self) -> answer::Refusal {
        let message = "backend servers failed the request again and again";
        self.refusal(502, "servers_failed", message)
            .retry_after(OWNER_RETRY)
    }

    /// Makes a refusal that says "not run" only while no server was asked to start.
    fn refusal(&self, status: u16, code: &'static str, message: &str) -> answer::Refusal {
        if self.started {
            answer::Refusal::unknown(status, code, message)
        } else {
            answer::Refusal::not_run(status, code, message)
        }
    }

    /// Takes in a token and passes it on; tokens that came before are passed over.
    ///
    /// # Errors
    ///
    /// Fails when a token is missing before it, or when the caller is gone.
    pub async fn deliver(
        &mut self,
        token: wire::Token,
        request: id::RequestId,
        caller: &mut exchange::Caller,
    ) -> Result<(), Interruption> {
        let expected = self.tokens.len() as u64;
        if token.index < expected {
            return Ok(());
        }
        if token.index > expected {
            return Err(Interruption::Retry(None));
        }
        if self.call.call.stream {
            if !caller.has_begun() {
                caller.begin(stream_head(request));
            }
            let event = self.call.call.token_event(request, &token);
            if !caller.send(event).await {
                return Err(cancelled());
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

fn withdrawn() -> Interruption {
    Interruption::End(exchange::withdrawn())
}

fn cancelled() -> Interruption {
    Interruption::End(limit::cancelled())
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
                return Ok(filter::Flow::Answer(whole(exchange.id, run, &done)));
            }
            if !exchange.caller.has_begun() {
                exchange.caller.begin(stream_head(exchange.id));
            }
            let last = run.call.call.last_events(exchange.id, done.finish_reason);
            exchange.caller.send(last).await;
            Ok(filter::Flow::Streamed)
        }
        End::Refused(refusal) if exchange.caller.has_begun() => {
            recorder.record_request(event::Kind::Refused, exchange.id, refusal.code);
            exchange.caller.send(error_event(&refusal)).await;
            Ok(filter::Flow::Streamed)
        }
        End::Refused(refusal) => Err(truthful(refusal, run)),
    }
}

/// Never says "not run" once a server was asked to start.
fn truthful(refusal: answer::Refusal, run: &Run) -> answer::Refusal {
    if run.started {
        answer::Refusal {
            outcome: answer::Outcome::Unknown,
            ..refusal
        }
    } else {
        refusal
    }
}

fn whole(request: id::RequestId, run: &Run, done: &wire::Done) -> answer::Response {
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
