//! The handle to the replicated state of the control group, and the start of a member's tasks.

mod disk;
mod driver;
mod peers;
mod standing;
mod versions;
mod view;

use std::net;
use std::path;
use std::sync;

use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task;
use tokio::time;

use crate::clock;
use crate::config::settings;
use crate::error;
use crate::event;
use crate::id;
use crate::peer::link;
use crate::peer::trailer;
use crate::replica::core;
use crate::replica::core::members;
use crate::replica::core::message;
use crate::replica::storage;
use crate::replica::storage::file_system;
use crate::state::command;

pub use versions::{MemberVersions, Versions};
pub use view::{Outcome, Status, View};

use view::Shared;

/// The capacity of the queue of messages and requests to the driver.
const EVENT_QUEUE_CAPACITY: usize = 4_096;

const MAX_COMMAND_BYTES: usize = 4 << 20;

/// The lower bound of the commit timeout.
const MIN_COMMIT_TIMEOUT: clock::Millis = clock::Millis::new(400);

/// The retry delay told to callers whose request was not accepted.
const RETRY_AFTER: clock::Millis = clock::Millis::new(200);

/// A handle to the replicated state at one member of the control group.
#[derive(Clone, Debug)]
pub struct Group {
    shared: sync::Arc<Shared>,
    events: Option<mpsc::Sender<Event>>,
    commit_timeout: clock::Millis,
}

/// An event for the driver.
#[derive(Debug)]
enum Event {
    Message(message::Message, trailer::ProtocolVersion),
    Propose {
        /// The only term in which the command may be proposed, or `None` for any.
        term: Option<id::Term>,
        command: Vec<u8>,
        answer: oneshot::Sender<Outcome>,
    },
    Read {
        answer: oneshot::Sender<Outcome>,
    },
    ChangeMembers {
        change: members::MemberChange,
        answer: oneshot::Sender<Outcome>,
    },
}

#[derive(Clone, Debug)]
pub struct Settings {
    pub instance: id::InstanceId,
    /// The initial members of the group. A node without a group sends its join requests to them.
    pub members: Vec<settings::ControlPeer>,
    /// The address at which this member listens for other processes.
    pub address: net::SocketAddr,
    pub admission: core::Admission,
    /// The folder of the log and the snapshots.
    pub data_folder: path::PathBuf,
    pub timing: settings::ControlTiming,
}

/// The tasks of a running member.
#[derive(Debug)]
pub struct Running {
    driver: task::JoinHandle<error::Result<()>>,
}

impl Running {
    /// Waits until the member has stopped and all its tasks have ended.
    ///
    /// # Errors
    ///
    /// Fails when a disk error or a violated invariant stopped the member.
    pub async fn join(self) -> error::Result<()> {
        self.driver.await.unwrap_or_else(|e| {
            let remedy = "report this fault with the logs of all members";
            Err(error::Error::damaged(
                format!("the replicated log: {e}"),
                remedy,
            ))
        })
    }
}

impl Group {
    /// Creates a group of one member that keeps its state in memory only.
    pub fn in_memory(instance: id::InstanceId) -> Self {
        let view = View {
            revision: id::Revision::default(),
            leader: Some(instance.clone()),
            leads: Some(id::Term::new(1)),
        };
        let shared = Shared::new(instance, command::State::default());
        shared.view.send_replace(view);
        Self {
            shared: sync::Arc::new(shared),
            events: None,
            commit_timeout: MIN_COMMIT_TIMEOUT,
        }
    }

    /// Opens the data folder and starts the tasks of a member, which end once `stop` becomes true.
    ///
    /// # Errors
    ///
    /// Fails when the data folder is in use, is damaged or belongs to another instance.
    pub fn start(
        settings: Settings,
        links: sync::Arc<link::Links>,
        clock: clock::Clock,
        recorder: sync::Arc<event::Recorder>,
        stop: watch::Receiver<bool>,
    ) -> error::Result<(Self, Running)> {
        let files = sync::Arc::new(file_system::Os);
        Self::start_in(files, settings, links, clock, recorder, stop)
    }

    /// Starts a member, see [`Self::start`], whose data folder is in a given file system.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::start`] does.
    pub fn start_in(
        files: sync::Arc<dyn file_system::FileSystem>,
        settings: Settings,
        links: sync::Arc<link::Links>,
        clock: clock::Clock,
        recorder: sync::Arc<event::Recorder>,
        stop: watch::Receiver<bool>,
    ) -> error::Result<(Self, Running)> {
        let (folder, stored) =
            storage::Folder::open_in(files, &settings.data_folder, &settings.instance)?;
        let state = driver::decode_state(stored.snapshot.as_ref())?;
        let shared = sync::Arc::new(Shared::new(settings.instance.clone(), state));
        let replica = core::Replica::new(core_settings(&settings, &folder), stored, clock.now());
        let (events, incoming) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        let group = Self {
            shared: sync::Arc::clone(&shared),
            events: Some(events),
            commit_timeout: settings.timing.election_ms.max(MIN_COMMIT_TIMEOUT),
        };
        let peers = peers::Peers::new(links, settings.timing.election_ms);
        let driver = driver::Driver::new(replica, shared, peers, clock, recorder);
        let run = driver.run(folder, settings.timing, incoming, stop);
        let driver = tokio::spawn(run);
        Ok((group, Running { driver }))
    }

    /// Commits a command and returns the answer of the state machine.
    ///
    /// # Errors
    ///
    /// Fails as unavailable when this member is not the leader, and names the leader if it is
    /// known. Fails so too when the command is not committed in time; it may then be committed
    /// later.
    pub async fn propose(&self, command: command::Command) -> error::Result<command::Answer> {
        match self.submit(&command).await? {
            Outcome::Applied(answer) => Ok(answer),
            other => Err(unavailable(other)),
        }
    }

    /// Commits a command and returns the outcome.
    ///
    /// # Errors
    ///
    /// Fails when the command can't be encoded or is too large.
    pub async fn submit(&self, command: &command::Command) -> error::Result<Outcome> {
        self.propose_command(None, command).await
    }

    /// Commits a command, but only if this member is the leader in the given term.
    ///
    /// # Errors
    ///
    /// Fails when the command can't be encoded or is too large.
    pub async fn submit_in_term(
        &self,
        term: id::Term,
        command: &command::Command,
    ) -> error::Result<Outcome> {
        self.propose_command(Some(term), command).await
    }

    async fn propose_command(
        &self,
        term: Option<id::Term>,
        command: &command::Command,
    ) -> error::Result<Outcome> {
        let Some(events) = &self.events else {
            return Ok(Outcome::Applied(self.shared.apply(command)));
        };
        let command = encode_command(command)?;
        let (answer, outcome) = oneshot::channel();
        let event = Event::Propose {
            term,
            command,
            answer,
        };
        Ok(self.request(events, event, outcome).await)
    }

    /// Waits until a quorum has confirmed that this member was the leader after the call began, and
    /// until it has applied all entries committed before. A following [`Self::with_state`] is then
    /// linearizable.
    ///
    /// # Errors
    ///
    /// Fails as unavailable when this member is not the leader, and names the leader if it is
    /// known.
    pub async fn ensure_linearizable(&self) -> error::Result<()> {
        let Some(events) = &self.events else {
            return Ok(());
        };
        let (answer, outcome) = oneshot::channel();
        match self.request(events, Event::Read { answer }, outcome).await {
            Outcome::Done => Ok(()),
            other => Err(unavailable(other)),
        }
    }

    /// Admits or dismisses one member of the group.
    ///
    /// An admitted instance starts as a learner, and the leader promotes it to voter once it has
    /// caught up. To replace an instance, admit the new one, wait until [`Self::status`] shows it
    /// among the voters, and only then dismiss the old one.
    ///
    /// # Errors
    ///
    /// Fails when this member is not the leader, when another change is in progress, or when the
    /// change would have no effect or leave no quorum of active voters.
    pub async fn change_members(&self, change: members::MemberChange) -> error::Result<()> {
        let Some(events) = &self.events else {
            return Err(unavailable(Outcome::Invalid));
        };
        let (answer, outcome) = oneshot::channel();
        let event = Event::ChangeMembers { change, answer };
        match self.request(events, event, outcome).await {
            Outcome::Done => Ok(()),
            other => Err(unavailable(other)),
        }
    }

    /// Queues a message of another member, received in a [`crate::peer::message::Request`].
    ///
    /// # Errors
    ///
    /// Fails when the message can't be decoded, or names a sender other than that of its frame.
    pub fn handle_message(&self, from: &id::InstanceId, bytes: &[u8]) -> error::Result<()> {
        let (message, version) = message::Message::from_bytes(bytes)?;
        if message.from.instance != *from {
            let remedy = "give every process its own instance name";
            return Err(error::Error::bad_value(
                "from",
                &message.from.instance,
                remedy,
            ));
        }
        if let Some(events) = &self.events {
            // When the queue is full, the message is dropped; Raft tolerates lost messages.
            let _ = events.try_send(Event::Message(message, version));
        }
        Ok(())
    }

    /// Reads the state applied at this member, which may be stale unless
    /// [`Self::ensure_linearizable`] returned just before.
    pub fn with_state<T>(&self, read: impl FnOnce(&command::State) -> T) -> T {
        let state = self.shared.state.read();
        read(&state.unwrap_or_else(sync::PoisonError::into_inner))
    }

    /// Returns the status of the group as this member knows it.
    pub fn status(&self) -> Status {
        let status = self.shared.status.read();
        status.unwrap_or_else(sync::PoisonError::into_inner).clone()
    }

    /// Returns a receiver for changes of the applied revision and of the leader.
    pub fn watch(&self) -> watch::Receiver<View> {
        self.shared.view.subscribe()
    }

    async fn request(
        &self,
        events: &mpsc::Sender<Event>,
        event: Event,
        outcome: oneshot::Receiver<Outcome>,
    ) -> Outcome {
        if events.try_send(event).is_err() {
            return Outcome::Busy;
        }
        match time::timeout(self.commit_timeout.as_duration(), outcome).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => Outcome::Uncertain,
        }
    }
}

fn encode_command(command: &command::Command) -> error::Result<Vec<u8>> {
    let bytes = command.to_bytes()?;
    if bytes.len() > MAX_COMMAND_BYTES {
        let remedy = "send it in smaller parts; a command has at most 4 MiB";
        return Err(error::Error::bad_value("command", bytes.len(), remedy));
    }
    Ok(bytes)
}

fn core_settings(settings: &Settings, folder: &storage::Folder) -> core::Settings {
    let peer = |peer: &settings::ControlPeer| core::Peer {
        instance: peer.instance.clone(),
        address: peer.peer_address,
    };
    core::Settings {
        node: folder.node().clone(),
        initial_members: settings.members.iter().map(peer).collect(),
        address: settings.address,
        admission: settings.admission,
        election_timeout: settings.timing.election_ms,
        heartbeat_interval: settings.timing.heartbeat_ms,
        trailing_entries: settings.timing.snapshot_entries / 2,
        seed: rand::random(),
    }
}

fn unavailable(outcome: Outcome) -> error::Error {
    let reason = match outcome {
        Outcome::NotLeader(Some(leader)) => {
            format!("this member is not the leader; ask `{leader}`")
        }
        Outcome::NotLeader(None) => {
            "this member is not the leader and knows none; ask another member".to_owned()
        }
        Outcome::Busy => "another change or too many requests are in progress".to_owned(),
        Outcome::Invalid => {
            "the change has no effect, or leaves no quorum of active voters; check the status"
                .to_owned()
        }
        Outcome::Uncertain => {
            "the request was not committed in time; it may be committed later".to_owned()
        }
        Outcome::Applied(_) | Outcome::Done => {
            "the group gave an answer of an unexpected kind".to_owned()
        }
    };
    error::Error::unavailable(reason, RETRY_AFTER)
}
