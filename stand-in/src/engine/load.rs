//! Load reports that are delivered with a lag.

use std::collections;

use buckthorncleat::backend::wire;
use buckthorncleat::clock;

/// The shortest time between two recorded reports.
const MIN_RECORD_INTERVAL: clock::Millis = clock::Millis::new(10);

/// The load reports of the time of the lag, the oldest first.
#[derive(Debug, Default)]
pub struct History {
    reports: collections::VecDeque<(clock::Millis, wire::Load)>,
}

impl History {
    /// Records a report, unless the last one is too recent, and drops those that `read` no longer
    /// needs for `lag`.
    pub fn record(&mut self, now: clock::Millis, lag: clock::Millis, load: wire::Load) {
        let last = self.reports.back().map(|(at, _)| *at);
        if last.is_some_and(|at| now < at + MIN_RECORD_INTERVAL) {
            return;
        }
        self.reports.push_back((now, load));
        while self.reports.len() > 1 && self.reports[1].0 + lag <= now {
            self.reports.pop_front();
        }
    }

    /// Returns the newest report that is at least `lag` old, or the oldest if none is. `None` if
    /// nothing was recorded.
    pub fn read(&self, now: clock::Millis, lag: clock::Millis) -> Option<wire::Load> {
        let due = self.reports.iter().rev().find(|(at, _)| *at + lag <= now);
        let (at, load) = due.or(self.reports.front())?;
        let age_ms = now - *at;
        Some(wire::Load {
            age_ms,
            ..load.clone()
        })
    }
}
