//! The in-memory log: the entries after its base, and the membership at each of them. The base is
//! at or before the last entry of the newest snapshot.

use crate::id;
use crate::replica::core::members;
use crate::replica::core::message;

#[derive(Debug)]
pub struct Log {
    base: message::Position,
    entries: Vec<message::Entry>,
    members: Vec<MembersAt>,
}

#[derive(Debug)]
struct MembersAt {
    index: id::LogIndex,
    members: members::Membership,
}

impl Log {
    /// Creates an empty log that starts after a snapshot.
    pub fn after(metadata: &message::SnapshotMetadata) -> Self {
        let first = MembersAt {
            index: metadata.at.index,
            members: metadata.members.clone(),
        };
        Self {
            base: metadata.at,
            entries: Vec::new(),
            members: vec![first],
        }
    }

    /// Returns the position just before the first entry.
    pub fn base(&self) -> message::Position {
        self.base
    }

    /// Returns the position of the last entry, or the base of an empty log.
    pub fn last(&self) -> message::Position {
        self.entries.last().map_or(self.base, |e| e.at)
    }

    /// Returns the term at an index, or `None` before the base or after the last entry.
    pub fn term_at(&self, index: id::LogIndex) -> Option<id::Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.entry(index).map(|e| e.at.term)
    }

    /// Returns the entry at an index, or `None` up to the base or after the last entry.
    pub fn entry(&self, index: id::LogIndex) -> Option<&message::Entry> {
        let offset = index.as_u64().checked_sub(self.base.index.as_u64() + 1)?;
        self.entries.get(offset as usize)
    }

    /// Returns the index just before the first entry of the term that is at `index`, or the last
    /// index (but at most `index`) when there is no entry at `index`.
    pub fn before_term_at(&self, index: id::LogIndex) -> id::LogIndex {
        let Some(term) = self.entry(index).map(|e| e.at.term) else {
            return self.last().index.min(index);
        };
        let first = self.entries.partition_point(|e| e.at.term < term);
        id::LogIndex::new(self.base.index.as_u64() + first as u64)
    }

    /// Returns whether the log has an entry, or its base, at this index with this term.
    pub fn contains(&self, at: message::Position) -> bool {
        self.term_at(at.index) == Some(at.term)
    }

    /// Returns the entries after an index with at most `max_bytes` of commands in total, but at
    /// least one if there is any.
    pub fn entries_after(&self, index: id::LogIndex, max_bytes: usize) -> &[message::Entry] {
        let start = index.as_u64().saturating_sub(self.base.index.as_u64()) as usize;
        let rest = &self.entries[start.min(self.entries.len())..];
        let mut bytes = 0;
        let fits = |entry: &&message::Entry| {
            bytes += payload_bytes(&entry.payload);
            bytes <= max_bytes
        };
        let count = rest.iter().take_while(fits).count();
        &rest[..count.max(1).min(rest.len())]
    }

    /// Returns the membership at the last entry.
    pub fn members(&self) -> &members::Membership {
        &self.last_members().members
    }

    /// Returns the index of the entry that set the current membership.
    pub fn members_index(&self) -> id::LogIndex {
        self.last_members().index
    }

    /// Returns the membership at an index.
    pub fn members_at(&self, index: id::LogIndex) -> &members::Membership {
        let known = self.members.iter().rev().find(|m| m.index <= index);
        &known.unwrap_or(&self.members[0]).members
    }

    /// Appends an entry after the last one.
    ///
    /// # Panics
    ///
    /// Panics when the index is not the next one, the term is older than that of the last entry, or
    /// more than one voter changes.
    pub fn append(&mut self, entry: message::Entry) {
        let last = self.last();
        assert_eq!(entry.at.index, last.index.next(), "log indexes have no gap");
        assert!(entry.at.term >= last.term, "terms never decrease in a log");
        if let message::Payload::Members(next) = &entry.payload {
            let difference = self.members().voter_difference(next);
            assert!(
                difference <= 1,
                "a membership change adds or removes at most one voter"
            );
            self.members.push(MembersAt {
                index: entry.at.index,
                members: next.clone(),
            });
        }
        self.entries.push(entry);
    }

    /// Removes the entry at an index and all later ones.
    ///
    /// # Panics
    ///
    /// Panics if the index is not after the base.
    pub fn truncate_from(&mut self, index: id::LogIndex) {
        assert!(
            index > self.base.index,
            "entries up to the base are never truncated"
        );
        let keep = index.as_u64() - self.base.index.as_u64() - 1;
        self.entries.truncate(keep as usize);
        self.members.retain(|m| m.index < index);
    }

    /// Removes the entries up to an index and makes that index the base. Does nothing when the log
    /// has no such entry.
    pub fn compact_to(&mut self, index: id::LogIndex) {
        let Some(term) = self.term_at(index) else {
            return;
        };
        let count = index.as_u64() - self.base.index.as_u64();
        self.entries.drain(..count as usize);
        self.base = message::Position { index, term };
        let current = self.members.iter().rposition(|m| m.index <= index);
        self.members.drain(..current.unwrap_or(0));
    }

    fn last_members(&self) -> &MembersAt {
        self.members
            .last()
            .expect("the base always has a membership")
    }
}

fn payload_bytes(payload: &message::Payload) -> usize {
    match payload {
        message::Payload::Command(command) => command.len(),
        message::Payload::Empty | message::Payload::Members(_) => 0,
    }
}
