//! The messages by which a router passes a caller's request on through another router.
//!
//! An exchange begins with [`Ask::Begin`]; the answer is then fetched part by part. A frame is acted on
//! once at most, so a request that got no reply may have run.

use crate::clock;
use crate::document;
use crate::fleet::origin;
use crate::macros;

macros::number! {
    /// Identifies an exchange of one asking router. It is drawn at random.
    ExchangeId
}

macros::data! {
    /// What a router asks of another one.
    pub enum Ask {
        /// Serve a request, or decline it at once. Answered like [`Ask::Next`].
        Begin(Box<Forwarded>),
        /// Send what there is of the answer, as soon as there is something.
        Next(ExchangeId),
        /// The caller is gone: end the request.
        Cancel(ExchangeId),
    }
}

macros::data! {
    /// The answer to an [`Ask`].
    pub enum Answer {
        /// There is nothing new yet.
        Pending,
        /// The head of the answer and the first part of its body.
        Head(Head, Part),
        /// The next part of the body.
        Part(Part),
        /// The router can't serve the request, and nothing was sent to a server.
        Declined,
        /// The router does not know the exchange, or has ended it.
        Unknown,
    }
}

macros::data! {
    /// A caller's request on its way through another router.
    pub struct Forwarded {
        pub exchange: ExchangeId,
        pub method: String,
        /// Path and query.
        pub target: String,
        pub headers: Headers,
        pub body: Vec<u8>,
        /// The service that the asking router picked.
        pub service: document::ServiceId,
        /// The time until the deadline.
        pub time_left: clock::Millis,
        /// Where a stream goes on that the asking router has begun; `None` when the caller has got nothing
        /// by this request yet.
        pub resume: Option<Resume>,
        /// What the asking router did with the request.
        pub progress: Progress,
    }
}

macros::data! {copy
    /// What a router has done with a request before it passes it on.
    pub enum Progress {
        /// It has only read the request.
        Read,
        /// It has charged the request to its account and counted it.
        Admitted,
        /// It has also sent the request to a server, so that the next call is a retry.
        Sent,
    }
}

macros::data! {
    /// Where a stream goes on.
    pub struct Resume {
        /// The last event that the caller has.
        pub after: u64,
        /// The id of the request that brought the first one.
        pub begun_by: String,
        /// Where the stream began; `None` when the asking router does not know it.
        pub origin: Option<origin::Origin>,
    }
}

/// The end-to-end headers in their order, with repeated names.
pub type Headers = Vec<(String, Vec<u8>)>;

macros::data! {
    /// The head of an answer.
    pub struct Head {
        pub status: u16,
        pub headers: Headers,
    }
}

macros::data! {
    /// A part of the body of an answer.
    #[derive(Default)]
    pub struct Part {
        pub chunks: Vec<Vec<u8>>,
        /// How the body ends; `None` while there may be more.
        pub end: Option<End>,
    }
}

macros::data! {copy
    /// How the body of an answer ends.
    pub enum End {
        Complete,
        /// The body ends early, and must not look complete to the caller.
        Truncated,
    }
}
