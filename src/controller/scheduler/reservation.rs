//! Reservations of capacity at backend servers.

use crate::clock;
use crate::controller::scheduler::fleet;
use crate::controller::scheduler::message;
use crate::id;
use crate::macros;
use crate::sorted;

macros::data! {key
    /// Identifies a reservation. The number alone does not: two owners may have given the same
    /// number to two gateways.
    pub struct Key {
        pub number: id::ReservationId,
        /// The gateway that it was made for.
        pub gateway: id::InstanceId,
    }
}

/// The capacity that a reservation takes at one server: a slot and memory.
#[derive(Clone, Copy, Debug)]
pub struct Part {
    pub server: fleet::ServerIndex,
    /// The memory, in pieces.
    pub pieces: u64,
}

/// The progress of a placed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The prompt is prefilled, or waits for its prefill at the server.
    Prefilling,
    /// The KV cache is transferred to the decode server.
    Transferring,
    /// The answer is generated.
    Decoding {
        /// When decoding began.
        since: clock::Millis,
        /// The number of requests at the decode server at that time, this one included.
        batch: u32,
    },
}

/// The reservation of one placed request.
#[derive(Clone, Debug)]
pub struct Reservation {
    /// The message that asked for the placement.
    pub place: message::Place,
    /// The capacity at the prefill server; `None` once that is freed or the server has left.
    pub prefill: Option<Part>,
    /// The capacity at the decode server; `None` when the server has left.
    pub decode: Option<Part>,
    pub phase: Phase,
    /// When this owner placed the request, or took it over.
    pub placed_at: clock::Millis,
    /// When the reservation expires unless it is renewed.
    pub lease_end: clock::Millis,
    /// Whether this owner placed the request, rather than took it over from a gateway's report.
    pub placed_here: bool,
    /// The output that its account was charged for in advance, in tokens times the output weight.
    pub charged_output: u64,
}

/// The live reservations.
#[derive(Clone, Debug)]
pub struct Table {
    live: sorted::Map<Key, Box<Reservation>>,
    next: id::ReservationId,
    check_at: clock::Millis,
}

impl Table {
    /// Creates an empty table that numbers reservations from `first`.
    pub fn new(first: u64) -> Self {
        Self {
            live: sorted::Map::new(),
            next: id::ReservationId::new(first),
            check_at: clock::Millis::MAX,
        }
    }

    /// Returns a key with the next number that is free for a gateway.
    pub fn next_key(&mut self, gateway: &id::InstanceId) -> Key {
        loop {
            let number = self.next;
            self.next = number.next();
            let key = Key {
                number,
                gateway: gateway.clone(),
            };
            if !self.live.contains(&key) {
                return key;
            }
        }
    }

    /// Adds a reservation.
    ///
    /// # Panics
    ///
    /// Panics when a reservation has the key already.
    pub fn insert(&mut self, key: Key, reservation: Reservation) {
        self.check_at = self.check_at.min(reservation.lease_end);
        let before = self.live.insert(key, Box::new(reservation));
        assert!(before.is_none(), "two reservations have the same key");
    }

    pub fn get(&self, key: &Key) -> Option<&Reservation> {
        self.live.get(key).map(|boxed| &**boxed)
    }

    pub fn get_mut(&mut self, key: &Key) -> Option<&mut Reservation> {
        self.live.get_mut(key).map(|boxed| &mut **boxed)
    }

    pub fn remove(&mut self, key: &Key) -> Option<Reservation> {
        self.live.remove(key).map(|boxed| *boxed)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&Key, &Reservation)> {
        self.live.iter().map(|(key, boxed)| (key, &**boxed))
    }

    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Reservation> {
        self.live.values_mut().map(|boxed| &mut **boxed)
    }

    /// Returns a time before which no lease expires.
    pub fn check_at(&self) -> clock::Millis {
        self.check_at
    }

    /// Returns the reservations whose lease has expired; they stay in the table.
    pub fn expired(&mut self, now: clock::Millis) -> Vec<Key> {
        if now < self.check_at {
            return Vec::new();
        }
        let mut expired = Vec::new();
        self.check_at = clock::Millis::MAX;
        for (key, reservation) in self.live.iter() {
            if reservation.lease_end <= now {
                expired.push(key.clone());
            } else {
                self.check_at = self.check_at.min(reservation.lease_end);
            }
        }
        expired
    }
}
