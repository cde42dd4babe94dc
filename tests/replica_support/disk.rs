//! A simulated disk. A crash keeps all synced batches and a random part of the others.

use std::collections;

use buckthorncleat::replica::core;
use buckthorncleat::replica::core::message;

#[derive(Default)]
pub struct Disk {
    durable: core::Stored,
    unsynced: collections::VecDeque<message::Batch>,
}

impl Disk {
    pub fn write(&mut self, batch: message::Batch) {
        self.unsynced.push_back(batch);
    }

    /// Syncs a random number of the waiting batches and returns the number of the last one.
    pub fn sync(&mut self, rng: &mut impl rand::Rng) -> Option<u64> {
        let count = rng.random_range(0..=self.unsynced.len());
        let mut last = None;
        for batch in self.unsynced.drain(..count).collect::<Vec<_>>() {
            last = Some(batch.number);
            apply_batch(&mut self.durable, batch);
        }
        last
    }

    /// Returns the number of the last waiting batch without syncing anything, for an injected bug.
    pub fn last_unsynced(&self) -> Option<u64> {
        self.unsynced.back().map(|b| b.number)
    }

    /// Drops the batches that were not synced, except for a random prefix of their records.
    pub fn crash(&mut self, rng: &mut impl rand::Rng) {
        let complete = rng.random_range(0..=self.unsynced.len());
        let rest: Vec<message::Batch> = self.unsynced.drain(..).collect();
        for (number, mut batch) in rest.into_iter().enumerate() {
            if number < complete {
                apply_batch(&mut self.durable, batch);
                continue;
            }
            if batch.snapshot.is_some() && rng.random() {
                // Only the rename of the snapshot file is durable.
                batch.reset = false;
                batch.hard_state = None;
                batch.entries.clear();
                apply_batch(&mut self.durable, batch);
            } else if batch.snapshot.is_none() {
                let kept = rng.random_range(0..=batch.entries.len());
                batch.entries.truncate(kept);
                apply_batch(&mut self.durable, batch);
            }
            return;
        }
    }

    pub fn load(&self) -> core::Stored {
        self.durable.clone()
    }
}

/// Applies a batch with the same result as `storage::Folder` gives when it writes the batch and is
/// opened again.
fn apply_batch(stored: &mut core::Stored, batch: message::Batch) {
    if let Some(snapshot) = batch.snapshot {
        let at = snapshot.metadata.at;
        let covered = stored.entries.iter().rposition(|e| e.at.index <= at.index);
        let continues = covered.is_none_or(|c| stored.entries[c].at == at);
        if continues && !batch.reset {
            stored.entries.retain(|e| e.at.index > at.index);
        } else {
            stored.entries.clear();
        }
        stored.snapshot = Some(message::Snapshot::clone(&snapshot));
    }
    if let Some(hard_state) = batch.hard_state {
        stored.hard_state = hard_state;
    }
    for entry in batch.entries {
        stored.entries.retain(|e| e.at.index < entry.at.index);
        stored.entries.push(entry);
    }
}
