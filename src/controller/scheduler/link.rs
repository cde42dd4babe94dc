//! Predictions for transfers that share one end's link.

use crate::clock;
use crate::controller::scheduler::reservation;

/// A transfer of KV cache that is under way or will be.
#[derive(Clone, Debug)]
pub struct Transfer {
    /// Its reservation.
    pub key: reservation::Key,
    /// When the prefill ended or likely ends.
    pub ready_at: clock::Millis,
    /// Its size.
    pub bytes: u64,
    /// Whether the prefill has ended.
    pub prefill_done: bool,
}

/// What one more transfer would mean for a link.
#[derive(Clone, Copy, Debug)]
pub struct Prediction {
    /// When it would end, in milliseconds.
    pub end: f64,
    /// Whether it, or another that still has time, would be under way for too long.
    pub too_long: bool,
}

/// A link at the time of a decision.
#[derive(Clone, Copy, Debug)]
pub struct Link<'a> {
    /// The transfers that use it, in the order in which they are ready.
    pub transfers: &'a [Transfer],
    /// The time.
    pub now: clock::Millis,
    /// Its rate in bytes a millisecond.
    pub rate: f64,
    /// How long a transfer may be under way, in milliseconds.
    pub max_duration: f64,
}

#[derive(Clone, Copy, Debug)]
struct Job {
    ready: f64,
    start: f64,
    duration: f64,
}

impl Link<'_> {
    /// Predicts a transfer of `bytes` that is ready at `ready`.
    ///
    /// The link is shared evenly. Each transfer waits at most for all that was ready before it,
    /// and for what becomes ready while it is under way.
    pub fn predict(&self, ready: f64, bytes: f64) -> Prediction {
        let duration = bytes / self.rate;
        if self.transfers.is_empty() {
            return Prediction {
                end: ready + duration,
                too_long: duration > self.max_duration,
            };
        }
        let mut jobs = self.jobs();
        let position = jobs.partition_point(|s| s.ready <= ready);
        let job = Job {
            ready,
            start: ready,
            duration,
        };
        jobs.insert(position, job);
        let ends = self.ends(&jobs);
        let oldest = self.now.as_u64() as f64 - self.max_duration;
        let mut timely = jobs.iter().zip(&ends).filter(|(s, _)| s.ready >= oldest);
        Prediction {
            end: ends[position],
            too_long: timely.any(|(s, end)| end - s.ready > self.max_duration),
        }
    }

    fn jobs(&self) -> Vec<Job> {
        let now = self.now.as_u64() as f64;
        let prefill_done = self.transfers.iter().filter(|t| t.prefill_done).count();
        let job = |transfer: &Transfer| {
            let mut ready = transfer.ready_at.as_u64() as f64;
            let mut duration = transfer.bytes as f64 / self.rate;
            if transfer.prefill_done {
                let sent_ms = (now - ready).max(0.0) / prefill_done as f64;
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
