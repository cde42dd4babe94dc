//! Answers callers that ask for gateway addresses, and the platform's readiness probes.

use std::net;
use std::sync;

use hyper::body as hyper_body;

use crate::http::body;
use crate::router::core;
use crate::router::http_server;
use crate::router::request;

/// Upper bound of the addresses in one answer.
const MAX_ENTRIES: usize = 64;

/// Handler for gateway addresses and readiness.
pub struct Directory(pub sync::Arc<core::Core>);

impl http_server::Handler for Directory {
    async fn handle(
        self: sync::Arc<Self>,
        req: hyper::Request<hyper_body::Incoming>,
    ) -> request::Response {
        let core = &self.0;
        let path = req.uri().path();
        if path == core.codec.ready_path() {
            return bare(if is_ready(core) {
                hyper::StatusCode::OK
            } else {
                hyper::StatusCode::SERVICE_UNAVAILABLE
            });
        }
        if path != core.codec.entry_path() {
            return bare(hyper::StatusCode::NOT_FOUND);
        }
        let addresses = addresses(core);
        if addresses.is_empty() {
            return bare(hyper::StatusCode::SERVICE_UNAVAILABLE);
        }
        let ttl = core.settings.entry_ttl;
        let bytes = core.codec.write_entries(&addresses, ttl);
        body::json(bytes)
    }
}

/// Returns whether this instance has a document and is not shutting down.
pub fn is_ready(core: &core::Core) -> bool {
    core.table().is_some() && core.phase() == core::Phase::Serving
}

/// Returns the gateways that are alive as far as this instance knows, including itself while it is
/// ready and not cut off from the servers. The order starts at a random one, so that callers spread over all.
fn addresses(core: &core::Core) -> Vec<net::SocketAddr> {
    let own = core.settings.caller_address;
    let others = core.entries();
    let others = others.iter().map(|e| e.address);
    let mut addresses: Vec<net::SocketAddr> = others.filter(|a| *a != own).collect();
    if is_ready(core) && !core.is_cut_off() {
        addresses.push(own);
    }
    let start = rand::random_range(0..addresses.len().max(1));
    addresses.rotate_left(start);
    addresses.truncate(MAX_ENTRIES);
    addresses
}

fn bare(status: hyper::StatusCode) -> request::Response {
    body::answer(status, "")
}
