//! The task that ends sessions in time and proposes changes of the membership.

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

/// The time between two looks at the sessions.
const PERIOD: clock::Millis = clock::Millis::new(50);

/// The changes that are proposed together, as one revision.
const CHANGES_AT_ONCE: usize = 256;

/// Looks at the sessions and proposes what they ask for, until `stop` turns true.
pub async fn run(
    sessions: sync::Arc<sessions::Sessions>,
    mut stop: watch::Receiver<bool>,
) -> error::Result<()> {
    let mut view = sessions.group.watch();
    let mut ticks = tokio::time::interval(PERIOD.as_duration());
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut changes = Vec::new();
    let mut to_propose = sessions.to_propose.lock().await;
    loop {
        tokio::select! {
            _ = ticks.tick() => sessions.step(membership::Input::Tick),
            Ok(()) = view.changed() => sessions.step(membership::Input::Tick),
            _ = to_propose.recv_many(&mut changes, CHANGES_AT_ONCE) => {
                propose(&sessions, std::mem::take(&mut changes)).await;
                sessions.step(membership::Input::Tick);
            }
            () = server::stopped(&mut stop) => return Ok(()),
        }
    }
}

/// Proposes changes of one leader's term together, and reports what surely came of them.
pub async fn propose(
    sessions: &sessions::Sessions,
    mut proposed: Vec<sessions::Proposed>,
) -> group::Outcome {
    let Some(term) = proposed.last().map(|p| p.term) else {
        return group::Outcome::Invalid;
    };
    proposed.retain(|p| p.term == term);
    let changes: Vec<change::Change> = proposed.into_iter().map(|p| p.change).collect();
    let command = command::Command::System(changes.clone());
    let outcome = sessions.group.submit_in_term(term, &command).await;
    let outcome = outcome.unwrap_or(group::Outcome::Invalid);
    if outcome == group::Outcome::Uncertain {
        log::info!("a change of the membership was not committed in time; it may be later");
        return outcome;
    }
    for change in &changes {
        sessions.decided(change);
    }
    outcome
}
