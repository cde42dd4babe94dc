//! Periodic messages to the scheduler: lease renewals of gateways, load and cache reports of
//! engines.

use buckthorncleat::backend::wire;
use buckthorncleat::controller::scheduler;
use buckthorncleat::controller::scheduler::message;
use buckthorncleat::id;
use buckthorncleat::state::model;

use rand::Rng as _;

use crate::shard;
use crate::simulation;
use crate::simulation::setup;

impl simulation::Simulation {
    /// Has each gateway renew the reservations of its requests.
    pub(super) fn renew_reservations(&mut self) {
        for gateway in 0..6 {
            let own_runs = self
                .active
                .iter()
                .filter(|run_index| **run_index % 6 == gateway);
            let placements =
                own_runs.filter_map(|run_index| self.runs[*run_index].placement.as_ref());
            let numbers = placements.map(|p| p.reservation).collect();
            let request = message::Request::Renew(numbers);
            self.schedule(
                simulation::HOP_MS,
                scheduler::Input::Request {
                    gateway: setup::gateway_name(gateway),
                    request,
                },
            );
        }
    }

    /// Has each engine that is up report its load, and each prefill engine its cache changes.
    ///
    /// A tenth of the cache events is lost, so the scheduler's view of the caches is inexact.
    pub(super) fn report_loads(&mut self) {
        for index in 0..simulation::PREFILL_ENGINES {
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
            self.schedule(
                simulation::REPORT_DELAY_MS,
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
            self.schedule(
                simulation::REPORT_DELAY_MS,
                scheduler::Input::CacheEvents { server, events },
            );
        }
        for index in 0..simulation::DECODE_ENGINES {
            let streams = &self.decodes[index].streams;
            let used = streams.iter().map(|s| s.pieces).sum();
            if self.decodes[index].dead {
                continue;
            }
            let load = setup::load(model::Role::Decode, streams.len() as u32, 0, 0, used);
            let server = shard::name(&format!("d{index}"));
            self.schedule(
                simulation::REPORT_DELAY_MS,
                scheduler::Input::Load { server, load },
            );
        }
    }
}
