//! The retry budget of one gateway, which bounds retries over the whole fleet.
//!
//! A retry is an attempt beyond the first of a request. The budget of a service allows a fixed
//! ratio of its requests in the window plus a constant.

use crate::clock;
use crate::document;
use crate::fleet::message;
use crate::fleet::window;
use crate::sorted;

/// The age of the last summary after which a gateway uses only its share; several report intervals.
const MAX_SUMMARY_AGE: clock::Millis = clock::Millis::new(1_000);

/// The part of the budget that required retries may use; the rest covers retries that other
/// gateways make between two summaries.
const REQUIRED_PERCENT: u64 = 70;

/// The part of the budget that optional retries may use; the rest is left for required ones.
const OPTIONAL_PERCENT: u64 = 25;

/// Why a retry is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// The request fails without it.
    Required,
    /// The request is served without it, but slower.
    Optional,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// The retries allowed per request.
    pub ratio: f64,
    /// The retries allowed per window in addition, regardless of the number of requests.
    pub slack: u64,
    /// The window in which requests and retries are counted.
    pub window: clock::Millis,
}

/// Whether a retry may be made, with the counts that decided it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    pub granted: bool,
    /// The retries made in the window: at this gateway, and at the others as of the last summary.
    pub used: u64,
    /// The retries that are allowed in the window for this purpose.
    pub allowed: u64,
}

/// The retry budget of one gateway, counted per service.
#[derive(Debug)]
pub struct Budget {
    settings: Settings,
    services: sorted::Map<document::ServiceId, Counts>,
    /// The requests and retries of all other gateways, from the last summary.
    others: sorted::Map<document::ServiceId, message::Attempts>,
    gateways: u32,
    summary_at: Option<clock::Millis>,
}

/// The requests and retries of one service in the window.
#[derive(Debug)]
struct Counts {
    requests: window::Window,
    retries: window::Window,
}

impl Budget {
    /// Makes a budget without any requests or retries recorded.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            services: sorted::Map::new(),
            others: sorted::Map::new(),
            gateways: 1,
            summary_at: None,
        }
    }

    /// Records the first attempt of a request.
    pub fn record_request(&mut self, now: clock::Millis, service: &document::ServiceId) {
        self.counts(service).requests.add(now, 1);
    }

    /// Decides whether a retry may be made, and records it if so.
    ///
    /// Without a recent summary only this gateway's own requests and its share of the slack count.
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

    /// Records a retry that is made regardless of the budget.
    pub fn record_retry(&mut self, now: clock::Millis, service: &document::ServiceId) {
        self.counts(service).retries.add(now, 1);
    }

    /// Returns this gateway's requests and retries in the window, by service.
    pub fn attempts(
        &mut self,
        now: clock::Millis,
    ) -> sorted::Map<document::ServiceId, message::Attempts> {
        let counts = self.services.values_mut().map(|c| c.sums(now));
        let sums: Vec<message::Attempts> = counts.collect();
        let ids = self.services.keys().cloned();
        ids.zip(sums).collect()
    }

    /// Replaces the counts of the other gateways by those of a summary.
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
