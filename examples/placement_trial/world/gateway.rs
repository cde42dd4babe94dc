//! What gateways do for their requests.

use buckthorncleat::clock;
use buckthorncleat::controller::scheduler;
use buckthorncleat::controller::scheduler::message;
use buckthorncleat::id;
use buckthorncleat::state::model;
use buckthorncleat::unit;

use crate::engine;
use crate::shard;
use crate::world;
use crate::world::setup;

impl world::World {
    pub(super) fn later(&mut self, delay: u64, input: scheduler::Input) {
        self.sequence += 1;
        let due = (self.now + delay).max(self.down_until);
        self.later.insert((due, self.sequence), input);
    }

    pub(super) fn send(&mut self, delay: u64, at: usize, request: message::Request) {
        let gateway = setup::gateway_name(at % 6);
        self.later(delay, scheduler::Input::Request { gateway, request });
    }

    pub(super) fn request_of(&self, at: usize) -> id::RequestId {
        id::RequestId::new(at as u128 * 16 + u128::from(self.runs[at].tries % 16))
    }

    pub(super) fn place_request(&self, at: usize, lost: u64) -> message::Request {
        let run = &self.runs[at];
        let waited = (self.now + lost).saturating_sub(run.work.at);
        let (kind, left) = match run.first_token {
            None => (
                message::PlaceKind::New,
                world::FIRST_TOKEN.saturating_sub(waited),
            ),
            Some(_) => (message::PlaceKind::Resume, world::FIRST_TOKEN),
        };
        message::Request::Place(Box::new(message::Place {
            request: self.request_of(at),
            account: shard::name(&format!("a{}", run.work.account)),
            priority: model::Priority::Normal,
            model: shard::name("m"),
            kind,
            prompt: unit::Tokens::new(run.work.prompt + run.delivered as u64),
            max_output: unit::Tokens::new(world::MOST_OUTPUT),
            prefix: run.work.prefix.clone(),
            first_token: clock::Millis::new(left),
            exclude: run.exclude.clone(),
            suspect: false,
        }))
    }

    pub(super) fn ask(&mut self, at: usize) {
        self.runs[at].tries += 1;
        self.runs[at].state = world::State::Asked;
        let request = self.request_of(at);
        self.by_request.insert(request.as_u128(), at);
        let place = self.place_request(at, 0);
        self.send(world::HOP, at, place);
    }

    pub(super) fn answer(&mut self, request: id::RequestId, reply: message::Reply) {
        let at = self.by_request[&request.as_u128()];
        if self.runs[at].state != world::State::Asked || self.request_of(at) != request {
            return;
        }
        match reply {
            message::Reply::Placed(placement) => {
                let run = &mut self.runs[at];
                run.state = world::State::Prefilling;
                run.computed = 0.0;
                let prompt = run.work.prompt + run.delivered as u64;
                let prefix = run.work.prefix.clone();
                let prefill = world::number(&placement.prefill);
                run.place = Some(placement);
                let queued = engine::Prefill {
                    work: at,
                    prompt,
                    prefix,
                    left: None,
                    cached: 0,
                };
                self.prefills[prefill].queue.push_back(queued);
            }
            message::Reply::Refused { .. } => {
                self.runs[at].state = world::State::Over;
                self.runs[at].refused = true;
            }
            message::Reply::Waiting | message::Reply::Accepted | message::Reply::Unknown(_) => {}
        }
    }

    pub(super) fn cancel(&mut self, server: &id::BackendServerId, request: id::RequestId) {
        let at = self.by_request[&request.as_u128()];
        let index = world::number(server);
        let is_prefill = server.as_str().starts_with('p');
        if is_prefill {
            self.prefills[index].queue.retain(|p| p.work != at);
        } else {
            self.decodes[index].streams.retain(|s| s.work != at);
        }
        let confirmed = is_prefill || !self.decodes[index].dead;
        let cancelled = scheduler::Input::Cancelled {
            server: server.clone(),
            request,
            confirmed,
        };
        self.later(2 * world::HOP, cancelled);
    }

    pub(super) fn finish(&mut self, at: usize, confirmed: bool) {
        let Some(placement) = self.runs[at].place.take() else {
            return;
        };
        let finish = message::Finish {
            reservation: placement.reservation,
            output: unit::Tokens::new(self.runs[at].delivered as u64),
            confirmed,
        };
        self.send(world::HOP, at, message::Request::Finish(finish));
    }
}
