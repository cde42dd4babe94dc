//! The safety properties of Raft over all replicas, checked at every step.

use std::collections;

use buckthorncleat::id;
use buckthorncleat::replica::core;
use buckthorncleat::replica::core::members;
use buckthorncleat::replica::core::message;

#[derive(Default)]
pub struct Oracle {
    leaders: collections::HashMap<id::Term, message::NodeId>,
    written: collections::HashMap<message::Position, Written>,
    committed: Vec<message::Entry>,
    digests: Vec<u64>,
    acknowledged: id::LogIndex,
    pub members: Option<members::Membership>,
}

struct Written {
    entry: message::Entry,
    previous: message::Position,
}

impl Oracle {
    /// Checks election safety (one leader a term) and leader completeness (a leader has all entries
    /// committed in earlier terms).
    pub fn check_leader(&mut self, replica: &core::Replica) {
        if !replica.is_leader() {
            return;
        }
        let known = self.leaders.entry(replica.term());
        let known = known.or_insert_with(|| replica.node().clone());
        assert_eq!(
            known,
            replica.node(),
            "election safety: term {}",
            replica.term()
        );
        let log = replica.log().unwrap();
        let newest = self.committed.last().map(|e| e.at);
        // A leader of an older term need not have the entries that a later leader committed.
        if let Some(newest) = newest.filter(|n| n.term < replica.term()) {
            let held = log.contains(newest) || log.base().index > newest.index;
            assert!(
                held,
                "leader completeness: {newest:?} at {:?}",
                replica.node()
            );
        }
    }

    /// Checks log matching: an entry with a given index and term is the same in all logs, and so
    /// is the position before it.
    pub fn check_written(&mut self, batch: &message::Batch, log: &core::log::Log) {
        for entry in &batch.entries {
            let before = id::LogIndex::new(entry.at.index.as_u64() - 1);
            let Some(term) = log.term_at(before) else {
                continue;
            };
            let previous = message::Position {
                index: before,
                term,
            };
            let written = self.written.entry(entry.at).or_insert_with(|| Written {
                entry: entry.clone(),
                previous,
            });
            assert_eq!(&written.entry, entry, "log matching");
            assert_eq!(written.previous, previous, "log matching");
        }
    }

    /// Checks state machine safety: every replica applies the same entry at an index.
    pub fn check_applied(&mut self, entry: &message::Entry) {
        let at = entry.at.index.as_u64() as usize;
        assert!(
            at <= self.committed.len() + 1,
            "entries are applied without a gap"
        );
        if at <= self.committed.len() {
            assert_eq!(&self.committed[at - 1], entry, "state machine safety");
            return;
        }
        self.committed.push(entry.clone());
        let digest = next_digest(self.digests.last().copied(), entry);
        self.digests.push(digest);
        if let message::Payload::Members(next) = &entry.payload {
            self.members = Some(next.clone());
        }
    }

    /// Checks that a state, restored or reached by applying, is that of the committed entries.
    pub fn check_state(&self, index: id::LogIndex, digest: u64) {
        assert_eq!(
            self.digest_at(index),
            digest,
            "state machine safety at {index}"
        );
    }

    pub fn digest_at(&self, index: id::LogIndex) -> u64 {
        let at = index.as_u64() as usize;
        if at == 0 { 0 } else { self.digests[at - 1] }
    }

    /// Records an acknowledged write and checks that it is in the committed log.
    pub fn acknowledge(&mut self, at: message::Position) {
        let held = &self.committed[at.index.as_u64() as usize - 1];
        assert_eq!(held.at, at, "an acknowledged write was lost");
        self.acknowledged = self.acknowledged.max(at.index);
    }

    pub fn acknowledged(&self) -> id::LogIndex {
        self.acknowledged
    }

    pub fn committed(&self) -> id::LogIndex {
        id::LogIndex::new(self.committed.len() as u64)
    }
}

pub fn next_digest(before: Option<u64>, entry: &message::Entry) -> u64 {
    let mut bytes = before.unwrap_or(0).to_le_bytes().to_vec();
    if let message::Payload::Command(command) = &entry.payload {
        bytes.extend_from_slice(command);
    }
    xxhash_rust::xxh3::xxh3_64(&bytes)
}
