//! The control daemon: the replicated log, sessions of gateways and the admin interface.

mod aging;
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

/// Runs a control member until `stop` turns true, or until its disk fails.
///
/// # Errors
///
/// Fails when a file can't be read, an address can't be listened on, or the disk fails.
pub async fn run(
    settings: settings::Control,
    metrics: prometheus::PrometheusHandle,
    stop: watch::Receiver<bool>,
) -> error::Result<()> {
    let ending = watch::Sender::new(false);
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
        ending.subscribe(),
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
            ending.subscribe(),
        )),
        tokio::spawn(wait_for_stop(stop, ending.subscribe())),
        tokio::spawn(proposer::run(sessions, ending.subscribe())),
        tokio::spawn(aging::run(group.clone(), clock, ending.subscribe())),
        tokio::spawn(serve_admin(
            settings,
            group,
            recorder.clone(),
            metrics,
            ending.subscribe(),
        )),
    ];
    let result = join_all(tasks, &ending).await;
    recorder.record(event::Kind::Stopped, "control");
    result
}

async fn wait_for_stop(
    mut stop: watch::Receiver<bool>,
    mut ending: watch::Receiver<bool>,
) -> error::Result<()> {
    tokio::select! {
        () = server::stopped(&mut stop) => {}
        () = server::stopped(&mut ending) => {}
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

/// Joins all tasks; the first that ends, for whatever reason, stops the others.
async fn join_all(
    mut left: Vec<tokio::task::JoinHandle<error::Result<()>>>,
    stop: &watch::Sender<bool>,
) -> error::Result<()> {
    let mut result = Ok(());
    while !left.is_empty() {
        let (ended, _, rest) = futures_util::future::select_all(left).await;
        left = rest;
        stop.send_replace(true);
        let ended = ended.unwrap_or_else(|e| {
            let remedy = "report this fault with the log of all members";
            Err(error::Error::damaged(
                format!("a task of the daemon: {e}"),
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
