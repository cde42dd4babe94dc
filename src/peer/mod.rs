//! Messages between the processes of the system, and the links that carry them.
//!
//! Every exchange is one request and one reply over nng's REQ/REP sockets. A frame is
//! authenticated with HMAC-SHA256 under the shared secret. It is bound to one incarnation of its
//! receiver and carries a sequence number of its sender, so that a frame from a process without the
//! secret, a late frame and a repeated frame are refused. nng sends a request again when a
//! connection closes; the sequence number ensures that the receiver acts on it at most once.

pub mod frame;
pub mod link;
pub mod message;
pub mod server;
pub mod trailer;
