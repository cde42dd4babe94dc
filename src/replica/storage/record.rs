//! Records of a segment file, and the tale of a damaged one: a torn tail or lost data.
//!
//! A record is `magic, length, batch, checksum, payload`. `batch` is the offset at which the
//! group commit began that the record belongs to. A group commit starts only after the one before
//! was synced; so a bad record with a sound one of a later batch behind it had been synced and was
//! damaged since, while a bad record in the last batch may be what a crash left of it.

use crate::error;
use crate::macros;
use crate::replica::core::message;

/// The first bytes of each record.
const MAGIC: [u8; 4] = *b"bcr1";

/// The bytes before the payload: magic, length, batch, checksum.
const HEAD_BYTES: usize = 4 + 4 + 8 + 4;

/// The largest payload, in bytes.
const MAX_PAYLOAD_BYTES: usize = 64 << 20;

macros::data! {
    /// What a record carries.
    pub enum Record {
        /// The term and vote from here on.
        HardState(message::HardState),
        /// An entry; it replaces one at the same index and all after it.
        Entry(message::Entry),
        /// All entries before are void: a snapshot replaced the log.
        Reset,
    }
}

/// The records of a segment.
#[derive(Debug)]
pub struct Scan {
    /// The records, in order.
    pub records: Vec<Record>,
    /// The bytes that they take; the rest of the file is the torn tail.
    pub valid_bytes: usize,
}

/// A sound record within a file.
struct Found<'a> {
    batch: u64,
    payload: &'a [u8],
    end: usize,
}

impl Record {
    /// Appends the record to a group commit that begins at offset `batch` of the file.
    ///
    /// # Errors
    ///
    /// Fails when the record can't be encoded or is too large.
    pub fn write_to(&self, buf: &mut Vec<u8>, batch: u64) -> error::Result<()> {
        let payload = postcard::to_stdvec(self)
            .map_err(|e| error::Error::damaged(format!("log record: {e}"), "report this fault"))?;
        if payload.len() > MAX_PAYLOAD_BYTES {
            let remedy = "send smaller requests; a log record holds up to 64 MiB";
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

/// Reads the records of a segment; only the last segment of a log may have a torn tail.
///
/// # Errors
///
/// Fails when a record that had been synced is damaged.
pub fn scan(bytes: &[u8], name: &str, is_last: bool) -> error::Result<Scan> {
    let mut records = Vec::new();
    let mut at = 0;
    while let Some(found) = valid_record(bytes, at) {
        let record = postcard::from_bytes(found.payload);
        records.push(record.map_err(|_| damaged(name, at))?);
        at = found.end;
    }
    let torn = at < bytes.len();
    if torn && (!is_last || was_synced(bytes, at)) {
        return Err(damaged(name, at));
    }
    Ok(Scan {
        records,
        valid_bytes: at,
    })
}

/// Tells whether a sound record of a later batch stands behind the bad one at `bad`.
fn was_synced(bytes: &[u8], bad: usize) -> bool {
    let later = |at| valid_record(bytes, at).is_some_and(|found| found.batch > bad as u64);
    (bad + 1..bytes.len()).any(later)
}

fn valid_record(bytes: &[u8], at: usize) -> Option<Found<'_>> {
    let head = bytes.get(at..at + HEAD_BYTES)?;
    if head[..4] != MAGIC {
        return None;
    }
    let length = u32::from_le_bytes(head[4..8].try_into().ok()?);
    let batch = u64::from_le_bytes(head[8..16].try_into().ok()?);
    let sum = u32::from_le_bytes(head[16..20].try_into().ok()?);
    let start = at + HEAD_BYTES;
    let end = start + length as usize;
    let payload = bytes.get(start..end)?;
    let sound = checksum(length, batch, payload) == sum;
    sound.then_some(Found {
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

fn damaged(name: &str, at: usize) -> error::Error {
    let remedy = "this member's disk lost synced data; while the other members are well, empty \
                  the data folder and start the member again: it joins as a learner";
    error::Error::damaged(format!("log segment {name} at byte {at}"), remedy)
}
