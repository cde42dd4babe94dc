//! The retry budget of each service, kept by the leader for the whole fleet.
//!
//! A retry is an arrival at a server beyond the first of its request. In any window, a service may get
//! a fixed ratio of its requests and a constant.
//!
//! The leader issues shares of the budget. A share lets one router send one retry within a short time,
//! which the router counts from the sending of its question. The leader counts it in every window in
//! which the retry may arrive, unless the router says that it did not send it. So whoever acts on old
//! news, the retries of all routers together stay within the budget. A part of the budget is set aside
//! for routers that get no share.

use crate::clock;
use crate::document;
use crate::fleet::message;
use crate::fleet::permit;
use crate::id;
use crate::macros;
use crate::sorted;

/// How long a share is valid: the way to the leader and back, and a connection to the server.
pub const LIFETIME: clock::Millis = clock::Millis::new(500);

/// How long a router waits for an answer.
pub const ASK_TIMEOUT: clock::Millis = permit::ASK_TIMEOUT;

/// The age of its last confirmation up to which a leader issues shares.
pub const MAX_CONFIRMATION_AGE: clock::Millis = permit::MAX_CONFIRMATION_AGE;

/// The part of the budget that is issued for required retries.
const REQUIRED_PERCENT: u64 = 87;

/// The part of the budget that may be in use when a share for an optional retry is issued.
const OPTIONAL_PERCENT: u64 = 35;

/// The part of the budget that all routers may spend without a leader. It is rounded at each router,
/// so a small rest is in no part.
pub const SET_ASIDE_PERCENT: u64 = 10;

/// The length of the slots into which times are grouped.
const SLOT: clock::Millis = clock::Millis::new(250);

/// The time for which the part of the budget that is left is computed once.
const HEADROOM_LIFETIME: clock::Millis = clock::Millis::new(20);

/// One router gets at most this many times its equal part of the constant, so that a new leader knows
/// a bound for a router that it has not heard from.
const MAX_EQUAL_PARTS: u64 = 6;

/// Equal parts are not larger than in a fleet of this size.
const MIN_ROUTERS: u64 = 24;

/// A router gets at least this many shares in a window.
const MIN_PER_ROUTER: u64 = 2;

macros::data! {copy
    /// Why a retry is made.
    pub enum Purpose {
        /// The request fails without it.
        Required,
        /// The request is served without it, but slower.
        Optional,
    }
}

impl Purpose {
    /// Returns the name in the log.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Required => "required",
            Self::Optional => "optional",
        }
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Settings {
    /// The retries allowed per request.
    pub ratio: f64,
    /// The retries allowed per window in addition, regardless of the number of requests.
    pub slack: u64,
    /// The window in which requests and retries are counted.
    pub window: clock::Millis,
}

macros::number! {
    /// The number of a router's question for a share, and of the share that it gets.
    ShareNumber
}

macros::data! {
    /// A router's question to the leader for a share.
    pub struct Ask {
        /// Unique for the router.
        pub number: ShareNumber,
        pub service: document::ServiceId,
        pub purpose: Purpose,
    }
}

macros::data! {copy
    /// The leader's answer to an [`Ask`].
    pub enum Answer {
        /// The router may send one retry, within [`LIFETIME`] of its question. A router that has heard
        /// of a later term must not use the share.
        Granted { term: id::Term },
        /// The budget has no share left.
        Denied,
    }
}

macros::data! {
    /// What became of a share.
    pub struct Settled {
        pub service: document::ServiceId,
        pub number: ShareNumber,
        /// Whether the retry was sent; otherwise it never will be.
        pub is_used: bool,
    }
}

/// The shares that one leader issues during its term.
#[derive(Debug, Default)]
pub struct Issuer {
    term: id::Term,
    settings: Settings,
    /// When the first report came; `None` before it.
    started_at: Option<clock::Millis>,
    routers: sorted::Map<id::InstanceId, Router>,
    services: sorted::Map<document::ServiceId, Service>,
    /// When processes started that may have sent retries in an earlier run, unknown how many.
    restarts: Vec<clock::Millis>,
}

/// What the leader knows of one router.
#[derive(Debug)]
struct Router {
    incarnation: id::Incarnation,
    /// The incarnation before, of which late reports may come.
    former: Option<id::Incarnation>,
    /// The age of the process in the last report.
    uptime: clock::Millis,
    /// The requests for each service since the process started.
    requests: sorted::Map<document::ServiceId, u64>,
    /// When the report with these numbers was sent, or earlier; `None` if that is not known.
    counted_at: Option<clock::Millis>,
    /// Whether its retries under previous leaders are contained in the shares.
    is_accounted: bool,
}

#[derive(Debug, Default)]
struct Service {
    /// The requests, by the slots in which they may have been sent.
    requests: sorted::Map<(Slot, Slot), u64>,
    shares: Vec<Share>,
    headroom: Option<Headroom>,
}

/// The number of a slot of time.
type Slot = u64;

#[derive(Debug)]
struct Share {
    router: id::InstanceId,
    /// `None` for a retry under a previous leader.
    number: Option<ShareNumber>,
    /// The latest time at which the retry may arrive.
    arrives_by: clock::Millis,
}

/// The shares that may be issued, as computed at a time, less those issued since.
#[derive(Clone, Copy, Debug)]
struct Headroom {
    computed_at: clock::Millis,
    required: i64,
    optional: i64,
}

impl Issuer {
    /// Makes the issuer of the leader in `term`, which has no reports.
    pub fn new(term: id::Term, settings: Settings) -> Self {
        Self {
            term,
            settings,
            ..Self::default()
        }
    }

    /// Applies a report that was sent at `sent_at` or later, `None` if that is not known. `knows_term`
    /// tells whether its router had heard of this leader, so that it uses no shares of others any more.
    pub fn hear(
        &mut self,
        now: clock::Millis,
        sent_at: Option<clock::Millis>,
        knows_term: bool,
        from: &id::InstanceId,
        report: &message::Report,
    ) {
        self.started_at.get_or_insert(now);
        for settled in &report.settled {
            self.settle(now, from, settled);
        }
        let is_accounted = self.routers.get(from).is_some_and(|r| r.is_accounted);
        if knows_term && !is_accounted {
            self.account(now, from, report);
        }
        self.count_requests(now, sent_at, from, report);
        if let Some(router) = self.routers.get_mut(from) {
            router.is_accounted |= knows_term;
        }
    }

    fn settle(&mut self, now: clock::Millis, from: &id::InstanceId, settled: &Settled) {
        let Some(service) = self.services.get_mut(&settled.service) else {
            return;
        };
        let number = Some(settled.number);
        let mut shares = service.shares.iter();
        let index = shares.position(|s| s.number == number && s.router == *from);
        match index {
            None => {}
            Some(index) if settled.is_used => {
                let share = &mut service.shares[index];
                share.arrives_by = share.arrives_by.min(now);
            }
            Some(index) => {
                service.shares.swap_remove(index);
            }
        }
    }

    /// Adds the retries that a router sent under previous leaders.
    fn account(&mut self, now: clock::Millis, from: &id::InstanceId, report: &message::Report) {
        for (service, attempts) in report.attempts.iter() {
            let service = self
                .services
                .get_or_insert_with(service.clone(), Service::default);
            let retry = || Share {
                router: from.clone(),
                number: None,
                arrives_by: now,
            };
            let retries = std::iter::repeat_with(retry).take(attempts.retries as usize);
            service.shares.extend(retries);
            service.headroom = None;
        }
        if report.uptime < self.settings.window {
            self.restarts.push(now - report.uptime);
        }
    }

    /// Adds the requests that came since the router's last report.
    fn count_requests(
        &mut self,
        now: clock::Millis,
        sent_at: Option<clock::Millis>,
        from: &id::InstanceId,
        report: &message::Report,
    ) {
        let known = self.routers.get(from);
        if known.is_some_and(|r| r.is_newer_than(report)) {
            return;
        }
        let same_run = known.filter(|r| r.incarnation == report.incarnation);
        let since = match same_run {
            Some(router) => router.counted_at,
            // All requests of a process came after its start; without a leader's time the report may
            // have been on its way for long.
            None => sent_at.map(|at| at - report.uptime),
        };
        if let Some(since) = since {
            let slots = (slot(since), slot(now));
            for (id, total) in report.requests.iter() {
                let counted = same_run.and_then(|r| r.requests.get(id)).copied();
                let new = total.saturating_sub(counted.unwrap_or_default());
                if new > 0 {
                    let service = self
                        .services
                        .get_or_insert_with(id.clone(), Service::default);
                    *service.requests.get_or_insert_with(slots, || 0) += new;
                }
            }
        }
        let former = known.map(|r| match same_run {
            Some(router) => router.former,
            None => Some(r.incarnation),
        });
        let router = Router {
            incarnation: report.incarnation,
            former: former.flatten(),
            uptime: report.uptime,
            requests: report.requests.clone(),
            counted_at: sent_at,
            is_accounted: known.is_some_and(|r| r.is_accounted),
        };
        self.routers.insert(from.clone(), router);
    }

    /// Answers a router's question; `routers` is the number of routers in the fleet.
    pub fn ask(
        &mut self,
        now: clock::Millis,
        from: &id::InstanceId,
        routers: u32,
        ask: &Ask,
    ) -> Answer {
        let max_per_router = self.max_per_router(routers);
        let unknown = self.unknown(now, routers) * max_per_router;
        let settings = self.settings;
        let restarts = &mut self.restarts;
        restarts.retain(|at| now < *at + settings.window + SLOT);
        let service = self
            .services
            .get_or_insert_with(ask.service.clone(), Service::default);
        service.prune(now, settings.window);
        let own = service.shares.iter().filter(|s| s.router == *from).count();
        if own as u64 >= max_per_router {
            return Answer::Denied;
        }
        let fresh = service
            .headroom
            .filter(|h| now < h.computed_at + HEADROOM_LIFETIME);
        let mut headroom = fresh.unwrap_or_else(|| {
            let restarted = restarts.iter().map(|at| (*at, max_per_router));
            service.compute_headroom(now, settings, unknown, restarted)
        });
        let left = match ask.purpose {
            Purpose::Required => headroom.required,
            Purpose::Optional => headroom.optional,
        };
        let is_granted = left >= 1;
        if is_granted {
            headroom.required -= 1;
            headroom.optional -= 1;
            service.shares.push(Share {
                router: from.clone(),
                number: Some(ask.number),
                arrives_by: now + LIFETIME,
            });
        }
        service.headroom = Some(headroom);
        if is_granted {
            Answer::Granted { term: self.term }
        } else {
            Answer::Denied
        }
    }

    /// Returns the number of routers that may have sent retries of which this leader does not know.
    fn unknown(&self, now: clock::Millis, routers: u32) -> u64 {
        let known_from = self.started_at.unwrap_or(now) + self.settings.window + LIFETIME;
        if now >= known_from {
            return 0;
        }
        let accounted = self.routers.values().filter(|r| r.is_accounted).count() as u64;
        u64::from(routers).saturating_sub(accounted)
    }

    /// Returns the most shares that one router gets in a window, the same at each leader.
    fn max_per_router(&self, routers: u32) -> u64 {
        let parts = u64::from(routers).max(MIN_ROUTERS);
        (self.settings.slack * MAX_EQUAL_PARTS / parts).max(MIN_PER_ROUTER)
    }
}

impl Router {
    /// Returns whether this is from a later report than another one of the router.
    fn is_newer_than(&self, report: &message::Report) -> bool {
        if self.incarnation == report.incarnation {
            self.uptime > report.uptime
        } else {
            self.former == Some(report.incarnation)
        }
    }
}

impl Service {
    /// Removes what has left all windows.
    fn prune(&mut self, now: clock::Millis, window: clock::Millis) {
        self.shares
            .retain(|s| now < s.arrives_by + window + SLOT * 2);
        let oldest = slot(now).saturating_sub(slot(window) * 2 + 2);
        self.requests.retain(|(since, _), _| *since >= oldest);
    }

    /// Computes the shares that may be issued such that each window that contains now stays within the
    /// budget, whenever in its slot it begins.
    ///
    /// A window counts the requests in it, in the one before or in the one half a window before.
    fn compute_headroom(
        &self,
        now: clock::Millis,
        settings: Settings,
        unknown: u64,
        restarted: impl Iterator<Item = (clock::Millis, u64)>,
    ) -> Headroom {
        let slots = slot(settings.window).max(1);
        let newest = slot(now);
        let mut used_by_age = vec![0; slots as usize + 1];
        let mut count = |at: clock::Millis, shares: u64| {
            let age = newest.saturating_sub(slot(at));
            if let Some(used) = used_by_age.get_mut(age as usize) {
                *used += shares;
            }
        };
        for share in &self.shares {
            count(share.arrives_by, 1);
        }
        for (at, shares) in restarted {
            count(at, shares);
        }
        let mut headroom = Headroom {
            computed_at: now,
            required: i64::MAX,
            optional: i64::MAX,
        };
        let mut used = unknown;
        for (age, shares) in used_by_age.iter().enumerate() {
            used += shares;
            let begin = newest.saturating_sub(age as u64);
            let ends = [begin, begin + slots / 2, begin + slots];
            let requests = ends.map(|end| self.requests_within(end, slots));
            let most = requests.into_iter().max().unwrap_or(0);
            let allowed = (settings.ratio * most as f64) as u64 + settings.slack;
            let left = |percent: u64| (allowed * percent / 100) as i64 - used as i64;
            headroom.required = headroom.required.min(left(REQUIRED_PERCENT));
            headroom.optional = headroom.optional.min(left(OPTIONAL_PERCENT));
        }
        headroom
    }

    /// Returns the requests that were certainly sent in a window that ends in the slot `end`.
    fn requests_within(&self, end: Slot, slots: u64) -> u64 {
        let is_within = |since: Slot, until: Slot| since + slots > end && until < end;
        let requests = self.requests.iter();
        let counted = requests.filter(|((since, until), _)| is_within(*since, *until));
        counted.map(|(_, count)| count).sum()
    }
}

fn slot(time: clock::Millis) -> Slot {
    time.as_u64() / SLOT.as_u64()
}
