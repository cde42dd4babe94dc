//! The task that ends sessions in time and proposes changes of the membership.

use std::sync;

use tokio::sync::watch;

use crate::clock;
use crate::control::sessions;
use crate::controller::membership;
use crate::error;
use crate::peer::server;
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
            }
            () = server::stopped(&mut stop) => return Ok(()),
        }
    }
}

async fn propose(sessions: &sessions::Sessions, changes: Vec<change::Change>) {
    let command = command::Command::System(changes);
    match sessions.group.propose(command).await {
        Ok(_) => sessions.step(membership::Input::Tick),
        // The sessions ask again while it is needed.
        Err(e) => log::info!("change of the membership: {e}"),
    }
}
