//! Counts of a scheduler's current work and past decisions.

use crate::controller::scheduler::message;
use crate::controller::scheduler::reservation;
use crate::macros;

macros::data! {
    /// The work that a scheduler has now, and its decisions since it started.
    #[derive(Default)]
    pub struct Summary {
        /// Requests that wait for a placement.
        pub waiting: usize,
        /// Reservations whose prompt is being prefilled.
        pub prefilling: usize,
        /// Reservations whose KV cache is being transferred.
        pub transferring: usize,
        /// Reservations whose answer is being generated.
        pub decoding: usize,
        /// Cancellations that are not confirmed yet.
        pub cancelling: usize,
        pub placed: u64,
        pub refused: Refused,
        /// Reservations that no gateway renewed in time.
        pub expired: u64,
        /// Cancellations of work that has no reservation.
        pub orphans: u64,
        /// Reservations taken over from a previous owner.
        pub restored: u64,
    }
}

macros::data! {
    /// Refusals by reason.
    #[derive(Default)]
    pub struct Refused {
        /// See [`message::Refusal::TooLate`].
        pub too_late: u64,
        /// See [`message::Refusal::NoServer`].
        pub no_server: u64,
        /// See [`message::Refusal::TooLarge`].
        pub too_large: u64,
        /// See [`message::Refusal::QueueFull`].
        pub queue_full: u64,
    }
}

impl Refused {
    pub(super) fn record(&mut self, reason: message::Refusal) {
        match reason {
            message::Refusal::TooLate => self.too_late += 1,
            message::Refusal::NoServer => self.no_server += 1,
            message::Refusal::TooLarge => self.too_large += 1,
            message::Refusal::QueueFull => self.queue_full += 1,
        }
    }
}

impl Summary {
    pub(super) fn count_phases<'a>(
        &mut self,
        reservations: impl Iterator<Item = &'a reservation::Reservation>,
    ) {
        for reservation in reservations {
            match reservation.phase {
                reservation::Phase::Prefilling => self.prefilling += 1,
                reservation::Phase::Transferring => self.transferring += 1,
                reservation::Phase::Decoding { .. } => self.decoding += 1,
            }
        }
    }
}
