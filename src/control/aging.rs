//! The task that lets claims of non-idempotent calls age while this member leads.

use tokio::sync::watch;

use crate::clock;
use crate::error;
use crate::peer::server;
use crate::replica::group;
use crate::state::claim;
use crate::state::command;

/// The time between two steps of the claims' age; a step may come late by as much again.
const PERIOD: clock::Millis = clock::Millis::new(claim::MAX_ADVANCE.as_u64() / 2);

/// Proposes the time that passed while this member leads, until `stop` turns true.
///
/// # Errors
///
/// Never; a step that can't be committed is left out, so that claims age late.
pub async fn run(
    group: group::Group,
    clock: clock::Clock,
    mut stop: watch::Receiver<bool>,
) -> error::Result<()> {
    let mut ticks = tokio::time::interval(PERIOD.as_duration());
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut since = None;
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = server::stopped(&mut stop) => return Ok(()),
        }
        let now = clock.now();
        let leads = group.watch().borrow().leads;
        if let (Some(term), Some((led, then))) = (leads, since)
            && term == led
        {
            propose(&group, now - then).await;
        }
        since = leads.map(|term| (term, now));
    }
}

async fn propose(group: &group::Group, time: clock::Millis) {
    if let Err(e) = group.propose(command::Command::Advance(time)).await {
        log::info!("age of the claims: {e}");
    }
}
