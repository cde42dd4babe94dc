//! A file system in memory. A loss of power keeps what was synced, and of every other operation
//! independently all, nothing, or for a write a part.

use std::collections::BTreeMap;
use std::io;
use std::path;
use std::sync;

use buckthorncleat::replica::storage::file_system;

/// The folder that exists from the start.
pub const ROOT: &str = "/data";

/// How an injected fault departs from a sound file system.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    #[default]
    None,
    /// A sync of a file has no effect.
    FileSyncs,
    /// A sync of a folder has no effect.
    FolderSyncs,
    /// A sync of a folder leaves out removals.
    RemovalSyncs,
    /// A sync of a folder leaves out renames, so that later removals come first.
    RenameSyncs,
}

/// What becomes of an operation that was not synced when power is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    Lost,
    Kept,
    /// Only the first half of a write is kept.
    Half,
    /// The middle of a write is lost.
    Hole,
}

#[derive(Clone, Debug)]
enum Node {
    Folder,
    File(usize),
}

/// An operation on names that was not synced.
#[derive(Clone, Debug)]
enum NameChange {
    Create(path::PathBuf, Node),
    Rename(path::PathBuf, path::PathBuf, usize),
    Remove(path::PathBuf),
}

#[derive(Clone, Debug)]
enum ContentChange {
    Write(usize, Vec<u8>),
    Truncate(usize),
}

#[derive(Clone, Debug, Default)]
struct Contents {
    durable: Vec<u8>,
    visible: Vec<u8>,
    unsynced: Vec<ContentChange>,
}

#[derive(Clone, Debug, Default)]
struct State {
    fault: Fault,
    contents: Vec<Contents>,
    durable: BTreeMap<path::PathBuf, Node>,
    visible: BTreeMap<path::PathBuf, Node>,
    unsynced: Vec<NameChange>,
    /// The operations that changed or synced something.
    operations: usize,
    /// The operation from which on all fail, since power is lost.
    power_lost_at: Option<usize>,
    /// The operations for which no space is left.
    full: std::ops::Range<usize>,
}

/// A file system; clones share it.
#[derive(Clone, Debug)]
pub struct Disk(sync::Arc<sync::Mutex<State>>);

#[derive(Debug)]
struct File {
    disk: Disk,
    number: usize,
}

#[derive(Debug)]
struct Lock;

impl file_system::Lock for Lock {}

impl Disk {
    pub fn new(fault: Fault) -> Self {
        let root = BTreeMap::from([(path::PathBuf::from(ROOT), Node::Folder)]);
        Self::from_state(State {
            fault,
            durable: root.clone(),
            visible: root,
            ..State::default()
        })
    }

    fn from_state(state: State) -> Self {
        Self(sync::Arc::new(sync::Mutex::new(state)))
    }

    /// Returns an independent copy that goes on from the same state.
    pub fn fork(&self) -> Self {
        Self::from_state(self.state().clone())
    }

    /// Lets power fail before the given number of further operations, or never.
    pub fn lose_power_after(&self, operations: Option<usize>) {
        let mut state = self.state();
        state.power_lost_at = operations.map(|n| state.operations + n);
    }

    /// Leaves no space for operations of a range, counted from now on.
    pub fn fill(&self, operations: std::ops::Range<usize>) {
        let mut state = self.state();
        let now = state.operations;
        state.full = now + operations.start..now + operations.end;
    }

    pub fn operations(&self) -> usize {
        self.state().operations
    }

    /// Returns how many fates each operation that was not synced may have.
    pub fn unsynced(&self) -> Vec<usize> {
        let state = self.state();
        let writes = state.contents.iter().flat_map(|c| &c.unsynced);
        let fates = writes.map(|change| match change {
            ContentChange::Write(..) => 4,
            ContentChange::Truncate(_) => 2,
        });
        let names = state.unsynced.iter().map(|_| 2);
        fates.chain(names).collect()
    }

    /// Returns what is on the disk after a loss of power, in which the operations that were not
    /// synced have the given fates, in the order of [`Disk::unsynced`].
    pub fn after_power_loss(&self, fates: &[Fate]) -> Self {
        let mut state = self.state().clone();
        let mut fates = fates.iter().copied();
        for contents in &mut state.contents {
            for change in std::mem::take(&mut contents.unsynced) {
                change.apply(&mut contents.durable, fates.next().unwrap());
            }
            contents.visible.clone_from(&contents.durable);
        }
        for change in std::mem::take(&mut state.unsynced) {
            if fates.next().unwrap() == Fate::Kept {
                change.apply(&mut state.durable);
            }
        }
        let names = state.durable.clone();
        let exists = |path: &path::Path| names.contains_key(path);
        state.durable.retain(|path, _| {
            let root = path::Path::new(ROOT);
            path == root || path.ancestors().take_while(|a| *a != root).all(exists)
        });
        state.visible = state.durable.clone();
        state.power_lost_at = None;
        Self::from_state(state)
    }

    fn state(&self) -> sync::MutexGuard<'_, State> {
        self.0.lock().unwrap()
    }

    fn change_names(&self, change: NameChange) -> io::Result<()> {
        let mut state = self.state();
        match change {
            NameChange::Remove(_) => state.count()?,
            NameChange::Create(..) | NameChange::Rename(..) => state.count_growth()?,
        }
        change.apply(&mut state.visible);
        state.unsynced.push(change);
        Ok(())
    }
}

impl State {
    /// Counts an operation. Fails when power is lost.
    fn count(&mut self) -> io::Result<()> {
        if self.power_lost_at.is_some_and(|at| self.operations >= at) {
            return Err(io::Error::other("power is lost"));
        }
        self.operations += 1;
        Ok(())
    }

    /// Counts an operation that needs space. Fails when power is lost or no space is left.
    fn count_growth(&mut self) -> io::Result<()> {
        self.count()?;
        if self.full.contains(&(self.operations - 1)) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn file(&self, path: &path::Path) -> io::Result<usize> {
        match self.visible.get(path) {
            Some(Node::File(number)) => Ok(*number),
            _ => Err(io::ErrorKind::NotFound.into()),
        }
    }

    fn sync_names(&mut self, folder: &path::Path) {
        for change in std::mem::take(&mut self.unsynced) {
            let left_out = match (&change, self.fault) {
                (_, Fault::FolderSyncs) => true,
                (NameChange::Remove(_), fault) => fault == Fault::RemovalSyncs,
                (NameChange::Rename(..), fault) => fault == Fault::RenameSyncs,
                (NameChange::Create(..), _) => false,
            };
            if left_out || change.folder() != Some(folder) {
                self.unsynced.push(change);
            } else {
                change.apply(&mut self.durable);
            }
        }
    }
}

impl NameChange {
    fn apply(&self, names: &mut BTreeMap<path::PathBuf, Node>) {
        match self {
            Self::Create(path, node) => drop(names.insert(path.clone(), node.clone())),
            Self::Rename(from, to, number) => {
                names.remove(from);
                names.insert(to.clone(), Node::File(*number));
            }
            Self::Remove(path) => drop(names.remove(path)),
        }
    }

    fn folder(&self) -> Option<&path::Path> {
        match self {
            Self::Create(path, _) | Self::Rename(_, path, _) | Self::Remove(path) => path.parent(),
        }
    }
}

impl ContentChange {
    fn apply(&self, contents: &mut Vec<u8>, fate: Fate) {
        match (self, fate) {
            (_, Fate::Lost) => {}
            (Self::Truncate(length), _) => contents.truncate(*length),
            (Self::Write(at, bytes), fate) => {
                let length = if fate == Fate::Half {
                    bytes.len() / 2
                } else {
                    bytes.len()
                };
                contents.resize(contents.len().max(at + length), 0);
                contents[*at..at + length].copy_from_slice(&bytes[..length]);
                if fate == Fate::Hole {
                    contents[at + length / 3..at + 2 * length / 3].fill(0);
                }
            }
        }
    }
}

impl file_system::FileSystem for Disk {
    fn create_folder(&self, path: &path::Path) -> io::Result<()> {
        if self.state().visible.contains_key(path) {
            return Err(io::ErrorKind::AlreadyExists.into());
        }
        if !self.state().visible.contains_key(path.parent().unwrap()) {
            return Err(io::ErrorKind::NotFound.into());
        }
        self.change_names(NameChange::Create(path.to_owned(), Node::Folder))
    }

    fn names(&self, folder: &path::Path) -> io::Result<Vec<String>> {
        let state = self.state();
        let names = state.visible.keys().filter(|p| p.parent() == Some(folder));
        let name = |p: &path::PathBuf| p.file_name().unwrap().to_str().unwrap().to_owned();
        Ok(names.map(name).collect())
    }

    fn read(&self, path: &path::Path) -> io::Result<Vec<u8>> {
        let state = self.state();
        Ok(state.contents[state.file(path)?].visible.clone())
    }

    fn create(&self, path: &path::Path) -> io::Result<Box<dyn file_system::File>> {
        let existing = self.state().file(path);
        if existing.is_ok() {
            let mut file = self.append(path)?;
            file.truncate(0)?;
            return Ok(file);
        }
        let number = self.state().contents.len();
        let node = Node::File(number);
        self.change_names(NameChange::Create(path.to_owned(), node))?;
        self.state().contents.push(Contents::default());
        let disk = self.clone();
        Ok(Box::new(File { disk, number }))
    }

    fn append(&self, path: &path::Path) -> io::Result<Box<dyn file_system::File>> {
        let number = self.state().file(path)?;
        let disk = self.clone();
        Ok(Box::new(File { disk, number }))
    }

    fn rename(&self, from: &path::Path, to: &path::Path) -> io::Result<()> {
        let number = self.state().file(from)?;
        self.change_names(NameChange::Rename(from.to_owned(), to.to_owned(), number))
    }

    fn remove(&self, path: &path::Path) -> io::Result<()> {
        self.state().file(path)?;
        self.change_names(NameChange::Remove(path.to_owned()))
    }

    fn sync_folder(&self, path: &path::Path) -> io::Result<()> {
        let mut state = self.state();
        state.count()?;
        state.sync_names(path);
        Ok(())
    }

    fn lock(&self, path: &path::Path) -> io::Result<Box<dyn file_system::Lock>> {
        if self.state().file(path).is_err() {
            self.create(path)?;
        }
        Ok(Box::new(Lock))
    }
}

impl File {
    fn change(&self, change: ContentChange) -> io::Result<()> {
        let mut state = self.disk.state();
        let counted = match change {
            ContentChange::Write(..) => state.count_growth(),
            ContentChange::Truncate(_) => state.count(),
        };
        let fate = match &counted {
            Ok(()) => Fate::Kept,
            // A part of what did not fit may be in the file.
            Err(e) if e.kind() == io::ErrorKind::StorageFull => Fate::Half,
            Err(_) => return counted,
        };
        let contents = &mut state.contents[self.number];
        let before = contents.visible.len();
        change.apply(&mut contents.visible, fate);
        let change = match change {
            ContentChange::Write(at, _) => {
                ContentChange::Write(at, contents.visible[before..].to_vec())
            }
            truncate @ ContentChange::Truncate(_) => truncate,
        };
        contents.unsynced.push(change);
        counted
    }
}

impl file_system::File for File {
    fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        let at = self.disk.state().contents[self.number].visible.len();
        self.change(ContentChange::Write(at, bytes.to_vec()))
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.change(ContentChange::Truncate(length as usize))
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut state = self.disk.state();
        state.count()?;
        if state.fault != Fault::FileSyncs {
            let contents = &mut state.contents[self.number];
            contents.durable.clone_from(&contents.visible);
            contents.unsynced.clear();
        }
        Ok(())
    }
}
