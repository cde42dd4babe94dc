//! Finds out whether a server has ended with a run, or has only lost its answer.

use std::net;
use std::sync;

use tokio::time;

use crate::clock;
use crate::id;
use crate::router::core;
use crate::router::departures;
use crate::router::upstream;
use crate::state::model;

/// The time until the check. A server that ends closes its connections first.
const CHECK_DELAY: clock::Millis = clock::Millis::new(100);

/// What a router saw of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seen {
    /// The connection broke, which is recorded already.
    Broken,
    /// The server fell silent.
    Silent,
    /// The answer ended with its connection, so that it may have been cut.
    EndedWithConnection,
}

/// A run whose server may have ended.
pub struct Run {
    pub server: id::BackendServerId,
    pub address: net::SocketAddr,
    pub fingerprints: Vec<model::Fingerprint>,
    pub begun_at: clock::Millis,
    pub seen: Seen,
}

/// Opens a connection to the server of a run, in a task of its own, and records a loss if the server has
/// ended.
pub fn spawn(core: &sync::Arc<core::Core>, run: Run) {
    let task_core = sync::Arc::clone(core);
    core.spawn_stream(async move { check(&task_core, run).await });
}

async fn check(core: &core::Core, run: Run) {
    time::sleep(CHECK_DELAY.as_duration()).await;
    let connected = upstream::connect(run.address, upstream::CONNECT_TIMEOUT).await;
    core.record_path(&run.server, connected.is_ok());
    let outcome = if connected.is_ok() { "up" } else { "ended" };
    metrics::counter!("buckthorncleat_server_checks_total", "outcome" => outcome).increment(1);
    if connected.is_ok() && run.seen == Seen::EndedWithConnection {
        let mut suspects = core.suspects();
        suspects.record_sound(&run.fingerprints, run.begun_at);
    }
    if connected.is_ok() || is_cut_off(core, &run.server) {
        return;
    }
    log::info!(event = "server_ended", server = run.server.as_str(); "a server accepts no connections after a run");
    let now = core.clock.now();
    let mut suspects = core.suspects();
    if run.seen != Seen::Broken {
        suspects.record_loss(now, &run.server, run.fingerprints, run.begun_at);
    }
    suspects.record_ended(&run.server);
    drop(suspects);
    core.report_due.notify_one();
}

/// Finds out whether the server of a run has ended whose caller has left, without a look at the server where that
/// is known.
pub fn depart(core: &sync::Arc<core::Core>, run: departures::Run) {
    let life = core.balancer().life(&run.server);
    let (server, address) = (run.server.clone(), run.address);
    let decision = core.departures().record(core.clock.now(), run, life);
    match decision {
        departures::Decision::Nothing => {}
        departures::Decision::Lost(run) => record_departed(core, vec![run]),
        departures::Decision::Check => {
            let task_core = sync::Arc::clone(core);
            core.spawn_stream(async move { check_departed(&task_core, &server, address).await });
        }
    }
}

async fn check_departed(core: &core::Core, server: &id::BackendServerId, address: net::SocketAddr) {
    time::sleep(CHECK_DELAY.as_duration()).await;
    let connected = upstream::connect(address, upstream::CONNECT_TIMEOUT).await;
    core.record_path(server, connected.is_ok());
    let life = core.balancer().life(server);
    let runs = core
        .departures()
        .finish_check(core.clock.now(), server, connected.is_ok(), life);
    record_departed(core, runs);
}

/// Looks for servers whose start in a newer list shows that they ended under runs whose callers have left.
pub fn apply_list(core: &core::Core) {
    let now = core.clock.now();
    let life = |run: &departures::Run| core.balancer().life(&run.server);
    let lost = core.departures().apply_list(now, life);
    for run in lost {
        record_departed(core, vec![run]);
    }
}

/// Records runs whose server has ended and whose caller has left before. What the request shares with others is
/// left out: their callers leave a lost server at different times, which would count as several losses.
fn record_departed(core: &core::Core, runs: Vec<departures::Run>) {
    let Some(server) = runs.first().map(|run| run.server.clone()) else {
        return;
    };
    if is_cut_off(core, &server) {
        return;
    }
    log::info!(
        event = "server_ended",
        server = server.as_str(),
        departed = runs.len();
        "a server has ended under runs whose callers left"
    );
    let outcome = "departed";
    metrics::counter!("buckthorncleat_server_checks_total", "outcome" => outcome).increment(1);
    let now = core.clock.now();
    let mut suspects = core.suspects();
    for run in runs {
        suspects.record_departed_loss(now, &run);
    }
    suspects.record_ended(&server);
    drop(suspects);
    core.report_due.notify_one();
}

/// Returns whether this router reaches no server of the service, which says nothing of a single one.
fn is_cut_off(core: &core::Core, server: &id::BackendServerId) -> bool {
    let service = core.balancer().service_of(server);
    service.is_some_and(|(service, listed)| listed > 1 && core.paths().is_lost(&service))
}
