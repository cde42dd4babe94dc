//! Starts a router and shuts it down.

use std::net;
use std::sync;

use tokio::sync::watch;
use tokio::task;
use tokio::time;

use crate::clock;
use crate::daemon;
use crate::error;
use crate::event;
use crate::peer::frame;
use crate::peer::link;
use crate::router::callers;
use crate::router::core;
use crate::router::directory;
use crate::router::edge;
use crate::router::sharing;

/// The part of the grace in which callers that still come are served, as a divisor; the rest is
/// for what runs.
const LEAVING_SHARE: u64 = 3;

/// The time kept for ending what still runs when the grace is over.
const END_RESERVE: clock::Millis = clock::Millis::new(400);

/// What a router needs from its process.
pub struct Environment {
    /// How the platform speaks.
    pub dialect: sync::Arc<dyn edge::Dialect>,
    /// The settings.
    pub settings: core::Settings,
    /// The secret that all processes of the system share.
    pub secret: frame::Secret,
    /// The members of the control group to ask first; they may change.
    pub seeds: watch::Receiver<Vec<net::SocketAddr>>,
    /// The events and the clock of the process.
    pub recorder: sync::Arc<event::Recorder>,
    /// Turns true when the process is to stop.
    pub stop: watch::Receiver<bool>,
}

/// Runs a router until it is stopped, then shuts it down without cutting what can end in time.
///
/// # Errors
///
/// Fails when an address can't be listened on.
pub async fn run(env: Environment) -> error::Result<()> {
    let name = env.settings.instance.clone();
    let identity = link::Identity::new(name, env.secret, env.recorder);
    let links = link::Links::new(sync::Arc::new(identity));
    let clock = clock::Clock::start();
    let core = sync::Arc::new(core::Core::new(env.dialect, env.settings, clock));
    let mut tasks = listen(&core).await?;
    let sharing = sharing::Sharing::new(sync::Arc::clone(&core), links, env.seeds);
    let phase = core.watch_phase();
    tasks.spawn(async move {
        sharing.run(phase).await;
        Ok(())
    });
    log::info!(event = "started", instance = core.settings.instance.as_str(); "router started");
    let mut stop = env.stop;
    let ended = tokio::select! {
        _ = stop.wait_for(|stop| *stop) => None,
        ended = tasks.join_next() => ended,
    };
    if let Some(ended) = ended {
        return daemon::task_result(ended);
    }
    shut_down(&core, tasks).await;
    log::info!(event = "stopped", instance = core.settings.instance.as_str(); "router stopped");
    Ok(())
}

async fn listen(core: &sync::Arc<core::Core>) -> error::Result<task::JoinSet<error::Result<()>>> {
    let mut tasks = task::JoinSet::new();
    let settings = &core.settings;
    let listener = callers::bind(settings.caller_address, "callers").await?;
    let handler = sync::Arc::new(callers::Callers(sync::Arc::clone(core)));
    tasks.spawn(callers::serve(listener, handler, core.watch_phase()));
    let asked = [Some(settings.ready_address), settings.entry_address];
    for address in asked.into_iter().flatten() {
        let listener = callers::bind(address, "questions").await?;
        let handler = sync::Arc::new(directory::Directory(sync::Arc::clone(core)));
        tasks.spawn(callers::serve(listener, handler, core.watch_phase()));
    }
    Ok(tasks)
}

async fn shut_down(core: &sync::Arc<core::Core>, mut tasks: task::JoinSet<error::Result<()>>) {
    let grace = core.settings.grace;
    let began = core.clock.now();
    core.enter(core::Phase::Leaving);
    let leaving = clock::Millis::new(grace.as_u64() / LEAVING_SHARE);
    time::sleep(leaving.as_duration()).await;
    core.enter(core::Phase::Closing);
    let ends = began + grace - END_RESERVE;
    let left = ends - core.clock.now();
    let finish = async {
        while tasks.join_next().await.is_some() {}
        let mut streams = core.take_streams();
        while streams.join_next().await.is_some() {}
    };
    if time::timeout(left.as_duration(), finish).await.is_err() {
        log::warn!(event = "cut"; "requests still ran at the end of the grace and are cut");
    }
}
