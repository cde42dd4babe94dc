//! The named tasks of a daemon, which its shutdown waits for within a bound.

use std::panic;

use futures_util::FutureExt as _;
use tokio::task;
use tokio::time;

use crate::clock;
use crate::daemon;
use crate::error;

/// How long a daemon waits for its tasks after it has told them to stop.
pub const STOP_TIMEOUT: clock::Millis = clock::Millis::new(3_000);

/// Tasks of a daemon. Dropping it aborts those that still run.
#[derive(Debug, Default)]
pub struct Tasks {
    set: task::JoinSet<error::Result<()>>,
    running: Vec<(task::Id, &'static str)>,
}

impl Tasks {
    /// Starts a task; `name` is for the log of a shutdown that waits for it.
    pub fn spawn(
        &mut self,
        name: &'static str,
        work: impl Future<Output = error::Result<()>> + Send + 'static,
    ) {
        let id = self.set.spawn(work).id();
        self.running.push((id, name));
    }

    /// Returns the names of the tasks that have not been joined.
    pub fn running(&self) -> Vec<&'static str> {
        self.running.iter().map(|(_, name)| *name).collect()
    }

    /// Waits until a task ends and returns its result; `None` when there is none.
    ///
    /// # Errors
    ///
    /// The result is the task's own error, or one that reports its panic.
    pub async fn join_next(&mut self) -> Option<error::Result<()>> {
        let joined = self.set.join_next_with_id().await?;
        let id = joined
            .as_ref()
            .map_or_else(task::JoinError::id, |(id, _)| *id);
        self.running.retain(|(running, _)| *running != id);
        Some(daemon::task_result(joined.map(|(_, result)| result)))
    }

    /// Waits for all tasks, which have been told to stop, and returns the first error. From half of
    /// `limit` on it logs which ones still run; at its end it aborts them.
    ///
    /// # Errors
    ///
    /// Fails with the first error of a task. A task that is aborted is none.
    pub async fn join_all(&mut self, limit: clock::Millis) -> error::Result<()> {
        let half = clock::Millis::new(limit.as_u64() / 2);
        let mut result = Ok(());
        if self.join_within(half, &mut result).await {
            return result;
        }
        log::warn!(
            event = "shutdown_waits",
            tasks = self.running().join(", "),
            waited_ms = half.as_u64();
            "tasks still run after they were told to stop"
        );
        if !self.join_within(limit - half, &mut result).await {
            log::error!(
                event = "shutdown_cut",
                tasks = self.running().join(", "),
                waited_ms = limit.as_u64();
                "tasks did not end; ending the process without them"
            );
            self.set.abort_all();
        }
        result
    }

    /// Joins tasks for a time; returns whether all have ended.
    async fn join_within(&mut self, limit: clock::Millis, result: &mut error::Result<()>) -> bool {
        let join = async {
            while let Some(ended) = self.join_next().await {
                if result.is_ok() {
                    *result = ended;
                }
            }
        };
        time::timeout(limit.as_duration(), join).await.is_ok()
    }
}

/// Awaits work of a library that may panic instead of returning an error.
///
/// # Errors
///
/// Returns the message of the panic; empty when it has none.
pub async fn catch_panic<T>(work: impl Future<Output = T>) -> Result<T, String> {
    let ended = panic::AssertUnwindSafe(work).catch_unwind().await;
    ended.map_err(|payload| {
        let text = payload.downcast_ref::<&str>().map(ToString::to_string);
        let text = text.or_else(|| payload.downcast_ref::<String>().cloned());
        text.unwrap_or_default()
    })
}
