//! The prefill role of an engine: the queue of prompts and the exports of KV cache.

use buckthorncleat::backend::wire;
use buckthorncleat::id;
use buckthorncleat::state::model;
use buckthorncleat::unit;

use crate::engine::export;
use crate::engine::machine;
use crate::engine::refusal;
use crate::engine::request;
use crate::engine::text;

/// The state of a prefill.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// It is queued or runs.
    Pending,
    /// It has ended, and its KV cache is exported.
    Done(wire::Prefilled),
}

impl machine::Engine {
    /// Queues a prefill.
    ///
    /// # Errors
    ///
    /// Fails if the engine is no prefill engine, the model is not loaded, the request was cancelled
    /// or is held, no slot is free, or the prompt is larger than the whole memory.
    pub fn prefill(&mut self, call: wire::Prefill) -> machine::Result<()> {
        self.check_admission(call.request, model::Role::Prefill)?;
        self.check_model(&call.model)?;
        let prompt = request::Prompt::from_call(call);
        if prompt.tokens.to_pieces().as_u64() > self.settings.memory_pieces {
            return Err(self.refuse_full());
        }
        if !prompt.delivered_matches_answer() {
            self.totals.wrong_delivered += 1;
        }
        self.insert_request(prompt.call.request, request::State::Queued(prompt));
        self.start_prefill();
        Ok(())
    }

    /// Returns the state of a prefill.
    ///
    /// # Errors
    ///
    /// Fails if the request was cancelled or is unknown, or if its export was fetched or expired.
    pub fn progress(&self, request: id::RequestId) -> machine::Result<Progress> {
        self.check_not_cancelled(request)?;
        match self.requests.get(&request).map(|r| &r.state) {
            Some(request::State::Queued(_) | request::State::Prefilling(_)) => {
                Ok(Progress::Pending)
            }
            Some(request::State::Exported(export)) => Ok(Progress::Done(wire::Prefilled {
                export: export.name.clone(),
                tokens: export.head.tokens,
                cached: export.cached,
                kv_bytes: export.head.kv_bytes,
                expires_ms: export.expires - self.now,
            })),
            _ => Err(refusal::Refusal::UnknownRequest),
        }
    }

    /// Starts a transfer of exported KV cache, which does not expire before the transfer ends.
    ///
    /// # Errors
    ///
    /// Fails if no export has this name: it expired, was fetched or cancelled, or never existed.
    pub fn begin_fetch(&mut self, name: &str) -> machine::Result<export::Head> {
        let export = self.export(name).ok_or(refusal::Refusal::UnknownExport)?;
        export.running_fetches += 1;
        Ok(export.head.clone())
    }

    /// Returns whether an export still exists. During a transfer it can be cancelled, or freed by
    /// another transfer that completes first.
    pub fn holds_export(&mut self, name: &str) -> bool {
        self.export(name).is_some()
    }

    /// Ends a transfer; a complete one frees the export.
    pub fn end_fetch(&mut self, name: &str, complete: bool) {
        let Some(export) = self.export(name) else {
            return;
        };
        export.running_fetches -= 1;
        if complete {
            let request = export.head.request;
            self.totals.fetched_exports += 1;
            self.requests.remove(&request);
        }
    }

    fn export(&mut self, name: &str) -> Option<&mut request::Export> {
        let states = self.requests.values_mut().map(|r| &mut r.state);
        states
            .filter_map(|state| match state {
                request::State::Exported(export) => Some(export),
                _ => None,
            })
            .find(|export| export.name == name)
    }

    pub(super) fn run_prefills(&mut self, mut budget_us: u64) {
        while let Some(remaining) = self.prefill_remaining_us {
            if remaining > budget_us {
                self.prefill_remaining_us = Some(remaining - budget_us);
                return;
            }
            budget_us -= remaining;
            self.finish_prefill();
            self.start_prefill();
        }
        self.start_prefill();
    }

    pub(super) fn start_prefill(&mut self) {
        if self.prefill_remaining_us.is_some() {
            return;
        }
        let Some((id, mut prompt)) = self.next_prefill() else {
            return;
        };
        prompt.cached = self.cache.cached(&prompt.prefixes);
        let computed = prompt
            .tokens
            .saturating_sub(prompt.cached)
            .max(unit::Tokens::new(1));
        let extra_ms = text::mark_number(&prompt.call.prompt, "slow-prefill").unwrap_or(0);
        self.crashed |= prompt.call.prompt.contains(&self.settings.crash_on);
        self.prefill_remaining_us = Some(self.settings.prefill_us(computed) + extra_ms * 1000);
        self.set_state(id, request::State::Prefilling(prompt));
        self.shrink_cache();
    }

    fn next_prefill(&self) -> Option<(id::RequestId, request::Prompt)> {
        let queued = self.requests.iter().filter_map(|(id, r)| match &r.state {
            request::State::Queued(prompt) => Some((id, r.sequence, prompt)),
            _ => None,
        });
        let (id, _, prompt) = queued.min_by_key(|(_, sequence, prompt)| {
            (std::cmp::Reverse(prompt.priority()), *sequence)
        })?;
        let needed = prompt.tokens.to_pieces().as_u64();
        let fits = self.used_pieces() + needed <= self.settings.memory_pieces;
        fits.then(|| (*id, prompt.clone()))
    }

    fn finish_prefill(&mut self) {
        self.prefill_remaining_us = None;
        let running = self.requests.iter().find_map(|(id, r)| match &r.state {
            request::State::Prefilling(prompt) => Some((*id, prompt.clone())),
            _ => None,
        });
        let (id, prompt) = running.expect("a remaining time implies a running prefill");
        let computed = prompt.tokens.saturating_sub(prompt.cached);
        self.totals.prefills += 1;
        self.totals.computed_tokens = self.totals.computed_tokens + computed;
        self.totals.cached_tokens = self.totals.cached_tokens + prompt.cached;
        let export = self.make_export(id, &prompt, computed);
        self.set_state(id, request::State::Exported(export));
        let room = self.settings.memory_pieces - self.used_pieces();
        self.cache.store(self.now, &prompt.prefixes, room);
    }

    fn make_export(
        &mut self,
        id: id::RequestId,
        prompt: &request::Prompt,
        computed: unit::Tokens,
    ) -> request::Export {
        self.sequence += 1;
        let head = export::Head {
            request: id,
            model: prompt.call.model.clone(),
            prompt: prompt.call.prompt.clone(),
            delivered: prompt.call.delivered.len() as u64,
            tokens: prompt.tokens,
            computed,
            kv_bytes: self.settings.kv_bytes(prompt.tokens),
        };
        request::Export {
            name: format!("{id}-{}", self.sequence),
            head,
            cached: prompt.cached,
            expires: self.now + self.settings.export_expiry_ms,
            running_fetches: 0,
        }
    }

    pub(super) fn count_cancelled_prefill(&mut self, prompt: request::Prompt) {
        let remaining = self.prefill_remaining_us.take().unwrap_or(0);
        let computed = prompt.tokens.saturating_sub(prompt.cached);
        let total = self.settings.prefill_us(computed).max(1);
        let done = total.saturating_sub(remaining) * computed.as_u64() / total;
        self.totals.computed_tokens = self.totals.computed_tokens + unit::Tokens::new(done);
    }

    fn shrink_cache(&mut self) {
        let room = self.settings.memory_pieces - self.used_pieces();
        self.cache.shrink(self.now, room);
    }
}
