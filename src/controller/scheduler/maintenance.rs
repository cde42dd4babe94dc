//! Expires leases and waiting requests, sends cancellations, and cleans up after gateways and
//! servers that have left.

use crate::controller::scheduler;
use crate::controller::scheduler::cancel;
use crate::controller::scheduler::fleet;
use crate::controller::scheduler::health;
use crate::id;

impl scheduler::Scheduler {
    /// Does the periodic work that is due.
    pub(super) fn run_due_tasks(&mut self) {
        self.expire_leases();
        self.refuse_expired();
        self.send_cancels();
        if self.prune_at <= self.now {
            self.prune_at = self.now + scheduler::PRUNE_INTERVAL;
            self.cancellations
                .prune(self.now, self.settings.cancel_retention);
            self.check_occupancy();
        }
    }

    pub(super) fn on_gateway_gone(&mut self, gateway: &id::InstanceId) {
        for waiting in self.queue.extract(|w| w.gateway == *gateway) {
            self.accounts.remove_waiting(&waiting.place.account);
        }
        let all_reservations = self.reservations.iter();
        let reservations: Vec<_> = all_reservations
            .filter(|(key, _)| key.gateway == *gateway)
            .collect();
        let keys: Vec<_> = reservations
            .into_iter()
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.end_unconfirmed(&key);
        }
    }

    pub(super) fn on_abandoned(&mut self, request: id::RequestId) {
        for waiting in self.queue.extract(|w| w.place.request == request) {
            self.accounts.remove_waiting(&waiting.place.account);
        }
    }

    pub(super) fn on_server_gone(&mut self, index: fleet::ServerIndex) {
        self.cancellations.remove_server(index);
        self.prefixes.remove_server(index);
        for reservation in self.reservations.values_mut() {
            for part in [&mut reservation.prefill, &mut reservation.decode] {
                if part.is_some_and(|p| p.server == index) {
                    *part = None;
                }
            }
        }
    }

    pub(super) fn on_cancelled(
        &mut self,
        server: &id::BackendServerId,
        request: id::RequestId,
        confirmed: bool,
    ) {
        let Some(index) = self.fleet.index_of(server) else {
            return;
        };
        if !confirmed {
            return;
        }
        let target = cancel::Target {
            server: index,
            request,
        };
        let Some(reserved) = self.cancellations.confirm(self.now, target) else {
            return;
        };
        if let Some(s) = self.fleet.get_mut(index) {
            s.occupancy
                .release(self.now, reserved.requests, reserved.pieces);
        }
    }

    pub(super) fn probe_delays(&self) -> health::ProbeDelays {
        health::ProbeDelays {
            first: self.settings.first_probe_delay,
            max: self.settings.max_probe_delay,
        }
    }

    fn expire_leases(&mut self) {
        for key in self.reservations.expired(self.now) {
            self.summary.expired += 1;
            self.end_unconfirmed(&key);
        }
    }

    /// Ends a reservation that its gateway no longer renews.
    fn end_unconfirmed(&mut self, key: &scheduler::reservation::Key) {
        let Some(reservation) = self.reservations.remove(key) else {
            return;
        };
        self.settle(&reservation, 0);
        self.end_reservation(key, &reservation, false);
    }

    fn refuse_expired(&mut self) {
        for waiting in self.queue.expire(self.now) {
            self.accounts.remove_waiting(&waiting.place.account);
            self.refuse_too_late(&waiting);
        }
    }

    fn send_cancels(&mut self) {
        for target in self
            .cancellations
            .poll_due(self.now, self.settings.cancel_retry_delay)
        {
            let Some(server) = self.fleet.id(target.server) else {
                continue;
            };
            let request = target.request;
            self.out.push(scheduler::Output::Cancel { server, request });
        }
        assert!(
            self.cancellations.next_due() > self.now,
            "a cancellation is due but was not sent"
        );
    }

    /// Asserts that the reserved capacity of each server is the sum of its reservations and pending
    /// cancellations.
    fn check_occupancy(&self) {
        let mut expected = vec![(0, 0); scheduler::MAX_SERVERS];
        for (_, reservation) in self.reservations.iter() {
            for part in [reservation.prefill, reservation.decode]
                .into_iter()
                .flatten()
            {
                expected[part.server].0 += 1;
                expected[part.server].1 += part.pieces;
            }
        }
        for (index, server) in self.fleet.iter() {
            let cancelling = self.cancellations.reserved_at(index);
            let reserved = server.occupancy.reserved();
            let (requests, pieces) = expected[index];
            assert!(
                reserved.requests == requests + cancelling.requests
                    && reserved.pieces == pieces + cancelling.pieces,
                "the reserved capacity of a server differs from its reservations and cancellations"
            );
        }
    }
}
