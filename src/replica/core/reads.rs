//! Reads: each is answered after a heartbeat round that began later and that a quorum answered.

use crate::clock;
use crate::replica::core;
use crate::replica::core::leader;
use crate::replica::core::message;

use message::{Output, Refusal};

impl core::Replica {
    /// Takes a read, to be answered once a quorum has confirmed the lead after now.
    pub(super) fn read(&mut self, _now: clock::Millis, request: u64) {
        let Some(leadership) = self.leadership_mut() else {
            self.refuse(request, Refusal::NotLeader);
            return;
        };
        let round = leadership.round + 1;
        leadership
            .reads
            .push(leader::PendingRead { request, round });
    }

    /// Starts a heartbeat round when reads wait for one and none is under way.
    pub(super) fn flush_reads(&mut self, now: clock::Millis) {
        let Some(leadership) = self.leadership() else {
            return;
        };
        let waits = leadership.reads.iter().any(|r| r.round > leadership.round);
        let busy = leadership.reads.iter().any(|r| r.round <= leadership.round);
        if waits && !busy {
            self.start_round(now);
            self.answer_reads();
        }
    }

    pub(super) fn answer_reads(&mut self) {
        let Some((joined, leadership)) = self.leading() else {
            return;
        };
        if leadership.first > joined.committed {
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
