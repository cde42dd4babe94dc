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
use crate::keeper::aggregator;
use crate::keeper::operators;
use crate::peer::frame;
use crate::peer::link;
use crate::peer::server;
use crate::replica::core as replica_core;
use crate::replica::group;
use crate::router::core;
use crate::router::http_server;
use crate::router::protocol;

/// The shortest time without a leader's message before an election; a machine with a small share
/// of a core answers within a fifth of it.
const ELECTION_TIMEOUT: clock::Millis = clock::Millis::new(500);

/// The time between a leader's messages: four fit into the shortest election time.
const HEARTBEAT_INTERVAL: clock::Millis = clock::Millis::new(120);

/// The log entries between two snapshots; an entry is a whole document.
const SNAPSHOT_ENTRIES: u64 = 64;

/// The silence after which a voter's place goes to a member that has caught up.
const VOTER_TIMEOUT: clock::Millis = clock::Millis::new(2_500);

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
    pub codec: sync::Arc<dyn protocol::Codec>,
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
    let shutdown = watch::Sender::new(false);
    let (group, replica_tasks) = group::Group::start(
        group_settings(&settings),
        links,
        clock,
        recorder,
        shutdown.subscribe(),
    )?;
    let aggregator = aggregator::Aggregator::new(
        group.clone(),
        sync::Arc::clone(&env.codec),
        settings.list,
        settings.quota_window,
        clock,
    );
    let aggregator = sync::Arc::new(aggregator);
    let phase = watch::Sender::new(core::Phase::Serving);
    let listener = http_server::bind(settings.operator_address, "operators").await?;
    let operators = sync::Arc::new(operators::Operators {
        group,
        codec: env.codec,
        address: settings.operator_address,
    });
    let mut tasks = task::JoinSet::new();
    tasks.spawn(replica_tasks.join());
    let peers = server::serve(
        settings.peer_address,
        identity,
        sync::Arc::clone(&aggregator),
        shutdown.subscribe(),
    );
    tasks.spawn(peers);
    tasks.spawn(http_server::serve(listener, operators, phase.subscribe()));
    let (confirming, stop) = (sync::Arc::clone(&aggregator), shutdown.subscribe());
    tasks.spawn(async move {
        confirming.confirm_leadership(stop).await;
        Ok(())
    });
    let stop = shutdown.subscribe();
    tasks.spawn(async move {
        aggregator.read_lists(stop).await;
        Ok(())
    });
    log::info!(event = "started", instance = name.as_str(), forms = settings.forms; "keeper started");
    let mut stop = env.stop;
    let ended = tokio::select! {
        _ = stop.wait_for(|stop| *stop) => None,
        ended = tasks.join_next() => ended,
    };
    shutdown.send_replace(true);
    phase.send_replace(core::Phase::Closing);
    let mut result = ended.map_or(Ok(()), daemon::joined);
    while let Some(ended) = tasks.join_next().await {
        result = result.and(daemon::joined(ended));
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
            forms: settings.forms,
            voters: settings.voters,
            silence: VOTER_TIMEOUT,
        },
        data_folder: settings.data_folder.clone(),
        timing: crate::config::settings::ControlTiming {
            election_ms: ELECTION_TIMEOUT,
            heartbeat_ms: HEARTBEAT_INTERVAL,
            snapshot_entries: SNAPSHOT_ENTRIES,
            ..Default::default()
        },
    }
}
