//! Starts a keeper and stops it.

use std::net;
use std::path;
use std::sync;

use tokio::sync::watch;

use crate::clock;
use crate::config::settings;
use crate::error;
use crate::event;
use crate::fleet::budget;
use crate::fleet::cold;
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
use crate::tasks;

/// Shortest time without a leader's message before an election. A machine with a small share of a
/// core answers within a fifth of it.
const ELECTION_TIMEOUT: clock::Millis = clock::Millis::new(500);

/// Interval between a leader's messages: four fit into the shortest election timeout.
const HEARTBEAT_INTERVAL: clock::Millis = clock::Millis::new(120);

/// Log entries between two snapshots; an entry is a whole document.
const SNAPSHOT_ENTRIES: u64 = 64;

/// Time without an answer after which a voter is replaced by a member that has caught up.
const VOTER_TIMEOUT: clock::Millis = clock::Millis::new(2_500);

#[derive(Clone, Debug)]
pub struct Settings {
    pub instance: id::InstanceId,
    /// Address for other processes of the deployment.
    pub peer_address: net::SocketAddr,
    /// Address for operators.
    pub operator_address: net::SocketAddr,
    /// Members of a new group, or members to contact in order to join an existing one.
    pub members: Vec<settings::ControlPeer>,
    /// Whether this process may form a new group.
    pub may_form_group: bool,
    /// Target number of voters.
    pub target_voters: usize,
    /// Folder of the log and the snapshots.
    pub data_folder: path::PathBuf,
    /// How the platform's server list is read.
    pub list: core::ListSettings,
    /// Length of the quota window.
    pub quota_window: clock::Millis,
    /// The retry budget.
    pub budget: budget::Settings,
    /// The bounds for calls to cold servers; `None` calls them like others.
    pub cold: Option<cold::Settings>,
}

pub struct Environment {
    /// Encodes and decodes the platform's messages.
    pub codec: sync::Arc<dyn protocol::Codec>,
    pub settings: Settings,
    /// The secret shared by all processes of the deployment.
    pub secret: frame::Secret,
    pub recorder: sync::Arc<event::Recorder>,
    /// Becomes true when the process must stop.
    pub stop: watch::Receiver<bool>,
}

/// Runs a keeper until it is stopped or its disk fails.
///
/// # Errors
///
/// Fails when an address can't be bound or the disk fails.
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
        settings.budget,
        clock,
    );
    let aggregator = sync::Arc::new(aggregator.with_cold(settings.cold));
    let phase = watch::Sender::new(core::Phase::Serving);
    let listener = http_server::bind(settings.operator_address, "operators").await?;
    let operators = sync::Arc::new(operators::Operators {
        group,
        codec: env.codec,
        address: settings.operator_address,
        aggregator: sync::Arc::clone(&aggregator),
    });
    let mut tasks = tasks::Tasks::default();
    tasks.spawn("replicated log", replica_tasks.join());
    let peers = server::serve(
        settings.peer_address,
        identity,
        sync::Arc::clone(&aggregator),
        shutdown.subscribe(),
    );
    tasks.spawn("peers", peers);
    let operators = http_server::serve(listener, operators, phase.subscribe());
    tasks.spawn("operators", operators);
    let (confirming, stop) = (sync::Arc::clone(&aggregator), shutdown.subscribe());
    tasks.spawn("leadership", async move {
        confirming.confirm_leadership(stop).await;
        Ok(())
    });
    let (saving, stop) = (sync::Arc::clone(&aggregator), shutdown.subscribe());
    tasks.spawn("origins", async move {
        saving.save_origins(stop).await;
        Ok(())
    });
    let (allowing, stop) = (sync::Arc::clone(&aggregator), shutdown.subscribe());
    tasks.spawn("allowances", async move {
        allowing.allow_use(stop).await;
        Ok(())
    });
    let stop = shutdown.subscribe();
    tasks.spawn("server list", async move {
        aggregator.read_lists(stop).await;
        Ok(())
    });
    log::info!(event = "started", instance = name.as_str(), forms = settings.may_form_group; "keeper started");
    let mut stop = env.stop;
    let ended = tokio::select! {
        _ = stop.wait_for(|stop| *stop) => None,
        ended = tasks.join_next() => ended,
    };
    shutdown.send_replace(true);
    phase.send_replace(core::Phase::Closing);
    let rest = tasks.join_all(tasks::STOP_TIMEOUT).await;
    let result = ended.unwrap_or(Ok(())).and(rest);
    log::info!(event = "stopped", instance = name.as_str(); "keeper stopped");
    result
}

/// Returns the settings of the member of the control group that a keeper runs.
pub fn group_settings(settings: &Settings) -> group::Settings {
    group::Settings {
        instance: settings.instance.clone(),
        members: settings.members.clone(),
        address: settings.peer_address,
        admission: replica_core::Admission::Open {
            may_form_group: settings.may_form_group,
            target_voters: settings.target_voters,
            replace_after: VOTER_TIMEOUT,
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
