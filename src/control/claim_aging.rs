//! The task that advances the age of the claims while this member leads the control group.

use tokio::sync::watch;

use crate::clock;
use crate::error;
use crate::peer::server;
use crate::replica::group;
use crate::state::claim;
use crate::state::command;

/// Interval between two advances: half of the most that one may add, so that an advance that is
/// late by as much again still counts in full.
const PERIOD: clock::Millis = clock::Millis::new(claim::MAX_ADVANCE.as_u64() / 2);

/// Proposes the time that passed while this member led, until `stop` turns true.
///
/// # Errors
///
/// Never; an advance that can't be committed is skipped, so claims are kept for longer.
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
        log::info!("an advance of the age of the claims was not committed in time: {e}");
    }
}
