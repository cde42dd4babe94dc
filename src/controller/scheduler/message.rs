//! The messages between gateways and the scheduler owner of a model.

use crate::clock;
use crate::id;
use crate::macros;
use crate::state::model;
use crate::unit;

macros::data! {
    /// A message from a gateway to a scheduler owner.
    pub enum Request {
        /// Asks for a placement. Answered when there is one, or at once when there will be none in
        /// time.
        Place(Box<Place>),
        /// Reports that a prefill ended.
        Prefilled(Prefilled),
        /// Reports that the decode engine holds the KV cache, so that the prefill engine is free.
        Transferred(id::ReservationId),
        /// Reports that a suspect got past the point where it lost a server: other suspects may run
        /// now.
        SuspectCleared(id::ReservationId),
        Renew(Vec<id::ReservationId>),
        /// Reports that a request has ended, so that its reservation ends.
        Finish(Finish),
        /// Reports that a backend server failed a request: no answer, or a broken connection.
        ServerFailed(id::BackendServerId),
        /// Tells a new owner which reservations of this gateway are live.
        Report(Vec<LiveReservation>),
    }
}

macros::data! {copy
    /// Whether a request is new or resumes. Both kinds need a prefill and a decode server.
    pub enum PlaceKind {
        /// No token of the answer has been delivered yet.
        New,
        /// The request's stream broke and resumes at other servers.
        Resume,
    }
}

macros::data! {
    /// Asks for a placement of one request.
    pub struct Place {
        /// The id of the attempt; each attempt to run a request has its own.
        pub request: id::RequestId,
        pub account: id::ClientAccountId,
        pub priority: model::Priority,
        pub model: id::ModelId,
        pub kind: PlaceKind,
        /// The length of the prompt.
        pub prompt: unit::Tokens,
        /// The longest possible answer.
        pub max_output: unit::Tokens,
        /// Digests of the prompt's pieces; each covers the prompt up to the piece's end.
        pub prefix: Vec<u64>,
        /// The time from now within which the first token is due.
        pub first_token: clock::Millis,
        /// The servers that must not be used.
        pub exclude: Vec<id::BackendServerId>,
        /// Whether the request may have crashed a server: suspects run one at a time.
        pub suspect: bool,
    }
}

macros::data! {
    /// The servers and the reservation of one request.
    pub struct Placement {
        /// The reservation of capacity at both servers; it expires unless renewed within the lease.
        pub reservation: id::ReservationId,
        pub prefill: id::BackendServerId,
        pub decode: id::BackendServerId,
        /// How long the reservation lasts without a renewal.
        pub lease: clock::Millis,
    }
}

macros::data! {
    /// Reports that a prefill ended.
    pub struct Prefilled {
        pub reservation: id::ReservationId,
        /// The prompt tokens that were found in the prefix cache.
        pub cached: unit::Tokens,
        /// The size of the KV cache to transfer.
        pub kv: unit::Bytes,
    }
}

macros::data! {
    /// Reports that a request has ended.
    pub struct Finish {
        pub reservation: id::ReservationId,
        /// The length of the answer.
        pub output: unit::Tokens,
        /// Whether both servers confirmed that they hold nothing for the request.
        pub confirmed: bool,
    }
}

macros::data! {
    /// A live reservation, as its gateway knows it.
    pub struct LiveReservation {
        /// The reservation's number at the owner that made it.
        pub reservation: id::ReservationId,
        /// The message that asked for the placement.
        pub place: Place,
        pub placement: Placement,
        /// Whether the decode server already holds the KV cache.
        pub transferred: bool,
    }
}

macros::data! {copy
    /// Why a request is not placed.
    #[serde(rename_all = "kebab-case")]
    pub enum Refusal {
        /// It can't meet its target for the first token.
        TooLate,
        /// No server in service has the model.
        NoServer,
        /// The prompt and its answer need more memory than any server has.
        TooLarge,
        /// Too many requests wait.
        QueueFull,
    }
}

macros::data! {
    /// An answer of a scheduler owner.
    pub enum Reply {
        /// The request is placed and starts now.
        Placed(Placement),
        /// The request is not placed.
        Refused {
            reason: Refusal,
            /// After how long it may be placed.
            retry_after: clock::Millis,
        },
        /// There is no decision yet; ask again for the same request.
        Waiting,
        /// The message was processed.
        Accepted,
        /// Of the reservations in the message, these are unknown here.
        Unknown(Vec<id::ReservationId>),
    }
}
