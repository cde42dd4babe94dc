//! Listens for connections to the admin interface and serves them.

use std::convert;
use std::net;
use std::path;
use std::pin;
use std::sync;

use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt;
use tokio::net as tcp;
use tokio::sync::watch;
use tokio::task;
use tokio::time;

use crate::clock;
use crate::error;
use crate::event;
use crate::http::admin::service::Service;
use crate::http::admin::token;
use crate::http::stop as http_stop;
use crate::replica;

/// The most open connections; further ones wait in the accept queue.
pub const MAX_CONNECTIONS: usize = 256;

/// How long to wait after a failed accept.
const ACCEPT_RETRY_DELAY: clock::Millis = clock::Millis::new(50);

/// Serves the admin interface until `stop` holds `true`, then waits for running requests.
///
/// # Errors
///
/// Fails when the operators file is invalid or the address can't be bound.
pub async fn serve(
    address: net::SocketAddr,
    group: replica::Group,
    operators_file: &path::Path,
    recorder: sync::Arc<event::Recorder>,
    metrics: Option<metrics_exporter_prometheus::PrometheusHandle>,
    stop: watch::Receiver<bool>,
) -> error::Result<()> {
    let operators = token::Operators::from_file(operators_file)?;
    let listener = tcp::TcpListener::bind(address)
        .await
        .map_err(|e| error::Error::io(format!("listening on admin_address {address}"), e))?;
    let service = Service::new(group, operators, recorder, metrics);
    serve_on(listener, service, stop).await;
    Ok(())
}

/// Serves the admin interface on a bound socket until `stop` holds `true`.
///
/// Running requests then get [`Limits::stop_timeout`](super::service::Limits::stop_timeout) to end;
/// the connections that are still open after it are aborted.
pub async fn serve_on(
    listener: tcp::TcpListener,
    service: Service,
    mut stop: watch::Receiver<bool>,
) {
    let service = sync::Arc::new(service);
    let mut connections = task::JoinSet::new();
    loop {
        let full = connections.len() >= MAX_CONNECTIONS;
        tokio::select! {
            accepted = listener.accept(), if !full => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(connection(stream, service.clone(), stop.clone()));
                }
                Err(e) => {
                    log::warn!("admin interface: accepting a connection failed: {e}; trying again");
                    time::sleep(ACCEPT_RETRY_DELAY.as_duration()).await;
                }
            },
            Some(_) = connections.join_next() => {}
            () = stopped(&mut stop) => break,
        }
    }
    for (stream, _) in http_stop::take_accepted(&listener) {
        connections.spawn(connection(stream, service.clone(), stop.clone()));
    }
    drop(listener);
    let ended = async { while connections.join_next().await.is_some() {} };
    let limit = service.limits().stop_timeout.as_duration();
    if time::timeout(limit, ended).await.is_err() {
        connections.shutdown().await;
    }
}

async fn connection(
    stream: tcp::TcpStream,
    admin: sync::Arc<Service>,
    mut stop: watch::Receiver<bool>,
) {
    let handler = |req| {
        let admin = admin.clone();
        async move { Ok::<_, convert::Infallible>(admin.handle(req).await) }
    };
    let running = http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(admin.limits().head_timeout.as_duration())
        .serve_connection(rt::TokioIo::new(stream), service::service_fn(handler));
    let mut running = pin::pin!(running);
    let ended = tokio::select! {
        ended = running.as_mut() => ended,
        () = stopped_for_last_requests(&mut stop) => {
            running.as_mut().graceful_shutdown();
            running.await
        }
    };
    if let Err(e) = ended {
        log::debug!("admin interface: connection ended with an error: {e}");
    }
}

/// Waits until the server reads no further requests after a stop.
async fn stopped_for_last_requests(stop: &mut watch::Receiver<bool>) {
    stopped(stop).await;
    time::sleep(http_stop::LAST_REQUEST_TIME.as_duration()).await;
}

/// Waits until `stop` holds `true` or its sender is dropped.
async fn stopped(stop: &mut watch::Receiver<bool>) {
    // An error means that the sender was dropped, which also stops the server.
    let _ = stop.wait_for(|stop| *stop).await;
}
