//! Durable file operations, and helpers for the names in a folder.

use std::io;
use std::path;

use crate::error;
use crate::peer::trailer;
use crate::replica::storage::file_system;

/// The suffix of files that are not complete yet.
pub const TEMP_SUFFIX: &str = ".tmp";

/// Creates a folder and its missing ancestors. Their names are durable after [`sync_ancestors`].
///
/// # Errors
///
/// Fails when a folder can't be created.
pub fn create_folder(files: &dyn file_system::FileSystem, path: &path::Path) -> error::Result<()> {
    let mut created = files.create_folder(path);
    if let (Err(e), Some(parent)) = (&created, parent(path))
        && e.kind() == io::ErrorKind::NotFound
    {
        create_folder(files, parent)?;
        created = files.create_folder(path);
    }
    match created {
        Err(e) if e.kind() != io::ErrorKind::AlreadyExists => Err(io_error("creating", path, e)),
        _ => Ok(()),
    }
}

/// Syncs the names of a folder and of its ancestors. Ancestors that this process may not open, or
/// that are never written, were not created by it and are left out.
///
/// # Errors
///
/// Fails when the disk reports an error.
pub fn sync_ancestors(files: &dyn file_system::FileSystem, path: &path::Path) -> error::Result<()> {
    let mut folder = path;
    while let Some(parent) = parent(folder) {
        match files.sync_folder(parent).map_err(|e| (e.kind(), e)) {
            Ok(()) => {}
            Err((io::ErrorKind::PermissionDenied | io::ErrorKind::ReadOnlyFilesystem, _)) => break,
            Err((_, e)) => return Err(sync_error(parent, e)),
        }
        folder = parent;
    }
    Ok(())
}

/// Returns the folder that contains `path`; `None` for the root and for the working folder.
fn parent(path: &path::Path) -> Option<&path::Path> {
    let parent = path.parent()?;
    match path.as_os_str().to_str() {
        Some("." | "") => None,
        _ if parent.as_os_str().is_empty() => Some(path::Path::new(".")),
        _ => Some(parent),
    }
}

/// Replaces a file atomically: writes a temporary file, syncs it, renames it and syncs the folder.
/// The new file is durable once this returns.
///
/// # Errors
///
/// Fails when the disk is full or reports an error; the old file is then still there.
pub fn replace(
    files: &dyn file_system::FileSystem,
    folder: &path::Path,
    name: &str,
    bytes: &[u8],
) -> error::Result<()> {
    let temp = folder.join(format!("{name}{TEMP_SUFFIX}"));
    let created = files.create(&temp);
    let mut file = created.map_err(|e| io_error("creating", &temp, e))?;
    let written = file.write_all(bytes);
    written.map_err(|e| io_error("writing", &temp, e))?;
    file.sync().map_err(|e| sync_error(&temp, e))?;
    let target = folder.join(name);
    let renamed = files.rename(&temp, &target);
    renamed.map_err(|e| io_error("renaming to", &target, e))?;
    sync_folder(files, folder)
}

/// Syncs a folder, so that created, renamed and removed names are durable.
///
/// # Errors
///
/// Fails when the disk reports an error.
pub fn sync_folder(files: &dyn file_system::FileSystem, folder: &path::Path) -> error::Result<()> {
    let synced = files.sync_folder(folder);
    synced.map_err(|e| sync_error(folder, e))
}

/// Removes a file; a missing file is not an error. The removal is not synced.
///
/// # Errors
///
/// Fails when the disk reports an error.
pub fn remove(files: &dyn file_system::FileSystem, path: &path::Path) -> error::Result<()> {
    match files.remove(path) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => Err(io_error("removing", path, e)),
        _ => Ok(()),
    }
}

/// Returns the names in a folder, sorted.
///
/// # Errors
///
/// Fails when the folder can't be read.
pub fn names(
    files: &dyn file_system::FileSystem,
    folder: &path::Path,
) -> error::Result<Vec<String>> {
    let names = files.names(folder);
    let mut names = names.map_err(|e| io_error("reading", folder, e))?;
    names.sort();
    Ok(names)
}

/// Wraps an I/O error with the action and the path.
pub fn io_error(doing: &str, path: &path::Path, source: io::Error) -> error::Error {
    error::Error::io(format!("{doing} {}", path.display()), source)
}

/// Wraps the error of a sync. It never counts as a full disk: what the disk contains is unknown, so
/// the operation must not be tried again.
pub fn sync_error(path: &path::Path, source: io::Error) -> error::Error {
    io_error("syncing", path, io::Error::other(source))
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
