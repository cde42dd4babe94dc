//! Durable file operations, and helpers for the names in a folder.

use std::fs;
use std::io;
use std::io::Write as _;
use std::path;

use crate::error;
use crate::peer::trailer;

/// The suffix of files that are not complete yet.
pub const TEMP_SUFFIX: &str = ".tmp";

/// Replaces a file atomically: writes a temporary file, syncs it, renames it and syncs the folder.
/// The new file is durable once this returns.
///
/// # Errors
///
/// Fails when the disk is full or reports an error; the old file is then still there.
pub fn replace(folder: &path::Path, name: &str, bytes: &[u8]) -> error::Result<()> {
    let temp = folder.join(format!("{name}{TEMP_SUFFIX}"));
    let mut file = fs::File::create(&temp).map_err(|e| io_error("creating", &temp, e))?;
    file.write_all(bytes)
        .map_err(|e| io_error("writing", &temp, e))?;
    file.sync_all().map_err(|e| io_error("syncing", &temp, e))?;
    let target = folder.join(name);
    fs::rename(&temp, &target).map_err(|e| io_error("renaming to", &target, e))?;
    sync_folder(folder)
}

/// Syncs a folder, so that created, renamed and removed names are durable.
///
/// # Errors
///
/// Fails when the disk reports an error.
pub fn sync_folder(folder: &path::Path) -> error::Result<()> {
    let opened = fs::File::open(folder);
    opened
        .and_then(|f| f.sync_all())
        .map_err(|e| io_error("syncing", folder, e))
}

/// Removes a file; a missing file is not an error. The removal is not synced.
///
/// # Errors
///
/// Fails when the disk reports an error.
pub fn remove(path: &path::Path) -> error::Result<()> {
    match fs::remove_file(path) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => Err(io_error("removing", path, e)),
        _ => Ok(()),
    }
}

/// Returns the names in a folder, sorted.
///
/// # Errors
///
/// Fails when the folder can't be read.
pub fn names(folder: &path::Path) -> error::Result<Vec<String>> {
    let entries = fs::read_dir(folder).map_err(|e| io_error("reading", folder, e))?;
    let mut names = Vec::new();
    for entry in entries {
        let entry = entry.map_err(|e| io_error("reading", folder, e))?;
        names.push(entry.file_name().to_string_lossy().into_owned());
    }
    names.sort();
    Ok(names)
}

/// Wraps an I/O error with the action and the path.
pub fn io_error(doing: &str, path: &path::Path, source: io::Error) -> error::Error {
    error::Error::io(format!("{doing} {}", path.display()), source)
}

/// Makes the error for data with the right checksum that can't be decoded: a later build wrote it.
pub fn later_build(what: String) -> error::Error {
    let remedy = format!(
        "a build of a later protocol version than {} wrote it: this build speaks protocol version {}; \
         install the newest build that ran here and keep the data folder",
        trailer::CURRENT,
        trailer::CURRENT,
    );
    error::Error::unreadable(what, remedy)
}
