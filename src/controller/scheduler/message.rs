//! The messages between gateways and the scheduler owner of a model.

use crate::clock;
use crate::id;
use crate::macros;
use crate::state::model;
use crate::unit;

macros::data! {
    /// What a gateway asks of a scheduler owner.
    pub enum Request {
        /// Asks for a place; answered when there is one, or at once when there won't be in time.
        Place(Box<Place>),
        /// Says that a prefill ended.
        Prefilled(Prefilled),
        /// Says that the decode engine holds the KV cache, so that the prefill engine is free.
        Transferred(id::ReservationId),
        /// Says that a suspect got past the point where it lost a server: others may run now.
        SuspectCleared(id::ReservationId),
        /// Keeps reservations alive.
        Renew(Vec<id::ReservationId>),
        /// Says that a request has ended and holds nothing any more.
        Finish(Finish),
        /// Says that a backend server failed a request: no answer, or a broken connection.
        ServerFailed(id::BackendServerId),
        /// Tells a new owner which reservations of this gateway are live.
        Report(Vec<LiveReservation>),
    }
}

macros::data! {copy
    /// What a request asks of a place.
    pub enum PlaceKind {
        /// A prefill server and a decode server.
        New,
        /// Again both, for a stream that broke and goes on elsewhere.
        Resume,
    }
}

macros::data! {
    /// Asks for a place for one request.
    pub struct Place {
        /// The request; each attempt to run it has an id of its own.
        pub request: id::RequestId,
        /// The account that it runs for.
        pub account: id::ClientAccountId,
        /// The priority of the account.
        pub priority: model::Priority,
        /// The model.
        pub model: id::ModelId,
        /// What kind of place.
        pub kind: PlaceKind,
        /// The tokens of the prompt.
        pub prompt: unit::Tokens,
        /// The most tokens of the answer.
        pub max_output: unit::Tokens,
        /// Digests of the prompt's pieces; each covers the prompt up to the piece's end.
        pub prefix: Vec<u64>,
        /// How long it may take to the first token from now.
        pub first_token: clock::Millis,
        /// The backend servers that must not be used.
        pub exclude: Vec<id::BackendServerId>,
        /// Whether the request is suspected to crash servers: such requests run one at a time.
        pub suspect: bool,
    }
}

macros::data! {
    /// A place for one request.
    pub struct Placement {
        /// The reservation that holds the place; it ends unless renewed within the lease.
        pub reservation: id::ReservationId,
        /// Where the prompt is prefilled.
        pub prefill: id::BackendServerId,
        /// Where the answer is decoded.
        pub decode: id::BackendServerId,
        /// The longest time between renewals.
        pub lease: clock::Millis,
    }
}

macros::data! {
    /// Says that a prefill ended.
    pub struct Prefilled {
        /// The reservation.
        pub reservation: id::ReservationId,
        /// The tokens that were found in the prefix cache.
        pub cached: unit::Tokens,
        /// The size of the KV cache to transfer.
        pub kv: unit::Bytes,
    }
}

macros::data! {
    /// Says that a request has ended.
    pub struct Finish {
        /// The reservation.
        pub reservation: id::ReservationId,
        /// The tokens of the answer.
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
        /// The request as it asked for its place.
        pub place: Place,
        /// The place that it holds.
        pub placement: Placement,
        /// Whether the decode server already holds the KV cache.
        pub transferred: bool,
    }
}

macros::data! {copy
    /// Why a request gets no place.
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
    /// What a scheduler owner answers.
    pub enum Reply {
        /// The request has a place and starts now.
        Placed(Placement),
        /// The request gets no place.
        Refused {
            /// Why.
            reason: Refusal,
            /// When it may find a place.
            retry_after: clock::Millis,
        },
        /// There is no decision yet; ask again for the same request.
        Waiting,
        /// The message was taken in.
        Accepted,
        /// Of the renewed reservations, these are not held here.
        Unknown(Vec<id::ReservationId>),
    }
}
