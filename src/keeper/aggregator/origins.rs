//! The part of the leader that knows where streams began, and gives routers servers only of versions
//! that the replicated log has.

use tokio::sync::watch;
use tokio::time;

use crate::clock;
use crate::fleet::listing;
use crate::fleet::message as fleet;
use crate::fleet::origin;
use crate::fleet::permit;
use crate::id;
use crate::keeper::aggregator;
use crate::peer::message;
use crate::peer::server;
use crate::replica::group;
use crate::router::discovery;
use crate::state::command;

/// Interval between two commits of the origins of streams. What was told within it is lost with the
/// leader; at 200 ms that was 0.07 of the streams that run.
const SAVE_INTERVAL: clock::Millis = clock::Millis::new(100);

impl aggregator::Aggregator {
    /// Commits the versions of a list and gives it to routers. Returns it with the term, if servers of a
    /// version are held back.
    pub(super) async fn set_list(
        &self,
        read_at: clock::Millis,
        mut listed: discovery::Listed,
    ) -> Option<(id::Term, discovery::Listed)> {
        self.recover_servers(&mut listed);
        let term = self.admit_versions(&mut listed.servers).await?;
        self.save_known_servers(term).await;
        let is_part = self.publish(term, &listed);
        let mut leader_state = self.leader_state();
        if leader_state.term == Some(term) {
            leader_state.list_read_at = Some(read_at);
        }
        is_part.then_some((term, listed))
    }

    /// Gives routers a list, less the servers of versions that are held back; returns whether there are
    /// such versions. The versions of the list must have been admitted in this term.
    pub(super) fn publish(&self, term: id::Term, listed: &discovery::Listed) -> bool {
        let now = self.clock.now();
        let mut leader_state = self.leader_state();
        if leader_state.term != Some(term) {
            return false;
        }
        let origins = &mut leader_state.origins;
        let withheld = self
            .group
            .with_state(|s| origins.withheld(now, s.origins()));
        let is_withheld = |o| withheld.contains(&o);
        let servers = listed.servers.iter();
        let servers = servers.filter(|s| !origin::Origin::from_server(s).is_some_and(is_withheld));
        let list = match listing::List::new(servers.cloned().collect()) {
            Ok(list) => list,
            Err(e) => {
                log::error!("{e}");
                return false;
            }
        };
        let (digest, servers) = (list.digest().0, list.servers().len());
        let ended = self.evacuation_notice().ended;
        self.update_document(&mut leader_state);
        let ledger = &mut leader_state.ledger;
        ledger.set_list(now, list.servers(), &listed.cold);
        ledger.set_data_centres_back(now, &ended);
        if leader_state.lists.set(list) {
            log::info!(
                event = "list",
                digest = digest,
                servers = servers,
                damaged = listed.damaged,
                versions_held_back = withheld.len();
                "the platform's server list changed"
            );
        }
        !withheld.is_empty()
    }

    /// Commits the software versions of a list that are new. Servers whose version is not committed are
    /// left out until it is. Returns the term; `None` when this member does not lead.
    async fn admit_versions(&self, servers: &mut Vec<fleet::Server>) -> Option<id::Term> {
        let now = self.clock.now();
        let (term, new) = {
            let mut leader_state = self.leader_state();
            let new = self
                .group
                .with_state(|s| leader_state.origins.set_listed(now, servers, s.origins()));
            (leader_state.term, new)
        };
        let term = term?;
        if new.is_empty() {
            return Some(term);
        }
        let batch = origin::Batch {
            versions: new.clone(),
            ..Default::default()
        };
        if self.commit_origins(term, batch).await {
            return Some(term);
        }
        let is_new = |o| new.binary_search(&o).is_ok();
        servers.retain(|s| !origin::Origin::from_server(s).is_some_and(is_new));
        log::warn!(
            event = "versions_not_committed",
            count = new.len();
            "new software versions are not committed; leaving out their servers until the next list"
        );
        Some(term)
    }

    /// Commits the origins of streams while this member leads, until `stop` becomes true.
    pub async fn save_origins(&self, mut stop: watch::Receiver<bool>) {
        let mut interval = time::interval(SAVE_INTERVAL.as_duration());
        interval.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = interval.tick() => {}
                () = server::stopped(&mut stop) => return,
            }
            let now = self.clock.now();
            let (term, batch) = {
                let mut leader_state = self.leader_state();
                let batch = self
                    .group
                    .with_state(|s| leader_state.origins.next_batch(now, s.origins()));
                (leader_state.term, batch)
            };
            if let (Some(term), Some(batch)) = (term, batch) {
                self.commit_origins(term, batch).await;
            }
        }
    }

    /// Commits a change of the origins; returns whether that is certain.
    async fn commit_origins(&self, term: id::Term, batch: origin::Batch) -> bool {
        self.commit(term, &command::Command::Origins(batch)).await
    }

    /// Commits a command of the leader in `term`; returns whether that is certain.
    pub(in crate::keeper) async fn commit(
        &self,
        term: id::Term,
        command: &command::Command,
    ) -> bool {
        match self.group.submit_in_term(term, command).await {
            Ok(group::Outcome::Applied(_)) => true,
            Ok(_) => false,
            Err(e) => {
                log::error!("a change of the replicated state can't be committed: {e}");
                false
            }
        }
    }

    /// Takes note of streams that began at a router, or names the leader if this member's leadership is
    /// not confirmed.
    pub fn record_begun(&self, streams: Vec<origin::Record>) -> message::Reply {
        let mut leader_state = self.leader_state();
        let is_confirmed = leader_state.is_confirmed(self.clock.now());
        match leader_state.term.filter(|_| is_confirmed) {
            Some(term) => {
                leader_state.origins.record(streams);
                message::Reply::Begun(term)
            }
            None => message::Reply::NotLeader(self.group.status().leader_peer()),
        }
    }

    /// Answers where a stream began, or names the leader if this member's leadership was not confirmed
    /// just now.
    pub fn ask_origin(&self, question: &origin::Question) -> message::Reply {
        let now = self.clock.now();
        let leader_state = self.leader_state();
        if leader_state.is_confirmed_within(now, permit::MAX_CONFIRMATION_AGE) {
            let origins = &leader_state.origins;
            let answer = |s: &command::State| origins.answer(now, s.origins(), question);
            message::Reply::Origin(self.group.with_state(answer))
        } else {
            message::Reply::NotLeader(self.group.status().leader_peer())
        }
    }
}
