//! Predicts the end of KV cache transfers that share the link of one server.

use crate::clock;
use crate::controller::scheduler::reservation;

/// A transfer of KV cache that runs, or will run after its prefill.
#[derive(Clone, Debug)]
pub struct Transfer {
    pub key: reservation::Key,
    /// When the prefill ended, or is predicted to end.
    pub ready_at: clock::Millis,
    pub bytes: u64,
    pub prefill_done: bool,
}

/// The predicted effect of one more transfer on a link.
#[derive(Clone, Copy, Debug)]
pub struct Prediction {
    /// When the transfer ends, in milliseconds.
    pub end: f64,
    /// Whether this transfer, or another one that has not exceeded the limit yet, takes longer than
    /// [`Link::max_duration`].
    pub too_long: bool,
}

/// The state of a server's link at the time of a decision.
#[derive(Clone, Copy, Debug)]
pub struct Link<'a> {
    /// The transfers that use the link, in the order of [`Transfer::ready_at`].
    pub transfers: &'a [Transfer],
    pub now: clock::Millis,
    /// The rate, in bytes per millisecond.
    pub rate: f64,
    /// The longest time that a transfer may take from when it is ready, in milliseconds.
    pub max_duration: f64,
}

/// A transfer on the link, with times in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Job {
    /// When the transfer is ready.
    ready: f64,
    /// When what remains of the transfer can start.
    start: f64,
    /// How long what remains takes when it has the link to itself.
    duration: f64,
}

impl Link<'_> {
    /// Predicts a transfer of `bytes` that is ready at `ready`, in milliseconds.
    ///
    /// Transfers share the link evenly. Each transfer waits at most for all transfers that were
    /// ready before it, and for those that become ready while it runs.
    pub fn predict(&self, ready: f64, bytes: f64) -> Prediction {
        let duration = bytes / self.rate;
        if self.transfers.is_empty() {
            return Prediction {
                end: ready + duration,
                too_long: duration > self.max_duration,
            };
        }
        let mut jobs = self.jobs();
        let position = jobs.partition_point(|j| j.ready <= ready);
        let job = Job {
            ready,
            start: ready,
            duration,
        };
        jobs.insert(position, job);
        let ends = self.ends(&jobs);
        let oldest = self.now.as_u64() as f64 - self.max_duration;
        let mut timely = jobs.iter().zip(&ends).filter(|(j, _)| j.ready >= oldest);
        Prediction {
            end: ends[position],
            too_long: timely.any(|(j, end)| end - j.ready > self.max_duration),
        }
    }

    fn jobs(&self) -> Vec<Job> {
        let now = self.now.as_u64() as f64;
        let sending = self.transfers.iter().filter(|t| t.prefill_done).count();
        let job = |transfer: &Transfer| {
            let mut ready = transfer.ready_at.as_u64() as f64;
            let mut duration = transfer.bytes as f64 / self.rate;
            if transfer.prefill_done {
                let sent_ms = (now - ready).max(0.0) / sending as f64;
                duration = (duration - sent_ms).max(0.0);
            } else {
                ready = ready.max(now);
            }
            Job {
                ready,
                start: ready.max(now),
                duration,
            }
        };
        let mut jobs: Vec<Job> = self.transfers.iter().map(job).collect();
        jobs.sort_by(|a, b| a.ready.total_cmp(&b.ready));
        jobs
    }

    fn ends(&self, jobs: &[Job]) -> Vec<f64> {
        let mut free_at: f64 = 0.0;
        let mut ends = Vec::with_capacity(jobs.len());
        for (at, job) in jobs.iter().enumerate() {
            free_at = free_at.max(job.start) + job.duration;
            let mut end = free_at;
            for later in &jobs[at + 1..] {
                if later.start >= end {
                    break;
                }
                end += later.duration;
            }
            ends.push(end);
        }
        ends
    }
}
