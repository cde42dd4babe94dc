//! The task that advances the age of the claims of non-idempotent calls while this member leads the
//! control group.

use tokio::sync::watch;

use crate::clock;
use crate::error;
use crate::peer::server;
use crate::replica::group;
use crate::state::claim;
use crate::state::command;

/// Interval between two advances: half of the most that one may add, so that an advance that is
/// late by as much again still counts in full.
const ADVANCE_INTERVAL: clock::Millis = clock::Millis::new(claim::MAX_ADVANCE.as_u64() / 2);

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
    let mut ticks = tokio::time::interval(ADVANCE_INTERVAL.as_duration());
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut previous = None;
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = server::stopped(&mut stop) => return Ok(()),
        }
        let now = clock.now();
        let leads = group.watch().borrow().leads;
        if let (Some(term), Some((previous_term, previous_time))) = (leads, previous)
            && term == previous_term
        {
            propose(&group, now - previous_time).await;
        }
        previous = leads.map(|term| (term, now));
    }
}

async fn propose(group: &group::Group, time: clock::Millis) {
    if let Err(e) = group.propose(command::Command::Advance(time)).await {
        log::info!("an advance of the age of the claims was not committed in time: {e}");
    }
}
