//! Serves the metrics of a process in the Prometheus text format.

use std::net;
use std::sync;

use hyper::body as hyper_body;
use metrics_exporter_prometheus as prometheus;
use tokio::sync::watch;

use crate::error;
use crate::http::body;
use crate::router::core;
use crate::router::http_server;
use crate::router::request;

struct Metrics(prometheus::PrometheusHandle);

impl http_server::Handler for Metrics {
    async fn handle(
        self: sync::Arc<Self>,
        _req: hyper::Request<hyper_body::Incoming>,
    ) -> request::Response {
        self.0.run_upkeep();
        body::answer(hyper::StatusCode::OK, self.0.render())
    }
}

/// Serves metrics until the task is dropped.
///
/// # Errors
///
/// Fails when the address can't be bound.
pub async fn serve(
    address: net::SocketAddr,
    metrics: prometheus::PrometheusHandle,
) -> error::Result<()> {
    let listener = http_server::bind(address, "metrics").await?;
    let phase = watch::Sender::new(core::Phase::Serving);
    let handler = sync::Arc::new(Metrics(metrics));
    http_server::serve(listener, handler, phase.subscribe()).await
}
