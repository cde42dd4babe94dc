//! Messages between the processes of the system, and the links that carry them.
//!
//! Every exchange is one request and one reply over nng's REQ/REP sockets. A frame is
//! authenticated with HMAC-SHA256 under the shared secret and bound to one life of its receiver
//! and a sequence number of its sender, so that a stranger's, a late or a repeated frame is
//! refused. nng sends a request again when a connection closes; the sequence number makes sure
//! that the receiver acts at most once.

pub mod frame;
pub mod link;
pub mod message;
pub mod server;
