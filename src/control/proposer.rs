//! The task that expires sessions and proposes changes of the membership.

use std::sync;

use tokio::sync::watch;

use crate::clock;
use crate::control::sessions;
use crate::controller::membership;
use crate::error;
use crate::peer::server;
use crate::replica::group;
use crate::state::change;
use crate::state::command;

/// Interval at which expired sessions are looked for.
const TICK_INTERVAL: clock::Millis = clock::Millis::new(50);

/// Most changes that are proposed together, as one revision.
const MAX_CHANGES_PER_COMMIT: usize = 256;

/// Expires sessions and proposes the queued changes until `stop` turns true.
///
/// # Errors
///
/// Never.
pub async fn run(
    sessions: sync::Arc<sessions::Sessions>,
    mut stop: watch::Receiver<bool>,
) -> error::Result<()> {
    let mut view = sessions.group.watch();
    let mut ticks = tokio::time::interval(TICK_INTERVAL.as_duration());
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut changes = Vec::new();
    let mut queue = sessions.queue.lock().await;
    loop {
        tokio::select! {
            _ = ticks.tick() => sessions.step_and_queue(membership::Input::Tick),
            Ok(()) = view.changed() => sessions.step_and_queue(membership::Input::Tick),
            _ = queue.recv_many(&mut changes, MAX_CHANGES_PER_COMMIT) => {
                propose(&sessions, std::mem::take(&mut changes)).await;
                sessions.step_and_queue(membership::Input::Tick);
            }
            () = server::stopped(&mut stop) => return Ok(()),
        }
    }
}

/// Proposes the changes that belong to the term of the last one, as one command.
///
/// Marks them as decided, unless it is uncertain whether they will be committed.
pub async fn propose(
    sessions: &sessions::Sessions,
    mut proposal: Vec<sessions::Proposal>,
) -> group::Outcome {
    let Some(term) = proposal.last().map(|p| p.term) else {
        return group::Outcome::Invalid;
    };
    proposal.retain(|p| p.term == term);
    let changes: Vec<change::Change> = proposal.into_iter().map(|p| p.change).collect();
    let command = command::Command::System(changes.clone());
    let outcome = sessions.group.submit_in_term(term, &command).await;
    let outcome = outcome.unwrap_or(group::Outcome::Invalid);
    if outcome == group::Outcome::Uncertain {
        log::info!(
            "a change of the membership was not committed in time; it may be committed later"
        );
        return outcome;
    }
    for change in &changes {
        sessions.mark_decided(change);
    }
    outcome
}
