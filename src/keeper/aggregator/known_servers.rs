//! The part of the leader that knows which servers the platform's list named before.

use crate::clock;
use crate::id;
use crate::keeper::aggregator;
use crate::router::discovery;
use crate::state::command;

/// Shortest time between two commits of the known servers. Those that started within it are unknown after a
/// loss of all processes.
const SAVE_INTERVAL: clock::Millis = clock::Millis::from_secs(5);

impl aggregator::Aggregator {
    /// Adds the servers to a list that only entries within damaged ones name, as far as they are known from
    /// before.
    pub(super) fn recover_servers(&self, listed: &mut discovery::Listed) {
        let mut leader_state = self.leader_state();
        let known = leader_state.known_servers.take();
        let known = known.unwrap_or_else(|| self.group.with_state(|s| s.known_servers().clone()));
        let next = known.recover(listed).unwrap_or_else(|e| {
            log::error!("{e}; using no server of a damaged entry");
            known
        });
        leader_state.known_servers = Some(next);
        let damage = Some((listed.damaged, listed.recovered)).filter(|d| d.0 > 0);
        if std::mem::replace(&mut leader_state.list_damage, damage) != damage {
            listed.log_damage();
        }
    }

    /// Commits the known servers while this member leads in `term`, if they have changed and the last commit
    /// was not just now.
    pub(super) async fn save_known_servers(&self, term: id::Term) {
        let now = self.clock.now();
        let change = {
            let mut leader_state = self.leader_state();
            let last = leader_state.known_saved_at;
            let is_due = last.is_none_or(|at| now >= at + SAVE_INTERVAL);
            let known = leader_state.known_servers.as_ref().filter(|_| is_due);
            let change = known.and_then(|known| {
                self.group
                    .with_state(|s| s.known_servers().change_to(known))
            });
            if change.is_some() {
                leader_state.known_saved_at = Some(now);
            }
            change
        };
        if let Some(change) = change {
            let command = command::Command::KnowServers(change);
            self.commit(term, &command).await;
        }
    }
}
