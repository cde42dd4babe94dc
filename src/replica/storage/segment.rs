//! Segment files of the log.

use std::fs;
use std::io::Write as _;
use std::path;
use std::time;

use crate::error;
use crate::id;
use crate::replica::storage::file;
use crate::replica::storage::record;

const PREFIX: &str = "log-";
const SUFFIX: &str = ".seg";

/// The number and the highest index of a segment.
#[derive(Clone, Copy, Debug, Default)]
pub struct Info {
    /// The number of the segment; numbers are consecutive.
    pub number: u64,
    /// The highest index of an entry in the segment; zero when there is none.
    pub highest_index: id::LogIndex,
}

/// The open segment, to which records are appended.
#[derive(Debug)]
pub struct Writer {
    path: path::PathBuf,
    file: fs::File,
    length: u64,
}

impl Writer {
    /// Creates an empty segment.
    ///
    /// # Errors
    ///
    /// Fails when the disk reports an error.
    pub fn create(folder: &path::Path, number: u64) -> error::Result<Self> {
        let path = folder.join(name(number));
        let created = fs::File::create(&path);
        let file = created.map_err(|e| file::io_error("creating", &path, e))?;
        file::sync_folder(folder)?;
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
    pub fn open(folder: &path::Path, number: u64, length: u64) -> error::Result<Self> {
        let path = folder.join(name(number));
        let opened = fs::File::options().append(true).open(&path);
        let file = opened.map_err(|e| file::io_error("opening", &path, e))?;
        file.set_len(length)
            .map_err(|e| file::io_error("cutting", &path, e))?;
        file.sync_all()
            .map_err(|e| file::io_error("syncing", &path, e))?;
        Ok(Self { path, file, length })
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
        let synced = self.file.sync_data();
        metrics::histogram!("buckthorncleat_log_sync_seconds")
            .record(began.elapsed().as_secs_f64());
        metrics::counter!("buckthorncleat_log_bytes_total").increment(bytes.len() as u64);
        synced.map_err(|e| file::io_error("syncing", &self.path, e))?;
        self.length += bytes.len() as u64;
        Ok(())
    }
}

/// Returns the numbers of the segments in a folder, which are consecutive.
///
/// # Errors
///
/// Fails when a segment is missing or the folder can't be read.
pub fn numbers(folder: &path::Path) -> error::Result<Vec<u64>> {
    let names = file::names(folder)?;
    let number = |name: &String| -> Option<u64> {
        name.strip_prefix(PREFIX)?
            .strip_suffix(SUFFIX)?
            .parse()
            .ok()
    };
    let numbers: Vec<u64> = names.iter().filter_map(number).collect();
    let gap = numbers.windows(2).find(|w| w[1] != w[0] + 1);
    if let Some(gap) = gap {
        let remedy = "put it back, or empty the data folder while the other members are healthy";
        let missing = name(gap[0] + 1);
        return Err(error::Error::damaged(
            format!("missing log segment {missing}"),
            remedy,
        ));
    }
    Ok(numbers)
}

/// Reads the records of a segment; only the last segment may have a torn tail.
///
/// # Errors
///
/// Fails when synced data is damaged or the file can't be read.
pub fn read(folder: &path::Path, number: u64, is_last: bool) -> error::Result<record::Scan> {
    let path = folder.join(name(number));
    let bytes = fs::read(&path).map_err(|e| file::io_error("reading", &path, e))?;
    record::scan(&bytes, &name(number), is_last)
}

/// Removes a segment; a missing file is not an error.
///
/// # Errors
///
/// Fails when the disk reports an error.
pub fn remove(folder: &path::Path, number: u64) -> error::Result<()> {
    file::remove(&folder.join(name(number)))
}

fn name(number: u64) -> String {
    format!("{PREFIX}{number:020}{SUFFIX}")
}
