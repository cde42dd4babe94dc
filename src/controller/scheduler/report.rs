//! Handles the reports of servers, and those of gateways to a new owner.

use crate::backend::wire;
use crate::clock;
use crate::controller::scheduler;
use crate::controller::scheduler::cancel;
use crate::controller::scheduler::fleet;
use crate::controller::scheduler::message;
use crate::controller::scheduler::reservation;
use crate::controller::scheduler::server;
use crate::id;

impl scheduler::Scheduler {
    pub(super) fn apply_load(&mut self, server: &id::BackendServerId, load: &wire::Load) {
        let now = self.now;
        let index = self.fleet.index_of(server);
        if let Some(s) = index.and_then(|index| self.fleet.get_mut(index)) {
            s.occupancy.apply_report(now, load);
            s.health.record_report(now - load.age_ms);
        }
    }

    pub(super) fn apply_cache_events(
        &mut self,
        server: &id::BackendServerId,
        events: &[wire::CacheEvent],
    ) {
        let Some(index) = self.fleet.index_of(server) else {
            return;
        };
        for event in events {
            match event.stored {
                true => self.prefixes.insert(index, event.prefix),
                false => self.prefixes.remove(index, event.prefix),
            }
        }
    }

    /// Compares the requests that a server holds with the reservations, and cancels orphans: those
    /// that have no reservation.
    pub(super) fn cancel_orphans(&mut self, server: &id::BackendServerId, held: &wire::Held) {
        let Some(index) = self.fleet.index_of(server) else {
            return;
        };
        if self.now < self.orphan_check_from() {
            return;
        }
        let known_requests = self.known_requests(index);
        for holding in &held.requests {
            let request = holding.request;
            let target = cancel::Target {
                server: index,
                request,
            };
            let is_known = known_requests.binary_search(&request).is_ok();
            let is_recent = holding.age_ms <= self.settings.max_orphan_age;
            if is_known || is_recent || self.cancellations.is_pending(target) {
                continue;
            }
            self.summary.orphans += 1;
            let reserved = cancel::Reserved::default();
            self.cancellations
                .start(self.now, target, reserved, self.settings.cancel_retry_delay);
        }
    }

    /// Takes over the live reservations of a gateway that a previous owner made. Answers which are
    /// unknown because they are being cancelled here.
    pub(super) fn restore(
        &mut self,
        gateway: &id::InstanceId,
        live: Vec<message::LiveReservation>,
    ) -> message::Reply {
        let mut unknown = Vec::new();
        for one in live {
            let number = one.reservation;
            let key = reservation::Key {
                number,
                gateway: gateway.clone(),
            };
            if let Some(known) = self.reservations.get_mut(&key) {
                known.lease_end = self.now + self.settings.lease;
            } else if !self.restore_one(key, one) {
                unknown.push(number);
            }
        }
        match unknown.is_empty() {
            true => message::Reply::Accepted,
            false => message::Reply::Unknown(unknown),
        }
    }

    /// Takes over one reservation, unless it is being cancelled here. Returns whether it did.
    fn restore_one(&mut self, key: reservation::Key, live: message::LiveReservation) -> bool {
        let request = live.place.request;
        let prefill = match live.transferred {
            true => None,
            false => self.fleet.index_of(&live.placement.prefill),
        };
        let decode = self.fleet.index_of(&live.placement.decode);
        let targets = [prefill, decode].into_iter().flatten();
        let mut pending = targets.map(|index| cancel::Target {
            server: index,
            request,
        });
        if pending.any(|target| self.cancellations.is_pending(target)) {
            return false;
        }
        let place = &live.place;
        let prefill_pieces = place.prompt.to_pieces().as_u64();
        let decode_pieces = (place.prompt + place.max_output).to_pieces().as_u64();
        let prefill = prefill.map(|index| self.occupy_restored(index, prefill_pieces));
        let decode = decode.map(|index| self.occupy_restored(index, decode_pieces));
        let phase = match live.transferred {
            true => reservation::Phase::Decoding {
                since: self.now,
                batch: 1,
            },
            false => reservation::Phase::Prefilling,
        };
        if let Some(part) = prefill {
            self.queue_restored(&key, part, place.prompt.as_u64());
        }
        self.summary.restored += 1;
        let restored = reservation::Reservation {
            place: live.place,
            prefill,
            decode,
            phase,
            placed_at: self.now,
            lease_end: self.now + self.settings.lease,
            placed_here: false,
            charged_output: 0,
        };
        self.reservations.insert(key, restored);
        true
    }

    fn occupy_restored(&mut self, index: fleet::ServerIndex, pieces: u64) -> reservation::Part {
        let now = self.now;
        if let Some(s) = self.fleet.get_mut(index) {
            s.occupancy.reserve(now, 1, pieces);
        }
        reservation::Part {
            server: index,
            pieces,
        }
    }

    fn queue_restored(&mut self, key: &reservation::Key, part: reservation::Part, tokens: u64) {
        let now = self.now;
        if let Some(s) = self.fleet.get_mut(part.server) {
            let queued = server::QueuedPrefill {
                key: key.clone(),
                tokens,
                prompt: tokens,
                placed_at: now,
            };
            s.start_prefill(now, queued);
        }
    }

    /// Returns the time from which on work without a reservation is cancelled. Before that,
    /// gateways may still have to report their reservations to this owner.
    fn orphan_check_from(&self) -> clock::Millis {
        self.started + self.settings.report_grace + self.settings.lease
    }

    /// Returns the requests that a server may hold, sorted: those with a reservation there, and
    /// those that ended there within the longest age of an orphan.
    fn known_requests(&self, index: fleet::ServerIndex) -> Vec<id::RequestId> {
        let since = self.now - self.settings.max_orphan_age;
        let mut known_requests = self.cancellations.ended_since(index, since);
        for (_, reservation) in self.reservations.iter() {
            let mut parts = [reservation.prefill, reservation.decode]
                .into_iter()
                .flatten();
            if parts.any(|part| part.server == index) {
                known_requests.push(reservation.place.request);
            }
        }
        known_requests.sort_unstable();
        known_requests
    }
}
