//! The messages between gateways and the limiter owner of an account.

use crate::clock;
use crate::id;
use crate::macros;
use crate::unit;

macros::data! {
    /// A gateway's request to the limiter owner of an account.
    pub enum Request {
        /// Takes tokens for a request that is about to start.
        Charge(Charge),
        /// Returns the tokens that an ended request did not use.
        Refund(Refund),
    }
}

impl Request {
    pub const fn account(&self) -> &id::ClientAccountId {
        match self {
            Self::Charge(charge) => &charge.account,
            Self::Refund(refund) => &refund.account,
        }
    }
}

macros::data! {
    /// Takes tokens for one request.
    pub struct Charge {
        /// The request; a charge that is sent again under the same id counts once.
        pub request: id::RequestId,
        pub account: id::ClientAccountId,
        /// The most tokens that the request may use: its prompt and its maximum output.
        pub tokens: unit::Tokens,
        /// How long the request can wait for tokens and still meet its latency target.
        pub max_wait: clock::Millis,
    }
}

macros::data! {
    /// Reports the tokens that an ended request used, so that the rest is returned.
    pub struct Refund {
        pub request: id::RequestId,
        pub account: id::ClientAccountId,
        /// The tokens that the request used.
        pub used: unit::Tokens,
    }
}

macros::data! {copy
    /// A limiter owner's reply.
    pub enum Reply {
        /// The tokens are taken; the gateway must wait for `delay` before it starts the request.
        Granted {
            delay: clock::Millis,
        },
        /// There are not enough tokens within `max_wait`, or the charge is a resend that was
        /// already refunded or is too old.
        Refused {
            /// The time until there are enough tokens, if no other request takes them; zero when a
            /// resend was refused.
            retry_after: clock::Millis,
        },
        /// The request is larger than the account's burst and can never be granted.
        TooLarge,
        /// The refund was applied.
        Refunded,
        /// This instance keeps no bucket for the account.
        UnknownAccount,
    }
}
