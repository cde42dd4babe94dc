//! The handle to the control group's replicated state, and the tasks that run one member.

mod disk;
mod driver;
mod peers;
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
use crate::replica::core;
use crate::replica::core::members;
use crate::replica::core::message;
use crate::replica::storage;
use crate::state::command;

pub use view::{Outcome, Status, View};

use view::Shared;

/// The messages and requests that wait for the member.
const EVENTS: usize = 4_096;

/// The largest encoded command, in bytes.
const MAX_COMMAND_BYTES: usize = 4 << 20;

/// The shortest time that a proposal may take to be committed.
const MIN_COMMIT_WAIT: clock::Millis = clock::Millis::new(400);

/// When to try again after the group had no leader.
const RETRY_AFTER: clock::Millis = clock::Millis::new(200);

/// The replicated state as one member of the control group sees it.
#[derive(Clone, Debug)]
pub struct Group {
    shared: sync::Arc<Shared>,
    events: Option<mpsc::Sender<Event>>,
    commit_wait: clock::Millis,
}

/// What happens to the driver.
#[derive(Debug)]
enum Event {
    Message(message::Message),
    Propose {
        /// The only term in which the command may be taken in, if that matters.
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

/// The settings of one member.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of this instance.
    pub instance: id::InstanceId,
    /// The members that the group starts with, or whom a member that joins asks.
    pub members: Vec<settings::ControlPeer>,
    /// Where this member listens for other processes.
    pub address: net::SocketAddr,
    /// Who may become a member.
    pub admission: core::Admission,
    /// The folder that holds the log and the snapshots.
    pub data_folder: path::PathBuf,
    /// Bounds and timeouts.
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
    /// Fails when a disk error or a broken invariant stopped the member.
    pub async fn join(self) -> error::Result<()> {
        self.driver.await.unwrap_or_else(|e| {
            let remedy = "report this fault with the log of all members";
            Err(error::Error::damaged(
                format!("the replicated log: {e}"),
                remedy,
            ))
        })
    }
}

impl Group {
    /// Makes a group of one member that keeps its state in memory only.
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
            commit_wait: MIN_COMMIT_WAIT,
        }
    }

    /// Opens the data folder and starts the tasks of a member, which end after `stop` turns true.
    ///
    /// # Errors
    ///
    /// Fails when the data folder is in use, damaged or another member's.
    pub fn start(
        settings: Settings,
        links: sync::Arc<link::Links>,
        clock: clock::Clock,
        recorder: sync::Arc<event::Recorder>,
        stop: watch::Receiver<bool>,
    ) -> error::Result<(Self, Running)> {
        let (folder, stored) = storage::Folder::open(&settings.data_folder, &settings.instance)?;
        let state = driver::state_of(stored.snapshot.as_ref())?;
        let shared = sync::Arc::new(Shared::new(settings.instance.clone(), state));
        let replica = core::Replica::new(core_settings(&settings, &folder), stored, clock.now());
        let (events, incoming) = mpsc::channel(EVENTS);
        let group = Self {
            shared: sync::Arc::clone(&shared),
            events: Some(events),
            commit_wait: settings.timing.election_ms.max(MIN_COMMIT_WAIT),
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
    /// Fails as unavailable when this member does not lead, naming the leader if it is known, or
    /// when the command was not committed in time; it may then be committed later.
    pub async fn propose(&self, command: command::Command) -> error::Result<command::Answer> {
        match self.submit(&command).await? {
            Outcome::Applied(answer) => Ok(answer),
            other => Err(unavailable(other)),
        }
    }

    /// Commits a command and tells how that went.
    ///
    /// # Errors
    ///
    /// Fails when the command can't be encoded or is too large.
    pub async fn submit(&self, command: &command::Command) -> error::Result<Outcome> {
        self.submit_event(None, command).await
    }

    /// Commits a command, but only while this member leads in the given term.
    ///
    /// # Errors
    ///
    /// Fails when the command can't be encoded or is too large.
    pub async fn submit_in(
        &self,
        term: id::Term,
        command: &command::Command,
    ) -> error::Result<Outcome> {
        self.submit_event(Some(term), command).await
    }

    async fn submit_event(
        &self,
        term: Option<id::Term>,
        command: &command::Command,
    ) -> error::Result<Outcome> {
        let Some(events) = &self.events else {
            return Ok(Outcome::Applied(self.shared.apply(command)));
        };
        let command = encode(command)?;
        let (answer, outcome) = oneshot::channel();
        let event = Event::Propose {
            term,
            command,
            answer,
        };
        Ok(self.ask(events, event, outcome).await)
    }

    /// Returns once this member has confirmed that it led after the call began, and has applied
    /// all that was committed before.
    ///
    /// # Errors
    ///
    /// Fails as unavailable when this member does not lead, naming the leader if it is known.
    pub async fn confirm(&self) -> error::Result<()> {
        let Some(events) = &self.events else {
            return Ok(());
        };
        let (answer, outcome) = oneshot::channel();
        match self.ask(events, Event::Read { answer }, outcome).await {
            Outcome::Done => Ok(()),
            other => Err(unavailable(other)),
        }
    }

    /// Changes the members of the group, one at a time.
    ///
    /// An admitted instance first catches up and becomes a voter by itself. To replace an
    /// instance, admit the new one, wait until [`Self::status`] shows it among the voters, and
    /// only then dismiss the old one.
    ///
    /// # Errors
    ///
    /// Fails when this member does not lead, when another change is under way, or when the change
    /// would have no effect or leave too few live voters to commit anything.
    pub async fn change_members(&self, change: members::MemberChange) -> error::Result<()> {
        let Some(events) = &self.events else {
            return Err(unavailable(Outcome::Invalid));
        };
        let (answer, outcome) = oneshot::channel();
        let event = Event::ChangeMembers { change, answer };
        match self.ask(events, event, outcome).await {
            Outcome::Done => Ok(()),
            other => Err(unavailable(other)),
        }
    }

    /// Takes in a message of another member, as it came in [`crate::peer::message::Request`].
    ///
    /// # Errors
    ///
    /// Fails when the message can't be decoded or names another sender than its frame.
    pub fn handle_message(&self, from: &id::InstanceId, bytes: &[u8]) -> error::Result<()> {
        let message = message::Message::from_bytes(bytes)?;
        if message.from.instance != *from {
            let remedy = "give every process its own instance name";
            return Err(error::Error::bad_value(
                "from",
                &message.from.instance,
                remedy,
            ));
        }
        if let Some(events) = &self.events {
            // A member that can't keep up loses messages; the log is made for that.
            let _ = events.try_send(Event::Message(message));
        }
        Ok(())
    }

    /// Reads the state as applied at this member; call [`Self::confirm`] before for a fresh one.
    pub fn with_state<T>(&self, read: impl FnOnce(&command::State) -> T) -> T {
        let state = self.shared.state.read();
        read(&state.unwrap_or_else(sync::PoisonError::into_inner))
    }

    /// Returns what this member knows of the group.
    pub fn status(&self) -> Status {
        let status = self.shared.status.read();
        status.unwrap_or_else(sync::PoisonError::into_inner).clone()
    }

    /// Follows the applied revision and the leader.
    pub fn watch(&self) -> watch::Receiver<View> {
        self.shared.view.subscribe()
    }

    async fn ask(
        &self,
        events: &mpsc::Sender<Event>,
        event: Event,
        outcome: oneshot::Receiver<Outcome>,
    ) -> Outcome {
        if events.try_send(event).is_err() {
            return Outcome::Busy;
        }
        match time::timeout(self.commit_wait.as_duration(), outcome).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => Outcome::Uncertain,
        }
    }
}

fn encode(command: &command::Command) -> error::Result<Vec<u8>> {
    let bytes = postcard::to_stdvec(command)
        .map_err(|e| error::Error::damaged(format!("command: {e}"), "report this fault"))?;
    if bytes.len() > MAX_COMMAND_BYTES {
        let remedy = "send it in smaller parts; a command holds up to 4 MiB";
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
        Outcome::NotLeader(Some(leader)) => format!("this member does not lead; ask `{leader}`"),
        Outcome::NotLeader(None) => "no leader is known; ask another member".to_owned(),
        Outcome::Busy => "another change or too many requests are under way".to_owned(),
        Outcome::Invalid => {
            "the change has no effect, or leaves too few live voters; look at the status".to_owned()
        }
        Outcome::Uncertain => "not committed in time; it may be committed later".to_owned(),
        Outcome::Applied(_) | Outcome::Done => "an answer of another kind".to_owned(),
    };
    error::Error::unavailable(reason, RETRY_AFTER)
}
