//! Decides which records of the segments make up the log behind the newest snapshot.
//!
//! Records that the snapshot covers are not needed, so neither a missing segment nor missing entries
//! among them are an error. What follows the snapshot must be complete.

use crate::error;
use crate::id;
use crate::replica::core::message;
use crate::replica::storage::record;
use crate::replica::storage::segment;

/// The records of the segments that were added, oldest first.
#[derive(Debug, Default)]
pub struct Replay {
    hard_state: message::HardState,
    /// Consecutive entries.
    entries: Vec<message::Entry>,
    /// Whether a record after the newest missing segment started the log anew.
    is_reset: bool,
    /// The segments before the newest missing one.
    leftovers: Vec<segment::Info>,
    /// The consecutive segments after it.
    segments: Vec<segment::Info>,
}

/// The log behind a snapshot.
#[derive(Debug)]
pub struct Log {
    pub hard_state: message::HardState,
    /// The entries after the snapshot, or `None` when the snapshot replaced the log and the segments
    /// do not say so yet.
    pub entries: Option<Vec<message::Entry>>,
    /// Segments that are not needed: newer ones were removed already.
    pub leftovers: Vec<segment::Info>,
    /// The consecutive segments that contain the log.
    pub segments: Vec<segment::Info>,
}

impl Replay {
    /// Adds the records of the next segment.
    pub fn add_segment(&mut self, number: u64, records: Vec<record::Record>) {
        if self.segments.last().is_some_and(|s| s.number + 1 != number) {
            self.leftovers.append(&mut self.segments);
            self.entries.clear();
            self.is_reset = false;
        }
        let mut info = segment::Info {
            number,
            highest_index: id::LogIndex::default(),
        };
        for record in records {
            match record {
                record::Record::HardState(hard_state) => self.hard_state = hard_state,
                record::Record::Reset => {
                    self.entries.clear();
                    self.is_reset = true;
                }
                record::Record::Entry(entry) => {
                    info.highest_index = info.highest_index.max(entry.at.index);
                    self.add_entry(entry);
                }
            }
        }
        self.segments.push(info);
    }

    fn add_entry(&mut self, entry: message::Entry) {
        let index = entry.at.index;
        let keep = self.entries.partition_point(|e| e.at.index < index);
        self.entries.truncate(keep);
        let last = self.entries.last();
        if last.is_some_and(|last| last.at.index.next() != index) {
            // Whether the missing entries matter depends on the snapshot.
            self.entries.clear();
        }
        self.entries.push(entry);
    }

    /// Returns the log behind the newest snapshot.
    ///
    /// # Errors
    ///
    /// Fails when a segment or an entry behind the snapshot is missing.
    pub fn into_log(mut self, snapshot: Option<message::Position>) -> error::Result<Log> {
        self.check_complete(snapshot)?;
        let index = snapshot.unwrap_or_default().index;
        let covered = self.entries.partition_point(|e| e.at.index <= index);
        let rest = self.entries.split_off(covered);
        // The log that a snapshot of the leader replaces does not contain the snapshot's position.
        // The process ended after the snapshot was written and before the log was reset.
        let is_replaced = (self.entries.last()).is_some_and(|last| Some(last.at) != snapshot);
        Ok(Log {
            hard_state: self.hard_state,
            entries: (!is_replaced).then_some(rest),
            leftovers: self.leftovers,
            segments: self.segments,
        })
    }

    fn check_complete(&self, snapshot: Option<message::Position>) -> error::Result<()> {
        let covered = snapshot.map(|at| at.index);
        let first = self.entries.first().map(|e| e.at.index);
        let connects = |first: id::LogIndex| covered.is_some_and(|c| first <= c.next());
        if snapshot.is_some() && self.segments.is_empty() {
            // A segment is created before the first snapshot and never removed without another.
            return Err(missing_segment(0));
        }
        if let Some(gap) = self.leftovers.last() {
            // Segments are removed only after a snapshot that covers them, or after a reset.
            let is_covered = |s: &segment::Info| Some(s.highest_index) <= covered;
            let are_covered = self.leftovers.iter().all(is_covered) && first.is_some_and(connects);
            if !self.is_reset && !are_covered {
                return Err(missing_segment(gap.number + 1));
            }
        }
        match first {
            Some(first) if !connects(first) => Err(missing_entries(first)),
            _ => Ok(()),
        }
    }
}

fn missing_segment(number: u64) -> error::Error {
    let remedy = "put it back, or empty the data folder while the other members are healthy";
    let what = format!("missing log segment {}", segment::name(number));
    error::Error::damaged(what, remedy)
}

fn missing_entries(index: id::LogIndex) -> error::Error {
    let remedy = "while the other members are healthy, empty the data folder and start the \
                  member again: it joins as a learner";
    error::Error::damaged(format!("the log before entry {index}"), remedy)
}
