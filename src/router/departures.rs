//! Runs whose caller left before anything told how they went.
//!
//! A caller that leaves says nothing of the server: callers leave sound requests all the time, and those of a
//! slow server many at once. But the request may have ended its server, and the caller may come again before
//! any other run is lost there. So the server is looked at: whether it accepts connections, whether it
//! did not for some time since the run began, and whether the list names a later start.

use std::collections;
use std::net;

use crate::clock;
use crate::fleet::message;
use crate::id;
use crate::sorted;
use crate::state::model;

/// A server that answered so lately needs no look.
const PROOF_AGE: clock::Millis = clock::Millis::new(100);

/// How long it is known that a server accepted no connection. Few callers wait longer for an answer.
const UNREACHED_RETENTION: clock::Millis = clock::Millis::from_secs(15);

/// The most runs at one server that one look is for.
const MAX_RUNS: usize = 64;

/// How long after a caller left the list may bring a start that the server made before. The list lags.
const LIST_DELAY: clock::Millis = clock::Millis::new(2_500);

/// The most runs that wait for the list; the oldest goes first.
const MAX_DOUBTFUL: usize = 256;

/// A run that was sent to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    pub server: id::BackendServerId,
    pub address: net::SocketAddr,
    /// The start of the server, as the list named it; `None` when it did not say.
    pub started_at: Option<message::StartTime>,
    pub request: model::Fingerprint,
    pub begun_at: clock::Millis,
    /// The time of day of the begin, in milliseconds since 1970.
    pub begun_wall: u64,
}

/// A run whose server was up when its caller left.
#[derive(Clone, Debug)]
struct Doubtful {
    run: Run,
    left_at: clock::Millis,
}

/// What is known of a server when a caller leaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Life {
    /// The newest time at which it was certainly up.
    pub alive_at: Option<clock::Millis>,
    /// Its start as the list names it by now.
    pub started_at: Option<message::StartTime>,
}

/// What to do when a caller has left.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The server is up, or it is being looked at.
    Nothing,
    /// Look whether the server accepts connections, then call [`Departures::finish_check`].
    Check,
    /// The server has ended since the run began.
    Lost(Run),
}

/// The runs whose servers are looked at, and when servers could not be reached.
#[derive(Debug, Default)]
pub struct Departures {
    checked: sorted::Map<id::BackendServerId, Vec<Run>>,
    unreached: sorted::Map<id::BackendServerId, clock::Millis>,
    /// The runs whose server may have restarted before their caller left; oldest first.
    doubtful: collections::VecDeque<Doubtful>,
}

impl Departures {
    /// Records that a server accepted no connection.
    pub fn record_unreached(&mut self, now: clock::Millis, server: &id::BackendServerId) {
        self.unreached
            .retain(|_, at| now < *at + UNREACHED_RETENTION);
        self.unreached.insert(server.clone(), now);
    }

    /// Records that the caller of a run has left; at most one look at a server is due at any time.
    pub fn record(&mut self, now: clock::Millis, run: Run, life: Life) -> Decision {
        if self.has_ended(now, &run, life) {
            return Decision::Lost(run);
        }
        if life.alive_at.is_some_and(|at| now < at + PROOF_AGE) {
            self.doubt(now, run);
            return Decision::Nothing;
        }
        if let Some(runs) = self.checked.get_mut(&run.server) {
            if runs.len() < MAX_RUNS {
                runs.push(run);
            }
            return Decision::Nothing;
        }
        self.checked.insert(run.server.clone(), vec![run]);
        Decision::Check
    }

    /// Ends the look at a server; returns the runs with which it may have ended.
    pub fn finish_check(
        &mut self,
        now: clock::Millis,
        server: &id::BackendServerId,
        is_up: bool,
        life: Life,
    ) -> Vec<Run> {
        let runs = self.checked.remove(server).unwrap_or_default();
        let (lost, others) = runs
            .into_iter()
            .partition(|run| !is_up || self.has_ended(now, run, life));
        for run in others {
            self.doubt(now, run);
        }
        lost
    }

    /// Returns the runs whose server has restarted before their caller left, by a newer list.
    pub fn apply_list(&mut self, now: clock::Millis, life: impl Fn(&Run) -> Life) -> Vec<Run> {
        self.doubtful.retain(|d| now < d.left_at + LIST_DELAY);
        let has_ended = |d: &Doubtful| has_restarted(&d.run, life(&d.run), d.left_at);
        let (lost, others) = self.doubtful.drain(..).partition(has_ended);
        self.doubtful = others;
        let lost: collections::VecDeque<Doubtful> = lost;
        lost.into_iter().map(|d| d.run).collect()
    }

    fn doubt(&mut self, left_at: clock::Millis, run: Run) {
        if run.started_at.is_none() {
            return;
        }
        if self.doubtful.len() >= MAX_DOUBTFUL {
            self.doubtful.pop_front();
        }
        self.doubtful.push_back(Doubtful { run, left_at });
    }

    /// Returns whether a server has ended since a run began, although it may be back.
    fn has_ended(&self, now: clock::Millis, run: &Run, life: Life) -> bool {
        let was_unreached = self.unreached.get(&run.server) >= Some(&run.begun_at);
        was_unreached || has_restarted(run, life, now)
    }
}

/// Returns whether a server has started again after a run began and before `until`.
fn has_restarted(run: &Run, life: Life, until: clock::Millis) -> bool {
    let Some(started_at) = life.started_at.filter(|at| Some(*at) > run.started_at) else {
        return false;
    };
    let ran = until - run.begun_at;
    let times = run.begun_wall..=run.begun_wall + ran.as_u64();
    run.started_at.is_some() && times.contains(&started_at.as_u64())
}
