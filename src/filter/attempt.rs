//! One attempt to run a model request on the prefill and decode servers of its placement.

use std::sync;

use tokio::time;

use crate::backend::client;
use crate::backend::engine;
use crate::backend::wire;
use crate::clock;
use crate::controller::scheduler;
use crate::event;
use crate::filter::exchange;
use crate::filter::forward_model;
use crate::gateway::shared;
use crate::id;
use crate::state::model;
use crate::unit;

/// The longest time of a prefill or transfer, even while the engine reports that it works on it.
const CALL_TIMEOUT: clock::Millis = clock::Millis::from_secs(120);
/// How many times a broken or silent stream is resumed at the same engine without a new token in
/// between.
const MAX_RESUMES: u32 = 3;
/// How many times an engine is asked to cancel a request before that is left to the scheduler
/// owner.
const MAX_CANCEL_ATTEMPTS: u32 = 2;
/// The tokens that a suspect must deliver beyond those of earlier attempts, where it may have lost
/// a server, before it counts as cleared.
const CLEAR_AFTER_TOKENS: usize = 16;
/// The delay before a cancel that failed is sent again.
const CANCEL_RETRY_DELAY: clock::Millis = clock::Millis::new(50);

/// One attempt, from its placement to its end.
#[derive(Debug)]
pub struct Attempt {
    cx: sync::Arc<shared::Shared>,
    request: id::RequestId,
    place: scheduler::Place,
    placement: scheduler::Placement,
    prefill: Option<engine::Engine>,
    decode: Option<engine::Engine>,
    fingerprint: model::Fingerprint,
    /// Whether the prefill server was sent the request, and so may hold memory for the request.
    prefill_sent: bool,
    /// Whether the decode server was sent the import, and so may hold memory for the request.
    import_sent: bool,
    /// Whether this attempt passed the point at which an earlier one may have lost a server.
    cleared: bool,
    /// Whether this attempt lost a server that may have crashed because of the request.
    server_lost: bool,
}

impl Attempt {
    /// Begins an attempt and the renewal of its reservation; [`Self::end`] must be called to end
    /// both.
    pub fn begin(
        cx: &sync::Arc<shared::Shared>,
        request: id::RequestId,
        place: scheduler::Place,
        placement: scheduler::Placement,
        fingerprint: model::Fingerprint,
    ) -> Self {
        let detail = format!("prefill {} decode {}", placement.prefill, placement.decode);
        cx.recorder
            .record_request(event::Kind::Placed, request, detail);
        cx.reservations.add(scheduler::LiveReservation {
            reservation: placement.reservation,
            place: place.clone(),
            placement: placement.clone(),
            transferred: false,
        });
        let config = cx.config();
        let engine = |id| {
            config
                .servers
                .get(id)
                .map(|s| engine::Engine::new(s.address))
        };
        Self {
            prefill: engine(&placement.prefill),
            decode: engine(&placement.decode),
            cx: sync::Arc::clone(cx),
            request,
            place,
            placement,
            fingerprint,
            prefill_sent: false,
            import_sent: false,
            cleared: false,
            server_lost: false,
        }
    }

    /// Runs the attempt until the answer is complete.
    ///
    /// # Errors
    ///
    /// Fails when a server fails or the caller is gone; the error says whether to try another
    /// placement.
    pub async fn run(
        &mut self,
        run: &mut forward_model::Run,
        responder: &mut exchange::Responder,
    ) -> Result<wire::Done, forward_model::AttemptError> {
        tokio::select! {
            result = self.prefill_and_import(run) => result?,
            () = responder.closed() => return Err(caller_gone()),
        }
        self.decode(run, responder).await
    }

    async fn prefill_and_import(
        &mut self,
        run: &mut forward_model::Run,
    ) -> Result<(), forward_model::AttemptError> {
        let prefilled = self.prefill(run).await?;
        run.prompt.get_or_insert(prefilled.tokens);
        self.cx
            .suspects
            .request_left(self.place.request, &self.placement.prefill);
        self.record(event::Kind::Prefilled, "");
        self.notify_owner(scheduler::Request::Prefilled(scheduler::Prefilled {
            reservation: self.placement.reservation,
            cached: prefilled.cached,
            kv: prefilled.kv_bytes,
        }));
        self.import(prefilled.export).await?;
        self.record(event::Kind::Transferred, "");
        self.cx.reservations.mark_transferred(self.place.request);
        let reservation = self.placement.reservation;
        self.notify_owner(scheduler::Request::Transferred(reservation));
        Ok(())
    }

    async fn prefill(
        &mut self,
        run: &forward_model::Run,
    ) -> Result<wire::Prefilled, forward_model::AttemptError> {
        let server = self.placement.prefill.clone();
        let engine = self.prefill.ok_or(retry_without(&server))?;
        let body = wire::Prefill {
            request: self.place.request,
            model: self.place.model.clone(),
            prompt: run.call.call.prompt.clone(),
            delivered: run.tokens.clone(),
            priority: self.place.priority,
        };
        self.start_at(&server)?;
        self.prefill_sent = true;
        let call = engine.prefill(&body, CALL_TIMEOUT);
        let result = self.with_liveness_check(engine, call).await;
        self.check_call(&server, result).await
    }

    async fn import(&mut self, export: String) -> Result<(), forward_model::AttemptError> {
        let server = self.placement.decode.clone();
        let engine = self.decode.ok_or(retry_without(&server))?;
        let config = self.cx.config();
        let from = config
            .servers
            .get(&self.placement.prefill)
            .map(|s| s.address)
            .ok_or(retry_without(&self.placement.prefill))?;
        let body = wire::Import {
            request: self.place.request,
            model: self.place.model.clone(),
            from,
            export,
        };
        self.start_at(&server)?;
        self.import_sent = true;
        let call = engine.import(&body, CALL_TIMEOUT);
        let result = self.with_liveness_check(engine, call).await;
        self.check_call(&server, result).await
    }

    /// Checks that the request may run, and records that it runs at `server`.
    fn start_at(&self, server: &id::BackendServerId) -> Result<(), forward_model::AttemptError> {
        let cx = &self.cx;
        let request = self.place.request;
        match cx
            .suspects
            .start_request(cx, self.fingerprint, request, server)
        {
            true => Ok(()),
            false => Err(forward_model::AttemptError::Retry(None)),
        }
    }

    /// Waits for a call while the engine reports, on another connection, that it works on the
    /// request. It is asked each time that the silence bound passes without an answer.
    async fn with_liveness_check<T>(
        &self,
        engine: engine::Engine,
        call: impl Future<Output = Result<T, engine::EngineError>>,
    ) -> Result<T, engine::EngineError> {
        let silence = self.cx.settings.timing.silence_bound_ms;
        let mut call = std::pin::pin!(call);
        loop {
            if let Ok(result) = time::timeout(silence.as_duration(), &mut call).await {
                return result;
            }
            if !self.is_working(engine).await {
                return Err(engine::EngineError::Call(client::Failure::Timeout));
            }
        }
    }

    async fn is_working(&self, engine: engine::Engine) -> bool {
        let works = |phase| {
            matches!(
                phase,
                wire::Phase::Queued | wire::Phase::Prefilling | wire::Phase::Imported
            )
        };
        engine.held().await.is_ok_and(|held| {
            held.requests
                .iter()
                .any(|h| h.request == self.place.request && works(h.phase))
        })
    }

    /// Turns a failed call into the error that ends the attempt, as [`Self::server_failed`] does.
    async fn check_call<T>(
        &mut self,
        server: &id::BackendServerId,
        result: Result<T, engine::EngineError>,
    ) -> Result<T, forward_model::AttemptError> {
        match result {
            Ok(value) => Ok(value),
            Err(e) => Err(self.server_failed(server, &e).await),
        }
    }

    /// Records the failure, notifies the scheduler owner of a failed call, and returns the error to
    /// end the attempt with.
    async fn server_failed(
        &mut self,
        server: &id::BackendServerId,
        e: &engine::EngineError,
    ) -> forward_model::AttemptError {
        self.record(event::Kind::ServerFailed, format!("{server}: {e}"));
        if matches!(e, engine::EngineError::Call(_)) {
            self.notify_owner(scheduler::Request::ServerFailed(server.clone()));
            self.report_if_lost(server, e).await;
        }
        match e {
            engine::EngineError::Gone => forward_model::AttemptError::Retry(None),
            _ => retry_without(server),
        }
    }

    /// Reports the server as lost unless the call surely did not run or the server still knows the
    /// request.
    async fn report_if_lost(&mut self, server: &id::BackendServerId, e: &engine::EngineError) {
        if e.is_not_run() {
            self.cx.suspects.request_left(self.place.request, server);
            return;
        }
        let config = self.cx.config();
        let Some(record) = config.servers.get(server) else {
            return;
        };
        let held = engine::Engine::new(record.address).held().await;
        let is_known = held.is_ok_and(|held| {
            let mut requests = held.requests.iter();
            requests.any(|h| h.request == self.place.request)
        });
        if !is_known {
            self.server_lost = true;
            let cx = &self.cx;
            cx.suspects
                .report_loss(cx, self.place.request, server)
                .await;
        }
    }

    async fn decode(
        &mut self,
        run: &mut forward_model::Run,
        responder: &mut exchange::Responder,
    ) -> Result<wire::Done, forward_model::AttemptError> {
        let server = &self.placement.decode.clone();
        let engine = self.decode.ok_or(retry_without(server))?;
        let body = wire::Decode {
            request: self.place.request,
            max_tokens: run.call.max_output,
            priority: self.place.priority,
        };
        let mut stream = match engine.decode(&body).await {
            Ok(stream) => stream,
            Err(engine::EngineError::Call(
                client::Failure::Broken(_) | client::Failure::Timeout,
            )) => self.resume(engine, run).await?,
            Err(e) => return Err(self.server_failed(server, &e).await),
        };
        let mut resumes = 0;
        loop {
            let before = run.tokens.len();
            match self.relay_tokens(&mut stream, run, responder).await? {
                Some(done) => return Ok(done),
                None if run.tokens.len() > before => resumes = 1,
                None => resumes += 1,
            }
            if resumes > MAX_RESUMES {
                let failure = engine::EngineError::Call(client::Failure::Timeout);
                return Err(self.server_failed(server, &failure).await);
            }
            self.record(event::Kind::Resumed, format!("at {server}"));
            stream = self.resume(engine, run).await?;
        }
    }

    /// Resumes the stream at the same engine after its connection broke or went silent.
    async fn resume(
        &mut self,
        engine: engine::Engine,
        run: &forward_model::Run,
    ) -> Result<engine::TokenStream, forward_model::AttemptError> {
        let result = engine
            .resume(self.place.request, run.tokens.len() as u64)
            .await;
        let server = self.placement.decode.clone();
        self.check_call(&server, result).await
    }

    /// Relays tokens to the caller until the stream ends; returns `None` when it breaks or ends
    /// before every token came.
    async fn relay_tokens(
        &mut self,
        stream: &mut engine::TokenStream,
        run: &mut forward_model::Run,
        responder: &mut exchange::Responder,
    ) -> Result<Option<wire::Done>, forward_model::AttemptError> {
        let silence = self.cx.settings.timing.silence_bound_ms;
        loop {
            let event = tokio::select! {
                event = stream.next(silence) => event,
                () = responder.closed() => return Err(caller_gone()),
            };
            match event {
                Ok(engine::StreamEvent::Token(token)) => {
                    if run.tokens.is_empty() {
                        self.record(event::Kind::FirstToken, "");
                    }
                    run.deliver(token, self.request, responder).await?;
                    self.clear(run);
                }
                Ok(engine::StreamEvent::Done(done)) => return Ok(self.check_complete(done, run)),
                Err(_) => return Ok(None),
            }
        }
    }

    /// Notifies the owner, so that other suspects may run, once this one is [`CLEAR_AFTER_TOKENS`]
    /// past the point where it may have lost a server.
    fn clear(&mut self, run: &forward_model::Run) {
        if !self.place.suspect
            || self.cleared
            || run.tokens.len() < run.delivered_before + CLEAR_AFTER_TOKENS
        {
            return;
        }
        self.cleared = true;
        let reservation = self.placement.reservation;
        self.notify_owner(scheduler::Request::SuspectCleared(reservation));
    }

    /// Returns the end of the stream only when every token came.
    fn check_complete(&self, done: wire::Done, run: &forward_model::Run) -> Option<wire::Done> {
        let came = unit::Tokens::new(run.tokens.len() as u64);
        (done.tokens == came).then_some(done)
    }

    /// Ends the attempt: cancels the request at the engines unless it is `done`, notifies the
    /// scheduler owner, and clears the request as a suspect if it ran far enough.
    pub async fn end(self, done: bool, run: &mut forward_model::Run) {
        run.delivered_before = run.tokens.len();
        let confirmed = if done {
            true
        } else {
            let prefill = cancel(self.prefill, self.prefill_sent, self.place.request);
            let decode = cancel(self.decode, self.import_sent, self.place.request);
            let (prefill, decode) = tokio::join!(prefill, decode);
            prefill && decode
        };
        self.cx.reservations.remove(self.place.request);
        let finish = scheduler::Request::Finish(scheduler::Finish {
            reservation: self.placement.reservation,
            output: unit::Tokens::new(run.tokens.len() as u64),
            confirmed,
        });
        self.notify_owner(finish);
        let passed = !self.server_lost && (done || self.cleared);
        let request = self.place.request;
        let suspects = &self.cx.suspects;
        suspects
            .request_ended(&self.cx, self.fingerprint, request, passed)
            .await;
    }

    fn notify_owner(&self, request: scheduler::Request) {
        self.cx.notifications.send(&self.place.model, request);
    }

    fn record(&self, kind: event::Kind, detail: impl Into<String>) {
        self.cx.recorder.record_request(kind, self.request, detail);
    }
}

/// Cancels a request at an engine if it was sent there, and returns whether the engine surely holds
/// nothing for it.
async fn cancel(engine: Option<engine::Engine>, sent: bool, request: id::RequestId) -> bool {
    let Some(engine) = engine.filter(|_| sent) else {
        return true;
    };
    for _ in 0..MAX_CANCEL_ATTEMPTS {
        if engine.cancel(request).await.is_ok() {
            return true;
        }
        time::sleep(CANCEL_RETRY_DELAY.as_duration()).await;
    }
    false
}

fn retry_without(server: &id::BackendServerId) -> forward_model::AttemptError {
    forward_model::AttemptError::Retry(Some(server.clone()))
}

fn caller_gone() -> forward_model::AttemptError {
    forward_model::AttemptError::Refuse(crate::filter::limit::caller_gone())
}

/// Returns the priority of the account that pays for a request, or the default without one.
pub fn priority_of(exchange: &exchange::Exchange) -> model::Priority {
    let config = exchange.cx.config();
    exchange
        .account()
        .and_then(|account| config.accounts.get(account))
        .map_or(model::Priority::default(), |account| account.priority)
}
