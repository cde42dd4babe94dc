//! What gateways and engines say from time to time.

use buckthorncleat::backend::wire;
use buckthorncleat::controller::scheduler;
use buckthorncleat::controller::scheduler::message;
use buckthorncleat::id;
use buckthorncleat::state::model;

use rand::Rng as _;

use crate::shard;
use crate::world;
use crate::world::setup;

impl world::World {
    pub(super) fn renew(&mut self) {
        for gateway in 0..6 {
            let its = self.active.iter().filter(|at| **at % 6 == gateway);
            let placements = its.filter_map(|at| self.runs[*at].place.as_ref());
            let numbers = placements.map(|p| p.reservation).collect();
            let request = message::Request::Renew(numbers);
            self.later(
                world::HOP,
                scheduler::Input::Request {
                    gateway: setup::gateway_name(gateway),
                    request,
                },
            );
        }
    }

    pub(super) fn report(&mut self) {
        for index in 0..world::PREFILLS {
            let queue = &self.prefills[index].queue;
            let waiting = queue.len().saturating_sub(1) as u32;
            let tokens = queue.iter().skip(1).map(|p| p.prompt).sum();
            let load = setup::load(
                model::Role::Prefill,
                queue.len() as u32 - waiting,
                waiting,
                tokens,
                0,
            );
            let server: id::BackendServerId = shard::name(&format!("p{index}"));
            self.later(
                world::REPORT_LAG,
                scheduler::Input::Load {
                    server: server.clone(),
                    load,
                },
            );
            let events = std::mem::take(&mut self.prefills[index].events);
            let kept = events.into_iter().filter(|_| self.rng.random_bool(0.9));
            let event = |(prefix, stored)| wire::CacheEvent {
                number: 0,
                prefix,
                stored,
            };
            let events = kept.map(event).collect();
            self.later(
                world::REPORT_LAG,
                scheduler::Input::CacheEvents { server, events },
            );
        }
        for index in 0..world::DECODES {
            let streams = &self.decodes[index].streams;
            let used = streams.iter().map(|s| s.pieces).sum();
            if self.decodes[index].dead {
                continue;
            }
            let load = setup::load(model::Role::Decode, streams.len() as u32, 0, 0, used);
            let server = shard::name(&format!("d{index}"));
            self.later(world::REPORT_LAG, scheduler::Input::Load { server, load });
        }
    }
}
