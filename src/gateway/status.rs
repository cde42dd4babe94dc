//! The HTTP interface for operators of a gateway: status, events, metrics and drain.

use std::convert;
use std::sync;

use hyper::body;
use hyper::header;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt;
use metrics_exporter_prometheus as prometheus;
use tokio::sync::watch;
use tokio::task;

use crate::clock;
use crate::error;
use crate::event;
use crate::gateway::shared;
use crate::http::admin::read;
use crate::http::admin::wire;
use crate::http::body::Body;
use crate::id;
use crate::macros;
use crate::peer::server;

const READ_TIMEOUT: clock::Millis = clock::Millis::from_secs(5);

macros::data! {
    /// The answer to `GET /v1/status`.
    pub struct Status {
        pub instance: id::InstanceId,
        /// The revision of the configuration in force.
        pub revision: id::Revision,
        /// The epoch of the configuration in force.
        pub epoch: id::Epoch,
        /// Whether the configuration is confirmed recently enough to serve by it.
        pub fresh: bool,
        /// Whether a graceful shutdown has begun.
        pub draining: bool,
        /// The number of model requests that hold a reservation.
        pub reservations: usize,
    }
}

/// Answers operators until `stop` turns true.
///
/// # Errors
///
/// Fails when the address can't be listened on.
pub async fn serve(
    cx: sync::Arc<shared::Shared>,
    handle: prometheus::PrometheusHandle,
    mut stop: watch::Receiver<bool>,
) -> error::Result<()> {
    let address = cx.settings.status_address;
    let listener = tokio::net::TcpListener::bind(address)
        .await
        .map_err(|e| error::Error::io(format!("listening for operators on {address}"), e))?;
    let mut connections = task::JoinSet::new();
    loop {
        let stream = tokio::select! {
            () = server::stopped(&mut stop) => break,
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
        };
        let Ok((stream, _)) = stream else { continue };
        let cx = sync::Arc::clone(&cx);
        let handle = handle.clone();
        connections.spawn(async move {
            let handler = service::service_fn(|request| {
                let response = answer(&cx, &handle, &request);
                async move { Ok::<_, convert::Infallible>(response) }
            });
            let served = http1::Builder::new()
                .timer(rt::TokioTimer::new())
                .header_read_timeout(READ_TIMEOUT.as_duration())
                .serve_connection(rt::TokioIo::new(stream), handler);
            if let Err(e) = served.await {
                log::debug!("connection to the status interface ended: {e}");
            }
        });
    }
    connections.shutdown().await;
    Ok(())
}

fn answer(
    cx: &shared::Shared,
    handle: &prometheus::PrometheusHandle,
    request: &hyper::Request<body::Incoming>,
) -> hyper::Response<Body> {
    match (request.method(), request.uri().path()) {
        (&hyper::Method::GET, "/v1/status") => json(200, &status(cx)),
        (&hyper::Method::GET, "/v1/events") => match read::since_stamp(request.uri().query()) {
            Ok(stamp) => json(200, &events(cx, stamp)),
            Err(e) => problem(400, &e.to_string()),
        },
        (&hyper::Method::GET, "/metrics") => text(handle.render()),
        (&hyper::Method::POST, "/v1/drain") => {
            cx.drain();
            json(202, &status(cx))
        }
        (_, "/v1/status" | "/v1/events" | "/metrics" | "/v1/drain") => {
            problem(405, "use GET, or POST for /v1/drain")
        }
        _ => problem(404, "use /v1/status, /v1/events, /v1/drain or /metrics"),
    }
}

fn events(cx: &shared::Shared, since: event::Stamp) -> wire::Events {
    let events = cx.recorder.events_since(since);
    wire::Events { events }
}

fn status(cx: &shared::Shared) -> Status {
    let config = cx.config();
    Status {
        instance: cx.instance().clone(),
        revision: config.revision,
        epoch: config.epoch,
        fresh: cx.is_fresh(),
        draining: cx.is_draining(),
        reservations: cx.reservations.len(),
    }
}

fn json<T: serde::Serialize>(status: u16, value: &T) -> hyper::Response<Body> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    respond(status, "application/json", body)
}

fn problem(status: u16, remedy: &str) -> hyper::Response<Body> {
    json(status, &serde_json::json!({"error": {"message": remedy}}))
}

fn text(body: String) -> hyper::Response<Body> {
    respond(200, "text/plain; version=0.0.4", body.into_bytes())
}

fn respond(status: u16, content_type: &'static str, body: Vec<u8>) -> hyper::Response<Body> {
    let mut response = hyper::Response::new(Body::from_bytes(body));
    if let Ok(status) = hyper::StatusCode::from_u16(status) {
        *response.status_mut() = status;
    }
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static(content_type),
    );
    response
}
