//! Quotas of client accounts at one router.
//!
//! An account may use its rate for the length of a window, and its burst besides, in any window of
//! that length over the whole fleet. The leader adds up what all routers spent and tells what is
//! left with every summary; between two summaries a router subtracts what it spends itself. A
//! router that has had no summary for [`STALE_REPORTS`] reports spends an equal share of each quota, which
//! the leader sets aside for it.

use crate::clock;
use crate::document;
use crate::fleet::window;
use crate::id;
use crate::sorted;

/// The reports without a summary after which a router counts on its share alone, so that one lost
/// report changes nothing.
pub const STALE_REPORTS: u64 = 5;

/// The shortest wait that a refusal names.
const MIN_RETRY_AFTER: clock::Millis = clock::Millis::new(200);

/// The longest wait that a refusal names.
const MAX_RETRY_AFTER: clock::Millis = clock::Millis::from_secs(4);

/// The quotas as one router sees them.
#[derive(Debug)]
pub struct Quotas {
    window: clock::Millis,
    accounts: sorted::Map<id::ClientAccountId, Meter>,
    /// When the last summary is too old to count on.
    stale_at: clock::Millis,
    gateways: u32,
}

/// Why an account can't pay for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exceeded {
    /// An estimate of the time until it can.
    pub retry_after: clock::Millis,
    /// The units asked for.
    pub units: u64,
    /// The units that are left here.
    pub remaining: i64,
    /// The quota.
    pub quota: document::Quota,
    /// Whether this router counts on its own share, without a leader's sums.
    pub share_only: bool,
    /// How long the last sums are good for.
    pub fresh_for: clock::Millis,
}

#[derive(Debug)]
struct Meter {
    quota: document::Quota,
    /// Units spent since the start of the process.
    spent: i64,
    /// Units spent here in the window.
    recent: window::Window,
    /// What is left over the whole fleet, as far as is known.
    remaining: i64,
}

impl document::Quota {
    /// Returns the units that may be used in any window of a length.
    pub fn limit(&self, window: clock::Millis) -> i64 {
        (self.rate as f64 * window.as_secs_f64()) as i64 + self.burst as i64
    }
}

impl Quotas {
    /// Starts without accounts.
    pub fn new(window: clock::Millis) -> Self {
        Self {
            window,
            accounts: sorted::Map::new(),
            stale_at: clock::Millis::ZERO,
            gateways: 1,
        }
    }

    /// Takes in the accounts of a document.
    pub fn configure(&mut self, accounts: &[document::Account]) {
        let window = self.window;
        for account in accounts {
            let Some(quota) = account.quota else { continue };
            let fresh = || Meter {
                quota,
                spent: 0,
                recent: window::Window::new(window),
                remaining: quota.limit(window),
            };
            let meter = self.accounts.get_or_insert_with(account.id.clone(), fresh);
            meter.remaining += quota.limit(window) - meter.quota.limit(window);
            meter.quota = quota;
        }
        let limited = |id: &id::ClientAccountId| {
            let account = accounts.iter().find(|a| a.id == *id);
            account.is_some_and(|a| a.quota.is_some())
        };
        self.accounts.retain(|id, _| limited(id));
    }

    /// Returns what each account spent here since the start of the process, for a report.
    pub fn spent(&self) -> sorted::Map<id::ClientAccountId, i64> {
        let accounts = self.accounts.iter();
        accounts.map(|(id, m)| (id.clone(), m.spent)).collect()
    }

    /// Returns what each account spent here in the window and how long ago, for a report.
    pub fn recent(
        &mut self,
        now: clock::Millis,
    ) -> sorted::Map<id::ClientAccountId, Vec<(clock::Millis, i64)>> {
        let ids: Vec<id::ClientAccountId> = self.accounts.keys().cloned().collect();
        let recent = self.accounts.values_mut().map(|m| m.recent.ages(now));
        ids.into_iter()
            .zip(recent)
            .filter(|(_, ages)| !ages.is_empty())
            .collect()
    }

    /// Returns what is left of an account's quota over the whole fleet, as far as is known.
    pub fn remaining(&self, account: &id::ClientAccountId) -> Option<i64> {
        self.accounts.get(account).map(|meter| meter.remaining)
    }

    /// Returns the gateways that count for shares.
    pub fn gateways(&self) -> u32 {
        self.gateways
    }

    /// Takes in what is left, from a summary that answers a report with the given amounts spent.
    pub fn apply_summary(
        &mut self,
        now: clock::Millis,
        reported: &sorted::Map<id::ClientAccountId, i64>,
        remaining: &sorted::Map<id::ClientAccountId, i64>,
        gateways: u32,
        report_interval: clock::Millis,
    ) {
        self.stale_at = now + report_interval * STALE_REPORTS;
        self.gateways = gateways;
        for (id, remaining) in remaining.iter() {
            if let Some(meter) = self.accounts.get_mut(id) {
                let since = meter.spent - reported.get(id).copied().unwrap_or_default();
                meter.remaining = remaining - since;
            }
        }
    }

    /// Takes units for a request, or tells when to come back.
    ///
    /// # Errors
    ///
    /// Returns what is missing, with an estimate of the time until the account has enough units.
    pub fn charge(
        &mut self,
        now: clock::Millis,
        account: &id::ClientAccountId,
        units: u64,
    ) -> Result<(), Exceeded> {
        let share_only = now >= self.stale_at;
        let (window, gateways) = (self.window, i64::from(self.gateways.max(1)));
        let Some(meter) = self.accounts.get_mut(account) else {
            return Ok(());
        };
        let remaining = if share_only {
            meter.quota.limit(window) / gateways - meter.recent.sum(now)
        } else {
            meter.remaining
        };
        let missing = units as i64 - remaining;
        if missing <= 0 {
            meter.take(now, units as i64);
            return Ok(());
        }
        let retry_after = clock::Millis::new(missing as u64 * 1_000 / meter.quota.rate.max(1));
        Err(Exceeded {
            retry_after: retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
            units,
            remaining,
            quota: meter.quota,
            share_only,
            fresh_for: self.stale_at - now,
        })
    }

    /// Gives back the units of a request that did not run.
    pub fn refund(&mut self, now: clock::Millis, account: &id::ClientAccountId, units: u64) {
        if let Some(meter) = self.accounts.get_mut(account) {
            meter.take(now, -(units as i64));
        }
    }
}

impl Meter {
    fn take(&mut self, now: clock::Millis, units: i64) {
        self.spent += units;
        self.remaining -= units;
        self.recent.add(now, units);
    }
}
