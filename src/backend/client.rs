//! HTTP/1.1 calls to backend servers, each on a connection of its own.
//!
//! No connection is kept between calls, so that none can go silent while it waits for the next
//! call. The connection is driven by the future of its call and ends with it.

use std::fmt;
use std::net;
use std::pin;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body;
use hyper::client::conn::http1;
use hyper_util::rt;
use tokio::time;

use crate::clock;
use crate::macros;

/// The longest time to open a connection.
const CONNECT_TIMEOUT: clock::Millis = clock::Millis::new(700);

/// The request body of a call.
pub type Body = http_body_util::Full<Bytes>;

type Connection = http1::Connection<rt::TokioIo<tokio::net::TcpStream>, Body>;

macros::data! {
    /// Why a call got no answer.
    pub enum Failure {
        /// No byte of the request left: the work has surely not begun.
        NotSent(String),
        /// The connection broke after the request may have been read.
        Broken(String),
        /// No answer came in time; the work may go on.
        Timeout,
        /// The server answered, but not what its interface says.
        Malformed(String),
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(why) => write!(f, "not sent: {why}"),
            Self::Broken(why) => write!(f, "connection broke: {why}"),
            Self::Timeout => f.write_str("no answer in time"),
            Self::Malformed(why) => write!(f, "malformed answer: {why}"),
        }
    }
}

/// A whole answer of a backend server.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: hyper::StatusCode,
    /// The headers.
    pub headers: hyper::HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// An answer whose body is still to be read.
pub struct Streaming {
    /// The HTTP status.
    pub status: hyper::StatusCode,
    /// The headers.
    pub headers: hyper::HeaderMap,
    body: body::Incoming,
    connection: pin::Pin<Box<Connection>>,
    ended: bool,
}

impl fmt::Debug for Streaming {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Streaming")
            .field("status", &self.status)
            .finish_non_exhaustive()
    }
}

impl Streaming {
    /// Returns the next bytes of the body, or `None` at its proper end.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks before the end.
    pub async fn next(&mut self) -> Option<Result<Bytes, Failure>> {
        loop {
            let frame = tokio::select! {
                biased;
                frame = self.body.frame() => frame,
                _ = &mut self.connection, if !self.ended => {
                    self.ended = true;
                    continue;
                }
            };
            return match frame? {
                Ok(frame) => match frame.into_data() {
                    Ok(data) => Some(Ok(data)),
                    Err(_) => continue,
                },
                Err(e) => Some(Err(Failure::Broken(e.to_string()))),
            };
        }
    }
}

/// Calls a server and reads its whole answer within `timeout`.
///
/// # Errors
///
/// Tells apart whether the request was surely not sent.
pub async fn call(
    address: net::SocketAddr,
    request: hyper::Request<Body>,
    timeout: clock::Millis,
    max_body: usize,
) -> Result<Answer, Failure> {
    let exchange = async {
        let mut streaming = open_unbounded(address, request).await?;
        let body = read_all(&mut streaming, max_body).await?;
        Ok(Answer {
            status: streaming.status,
            headers: streaming.headers,
            body,
        })
    };
    within(timeout, exchange).await
}

/// Calls a server and returns its answer as soon as the head is there, within `timeout`.
///
/// # Errors
///
/// Tells apart whether the request was surely not sent.
pub async fn open(
    address: net::SocketAddr,
    request: hyper::Request<Body>,
    timeout: clock::Millis,
) -> Result<Streaming, Failure> {
    within(timeout, open_unbounded(address, request)).await
}

async fn within<T>(
    timeout: clock::Millis,
    work: impl Future<Output = Result<T, Failure>>,
) -> Result<T, Failure> {
    time::timeout(timeout.as_duration(), work)
        .await
        .unwrap_or(Err(Failure::Timeout))
}

async fn open_unbounded(
    address: net::SocketAddr,
    request: hyper::Request<Body>,
) -> Result<Streaming, Failure> {
    let stream = connect(address).await?;
    let io = rt::TokioIo::new(stream);
    let (mut sender, connection) = http1::handshake(io)
        .await
        .map_err(|e| Failure::NotSent(e.to_string()))?;
    let mut connection = Box::pin(connection);
    let mut ended = false;
    let mut answer = pin::pin!(sender.send_request(request));
    let response = loop {
        tokio::select! {
            biased;
            response = &mut answer => break response,
            _ = &mut connection, if !ended => ended = true,
        }
    };
    let response = response.map_err(|e| Failure::Broken(e.to_string()))?;
    let (parts, body) = response.into_parts();
    Ok(Streaming {
        status: parts.status,
        headers: parts.headers,
        body,
        connection,
        ended,
    })
}

async fn connect(address: net::SocketAddr) -> Result<tokio::net::TcpStream, Failure> {
    let dial = tokio::net::TcpStream::connect(address);
    let stream = time::timeout(CONNECT_TIMEOUT.as_duration(), dial)
        .await
        .map_err(|_| Failure::NotSent(format!("{address} does not accept connections")))?
        .map_err(|e| Failure::NotSent(format!("{address}: {e}")))?;
    // Without this, small requests may wait for the acknowledgement of earlier ones.
    let _ = stream.set_nodelay(true);
    Ok(stream)
}

async fn read_all(streaming: &mut Streaming, max_body: usize) -> Result<Bytes, Failure> {
    let mut buf = bytes::BytesMut::new();
    while let Some(data) = streaming.next().await {
        buf.extend_from_slice(&data?);
        if buf.len() > max_body {
            return Err(Failure::Malformed(format!("body over {max_body} bytes")));
        }
    }
    Ok(buf.freeze())
}
