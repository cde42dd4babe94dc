//! Permits for calls to servers that limit the calls of all routers together.
//!
//! The leader keeps a schedule of the calls to each such server, and a router asks it for a permit
//! before a call. A permit is valid for a short time, which the router counts from the sending of
//! its question, so that it never outlives the schedule. A new leader issues none until those of
//! its predecessor have expired. So whoever acts on old news, the calls of all routers together
//! stay within the limit.

use crate::clock;
use crate::fleet::call_limit;
use crate::id;
use crate::macros;
use crate::sorted;
use crate::unit;

/// How long a permit is valid: the way to the leader and back, and a connection to the server.
pub const LIFETIME: clock::Millis = clock::Millis::new(250);

/// The longest time for which a call may be scheduled ahead.
pub const MAX_AHEAD: clock::Millis = clock::Millis::new(600);

/// The age of its last confirmation up to which a leader issues permits.
pub const MAX_CONFIRMATION_AGE: clock::Millis = clock::Millis::new(300);

/// The time for which a new leader issues no permits: those of its predecessor may be valid.
const TAKEOVER_TIME: clock::Millis =
    clock::Millis::new(MAX_CONFIRMATION_AGE.as_u64() + MAX_AHEAD.as_u64() + LIFETIME.as_u64());

/// A server that names a lower limit, such as none at all, is still called this often, since only
/// its answers tell that the limit has ended.
const MIN_RATE: unit::CallRate = unit::CallRate::from_millicalls(100);

/// A higher limit never binds; the bound keeps the sums of [`Schedule`] in range.
const MAX_RATE: unit::CallRate = unit::CallRate::from_millicalls(1_000_000_000);

/// One question gets at most the permits for this time, but at least one.
const MAX_BATCH_TIME: clock::Millis = clock::Millis::new(50);

/// How long a router waits for an answer.
pub const ASK_TIMEOUT: clock::Millis = clock::Millis::new(200);

/// The age from which on a question gets no permit any more: the time that its router waits, and
/// the age of the news from which the router knows the leader's time.
const MAX_ASK_AGE: clock::Millis = clock::Millis::new(550);

/// How long the permits are kept that a question got, for a copy of it and for the word that the
/// answer was lost.
const GRANT_RETENTION: clock::Millis = clock::Millis::from_secs(2);

/// The age from which on a message says nothing of limits any more.
const MAX_MESSAGE_AGE: clock::Millis = clock::Millis::new(1_500);

/// How long a limit is kept that no router mentions.
const RETENTION: clock::Millis = clock::Millis::from_secs(60);

/// The most callers that one question reports as refused.
const MAX_REFUSED: u32 = 1_000;

/// A call in the units of [`Schedule`].
const ONE_CALL: u64 = 1_000_000;

/// The calls that a server may get at once after it got none for a while, or that are made up for
/// when no caller came at the time of one.
const BURST: u64 = 2 * ONE_CALL;

macros::data! {copy
    /// A time on the clock of one leader, as a router knows it: the true one or an earlier one.
    pub struct LeaderTime {
        pub term: id::Term,
        pub at: clock::Millis,
    }
}

macros::number! {
    /// The number of a question for permits.
    AskNumber
}

macros::data! {
    /// A router's question to the leader for permits for calls to one of several servers.
    pub struct Ask {
        /// The number of the question, unique for the router.
        pub number: AskNumber,
        /// Earlier questions whose answers did not come in time, so that their permits are not used.
        pub lost: Vec<AskNumber>,
        /// The servers of which any will do, best first.
        pub servers: Vec<id::BackendServerId>,
        /// What the answers of these servers to the router said of their limits.
        pub news: Vec<(id::BackendServerId, call_limit::News)>,
        /// The leader's time when the router sent the question; `None` before the first summary.
        pub sent_at: Option<LeaderTime>,
        /// The time from now at which the first call can be sent at the earliest.
        pub earliest: clock::Millis,
        /// The time from now at which the first call must be sent at the latest.
        pub latest: clock::Millis,
        /// Whether a caller is refused, and told when to return, if no server takes its call in time.
        pub refuses: bool,
        /// The number of calls.
        pub calls: u32,
        /// The callers that the router has refused for lack of permits since its last question,
        /// without asking.
        pub refused: u32,
    }
}

macros::data! {
    /// The leader's answer to an [`Ask`].
    pub enum Answer {
        /// The router may make `calls` calls to a server, from `delay` on and for [`LIFETIME`].
        Granted {
            server: id::BackendServerId,
            delay: clock::Millis,
            calls: u32,
        },
        /// The server's last answer to any router named no limit.
        Unlimited { server: id::BackendServerId },
        /// No server takes a call in time.
        Denied {
            /// The time until the next call that is not yet taken.
            wait: clock::Millis,
            /// The time after which a refused caller should send again.
            retry_after: clock::Millis,
            /// The time that each further refused caller should wait beyond that.
            interval: clock::Millis,
        },
    }
}

/// The permits of one leader during its term.
#[derive(Debug, Default)]
pub struct Issuer {
    /// From when on permits are issued; `None` before the first message.
    opens_at: Option<clock::Millis>,
    servers: sorted::Map<id::BackendServerId, Schedule>,
    /// The permits of the last questions.
    grants: sorted::Map<(id::InstanceId, AskNumber), Grant>,
}

/// The permits that a question got.
#[derive(Clone, Debug)]
struct Grant {
    server: id::BackendServerId,
    calls: u32,
    /// When the first call may be sent.
    from: clock::Millis,
    granted_at: clock::Millis,
}

/// The calls that one server is to get.
#[derive(Debug, Default)]
struct Schedule {
    named: call_limit::NamedLimit,
    /// The limit while the server is or may be cold.
    cold: Option<unit::CallRate>,
    /// The calls that the server has got or will get, less those that its limit has allowed since,
    /// in millionths of a call.
    backlog: u64,
    /// The refused callers that were told to return, in millionths of a call.
    returning: u64,
    /// Until when the server has taken its share of both.
    drained_at: clock::Millis,
    mentioned_at: clock::Millis,
}

impl Issuer {
    /// Applies what a router's message says of limits. The message was sent at `sent_at` or later,
    /// `None` if that is not known.
    pub fn hear<'a>(
        &mut self,
        now: clock::Millis,
        sent_at: Option<clock::Millis>,
        news: impl IntoIterator<Item = &'a (id::BackendServerId, call_limit::News)>,
    ) {
        self.opens_at.get_or_insert(now + TAKEOVER_TIME);
        if sent_at.is_some_and(|at| now > at + MAX_MESSAGE_AGE) {
            return;
        }
        for (server, news) in news {
            // The message may have been on its way for any time, so only a limit counts.
            let is_certain = sent_at.is_some() || news.rate.is_some();
            let is_known = self.servers.contains(server);
            if !is_certain || !is_known && news.rate.is_none() {
                continue;
            }
            let schedule = self
                .servers
                .get_or_insert_with(server.clone(), || Schedule::new(now));
            schedule.drain(now);
            schedule.mentioned_at = now;
            schedule.named.record(call_limit::Said {
                at: sent_at.unwrap_or(now) - news.age,
                rate: news.rate,
            });
        }
    }

    /// Answers a router's question; see [`Self::hear`] for `sent_at`.
    pub fn ask(
        &mut self,
        now: clock::Millis,
        sent_at: Option<clock::Millis>,
        from: &id::InstanceId,
        ask: &Ask,
    ) -> Answer {
        self.hear(now, sent_at, &ask.news);
        for number in &ask.lost {
            self.take_back(&(from.clone(), *number));
        }
        let key = (from.clone(), ask.number);
        if let Some(grant) = self.grants.get(&key) {
            return grant.to_answer(now);
        }
        if sent_at.is_some_and(|at| now > at + MAX_ASK_AGE) {
            return Answer::NONE;
        }
        let answer = self.schedule(now, ask);
        if let Answer::Granted {
            server,
            delay,
            calls,
        } = &answer
        {
            let grant = Grant {
                server: server.clone(),
                calls: *calls,
                from: now + *delay,
                granted_at: now,
            };
            self.grants.insert(key, grant);
        }
        answer
    }

    /// Takes back the permits of a question whose answer was lost.
    fn take_back(&mut self, key: &(id::InstanceId, AskNumber)) {
        let Some(grant) = self.grants.remove(key) else {
            return;
        };
        if let Some(schedule) = self.servers.get_mut(&grant.server) {
            let unused = u64::from(grant.calls) * ONE_CALL;
            schedule.backlog = schedule.backlog.saturating_sub(unused);
        }
    }

    fn schedule(&mut self, now: clock::Millis, ask: &Ask) -> Answer {
        let opens_in = self.opens_at.map_or(TAKEOVER_TIME, |at| at - now);
        if opens_in > clock::Millis::ZERO {
            return Answer::Denied {
                wait: opens_in,
                retry_after: opens_in,
                interval: clock::Millis::ZERO,
            };
        }
        let mut best: Option<(clock::Millis, &id::BackendServerId)> = None;
        for server in &ask.servers {
            let schedule = self.servers.get_mut(server);
            let Some(schedule) = schedule.filter(|s| s.limit(now).is_some()) else {
                return Answer::Unlimited {
                    server: server.clone(),
                };
            };
            schedule.drain(now);
            let delay = schedule.next_in(now).max(ask.earliest);
            if best.is_none_or(|(earliest, _)| delay < earliest) {
                best = Some((delay, server));
            }
        }
        for _ in 0..ask.refused.min(MAX_REFUSED) {
            self.promise(now, &ask.servers, true);
        }
        let best = best.and_then(|(delay, server)| {
            let schedule = self.servers.get_mut(server)?;
            Some((delay, server.clone(), schedule))
        });
        let Some((delay, server, schedule)) = best else {
            return Answer::NONE;
        };
        if delay <= ask.latest.min(MAX_AHEAD) {
            let calls = schedule.take(now, delay, ask.calls);
            return Answer::Granted {
                server,
                delay,
                calls,
            };
        }
        let wait = schedule.next_in(now);
        let (retry_after, interval) = self.promise(now, &ask.servers, ask.refuses);
        Answer::Denied {
            wait,
            retry_after,
            interval,
        }
    }

    /// Returns the time until a call to one of `servers` that a refused caller can return for, and
    /// the time that each further caller should wait beyond that. With `is_refused`, the call counts
    /// as taken.
    fn promise(
        &mut self,
        now: clock::Millis,
        servers: &[id::BackendServerId],
        is_refused: bool,
    ) -> (clock::Millis, clock::Millis) {
        let mut first: Option<(clock::Millis, &id::BackendServerId)> = None;
        let mut total_rate = 0;
        for server in servers {
            let Some(schedule) = self.servers.get(server) else {
                continue;
            };
            total_rate += schedule.rate(now);
            let return_in = schedule.return_in(now);
            if first.is_none_or(|(earliest, _)| return_in < earliest) {
                first = Some((return_in, server));
            }
        }
        let Some((return_in, server)) = first else {
            return (MAX_AHEAD, clock::Millis::ZERO);
        };
        if let Some(schedule) = self.servers.get_mut(server).filter(|_| is_refused) {
            schedule.returning = schedule.returning.saturating_add(ONE_CALL);
        }
        (return_in, clock::Millis::new(ONE_CALL / total_rate))
    }

    /// Sets the limit of a server that is or may be cold; `None` when it is not.
    pub fn set_cold(
        &mut self,
        now: clock::Millis,
        server: &id::BackendServerId,
        rate: Option<unit::CallRate>,
    ) {
        let Some(schedule) = self.servers.get_mut(server) else {
            if rate.is_some() {
                // It has had no calls lately, or those of before its start, which do not count.
                let schedule = Schedule {
                    cold: rate,
                    backlog: 0,
                    ..Schedule::new(now)
                };
                self.servers.insert(server.clone(), schedule);
            }
            return;
        };
        if rate.is_some() {
            schedule.mentioned_at = now;
        }
        if schedule.cold == rate {
            return;
        }
        if schedule.cold.is_some() {
            schedule.drain(now);
        }
        schedule.cold = rate;
    }

    /// Returns the servers that are limited since they are or may be cold.
    pub fn cold(&self) -> Vec<id::BackendServerId> {
        let cold = self.servers.iter().filter(|(_, s)| s.cold.is_some());
        cold.map(|(server, _)| server.clone()).collect()
    }

    /// Returns the limits that hold, of all servers that any router has mentioned.
    pub fn limits(
        &self,
        now: clock::Millis,
    ) -> impl Iterator<Item = (&id::BackendServerId, Option<unit::CallRate>)> {
        let servers = self.servers.iter();
        servers.map(move |(server, schedule)| (server, schedule.limit(now)))
    }

    /// Forgets the limits that no router mentions any more.
    pub fn expire(&mut self, now: clock::Millis) {
        self.servers
            .retain(|_, s| s.cold.is_some() || now < s.mentioned_at + RETENTION);
        self.grants
            .retain(|_, g| now < g.granted_at + GRANT_RETENTION);
    }
}

impl Answer {
    /// The answer to a question that names no server, or that comes too late for its router.
    const NONE: Self = Self::Denied {
        wait: clock::Millis::ZERO,
        retry_after: MAX_AHEAD,
        interval: clock::Millis::ZERO,
    };
}

impl Grant {
    /// Returns the answer to a copy of the question; the router uses the first one that comes.
    fn to_answer(&self, now: clock::Millis) -> Answer {
        Answer::Granted {
            server: self.server.clone(),
            delay: self.from - now,
            calls: self.calls,
        }
    }
}

impl Schedule {
    /// Makes the schedule of a server that has just answered a call.
    fn new(now: clock::Millis) -> Self {
        Self {
            backlog: BURST,
            drained_at: now,
            mentioned_at: now,
            ..Self::default()
        }
    }

    /// Returns the lower one of the limit that the server names and the one while it may be cold.
    fn limit(&self, now: clock::Millis) -> Option<unit::CallRate> {
        let named = self.named.rate(now);
        named.into_iter().chain(self.cold).min()
    }

    /// Returns the rate in millionths of a call per millisecond.
    fn rate(&self, now: clock::Millis) -> u64 {
        let rate = self.limit(now).unwrap_or_default();
        rate.clamp(MIN_RATE, MAX_RATE).as_millicalls()
    }

    /// Subtracts the calls that the limit allows in the time since the last change.
    fn drain(&mut self, now: clock::Millis) {
        let allowed = self
            .rate(now)
            .saturating_mul((now - self.drained_at).as_u64());
        self.backlog = self.backlog.saturating_sub(allowed);
        self.returning = self.returning.saturating_sub(allowed);
        self.drained_at = now;
    }

    /// Returns the time until a further call.
    fn next_in(&self, now: clock::Millis) -> clock::Millis {
        let excess = (self.backlog + ONE_CALL).saturating_sub(BURST);
        clock::Millis::new(excess.div_ceil(self.rate(now)))
    }

    /// Schedules calls after `delay`, which is [`Self::next_in`] or more; returns how many.
    fn take(&mut self, now: clock::Millis, delay: clock::Millis, calls: u32) -> u32 {
        let rate = self.rate(now);
        let batch = rate.saturating_mul(MAX_BATCH_TIME.as_u64()) / ONE_CALL;
        let calls = u64::from(calls).min(batch).max(1);
        if delay > self.next_in(now) {
            // The calls that the limit allows until then are not made.
            self.backlog = self.backlog.max(rate.saturating_mul(delay.as_u64()));
        }
        self.backlog = self.backlog.saturating_add(calls * ONE_CALL);
        calls as u32
    }

    /// Returns the time until a call that neither is scheduled nor belongs to a caller that was told
    /// to return.
    fn return_in(&self, now: clock::Millis) -> clock::Millis {
        let before = self.backlog.saturating_add(self.returning);
        clock::Millis::new(before.div_ceil(self.rate(now)))
    }
}
