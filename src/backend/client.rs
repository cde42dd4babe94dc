//! HTTP/1.1 client for backend servers, with a new connection for each call.
//!
//! Connections are not pooled, because a pooled connection can stop responding unnoticed while it
//! is idle. The future of the call drives its connection and closes it when it is dropped.

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
use crate::http::allowance;
use crate::http::memory;
use crate::http::outgoing;
use crate::http::progress;
use crate::http::status;
use crate::macros;

const CONNECT_TIMEOUT: clock::Millis = clock::Millis::new(700);

/// The request body of a call.
pub type Body = http_body_util::Full<Bytes>;

type Io = rt::TokioIo<outgoing::Tracked<allowance::Bounded<tokio::net::TcpStream>>>;

type Connection = http1::Connection<Io, Body>;

macros::data! {
    /// Why a call failed without a usable response.
    pub enum Failure {
        /// No byte of the request was sent, so the server has not run it.
        NotSent(String),
        /// The connection broke when the server may have read the request already.
        Broken(String),
        /// No response came in time; the server may still run the request.
        Timeout,
        /// The response does not follow the interface of the server.
        Malformed(String),
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(why) => write!(f, "not sent: {why}"),
            Self::Broken(why) => write!(f, "connection broken: {why}"),
            Self::Timeout => f.write_str("no response in time"),
            Self::Malformed(why) => write!(f, "malformed response: {why}"),
        }
    }
}

/// A response with its complete body.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: hyper::StatusCode,
    pub headers: hyper::HeaderMap,
    pub body: Bytes,
}

/// A response whose body is read chunk by chunk; dropping it closes the connection.
pub struct Streaming {
    pub status: hyper::StatusCode,
    pub headers: hyper::HeaderMap,
    progress: progress::Progress,
    outgoing: outgoing::Outgoing,
    allowance: allowance::Allowance,
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
    /// Returns the bytes that may be read from the server; there is no bound at first.
    pub fn allowance(&self) -> allowance::Allowance {
        self.allowance.clone()
    }

    /// Returns the next chunk of the body, or `None` at the end of a complete body.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks before the end of the body, a stream of events ends inside
    /// one, or a successful answer ends with its connection before the request was written.
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
            let Some(frame) = frame else {
                return self.check_end().err().map(Err);
            };
            return match frame {
                Ok(frame) => match frame.into_data() {
                    Ok(data) => {
                        self.progress.advance(&data);
                        Some(Ok(data))
                    }
                    Err(_) => continue,
                },
                Err(e) => Some(Err(Failure::Broken(e.to_string()))),
            };
        }
    }
}

impl Streaming {
    /// Checks that the body may end here, where its framing ends it.
    fn check_end(&self) -> Result<(), Failure> {
        let is_written = self.outgoing.is_written();
        if self.progress.may_end_with(self.status, is_written) {
            return Ok(());
        }
        let why = if self.progress.may_end() {
            "the connection ended before the request was written"
        } else {
            "the stream ended inside an event"
        };
        Err(Failure::Broken(why.to_owned()))
    }
}

/// Sends a request and reads the complete response within `timeout`.
///
/// # Errors
///
/// Fails as [`Failure`] says; only [`Failure::NotSent`] means that the server has not run the
/// request. A body over `max_body` bytes is malformed.
pub async fn call(
    address: net::SocketAddr,
    request: hyper::Request<Body>,
    timeout: clock::Millis,
    max_body: usize,
) -> Result<Answer, Failure> {
    let exchange = async {
        let mut streaming = open_without_timeout(address, request).await?;
        let body = read_to_end(&mut streaming, max_body).await?;
        Ok(Answer {
            status: streaming.status,
            headers: streaming.headers,
            body,
        })
    };
    with_timeout(timeout, exchange).await
}

/// Sends a request and returns the response once its head has arrived, within `timeout`.
///
/// # Errors
///
/// Fails as [`Failure`] says; only [`Failure::NotSent`] means that the server has not run the
/// request.
pub async fn open(
    address: net::SocketAddr,
    request: hyper::Request<Body>,
    timeout: clock::Millis,
) -> Result<Streaming, Failure> {
    with_timeout(timeout, open_without_timeout(address, request)).await
}

async fn with_timeout<T>(
    timeout: clock::Millis,
    work: impl Future<Output = Result<T, Failure>>,
) -> Result<T, Failure> {
    time::timeout(timeout.as_duration(), work)
        .await
        .unwrap_or(Err(Failure::Timeout))
}

async fn open_without_timeout(
    address: net::SocketAddr,
    request: hyper::Request<Body>,
) -> Result<Streaming, Failure> {
    let stream = connect(address).await?;
    let (stream, allowance) = allowance::Bounded::new(stream);
    let (stream, outgoing) = outgoing::Tracked::new(stream);
    let io = rt::TokioIo::new(stream);
    let (mut sender, connection) = http1::Builder::new()
        .max_buf_size(allowance::MAX_BUFFER_BYTES)
        .handshake(io)
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
    if !status::is_final(parts.status) {
        return Err(Failure::Malformed(format!(
            "status {} is not that of an answer",
            parts.status.as_u16()
        )));
    }
    // What is kept of a whole body is bounded by whoever reads it.
    allowance.lift();
    Ok(Streaming {
        status: parts.status,
        progress: progress::Progress::new(&parts.headers),
        outgoing,
        allowance,
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
        .map_err(|_| Failure::NotSent(format!("connecting to {address} timed out")))?
        .map_err(|e| Failure::NotSent(format!("{address}: {e}")))?;
    // With Nagle's algorithm, small writes may wait for the acknowledgement of earlier ones.
    let _ = stream.set_nodelay(true);
    Ok(stream)
}

async fn read_to_end(streaming: &mut Streaming, max_body: usize) -> Result<Bytes, Failure> {
    let mut whole = memory::Whole::default();
    while let Some(data) = streaming.next().await {
        let data = data?;
        if whole.len() + data.len() > max_body {
            return Err(Failure::Malformed(format!(
                "the body has more than {max_body} bytes"
            )));
        }
        if !whole.push(&data) {
            let why = "the memory for large responses is in use by other calls";
            return Err(Failure::Malformed(why.to_owned()));
        }
    }
    Ok(whole.into_bytes())
}
