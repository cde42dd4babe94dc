//! Shares of quotas: how the leader divides what remains of each account among the gateways.
//!
//! A gateway may charge an account up to a mark, which the leader sets with each summary by the
//! gateway's recent demand. Everything up to the marks counts as used, so the sum over all gateways
//! holds whatever they charge between two reports, and also what a lost gateway never reported.

use crate::clock;
use crate::id;
use crate::macros;
use crate::sorted;

macros::data! {
    /// A gateway's use of quotas.
    pub struct Claims {
        /// Counts the reports of an incarnation, so that a late one is not taken for the newest.
        pub number: u64,
        pub accounts: sorted::Map<id::ClientAccountId, Claim>,
    }
}

macros::data! {copy
    /// A gateway's use of one account; sums count from the start of the process.
    #[derive(Default)]
    pub struct Claim {
        /// The units charged, without those that were returned later.
        pub charged: u64,
        /// The sum up to which the gateway may charge.
        pub mark: u64,
        /// The units of all requests, also of those refused.
        pub asked: u64,
        /// The units of a large request of late.
        pub largest: u64,
        /// The units that requests wait for now.
        pub wanted: u64,
        /// The time since the last charge.
        pub idle: clock::Millis,
    }
}

macros::data! {
    /// The shares of a gateway.
    pub struct Shares {
        /// The report that this answers.
        pub number: u64,
        /// The gateways among which quotas are shared, also those that have been silent for long.
        pub gateways: u32,
        pub accounts: sorted::Map<id::ClientAccountId, Share>,
    }
}

macros::data! {copy
    /// The share of a gateway in one account.
    pub struct Share {
        /// The sum up to which the gateway may charge.
        pub mark: u64,
        /// The units that no gateway holds.
        pub free: u64,
    }
}

impl Claim {
    /// Returns the units that the gateway may charge without a further summary.
    pub fn open(&self) -> u64 {
        self.mark.saturating_sub(self.charged)
    }
}
