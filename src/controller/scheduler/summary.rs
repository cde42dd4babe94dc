//! Counts for metrics and the choice among entries.

use crate::controller::scheduler::message;
use crate::controller::scheduler::reservation;
use crate::macros;

macros::data! {
    /// What a scheduler holds now and has done since it began.
    #[derive(Default)]
    pub struct Summary {
        /// Requests that wait for a place.
        pub waiting: usize,
        /// Reservations whose prompt is prefilled.
        pub prefilling: usize,
        /// Reservations whose KV cache is transferred.
        pub transferring: usize,
        /// Reservations whose answer is generated.
        pub decoding: usize,
        /// Cancellations that no server confirmed yet.
        pub cancelling: usize,
        /// Requests placed.
        pub placed: u64,
        /// Refusals by reason.
        pub refused: Refused,
        /// Reservations that no gateway renewed in time.
        pub expired: u64,
        /// Orders to cancel work that no reservation explained.
        pub orphans: u64,
        /// Reservations taken over from an earlier owner.
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
    pub(super) fn count(&mut self, reason: message::Refusal) {
        match reason {
            message::Refusal::TooLate => self.too_late += 1,
            message::Refusal::NoServer => self.no_server += 1,
            message::Refusal::TooLarge => self.too_large += 1,
            message::Refusal::QueueFull => self.queue_full += 1,
        }
    }
}

impl Summary {
    pub(super) fn count<'a>(
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
