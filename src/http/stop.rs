//! What a server does with connections when it stops accepting them.

use std::net;

use futures_util::FutureExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::clock;

/// How long requests are read after the last connection was accepted: a caller sends its first one
/// right after it has connected, and others may be on their way.
pub const LAST_REQUEST_TIME: clock::Millis = clock::Millis::new(250);

/// Returns the connections that the kernel has accepted for a listener that is to be closed. Their
/// callers take them for served.
pub fn take_accepted(listener: &TcpListener) -> Vec<(TcpStream, net::SocketAddr)> {
    let mut accepted = Vec::new();
    while let Some(Ok(connection)) = listener.accept().now_or_never() {
        accepted.push(connection);
    }
    accepted
}
