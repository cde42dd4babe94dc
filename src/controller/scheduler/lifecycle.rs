//! Handles the messages of gateways about their placed requests.

use crate::clock;
use crate::controller::scheduler;
use crate::controller::scheduler::cancel;
use crate::controller::scheduler::link;
use crate::controller::scheduler::message;
use crate::controller::scheduler::reservation;
use crate::id;
use crate::unit;

/// The length in tokens of the shortest answer from which the time between tokens is observed.
const MIN_SAMPLE_OUTPUT: u64 = 8;

impl scheduler::Scheduler {
    pub(super) fn on_prefilled(
        &mut self,
        gateway: id::InstanceId,
        prefilled: &message::Prefilled,
    ) -> message::Reply {
        let number = prefilled.reservation;
        let key = reservation::Key { number, gateway };
        let Some(reservation) = self.reservations.get_mut(&key) else {
            return message::Reply::Unknown(vec![number]);
        };
        reservation.lease_end = self.now + self.settings.lease;
        if reservation.phase != reservation::Phase::Prefilling {
            return message::Reply::Accepted;
        }
        reservation.phase = reservation::Phase::Transferring;
        let (prefill, decode) = (reservation.prefill, reservation.decode);
        let transfer = link::Transfer {
            key: key.clone(),
            ready_at: self.now,
            bytes: prefilled.kv.as_u64(),
            prefill_done: true,
        };
        for part in [prefill, decode].into_iter().flatten() {
            if let Some(s) = self.fleet.get_mut(part.server) {
                s.update_transfer(transfer.clone());
            }
        }
        if let Some(part) = prefill {
            self.record_prefill(&key, part, prefilled.cached);
        }
        message::Reply::Accepted
    }

    fn record_prefill(
        &mut self,
        key: &reservation::Key,
        part: reservation::Part,
        cached: unit::Tokens,
    ) {
        let Some(reservation) = self.reservations.get(key) else {
            return;
        };
        let Some(s) = self.fleet.get_mut(part.server) else {
            return;
        };
        let prompt = reservation.place.prompt;
        let queued = s.prefills.iter().find(|q| q.key == *key);
        let expected = queued.map_or(0, |q| prompt.as_u64().saturating_sub(q.tokens));
        s.end_prefill(self.now, key, prompt.saturating_sub(cached));
        s.health.record_success();
        if s.detect_cache_loss(expected, cached) {
            self.prefixes.remove_server(part.server);
        }
        for digest in &reservation.place.prefix {
            self.prefixes.insert(part.server, *digest);
        }
    }

    pub(super) fn on_transferred(
        &mut self,
        gateway: id::InstanceId,
        number: id::ReservationId,
    ) -> message::Reply {
        let key = reservation::Key { number, gateway };
        let Some(reservation) = self.reservations.get_mut(&key) else {
            return message::Reply::Unknown(vec![number]);
        };
        reservation.lease_end = self.now + self.settings.lease;
        if matches!(reservation.phase, reservation::Phase::Decoding { .. }) {
            return message::Reply::Accepted;
        }
        let request = reservation.place.request;
        let prefill = reservation.prefill.take();
        let decode = reservation.decode;
        for part in [prefill, decode].into_iter().flatten() {
            if let Some(s) = self.fleet.get_mut(part.server) {
                s.end_transfer(self.now, &key);
                s.health.record_success();
            }
        }
        if let Some(part) = prefill {
            self.release_part(&key, request, part);
        }
        let batch = decode.map_or(1, |part| self.batch_at(part));
        let since = self.now;
        if let Some(reservation) = self.reservations.get_mut(&key) {
            reservation.phase = reservation::Phase::Decoding { since, batch };
        }
        message::Reply::Accepted
    }

    pub(super) fn renew(
        &mut self,
        gateway: &id::InstanceId,
        numbers: &[id::ReservationId],
    ) -> message::Reply {
        let mut unknown = Vec::new();
        for number in numbers {
            let key = reservation::Key {
                number: *number,
                gateway: gateway.clone(),
            };
            match self.reservations.get_mut(&key) {
                Some(reservation) => reservation.lease_end = self.now + self.settings.lease,
                None => unknown.push(*number),
            }
        }
        match unknown.is_empty() {
            true => message::Reply::Accepted,
            false => message::Reply::Unknown(unknown),
        }
    }

    pub(super) fn finish(
        &mut self,
        gateway: id::InstanceId,
        finish: &message::Finish,
    ) -> message::Reply {
        let key = reservation::Key {
            number: finish.reservation,
            gateway,
        };
        let Some(reservation) = self.reservations.remove(&key) else {
            return message::Reply::Accepted;
        };
        self.settle(&reservation, finish.output.as_u64());
        if finish.confirmed {
            self.record_decode(&reservation, finish.output.as_u64());
        }
        self.end_reservation(&key, &reservation, finish.confirmed);
        message::Reply::Accepted
    }

    pub(super) fn on_suspect_cleared(
        &mut self,
        gateway: id::InstanceId,
        number: id::ReservationId,
    ) -> message::Reply {
        let key = reservation::Key { number, gateway };
        if let Some(reservation) = self.reservations.get_mut(&key) {
            reservation.place.suspect = false;
        }
        message::Reply::Accepted
    }

    pub(super) fn on_server_failed(&mut self, server: &id::BackendServerId) -> message::Reply {
        let delays = self.probe_delays();
        if let Some(index) = self.fleet.index_of(server) {
            if let Some(s) = self.fleet.get_mut(index) {
                let has_report = s.occupancy.has_report();
                s.health.record_failure(self.now, delays, has_report);
            }
            self.prefixes.remove_server(index);
        }
        message::Reply::Accepted
    }

    /// Charges or refunds the difference between the output that an account was charged in advance
    /// and the output that its request used.
    pub(super) fn settle(&mut self, reservation: &reservation::Reservation, output: u64) {
        let account = &reservation.place.account;
        let used = output * self.settings.output_weight;
        let charged = reservation.charged_output;
        if used > charged {
            self.accounts.charge(account, used - charged);
        } else {
            self.accounts.refund(account, charged - used);
        }
        if output > 0 {
            self.accounts.observe_output(account, output);
        }
    }

    fn record_decode(&mut self, reservation: &reservation::Reservation, output: u64) {
        let reservation::Phase::Decoding { since, batch } = reservation.phase else {
            return;
        };
        if !reservation.placed_here {
            return;
        }
        self.wait_times.observe(self.now - reservation.placed_at);
        let Some(part) = reservation.decode else {
            return;
        };
        let is_new = reservation.place.kind == message::PlaceKind::New;
        if !is_new || output < MIN_SAMPLE_OUTPUT {
            return;
        }
        let mean_batch = f64::from(batch + self.batch_at(part)) / 2.0;
        let took: clock::Millis = self.now - since;
        if let Some(s) = self.fleet.get_mut(part.server) {
            let millis = took.as_u64() as f64 / output as f64;
            s.step_time.observe(mean_batch, millis);
        }
    }

    /// Ends a reservation that was removed from the table. Frees its capacity when the servers have
    /// `confirmed` the end, and starts cancellations otherwise.
    pub(super) fn end_reservation(
        &mut self,
        key: &reservation::Key,
        reservation: &reservation::Reservation,
        confirmed: bool,
    ) {
        let request = reservation.place.request;
        for part in [reservation.prefill, reservation.decode] {
            let Some(part) = part else { continue };
            match confirmed {
                true => self.release_part(key, request, part),
                false => self.cancel_part(key, reservation, part),
            }
        }
    }

    /// Frees the capacity that a reservation took at a server where its request has ended.
    fn release_part(
        &mut self,
        key: &reservation::Key,
        request: id::RequestId,
        part: reservation::Part,
    ) {
        self.remove_from_predictions(key, part);
        if let Some(s) = self.fleet.get_mut(part.server) {
            s.occupancy.release(self.now, 1, part.pieces);
        }
        let index = part.server;
        self.cancellations.record_end(
            self.now,
            cancel::Target {
                server: index,
                request,
            },
        );
    }

    /// Starts the cancellation of a request at a server. Its capacity stays reserved until the
    /// server confirms.
    fn cancel_part(
        &mut self,
        key: &reservation::Key,
        reservation: &reservation::Reservation,
        part: reservation::Part,
    ) {
        if let Some(s) = self.fleet.get_mut(part.server) {
            s.observe_aborted_transfer(self.now, key);
        }
        self.remove_from_predictions(key, part);
        let target = cancel::Target {
            server: part.server,
            request: reservation.place.request,
        };
        let reserved = cancel::Reserved {
            requests: 1,
            pieces: part.pieces,
            suspect: reservation.place.suspect,
        };
        self.cancellations
            .start(self.now, target, reserved, self.settings.cancel_retry_delay);
    }

    /// Removes a request from the predictions for a server, and ends the probe that it may be.
    fn remove_from_predictions(&mut self, key: &reservation::Key, part: reservation::Part) {
        let delays = self.probe_delays();
        let now = self.now;
        if let Some(s) = self.fleet.get_mut(part.server) {
            s.remove_prefill(now, key);
            s.remove_transfer(key);
            s.health.record_end(now, delays);
        }
    }

    fn batch_at(&self, part: reservation::Part) -> u32 {
        let s = self.fleet.get(part.server);
        s.map_or(1, |s| s.batch_with_one_more(self.now) - 1)
    }
}
