//! Starts a router and shuts it down.

use std::net;
use std::sync;

use futures_util::future;
use tokio::sync::watch;
use tokio::task;
use tokio::time;

use crate::clock;
use crate::daemon;
use crate::error;
use crate::event;
use crate::http::stop;
use crate::peer::frame;
use crate::peer::link;
use crate::peer::server;
use crate::router::core;
use crate::router::directory;
use crate::router::helper;
use crate::router::http_server;
use crate::router::origin_gate;
use crate::router::probes;
use crate::router::protocol;
use crate::router::reporting;

/// The phase `Leaving`, in which callers that still connect are served, takes this fraction of the
/// grace period (a divisor). The rest is for running requests.
const LEAVING_DIVISOR: u64 = 3;

/// The longest time of the phase `Leaving`. A request that comes later may last beyond the grace period, however
/// long that is.
const MAX_LEAVING: clock::Millis = clock::Millis::new(2_500);

/// The time from the phase `Closing` to the phase `Draining`, in which the last requests are read.
const CLOSING_TIME: clock::Millis = clock::Millis::new(2 * stop::LAST_REQUEST_TIME.as_u64());

/// Time kept at the end of the grace period for cutting the requests that still run.
const FINISH_RESERVE: clock::Millis = clock::Millis::new(400);

pub struct Environment {
    /// Encodes and decodes the platform's messages.
    pub codec: sync::Arc<dyn protocol::Codec>,
    pub settings: core::Settings,
    /// The secret shared by all processes of the deployment.
    pub secret: frame::Secret,
    /// Addresses of control members to ask first; they may change.
    pub seeds: watch::Receiver<Vec<net::SocketAddr>>,
    pub recorder: sync::Arc<event::Recorder>,
    /// Becomes true when the process must stop.
    pub stop: watch::Receiver<bool>,
}

/// Runs a router until it is stopped, then lets running requests finish within the grace period.
///
/// # Errors
///
/// Fails when an address can't be bound, or a task of the router fails.
pub async fn run(env: Environment) -> error::Result<()> {
    let name = env.settings.instance.clone();
    let identity = sync::Arc::new(link::Identity::new(name, env.secret, env.recorder));
    let links = link::Links::new(sync::Arc::clone(&identity));
    let clock = clock::Clock::start();
    let core = sync::Arc::new(core::Core::new(env.codec, env.settings, clock, links));
    let mut tasks = listen(&core).await?;
    let reporter = reporting::Reporter::new(sync::Arc::clone(&core), env.seeds);
    let phase = core.watch_phase();
    tasks.spawn(async move {
        reporter.run(phase).await;
        Ok(())
    });
    let telling = origin_gate::tell_leader(sync::Arc::clone(&core), core.watch_phase());
    tasks.spawn(async move {
        telling.await;
        Ok(())
    });
    let stop_helping = watch::Sender::new(false);
    let mut helping = help_routers(&core, identity, &stop_helping);
    log::info!(event = "started", instance = core.settings.instance.as_str(); "router started");
    let mut stop = env.stop;
    let ended = tokio::select! {
        _ = stop.wait_for(|stop| *stop) => None,
        ended = tasks.join_next() => ended,
        ended = helping.join_next() => ended,
    };
    if let Some(ended) = ended {
        return daemon::task_result(ended);
    }
    shut_down(&core, tasks, helping, stop_helping).await;
    log::info!(event = "stopped", instance = core.settings.instance.as_str(); "router stopped");
    Ok(())
}

async fn listen(core: &sync::Arc<core::Core>) -> error::Result<task::JoinSet<error::Result<()>>> {
    let mut tasks = task::JoinSet::new();
    let settings = &core.settings;
    let listener = http_server::bind(settings.caller_address, "callers").await?;
    let handler = sync::Arc::new(http_server::CallerHandler(sync::Arc::clone(core)));
    tasks.spawn(http_server::serve(listener, handler, core.watch_phase()));
    let probe_addresses = [Some(settings.ready_address), settings.entry_address];
    for address in probe_addresses.into_iter().flatten() {
        let listener = http_server::bind(address, "probes and address queries").await?;
        let handler = sync::Arc::new(directory::Directory(sync::Arc::clone(core)));
        tasks.spawn(http_server::serve(listener, handler, core.watch_phase()));
    }
    Ok(tasks)
}

/// Serves the requests that other routers pass on, and probes the servers that this one has lost, until
/// `stop` becomes true.
fn help_routers(
    core: &sync::Arc<core::Core>,
    identity: sync::Arc<link::Identity>,
    stop: &watch::Sender<bool>,
) -> task::JoinSet<error::Result<()>> {
    let mut tasks = task::JoinSet::new();
    let helper = sync::Arc::new(helper::Helper::new(sync::Arc::clone(core)));
    let address = core.settings.router_address;
    let serving = server::serve(
        address,
        identity,
        sync::Arc::clone(&helper),
        stop.subscribe(),
    );
    tasks.spawn(serving);
    let sweep_stop = stop.subscribe();
    tasks.spawn(async move {
        helper.sweep(sweep_stop).await;
        Ok(())
    });
    let probing = probes::run(sync::Arc::clone(core), stop.subscribe());
    tasks.spawn(async move {
        probing.await;
        Ok(())
    });
    tasks
}

/// Returns how long callers that still connect are served in a grace period of this length.
pub fn leaving_time(grace: clock::Millis) -> clock::Millis {
    clock::Millis::new(grace.as_u64() / LEAVING_DIVISOR).min(MAX_LEAVING)
}

async fn shut_down(
    core: &sync::Arc<core::Core>,
    mut tasks: task::JoinSet<error::Result<()>>,
    mut helping: task::JoinSet<error::Result<()>>,
    stop_helping: watch::Sender<bool>,
) {
    let grace = core.settings.grace;
    let started = core.clock.now();
    core.set_phase(core::Phase::Leaving);
    let leaving = leaving_time(grace);
    time::sleep(leaving.as_duration()).await;
    core.set_phase(core::Phase::Closing);
    let finish_by = started + grace - FINISH_RESERVE;
    let left = finish_by - core.clock.now();
    let drain = async {
        time::sleep(CLOSING_TIME.as_duration()).await;
        core.set_phase(core::Phase::Draining);
        future::pending::<()>().await;
    };
    let finish = async {
        while tasks.join_next().await.is_some() {}
        let mut streams = core.take_streams();
        while streams.join_next().await.is_some() {}
        stop_helping.send_replace(true);
        while helping.join_next().await.is_some() {}
    };
    let finish = async {
        tokio::select! {
            () = finish => {}
            () = drain => {}
        }
    };
    if time::timeout(left.as_duration(), finish).await.is_err() {
        log::warn!(event = "cut"; "requests still run at the end of the grace period; cutting them");
    }
}
