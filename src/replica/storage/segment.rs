//! Segment files of the log: opening the last, appending, starting the next.

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

/// A segment, as the folder keeps it in mind.
#[derive(Clone, Copy, Debug, Default)]
pub struct Info {
    /// The number of the segment; the next one has one more.
    pub number: u64,
    /// The highest index of an entry in it; zero when there is none.
    pub highest: id::LogIndex,
}

/// The segment that is written.
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
        let file = created.map_err(|e| file::failed("creating", &path, e))?;
        file::sync_folder(folder)?;
        Ok(Self {
            path,
            file,
            length: 0,
        })
    }

    /// Opens a segment to append, without the torn tail after `length`.
    ///
    /// # Errors
    ///
    /// Fails when the disk reports an error.
    pub fn open(folder: &path::Path, number: u64, length: u64) -> error::Result<Self> {
        let path = folder.join(name(number));
        let opened = fs::File::options().append(true).open(&path);
        let file = opened.map_err(|e| file::failed("opening", &path, e))?;
        file.set_len(length)
            .map_err(|e| file::failed("cutting", &path, e))?;
        file.sync_all()
            .map_err(|e| file::failed("syncing", &path, e))?;
        Ok(Self { path, file, length })
    }

    /// Returns the bytes written so far; the next group commit begins here.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Appends records as one group commit; they last once this returns.
    ///
    /// # Errors
    ///
    /// Fails when the disk is full or reports an error; what is on disk is then not known.
    pub fn commit(&mut self, bytes: &[u8]) -> error::Result<()> {
        let written = self.file.write_all(bytes);
        written.map_err(|e| file::failed("writing", &self.path, e))?;
        let began = time::Instant::now();
        let synced = self.file.sync_data();
        metrics::histogram!("buckthorncleat_log_sync_seconds")
            .record(began.elapsed().as_secs_f64());
        metrics::counter!("buckthorncleat_log_bytes_total").increment(bytes.len() as u64);
        synced.map_err(|e| file::failed("syncing", &self.path, e))?;
        self.length += bytes.len() as u64;
        Ok(())
    }
}

/// Returns the numbers of the segments in a folder, which must follow each other.
///
/// # Errors
///
/// Fails when a segment is missing.
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
        let remedy = "put it back, or empty the data folder while the other members are well";
        let missing = name(gap[0] + 1);
        return Err(error::Error::damaged(
            format!("missing log segment {missing}"),
            remedy,
        ));
    }
    Ok(numbers)
}

/// Reads the records of a segment.
///
/// # Errors
///
/// Fails when synced data is damaged.
pub fn read(folder: &path::Path, number: u64, is_last: bool) -> error::Result<record::Scan> {
    let path = folder.join(name(number));
    let bytes = fs::read(&path).map_err(|e| file::failed("reading", &path, e))?;
    record::scan(&bytes, &name(number), is_last)
}

/// Removes a segment.
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
