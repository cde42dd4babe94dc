//! Quotas of client accounts at one gateway.
//!
//! In any window of the configured length, an account may use its rate times that length plus its
//! burst, over the whole fleet. The leader adds up what all gateways spent and sends the remaining
//! units with every summary; between two summaries a gateway subtracts what it spends itself. A
//! gateway that received no summary for [`STALE_REPORTS`] report intervals spends an equal share of
//! each quota, which the leader reserves for it.

use crate::clock;
use crate::document;
use crate::fleet::window;
use crate::id;
use crate::sorted;

/// The number of report intervals without a summary after which a gateway spends only its share.
///
/// Several, so that a single lost report has no effect.
pub const STALE_REPORTS: u64 = 5;

/// The lower bound of `retry_after` in a refusal.
const MIN_RETRY_AFTER: clock::Millis = clock::Millis::new(200);

/// The upper bound of `retry_after` in a refusal.
const MAX_RETRY_AFTER: clock::Millis = clock::Millis::from_secs(4);

/// The quotas of all accounts, as one gateway knows them.
#[derive(Debug)]
pub struct Quotas {
    window: clock::Millis,
    accounts: sorted::Map<id::ClientAccountId, Meter>,
    /// When the last summary becomes too old to use.
    stale_at: clock::Millis,
    /// The number of gateways among which quotas are shared.
    gateways: u32,
}

/// The reason why an account can't be charged for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exceeded {
    /// The estimated time until the account has enough units.
    pub retry_after: clock::Millis,
    /// The units that the request costs.
    pub units: u64,
    /// The remaining units: of this gateway's share if `share_only`, else of the whole fleet.
    pub remaining: i64,
    pub quota: document::Quota,
    /// Whether only this gateway's share counts, because the last summary is too old.
    pub share_only: bool,
    /// How long the last summary is still valid; zero when `share_only`.
    pub fresh_for: clock::Millis,
}

#[derive(Debug)]
struct Meter {
    quota: document::Quota,
    /// Units spent since the start of the process.
    spent: i64,
    /// Units spent at this gateway in the window.
    spent_in_window: window::Window,
    /// The remaining units over the whole fleet: those of the last summary less what this gateway
    /// spent since.
    remaining: i64,
}

impl document::Quota {
    /// Returns the units that may be used in any window of the given length.
    pub fn limit(&self, window: clock::Millis) -> i64 {
        (self.rate as f64 * window.as_secs_f64()) as i64 + self.burst as i64
    }
}

impl Quotas {
    /// Makes quotas without accounts; `window` is the length over which they are counted.
    pub fn new(window: clock::Millis) -> Self {
        Self {
            window,
            accounts: sorted::Map::new(),
            stale_at: clock::Millis::ZERO,
            gateways: 1,
        }
    }

    /// Replaces the quotas by those of a document; accounts that stay keep what they have spent.
    pub fn configure(&mut self, accounts: &[document::Account]) {
        let window = self.window;
        for account in accounts {
            let Some(quota) = account.quota else { continue };
            let fresh = || Meter {
                quota,
                spent: 0,
                spent_in_window: window::Window::new(window),
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

    /// Returns the units that each account spent at this gateway since the start of the process.
    pub fn spent(&self) -> sorted::Map<id::ClientAccountId, i64> {
        let accounts = self.accounts.iter();
        accounts.map(|(id, m)| (id.clone(), m.spent)).collect()
    }

    /// Returns the units that each account spent at this gateway in the window, with their ages.
    pub fn spent_in_window(
        &mut self,
        now: clock::Millis,
    ) -> sorted::Map<id::ClientAccountId, Vec<(clock::Millis, i64)>> {
        let ids: Vec<id::ClientAccountId> = self.accounts.keys().cloned().collect();
        let amounts = self
            .accounts
            .values_mut()
            .map(|m| m.spent_in_window.amounts_with_ages(now));
        ids.into_iter()
            .zip(amounts)
            .filter(|(_, amounts)| !amounts.is_empty())
            .collect()
    }

    /// Returns the remaining units of an account over the whole fleet, as of the last summary and
    /// this gateway's own charges since; `None` for an account without a quota.
    pub fn remaining(&self, account: &id::ClientAccountId) -> Option<i64> {
        self.accounts.get(account).map(|meter| meter.remaining)
    }

    /// Returns the number of gateways among which quotas are shared.
    pub fn gateways(&self) -> u32 {
        self.gateways
    }

    /// Sets the remaining units from the summary that answers a report.
    ///
    /// `reported` is what that report named as spent; units charged since then are subtracted.
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

    /// Charges an account for a request; an account without a quota is never refused.
    ///
    /// # Errors
    ///
    /// Returns [`Exceeded`] when the account has too few units remaining; nothing is charged then.
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
            meter.quota.limit(window) / gateways - meter.spent_in_window.sum(now)
        } else {
            meter.remaining
        };
        let missing = units as i64 - remaining;
        if missing <= 0 {
            meter.spend(now, units as i64);
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

    /// Returns the units of a request that did not run to its account.
    pub fn refund(&mut self, now: clock::Millis, account: &id::ClientAccountId, units: u64) {
        if let Some(meter) = self.accounts.get_mut(account) {
            meter.spend(now, -(units as i64));
        }
    }
}

impl Meter {
    fn spend(&mut self, now: clock::Millis, units: i64) {
        self.spent += units;
        self.remaining -= units;
        self.spent_in_window.add(now, units);
    }
}
