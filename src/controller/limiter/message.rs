//! The messages between gateways and the limiter owner of an account.

use crate::clock;
use crate::id;
use crate::macros;
use crate::unit;

macros::data! {
    /// What a gateway asks of a limiter owner.
    pub enum Request {
        /// Takes tokens for a request that is to start.
        Charge(Charge),
        /// Gives back what a request did not use.
        Refund(Refund),
    }
}

impl Request {
    /// Returns the account concerned.
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
        /// The request; a charge sent again under the same id counts once.
        pub request: id::RequestId,
        /// The account that pays.
        pub account: id::ClientAccountId,
        /// The prompt and the most output that the request may use.
        pub tokens: unit::Tokens,
        /// How long the request can wait for tokens and still meet its target.
        pub patience: clock::Millis,
    }
}

macros::data! {
    /// Gives back the tokens that a request did not use.
    pub struct Refund {
        /// The request that was charged.
        pub request: id::RequestId,
        /// The account that paid.
        pub account: id::ClientAccountId,
        /// The tokens that the request did use.
        pub used: unit::Tokens,
    }
}

macros::data! {copy
    /// What a limiter owner answers.
    pub enum Reply {
        /// The tokens are taken; the request may start after `delay`.
        Granted {
            /// How long the gateway must wait before it starts the request.
            delay: clock::Millis,
        },
        /// The account has no tokens in time, or its charge was refunded or is old.
        Refused {
            /// When enough tokens will be there, if no one else takes them.
            retry_after: clock::Millis,
        },
        /// The request is larger than the account's burst and can never be granted.
        TooLarge,
        /// The refund was taken in.
        Refunded,
        /// The account is not known here.
        UnknownAccount,
    }
}
