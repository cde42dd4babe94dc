//! Linearizable reads (read-index): a read completes once a quorum has responded to a heartbeat
//! round that started after the read arrived.

use crate::clock;
use crate::replica::core;
use crate::replica::core::leader;
use crate::replica::core::message;

use message::{Output, Refusal};

impl core::Replica {
    /// Queues a read, which completes once a quorum has confirmed the leadership after its arrival.
    pub(super) fn queue_read(&mut self, _now: clock::Millis, request: u64) {
        let Some(leadership) = self.leadership_mut() else {
            self.refuse(request, Refusal::NotLeader);
            return;
        };
        let round = leadership.round + 1;
        leadership
            .reads
            .push(leader::PendingRead { request, round });
    }

    /// Starts a heartbeat round for the queued reads, unless earlier reads still wait for a round
    /// that has started.
    pub(super) fn flush_reads(&mut self, now: clock::Millis) {
        let Some(leadership) = self.leadership() else {
            return;
        };
        let has_queued = leadership.reads.iter().any(|r| r.round > leadership.round);
        let has_started = leadership.reads.iter().any(|r| r.round <= leadership.round);
        if has_queued && !has_started {
            self.start_heartbeat_round(now);
            self.complete_reads();
        }
    }

    /// Completes the reads whose heartbeat round a quorum has confirmed, once the leader has
    /// committed an entry of its term.
    pub(super) fn complete_reads(&mut self) {
        let Some((joined, leadership)) = self.as_leader() else {
            return;
        };
        if leadership.first_index > joined.committed {
            return;
        }
        let me = &self.settings.node;
        let confirmed = |round: u64| {
            core::is_quorum(joined.log.members(), |voter| {
                let progress = leadership.others.get(voter);
                voter == me || progress.is_some_and(|p| p.acked_round >= round)
            })
        };
        let newest = leadership.reads.iter().map(|r| r.round);
        let newest = newest
            .filter(|r| *r <= leadership.round && confirmed(*r))
            .max();
        let Some(newest) = newest else {
            return;
        };
        let Some(leadership) = self.leadership_mut() else {
            return;
        };
        let ready = leadership.reads.extract_if(.., |r| r.round <= newest);
        let ready: Vec<u64> = ready.map(|r| r.request).collect();
        for request in ready {
            self.outputs.push(Output::ReadReady { request });
        }
    }
}
