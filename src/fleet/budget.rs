//! The retry budget of one gateway: attempts beyond the first, bounded over the whole fleet.

use crate::clock;
use crate::document;
use crate::fleet::message;
use crate::fleet::window;
use crate::sorted;

/// The age of a summary after which a router counts on its share alone, several reports long.
const MAX_SUMMARY_AGE: clock::Millis = clock::Millis::new(1_000);

/// The part of the budget that is used; the rest covers attempts that others make unseen between
/// two summaries.
const REQUIRED_PERCENT: u64 = 70;

/// The part up to which attempts are made that a request can do without; the rest is for those that
/// it fails without.
const OPTIONAL_PERCENT: u64 = 25;

/// What an attempt beyond the first is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// The request fails without it.
    Required,
    /// The request is served without it, but slower.
    Optional,
}

/// The settings of the budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// The attempts beyond the first that each request allows.
    pub ratio: f64,
    /// The attempts that are allowed besides.
    pub slack: u64,
    /// The window in which they are counted.
    pub window: clock::Millis,
}

/// Whether an attempt may be made, and what decided it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// Whether it may.
    pub granted: bool,
    /// The attempts beyond the first that were made in the window, as far as is known.
    pub used: u64,
    /// Those that are allowed.
    pub allowed: u64,
}

/// The retry budget of one gateway.
#[derive(Debug)]
pub struct Budget {
    settings: Settings,
    services: sorted::Map<document::ServiceId, Counts>,
    others: sorted::Map<document::ServiceId, message::Attempts>,
    gateways: u32,
    summary_at: Option<clock::Millis>,
}

/// The attempts for one service in the window.
#[derive(Debug)]
struct Counts {
    requests: window::Window,
    retries: window::Window,
}

impl Budget {
    /// Starts with no attempts.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            services: sorted::Map::new(),
            others: sorted::Map::new(),
            gateways: 1,
            summary_at: None,
        }
    }

    /// Notes the first attempt of a request.
    pub fn record_request(&mut self, now: clock::Millis, service: &document::ServiceId) {
        self.counts(service).requests.add(now, 1);
    }

    /// Takes one attempt beyond the first, if the budget has one.
    pub fn try_retry(
        &mut self,
        now: clock::Millis,
        service: &document::ServiceId,
        purpose: Purpose,
    ) -> Verdict {
        let own = self.counts(service).sums(now);
        let stale = self.summary_at.is_none_or(|at| now >= at + MAX_SUMMARY_AGE);
        let (others, slack) = if stale {
            let share = self.settings.slack / u64::from(self.gateways.max(1));
            (message::Attempts::default(), share)
        } else {
            let others = self.others.get(service).copied().unwrap_or_default();
            (others, self.settings.slack)
        };
        let earned = self.settings.ratio * (own.requests + others.requests) as f64;
        let percent = match purpose {
            Purpose::Required => REQUIRED_PERCENT,
            Purpose::Optional => OPTIONAL_PERCENT,
        };
        let allowed = (earned as u64 + slack) * percent / 100;
        let used = own.retries + others.retries;
        let granted = used < allowed;
        if granted {
            self.counts(service).retries.add(now, 1);
        }
        Verdict {
            granted,
            used,
            allowed,
        }
    }

    /// Counts an attempt beyond the first that is made in any case.
    pub fn record_retry(&mut self, now: clock::Millis, service: &document::ServiceId) {
        self.counts(service).retries.add(now, 1);
    }

    /// Returns the attempts in the window, for a report.
    pub fn attempts(
        &mut self,
        now: clock::Millis,
    ) -> sorted::Map<document::ServiceId, message::Attempts> {
        let counts = self.services.values_mut().map(|c| c.sums(now));
        let sums: Vec<message::Attempts> = counts.collect();
        let ids = self.services.keys().cloned();
        ids.zip(sums).collect()
    }

    /// Takes in the attempts of the other gateways.
    pub fn apply_summary(
        &mut self,
        now: clock::Millis,
        others: sorted::Map<document::ServiceId, message::Attempts>,
        gateways: u32,
    ) {
        self.others = others;
        self.gateways = gateways;
        self.summary_at = Some(now);
    }

    fn counts(&mut self, service: &document::ServiceId) -> &mut Counts {
        let length = self.settings.window;
        let fresh = || Counts {
            requests: window::Window::new(length),
            retries: window::Window::new(length),
        };
        self.services.get_or_insert_with(service.clone(), fresh)
    }
}

impl Counts {
    fn sums(&mut self, now: clock::Millis) -> message::Attempts {
        message::Attempts {
            requests: self.requests.sum(now).max(0) as u64,
            retries: self.retries.sum(now).max(0) as u64,
        }
    }
}
