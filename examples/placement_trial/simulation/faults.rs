//! Injected faults, and how gateways and callers react to failures and delays.

use buckthorncleat::clock;
use buckthorncleat::controller::scheduler;
use buckthorncleat::controller::scheduler::message;
use buckthorncleat::id;

use crate::shard;
use crate::simulation;
use crate::simulation::setup;

impl simulation::Simulation {
    /// Injects the fault of the run when a third of `duration_ms` has passed.
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
                    self.fail_attempt(stream.run_index, true);
                }
            }
            simulation::Fault::OwnerKilled => self.replace_owner(),
        }
    }

    /// Replaces the scheduler by a new one that starts after 1,500 ms.
    ///
    /// Inputs on their way are lost; those sent meanwhile arrive when it starts. The new owner gets
    /// the configuration, then a report of live reservations from each gateway. One millisecond
    /// later come the requests that still await a placement, sent again. Its reservation numbers
    /// don't repeat those of the old owner.
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

    /// Returns the reservations of a gateway's requests, for its report to a new scheduler owner.
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
                let placement = self.runs[*run_index].placement.clone()?;
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

    /// Ends an attempt that failed. The gateway starts another one if the caller already has a
    /// first token or the time for it has not passed; otherwise the request ends.
    ///
    /// `server_failed` tells that the decode engine failed: the gateway reports it and excludes it
    /// from later attempts.
    pub(super) fn fail_attempt(&mut self, run_index: usize, server_failed: bool) {
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

    /// Ends the requests whose callers give up because the first token is too late.
    pub(super) fn abandon_late_requests(&mut self) {
        for run_index in self.active.clone() {
            let run = &self.runs[run_index];
            let late = self.now
                > run.request.arrived_at
                    + simulation::MAX_WAIT_TARGETS * simulation::FIRST_TOKEN_TARGET_MS;
            if !late || run.first_token.is_some() || run.phase == simulation::Phase::Ended {
                continue;
            }
            if let Some(placement) = run.placement.clone() {
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
