//! The control daemon: the replicated log, sessions of gateways and the admin interface.

mod handler;
mod proposer;
mod sessions;

use std::path;
use std::sync;

use tokio::sync::watch;

use crate::clock;
use crate::config::settings;
use crate::error;
use crate::event;
use crate::peer::frame;
use crate::peer::link;
use crate::peer::server;
use crate::replica::group;

/// The shortest election timeout that the log's timers can keep.
const MIN_ELECTION: clock::Millis = clock::Millis::new(50);

/// The election timeouts that fit into a session, so that no session ends without a leader.
const MIN_ELECTIONS_A_SESSION: u64 = 4;

/// Reads and checks the settings of a control member.
///
/// # Errors
///
/// Names the file, the field, its value and the remedy.
pub fn read_settings(path: &path::Path) -> error::Result<settings::Control> {
    let doing = || format!("reading settings file {}", path.display());
    let text = std::fs::read(path).map_err(|e| error::Error::io(doing(), e))?;
    let settings = serde_json::from_slice(&text).map_err(|e| {
        let remedy = format!("{e}; see docs/CONFIGURATION.md for the fields");
        error::Error::bad_value("settings file", path.display(), remedy)
    })?;
    check(&settings)?;
    Ok(settings)
}

/// Checks the settings of a control member.
///
/// # Errors
///
/// Names each bad field, its value and the remedy.
pub fn check(settings: &settings::Control) -> error::Result<()> {
    let timing = &settings.timing;
    let mut errors = Vec::new();
    let mut refuse = |field: &str, value: &dyn std::fmt::Display, remedy: &str| {
        errors.push(error::Error::bad_value(field, value, remedy));
    };
    if settings.members.is_empty() {
        refuse(
            "members",
            &"[]",
            "name the members that the group starts with",
        );
    }
    let mut names: Vec<_> = settings.members.iter().map(|m| &m.instance).collect();
    names.sort();
    if let Some(twice) = names.windows(2).find(|w| w[0] == w[1]) {
        refuse("members", twice[0], "name each instance once");
    }
    let own = settings
        .members
        .iter()
        .find(|m| m.instance == settings.instance);
    if let Some(own) = own.filter(|m| m.peer_address != settings.peer_address) {
        refuse(
            "members",
            &own.peer_address,
            "give this instance its own `peer_address`",
        );
    }
    if timing.election_ms < MIN_ELECTION {
        refuse("timing.election_ms", &timing.election_ms, "use 50 or more");
    }
    let beat = timing.heartbeat_ms;
    if beat == clock::Millis::ZERO || beat * 3 > timing.election_ms {
        refuse(
            "timing.heartbeat_ms",
            &beat,
            "use 1 to a third of `election_ms`",
        );
    }
    if timing.session_ms < timing.election_ms * MIN_ELECTIONS_A_SESSION {
        let remedy = "use at least four times `election_ms`, and more than the gateways' lease";
        refuse("timing.session_ms", &timing.session_ms, remedy);
    }
    if timing.snapshot_entries == 0 {
        refuse("timing.snapshot_entries", &0, "use 1 or more");
    }
    match errors.is_empty() {
        true => Ok(()),
        false => Err(error::Error::several(errors)),
    }
}

/// Runs a control member until `stop` turns true, or until its disk fails.
///
/// # Errors
///
/// Fails when a file can't be read, an address can't be listened on, or the disk fails.
pub async fn run(settings: settings::Control, stop: watch::Sender<bool>) -> error::Result<()> {
    check(&settings)?;
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
        stop.subscribe(),
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
            stop.subscribe(),
        )),
        tokio::spawn(proposer::run(sessions, stop.subscribe())),
        tokio::spawn(serve_admin(
            settings,
            group,
            recorder.clone(),
            stop.subscribe(),
        )),
    ];
    let result = join_all(tasks, &stop).await;
    recorder.record(event::Kind::Stopped, "control");
    result
}

/// Serves operators; the place where the admin interface is put in.
async fn serve_admin(
    _settings: settings::Control,
    _group: group::Group,
    _recorder: sync::Arc<event::Recorder>,
    mut stop: watch::Receiver<bool>,
) -> error::Result<()> {
    server::stopped(&mut stop).await;
    Ok(())
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
        data_folder: settings.data_folder.clone(),
        timing: settings.timing.clone(),
    }
}
