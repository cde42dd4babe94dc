//! The control daemon: the replicated log, the sessions of gateways and the admin interface.

mod claim_aging;
mod handler;
mod proposer;
mod sessions;

use std::sync;

use metrics_exporter_prometheus as prometheus;
use tokio::sync::watch;

use crate::clock;
use crate::config::settings;
use crate::error;
use crate::event;
use crate::http::admin;
use crate::peer::frame;
use crate::peer::link;
use crate::peer::server;
use crate::replica::core;
use crate::replica::group;
use crate::tasks;

/// Runs a member of the control group until `stop` turns true or its disk fails.
///
/// # Errors
///
/// Fails when a file can't be read, an address can't be listened on, or the disk fails.
pub async fn run(
    settings: settings::Control,
    metrics: prometheus::PrometheusHandle,
    stop: watch::Receiver<bool>,
) -> error::Result<()> {
    let shutdown = watch::Sender::new(false);
    let secret = frame::Secret::from_file(&settings.secret_file)?;
    let recorder = sync::Arc::new(event::Recorder::new(settings.instance.clone()));
    let identity = link::Identity::new(settings.instance.clone(), secret, recorder.clone());
    let identity = sync::Arc::new(identity);
    let links = sync::Arc::new(link::Links::new(sync::Arc::clone(&identity)));
    let clock = clock::Clock::start();
    let (group, running) = group::Group::start(
        group_settings(&settings),
        links,
        clock,
        recorder.clone(),
        shutdown.subscribe(),
    )?;
    recorder.record(event::Kind::Started, "control");
    let sessions = sessions::Sessions::new(group.clone(), clock, settings.timing.session_ms);
    let sessions = sync::Arc::new(sessions);
    let handler = sync::Arc::new(handler::Handler::new(group.clone(), sessions.clone()));
    let mut tasks = tasks::Tasks::default();
    tasks.spawn("replicated log", running.join());
    tasks.spawn(
        "peers",
        server::serve(
            settings.peer_address,
            identity,
            handler,
            shutdown.subscribe(),
        ),
    );
    tasks.spawn("stop signal", wait_for_stop(stop, shutdown.subscribe()));
    tasks.spawn("proposer", proposer::run(sessions, shutdown.subscribe()));
    let aging = claim_aging::run(group.clone(), clock, shutdown.subscribe());
    tasks.spawn("claims", aging);
    let admin = serve_admin(
        settings,
        group,
        recorder.clone(),
        metrics,
        shutdown.subscribe(),
    );
    tasks.spawn("admin", admin);
    // The first one to end, for any reason, stops the others.
    let ended = tasks.join_next().await.unwrap_or(Ok(()));
    shutdown.send_replace(true);
    let result = ended.and(tasks.join_all(tasks::STOP_TIMEOUT).await);
    recorder.record(event::Kind::Stopped, "control");
    result
}

async fn wait_for_stop(
    mut stop: watch::Receiver<bool>,
    mut shutdown: watch::Receiver<bool>,
) -> error::Result<()> {
    tokio::select! {
        () = server::stopped(&mut stop) => {}
        () = server::stopped(&mut shutdown) => {}
    }
    Ok(())
}

async fn serve_admin(
    settings: settings::Control,
    group: group::Group,
    recorder: sync::Arc<event::Recorder>,
    metrics: prometheus::PrometheusHandle,
    stop: watch::Receiver<bool>,
) -> error::Result<()> {
    let operators = &settings.operators_file;
    let address = settings.admin_address;
    admin::serve(address, group, operators, recorder, Some(metrics), stop).await
}

fn group_settings(settings: &settings::Control) -> group::Settings {
    group::Settings {
        instance: settings.instance.clone(),
        members: settings.members.clone(),
        address: settings.peer_address,
        admission: core::Admission::ByOperator,
        data_folder: settings.data_folder.clone(),
        timing: settings.timing.clone(),
    }
}
