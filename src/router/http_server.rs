//! Accepts HTTP connections and passes their requests to a handler.

use std::convert;
use std::net;
use std::pin;
use std::sync;

use hyper::body as hyper_body;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task;
use tokio::time;

use crate::clock;
use crate::error;
use crate::http::stop;
use crate::router::core;
use crate::router::request;

/// Delay after a failed accept, as when no file descriptors are left.
const ACCEPT_RETRY_DELAY: clock::Millis = clock::Millis::new(50);

/// Size limit of a request head, whatever the document allows.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Timeout for the head of the next request, from the end of the last one. Callers keep idle
/// connections for four fifths of it.
const IDLE_TIMEOUT: clock::Millis = clock::Millis::from_secs(60);

/// Answers the requests that a listener accepts.
pub trait Handler: Send + Sync + 'static {
    fn handle(
        self: sync::Arc<Self>,
        req: hyper::Request<hyper_body::Incoming>,
    ) -> impl Future<Output = request::Response> + Send;
}

/// Answers callers' requests.
pub struct CallerHandler(pub sync::Arc<core::Core>);

impl Handler for CallerHandler {
    async fn handle(
        self: sync::Arc<Self>,
        req: hyper::Request<hyper_body::Incoming>,
    ) -> request::Response {
        request::serve(sync::Arc::clone(&self.0), req).await
    }
}

/// Binds a listener; `purpose` is named in the error.
///
/// # Errors
///
/// Fails when the address can't be bound.
pub async fn bind(address: net::SocketAddr, purpose: &str) -> error::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|e| error::Error::io(format!("listening for {purpose} on {address}"), e))
}

/// Accepts connections until the shutdown reaches [`core::Phase::Closing`], then waits until their
/// running requests have ended and closes them.
///
/// # Errors
///
/// Never fails at present.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    handler: sync::Arc<H>,
    phase: watch::Receiver<core::Phase>,
) -> error::Result<()> {
    let mut connections = task::JoinSet::new();
    let mut phase_changes = phase.clone();
    loop {
        tokio::select! {
            () = until_closing(&mut phase_changes) => break,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let handler = sync::Arc::clone(&handler);
                    connections.spawn(serve_connection(stream, handler, phase.clone()));
                }
                Err(e) => {
                    log::warn!(event = "accept_failed"; "can't accept a connection; trying again after a delay: {e}");
                    time::sleep(ACCEPT_RETRY_DELAY.as_duration()).await;
                }
            },
            Some(_) = connections.join_next() => {}
        }
    }
    for (stream, _) in stop::take_accepted(&listener) {
        let handler = sync::Arc::clone(&handler);
        connections.spawn(serve_connection(stream, handler, phase.clone()));
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
    Ok(())
}

/// Waits until the shutdown reaches [`core::Phase::Closing`].
pub async fn until_closing(phase: &mut watch::Receiver<core::Phase>) {
    // A dropped sender counts as closing too.
    let _ = phase.wait_for(|p| *p >= core::Phase::Closing).await;
}

/// Waits until connections without a running request are closed.
async fn until_closed(phase: &mut watch::Receiver<core::Phase>) {
    until_closing(phase).await;
    time::sleep(stop::LAST_REQUEST_TIME.as_duration()).await;
}

async fn serve_connection<H: Handler>(
    stream: tokio::net::TcpStream,
    handler: sync::Arc<H>,
    mut phase: watch::Receiver<core::Phase>,
) {
    // Events are small and must not wait for the acknowledgement of earlier ones (Nagle).
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!("caller connection: {e}");
    }
    let ends_with_connection = sync::atomic::AtomicBool::new(false);
    let service = service::service_fn(|req: hyper::Request<_>| {
        let is_old = req.version() < hyper::Version::HTTP_11;
        ends_with_connection.store(is_old, sync::atomic::Ordering::Relaxed);
        let handler = sync::Arc::clone(&handler);
        async move { Ok::<_, convert::Infallible>(handler.handle(req).await) }
    });
    let mut connection = http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT.as_duration())
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(rt::TokioIo::new(stream), service);
    let mut running = pin::Pin::new(&mut connection);
    let result = tokio::select! {
        result = running.as_mut() => result,
        () = until_closed(&mut phase) => {
            running.as_mut().graceful_shutdown();
            running.await
        }
    };
    let Err(e) = result else {
        return;
    };
    log::debug!("caller connection: {e}");
    // Without chunks, the end of the connection is the end of the answer, so that only a reset tells
    // the caller that the answer is truncated.
    if ends_with_connection.load(sync::atomic::Ordering::Relaxed)
        && let Err(e) = connection.into_parts().io.into_inner().set_zero_linger()
    {
        log::debug!("caller connection: can't reset it: {e}");
    }
}
