//! Whether a router may send calls to a backend server: by what the server says of itself, by the
//! platform's list, and by how the router's calls to it ended.

use crate::clock;
use crate::fleet::message;
use crate::router::protocol;

/// Ejection after the first connect failure, broken connection or timeout; it doubles with each
/// further one in a row.
const MIN_EJECTION: clock::Millis = clock::Millis::new(250);

/// Upper bound of an ejection; a crashed server is usually back within some seconds.
const MAX_EJECTION: clock::Millis = clock::Millis::new(4_000);

/// How long a server that refused work for lack of capacity gets no new streams; within this time
/// some of its running streams end.
const FULL_BACKOFF: clock::Millis = clock::Millis::new(120);

/// How long a server whose address or role differs from the server list gets no work; the list lags
/// behind by about this time.
const MISDIRECTED_EJECTION: clock::Millis = clock::Millis::new(1_000);

/// Upper bound of the quiet time that one answer can ask for. A server that asks for more is asked
/// again after a day, with one call.
const MAX_QUIET: clock::Millis = clock::Millis::from_secs(24 * 60 * 60);

/// How long what a server said of itself is kept after the server has left the list. An older list
/// that comes late may leave out a server that still exists.
const UNLISTED_RETENTION: clock::Millis = clock::Millis::from_secs(10);

/// How long a new start of a server may answer before the list shows it.
const LIST_LAG: clock::Millis = clock::Millis::new(3_000);

/// Upper bound of what is left of a quiet time that a former or a new start of a server asked for:
/// it is not known which.
const MAX_CARRIED_QUIET: clock::Millis = clock::Millis::from_secs(10);

/// Number of concurrent calls from which on a server that was quiet counts as open again.
const REOPENED_CALLS: u32 = 32;

/// What a server is called for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Serves a whole request of a plain service.
    Plain,
    /// Processes the prompt of a stream.
    Prefill,
    /// Generates a stream.
    Decode,
    /// Reserves capacity for a stream.
    Reserve,
    /// Gives back what was reserved.
    Release,
}

impl Purpose {
    /// Returns the stage that a server must have; `None` when any will do.
    pub fn stage(self) -> Option<message::Stage> {
        match self {
            Self::Plain => None,
            Self::Prefill => Some(message::Stage::Prefill),
            Self::Decode | Self::Reserve | Self::Release => Some(message::Stage::Decode),
        }
    }

    /// Returns the name in the log.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Plain => "plain",
            Self::Prefill => "prefill",
            Self::Decode => "decode",
            Self::Reserve => "reserve",
            Self::Release => "release",
        }
    }
}

/// The state of a server in the view of one router, least restrictive first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It takes calls.
    Open,
    /// It refused work for lack of capacity a moment ago.
    Full,
    /// It was lost, or several other routers can't reach it.
    Ejected,
    /// Its quiet time is over, and it has as many calls as it gets until it has accepted one.
    Reopening,
    /// It has asked this router for no calls until then.
    Quiet { until: clock::Millis },
    /// It completes what it runs and takes nothing new, or is gone.
    Leaving,
    /// Its data centre is being evacuated: it completes what it runs and takes nothing new.
    Evacuated,
}

/// Whether a server may be picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    Now,
    /// Only when no other server can be picked.
    LastResort,
    /// When it has capacity again.
    WhenFree,
    /// From this time on.
    From(clock::Millis),
    Never,
}

impl State {
    /// Returns whether a server in this state may be picked for a purpose.
    pub fn admission(self, purpose: Purpose) -> Admission {
        match self {
            Self::Open => Admission::Now,
            Self::Leaving | Self::Evacuated if purpose == Purpose::Release => Admission::Now,
            Self::Full => Admission::WhenFree,
            Self::Ejected => Admission::LastResort,
            Self::Reopening => Admission::From(clock::Millis::ZERO),
            Self::Quiet { until } => Admission::From(until),
            Self::Leaving | Self::Evacuated => Admission::Never,
        }
    }

    /// Returns whether a call may still be sent to a server that was picked before it came into
    /// this state.
    pub fn may_send(self, purpose: Purpose) -> bool {
        match self {
            Self::Open | Self::Full | Self::Ejected => true,
            Self::Reopening | Self::Quiet { .. } => false,
            Self::Leaving | Self::Evacuated => purpose == Purpose::Release,
        }
    }

    /// Returns the name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Full => "full",
            Self::Ejected => "ejected",
            Self::Reopening => "reopening",
            Self::Quiet { .. } => "quiet",
            Self::Leaving => "leaving",
            Self::Evacuated => "evacuated",
        }
    }
}

/// Why no server could be picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PickError {
    /// All candidates are at capacity.
    Full,
    /// All candidates that take calls limit them, so that a permit is needed.
    Limited,
    /// All candidates have asked this router for no calls; the first one takes them again at this
    /// time.
    Quiet { until: clock::Millis },
    /// All candidates are leaving.
    Leaving,
    /// All candidates are leaving or in data centres that are being evacuated.
    Evacuated,
    /// There is no candidate.
    NoServer,
}

/// Returns the servers that may be picked for a purpose now. Ejected ones are returned only when no
/// other server can be picked.
///
/// # Errors
///
/// Fails with `Full` when a server takes work once it has capacity again, with `Quiet` when all want
/// no calls, with `Leaving` when all are leaving, with `Evacuated` when some of those are being
/// evacuated, with `NoServer` when there is none.
pub fn pickable<T>(
    servers: impl Iterator<Item = (T, State)>,
    purpose: Purpose,
) -> Result<Vec<T>, PickError> {
    let (mut open, mut last_resort) = (Vec::new(), Vec::new());
    let (mut is_any_busy, mut is_any_leaving, mut is_any_evacuated) = (false, false, false);
    let mut quiet_until: Option<clock::Millis> = None;
    for (server, state) in servers {
        match state.admission(purpose) {
            Admission::Now => open.push(server),
            Admission::LastResort => last_resort.push(server),
            Admission::WhenFree => is_any_busy = true,
            Admission::From(at) => {
                quiet_until = Some(quiet_until.map_or(at, |first| first.min(at)));
            }
            Admission::Never if state == State::Evacuated => is_any_evacuated = true,
            Admission::Never => is_any_leaving = true,
        }
    }
    if !open.is_empty() {
        Ok(open)
    } else if is_any_busy {
        Err(PickError::Full)
    } else if !last_resort.is_empty() {
        Ok(last_resort)
    } else {
        Err(match quiet_until {
            Some(until) => PickError::Quiet { until },
            None if is_any_evacuated => PickError::Evacuated,
            None if is_any_leaving => PickError::Leaving,
            None => PickError::NoServer,
        })
    }
}

/// What a server's answer changed in its availability.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The server says for the first time that it is leaving.
    Leaving,
    /// The server asks for no calls until a later time than before.
    Quiet { until: clock::Millis },
}

/// How work at a server ended, as far as it says something about the server's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Succeeded,
    /// The server answered with an error of its own.
    Failed,
    /// The connection broke or the server did not answer in time.
    Lost,
    ConnectFailed,
    /// Says nothing about the server: the caller left, or the server was at capacity.
    Neutral,
}

/// What one router knows of a server's availability.
#[derive(Clone, Debug, Default)]
pub struct Availability {
    /// Since when the list does not name the server; `None` while it does.
    unlisted_since: Option<clock::Millis>,
    /// The list names the server as leaving.
    leaving_by_list: bool,
    /// Set from the first answer in which the server says that it is leaving.
    leaving: Option<LeavingMark>,
    /// When the server asked for the quiet time.
    quiet_asked_at: clock::Millis,
    quiet_until: clock::Millis,
    /// Set from the first quiet time until the server is open again.
    ramp: Option<Ramp>,
    ejected_until: clock::Millis,
    consecutive_failures: u32,
    /// When the server accepted no connection last; `None` for one that did, or has started again by
    /// the list.
    unreachable_at: Option<clock::Millis>,
    /// Whether the last failure was a connection that could not be opened.
    connect_failed: bool,
    full_until: clock::Millis,
}

/// The incarnation that said that it is leaving.
#[derive(Clone, Copy, Debug)]
struct LeavingMark {
    started_at: Option<message::StartTime>,
}

/// Limits the calls after a quiet time: one first, then twice as many after each accepted one.
#[derive(Clone, Copy, Debug)]
struct Ramp {
    allowed: u32,
    in_flight: u32,
}

impl Availability {
    /// Applies the server's entry in a new list; `before` is its entry in the last one.
    ///
    /// A later start or another address is another incarnation, of which nothing is known yet, but
    /// for a quiet time that it may have asked for before the list showed it.
    pub fn list(&mut self, now: clock::Millis, before: &message::Server, server: &message::Server) {
        let marked = self.leaving.and_then(|mark| mark.started_at);
        let known = marked.or(before.started_at);
        let is_later = server.started_at > known && known.is_some();
        if is_later || server.address != before.address {
            self.start_anew(now);
        }
        self.unlisted_since = None;
        self.leaving_by_list = server.state == message::ServerState::Leaving;
    }

    fn start_anew(&mut self, now: clock::Millis) {
        let mut anew = Self::default();
        if now < self.quiet_asked_at + LIST_LAG && now < self.quiet_until {
            anew.quiet_asked_at = self.quiet_asked_at;
            anew.quiet_until = self.quiet_until.min(now + MAX_CARRIED_QUIET);
            anew.ramp = Some(Ramp::CLOSED);
        }
        *self = anew;
    }

    /// Records that the list does not name the server any more.
    pub fn unlist(&mut self, now: clock::Millis) {
        self.unlisted_since.get_or_insert(now);
    }

    /// Returns whether the list does not name the server.
    pub fn is_unlisted(&self) -> bool {
        self.unlisted_since.is_some()
    }

    /// Returns whether the server is in the list, or said something that a later list must not undo.
    pub fn is_kept(&self, now: clock::Millis) -> bool {
        let Some(since) = self.unlisted_since else {
            return true;
        };
        now < self.quiet_until || self.leaving.is_some() && now < since + UNLISTED_RETENTION
    }

    /// Returns the state at a time, by what this router knows itself.
    pub fn state(&self, now: clock::Millis) -> State {
        let is_ramp_full = self.ramp.is_some_and(|r| r.in_flight >= r.allowed);
        if is_ramp_full && self.state_under_call(now).may_send(Purpose::Plain) {
            State::Reopening
        } else {
            self.state_under_call(now)
        }
    }

    /// Returns the state for a call that has begun already.
    pub fn state_under_call(&self, now: clock::Millis) -> State {
        if self.unlisted_since.is_some() || self.leaving_by_list || self.leaving.is_some() {
            State::Leaving
        } else if now < self.quiet_until {
            State::Quiet {
                until: self.quiet_until,
            }
        } else if now < self.ejected_until {
            State::Ejected
        } else if now < self.full_until {
            State::Full
        } else {
            State::Open
        }
    }

    /// Returns whether the server may have started again, with other software, without being shown so by
    /// a list that was read at a time. A connection that breaks off is no sign of it: most of them do so
    /// at servers that go on.
    pub fn may_have_restarted(&self, list_read_at: clock::Millis) -> bool {
        self.unreachable_at
            .is_some_and(|at| list_read_at < at + LIST_LAG)
    }

    /// Returns whether the server itself says that it is leaving.
    pub fn says_leaving(&self) -> bool {
        self.leaving.is_some()
    }

    /// Returns whether the server is ejected since this router could not connect to it.
    pub fn is_unreachable(&self, now: clock::Millis) -> bool {
        self.connect_failed && now < self.ejected_until
    }

    /// Applies the head of an answer of the incarnation that started at `started_at`.
    pub fn record_answer(
        &mut self,
        now: clock::Millis,
        started_at: Option<message::StartTime>,
        answer: &protocol::ServerAnswer,
    ) -> Option<Change> {
        let quiet = answer.quiet.and_then(|time| self.begin_quiet(now, time));
        if answer.accepted {
            self.widen_ramp(now);
        }
        if answer.is_leaving && self.leaving.is_none() {
            self.leaving = Some(LeavingMark { started_at });
            return Some(Change::Leaving);
        }
        quiet
    }

    fn begin_quiet(&mut self, now: clock::Millis, time: clock::Millis) -> Option<Change> {
        let until = now + time.min(MAX_QUIET);
        if until <= self.quiet_until || time == clock::Millis::ZERO {
            return None;
        }
        self.quiet_asked_at = now;
        self.quiet_until = until;
        self.ramp.get_or_insert(Ramp::CLOSED).allowed = 1;
        Some(Change::Quiet { until })
    }

    fn widen_ramp(&mut self, now: clock::Millis) {
        if now < self.quiet_until {
            return;
        }
        let Some(ramp) = &mut self.ramp else { return };
        ramp.allowed *= 2;
        if ramp.allowed >= REOPENED_CALLS {
            self.ramp = None;
        }
    }

    /// Records that a call is made; returns whether it counts as one after a quiet time, for
    /// [`Self::end_call`].
    pub fn begin_call(&mut self) -> bool {
        match &mut self.ramp {
            Some(ramp) => ramp.in_flight += 1,
            None => return false,
        }
        true
    }

    /// Records that a call has been answered, or has failed.
    pub fn end_call(&mut self, counted: bool) {
        if let Some(ramp) = self.ramp.as_mut().filter(|_| counted) {
            ramp.in_flight = ramp.in_flight.saturating_sub(1);
        }
    }

    /// Records that the server refused work for lack of capacity.
    pub fn mark_full(&mut self, now: clock::Millis) {
        self.full_until = now + FULL_BACKOFF;
    }

    /// Records that another server answered at the address, or one of another role.
    pub fn mark_misdirected(&mut self, now: clock::Millis) {
        self.ejected_until = now + MISDIRECTED_EJECTION;
    }

    /// Ends the time after a failure in which the server gets no work.
    pub fn end_ejection(&mut self) {
        self.ejected_until = clock::Millis::ZERO;
        self.connect_failed = false;
    }

    /// Records how work at the server ended.
    pub fn record_outcome(&mut self, now: clock::Millis, outcome: Outcome) {
        match outcome {
            Outcome::Neutral => return,
            Outcome::Succeeded | Outcome::Failed => {
                self.connect_failed = false;
                self.consecutive_failures = 0;
                return;
            }
            Outcome::Lost | Outcome::ConnectFailed => {}
        }
        self.connect_failed = outcome == Outcome::ConnectFailed;
        if self.connect_failed {
            self.unreachable_at = Some(now);
        }
        let ejection = MIN_EJECTION * (1 << self.consecutive_failures.min(8));
        self.consecutive_failures += 1;
        self.ejected_until = now + ejection.min(MAX_EJECTION);
    }
}

impl Ramp {
    const CLOSED: Self = Self {
        allowed: 1,
        in_flight: 0,
    };
}
