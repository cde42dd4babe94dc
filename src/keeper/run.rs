//! Starts a keeper and stops it.

use std::net;
use std::path;
use std::sync;

use tokio::sync::watch;
use tokio::task;

use crate::clock;
use crate::config::settings;
use crate::daemon;
use crate::error;
use crate::event;
use crate::id;
use crate::keeper::hub;
use crate::keeper::operators;
use crate::peer::frame;
use crate::peer::link;
use crate::peer::server;
use crate::replica::core as replica_core;
use crate::replica::group;
use crate::router::callers;
use crate::router::core;
use crate::router::edge;

/// The shortest time without a leader's message before an election; a machine with a small share
/// of a core answers within a fifth of it.
const ELECTION: clock::Millis = clock::Millis::new(500);

/// The time between a leader's messages: four fit into the shortest election time.
const HEARTBEAT: clock::Millis = clock::Millis::new(120);

/// The log entries between two snapshots; an entry is a whole document.
const SNAPSHOT_ENTRIES: u64 = 64;

/// The silence after which a voter's place goes to a member that has caught up.
const VOTER_SILENCE: clock::Millis = clock::Millis::new(2_500);

/// The settings of a keeper.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of this instance.
    pub instance: id::InstanceId,
    /// Where other processes of the system connect.
    pub peer_address: net::SocketAddr,
    /// Where operators connect.
    pub operator_address: net::SocketAddr,
    /// The members of a new group, or those to ask.
    pub members: Vec<settings::ControlPeer>,
    /// Whether the group is new.
    pub forms: bool,
    /// The voters that the group aims at.
    pub voters: usize,
    /// The folder that holds the log and the snapshots.
    pub data_folder: path::PathBuf,
    /// The platform's list of servers.
    pub list: core::ListSettings,
    /// The window in which quotas are counted.
    pub quota_window: clock::Millis,
}

/// What a keeper needs from its process.
pub struct Environment {
    /// How the platform speaks.
    pub dialect: sync::Arc<dyn edge::Dialect>,
    /// The settings.
    pub settings: Settings,
    /// The secret that all processes of the system share.
    pub secret: frame::Secret,
    /// The events and the clock of the process.
    pub recorder: sync::Arc<event::Recorder>,
    /// Turns true when the process is to stop.
    pub stop: watch::Receiver<bool>,
}

/// Runs a keeper until it is stopped or its disk fails.
///
/// # Errors
///
/// Fails when an address can't be listened on or the disk fails.
pub async fn run(env: Environment) -> error::Result<()> {
    let settings = env.settings;
    let name = settings.instance.clone();
    let recorder = env.recorder;
    let identity = link::Identity::new(name.clone(), env.secret, sync::Arc::clone(&recorder));
    let identity = sync::Arc::new(identity);
    let links = sync::Arc::new(link::Links::new(sync::Arc::clone(&identity)));
    let clock = clock::Clock::start();
    let ending = watch::Sender::new(false);
    let (group, running) = group::Group::start(
        group_settings(&settings),
        links,
        clock,
        recorder,
        ending.subscribe(),
    )?;
    let hub = hub::Hub::new(
        group.clone(),
        sync::Arc::clone(&env.dialect),
        settings.list,
        settings.quota_window,
        clock,
    );
    let hub = sync::Arc::new(hub);
    let phase = watch::Sender::new(core::Phase::Serving);
    let listener = callers::bind(settings.operator_address, "operators").await?;
    let operators = sync::Arc::new(operators::Operators {
        group,
        dialect: env.dialect,
        address: settings.operator_address,
    });
    let mut tasks = task::JoinSet::new();
    tasks.spawn(running.join());
    let peers = server::serve(
        settings.peer_address,
        identity,
        sync::Arc::clone(&hub),
        ending.subscribe(),
    );
    tasks.spawn(peers);
    tasks.spawn(callers::serve(listener, operators, phase.subscribe()));
    let (proving, stop) = (sync::Arc::clone(&hub), ending.subscribe());
    tasks.spawn(async move {
        proving.prove(stop).await;
        Ok(())
    });
    let stop = ending.subscribe();
    tasks.spawn(async move {
        hub.read_lists(stop).await;
        Ok(())
    });
    log::info!(event = "started", instance = name.as_str(), forms = settings.forms; "keeper started");
    let mut stop = env.stop;
    let ended = tokio::select! {
        _ = stop.wait_for(|stop| *stop) => None,
        ended = tasks.join_next() => ended,
    };
    ending.send_replace(true);
    phase.send_replace(core::Phase::Closing);
    let mut result = ended.map_or(Ok(()), daemon::task_result);
    while let Some(ended) = tasks.join_next().await {
        result = result.and(daemon::task_result(ended));
    }
    log::info!(event = "stopped", instance = name.as_str(); "keeper stopped");
    result
}

fn group_settings(settings: &Settings) -> group::Settings {
    group::Settings {
        instance: settings.instance.clone(),
        members: settings.members.clone(),
        address: settings.peer_address,
        admission: replica_core::Admission::Open {
            may_form_group: settings.forms,
            target_voters: settings.voters,
            replace_after: VOTER_SILENCE,
        },
        data_folder: settings.data_folder.clone(),
        timing: crate::config::settings::ControlTiming {
            election_ms: ELECTION,
            heartbeat_ms: HEARTBEAT,
            snapshot_entries: SNAPSHOT_ENTRIES,
            ..Default::default()
        },
    }
}
