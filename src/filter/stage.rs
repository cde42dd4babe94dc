//! One attempt of a model request on its prefill and decode servers.

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

/// The longest time of a prefill or transfer, however often the engine says that it goes on.
const LONGEST_CALL: clock::Millis = clock::Millis::from_secs(120);
/// The times that a silent stream is taken up again without a new token in between.
const MAX_TAKE_UPS: u32 = 3;
/// The times that an engine is asked to free a request, before that is left to the owner.
const CANCEL_ATTEMPTS: u32 = 2;
/// The tokens by which a suspect must get past the point where it lost a server.
const CLEAR_TOKENS: usize = 16;
/// The pause between two such messages.
const PAUSE: clock::Millis = clock::Millis::new(50);

/// One attempt, from its place to its end.
#[derive(Debug)]
pub struct Stage {
    cx: sync::Arc<shared::Shared>,
    request: id::RequestId,
    place: scheduler::Place,
    placement: scheduler::Placement,
    prefill: Option<engine::Engine>,
    decode: Option<engine::Engine>,
    fingerprint: model::Fingerprint,
    held_prefill: bool,
    held_decode: bool,
    cleared: bool,
    lost: bool,
}

impl Stage {
    /// Begins an attempt; [`Self::end`] must follow.
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
            held_prefill: false,
            held_decode: false,
            cleared: false,
            lost: false,
        }
    }

    /// Runs the attempt until the answer is whole.
    ///
    /// # Errors
    ///
    /// Tells whether another place may do better.
    pub async fn run(
        &mut self,
        run: &mut forward_model::Run,
        caller: &mut exchange::Caller,
    ) -> Result<wire::Done, forward_model::Interruption> {
        tokio::select! {
            result = self.prefill_and_import(run) => result?,
            () = caller.gone() => return Err(gone()),
        }
        self.decode(run, caller).await
    }

    async fn prefill_and_import(
        &mut self,
        run: &mut forward_model::Run,
    ) -> Result<(), forward_model::Interruption> {
        let prefilled = self.prefill(run).await?;
        run.prompt.get_or_insert(prefilled.tokens);
        self.cx
            .screens
            .leave(self.place.request, &self.placement.prefill);
        self.record(event::Kind::Prefilled, "");
        self.tell(scheduler::Request::Prefilled(scheduler::Prefilled {
            reservation: self.placement.reservation,
            cached: prefilled.cached,
            kv: prefilled.kv_bytes,
        }));
        self.import(prefilled.export).await?;
        self.record(event::Kind::Transferred, "");
        self.cx.reservations.mark_transferred(self.place.request);
        let reservation = self.placement.reservation;
        self.tell(scheduler::Request::Transferred(reservation));
        Ok(())
    }

    async fn prefill(
        &mut self,
        run: &forward_model::Run,
    ) -> Result<wire::Prefilled, forward_model::Interruption> {
        let server = self.placement.prefill.clone();
        let engine = self.prefill.ok_or(retry(&server))?;
        let body = wire::Prefill {
            request: self.place.request,
            model: self.place.model.clone(),
            prompt: run.call.call.prompt.clone(),
            delivered: run.tokens.clone(),
            priority: self.place.priority,
        };
        self.screen(&server)?;
        self.held_prefill = true;
        let call = engine.prefill(&body, LONGEST_CALL);
        let result = self.guarded(engine, call).await;
        self.checked(&server, result).await
    }

    async fn import(&mut self, export: String) -> Result<(), forward_model::Interruption> {
        let server = self.placement.decode.clone();
        let engine = self.decode.ok_or(retry(&server))?;
        let config = self.cx.config();
        let from = config
            .servers
            .get(&self.placement.prefill)
            .map(|s| s.address)
            .ok_or(retry(&self.placement.prefill))?;
        let body = wire::Import {
            request: self.place.request,
            model: self.place.model.clone(),
            from,
            export,
        };
        self.screen(&server)?;
        self.held_decode = true;
        let call = engine.import(&body, LONGEST_CALL);
        let result = self.guarded(engine, call).await;
        self.checked(&server, result).await
    }

    /// Makes sure that the request may run, and notes where it does.
    fn screen(&self, server: &id::BackendServerId) -> Result<(), forward_model::Interruption> {
        let cx = &self.cx;
        let request = self.place.request;
        match cx.screens.begin(cx, self.fingerprint, request, server) {
            true => Ok(()),
            false => Err(forward_model::Interruption::Retry(None)),
        }
    }

    /// Waits for a call as long as the engine says, on other connections, that it works on it.
    async fn guarded<T>(
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

    async fn checked<T>(
        &mut self,
        server: &id::BackendServerId,
        result: Result<T, engine::EngineError>,
    ) -> Result<T, forward_model::Interruption> {
        match result {
            Ok(value) => Ok(value),
            Err(e) => Err(self.failed(server, &e).await),
        }
    }

    /// Tells the owner when a server failed, and asks for another place.
    async fn failed(
        &mut self,
        server: &id::BackendServerId,
        e: &engine::EngineError,
    ) -> forward_model::Interruption {
        self.record(event::Kind::ServerFailed, format!("{server}: {e}"));
        if matches!(e, engine::EngineError::Call(_)) {
            self.tell(scheduler::Request::ServerFailed(server.clone()));
            self.note_loss(server, e).await;
        }
        match e {
            engine::EngineError::Gone => forward_model::Interruption::Retry(None),
            _ => retry(server),
        }
    }

    /// Puts it on record when the server no longer knows the request that it ran.
    async fn note_loss(&mut self, server: &id::BackendServerId, e: &engine::EngineError) {
        if e.is_not_run() {
            self.cx.screens.leave(self.place.request, server);
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
            self.lost = true;
            let cx = &self.cx;
            cx.screens.lost(cx, self.place.request, server).await;
        }
    }

    async fn decode(
        &mut self,
        run: &mut forward_model::Run,
        caller: &mut exchange::Caller,
    ) -> Result<wire::Done, forward_model::Interruption> {
        let server = &self.placement.decode.clone();
        let engine = self.decode.ok_or(retry(server))?;
        let body = wire::Decode {
            request: self.place.request,
            max_tokens: run.call.output,
            priority: self.place.priority,
        };
        let mut stream = match engine.decode(&body).await {
            Ok(stream) => stream,
            Err(engine::EngineError::Call(
                client::Failure::Broken(_) | client::Failure::Timeout,
            )) => self.take_up(engine, run).await?,
            Err(e) => return Err(self.failed(server, &e).await),
        };
        let mut take_ups = 0;
        loop {
            let before = run.tokens.len();
            match self.pump(&mut stream, run, caller).await? {
                Some(done) => return Ok(done),
                None if run.tokens.len() > before => take_ups = 1,
                None => take_ups += 1,
            }
            if take_ups > MAX_TAKE_UPS {
                let failure = engine::EngineError::Call(client::Failure::Timeout);
                return Err(self.failed(server, &failure).await);
            }
            self.record(event::Kind::Resumed, format!("at {server}"));
            stream = self.take_up(engine, run).await?;
        }
    }

    /// Takes up the stream at the same engine after a connection broke or went silent.
    async fn take_up(
        &mut self,
        engine: engine::Engine,
        run: &forward_model::Run,
    ) -> Result<engine::TokenStream, forward_model::Interruption> {
        let result = engine
            .resume(self.place.request, run.tokens.len() as u64)
            .await;
        let server = self.placement.decode.clone();
        self.checked(&server, result).await
    }

    /// Passes tokens on until the end, or until the stream breaks, which gives `None`.
    async fn pump(
        &mut self,
        stream: &mut engine::TokenStream,
        run: &mut forward_model::Run,
        caller: &mut exchange::Caller,
    ) -> Result<Option<wire::Done>, forward_model::Interruption> {
        let silence = self.cx.settings.timing.silence_bound_ms;
        loop {
            let event = tokio::select! {
                event = stream.next(silence) => event,
                () = caller.gone() => return Err(gone()),
            };
            match event {
                Ok(engine::StreamEvent::Token(token)) => {
                    if run.tokens.is_empty() {
                        self.record(event::Kind::FirstToken, "");
                    }
                    run.deliver(token, self.request, caller).await?;
                    self.clear(run);
                }
                Ok(engine::StreamEvent::Done(done)) => return Ok(self.whole(done, run)),
                Err(_) => return Ok(None),
            }
        }
    }

    /// Lets other suspects run once this one is well past the point where it lost a server.
    fn clear(&mut self, run: &forward_model::Run) {
        if !self.place.suspect || self.cleared || run.tokens.len() < run.lost_at + CLEAR_TOKENS {
            return;
        }
        self.cleared = true;
        let reservation = self.placement.reservation;
        self.tell(scheduler::Request::SuspectCleared(reservation));
    }

    /// Accepts the end only when every token came.
    fn whole(&self, done: wire::Done, run: &forward_model::Run) -> Option<wire::Done> {
        let came = unit::Tokens::new(run.tokens.len() as u64);
        (done.tokens == came).then_some(done)
    }

    /// Ends the attempt: nothing stays held at the engines, and the owner knows.
    pub async fn end(self, done: bool, run: &mut forward_model::Run) {
        run.lost_at = run.tokens.len();
        let confirmed = if done {
            true
        } else {
            let prefill = free(self.prefill, self.held_prefill, self.place.request);
            let decode = free(self.decode, self.held_decode, self.place.request);
            let (prefill, decode) = tokio::join!(prefill, decode);
            prefill && decode
        };
        self.cx.reservations.remove(self.place.request);
        let finish = scheduler::Request::Finish(scheduler::Finish {
            reservation: self.placement.reservation,
            output: unit::Tokens::new(run.tokens.len() as u64),
            confirmed,
        });
        self.tell(finish);
        let passed = !self.lost && (done || self.cleared);
        let request = self.place.request;
        let screens = &self.cx.screens;
        screens
            .end(&self.cx, self.fingerprint, request, passed)
            .await;
    }

    fn tell(&self, request: scheduler::Request) {
        self.cx.notes.send(&self.place.model, request);
    }

    fn record(&self, kind: event::Kind, detail: impl Into<String>) {
        self.cx.recorder.record_request(kind, self.request, detail);
    }
}

async fn free(engine: Option<engine::Engine>, held: bool, request: id::RequestId) -> bool {
    let Some(engine) = engine.filter(|_| held) else {
        return true;
    };
    for _ in 0..CANCEL_ATTEMPTS {
        if engine.cancel(request).await.is_ok() {
            return true;
        }
        time::sleep(PAUSE.as_duration()).await;
    }
    false
}

fn retry(server: &id::BackendServerId) -> forward_model::Interruption {
    forward_model::Interruption::Retry(Some(server.clone()))
}

fn gone() -> forward_model::Interruption {
    forward_model::Interruption::End(crate::filter::limit::cancelled())
}

/// Returns the priority of the account that a request runs for.
pub fn priority_of(exchange: &exchange::Exchange) -> model::Priority {
    let config = exchange.cx.config();
    exchange
        .account()
        .and_then(|account| config.accounts.get(account))
        .map_or(model::Priority::default(), |account| account.priority)
}
