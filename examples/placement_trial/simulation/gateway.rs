//! How gateways have requests placed, sent to engines, cancelled and finished.
//!
//! There are six gateways; request `n` belongs to gateway `n % 6`.

use buckthorncleat::clock;
use buckthorncleat::controller::scheduler;
use buckthorncleat::controller::scheduler::message;
use buckthorncleat::id;
use buckthorncleat::state::model;
use buckthorncleat::unit;

use crate::engine;
use crate::shard;
use crate::simulation;
use crate::simulation::setup;

impl simulation::Simulation {
    /// Sends an input that reaches the scheduler after `delay` milliseconds, or when its owner is
    /// up again, if that is later.
    pub(super) fn schedule(&mut self, delay: u64, input: scheduler::Input) {
        self.sequence += 1;
        let due = (self.now + delay).max(self.down_until);
        self.pending_inputs.insert((due, self.sequence), input);
    }

    /// Sends a message from the request's gateway; see [`Self::schedule`].
    pub(super) fn send(&mut self, delay: u64, run_index: usize, request: message::Request) {
        let gateway = setup::gateway_name(run_index % 6);
        self.schedule(delay, scheduler::Input::Request { gateway, request });
    }

    /// Returns the id of the request's current attempt. Ids repeat after 16 attempts.
    pub(super) fn request_id(&self, run_index: usize) -> id::RequestId {
        id::RequestId::new(run_index as u128 * 16 + u128::from(self.runs[run_index].attempts % 16))
    }

    /// Returns the message that asks for a placement.
    ///
    /// `lost` is how many milliseconds from now the message is handled; they count as waited. A
    /// request that has delivered tokens resumes: these are part of the prompt, and it has the
    /// whole first-token target again.
    pub(super) fn place_request(&self, run_index: usize, lost: u64) -> message::Request {
        let run = &self.runs[run_index];
        let waited = (self.now + lost).saturating_sub(run.request.arrived_at);
        let (kind, remaining) = match run.first_token {
            None => (
                message::PlaceKind::New,
                simulation::FIRST_TOKEN_TARGET_MS.saturating_sub(waited),
            ),
            Some(_) => (
                message::PlaceKind::Resume,
                simulation::FIRST_TOKEN_TARGET_MS,
            ),
        };
        message::Request::Place(Box::new(message::Place {
            request: self.request_id(run_index),
            account: shard::name(&format!("a{}", run.request.account)),
            priority: model::Priority::Normal,
            model: shard::name("m"),
            kind,
            prompt: unit::Tokens::new(run.request.prompt + run.delivered as u64),
            max_output: unit::Tokens::new(simulation::MAX_OUTPUT_TOKENS),
            prefix: run.request.prefix.clone(),
            first_token: clock::Millis::new(remaining),
            exclude: run.exclude.clone(),
            suspect: false,
        }))
    }

    /// Starts an attempt.
    pub(super) fn request_placement(&mut self, run_index: usize) {
        self.runs[run_index].attempts += 1;
        self.runs[run_index].phase = simulation::Phase::AwaitingPlacement;
        let request = self.request_id(run_index);
        self.by_request.insert(request.as_u128(), run_index);
        let place = self.place_request(run_index, 0);
        self.send(simulation::HOP_MS, run_index, place);
    }

    /// Handles the scheduler's reply to a placement request: queues the prefill or ends the
    /// request.
    ///
    /// Ignores replies to earlier attempts. Replies take no network time.
    pub(super) fn handle_reply(&mut self, request: id::RequestId, reply: message::Reply) {
        let run_index = self.by_request[&request.as_u128()];
        if self.runs[run_index].phase != simulation::Phase::AwaitingPlacement
            || self.request_id(run_index) != request
        {
            return;
        }
        match reply {
            message::Reply::Placed(placement) => {
                let run = &mut self.runs[run_index];
                run.phase = simulation::Phase::Prefilling;
                run.computed = 0.0;
                let prompt = run.request.prompt + run.delivered as u64;
                let prefix = run.request.prefix.clone();
                let prefill = simulation::server_index(&placement.prefill);
                run.placement = Some(placement);
                let queued = engine::Prefill {
                    run_index,
                    prompt,
                    prefix,
                    remaining: None,
                    cached: 0,
                };
                self.prefills[prefill].queue.push_back(queued);
            }
            message::Reply::Refused { .. } => {
                self.runs[run_index].phase = simulation::Phase::Ended;
                self.runs[run_index].refused = true;
            }
            message::Reply::Waiting | message::Reply::Accepted | message::Reply::Unknown(_) => {}
        }
    }

    /// Carries out the scheduler's order to cancel a request at an engine. The result takes two
    /// hops back; a dead decode engine can't confirm.
    pub(super) fn cancel(&mut self, server: &id::BackendServerId, request: id::RequestId) {
        let run_index = self.by_request[&request.as_u128()];
        let index = simulation::server_index(server);
        let is_prefill = server.as_str().starts_with('p');
        if is_prefill {
            self.prefills[index]
                .queue
                .retain(|p| p.run_index != run_index);
        } else {
            self.decodes[index]
                .streams
                .retain(|s| s.run_index != run_index);
        }
        let confirmed = is_prefill || !self.decodes[index].dead;
        let cancelled = scheduler::Input::Cancelled {
            server: server.clone(),
            request,
            confirmed,
        };
        self.schedule(2 * simulation::HOP_MS, cancelled);
    }

    /// Tells the scheduler that the request no longer uses its reservation, if it has one.
    ///
    /// `confirmed` tells whether it is certain that the engines no longer work on it.
    pub(super) fn finish(&mut self, run_index: usize, confirmed: bool) {
        let Some(placement) = self.runs[run_index].placement.take() else {
            return;
        };
        let finish = message::Finish {
            reservation: placement.reservation,
            output: unit::Tokens::new(self.runs[run_index].delivered as u64),
            confirmed,
        };
        self.send(
            simulation::HOP_MS,
            run_index,
            message::Request::Finish(finish),
        );
    }
}
