//! Quotas of client accounts at one gateway.
//!
//! In any window of the configured length, an account may use its rate times that length plus its
//! burst, over the whole fleet. The leader adds up what all gateways spent and sends with every
//! summary how much this gateway may charge until the next ([`share`]). A leader of the first release
//! sends only the units that remain in the whole fleet; between two summaries a gateway subtracts what
//! it spends itself. A gateway that received no summary for [`STALE_REPORTS`] report intervals spends
//! an equal share of each quota, which the leader reserves for it.

use crate::clock;
use crate::document;
use crate::fleet::share;
use crate::fleet::window;
use crate::id;
use crate::sorted;

/// The number of report intervals without a summary after which a gateway spends only its share.
///
/// Several, so that a single lost report has no effect.
pub const STALE_REPORTS: u64 = 5;

/// The time for which a gateway spends its share after its last summary became too old. The leader
/// reserves the share no longer, since the gateway may be gone for good.
pub const MAX_SHARE_TIME: clock::Millis = clock::Millis::from_secs(30);

/// The lower bound of `retry_after` in a refusal.
const MIN_RETRY_AFTER: clock::Millis = clock::Millis::new(200);

/// The upper bound of `retry_after` in a refusal.
const MAX_RETRY_AFTER: clock::Millis = clock::Millis::from_secs(4);

/// The quotas of all accounts, as one gateway knows them.
#[derive(Debug)]
pub struct Quotas {
    window: clock::Millis,
    /// Accounts that lost their quota stay, so that their sums never fall.
    accounts: sorted::Map<id::ClientAccountId, Meter>,
    /// When the report was made that the last summary answers.
    answered_at: clock::Millis,
    /// When the last summary becomes too old to use.
    stale_at: clock::Millis,
    /// The number of gateways among which quotas are shared.
    gateways: u32,
    /// The number of gateways among which a leader that issues shares divides quotas; `None` when the
    /// leader issues none.
    share_gateways: Option<u32>,
    /// The number of the last report.
    report_number: u64,
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
    /// Whether the next summary probably brings a share for the request.
    pub may_wait: bool,
}

#[derive(Debug)]
struct Meter {
    /// `None` while the account has no quota.
    quota: Option<document::Quota>,
    /// Units spent since the start of the process.
    spent: i64,
    /// Units spent at this gateway in the window.
    spent_in_window: window::Window,
    /// The remaining units over the whole fleet: those of the last summary less what this gateway
    /// spent since.
    remaining: i64,
    claim: share::Claim,
    charged_at: clock::Millis,
    /// The units that no gateway held when the leader answered, and those charged before.
    free: u64,
    charged_before: u64,
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
            answered_at: clock::Millis::ZERO,
            stale_at: clock::Millis::ZERO,
            gateways: 1,
            share_gateways: None,
            report_number: 0,
        }
    }

    /// Replaces the quotas by those of a document; all accounts keep what they have spent.
    pub fn configure(&mut self, accounts: &[document::Account]) {
        let window = self.window;
        for (id, meter) in self.accounts.iter_mut() {
            let account = accounts.iter().find(|a| a.id == *id);
            if account.is_none_or(|a| a.quota.is_none()) {
                meter.quota = None;
            }
        }
        for account in accounts {
            let Some(quota) = account.quota else { continue };
            let fresh = || Meter {
                quota: None,
                spent: 0,
                spent_in_window: window::Window::new(window),
                remaining: 0,
                claim: share::Claim::default(),
                charged_at: clock::Millis::ZERO,
                free: 0,
                charged_before: 0,
            };
            let meter = self.accounts.get_or_insert_with(account.id.clone(), fresh);
            match meter.quota {
                Some(before) => meter.remaining += quota.limit(window) - before.limit(window),
                None => meter.remaining = quota.limit(window),
            }
            meter.quota = Some(quota);
        }
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
        self.accounts
            .iter_mut()
            .map(|(id, m)| (id.clone(), m.spent_in_window.amounts_with_ages(now)))
            .filter(|(_, amounts)| !amounts.is_empty())
            .collect()
    }

    /// Returns what the next report says of shares, and counts it.
    pub fn next_claims(&mut self, now: clock::Millis) -> share::Claims {
        self.report_number += 1;
        let accounts = self.accounts.iter_mut().map(|(id, meter)| {
            let claim = share::Claim {
                idle: now - meter.charged_at,
                ..meter.claim
            };
            meter.claim.wanted = 0;
            (id.clone(), claim)
        });
        share::Claims {
            number: self.report_number,
            accounts: accounts.collect(),
        }
    }

    /// Returns whether requests wait for a share that no report named yet.
    pub fn wants_share(&self) -> bool {
        self.accounts.values().any(|m| m.claim.wanted > 0)
    }

    /// Returns the remaining units of an account over the whole fleet, as of the last summary and
    /// this gateway's own charges since; `None` for an account without a quota.
    pub fn remaining(&self, account: &id::ClientAccountId) -> Option<i64> {
        let meter = self.accounts.get(account);
        meter.filter(|m| m.quota.is_some()).map(|m| m.remaining)
    }

    /// Returns the number of gateways among which quotas are shared.
    pub fn gateways(&self) -> u32 {
        self.gateways
    }

    /// Sets the remaining units from the summary that answers a report.
    ///
    /// `sent_at` is when that report was sent, and `reported` is what it named as spent; units
    /// charged since then are subtracted. What the summary allows expires by the time of the report:
    /// a gateway that was frozen before it read the summary must not use it.
    pub fn apply_summary(
        &mut self,
        sent_at: clock::Millis,
        reported: &sorted::Map<id::ClientAccountId, i64>,
        remaining: &sorted::Map<id::ClientAccountId, i64>,
        gateways: u32,
        report_interval: clock::Millis,
    ) {
        self.answered_at = sent_at;
        self.stale_at = sent_at + report_interval * STALE_REPORTS;
        self.gateways = gateways;
        self.share_gateways = None;
        for (id, remaining) in remaining.iter() {
            if let Some(meter) = self.accounts.get_mut(id) {
                let since = meter.spent - reported.get(id).copied().unwrap_or_default();
                meter.remaining = remaining - since;
            }
        }
    }

    /// Sets the marks from the summary that answers the last report; called after
    /// [`Self::apply_summary`].
    pub fn apply_shares(&mut self, shares: &share::Shares) {
        self.share_gateways = Some(shares.gateways);
        if shares.number != self.report_number {
            return;
        }
        for (id, share) in shares.accounts.iter() {
            if let Some(meter) = self.accounts.get_mut(id) {
                meter.claim.mark = share.mark;
                meter.free = share.free;
                meter.charged_before = meter.claim.charged;
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
        self.charge_again(now, account, units, true)
    }

    /// Charges as [`Self::charge`] does; `is_first` is false for a request that waited for a share.
    ///
    /// # Errors
    ///
    /// As for [`Self::charge`].
    pub fn charge_again(
        &mut self,
        now: clock::Millis,
        account: &id::ClientAccountId,
        units: u64,
        is_first: bool,
    ) -> Result<(), Exceeded> {
        let share_only = now >= self.stale_at;
        let window = self.window;
        let has_shares = self.share_gateways.is_some();
        let gateways = i64::from(self.share_gateways.unwrap_or(self.gateways).max(1));
        // Until then, what other gateways used before the last summary is in the window, too.
        let is_recent = has_shares && now < self.answered_at + window;
        let is_gone = has_shares && now >= self.stale_at + MAX_SHARE_TIME;
        let meter = self.accounts.get_mut(account);
        let Some((meter, quota)) = meter.and_then(|m| m.quota.map(|q| (m, q))) else {
            return Ok(());
        };
        if is_first {
            meter.claim.asked += units;
            meter.claim.largest = units.max(meter.claim.largest * 7 / 8);
        }
        let limit = quota.limit(window);
        let may_wait = !share_only && has_shares && meter.free >= units;
        let remaining = if self.stale_at == clock::Millis::ZERO || is_gone {
            // Before the first summary this gateway does not know how many share the quota; later
            // on the leader no longer reserves its share.
            0
        } else if share_only {
            let share = limit / gateways - meter.spent_in_window.sum(now);
            if is_recent {
                share.min(meter.share_of_free(gateways))
            } else {
                share
            }
        } else if has_shares {
            meter.claim.open() as i64
        } else {
            meter.remaining
        };
        let missing = units as i64 - remaining;
        if missing <= 0 {
            meter.spend(now, units);
            return Ok(());
        }
        if may_wait {
            // Reset with each report; a request that still waits then is counted again.
            meter.claim.wanted += units;
        }
        let retry_after = clock::Millis::new(missing as u64 * 1_000 / quota.rate.max(1));
        Err(Exceeded {
            retry_after: retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
            units,
            remaining: if has_shares && !share_only {
                meter.remaining
            } else {
                remaining
            },
            quota,
            share_only,
            fresh_for: self.stale_at - now,
            may_wait,
        })
    }

    /// Returns the units of a request that did not run to its account. The request must have been
    /// charged within the window; what was charged before is no longer counted.
    pub fn refund(&mut self, now: clock::Millis, account: &id::ClientAccountId, units: u64) {
        if let Some(meter) = self.accounts.get_mut(account) {
            meter.spent -= units as i64;
            meter.remaining += units as i64;
            meter.spent_in_window.remove(now, units as i64);
        }
    }
}

impl Meter {
    /// Returns what is left of the mark and of an equal share in what no gateway held.
    fn share_of_free(&self, gateways: i64) -> i64 {
        let open = self.claim.mark.saturating_sub(self.charged_before) as i64;
        let charged = (self.claim.charged - self.charged_before) as i64;
        open + self.free as i64 / gateways - charged
    }

    fn spend(&mut self, now: clock::Millis, units: u64) {
        self.claim.charged += units;
        self.charged_at = now;
        self.spent += units as i64;
        self.remaining -= units as i64;
        self.spent_in_window.add(now, units as i64);
    }
}
