//! The part of the log after the last snapshot, in memory, with the members at each entry.

use crate::id;
use crate::replica::core::members;
use crate::replica::core::message;

/// The log of one replica.
#[derive(Debug)]
pub struct Log {
    base: message::Position,
    entries: Vec<message::Entry>,
    members: Vec<MembersFrom>,
}

#[derive(Debug)]
struct MembersFrom {
    index: id::LogIndex,
    members: members::Membership,
}

impl Log {
    /// Makes a log that begins after a snapshot.
    pub fn after(head: &message::SnapshotHead) -> Self {
        let first = MembersFrom {
            index: head.at.index,
            members: head.members.clone(),
        };
        Self {
            base: head.at,
            entries: Vec::new(),
            members: vec![first],
        }
    }

    /// Returns the position before the first entry.
    pub fn base(&self) -> message::Position {
        self.base
    }

    /// Returns the position of the last entry.
    pub fn last(&self) -> message::Position {
        self.entries.last().map_or(self.base, |e| e.at)
    }

    /// Returns the term of the entry at an index, if the log still knows it.
    pub fn term_at(&self, index: id::LogIndex) -> Option<id::Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.entry(index).map(|e| e.at.term)
    }

    /// Returns the entry at an index.
    pub fn entry(&self, index: id::LogIndex) -> Option<&message::Entry> {
        let offset = index.as_u64().checked_sub(self.base.index.as_u64() + 1)?;
        self.entries.get(offset as usize)
    }

    /// Returns the index before all entries of the term that stands at `index`, or the last index
    /// when the log ends before.
    pub fn before_term_at(&self, index: id::LogIndex) -> id::LogIndex {
        let Some(term) = self.entry(index).map(|e| e.at.term) else {
            return self.last().index.min(index);
        };
        let first = self.entries.partition_point(|e| e.at.term < term);
        id::LogIndex::new(self.base.index.as_u64() + first as u64)
    }

    /// Tells whether the log holds this very entry.
    pub fn contains(&self, at: message::Position) -> bool {
        self.term_at(at.index) == Some(at.term)
    }

    /// Returns entries after an index, at least one if there is any, and up to a number of bytes.
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

    /// Returns the members that the last entry leaves.
    pub fn members(&self) -> &members::Membership {
        &self.last_members().members
    }

    /// Returns the index of the entry that made the present members.
    pub fn members_index(&self) -> id::LogIndex {
        self.last_members().index
    }

    /// Returns the members at an index.
    pub fn members_at(&self, index: id::LogIndex) -> &members::Membership {
        let known = self.members.iter().rev().find(|m| m.index <= index);
        &known.unwrap_or(&self.members[0]).members
    }

    /// Appends an entry after the last one.
    ///
    /// # Panics
    ///
    /// Panics when the entry does not follow, or changes more than one voter.
    pub fn append(&mut self, entry: message::Entry) {
        let last = self.last();
        assert_eq!(entry.at.index, last.index.next(), "the log has no gap");
        assert!(entry.at.term >= last.term, "terms never go down in a log");
        if let message::Payload::Members(next) = &entry.payload {
            let apart = self.members().voters_apart(next);
            assert!(apart <= 1, "the members change one voter at a time");
            self.members.push(MembersFrom {
                index: entry.at.index,
                members: next.clone(),
            });
        }
        self.entries.push(entry);
    }

    /// Removes the entry at an index and all that follow.
    ///
    /// # Panics
    ///
    /// Panics if the index is part of the snapshot that the log starts from.
    pub fn truncate_from(&mut self, index: id::LogIndex) {
        assert!(index > self.base.index, "a snapshot is never truncated");
        let keep = index.as_u64() - self.base.index.as_u64() - 1;
        self.entries.truncate(keep as usize);
        self.members.retain(|m| m.index < index);
    }

    /// Forgets the entries up to an index.
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

    fn last_members(&self) -> &MembersFrom {
        self.members.last().expect("the base always has members")
    }
}

fn payload_bytes(payload: &message::Payload) -> usize {
    match payload {
        message::Payload::Command(command) => command.len(),
        message::Payload::Empty | message::Payload::Members(_) => 0,
    }
}
