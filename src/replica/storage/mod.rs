//! The data folder of one member: its identity, log segments and snapshots.
//!
//! Data is durable once [`Folder::write`] has returned: log records are synced, and a snapshot is
//! written to a temporary file, synced and renamed.
//!
//! A write that fails for lack of space may be tried again: the folder first reads what is there, as
//! after a restart. After any other disk error, and after a failed sync, it accepts no more writes,
//! since the contents of the disk are then unknown. The member stops, and reads the folder again
//! after a restart.

mod file;
pub mod file_system;
mod identity;
mod record;
mod replay;
mod segment;
mod snapshot;

use std::io;
use std::mem;
use std::path;
use std::sync;

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
    files: sync::Arc<dyn file_system::FileSystem>,
    path: path::PathBuf,
    node: message::NodeId,
    log: Log,
    condition: Condition,
    /// The batches of the last write that are durable.
    written: usize,
    _lock: Box<dyn file_system::Lock>,
}

/// Whether a folder accepts writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Condition {
    Sound,
    /// The last write failed for lack of space; the log is read again before the next one.
    Full,
    /// A write failed for another reason.
    Failed,
}

/// The segments of the log, the newest of which is open.
#[derive(Debug)]
struct Log {
    hard_state: message::HardState,
    /// The segments before the current one, oldest first.
    closed: Vec<segment::Info>,
    current: segment::Info,
    writer: segment::Writer,
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
        Self::open_in(sync::Arc::new(file_system::Os), path, instance)
    }

    /// Opens or creates a data folder in a given file system, see [`Folder::open`].
    ///
    /// # Errors
    ///
    /// Fails as [`Folder::open`] does.
    pub fn open_in(
        files: sync::Arc<dyn file_system::FileSystem>,
        path: &path::Path,
        instance: &id::InstanceId,
    ) -> error::Result<(Self, core::Stored)> {
        file::create_folder(&*files, path)?;
        let lock = lock(&*files, path)?;
        // A process that ended may have left names that are visible and not durable yet.
        file::sync_folder(&*files, path)?;
        let node = identity::read_or_create(&*files, path, instance)?;
        let (log, stored) = Log::open(&*files, path)?;
        let folder = Self {
            files,
            path: path.to_owned(),
            node,
            log,
            condition: Condition::Sound,
            written: 0,
            _lock: lock,
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
    /// Fails [for lack of space](error::Error::is_storage_full): the next call must then begin with
    /// the batches that follow the first [`Folder::written`] ones of this call. Fails when the disk
    /// reports another error; all later calls fail too.
    pub fn write(&mut self, batches: &[message::Batch]) -> error::Result<()> {
        self.written = 0;
        if self.condition == Condition::Failed {
            let remedy = "repair the disk, then restart the member";
            return Err(error::Error::damaged(
                "the data folder, after a disk error,",
                remedy,
            ));
        }
        let result = self.write_all(batches);
        self.condition = match &result {
            Ok(()) => Condition::Sound,
            Err(e) if e.is_storage_full() => Condition::Full,
            Err(_) => Condition::Failed,
        };
        result
    }

    /// Returns how many batches of the last call of [`Folder::write`] are durable for certain.
    pub fn written(&self) -> usize {
        self.written
    }

    fn write_all(&mut self, batches: &[message::Batch]) -> error::Result<()> {
        if self.condition == Condition::Full {
            // The batches are written again, which must not follow a part of themselves.
            self.log.writer.discard_failed()?;
            self.log = Log::open(&*self.files, &self.path)?.0;
        }
        if self.log.writer.length() >= SEGMENT_BYTES {
            self.log.start_segment(&*self.files, &self.path, false)?;
        }
        let mut buf = Vec::new();
        for (number, batch) in batches.iter().enumerate() {
            if let Some(snapshot) = &batch.snapshot {
                self.log.commit(&mut buf)?;
                self.written = number;
                self.write_snapshot(snapshot, batch)?;
            }
            if let Some(hard_state) = &batch.hard_state {
                self.log.append_hard_state(&mut buf, hard_state)?;
            }
            for entry in &batch.entries {
                self.log.append_entry(&mut buf, entry)?;
            }
        }
        self.log.commit(&mut buf)?;
        self.written = batches.len();
        Ok(())
    }

    fn write_snapshot(
        &mut self,
        snapshot: &message::Snapshot,
        batch: &message::Batch,
    ) -> error::Result<()> {
        snapshot::write(&*self.files, &self.path, snapshot)?;
        if let Some(hard_state) = &batch.hard_state {
            self.log.hard_state = hard_state.clone();
        }
        let (files, path) = (&*self.files, &self.path);
        self.log.start_segment(files, path, batch.reset)?;
        let covered = snapshot.metadata.at.index;
        snapshot::remove_before(files, path, covered)?;
        self.log.remove_segments(files, path, covered, batch.reset)
    }
}

impl Log {
    /// Reads the newest snapshot and the log, and opens the last segment.
    fn open(
        files: &dyn file_system::FileSystem,
        path: &path::Path,
    ) -> error::Result<(Self, core::Stored)> {
        remove_temporary(files, path)?;
        let snapshot = snapshot::read_newest(files, path)?;
        let mut replay = replay::Replay::default();
        let mut valid_bytes = 0;
        let numbers = segment::numbers(files, path)?;
        for number in &numbers {
            let is_last = Some(number) == numbers.last();
            let scan = segment::read(files, path, *number, is_last)?;
            valid_bytes = scan.valid_bytes as u64;
            replay.add_segment(*number, scan.records);
        }
        let mut read = replay.into_log(snapshot.as_ref().map(|s| s.metadata.at))?;
        let (current, writer) = match read.segments.pop() {
            Some(last) => (
                last,
                segment::Writer::open(files, path, last.number, valid_bytes)?,
            ),
            None => (
                segment::Info::default(),
                segment::Writer::create(files, path, 0)?,
            ),
        };
        let mut log = Self {
            hard_state: read.hard_state,
            closed: read.segments,
            current,
            writer,
        };
        log.repair_start(files, path, read.entries.is_none())?;
        for leftover in read.leftovers {
            log::info!(event = "segment_removed", segment = leftover.number; "removed log segment {}, which the snapshot covers", leftover.number);
            segment::remove(files, path, leftover.number)?;
        }
        let stored = core::Stored {
            hard_state: log.hard_state.clone(),
            snapshot,
            entries: read.entries.unwrap_or_default(),
        };
        Ok((log, stored))
    }

    fn append_hard_state(
        &mut self,
        buf: &mut Vec<u8>,
        hard_state: &message::HardState,
    ) -> error::Result<()> {
        self.hard_state = hard_state.clone();
        self.append_record(buf, &record::Record::HardState(hard_state.clone()))
    }

    fn append_entry(&mut self, buf: &mut Vec<u8>, entry: &message::Entry) -> error::Result<()> {
        self.current.highest_index = self.current.highest_index.max(entry.at.index);
        self.append_record(buf, &record::Record::Entry(entry.clone()))
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

    /// Writes the records at the start of a segment that a crash prevented from being written.
    fn repair_start(
        &mut self,
        files: &dyn file_system::FileSystem,
        path: &path::Path,
        log_replaced: bool,
    ) -> error::Result<()> {
        if log_replaced {
            self.start_segment(files, path, true)?;
            return self.remove_segments(files, path, id::LogIndex::default(), true);
        }
        if self.writer.length() > 0 {
            return Ok(());
        }
        let mut buf = Vec::new();
        self.append_hard_state(&mut buf, &self.hard_state.clone())?;
        self.commit(&mut buf)
    }

    /// Starts the next segment. Each one begins with the term and vote, so that older segments can
    /// be removed.
    fn start_segment(
        &mut self,
        files: &dyn file_system::FileSystem,
        path: &path::Path,
        reset: bool,
    ) -> error::Result<()> {
        let number = self.current.number + 1;
        self.writer = segment::Writer::create(files, path, number)?;
        let next = segment::Info {
            number,
            highest_index: id::LogIndex::default(),
        };
        self.closed.push(mem::replace(&mut self.current, next));
        let mut buf = Vec::new();
        if reset {
            self.append_record(&mut buf, &record::Record::Reset)?;
        }
        self.append_hard_state(&mut buf, &self.hard_state.clone())?;
        self.commit(&mut buf)
    }

    /// Removes the closed segments from the oldest on, as far as a snapshot includes their entries,
    /// or all of them. Each removal is durable before the next, so that a loss of power leaves no
    /// gap between the segments.
    fn remove_segments(
        &mut self,
        files: &dyn file_system::FileSystem,
        path: &path::Path,
        covered: id::LogIndex,
        all: bool,
    ) -> error::Result<()> {
        while self
            .closed
            .first()
            .is_some_and(|s| all || s.highest_index <= covered)
        {
            segment::remove(files, path, self.closed[0].number)?;
            self.closed.remove(0);
        }
        Ok(())
    }
}

fn lock(
    files: &dyn file_system::FileSystem,
    path: &path::Path,
) -> error::Result<Box<dyn file_system::Lock>> {
    let name = path.join(LOCK_FILE_NAME);
    files.lock(&name).map_err(|e| {
        if e.kind() != io::ErrorKind::WouldBlock {
            return file::io_error("locking", &name, e);
        }
        let remedy = "another process has it open; stop that process, or name another folder";
        error::Error::bad_value("data_folder", path.display(), remedy)
    })
}

fn remove_temporary(files: &dyn file_system::FileSystem, path: &path::Path) -> error::Result<()> {
    for name in file::names(files, path)? {
        if name.ends_with(file::TEMP_SUFFIX) {
            file::remove(files, &path.join(name))?;
        }
    }
    Ok(())
}
