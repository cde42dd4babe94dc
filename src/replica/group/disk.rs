//! The thread that writes batches to disk. It writes all waiting batches at once, with one sync
//! unless they contain snapshots.

use std::sync::mpsc as std_mpsc;

use tokio::sync::mpsc;

use crate::error;
use crate::replica::core::message;
use crate::replica::storage;

/// A report of the disk thread.
#[derive(Debug)]
pub enum Report {
    /// All batches up to this number are on disk.
    UpTo(u64),
    /// The disk failed; the member must stop.
    Failed(error::Error),
}

/// Writes batches until their sender is dropped or the disk fails.
pub fn run(
    mut folder: storage::Folder,
    batches: &std_mpsc::Receiver<message::Batch>,
    written: &mpsc::UnboundedSender<Report>,
) {
    while let Ok(first) = batches.recv() {
        let mut waiting = vec![first];
        waiting.extend(batches.try_iter());
        let last = waiting[waiting.len() - 1].number;
        let report = match folder.write(&waiting) {
            Ok(()) => Report::UpTo(last),
            Err(e) => Report::Failed(e),
        };
        let failed = matches!(report, Report::Failed(_));
        if written.send(report).is_err() || failed {
            return;
        }
    }
}
