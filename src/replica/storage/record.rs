//! Records of a segment file, and the distinction between a torn tail and damaged synced data.
//!
//! A record is `magic, length, batch, checksum, payload`. `batch` is the file offset at which the
//! group commit of the record starts. A group commit starts only after the previous one was synced.
//! An invalid record that is followed by a valid record of a later batch was therefore synced and
//! damaged afterwards. An invalid record in the last batch may be the rest of an interrupted write.

use crate::error;
use crate::macros;
use crate::replica::core::message;
use crate::replica::storage::file;

const MAGIC: [u8; 4] = *b"bcr1";

/// The size of the header: magic, length, batch, checksum.
const HEADER_BYTES: usize = 4 + 4 + 8 + 4;

const MAX_PAYLOAD_BYTES: usize = 64 << 20;

macros::data! {
    /// The content of a record.
    pub enum Record {
        /// The term and vote from this record on.
        HardState(message::HardState),
        /// A log entry, which replaces an entry at the same index and all later ones.
        Entry(message::Entry),
        /// Removes all earlier entries, since a snapshot replaced the log.
        Reset,
    }
}

#[derive(Debug)]
pub struct Scan {
    pub records: Vec<Record>,
    /// The length of the valid records in bytes; the rest of the file is the torn tail.
    pub valid_bytes: usize,
}

/// A valid record within a file.
struct ValidRecord<'a> {
    batch: u64,
    payload: &'a [u8],
    end: usize,
}

impl Record {
    /// Appends the record to `buf`, as part of the group commit at file offset `batch`.
    ///
    /// # Errors
    ///
    /// Fails when the record can't be encoded or is too large.
    pub fn write_to(&self, buf: &mut Vec<u8>, batch: u64) -> error::Result<()> {
        let payload = postcard::to_stdvec(self)
            .map_err(|e| error::Error::damaged(format!("log record ({e})"), "report this fault"))?;
        if payload.len() > MAX_PAYLOAD_BYTES {
            let remedy = "send smaller requests; a log record has at most 64 MiB";
            return Err(error::Error::bad_value("log record", payload.len(), remedy));
        }
        let length = payload.len() as u32;
        buf.extend_from_slice(&MAGIC);
        buf.extend_from_slice(&length.to_le_bytes());
        buf.extend_from_slice(&batch.to_le_bytes());
        buf.extend_from_slice(&checksum(length, batch, &payload).to_le_bytes());
        buf.extend_from_slice(&payload);
        Ok(())
    }
}

/// Decodes the records of the segment called `name`; only the last segment may have a torn tail.
///
/// # Errors
///
/// Fails when a synced record is damaged, or is one of a later build.
pub fn scan(bytes: &[u8], name: &str, is_last: bool) -> error::Result<Scan> {
    let mut records = Vec::new();
    let mut at = 0;
    while let Some(valid) = valid_record(bytes, at) {
        let record = postcard::from_bytes(valid.payload);
        let unreadable = |_| file::later_build(format!("log segment {name} at byte {at}"));
        records.push(record.map_err(unreadable)?);
        at = valid.end;
    }
    let torn = at < bytes.len();
    if torn && (!is_last || was_synced(bytes, at)) {
        return Err(damaged_segment(name, at));
    }
    Ok(Scan {
        records,
        valid_bytes: at,
    })
}

/// Returns whether a valid record of a later batch follows the invalid record at offset `invalid_at`.
fn was_synced(bytes: &[u8], invalid_at: usize) -> bool {
    let later = |at| valid_record(bytes, at).is_some_and(|record| record.batch > invalid_at as u64);
    (invalid_at + 1..bytes.len()).any(later)
}

fn valid_record(bytes: &[u8], at: usize) -> Option<ValidRecord<'_>> {
    let header = bytes.get(at..at + HEADER_BYTES)?;
    if header[..4] != MAGIC {
        return None;
    }
    let length = u32::from_le_bytes(header[4..8].try_into().ok()?);
    let batch = u64::from_le_bytes(header[8..16].try_into().ok()?);
    let sum = u32::from_le_bytes(header[16..20].try_into().ok()?);
    let start = at + HEADER_BYTES;
    let end = start + length as usize;
    let payload = bytes.get(start..end)?;
    let is_valid = checksum(length, batch, payload) == sum;
    is_valid.then_some(ValidRecord {
        batch,
        payload,
        end,
    })
}

fn checksum(length: u32, batch: u64, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    hasher.update(&batch.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}

fn damaged_segment(name: &str, at: usize) -> error::Error {
    let remedy = "this member's disk lost synced data; while the other members are healthy, \
                  empty the data folder and start the member again: it joins as a learner";
    error::Error::damaged(format!("log segment {name} at byte {at}"), remedy)
}
