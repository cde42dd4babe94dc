//! The thread that writes batches to disk. It writes all waiting batches at once, with one sync
//! unless they contain snapshots.

use std::sync::mpsc as std_mpsc;
use std::thread;
use std::time;

use tokio::sync::mpsc;

use crate::clock;
use crate::error;
use crate::replica::core::message;
use crate::replica::storage;

/// The interval between two attempts to write to a full disk.
const FULL_RETRY_INTERVAL: clock::Millis = clock::Millis::new(100);

/// The most bytes of entries and snapshots that wait for space on the disk.
const MAX_WAITING_BYTES: usize = 8 << 20;

/// A report of the disk thread.
#[derive(Debug)]
pub enum Report {
    /// All batches up to this number are on disk.
    UpTo(u64),
    /// The disk failed; the member must stop.
    Failed(error::Error),
}

/// Writes batches until their sender is dropped or the disk fails. While the disk is full, the
/// batches wait: the member acknowledges and votes for nothing, a leader commits what a majority of
/// the others has on disk.
pub fn run(
    mut folder: storage::Folder,
    batches: &std_mpsc::Receiver<message::Batch>,
    written: &mpsc::UnboundedSender<Report>,
) {
    while let Ok(first) = batches.recv() {
        let mut waiting = vec![first];
        waiting.extend(batches.try_iter());
        let report = match write_when_possible(&mut folder, waiting, batches) {
            Ok(Some(last)) => Report::UpTo(last),
            Ok(None) => return,
            Err(e) => Report::Failed(e),
        };
        let failed = matches!(report, Report::Failed(_));
        if written.send(report).is_err() || failed {
            return;
        }
    }
}

/// Writes the waiting batches, and those that come while the disk is full. Returns the number of the
/// last one, or `None` when the sender of batches was dropped while the disk was full.
fn write_when_possible(
    folder: &mut storage::Folder,
    mut waiting: Vec<message::Batch>,
    batches: &std_mpsc::Receiver<message::Batch>,
) -> error::Result<Option<u64>> {
    let mut full_since = None;
    loop {
        let last = waiting.last().map(|b| b.number);
        match folder.write(&waiting) {
            Ok(()) => {
                if let Some(since) = full_since {
                    log_room(since);
                }
                return Ok(last);
            }
            Err(e) if e.is_storage_full() && size(&waiting) <= MAX_WAITING_BYTES => {
                waiting.drain(..folder.written());
                full_since.get_or_insert_with(|| {
                    log_full(&e);
                    time::Instant::now()
                });
            }
            Err(e) => return Err(e),
        }
        thread::sleep(FULL_RETRY_INTERVAL.as_duration());
        loop {
            match batches.try_recv() {
                Ok(batch) => waiting.push(batch),
                Err(std_mpsc::TryRecvError::Empty) => break,
                Err(std_mpsc::TryRecvError::Disconnected) => return Ok(None),
            }
        }
    }
}

fn size(batches: &[message::Batch]) -> usize {
    let entry = |e: &message::Entry| match &e.payload {
        message::Payload::Command(bytes) => bytes.len(),
        message::Payload::Empty | message::Payload::Members(_) => 0,
    };
    let batch = |b: &message::Batch| {
        let snapshot = b.snapshot.as_ref().map_or(0, |s| s.data.len());
        snapshot + b.entries.iter().map(entry).sum::<usize>()
    };
    batches.iter().map(batch).sum()
}

fn log_full(e: &error::Error) {
    metrics::gauge!("buckthorncleat_disk_full").set(1.0);
    metrics::counter!("buckthorncleat_disk_full_total").increment(1);
    log::error!(event = "disk_full", detail = e.to_string(); "the disk of the data folder is full; this member acknowledges nothing until space is freed: {e}");
}

fn log_room(since: time::Instant) {
    let full_ms = since.elapsed().as_millis() as u64;
    metrics::gauge!("buckthorncleat_disk_full").set(0.0);
    log::info!(event = "disk_has_space", full_ms; "the disk of the data folder has space again after {full_ms} ms");
}
