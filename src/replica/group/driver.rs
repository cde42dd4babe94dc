//! The task that drives one replica: it feeds events to the replica and performs its outputs.

use std::collections;
use std::sync;
use std::sync::mpsc as std_mpsc;

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
use crate::peer::server;
use crate::peer::trailer;
use crate::replica::core;
use crate::replica::core::members;
use crate::replica::core::message;
use crate::replica::group::Event;
use crate::replica::group::Outcome;
use crate::replica::group::Shared;
use crate::replica::group::Status;
use crate::replica::group::disk;
use crate::replica::group::peers;
use crate::replica::group::standing;
use crate::replica::group::versions;
use crate::replica::storage;
use crate::state::command;

/// The maximum number of events handled before other branches of the event loop run again.
const MAX_EVENT_BATCH: usize = 256;

/// The maximum number of requests that wait for their outcome.
const MAX_PENDING_REQUESTS: usize = 2_048;

const MIN_TICK_INTERVAL: clock::Millis = clock::Millis::new(5);

#[derive(Debug)]
pub struct Driver {
    replica: core::Replica,
    shared: sync::Arc<Shared>,
    peers: peers::Peers,
    clock: clock::Clock,
    recorder: sync::Arc<event::Recorder>,
    /// Where to send the outcomes of requests that the replica has not answered yet.
    requests: collections::HashMap<u64, oneshot::Sender<Outcome>>,
    /// The proposals in the log that are not applied yet, by log index.
    proposals: collections::BTreeMap<id::LogIndex, Proposal>,
    last_request: u64,
    /// The term in which this member is the leader, as last logged.
    led_term: Option<id::Term>,
    versions: versions::Versions,
    standing: standing::Standing,
    /// The feature level as last logged.
    feature_level: Option<command::FeatureLevel>,
}

#[derive(Debug)]
struct Proposal {
    term: id::Term,
    answer: oneshot::Sender<Outcome>,
}

/// Decodes the state of a snapshot. Without a snapshot, or for an empty one, this is the initial
/// state.
pub fn decode_state(snapshot: Option<&message::Snapshot>) -> error::Result<command::State> {
    match snapshot {
        Some(snapshot) if !snapshot.data.is_empty() => command::State::from_bytes(&snapshot.data),
        _ => Ok(command::State::default()),
    }
}

impl Driver {
    pub fn new(
        replica: core::Replica,
        shared: sync::Arc<Shared>,
        peers: peers::Peers,
        clock: clock::Clock,
        recorder: sync::Arc<event::Recorder>,
    ) -> Self {
        Self {
            versions: versions::Versions::new(&replica),
            standing: standing::Standing::default(),
            feature_level: None,
            replica,
            shared,
            peers,
            clock,
            recorder,
            requests: collections::HashMap::new(),
            proposals: collections::BTreeMap::new(),
            last_request: 0,
            led_term: None,
        }
    }

    /// Runs the member until `stop` becomes true, all handles are dropped, or a disk write or an
    /// output fails.
    pub async fn run(
        mut self,
        folder: storage::Folder,
        timing: settings::ControlTiming,
        mut events: mpsc::Receiver<Event>,
        mut stop: watch::Receiver<bool>,
    ) -> error::Result<()> {
        let (batches, to_write) = std_mpsc::channel();
        let (report, mut written) = mpsc::unbounded_channel();
        let writer = task::spawn_blocking(move || disk::run(folder, &to_write, &report));
        let tick_interval =
            clock::Millis::new(timing.heartbeat_ms.as_u64() / 4).max(MIN_TICK_INTERVAL);
        let mut ticks = time::interval(tick_interval.as_duration());
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        self.publish();
        let mut event_batch = Vec::with_capacity(MAX_EVENT_BATCH);
        let result = loop {
            let done = tokio::select! {
                _ = ticks.tick() => self.step(message::Input::Tick, &batches),
                count = events.recv_many(&mut event_batch, MAX_EVENT_BATCH) => {
                    let done = self.handle_events(&mut event_batch, &batches);
                    if count == 0 {
                        break Ok(());
                    }
                    done
                }
                Some(report) = written.recv() => self.handle_write_report(report, &batches),
                () = server::stopped(&mut stop) => break Ok(()),
            };
            if let Err(e) = done.and_then(|()| self.compact(&timing, &batches)) {
                break Err(e);
            }
            self.publish();
        };
        drop(batches);
        self.shared.view.send_modify(|view| {
            view.leads = None;
            view.leader = None;
        });
        self.peers.stop().await;
        let ended = writer.await;
        assert!(ended.is_ok(), "the disk thread does not panic");
        result
    }

    fn handle_events(
        &mut self,
        events: &mut Vec<Event>,
        batches: &std_mpsc::Sender<message::Batch>,
    ) -> error::Result<()> {
        for event in events.drain(..) {
            if let Some(input) = self.handle_event(event) {
                self.step(input, batches)?;
            }
        }
        Ok(())
    }

    /// Converts an event into an input of the replica, or answers it at once and returns `None`.
    fn handle_event(&mut self, event: Event) -> Option<message::Input> {
        match event {
            Event::Message(message, version) => self
                .accept_version(&message, version)
                .then_some(message::Input::Message(message)),
            Event::Propose {
                term,
                command,
                answer,
            } => {
                if term.is_some_and(|t| !self.is_leader_in(t)) {
                    let _ = answer.send(self.not_leader());
                    return None;
                }
                let request = self.register_request(answer)?;
                Some(message::Input::Propose { request, command })
            }
            Event::Read { answer } => {
                let request = self.register_request(answer)?;
                Some(message::Input::Read { request })
            }
            Event::ChangeMembers { change, answer } => {
                let request = self.register_request(answer)?;
                Some(message::Input::ChangeMembers { request, change })
            }
        }
    }

    /// Records the version of a message's sender. Returns whether the message is handled: a node that
    /// can't read the log of the group is not admitted, since it would stop at once.
    fn accept_version(
        &mut self,
        message: &message::Message,
        version: trailer::ProtocolVersion,
    ) -> bool {
        let from = &message.from;
        let is_news = self.versions.record(self.replica.members(), from, version);
        let level = self.shared.feature_level();
        if version >= level.0 {
            return true;
        }
        if is_news {
            metrics::counter!("buckthorncleat_outdated_total", "kind" => "member").increment(1);
            log::error!(
                event = "outdated_member",
                member = from.instance.as_str(),
                version = version.as_u64(),
                level = level.0.as_u64();
                "{} speaks protocol version {version} and can't read the log at feature level {}: \
                 install a build of version {} or later there and keep its data folder",
                from.instance, level.0, level.0
            );
        }
        !matches!(message.body, message::Body::JoinRequest { .. })
    }

    fn is_leader_in(&self, term: id::Term) -> bool {
        self.replica.is_leader() && self.replica.term() == term
    }

    fn handle_write_report(
        &mut self,
        written: disk::Report,
        batches: &std_mpsc::Sender<message::Batch>,
    ) -> error::Result<()> {
        match written {
            disk::Report::UpTo(number) => self.step(message::Input::Persisted(number), batches),
            disk::Report::Failed(e) => Err(e),
        }
    }

    /// Registers where to send the outcome of a request and returns the request's number. When too
    /// many requests wait, answers that the member is busy and returns `None`.
    fn register_request(&mut self, answer: oneshot::Sender<Outcome>) -> Option<u64> {
        if self.requests.len() + self.proposals.len() >= MAX_PENDING_REQUESTS {
            self.requests.retain(|_, a| !a.is_closed());
            self.proposals.retain(|_, p| !p.answer.is_closed());
        }
        if self.requests.len() + self.proposals.len() >= MAX_PENDING_REQUESTS {
            let _ = answer.send(Outcome::Busy);
            return None;
        }
        self.last_request += 1;
        self.requests.insert(self.last_request, answer);
        Some(self.last_request)
    }

    fn step(
        &mut self,
        input: message::Input,
        batches: &std_mpsc::Sender<message::Batch>,
    ) -> error::Result<()> {
        for output in self.replica.step(self.clock.now(), input) {
            match output {
                message::Output::Send(message) => self.send(&message)?,
                message::Output::Persist(batch) => {
                    // The disk thread ends early only after it has reported an error.
                    let _ = batches.send(batch);
                }
                message::Output::Apply(entry) => self.apply(&entry)?,
                message::Output::Restore(snapshot) => {
                    self.shared.replace_state(decode_state(Some(&snapshot))?);
                }
                message::Output::Proposed { request, at } => self.proposed(request, at),
                message::Output::ReadReady { request } => self.answer(request, Outcome::Done),
                message::Output::Refused { request, reason } => self.refused(request, reason),
            }
        }
        Ok(())
    }

    fn send(&mut self, message: &message::Message) -> error::Result<()> {
        if let Some(address) = self.replica.address_of(&message.to.instance) {
            self.peers.send(address, message.to_bytes()?);
        }
        Ok(())
    }

    fn proposed(&mut self, request: u64, at: message::Position) {
        let Some(answer) = self.requests.remove(&request) else {
            return;
        };
        let proposal = Proposal {
            term: at.term,
            answer,
        };
        self.proposals.insert(at.index, proposal);
    }

    fn refused(&mut self, request: u64, reason: message::Refusal) {
        let outcome = match reason {
            message::Refusal::NotLeader => self.not_leader(),
            message::Refusal::Busy => Outcome::Busy,
            message::Refusal::Invalid => Outcome::Invalid,
        };
        self.answer(request, outcome);
    }

    fn answer(&mut self, request: u64, outcome: Outcome) {
        if let Some(answer) = self.requests.remove(&request) {
            // The caller may have stopped waiting.
            let _ = answer.send(outcome);
        }
    }

    fn apply(&mut self, entry: &message::Entry) -> error::Result<()> {
        let outcome = match &entry.payload {
            message::Payload::Command(bytes) => Outcome::Applied(self.apply_command(bytes)?),
            message::Payload::Members(members) => {
                log_members(members);
                Outcome::Done
            }
            message::Payload::Empty => Outcome::Done,
        };
        if let Some(proposal) = self.proposals.remove(&entry.at.index) {
            let lost = proposal.term != entry.at.term;
            let outcome = if lost { self.not_leader() } else { outcome };
            let _ = proposal.answer.send(outcome);
        }
        Ok(())
    }

    fn not_leader(&self) -> Outcome {
        Outcome::NotLeader(self.replica.leader().map(|l| l.instance.clone()))
    }

    fn apply_command(&self, bytes: &[u8]) -> error::Result<command::Answer> {
        let command = command::Command::from_bytes(bytes, self.shared.feature_level())?;
        Ok(self.shared.apply(&command))
    }

    fn compact(
        &mut self,
        timing: &settings::ControlTiming,
        batches: &std_mpsc::Sender<message::Batch>,
    ) -> error::Result<()> {
        let Some(snapshot) = self.replica.snapshot() else {
            return Ok(());
        };
        let covered = snapshot.metadata.at.index.as_u64();
        let index = self.replica.applied();
        if index.as_u64() < covered + timing.snapshot_entries {
            return Ok(());
        }
        let state = self.shared.state.read();
        let data = state
            .unwrap_or_else(sync::PoisonError::into_inner)
            .to_bytes()?;
        self.step(message::Input::Compact { index, data }, batches)
    }

    /// Publishes the leader and the status to the handles.
    fn publish(&mut self) {
        let leader = self.replica.leader().map(|l| l.instance.clone());
        let leads = self.replica.is_leader().then(|| self.replica.term());
        self.record_leadership_change(leads);
        self.record_feature_level();
        self.standing.record(&self.replica, self.clock.now());
        self.shared.view.send_if_modified(|view| {
            let changed = view.leader != leader || view.leads != leads;
            view.leader.clone_from(&leader);
            view.leads = leads;
            changed
        });
        let status = self.status(leader);
        let shown = self.shared.status.write();
        *shown.unwrap_or_else(sync::PoisonError::into_inner) = status;
    }

    fn record_leadership_change(&mut self, leads: Option<id::Term>) {
        if leads == self.led_term {
            return;
        }
        if let Some(term) = self.led_term {
            log::info!(event = "lead_lost", term = term.as_u64(); "lost the leadership of term {term}");
            self.recorder
                .record(event::Kind::LeaderLost, format!("term {term}"));
        }
        if let Some(term) = leads {
            log::info!(event = "leads", term = term.as_u64(); "became the leader of the control group in term {term}");
            metrics::counter!("buckthorncleat_leads_total").increment(1);
            self.recorder
                .record(event::Kind::LeaderElected, format!("term {term}"));
        }
        self.led_term = leads;
    }

    fn record_feature_level(&mut self) {
        let level = self.shared.feature_level();
        if self.feature_level == Some(level) {
            return;
        }
        metrics::gauge!("buckthorncleat_feature_level").set(level.0.as_u64() as f64);
        log::info!(event = "feature_level", level = level.0.as_u64(), version = trailer::CURRENT.as_u64(); "the group is at feature level {}; this build speaks protocol version {}", level.0, trailer::CURRENT);
        self.feature_level = Some(level);
    }

    fn status(&self, leader: Option<id::InstanceId>) -> Status {
        let members = self.replica.members();
        let address_of = |leader| self.replica.address_of(leader);
        Status {
            instance: self.shared.instance.clone(),
            leader_address: leader.as_ref().and_then(address_of),
            leader,
            term: self.replica.term(),
            committed: self.replica.committed(),
            applied: self.replica.applied(),
            voters: members.map_or_else(Vec::new, |m| m.voters.keys().cloned().collect()),
            learners: members.map_or_else(Vec::new, |m| m.learners.keys().cloned().collect()),
            addresses: members.map_or_else(Vec::new, |m| {
                m.voters.values().map(|member| member.address).collect()
            }),
            feature_level: self.shared.feature_level(),
            versions: self.versions.of_members(&self.replica),
        }
    }
}

fn log_members(members: &members::Membership) {
    for (instance, member) in members.voters.iter() {
        log::info!(event = "member", member = instance.as_str(), role = "votes"; "member {instance} with incarnation {} is a voter", member.incarnation);
    }
    for (instance, member) in members.learners.iter() {
        log::info!(event = "member", member = instance.as_str(), role = "catches up"; "member {instance} with incarnation {} is a learner", member.incarnation);
    }
}
