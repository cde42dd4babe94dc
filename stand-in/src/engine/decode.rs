//! The decode role of an engine: imports of KV cache, the batch and the streams of answers.

use buckthorncleat::backend::wire;
use buckthorncleat::id;
use buckthorncleat::state::model;
use buckthorncleat::unit;

use crate::engine::export;
use crate::engine::machine;
use crate::engine::refusal;
use crate::engine::request;
use crate::engine::settings;
use crate::engine::text;

/// How much of an answer has been generated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    pub answer: text::Answer,
    /// The tokens generated, those delivered before included.
    pub produced: u64,
    /// Whether the answer has ended.
    pub complete: bool,
}

impl machine::Engine {
    /// Takes a slot for a request whose KV cache will be fetched. Takes no memory yet.
    ///
    /// # Errors
    ///
    /// Fails if the engine is no decode engine, the model is not loaded, the request was cancelled
    /// or is held, no slot is free, or a failure was injected by
    /// [`set_failing_imports`](Self::set_failing_imports).
    pub fn begin_import(&mut self, call: &wire::Import) -> machine::Result<()> {
        self.check_admission(call.request, model::Role::Decode)?;
        self.check_model(&call.model)?;
        if self.failing_imports > 0 {
            self.failing_imports -= 1;
            return Err(refusal::Refusal::InjectedFailure);
        }
        let state = request::State::Importing(unit::Pieces::new(0));
        self.insert_request(call.request, state);
        Ok(())
    }

    /// Takes the memory for KV cache, once its head has been received.
    ///
    /// # Errors
    ///
    /// Fails if the request was cancelled or is not importing, or if too little memory is free. In
    /// the last case the slot is freed.
    pub fn reserve_import(&mut self, head: &export::Head) -> machine::Result<()> {
        self.check_importing(head.request)?;
        let pieces = request::decode_pieces(head.tokens);
        if self.used_pieces() + pieces.as_u64() > self.settings.memory_pieces {
            self.requests.remove(&head.request);
            return Err(self.refuse_full());
        }
        self.set_state(head.request, request::State::Importing(pieces));
        Ok(())
    }

    /// Checks that a request is still importing.
    ///
    /// # Errors
    ///
    /// Fails if the request was cancelled or is not importing.
    pub fn check_importing(&self, request: id::RequestId) -> machine::Result<()> {
        self.check_not_cancelled(request)?;
        match self.requests.get(&request).map(|r| &r.state) {
            Some(request::State::Importing(_)) => Ok(()),
            _ => Err(refusal::Refusal::UnknownRequest),
        }
    }

    /// Ends a transfer. `head` is that of the KV cache received; `None` means that the transfer
    /// failed, and frees the slot and the memory.
    ///
    /// # Errors
    ///
    /// Fails if the request was cancelled or is not importing.
    pub fn end_import(
        &mut self,
        request: id::RequestId,
        head: Option<export::Head>,
    ) -> machine::Result<()> {
        self.check_importing(request)?;
        match head {
            Some(head) => self.set_state(request, request::State::Imported(head)),
            None => drop(self.requests.remove(&request)),
        }
        Ok(())
    }

    /// Starts to generate an answer, and counts its first stream. Returns the number of tokens
    /// delivered before, which is the index of the first token of the stream.
    ///
    /// An answer has at most one piece of tokens, because one piece is reserved for it.
    ///
    /// # Errors
    ///
    /// Fails if the request was cancelled, is decoding already, or is not imported.
    pub fn decode(&mut self, call: &wire::Decode) -> machine::Result<u64> {
        self.check_not_cancelled(call.request)?;
        let head = match self.requests.get(&call.request).map(|r| &r.state) {
            Some(request::State::Imported(head)) => head.clone(),
            Some(request::State::Decoding(_)) => return Err(refusal::Refusal::AlreadyHeld),
            _ => return Err(refusal::Refusal::UnknownRequest),
        };
        let decoding = request::Decoding {
            pieces: request::decode_pieces(head.tokens),
            answer: text::Answer::from_prompt(&head.model, &head.prompt),
            max_tokens: call.max_tokens.as_u64().min(unit::PIECE_TOKENS),
            produced: head.delivered,
            computed: head.computed,
            crashes: head.prompt.contains(settings::CRASH_DECODE_MARK),
            readers: 1,
            unread_since: None,
        };
        let state = match decoding.is_complete() {
            true => request::State::Ended(decoding),
            false => request::State::Decoding(decoding),
        };
        self.set_state(call.request, state);
        self.start_step();
        Ok(head.delivered)
    }

    /// Counts a further stream of an answer, for a reader that resumes it.
    ///
    /// # Errors
    ///
    /// Fails if the request was cancelled or has no answer here.
    pub fn attach(&mut self, request: id::RequestId) -> machine::Result<()> {
        self.check_not_cancelled(request)?;
        let decoding = self.decoding(request)?;
        decoding.readers += 1;
        decoding.unread_since = None;
        Ok(())
    }

    /// Counts a stream as closed. Does nothing if the request has no answer here.
    pub fn detach(&mut self, request: id::RequestId) {
        let now = self.now;
        if let Ok(decoding) = self.decoding(request) {
            decoding.readers = decoding.readers.saturating_sub(1);
            decoding.unread_since = (decoding.readers == 0).then_some(now);
        }
    }

    /// Returns how much of an answer has been generated.
    ///
    /// # Errors
    ///
    /// Fails if the request was cancelled or has no answer here.
    pub fn answer_progress(&mut self, request: id::RequestId) -> machine::Result<Progress> {
        self.check_not_cancelled(request)?;
        let decoding = self.decoding(request)?;
        Ok(Progress {
            answer: decoding.answer,
            produced: decoding.produced,
            complete: decoding.is_complete(),
        })
    }

    /// Returns the last event of a stream, also before the answer has ended.
    ///
    /// # Errors
    ///
    /// Fails if the request has no answer here.
    pub fn done(&mut self, request: id::RequestId) -> machine::Result<wire::Done> {
        Ok(self.decoding(request)?.done())
    }

    fn decoding(&mut self, id: id::RequestId) -> machine::Result<&mut request::Decoding> {
        match self.requests.get_mut(&id).map(|r| &mut r.state) {
            Some(request::State::Decoding(d) | request::State::Ended(d)) => Ok(d),
            _ => Err(refusal::Refusal::UnknownRequest),
        }
    }

    pub(super) fn run_steps(&mut self, mut budget_us: u64) {
        while let Some(remaining) = self.step_remaining_us {
            if remaining > budget_us {
                self.step_remaining_us = Some(remaining - budget_us);
                return;
            }
            budget_us -= remaining;
            self.step_remaining_us = None;
            self.finish_step();
            self.start_step();
        }
        self.start_step();
    }

    pub(super) fn start_step(&mut self) {
        if self.step_remaining_us.is_some() {
            return;
        }
        let decoding = |r: &&request::Request| matches!(r.state, request::State::Decoding(_));
        let batch = self.requests.values().filter(decoding).count();
        if batch > 0 {
            self.step_remaining_us = Some(self.settings.step_us(batch));
        }
    }

    fn finish_step(&mut self) {
        for held in self.requests.values_mut() {
            let request::State::Decoding(decoding) = &mut held.state else {
                continue;
            };
            if decoding.computed > unit::Tokens::new(0) {
                let computed = std::mem::take(&mut decoding.computed);
                self.totals.decoded_from_tokens = self.totals.decoded_from_tokens + computed;
            }
            decoding.produced += 1;
            self.crashed |= decoding.crashes;
            self.totals.generated_tokens = self.totals.generated_tokens.next();
            if decoding.is_complete() {
                decoding.unread_since = (decoding.readers == 0).then_some(self.now);
                self.totals.answers += 1;
                held.state = request::State::Ended(decoding.clone());
            }
        }
    }
}
