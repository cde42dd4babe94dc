//! Probes the servers of services to which the path is lost.

use std::sync;

use futures_util::future;
use tokio::sync::watch;
use tokio::time;

use crate::document;
use crate::peer::server;
use crate::router::core;
use crate::router::upstream;

/// Probes servers while the path to a service is lost, until `stop` becomes true.
pub async fn run(core: sync::Arc<core::Core>, mut stop: watch::Receiver<bool>) {
    loop {
        // Register for notification before the look at the paths, so that no change in between is missed.
        let lost = core.path_lost.notified();
        let interval = core.paths().probe_interval();
        let wait = async {
            match interval {
                None => lost.await,
                Some(interval) => time::sleep(interval.as_duration()).await,
            }
        };
        tokio::select! {
            () = wait => {}
            () = server::stopped(&mut stop) => return,
        }
        let listed = core.balancer().services();
        let due = core.paths().due_probes(core.clock.now(), &listed);
        let probes = due
            .iter()
            .map(|(service, count)| probe(&core, service, *count));
        future::join_all(probes).await;
    }
}

/// Opens connections to some servers of a service and closes them.
async fn probe(core: &core::Core, service: &document::ServiceId, count: usize) {
    let mut servers = core.balancer().servers_of(service);
    if servers.is_empty() {
        return;
    }
    let start = rand::random_range(0..servers.len());
    servers.rotate_left(start);
    let connects = servers.iter().take(count).map(|(id, address)| async move {
        let connected = upstream::connect(*address, upstream::CONNECT_TIMEOUT).await;
        core.record_path(id, connected.is_ok());
    });
    future::join_all(connects).await;
}
