//! Segment files of the log.

use std::path;
use std::time;

use crate::error;
use crate::id;
use crate::replica::storage::file;
use crate::replica::storage::file_system;
use crate::replica::storage::record;

const PREFIX: &str = "log-";
const SUFFIX: &str = ".seg";

/// The number and the highest index of a segment.
#[derive(Clone, Copy, Debug, Default)]
pub struct Info {
    /// The number of the segment; those of a complete log are consecutive.
    pub number: u64,
    /// The highest index of an entry in the segment; zero when there is none.
    pub highest_index: id::LogIndex,
}

/// The open segment, to which records are appended.
#[derive(Debug)]
pub struct Writer {
    path: path::PathBuf,
    file: Box<dyn file_system::File>,
    length: u64,
}

impl Writer {
    /// Creates an empty segment.
    ///
    /// # Errors
    ///
    /// Fails when the disk reports an error.
    pub fn create(
        files: &dyn file_system::FileSystem,
        folder: &path::Path,
        number: u64,
    ) -> error::Result<Self> {
        let path = folder.join(name(number));
        let created = files.create(&path);
        let file = created.map_err(|e| file::io_error("creating", &path, e))?;
        file::sync_folder(files, folder)?;
        Ok(Self {
            path,
            file,
            length: 0,
        })
    }

    /// Opens a segment to append to it, and truncates the torn tail after `length` bytes.
    ///
    /// # Errors
    ///
    /// Fails when the disk reports an error.
    pub fn open(
        files: &dyn file_system::FileSystem,
        folder: &path::Path,
        number: u64,
        length: u64,
    ) -> error::Result<Self> {
        let path = folder.join(name(number));
        let opened = files.append(&path);
        let file = opened.map_err(|e| file::io_error("opening", &path, e))?;
        let mut writer = Self { path, file, length };
        writer.discard_failed()?;
        Ok(writer)
    }

    /// Removes what a failed commit left behind the last one that is durable.
    ///
    /// # Errors
    ///
    /// Fails when the disk reports an error.
    pub fn discard_failed(&mut self) -> error::Result<()> {
        let truncated = self.file.truncate(self.length);
        truncated.map_err(|e| file::io_error("truncating", &self.path, e))?;
        let synced = self.file.sync();
        synced.map_err(|e| file::sync_error(&self.path, e))
    }

    /// Returns the length in bytes, which is the offset of the next group commit.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Appends records as one group commit; they are durable once this returns.
    ///
    /// # Errors
    ///
    /// Fails when the disk is full or reports an error; the contents of the disk are then unknown.
    pub fn commit(&mut self, bytes: &[u8]) -> error::Result<()> {
        let written = self.file.write_all(bytes);
        written.map_err(|e| file::io_error("writing", &self.path, e))?;
        let began = time::Instant::now();
        let synced = self.file.sync();
        metrics::histogram!("buckthorncleat_log_sync_seconds")
            .record(began.elapsed().as_secs_f64());
        metrics::counter!("buckthorncleat_log_bytes_total").increment(bytes.len() as u64);
        synced.map_err(|e| file::sync_error(&self.path, e))?;
        self.length += bytes.len() as u64;
        Ok(())
    }
}

/// Returns the numbers of the segments in a folder, in order.
///
/// # Errors
///
/// Fails when the folder can't be read.
pub fn numbers(
    files: &dyn file_system::FileSystem,
    folder: &path::Path,
) -> error::Result<Vec<u64>> {
    let names = file::names(files, folder)?;
    let number = |name: &String| -> Option<u64> {
        name.strip_prefix(PREFIX)?
            .strip_suffix(SUFFIX)?
            .parse()
            .ok()
    };
    let mut numbers: Vec<u64> = names.iter().filter_map(number).collect();
    numbers.sort_unstable();
    Ok(numbers)
}

/// Reads the records of a segment; only the last segment may have a torn tail.
///
/// # Errors
///
/// Fails when synced data is damaged or the file can't be read.
pub fn read(
    files: &dyn file_system::FileSystem,
    folder: &path::Path,
    number: u64,
    is_last: bool,
) -> error::Result<record::Scan> {
    let path = folder.join(name(number));
    let bytes = files
        .read(&path)
        .map_err(|e| file::io_error("reading", &path, e))?;
    record::scan(&bytes, &name(number), is_last)
}

/// Removes a segment; a missing file is not an error. The removal is durable once this returns.
///
/// # Errors
///
/// Fails when the disk reports an error.
pub fn remove(
    files: &dyn file_system::FileSystem,
    folder: &path::Path,
    number: u64,
) -> error::Result<()> {
    file::remove(files, &folder.join(name(number)))?;
    file::sync_folder(files, folder)
}

/// Returns the file name of a segment.
pub fn name(number: u64) -> String {
    format!("{PREFIX}{number:020}{SUFFIX}")
}
