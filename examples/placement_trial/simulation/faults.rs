//! What goes wrong, and what gateways and callers make of it.

use buckthorncleat::clock;
use buckthorncleat::controller::scheduler;
use buckthorncleat::controller::scheduler::message;
use buckthorncleat::id;

use crate::shard;
use crate::simulation;
use crate::simulation::setup;

impl simulation::Simulation {
    pub(super) fn inject_fault(&mut self, duration_ms: u64) {
        if self.now != duration_ms / 3 {
            return;
        }
        match self.fault {
            simulation::Fault::None => {}
            simulation::Fault::PrefillSlow => self.prefills[0].slowdown = 4.0,
            simulation::Fault::LinkSlow => self.decode_links[0] /= 10.0,
            simulation::Fault::DecodeLost => {
                self.decodes[0].dead = true;
                let streams = std::mem::take(&mut self.decodes[0].streams);
                for stream in streams {
                    self.fail(stream.run_index, true);
                }
            }
            simulation::Fault::OwnerKilled => self.replace_owner(),
        }
    }

    pub(super) fn replace_owner(&mut self) {
        self.down_until = self.now + 1_500;
        let start = clock::Millis::new(self.down_until);
        let settings = self.settings.clone();
        self.scheduler = scheduler::Scheduler::new(start, shard::name("m"), settings, 1 << 32);
        self.pending_inputs.clear();
        self.schedule(1_500, setup::configuration());
        for run_index in self.active.clone() {
            if self.runs[run_index].phase == simulation::Phase::AwaitingPlacement {
                let place = self.place_request(run_index, 1_500);
                self.send(1_501, run_index, place);
            }
        }
        for gateway in 0..6 {
            let request = message::Request::Report(Vec::new());
            self.schedule(
                1_500,
                scheduler::Input::Request {
                    gateway: setup::gateway_name(gateway),
                    request,
                },
            );
        }
    }

    pub(super) fn live_reservations(
        &self,
        gateway: &id::InstanceId,
    ) -> Vec<message::LiveReservation> {
        let own_runs = self
            .active
            .iter()
            .filter(|run_index| setup::gateway_name(*run_index % 6) == *gateway);
        own_runs
            .filter_map(|run_index| {
                let placement = self.runs[*run_index].place.clone()?;
                let message::Request::Place(place) = self.place_request(*run_index, 0) else {
                    return None;
                };
                Some(message::LiveReservation {
                    reservation: placement.reservation,
                    place: *place,
                    placement,
                    transferred: self.runs[*run_index].phase == simulation::Phase::Decoding,
                })
            })
            .collect()
    }

    /// A request lost its place; the gateway tries again while a first token may come in time.
    pub(super) fn fail(&mut self, run_index: usize, server_failed: bool) {
        if self.runs[run_index].phase != simulation::Phase::Decoding {
            self.wasted += self.runs[run_index].computed;
        }
        let (_, decode) = self.endpoints(run_index);
        let server: id::BackendServerId = shard::name(&format!("d{decode}"));
        if server_failed {
            self.runs[run_index].exclude.push(server.clone());
            self.send(
                simulation::HOP_MS,
                run_index,
                message::Request::ServerFailed(server),
            );
        } else {
            self.decodes[decode]
                .streams
                .retain(|s| s.run_index != run_index);
        }
        self.finish(run_index, false);
        if self.now < self.runs[run_index].request.arrived_at + simulation::FIRST_TOKEN_TARGET_MS
            || self.runs[run_index].first_token.is_some()
        {
            self.request_placement(run_index);
        } else {
            self.runs[run_index].phase = simulation::Phase::Ended;
        }
    }

    /// Callers whose first token does not come give up.
    pub(super) fn abandon_late_requests(&mut self) {
        for run_index in self.active.clone() {
            let run = &self.runs[run_index];
            let late = self.now
                > run.request.arrived_at
                    + simulation::MAX_WAIT_TARGETS * simulation::FIRST_TOKEN_TARGET_MS;
            if !late || run.first_token.is_some() || run.phase == simulation::Phase::Ended {
                continue;
            }
            if let Some(placement) = run.place.clone() {
                self.wasted += run.computed;
                let prefill = simulation::server_index(&placement.prefill);
                let decode = simulation::server_index(&placement.decode);
                self.prefills[prefill]
                    .queue
                    .retain(|p| p.run_index != run_index);
                self.decodes[decode]
                    .streams
                    .retain(|s| s.run_index != run_index);
                self.finish(run_index, true);
            }
            self.runs[run_index].phase = simulation::Phase::Ended;
        }
    }
}
