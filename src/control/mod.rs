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
    let tasks = vec![
        tokio::spawn(running.join()),
        tokio::spawn(server::serve(
            settings.peer_address,
            identity,
            handler,
            shutdown.subscribe(),
        )),
        tokio::spawn(wait_for_stop(stop, shutdown.subscribe())),
        tokio::spawn(proposer::run(sessions, shutdown.subscribe())),
        tokio::spawn(claim_aging::run(group.clone(), clock, shutdown.subscribe())),
        tokio::spawn(serve_admin(
            settings,
            group,
            recorder.clone(),
            metrics,
            shutdown.subscribe(),
        )),
    ];
    let result = join_all(tasks, &shutdown).await;
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

/// Joins all tasks; the first one to end, for any reason, stops the others.
async fn join_all(
    mut remaining: Vec<tokio::task::JoinHandle<error::Result<()>>>,
    stop: &watch::Sender<bool>,
) -> error::Result<()> {
    let mut result = Ok(());
    while !remaining.is_empty() {
        let (ended, _, rest) = futures_util::future::select_all(remaining).await;
        remaining = rest;
        stop.send_replace(true);
        let ended = ended.unwrap_or_else(|e| {
            let remedy = "report this fault with the log of all members";
            Err(error::Error::damaged(
                format!("task of the control daemon: {e}"),
                remedy,
            ))
        });
        result = result.and(ended);
    }
    result
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
