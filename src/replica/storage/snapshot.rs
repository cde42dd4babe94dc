//! Snapshot files: a CRC-32 checksum in little-endian order, followed by the encoded snapshot.

use std::path;

use crate::error;
use crate::id;
use crate::replica::core::message;
use crate::replica::storage::file;
use crate::replica::storage::file_system;

const PREFIX: &str = "snapshot-";
const SUFFIX: &str = ".snap";

const CHECKSUM_BYTES: usize = 4;

/// Writes a snapshot; it is durable once this returns.
///
/// # Errors
///
/// Fails when the disk is full or reports an error.
pub fn write(
    files: &dyn file_system::FileSystem,
    folder: &path::Path,
    snapshot: &message::Snapshot,
) -> error::Result<()> {
    let encoded = postcard::to_stdvec(snapshot)
        .map_err(|e| error::Error::damaged(format!("snapshot: {e}"), "report this fault"))?;
    let mut bytes = crc32fast::hash(&encoded).to_le_bytes().to_vec();
    bytes.extend_from_slice(&encoded);
    file::replace(files, folder, &name(snapshot.metadata.at.index), &bytes)
}

/// Reads the newest snapshot, if there is one, and removes the older ones.
///
/// # Errors
///
/// Fails when the newest snapshot is damaged, since the log entries that an older one would need
/// are removed. Fails when the disk reports an error.
pub fn read_newest(
    files: &dyn file_system::FileSystem,
    folder: &path::Path,
) -> error::Result<Option<message::Snapshot>> {
    let Some(newest) = indexes(files, folder)?.pop() else {
        return Ok(None);
    };
    let path = folder.join(name(newest));
    let bytes = files
        .read(&path)
        .map_err(|e| file::io_error("reading", &path, e))?;
    let encoded = intact(&bytes).ok_or_else(|| {
        let remedy = "while the other members are healthy, empty the data folder and start the \
                      member again: it joins as a learner";
        error::Error::damaged(path.display().to_string(), remedy)
    })?;
    let snapshot = postcard::from_bytes(encoded);
    let snapshot = snapshot.map_err(|_| file::later_build(path.display().to_string()))?;
    remove_before(files, folder, newest)?;
    Ok(Some(snapshot))
}

/// Removes the snapshots of positions before an index. The removals are not synced: an older
/// snapshot that comes back is removed again.
///
/// # Errors
///
/// Fails when the disk reports an error.
pub fn remove_before(
    files: &dyn file_system::FileSystem,
    folder: &path::Path,
    index: id::LogIndex,
) -> error::Result<()> {
    for old in indexes(files, folder)? {
        if old < index {
            file::remove(files, &folder.join(name(old)))?;
        }
    }
    Ok(())
}

/// Returns the encoded snapshot if its checksum is right.
fn intact(bytes: &[u8]) -> Option<&[u8]> {
    let (sum, encoded) = bytes.split_at_checked(CHECKSUM_BYTES)?;
    let sum = u32::from_le_bytes(sum.try_into().ok()?);
    (crc32fast::hash(encoded) == sum).then_some(encoded)
}

fn indexes(
    files: &dyn file_system::FileSystem,
    folder: &path::Path,
) -> error::Result<Vec<id::LogIndex>> {
    let names = file::names(files, folder)?;
    let index = |name: &String| -> Option<id::LogIndex> {
        name.strip_prefix(PREFIX)?
            .strip_suffix(SUFFIX)?
            .parse()
            .ok()
    };
    Ok(names.iter().filter_map(index).collect())
}

fn name(index: id::LogIndex) -> String {
    format!("{PREFIX}{:020}{SUFFIX}", index.as_u64())
}
