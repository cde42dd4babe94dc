//! What routers are told of the evacuations, and where those are in force.

use std::sync;

use crate::fleet::evacuation;
use crate::fleet::ledger;
use crate::keeper::aggregator;

impl aggregator::Aggregator {
    /// Returns the notice of the evacuations for routers, and takes note of those that have ended.
    pub(super) fn evacuation_notice(&self) -> evacuation::Notice {
        let now = self.clock.now();
        let ends = self.evacuation_ends.lock();
        let mut ends = ends.unwrap_or_else(sync::PoisonError::into_inner);
        self.group.with_state(|s| {
            ends.observe(now, s.evacuations());
            ends.notice(now, s.evacuations())
        })
    }

    /// Returns how many routers report, and those of them where a revision of the evacuations is not in
    /// force yet; `None` when this member does not lead.
    pub fn evacuation_progress(&self, revision: evacuation::Revision) -> Option<ledger::Progress> {
        let leader_state = self.leader_state();
        leader_state.term?;
        Some(
            leader_state
                .ledger
                .evacuation_progress(self.clock.now(), revision),
        )
    }

    /// Takes note of evacuations that have ended, and logs once for each revision that it is in force at
    /// all routers. Followers do so too, for the time when they lead.
    pub(super) fn check_evacuations(&self) {
        let notice = self.evacuation_notice();
        let revision = notice.revision;
        let progress = self.evacuation_progress(revision);
        let behind = progress.as_ref().map_or(0, |p| p.behind.len());
        metrics::gauge!("buckthorncleat_evacuated_data_centres")
            .set(notice.data_centres.len() as f64);
        metrics::gauge!("buckthorncleat_evacuations_revision").set(revision.as_u64() as f64);
        metrics::gauge!("buckthorncleat_evacuations_behind").set(behind as f64);
        let is_none = revision == evacuation::Revision::default();
        let Some(progress) = progress.filter(|p| p.routers > 0 && p.behind.is_empty() && !is_none)
        else {
            return;
        };
        let mut leader_state = self.leader_state();
        if leader_state.evacuations_in_force.replace(revision) == Some(revision) {
            return;
        }
        log::info!(
            event = "evacuations_in_force",
            revision = revision.as_u64(),
            routers = progress.routers;
            "all routers that report have the newest evacuations in force"
        );
    }
}
