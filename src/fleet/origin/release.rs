//! When the leader gives routers the servers of a new software version.
//!
//! Routers tell the leader of streams only of services with several versions. So a version that comes
//! beside another one is committed first, which makes the service a mixed one in the next summaries,
//! and its servers are given to routers once these have told their streams.

use crate::clock;
use crate::fleet::origin;
use crate::id;
use crate::sorted;

/// How long routers tell their streams after a summary that asks for them: some round trips.
const TELL_TIME: clock::Millis = clock::Millis::new(150);

/// The longest time for which a version is held back; two report intervals of 300 routers.
const MAX_HOLD: clock::Millis = clock::Millis::new(1_500);

/// How long after most routers were lost a version is held back, so that their callers can come back
/// while the streams that these routers told nobody of can still be told apart.
const RETURN_TIME: clock::Millis = clock::Millis::new(3_000);

/// A router without a summary for this time is not waited for.
const SILENT_AFTER: clock::Millis = clock::Millis::new(1_500);

/// The versions that no router has got yet.
#[derive(Debug, Default)]
pub(super) struct Release {
    /// With the time since which they are certainly in the replicated log.
    held: sorted::Map<origin::Origin, Option<clock::Millis>>,
    /// When each router had its last summary.
    summaries: sorted::Map<id::InstanceId, Summary>,
    /// Since when all routers know of the versions that are held.
    all_know_since: Option<clock::Millis>,
}

/// What the leader knows of a router.
#[derive(Clone, Copy, Debug)]
struct Summary {
    last: clock::Millis,
    /// When the router had its first one since it started; `None` when that was under another leader.
    first: Option<clock::Millis>,
}

impl Release {
    /// Records that a router gets a summary, which `is_first` after its start.
    pub(super) fn record_summary(
        &mut self,
        now: clock::Millis,
        router: &id::InstanceId,
        is_first: bool,
    ) {
        let first = self.summaries.get(router).and_then(|s| s.first);
        let first = if is_first { Some(now) } else { first };
        let summary = Summary { last: now, first };
        self.summaries.insert(router.clone(), summary);
    }

    /// Returns whether half of the routers started lately.
    fn were_most_lost(&self, now: clock::Millis) -> bool {
        let is_new = |s: &&Summary| s.first.is_some_and(|at| now < at + RETURN_TIME);
        let new = self.summaries.values().filter(is_new).count();
        new > 0 && 2 * new >= self.summaries.len()
    }

    /// Holds a version back that no router has got.
    pub(super) fn hold(&mut self, version: origin::Origin) {
        self.held.get_or_insert_with(version, || None);
        self.all_know_since = None;
    }

    /// Returns the versions that are held back.
    pub(super) fn held(&self) -> Vec<&origin::Origin> {
        self.held.keys().collect()
    }

    /// Records which versions are in the log, and releases those that need not be held any longer:
    /// `is_needed` tells of one that no other listed version of its service stands beside.
    pub(super) fn update(
        &mut self,
        now: clock::Millis,
        is_committed: impl Fn(&origin::Origin) -> bool,
        is_needed: impl Fn(&origin::Origin) -> bool,
    ) {
        for (version, since) in self.held.iter_mut() {
            if since.is_none() && is_committed(version) {
                *since = Some(now);
            }
        }
        self.summaries.retain(|_, at| now < at.last + SILENT_AFTER);
        let newest = self.held.values().copied().max().flatten();
        let all_know = newest.is_some_and(|at| self.summaries.values().all(|s| s.last >= at));
        self.all_know_since = self.all_know_since.or(all_know.then_some(now));
        let were_lost = self.were_most_lost(now);
        let is_told = self.all_know_since.is_some_and(|at| now >= at + TELL_TIME);
        let max_hold = if were_lost {
            MAX_HOLD + RETURN_TIME
        } else {
            MAX_HOLD
        };
        self.held.retain(|version, since| match since {
            None => true,
            Some(since) => {
                (!is_told || were_lost) && now < *since + max_hold && !is_needed(version)
            }
        });
    }
}
