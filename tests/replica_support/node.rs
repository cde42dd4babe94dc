//! One simulated instance: its replica while the process runs, its disk and its clock.

use std::collections;

use buckthorncleat::clock;
use buckthorncleat::id;
use buckthorncleat::replica::core;
use buckthorncleat::replica::core::message;

use super::disk;
use super::oracle;

/// The number of entries between two snapshots.
const SNAPSHOT_ENTRIES: u64 = 25;

pub struct Node {
    pub name: String,
    pub incarnation: id::Incarnation,
    pub replica: Option<core::Replica>,
    pub disk: disk::Disk,
    pub frozen_until: clock::Millis,
    pub down_until: clock::Millis,
    offset: clock::Millis,
    digest: u64,
    proposals: collections::HashMap<id::LogIndex, id::Term>,
    reads: collections::HashMap<u64, id::LogIndex>,
}

/// The settings that all nodes of a group share, but for their seeds and their permission to form it.
#[derive(Clone)]
pub struct GroupSettings {
    pub initial_members: Vec<core::Peer>,
    pub admission: core::Admission,
    pub election_timeout: clock::Millis,
    pub heartbeat_interval: clock::Millis,
}

/// The effects of one step of a node.
#[derive(Default)]
pub struct Effects {
    pub messages: Vec<message::Message>,
    pub acknowledged: u64,
    pub reads: u64,
    pub snapshots: u64,
}

impl Node {
    pub fn new(name: String, incarnation: id::Incarnation) -> Self {
        Self {
            name,
            incarnation,
            replica: None,
            disk: disk::Disk::default(),
            frozen_until: clock::Millis::ZERO,
            down_until: clock::Millis::ZERO,
            offset: clock::Millis::ZERO,
            digest: 0,
            proposals: collections::HashMap::new(),
            reads: collections::HashMap::new(),
        }
    }

    pub fn id(&self) -> message::NodeId {
        message::NodeId {
            instance: self.name.parse().unwrap(),
            incarnation: self.incarnation,
        }
    }

    pub fn start(
        &mut self,
        now: clock::Millis,
        group: &GroupSettings,
        oracle: &oracle::Oracle,
        rng: &mut impl rand::Rng,
    ) {
        self.offset = clock::Millis::new(rng.random_range(0..10_000));
        let settings = core::Settings {
            node: self.id(),
            initial_members: group.initial_members.clone(),
            address: ([127, 0, 0, 1], 999).into(),
            admission: group.admission,
            election_timeout: group.election_timeout,
            heartbeat_interval: group.heartbeat_interval,
            trailing_entries: SNAPSHOT_ENTRIES / 2,
            seed: rng.random(),
        };
        let replica = core::Replica::new(settings, self.disk.load(), now + self.offset);
        self.digest = oracle.digest_at(replica.applied());
        if let Some(snapshot) = replica.snapshot() {
            assert_eq!(decode_digest(&snapshot.data), self.digest);
        }
        self.replica = Some(replica);
    }

    pub fn crash(&mut self, rng: &mut impl rand::Rng) {
        self.replica = None;
        self.proposals.clear();
        self.reads.clear();
        self.disk.crash(rng);
    }

    pub fn describe(&self) -> String {
        let Some(replica) = &self.replica else {
            return format!("{:?} is down", self.id());
        };
        format!(
            "{:?}: term {}, leads {}, follows {:?}, committed {}, last {:?}, members {:?}",
            self.id(),
            replica.term(),
            replica.is_leader(),
            replica.leader(),
            replica.committed(),
            replica.log().map(core::log::Log::last),
            replica.members(),
        )
    }

    pub fn is_running(&self, now: clock::Millis) -> bool {
        self.replica.is_some() && now >= self.frozen_until
    }

    pub fn step(
        &mut self,
        now: clock::Millis,
        input: message::Input,
        oracle: &mut oracle::Oracle,
    ) -> Effects {
        let mut effects = Effects::default();
        if let message::Input::Read { request } = input {
            self.reads.insert(request, oracle.acknowledged());
        }
        let Some(replica) = &mut self.replica else {
            return effects;
        };
        let outputs = replica.step(now + self.offset, input);
        for output in outputs {
            self.handle_output(output, oracle, &mut effects);
        }
        let Some(replica) = &self.replica else {
            return effects;
        };
        oracle.check_leader(replica);
        if let Some(index) = self.snapshot_due() {
            effects.snapshots += 1;
            let data = self.digest.to_le_bytes().to_vec();
            let more = self.step(now, message::Input::Compact { index, data }, oracle);
            effects.messages.extend(more.messages);
        }
        effects
    }

    fn snapshot_due(&self) -> Option<id::LogIndex> {
        let replica = self.replica.as_ref()?;
        let covered = replica.snapshot()?.metadata.at.index.as_u64();
        let applied = replica.applied();
        (applied.as_u64() >= covered + SNAPSHOT_ENTRIES).then_some(applied)
    }

    fn handle_output(
        &mut self,
        output: message::Output,
        oracle: &mut oracle::Oracle,
        effects: &mut Effects,
    ) {
        let replica = self.replica.as_ref().unwrap();
        match output {
            message::Output::Send(message) => effects.messages.push(message),
            message::Output::Persist(batch) => {
                if let Some(log) = replica.log() {
                    oracle.check_written(&batch, log);
                }
                self.disk.write(batch);
            }
            message::Output::Apply(entry) => {
                oracle.check_applied(&entry);
                self.digest = oracle::next_digest(Some(self.digest), &entry);
                oracle.check_state(entry.at.index, self.digest);
                if self.proposals.remove(&entry.at.index) == Some(entry.at.term) {
                    oracle.acknowledge(entry.at);
                    effects.acknowledged += 1;
                }
            }
            message::Output::Restore(snapshot) => {
                self.digest = decode_digest(&snapshot.data);
                oracle.check_state(snapshot.metadata.at.index, self.digest);
            }
            message::Output::Proposed { at, .. } => {
                self.proposals.insert(at.index, at.term);
            }
            message::Output::ReadReady { request } => {
                let needed = self.reads.remove(&request).unwrap();
                assert!(
                    replica.applied() >= needed,
                    "a read does not see an acknowledged write"
                );
                effects.reads += 1;
            }
            message::Output::Refused { request, .. } => {
                self.reads.remove(&request);
            }
        }
    }
}

fn decode_digest(data: &[u8]) -> u64 {
    data.try_into().map_or(0, u64::from_le_bytes)
}
