//! Sends one request to a backend server over a connection of its own.
//!
//! A reused connection may have become silent, or may hold bytes that belong to no request. A new
//! one costs a millisecond and has neither fault.

use std::net;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body as hyper_body;
use hyper::client::conn::http1;
use hyper::header;
use hyper_util::rt;
use tokio::net::TcpStream;
use tokio::task;
use tokio::time;

use crate::clock;
use crate::http::allowance;
use crate::http::body;
use crate::http::hop;
use crate::http::memory;
use crate::http::outgoing;
use crate::http::progress;
use crate::http::status;
use crate::router::balancer;
use crate::router::request;

/// Timeout for opening a connection: several round trips between data centres, and less than the
/// second after which a lost SYN is sent again.
pub const CONNECT_TIMEOUT: clock::Millis = clock::Millis::new(200);

/// Size limit of an answer for a caller, or of a page of the server list, that is read to its end.
pub const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Size limit of the answer to a call of the router's own, which has a few fields.
pub const MAX_CALL_ANSWER_BYTES: usize = 32 << 10;

/// Why there is no complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// The connection could not be opened: no byte of the request was sent.
    #[error("not sent")]
    NotSent,
    /// The server takes no calls since it was picked: no byte of the request was sent.
    #[error("withdrawn")]
    Withdrawn,
    /// The connection broke, or the answer can't be parsed.
    #[error("broken off")]
    Broken,
    /// No answer in time.
    #[error("silent")]
    TimedOut,
}

impl Failure {
    /// Returns the outcome that the failure stands for.
    pub const fn outcome(self) -> balancer::Outcome {
        match self {
            Self::NotSent => balancer::Outcome::ConnectFailed,
            Self::Withdrawn => balancer::Outcome::Neutral,
            Self::Broken | Self::TimedOut => balancer::Outcome::Lost,
        }
    }
}

/// The head of an answer and the connection from which its body is read.
#[derive(Debug)]
pub struct Answer {
    pub status: hyper::StatusCode,
    pub headers: hyper::HeaderMap,
    progress: progress::Progress,
    outgoing: outgoing::Outgoing,
    body: hyper_body::Incoming,
    _connection: Connection,
}

/// The task that drives a connection. Dropping it closes the connection.
#[derive(Debug)]
struct Connection(task::JoinHandle<()>);

impl Connection {
    fn new(driver: task::JoinHandle<()>) -> Self {
        metrics::gauge!("buckthorncleat_server_connections").increment(1.0);
        metrics::counter!("buckthorncleat_server_connects_total").increment(1);
        Self(driver)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        metrics::gauge!("buckthorncleat_server_connections").decrement(1.0);
        self.0.abort();
    }
}

/// Sends a request over a connection of its own and returns the head of the answer; `timeout` covers
/// the time until the head, after the connection is open.
///
/// # Errors
///
/// Fails with `NotSent` when the request can't have reached the server, with another failure when
/// it may have.
pub async fn send(
    address: net::SocketAddr,
    req: hyper::Request<http_body_util::Full<Bytes>>,
    timeout: clock::Millis,
) -> Result<Answer, Failure> {
    let stream = connect(address, timeout).await?;
    exchange(stream, req, timeout).await
}

/// Opens a connection, within `timeout` and at most 200 ms.
///
/// # Errors
///
/// Fails with `NotSent`.
pub async fn connect(
    address: net::SocketAddr,
    timeout: clock::Millis,
) -> Result<TcpStream, Failure> {
    let connecting = TcpStream::connect(address);
    let connect_timeout = timeout.min(CONNECT_TIMEOUT).as_duration();
    let stream = match time::timeout(connect_timeout, connecting).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(_)) | Err(_) => return Err(Failure::NotSent),
    };
    // Requests are small and must not wait for the acknowledgement of earlier packets (Nagle).
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!("connection to {address}: {e}");
    }
    Ok(stream)
}

/// Sends a request over an open connection and returns the head of the answer within `timeout`.
///
/// # Errors
///
/// See [`send`].
pub async fn exchange(
    stream: TcpStream,
    req: hyper::Request<http_body_util::Full<Bytes>>,
    timeout: clock::Millis,
) -> Result<Answer, Failure> {
    match time::timeout(timeout.as_duration(), exchange_untimed(stream, req)).await {
        Ok(result) => result,
        Err(_) => Err(Failure::TimedOut),
    }
}

async fn exchange_untimed(
    stream: TcpStream,
    req: hyper::Request<http_body_util::Full<Bytes>>,
) -> Result<Answer, Failure> {
    let (stream, allowance) = allowance::Bounded::new(stream);
    let (stream, outgoing) = outgoing::Tracked::new(stream);
    let handshake = http1::Builder::new()
        .max_buf_size(allowance::MAX_BUFFER_BYTES)
        .handshake(rt::TokioIo::new(stream))
        .await;
    let (mut sender, driver) = handshake.map_err(|_| Failure::NotSent)?;
    let driver = async move {
        if let Err(e) = driver.await {
            log::debug!("connection to a server: {e}");
        }
    };
    let connection = Connection::new(tokio::spawn(driver));
    let response = sender.send_request(req).await;
    let (head, body) = response.map_err(|_| Failure::Broken)?.into_parts();
    if !status::is_final(head.status) {
        return Err(Failure::Broken);
    }
    // What is kept of the body is bounded by whoever reads it.
    allowance.lift();
    Ok(Answer {
        status: head.status,
        progress: progress::Progress::new(&head.headers),
        outgoing,
        headers: head.headers,
        body,
        _connection: connection,
    })
}

impl Answer {
    /// Builds the answer to the caller: this status, the end-to-end headers, and the given body.
    pub fn to_response(&self, body: body::Body) -> request::Response {
        let mut response = hyper::Response::new(body);
        *response.status_mut() = self.status;
        *response.headers_mut() = hop::end_to_end(&self.headers);
        if self.status == hyper::StatusCode::SERVICE_UNAVAILABLE {
            // It is the server's own, and not true for the whole service.
            response.headers_mut().remove(header::RETRY_AFTER);
        }
        response
    }

    /// Returns how far the body has been read.
    pub fn progress(&self) -> &progress::Progress {
        &self.progress
    }

    /// Takes the body for events if it has no `Content-Type`.
    pub fn expect_events(&mut self) {
        self.progress.expect_events();
    }

    fn may_end(&self) -> bool {
        let is_written = self.outgoing.is_written();
        self.progress.may_end_with(self.status, is_written)
    }

    /// Returns the next chunk of the body, or `None` after its regular end.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks before that, a stream of events ends inside one, or a
    /// successful answer ends with its connection before the request was written.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, Failure> {
        loop {
            match self.body.frame().await {
                None if self.may_end() => return Ok(None),
                None | Some(Err(_)) => return Err(Failure::Broken),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.progress.advance(&data);
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    /// Reads the whole body, of at most `max_bytes`.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks, the body is too large for `max_bytes` or for the memory
    /// that the process has left for large answers, or it is not complete in time.
    pub async fn read_to_end(
        &mut self,
        timeout: clock::Millis,
        max_bytes: usize,
    ) -> Result<Bytes, Failure> {
        let read = async {
            let mut whole = memory::Whole::default();
            while let Some(chunk) = self.next_chunk().await? {
                if whole.len() + chunk.len() > max_bytes || !whole.push(&chunk) {
                    metrics::counter!("buckthorncleat_oversized_answers_total").increment(1);
                    return Err(Failure::Broken);
                }
            }
            Ok(whole.into_bytes())
        };
        match time::timeout(timeout.as_duration(), read).await {
            Ok(result) => result,
            Err(_) => Err(Failure::TimedOut),
        }
    }
}
