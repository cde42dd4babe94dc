//! Commits what accounts are allowed to use, and takes over what former leaders committed.

use tokio::sync::watch;
use tokio::time;

use crate::clock;
use crate::fleet::allowance;
use crate::id;
use crate::keeper::aggregator;
use crate::peer::server;
use crate::peer::trailer;
use crate::state::command;

/// Interval between two checks whether more is to be allowed to accounts. The allowance planner
/// decides how often that is committed.
const ALLOW_INTERVAL: clock::Millis = clock::Millis::new(50);

impl aggregator::Aggregator {
    /// Counts the use of quotas that the replicated log has from former leaders.
    pub(super) fn take_over_use(&self, leader_state: &mut aggregator::LeaderState) {
        let now = self.clock.now();
        let ledger = &mut leader_state.ledger;
        let accounts = self.group.with_state(|s| {
            if s.feature_level().0 >= trailer::CURRENT {
                ledger.set_allowed(s.allowances());
            }
            ledger.take_over(now, s.allowances())
        });
        log::info!(
            event = "quotas_taken_over",
            accounts = accounts;
            "counting what accounts may have used under former leaders"
        );
    }

    /// Commits what accounts are allowed while this member leads, until `stop` becomes true.
    pub async fn allow_use(&self, mut stop: watch::Receiver<bool>) {
        let mut interval = time::interval(ALLOW_INTERVAL.as_duration());
        interval.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = interval.tick() => {}
                () = server::stopped(&mut stop) => return,
            }
            let Some((term, batch)) = self.next_allowance() else {
                continue;
            };
            let accounts = batch.accounts.len();
            let is_committed = self.commit(term, &command::Command::Allow(batch)).await;
            metrics::counter!("buckthorncleat_allowances_total", "committed" => is_committed.to_string())
                .increment(1);
            let mut leader_state = self.leader_state();
            if is_committed && leader_state.term == Some(term) {
                let ledger = &mut leader_state.ledger;
                self.group
                    .with_state(|s| ledger.set_allowed(s.allowances()));
            } else {
                log::warn!(
                    event = "allowance_not_committed",
                    accounts = accounts;
                    "routers get no further shares of quotas until an allowance is committed"
                );
            }
        }
    }

    fn next_allowance(&self) -> Option<(id::Term, allowance::Batch)> {
        let now = self.clock.now();
        let mut leader_state = self.leader_state();
        let term = leader_state
            .term
            .filter(|_| leader_state.is_confirmed(now))?;
        let (level, version) = self
            .group
            .with_state(|s| (s.feature_level(), s.document().map(|d| d.version)));
        if level.0 < trailer::CURRENT {
            return None;
        }
        if leader_state.configured_version != version {
            self.configure(&mut leader_state);
        }
        let standings = leader_state.ledger.standings(now);
        let planner = &mut leader_state.allowances;
        let window = self.quota_window;
        let batch = self
            .group
            .with_state(|s| planner.next_batch(now, term, window, s.allowances(), &standings));
        batch.map(|batch| (term, batch))
    }
}
