//! The file operations that a data folder needs: those of the operating system, or of a simulated
//! one that loses power or has no space left.
//!
//! Nothing is durable before a sync: what a file contains needs [`File::sync`], and the names that
//! were created, renamed or removed in a folder need [`FileSystem::sync_folder`].

use std::fmt;
use std::fs;
use std::io;
use std::path;

/// A file system, with the errors of `std::fs`.
pub trait FileSystem: fmt::Debug + Send + Sync {
    /// Creates a folder in an existing one.
    ///
    /// # Errors
    ///
    /// Fails as `AlreadyExists` when it exists, and as `NotFound` when its parent does not.
    fn create_folder(&self, path: &path::Path) -> io::Result<()>;

    /// Returns the names in a folder, in any order.
    ///
    /// # Errors
    ///
    /// Fails when the folder can't be read.
    fn names(&self, folder: &path::Path) -> io::Result<Vec<String>>;

    /// Returns the contents of a file.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be read.
    fn read(&self, path: &path::Path) -> io::Result<Vec<u8>>;

    /// Creates an empty file, or truncates an existing one.
    ///
    /// # Errors
    ///
    /// Fails as `StorageFull` when there is no space left.
    fn create(&self, path: &path::Path) -> io::Result<Box<dyn File>>;

    /// Opens an existing file, to append to it.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be opened.
    fn append(&self, path: &path::Path) -> io::Result<Box<dyn File>>;

    /// Renames a file, and replaces another of the new name.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be renamed.
    fn rename(&self, from: &path::Path, to: &path::Path) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// Fails as `NotFound` when there is no such file.
    fn remove(&self, path: &path::Path) -> io::Result<()>;

    /// Syncs the names in a folder.
    ///
    /// # Errors
    ///
    /// Fails when the disk reports an error.
    fn sync_folder(&self, path: &path::Path) -> io::Result<()>;

    /// Creates a file if it does not exist, and locks it until the returned value is dropped.
    ///
    /// # Errors
    ///
    /// Fails as `WouldBlock` when another process holds the lock.
    fn lock(&self, path: &path::Path) -> io::Result<Box<dyn Lock>>;
}

/// An open file of a [`FileSystem`].
pub trait File: fmt::Debug + Send {
    /// Appends all bytes; after an error, some of them may be in the file.
    ///
    /// # Errors
    ///
    /// Fails as `StorageFull` when there is no space left.
    fn write_all(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Truncates the file to `length` bytes.
    ///
    /// # Errors
    ///
    /// Fails when the disk reports an error.
    fn truncate(&mut self, length: u64) -> io::Result<()>;

    /// Syncs the contents of the file.
    ///
    /// # Errors
    ///
    /// Fails when the disk reports an error; what the disk contains is then unknown.
    fn sync(&mut self) -> io::Result<()>;
}

/// A lock that is released on drop.
pub trait Lock: fmt::Debug + Send {}

/// The file system of the operating system.
#[derive(Clone, Copy, Debug)]
pub struct Os;

impl FileSystem for Os {
    fn create_folder(&self, path: &path::Path) -> io::Result<()> {
        fs::create_dir(path)
    }

    fn names(&self, folder: &path::Path) -> io::Result<Vec<String>> {
        let name = |entry: io::Result<fs::DirEntry>| {
            entry.map(|e| e.file_name().to_string_lossy().into_owned())
        };
        fs::read_dir(folder)?.map(name).collect()
    }

    fn read(&self, path: &path::Path) -> io::Result<Vec<u8>> {
        fs::read(path)
    }

    fn create(&self, path: &path::Path) -> io::Result<Box<dyn File>> {
        Ok(Box::new(fs::File::create(path)?))
    }

    fn append(&self, path: &path::Path) -> io::Result<Box<dyn File>> {
        Ok(Box::new(fs::File::options().append(true).open(path)?))
    }

    fn rename(&self, from: &path::Path, to: &path::Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    fn remove(&self, path: &path::Path) -> io::Result<()> {
        fs::remove_file(path)
    }

    fn sync_folder(&self, path: &path::Path) -> io::Result<()> {
        fs::File::open(path)?.sync_all()
    }

    fn lock(&self, path: &path::Path) -> io::Result<Box<dyn Lock>> {
        let mut options = fs::File::options();
        let file = options
            .create(true)
            .truncate(false)
            .write(true)
            .open(path)?;
        file.try_lock()?;
        Ok(Box::new(file))
    }
}

impl File for fs::File {
    fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        io::Write::write_all(self, bytes)
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.set_len(length)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}

impl Lock for fs::File {}
