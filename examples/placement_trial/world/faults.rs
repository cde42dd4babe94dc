//! What goes wrong, and what gateways and callers make of it.

use buckthorncleat::clock;
use buckthorncleat::controller::scheduler;
use buckthorncleat::controller::scheduler::message;
use buckthorncleat::id;

use crate::shard;
use crate::world;
use crate::world::setup;

impl world::World {
    pub(super) fn break_things(&mut self, millis: u64) {
        if self.now != millis / 3 {
            return;
        }
        match self.fault {
            world::Fault::None => {}
            world::Fault::PrefillSlow => self.prefills[0].slow = 4.0,
            world::Fault::LinkSlow => self.links[0] /= 10.0,
            world::Fault::DecodeLost => {
                self.decodes[0].dead = true;
                let streams = std::mem::take(&mut self.decodes[0].streams);
                for stream in streams {
                    self.fail(stream.work, true);
                }
            }
            world::Fault::OwnerKilled => self.replace_owner(),
        }
    }

    pub(super) fn replace_owner(&mut self) {
        self.down_until = self.now + 1_500;
        let start = clock::Millis::new(self.down_until);
        let settings = self.settings.clone();
        self.scheduler = scheduler::Scheduler::new(start, shard::name("m"), settings, 1 << 32);
        self.later.clear();
        self.later(1_500, setup::configuration());
        for at in self.active.clone() {
            if self.runs[at].state == world::State::Asked {
                let place = self.place_request(at, 1_500);
                self.send(1_501, at, place);
            }
        }
        for gateway in 0..6 {
            let request = message::Request::Report(Vec::new());
            self.later(
                1_500,
                scheduler::Input::Request {
                    gateway: setup::gateway_name(gateway),
                    request,
                },
            );
        }
    }

    pub(super) fn live_of(&self, gateway: &id::InstanceId) -> Vec<message::LiveReservation> {
        let its = self
            .active
            .iter()
            .filter(|at| setup::gateway_name(*at % 6) == *gateway);
        its.filter_map(|at| {
            let placement = self.runs[*at].place.clone()?;
            let message::Request::Place(place) = self.place_request(*at, 0) else {
                return None;
            };
            Some(message::LiveReservation {
                reservation: placement.reservation,
                place: *place,
                placement,
                transferred: self.runs[*at].state == world::State::Decoding,
            })
        })
        .collect()
    }

    /// A request lost its place; the gateway tries again while a first token may come in time.
    pub(super) fn fail(&mut self, at: usize, server_failed: bool) {
        if self.runs[at].state != world::State::Decoding {
            self.wasted += self.runs[at].computed;
        }
        let (_, decode) = self.ends(at);
        let server: id::BackendServerId = shard::name(&format!("d{decode}"));
        if server_failed {
            self.runs[at].exclude.push(server.clone());
            self.send(world::HOP, at, message::Request::ServerFailed(server));
        } else {
            self.decodes[decode].streams.retain(|s| s.work != at);
        }
        self.finish(at, false);
        if self.now < self.runs[at].work.at + world::FIRST_TOKEN
            || self.runs[at].first_token.is_some()
        {
            self.ask(at);
        } else {
            self.runs[at].state = world::State::Over;
        }
    }

    /// Callers whose first token does not come give up.
    pub(super) fn give_up(&mut self) {
        for at in self.active.clone() {
            let run = &self.runs[at];
            let late = self.now > run.work.at + world::PATIENCE * world::FIRST_TOKEN;
            if !late || run.first_token.is_some() || run.state == world::State::Over {
                continue;
            }
            if let Some(placement) = run.place.clone() {
                self.wasted += run.computed;
                let prefill = world::number(&placement.prefill);
                let decode = world::number(&placement.decode);
                self.prefills[prefill].queue.retain(|p| p.work != at);
                self.decodes[decode].streams.retain(|s| s.work != at);
                self.finish(at, true);
            }
            self.runs[at].state = world::State::Over;
        }
    }
}
