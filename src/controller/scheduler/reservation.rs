//! Reservations of engine capacity.

use crate::clock;
use crate::controller::scheduler::fleet;
use crate::controller::scheduler::message;
use crate::id;
use crate::macros;
use crate::sorted;

macros::data! {key
    /// Names a reservation: two owners may have given the same number to two gateways.
    pub struct Key {
        /// Its number.
        pub number: id::ReservationId,
        /// The gateway that it was made for.
        pub gateway: id::InstanceId,
    }
}

/// What a reservation holds at a server.
#[derive(Clone, Copy, Debug)]
pub struct Part {
    /// The server's position.
    pub server: fleet::ServerIndex,
    /// The memory.
    pub pieces: u64,
}

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Its prompt is prefilled, or waits for it at the server.
    Prefilling,
    /// Its KV cache is transferred.
    Transferring,
    /// Its answer is generated.
    Decoding {
        /// Since when.
        since: clock::Millis,
        /// The requests at the server when it began.
        batch: u32,
    },
}

/// One reservation.
#[derive(Clone, Debug)]
pub struct Reservation {
    /// The request as it asked for its place.
    pub place: message::Place,
    /// What it holds at the prefill server.
    pub prefill: Option<Part>,
    /// What it holds at the decode server.
    pub decode: Option<Part>,
    /// How far the request has come.
    pub phase: Phase,
    /// When it was placed here.
    pub placed_at: clock::Millis,
    /// When it ends unless it is renewed.
    pub lease_end: clock::Millis,
    /// Whether it was made here rather than reported by its gateway.
    pub placed_here: bool,
    /// The output tokens that its account was charged for in advance.
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
    /// Makes an empty table that numbers from `first`.
    pub fn new(first: u64) -> Self {
        Self {
            live: sorted::Map::new(),
            next: id::ReservationId::new(first),
            check_at: clock::Millis::MAX,
        }
    }

    /// Draws the next free number for a gateway.
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
    pub fn insert(&mut self, key: Key, reservation: Reservation) {
        self.check_at = self.check_at.min(reservation.lease_end);
        let before = self.live.insert(key, Box::new(reservation));
        assert!(before.is_none(), "a reservation's number was given twice");
    }

    /// Finds a reservation.
    pub fn get(&self, key: &Key) -> Option<&Reservation> {
        self.live.get(key).map(|boxed| &**boxed)
    }

    /// Finds a reservation to change.
    pub fn get_mut(&mut self, key: &Key) -> Option<&mut Reservation> {
        self.live.get_mut(key).map(|boxed| &mut **boxed)
    }

    /// Removes a reservation.
    pub fn remove(&mut self, key: &Key) -> Option<Reservation> {
        self.live.remove(key).map(|boxed| *boxed)
    }

    /// Iterates over the reservations.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, &Reservation)> {
        self.live.iter().map(|(key, boxed)| (key, &**boxed))
    }

    /// Iterates over the reservations to change them.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Reservation> {
        self.live.values_mut().map(|boxed| &mut **boxed)
    }

    /// Returns a time before which no lease ends.
    pub fn check_at(&self) -> clock::Millis {
        self.check_at
    }

    /// Returns the reservations whose lease has ended.
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
