//! The data folder of one member: its identity, log segments and snapshots.
//!
//! Data is durable once [`Folder::write`] has returned: log records are synced, and a snapshot is
//! written to a temporary file, synced and renamed. After a disk error the folder accepts no more
//! writes, since the contents of the disk are then unknown. The member stops, and reads the folder
//! again after a restart.

mod file;
mod identity;
mod record;
mod segment;
mod snapshot;

use std::fs;
use std::path;

use crate::error;
use crate::id;
use crate::replica::core;
use crate::replica::core::message;

/// The file whose lock prevents a second process from opening the folder.
const LOCK_FILE_NAME: &str = "lock";

/// The size of a segment at or above which the next write starts a new one.
const SEGMENT_BYTES: u64 = 8 << 20;

#[derive(Debug)]
pub struct Folder {
    path: path::PathBuf,
    node: message::NodeId,
    hard_state: message::HardState,
    /// The segments before the current one, oldest first.
    closed: Vec<segment::Info>,
    current: segment::Info,
    writer: segment::Writer,
    /// Whether a write has failed; later ones are refused.
    failed: bool,
    _lock: fs::File,
}

impl Folder {
    /// Opens a data folder, or creates a new one, and reads its contents. The torn tail of the last
    /// write is truncated without an error.
    ///
    /// # Errors
    ///
    /// Fails when another process has the folder open, when it belongs to another instance, when
    /// synced data is damaged, or when the disk reports an error.
    pub fn open(
        path: &path::Path,
        instance: &id::InstanceId,
    ) -> error::Result<(Self, core::Stored)> {
        fs::create_dir_all(path).map_err(|e| file::io_error("creating", path, e))?;
        let lock = lock(path)?;
        let node = identity::read_or_create(path, instance)?;
        remove_temporary(path)?;
        let snapshot = snapshot::read_newest(path)?;
        let mut replay = Replay::default();
        let numbers = segment::numbers(path)?;
        for number in &numbers {
            let is_last = Some(number) == numbers.last();
            replay.replay_segment(*number, segment::read(path, *number, is_last)?)?;
        }
        let entries = replay.entries_after(snapshot.as_ref())?;
        let (current, writer) = match replay.segments.pop() {
            Some(last) => (
                last,
                segment::Writer::open(path, last.number, replay.valid_bytes)?,
            ),
            None => (segment::Info::default(), segment::Writer::create(path, 0)?),
        };
        let mut folder = Self {
            path: path.to_owned(),
            node,
            hard_state: replay.hard_state.clone(),
            closed: replay.segments,
            current,
            writer,
            failed: false,
            _lock: lock,
        };
        folder.repair_segment_start(entries.is_none(), snapshot.as_ref())?;
        let stored = core::Stored {
            hard_state: replay.hard_state,
            snapshot,
            entries: entries.unwrap_or_default(),
        };
        Ok((folder, stored))
    }

    /// Returns the member that the folder belongs to, with the folder's incarnation.
    pub fn node(&self) -> &message::NodeId {
        &self.node
    }

    /// Writes batches in order; they are durable once this returns. Batches without a snapshot
    /// share one sync.
    ///
    /// # Errors
    ///
    /// Fails when the disk is full or reports an error. All later calls fail too.
    pub fn write(&mut self, batches: &[message::Batch]) -> error::Result<()> {
        if self.failed {
            let remedy = "repair the disk, then restart the member";
            return Err(error::Error::damaged(
                "the data folder, after a disk error,",
                remedy,
            ));
        }
        let result = self.write_all(batches);
        self.failed = result.is_err();
        result
    }

    fn write_all(&mut self, batches: &[message::Batch]) -> error::Result<()> {
        if self.writer.length() >= SEGMENT_BYTES {
            self.start_segment(false)?;
        }
        let mut buf = Vec::new();
        for batch in batches {
            if let Some(snapshot) = &batch.snapshot {
                self.commit(&mut buf)?;
                self.write_snapshot(snapshot, batch)?;
            }
            if let Some(hard_state) = &batch.hard_state {
                self.hard_state = hard_state.clone();
                self.append_record(&mut buf, &record::Record::HardState(hard_state.clone()))?;
            }
            for entry in &batch.entries {
                self.current.highest_index = self.current.highest_index.max(entry.at.index);
                self.append_record(&mut buf, &record::Record::Entry(entry.clone()))?;
            }
        }
        self.commit(&mut buf)
    }

    fn append_record(&self, buf: &mut Vec<u8>, record: &record::Record) -> error::Result<()> {
        record.write_to(buf, self.writer.length())
    }

    fn commit(&mut self, buf: &mut Vec<u8>) -> error::Result<()> {
        if !buf.is_empty() {
            self.writer.commit(buf)?;
            buf.clear();
        }
        Ok(())
    }

    fn write_snapshot(
        &mut self,
        snapshot: &message::Snapshot,
        batch: &message::Batch,
    ) -> error::Result<()> {
        snapshot::write(&self.path, snapshot)?;
        if let Some(hard_state) = &batch.hard_state {
            self.hard_state = hard_state.clone();
        }
        self.start_segment(batch.reset)?;
        let covered = snapshot.metadata.at.index;
        snapshot::remove_before(&self.path, covered)?;
        self.remove_segments(covered, batch.reset)
    }

    /// Writes the records at the start of a segment that a crash prevented from being written.
    fn repair_segment_start(
        &mut self,
        log_replaced: bool,
        snapshot: Option<&message::Snapshot>,
    ) -> error::Result<()> {
        if log_replaced {
            self.start_segment(true)?;
            let covered = snapshot.map(|s| s.metadata.at.index);
            return self.remove_segments(covered.unwrap_or_default(), true);
        }
        if self.writer.length() > 0 {
            return Ok(());
        }
        let mut buf = Vec::new();
        self.append_record(
            &mut buf,
            &record::Record::HardState(self.hard_state.clone()),
        )?;
        self.commit(&mut buf)
    }

    /// Starts the next segment. Each one begins with the term and vote, so that older segments can
    /// be removed.
    fn start_segment(&mut self, reset: bool) -> error::Result<()> {
        let number = self.current.number + 1;
        self.writer = segment::Writer::create(&self.path, number)?;
        let next = segment::Info {
            number,
            highest_index: id::LogIndex::default(),
        };
        self.closed.push(std::mem::replace(&mut self.current, next));
        let mut buf = Vec::new();
        if reset {
            self.append_record(&mut buf, &record::Record::Reset)?;
        }
        self.append_record(
            &mut buf,
            &record::Record::HardState(self.hard_state.clone()),
        )?;
        self.commit(&mut buf)
    }

    /// Removes the closed segments from the oldest on, as far as a snapshot includes their entries,
    /// or all of them.
    fn remove_segments(&mut self, covered: id::LogIndex, all: bool) -> error::Result<()> {
        while self
            .closed
            .first()
            .is_some_and(|s| all || s.highest_index <= covered)
        {
            segment::remove(&self.path, self.closed[0].number)?;
            self.closed.remove(0);
        }
        Ok(())
    }
}

/// The result of replaying the records of all segments.
#[derive(Debug, Default)]
struct Replay {
    hard_state: message::HardState,
    entries: Vec<message::Entry>,
    segments: Vec<segment::Info>,
    valid_bytes: u64,
}

impl Replay {
    fn replay_segment(&mut self, number: u64, scan: record::Scan) -> error::Result<()> {
        let mut info = segment::Info {
            number,
            highest_index: id::LogIndex::default(),
        };
        for record in scan.records {
            match record {
                record::Record::HardState(hard_state) => self.hard_state = hard_state,
                record::Record::Reset => self.entries.clear(),
                record::Record::Entry(entry) => {
                    info.highest_index = info.highest_index.max(entry.at.index);
                    self.replay_entry(entry)?;
                }
            }
        }
        self.segments.push(info);
        self.valid_bytes = scan.valid_bytes as u64;
        Ok(())
    }

    fn replay_entry(&mut self, entry: message::Entry) -> error::Result<()> {
        let index = entry.at.index;
        let keep = self.entries.partition_point(|e| e.at.index < index);
        self.entries.truncate(keep);
        let follows = self
            .entries
            .last()
            .is_none_or(|last| last.at.index.next() == index);
        if !follows {
            return Err(gap_error(index));
        }
        self.entries.push(entry);
        Ok(())
    }

    /// Returns the entries that follow the snapshot, or `None` when the snapshot replaced the log.
    fn entries_after(
        &mut self,
        snapshot: Option<&message::Snapshot>,
    ) -> error::Result<Option<Vec<message::Entry>>> {
        let at = snapshot.map(|s| s.metadata.at);
        let index = at.unwrap_or_default().index;
        let covered = self.entries.partition_point(|e| e.at.index <= index);
        let rest = self.entries.split_off(covered);
        if self.entries.last().is_some_and(|last| Some(last.at) != at) {
            // The process crashed after a snapshot of the leader was installed and before the log
            // that the snapshot replaces was reset.
            return Ok(None);
        }
        match rest.first() {
            Some(first) if at.is_none() || first.at.index != index.next() => {
                Err(gap_error(first.at.index))
            }
            _ => Ok(Some(rest)),
        }
    }
}

fn gap_error(index: id::LogIndex) -> error::Error {
    let remedy = "while the other members are healthy, empty the data folder and start the \
                  member again: it joins as a learner";
    error::Error::damaged(format!("the log before entry {index}"), remedy)
}

fn lock(path: &path::Path) -> error::Result<fs::File> {
    let name = path.join(LOCK_FILE_NAME);
    let opened = fs::File::options()
        .create(true)
        .truncate(false)
        .write(true)
        .open(&name);
    let file = opened.map_err(|e| file::io_error("opening", &name, e))?;
    file.try_lock().map_err(|_| {
        let remedy = "another process has it open; stop that process, or name another folder";
        error::Error::bad_value("data_folder", path.display(), remedy)
    })?;
    Ok(file)
}

fn remove_temporary(path: &path::Path) -> error::Result<()> {
    for name in file::names(path)? {
        if name.ends_with(file::TEMP_SUFFIX) {
            file::remove(&path.join(name))?;
        }
    }
    Ok(())
}
