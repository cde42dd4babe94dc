//! Serves the connections of callers: requests are limited in time and size, and a connection ends
//! when its key is withdrawn.

use std::convert;
use std::net;
use std::sync;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt;
use tokio::sync::watch;
use tokio::task;
use tokio::time;

use crate::clock;
use crate::error;
use crate::event;
use crate::filter;
use crate::filter::exchange;
use crate::gateway::shared;
use crate::http::caller::answer;
use crate::http::stop as http_stop;
use crate::id;
use crate::peer::server;
use crate::state::command;
use crate::state::model;
use crate::unit;

const MAX_HEAD_BYTES: usize = 32 << 10;
/// The delay after a failed accept, for example when no file descriptors are left.
const ACCEPT_RETRY_DELAY: clock::Millis = clock::Millis::new(50);
/// The retry-after time when this gateway runs as many requests as it allows.
const RETRY_AFTER: clock::Millis = clock::Millis::from_secs(1);

/// Accepts callers until `stop` turns true, then waits for their running requests to end.
///
/// # Errors
///
/// Fails when the address can't be listened on.
pub async fn serve(
    cx: sync::Arc<shared::Shared>,
    stop: watch::Receiver<bool>,
) -> error::Result<()> {
    let address = cx.settings.caller_address;
    let listener = tokio::net::TcpListener::bind(address)
        .await
        .map_err(|e| error::Error::io(format!("listening for callers on {address}"), e))?;
    let mut connections = task::JoinSet::new();
    let mut stopping = stop.clone();
    loop {
        tokio::select! {
            () = server::stopped(&mut stopping) => break,
            accepted = listener.accept() => match accepted {
                Ok((stream, peer)) => {
                    let cx = sync::Arc::clone(&cx);
                    connections.spawn(connection(cx, stream, peer, stop.clone()));
                }
                Err(e) => {
                    log::warn!("accepting a caller's connection failed: {e}");
                    time::sleep(ACCEPT_RETRY_DELAY.as_duration()).await;
                }
            },
            Some(_) = connections.join_next() => {}
        }
    }
    for (stream, peer) in http_stop::take_accepted(&listener) {
        let cx = sync::Arc::clone(&cx);
        connections.spawn(connection(cx, stream, peer, stop.clone()));
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
    Ok(())
}

/// The state that the requests of one connection share.
struct Connection {
    cx: sync::Arc<shared::Shared>,
    running: sync::Mutex<task::JoinSet<()>>,
    key: watch::Sender<Option<model::Key>>,
}

async fn connection(
    cx: sync::Arc<shared::Shared>,
    stream: tokio::net::TcpStream,
    peer: net::SocketAddr,
    stop: watch::Receiver<bool>,
) {
    // Token events are small and must not wait for the acknowledgement of earlier packets.
    let _ = stream.set_nodelay(true);
    let shared = sync::Arc::new(Connection {
        cx,
        running: sync::Mutex::default(),
        key: watch::Sender::default(),
    });
    // Requests notice that their caller is gone when the connection is dropped, which must happen
    // before they are joined.
    if let Err(e) = serve_connection(&shared, stream, stop).await {
        log::debug!("connection of caller {peer} ended: {e}");
    }
    shared.join().await;
}

/// Serves a connection until it ends, or shuts it down gracefully when `stop` turns true or its key
/// is withdrawn.
async fn serve_connection(
    shared: &sync::Arc<Connection>,
    stream: tokio::net::TcpStream,
    mut stop: watch::Receiver<bool>,
) -> hyper::Result<()> {
    let handler = service::service_fn(|request| {
        let shared = sync::Arc::clone(shared);
        async move { Ok::<_, convert::Infallible>(shared.handle(request).await) }
    });
    let timing = &shared.cx.settings.timing;
    let mut served = std::pin::pin!(
        http1::Builder::new()
            .timer(rt::TokioTimer::new())
            .header_read_timeout(timing.caller_read_timeout_ms.as_duration())
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(rt::TokioIo::new(stream), handler)
    );
    tokio::select! {
        result = served.as_mut() => return result,
        () = server::stopped_for(&mut stop, http_stop::LAST_REQUEST_TIME) => {}
        () = shared.key_withdrawn() => {}
    }
    served.as_mut().graceful_shutdown();
    served.await
}

impl Connection {
    async fn handle(&self, request: hyper::Request<body::Incoming>) -> answer::Response {
        let id = id::RequestId::random();
        let arrived = self.cx.clock.now();
        self.cx
            .recorder
            .record_request(event::Kind::Arrived, id, request.uri().path());
        let (head, body) = request.into_parts();
        let refused = match self.read(&head, body).await {
            Ok(body) => return self.run(id, arrived, head, body).await,
            Err(refusal) => refusal,
        };
        refused.into_response(id)
    }

    async fn read(
        &self,
        head: &hyper::http::request::Parts,
        body: body::Incoming,
    ) -> Result<Bytes, answer::Refusal> {
        check_head(head)?;
        if self.cx.reservations.len() >= self.cx.settings.timing.max_requests {
            let message = "this entry runs as many requests as it allows; use another entry";
            let refusal = answer::Refusal::not_run(503, "entry_full", message);
            return Err(refusal.retry_after(RETRY_AFTER));
        }
        let max_bytes = self.cx.settings.timing.max_body_bytes;
        let timeout = self.cx.settings.timing.caller_read_timeout_ms;
        let collect = http_body_util::Limited::new(body, max_bytes).collect();
        match time::timeout(timeout.as_duration(), collect).await {
            Ok(Ok(body)) => Ok(body.to_bytes()),
            Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => {
                let message =
                    format!("the body is larger than {max_bytes} bytes; send a smaller one");
                Err(answer::Refusal::not_run(413, "body_too_large", message))
            }
            Ok(Err(_)) => {
                let message =
                    "the connection ended before the whole body came; send the whole body";
                Err(answer::Refusal::not_run(400, "body_incomplete", message))
            }
            Err(_) => {
                let message =
                    format!("the whole body did not come within {timeout}; send it faster");
                Err(answer::Refusal::not_run(408, "body_too_slow", message))
            }
        }
    }

    /// Runs the request in its own task, which also cleans up when the caller is gone.
    async fn run(
        &self,
        id: id::RequestId,
        arrived: clock::Millis,
        head: hyper::http::request::Parts,
        body: Bytes,
    ) -> answer::Response {
        let (responder, answer) = exchange::Responder::new();
        let exchange = exchange::Exchange {
            cx: sync::Arc::clone(&self.cx),
            id,
            arrived,
            head,
            body,
            target: exchange::Target::Unknown,
            key: None,
            charged: None,
            used: unit::Tokens::new(0),
            claim: None,
            claim_outcome: command::ClaimOutcome::NotRun,
            responder,
            authorised: self.key.clone(),
        };
        self.spawn(filter::run(exchange));
        answer.await.unwrap_or_else(|_| {
            let message =
                "the request ended without an answer because of a fault in the gateway; report it";
            answer::Refusal::unknown(500, "fault", message).into_response(id)
        })
    }

    fn spawn(&self, work: impl Future<Output = ()> + Send + 'static) {
        let mut running = self
            .running
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        while running.try_join_next().is_some() {}
        running.spawn(work);
    }

    async fn join(&self) {
        let running = std::mem::take(
            &mut *self
                .running
                .lock()
                .unwrap_or_else(sync::PoisonError::into_inner),
        );
        running.join_all().await;
    }

    /// Waits until the key last used on this connection is withdrawn.
    async fn key_withdrawn(&self) {
        let mut rx = self.key.subscribe();
        loop {
            let key = rx.borrow_and_update().clone();
            let withdrawn = async {
                match &key {
                    Some(key) => self.cx.key_withdrawn(key).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = withdrawn => return,
                _ = rx.changed() => {}
            }
        }
    }
}

fn check_head(head: &hyper::http::request::Parts) -> Result<(), answer::Refusal> {
    for (name, value) in &head.headers {
        if std::str::from_utf8(value.as_bytes()).is_err() {
            let message = format!("header {name} is not UTF-8; send UTF-8 text");
            return Err(answer::Refusal::not_run(400, "bad_header", message));
        }
    }
    Ok(())
}
