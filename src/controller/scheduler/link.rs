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
    pub begun: bool,
}

/// What one more transfer would mean for a link.
#[derive(Clone, Copy, Debug)]
pub struct Outlook {
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
    pub life: f64,
}

#[derive(Clone, Copy, Debug)]
struct Share {
    ready: f64,
    starts: f64,
    takes: f64,
}

impl Link<'_> {
    /// Predicts a transfer of `bytes` that is ready at `ready`.
    ///
    /// The link is shared evenly. Each transfer waits at most for all that was ready before it,
    /// and for what becomes ready while it is under way.
    pub fn predict(&self, ready: f64, bytes: f64) -> Outlook {
        let takes = bytes / self.rate;
        if self.transfers.is_empty() {
            return Outlook {
                end: ready + takes,
                too_long: takes > self.life,
            };
        }
        let mut shares = self.shares();
        let own = shares.partition_point(|s| s.ready <= ready);
        let share = Share {
            ready,
            starts: ready,
            takes,
        };
        shares.insert(own, share);
        let ends = self.ends(&shares);
        let oldest = self.now.as_u64() as f64 - self.life;
        let mut hopeful = shares.iter().zip(&ends).filter(|(s, _)| s.ready >= oldest);
        Outlook {
            end: ends[own],
            too_long: hopeful.any(|(s, end)| end - s.ready > self.life),
        }
    }

    fn shares(&self) -> Vec<Share> {
        let now = self.now.as_u64() as f64;
        let begun = self.transfers.iter().filter(|t| t.begun).count();
        let share = |transfer: &Transfer| {
            let mut ready = transfer.ready_at.as_u64() as f64;
            let mut takes = transfer.bytes as f64 / self.rate;
            if transfer.begun {
                let gone = (now - ready).max(0.0) / begun as f64;
                takes = (takes - gone).max(0.0);
            } else {
                ready = ready.max(now);
            }
            Share {
                ready,
                starts: ready.max(now),
                takes,
            }
        };
        let mut shares: Vec<Share> = self.transfers.iter().map(share).collect();
        shares.sort_by(|a, b| a.ready.total_cmp(&b.ready));
        shares
    }

    fn ends(&self, shares: &[Share]) -> Vec<f64> {
        let mut free_at: f64 = 0.0;
        let mut ends = Vec::with_capacity(shares.len());
        for (at, share) in shares.iter().enumerate() {
            free_at = free_at.max(share.starts) + share.takes;
            let mut end = free_at;
            for later in &shares[at + 1..] {
                if later.starts >= end {
                    break;
                }
                end += later.takes;
            }
            ends.push(end);
        }
        ends
    }
}
