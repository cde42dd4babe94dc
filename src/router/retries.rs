//! The shares of the retry budget that one router has, and its retries so far.

use crate::clock;
use crate::document;
use crate::fleet::budget;
use crate::fleet::message;
use crate::fleet::window;
use crate::id;
use crate::sorted;

/// How long no question is asked after one that got no share.
const DENIED_PAUSE: clock::Millis = clock::Millis::new(50);

/// How long a refused prefill tells that the next one may be refused as well.
const REFUSAL_MEMORY: clock::Millis = clock::Millis::from_secs(2);

/// The right to send one retry for a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    source: Source,
    until: clock::Millis,
}

/// Where a share comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    Leader(budget::ShareNumber),
    /// The part of the budget that is set aside for this router.
    SetAside,
}

impl Share {
    /// Returns whether the retry may be sent at a time.
    pub fn is_valid(self, now: clock::Millis) -> bool {
        now < self.until
    }
}

/// The retries of one router.
#[derive(Debug)]
pub struct Retries {
    settings: budget::Settings,
    /// When the process started.
    started_at: clock::Millis,
    /// Rounds the part that is set aside: up at as many routers as make the sum right.
    rounding: f64,
    services: sorted::Map<document::ServiceId, Service>,
    next_number: budget::ShareNumber,
    settled: Vec<budget::Settled>,
    /// The term of the last leader that this router heard of.
    term: id::Term,
    /// The number of routers in the fleet.
    routers: u32,
}

#[derive(Debug)]
struct Service {
    /// The requests since the process started.
    total: u64,
    requests: window::Window,
    /// The retries that were sent with a leader's share.
    sent: window::Window,
    /// The retries that were taken from the part that is set aside.
    set_aside: window::Window,
    /// The shares of leaders that were neither used nor given back.
    held: u64,
    /// Until when no question is asked, for each purpose.
    denied_until: sorted::Map<budget::Purpose, clock::Millis>,
    prefill_refused_at: Option<clock::Millis>,
}

impl Retries {
    /// Makes the state of a process that starts now. `random` makes the numbers of its shares differ
    /// from those of an earlier run.
    pub fn new(now: clock::Millis, settings: budget::Settings, random: u32) -> Self {
        Self {
            settings,
            started_at: now,
            rounding: f64::from(random) / (f64::from(u32::MAX) + 1.0),
            services: sorted::Map::new(),
            next_number: budget::ShareNumber::new(u64::from(random) << u32::BITS),
            settled: Vec::new(),
            term: id::Term::default(),
            routers: 1,
        }
    }

    /// Records the first attempt of a request.
    pub fn record_request(&mut self, now: clock::Millis, service: &document::ServiceId) {
        let service = self.service(service);
        service.total += 1;
        service.requests.add(now, 1);
    }

    /// Begins a question for a share; returns its number, or `None` when another one was answered in
    /// vain a moment ago.
    pub fn begin_ask(
        &mut self,
        now: clock::Millis,
        service: &document::ServiceId,
        purpose: budget::Purpose,
    ) -> Option<budget::ShareNumber> {
        let denied_until = self.service(service).denied_until.get(&purpose);
        if denied_until.is_some_and(|until| now < *until) {
            return None;
        }
        let number = self.next_number;
        self.next_number = number.next();
        Some(number)
    }

    /// Applies the leader's answer to a question that was sent at `sent_at`; `None` when there was no
    /// answer in time.
    pub fn apply(
        &mut self,
        now: clock::Millis,
        sent_at: clock::Millis,
        ask: &budget::Ask,
        answer: Option<budget::Answer>,
    ) -> Option<Share> {
        match answer {
            Some(budget::Answer::Granted { term }) if term >= self.term => {
                self.service(&ask.service).held += 1;
                return Some(Share {
                    source: Source::Leader(ask.number),
                    until: sent_at + budget::LIFETIME,
                });
            }
            Some(budget::Answer::Denied) => {}
            Some(budget::Answer::Granted { .. }) | None => self.settle(ask, false),
        }
        let service = self.service(&ask.service);
        service.denied_until.insert(ask.purpose, now + DENIED_PAUSE);
        None
    }

    fn settle(&mut self, ask: &budget::Ask, is_used: bool) {
        self.settled.push(budget::Settled {
            service: ask.service.clone(),
            number: ask.number,
            is_used,
        });
    }

    /// Takes a share from the part of the budget that is set aside for this router, if one is left.
    ///
    /// An earlier run of the process may have used it, so there is none for a window after the start.
    pub fn take_set_aside(
        &mut self,
        now: clock::Millis,
        service: &document::ServiceId,
    ) -> Option<Share> {
        let budget::Settings {
            ratio,
            slack,
            window,
        } = self.settings;
        if now < self.started_at + window {
            return None;
        }
        let (routers, rounding) = (f64::from(self.routers.max(1)), self.rounding);
        let service = self.service(service);
        let requests = service.requests.sum(now).max(0) as f64;
        let part = (slack as f64 / routers + ratio * requests) * budget::SET_ASIDE_PERCENT as f64;
        let allowed = (part / 100.0 + rounding).floor() as i64;
        if service.set_aside.sum(now) >= allowed {
            return None;
        }
        service.set_aside.add(now, 1);
        Some(Share {
            source: Source::SetAside,
            until: now + budget::LIFETIME,
        })
    }

    /// Records that the retry of a share is sent.
    pub fn record_sent(&mut self, now: clock::Millis, service: &document::ServiceId, share: Share) {
        if let Source::Leader(number) = share.source {
            let state = self.service(service);
            state.held -= 1;
            state.sent.add(now, 1);
            self.settled.push(budget::Settled {
                service: service.clone(),
                number,
                is_used: true,
            });
        }
    }

    /// Gives back a share whose retry is never sent.
    pub fn give_back(&mut self, service: &document::ServiceId, share: Share) {
        if let Source::Leader(number) = share.source {
            self.service(service).held -= 1;
            self.settled.push(budget::Settled {
                service: service.clone(),
                number,
                is_used: false,
            });
        }
    }

    /// Records whether a prefill server refused the prefill that was sent last.
    pub fn record_prefill(
        &mut self,
        now: clock::Millis,
        service: &document::ServiceId,
        is_refused: bool,
    ) {
        self.service(service).prefill_refused_at = is_refused.then_some(now);
    }

    /// Returns whether prefill servers refuse at present, as far as this router knows.
    pub fn are_prefills_refused(&self, now: clock::Millis, service: &document::ServiceId) -> bool {
        let service = self.services.get(service);
        let refused_at = service.and_then(|s| s.prefill_refused_at);
        refused_at.is_some_and(|at| now < at + REFUSAL_MEMORY)
    }

    /// Returns the requests since the process started, by service.
    pub fn requests(&self) -> sorted::Map<document::ServiceId, u64> {
        let services = self.services.iter();
        services.map(|(id, s)| (id.clone(), s.total)).collect()
    }

    /// Returns the requests and retries in the window, by service.
    pub fn attempts(
        &mut self,
        now: clock::Millis,
    ) -> sorted::Map<document::ServiceId, message::Attempts> {
        let ids: Vec<_> = self.services.keys().cloned().collect();
        let attempts = self.services.values_mut().map(|s| message::Attempts {
            requests: s.requests.sum(now).max(0) as u64,
            retries: s.sent.sum(now).max(0) as u64 + s.held,
        });
        ids.into_iter().zip(attempts).collect()
    }

    /// Takes what is to be reported of shares.
    pub fn take_settled(&mut self) -> Vec<budget::Settled> {
        std::mem::take(&mut self.settled)
    }

    /// Puts back what a report said of shares that was not answered.
    pub fn restore_settled(&mut self, settled: Vec<budget::Settled>) {
        self.settled.extend(settled);
    }

    /// Applies a summary of the leader in `term`.
    pub fn apply_summary(&mut self, term: id::Term, routers: u32) {
        self.term = self.term.max(term);
        self.routers = routers;
    }

    fn service(&mut self, id: &document::ServiceId) -> &mut Service {
        let window = self.settings.window;
        let fresh = || Service {
            total: 0,
            requests: window::Window::new(window),
            sent: window::Window::new(window),
            set_aside: window::Window::new(window),
            held: 0,
            denied_until: sorted::Map::new(),
            prefill_refused_at: None,
        };
        self.services.get_or_insert_with(id.clone(), fresh)
    }
}
