//! Logs and metrics of a member's own standing in the group: whether it votes, and how long it has
//! been without a leader.

use crate::clock;
use crate::id;
use crate::replica::core;
use crate::replica::core::members;
use crate::replica::core::message;

/// How long a member is without a leader before it logs so. An election takes less.
const MIN_LOGGED_SEARCH: clock::Millis = clock::Millis::new(2_000);

/// The interval between two log lines of a search for a leader.
const LOG_INTERVAL: clock::Millis = clock::Millis::new(10_000);

/// What was logged last of a member's standing.
#[derive(Debug, Default)]
pub struct Standing {
    /// The membership of the log, if this member was a voter in it; `None` otherwise.
    voted_in: Option<members::Membership>,
    /// How long the search for a leader has taken, as the metrics show it.
    shown_search: clock::Millis,
    /// When to log the search for a leader again.
    next_search_log_at: clock::Millis,
}

impl Standing {
    /// Logs what has changed, and updates the metrics.
    pub fn record(&mut self, replica: &core::Replica, now: clock::Millis) {
        self.record_vote(replica);
        self.record_search(replica, now);
    }

    fn record_vote(&mut self, replica: &core::Replica) {
        let members = replica.members();
        let voting = members.filter(|m| m.is_voter(replica.node()));
        if let (Some(before), Some(members), None) = (&self.voted_in, members, voting) {
            log_removal(replica.leader(), before, members);
        }
        if self.voted_in.as_ref() != voting {
            let is_voter = if voting.is_some() { 1.0 } else { 0.0 };
            metrics::gauge!("buckthorncleat_voter").set(is_voter);
            self.voted_in = voting.cloned();
        }
    }

    fn record_search(&mut self, replica: &core::Replica, now: clock::Millis) {
        let search = replica.leader_search();
        let duration = search.map_or(clock::Millis::ZERO, |s| now - s.since);
        if duration != self.shown_search {
            metrics::gauge!("buckthorncleat_leaderless_seconds").set(duration.as_secs_f64());
            self.shown_search = duration;
        }
        let Some((search, members)) = search.zip(replica.members()) else {
            return;
        };
        if duration < MIN_LOGGED_SEARCH || now < self.next_search_log_at {
            return;
        }
        self.next_search_log_at = now + LOG_INTERVAL;
        let voters = join(members.voters.keys());
        let refused_by = join(search.refused_by().map(|n| &n.instance));
        log::warn!(
            event = "no_leader",
            ms = duration.as_u64(),
            voters = voters.as_str(),
            refused_by = refused_by.as_str();
            "no leader for {duration}; the voters in this member's log are {voters}; refused its \
             pre-votes: {refused_by}"
        );
    }
}

fn log_removal(
    leader: Option<&message::NodeId>,
    before: &members::Membership,
    members: &members::Membership,
) {
    let leader = leader.map_or("-", |l| l.instance.as_str());
    let (before, voters) = (join(before.voters.keys()), join(members.voters.keys()));
    log::warn!(
        event = "not_voter",
        leader = leader,
        before = before.as_str(),
        voters = voters.as_str();
        "this member is no longer a voter: by the log of leader {leader} the voters are {voters}, \
         by its own log they were {before}"
    );
}

/// Joins names by commas; a dash stands for none.
fn join<'a>(names: impl Iterator<Item = &'a id::InstanceId>) -> String {
    let names: Vec<&str> = names.map(id::InstanceId::as_str).collect();
    if names.is_empty() {
        return "-".to_owned();
    }
    names.join(",")
}
