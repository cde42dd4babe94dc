//! Random writes to a data folder, and the contents that may be read back after them.

use std::path;
use std::sync;

use buckthorncleat::id;
use buckthorncleat::replica::core;
use buckthorncleat::replica::core::members;
use buckthorncleat::replica::core::message;
use buckthorncleat::replica::storage;

use super::disk;

/// A data folder on a simulated disk, and what it must contain.
#[derive(Clone, Debug)]
pub struct Member {
    pub disk: disk::Disk,
    /// The identity, once the folder was opened.
    node: Option<message::NodeId>,
    acknowledged: core::Stored,
    /// The batches of a write that did not return without an error.
    uncertain: Vec<message::Batch>,
    /// Makes the contents of entries differ.
    written: u64,
}

impl Member {
    pub fn new(fault: disk::Fault) -> Self {
        Self {
            disk: disk::Disk::new(fault),
            node: None,
            acknowledged: core::Stored::default(),
            uncertain: Vec::new(),
            written: 0,
        }
    }

    /// Returns a copy with a disk of its own.
    pub fn fork(&self) -> Self {
        Self {
            disk: self.disk.fork(),
            ..self.clone()
        }
    }

    /// Returns whether all writes were acknowledged.
    pub fn is_acknowledged(&self) -> bool {
        self.uncertain.is_empty()
    }

    /// Loses power, with the given fates of what was not synced.
    pub fn lose_power(&mut self, fates: &[disk::Fate]) {
        self.disk = self.disk.after_power_loss(fates);
    }

    /// Opens the folder. `Ok(None)` when the disk failed meanwhile.
    ///
    /// # Errors
    ///
    /// Fails when the folder is refused or does not contain what was acknowledged.
    pub fn open(&mut self) -> Result<Option<storage::Folder>, String> {
        let path = path::Path::new(disk::ROOT).join("groups/control-0");
        let files = sync::Arc::new(self.disk.clone());
        let instance = "control-0".parse().unwrap();
        let (folder, stored) = match storage::Folder::open_in(files, &path, &instance) {
            Ok(opened) => opened,
            Err(e) if e.classify() == buckthorncleat::Category::Io => return Ok(None),
            Err(e) => return Err(e.to_string()),
        };
        let node = self.node.get_or_insert_with(|| folder.node().clone());
        if node != folder.node() {
            return Err("the folder has another identity".to_owned());
        }
        let possible = possible_contents(&self.acknowledged, &self.uncertain);
        let is_hard_state = |p: &core::Stored| p.hard_state == stored.hard_state;
        let is_log =
            |p: &core::Stored| p.snapshot == stored.snapshot && p.entries == stored.entries;
        if !possible.iter().any(|p| is_hard_state(p) && is_log(p)) {
            return Err(format!("expected one of {possible:?}, read {stored:?}"));
        }
        self.acknowledged = stored;
        self.uncertain.clear();
        Ok(Some(folder))
    }

    /// Writes random batches until the disk fails, `calls` times at most.
    pub fn write(&mut self, folder: &mut storage::Folder, calls: usize, rng: &mut impl rand::Rng) {
        for _ in 0..calls {
            let mut model = self.acknowledged.clone();
            let mut batches = Vec::new();
            for _ in 0..rng.random_range(1..=3) {
                let batch = self.random_batch(&model, rng);
                apply(&mut model, &batch, |_| ());
                batches.push(batch);
            }
            self.uncertain = batches.clone();
            while let Err(e) = folder.write(&batches) {
                if !e.is_storage_full() {
                    return;
                }
                batches.drain(..folder.written());
            }
            self.uncertain.clear();
            self.acknowledged = model;
        }
    }

    fn random_batch(&mut self, model: &core::Stored, rng: &mut impl rand::Rng) -> message::Batch {
        let Some(snapshot) = &model.snapshot else {
            return self.snapshot(message::Position::default(), true, model);
        };
        let covered = snapshot.metadata.at;
        let last = model.entries.last().map_or(covered, |e| e.at);
        match rng.random_range(0..10) {
            0..5 => self.entries(last, rng.random_range(1..4), model),
            5 => {
                let from = rng.random_range(covered.index.as_u64()..=last.index.as_u64());
                let mut batch = self.entries(position(from, 0), rng.random_range(1..3), model);
                let term = model.hard_state.term.as_u64() + 1;
                batch.hard_state = Some(hard_state(term));
                for entry in &mut batch.entries {
                    entry.at.term = id::Term::new(term);
                }
                batch
            }
            6..9 if last.index > covered.index => {
                let at = model.entries[rng.random_range(0..model.entries.len())].at;
                self.snapshot(at, false, model)
            }
            9 => {
                let index = covered.index.as_u64() + rng.random_range(1..4);
                let term = model.hard_state.term.as_u64() + 1;
                let mut batch = self.snapshot(position(index, term), true, model);
                batch.hard_state = Some(hard_state(term));
                batch
            }
            _ => message::Batch {
                hard_state: Some(hard_state(model.hard_state.term.as_u64() + 1)),
                ..message::Batch::default()
            },
        }
    }

    fn entries(
        &mut self,
        after: message::Position,
        count: u64,
        model: &core::Stored,
    ) -> message::Batch {
        let mut entry = |index| {
            self.written += 1;
            message::Entry {
                at: position(index, model.hard_state.term.as_u64()),
                payload: message::Payload::Command(self.written.to_le_bytes().to_vec()),
            }
        };
        let first = after.index.as_u64() + 1;
        message::Batch {
            entries: (first..first + count).map(&mut entry).collect(),
            ..message::Batch::default()
        }
    }

    fn snapshot(
        &mut self,
        at: message::Position,
        reset: bool,
        model: &core::Stored,
    ) -> message::Batch {
        self.written += 1;
        let metadata = message::SnapshotMetadata {
            group: id::Incarnation::new(7),
            at,
            members: members::Membership::default(),
        };
        let data = self.written.to_le_bytes().to_vec();
        message::Batch {
            snapshot: Some(sync::Arc::new(message::Snapshot { metadata, data })),
            reset,
            hard_state: reset.then(|| model.hard_state.clone()),
            ..message::Batch::default()
        }
    }
}

fn position(index: u64, term: u64) -> message::Position {
    message::Position {
        index: id::LogIndex::new(index),
        term: id::Term::new(term),
    }
}

fn hard_state(term: u64) -> message::HardState {
    message::HardState {
        term: id::Term::new(term),
        vote: None,
    }
}

/// Returns what may be read back: the acknowledged contents, and any number of the records of the
/// batches that followed.
fn possible_contents(
    acknowledged: &core::Stored,
    uncertain: &[message::Batch],
) -> Vec<core::Stored> {
    let mut model = acknowledged.clone();
    let mut possible = vec![model.clone()];
    for batch in uncertain {
        apply(&mut model, batch, |contents| {
            possible.push(contents.clone())
        });
    }
    possible
}

/// Applies a batch record by record, and shows the contents after each.
fn apply(model: &mut core::Stored, batch: &message::Batch, mut show: impl FnMut(&core::Stored)) {
    if let Some(snapshot) = &batch.snapshot {
        let covered = snapshot.metadata.at.index;
        let keeps = |e: &message::Entry| !batch.reset && e.at.index > covered;
        model.entries.retain(keeps);
        model.snapshot = Some(message::Snapshot::clone(snapshot));
        show(model);
    }
    if let Some(hard_state) = &batch.hard_state {
        model.hard_state = hard_state.clone();
        show(model);
    }
    for entry in &batch.entries {
        model.entries.retain(|e| e.at.index < entry.at.index);
        model.entries.push(entry.clone());
        show(model);
    }
}
