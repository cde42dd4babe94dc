//! The retry budget of one gateway: attempts beyond the first, bounded over the whole fleet.

use std::collections;

use crate::clock;
use crate::document;
use crate::fleet::message;
use crate::fleet::quota;
use crate::sorted;

/// The length of the slots in which attempts are counted.
const SLOT: clock::Millis = clock::Millis::new(250);

/// The part of the budget that is used; the rest covers attempts that others make unseen between
/// two summaries.
const USED_PERCENT: u64 = 70;

/// The settings of the budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// The attempts beyond the first that each request allows.
    pub ratio: f64,
    /// The attempts that are allowed besides.
    pub spare: u64,
    /// The window in which they are counted.
    pub window: clock::Millis,
}

/// The retry budget of one gateway.
#[derive(Debug)]
pub struct Budget {
    settings: Settings,
    services: sorted::Map<document::ServiceId, Window>,
    others: sorted::Map<document::ServiceId, message::Attempts>,
    gateways: u32,
    summary_at: Option<clock::Millis>,
}

#[derive(Debug, Default)]
struct Window {
    slots: collections::VecDeque<(clock::Millis, message::Attempts)>,
    sum: message::Attempts,
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
    pub fn note_request(&mut self, now: clock::Millis, service: &document::ServiceId) {
        self.window(now, service).add(now, 1, 0);
    }

    /// Takes one attempt beyond the first, if the budget has one.
    pub fn try_repeat(&mut self, now: clock::Millis, service: &document::ServiceId) -> bool {
        let own = self.window(now, service).sum;
        let stale = self
            .summary_at
            .is_none_or(|at| now >= at + quota::STALE_AFTER);
        let (others, spare) = if stale {
            let share = self.settings.spare / u64::from(self.gateways.max(1));
            (message::Attempts::default(), share)
        } else {
            let others = self.others.get(service).copied().unwrap_or_default();
            (others, self.settings.spare)
        };
        let earned = self.settings.ratio * (own.requests + others.requests) as f64;
        let allowed = (earned as u64 + spare) * USED_PERCENT / 100;
        let fits = own.repeats + others.repeats < allowed;
        if fits {
            self.window(now, service).add(now, 0, 1);
        }
        fits
    }

    /// Returns the attempts in the window, for a report.
    pub fn attempts(
        &mut self,
        now: clock::Millis,
    ) -> sorted::Map<document::ServiceId, message::Attempts> {
        let window = self.settings.window;
        let services = &mut self.services;
        services.values_mut().for_each(|w| w.expire(now, window));
        services.retain(|_, w| !w.slots.is_empty());
        services.iter().map(|(id, w)| (id.clone(), w.sum)).collect()
    }

    /// Takes in the attempts of the other gateways.
    pub fn learn(
        &mut self,
        now: clock::Millis,
        others: sorted::Map<document::ServiceId, message::Attempts>,
        gateways: u32,
    ) {
        self.others = others;
        self.gateways = gateways;
        self.summary_at = Some(now);
    }

    fn window(&mut self, now: clock::Millis, service: &document::ServiceId) -> &mut Window {
        let length = self.settings.window;
        let window = self
            .services
            .get_or_insert_with(service.clone(), Window::default);
        window.expire(now, length);
        window
    }
}

impl Window {
    fn add(&mut self, now: clock::Millis, requests: u64, repeats: u64) {
        let fresh = self.slots.back().is_none_or(|(at, _)| now >= *at + SLOT);
        if fresh {
            self.slots.push_back((now, message::Attempts::default()));
        }
        if let Some((_, slot)) = self.slots.back_mut() {
            slot.requests += requests;
            slot.repeats += repeats;
        }
        self.sum.requests += requests;
        self.sum.repeats += repeats;
    }

    fn expire(&mut self, now: clock::Millis, length: clock::Millis) {
        while let Some((at, slot)) = self.slots.front() {
            if now < *at + length + SLOT {
                return;
            }
            self.sum.requests -= slot.requests;
            self.sum.repeats -= slot.repeats;
            self.slots.pop_front();
        }
    }
}
