//! Quotas of client accounts at one gateway.
//!
//! The leader keeps one bucket for each account and tells its level with every summary; between
//! two summaries a gateway subtracts what it spends itself. A gateway that has had no summary for
//! [`STALE_AFTER`] spends from a bucket of its own, with an equal share of rate and burst; the
//! leader sets that share aside for it.

use crate::clock;
use crate::document;
use crate::id;
use crate::sorted;

/// The age of a summary after which a gateway counts on its share alone; several reports long, so
/// that one lost report changes nothing.
pub const STALE_AFTER: clock::Millis = clock::Millis::new(1_000);

/// The part of a burst by which an account's level may be overdrawn before requests are refused,
/// as a divisor: what other gateways spend at the same moment is not known yet.
const OVERDRAFT_SHARE: i64 = 4;

/// The longest wait that a refusal names.
const LONGEST_WAIT: clock::Millis = clock::Millis::from_secs(4);

/// The quotas as one gateway sees them.
#[derive(Debug, Default)]
pub struct Quotas {
    accounts: sorted::Map<id::ClientAccountId, Meter>,
    summary_at: Option<clock::Millis>,
    gateways: u32,
}

#[derive(Debug)]
struct Meter {
    quota: document::Quota,
    /// Units spent since the start of the process.
    spent: i64,
    /// The level when `at` was.
    level: f64,
    at: clock::Millis,
    /// Whether `level` is this gateway's share alone.
    alone: bool,
}

impl Quotas {
    /// Takes in the accounts of a document.
    pub fn configure(&mut self, now: clock::Millis, accounts: &[document::Account]) {
        let limited = |id: &id::ClientAccountId| {
            let account = accounts.iter().find(|a| a.id == *id);
            account.and_then(|a| a.quota)
        };
        for account in accounts {
            let Some(quota) = account.quota else { continue };
            let meter = self
                .accounts
                .get_or_insert_with(account.id.clone(), || Meter::new(now, quota));
            meter.settle(now, meter.share(self.gateways));
            meter.quota = quota;
            meter.level = meter.level.min(quota.burst as f64);
        }
        self.accounts.retain(|id, _| limited(id).is_some());
    }

    /// Returns what each account spent, for a report.
    pub fn spent(&self) -> sorted::Map<id::ClientAccountId, i64> {
        let accounts = self.accounts.iter();
        accounts.map(|(id, m)| (id.clone(), m.spent)).collect()
    }

    /// Takes in the levels of a summary that answers a report with the given amounts spent.
    pub fn learn(
        &mut self,
        now: clock::Millis,
        reported: &sorted::Map<id::ClientAccountId, i64>,
        levels: &sorted::Map<id::ClientAccountId, i64>,
        gateways: u32,
    ) {
        self.summary_at = Some(now);
        self.gateways = gateways;
        for (id, level) in levels.iter() {
            let Some(meter) = self.accounts.get_mut(id) else {
                continue;
            };
            let since = meter.spent - reported.get(id).copied().unwrap_or_default();
            meter.level = (*level - since) as f64;
            meter.at = now;
            meter.alone = false;
        }
    }

    /// Takes units for a request, or tells when to come back.
    ///
    /// # Errors
    ///
    /// Returns the time until the account has enough units again.
    pub fn charge(
        &mut self,
        now: clock::Millis,
        account: &id::ClientAccountId,
        units: u64,
    ) -> Result<(), clock::Millis> {
        let stale = self.summary_at.is_none_or(|at| now >= at + STALE_AFTER);
        let gateways = self.gateways;
        let Some(meter) = self.accounts.get_mut(account) else {
            return Ok(());
        };
        if stale && !meter.alone {
            let share = meter.share(gateways);
            meter.level = meter.level.min(share.burst as f64);
            meter.alone = true;
        }
        let share = if meter.alone {
            meter.share(gateways)
        } else {
            meter.quota
        };
        meter.settle(now, share);
        let overdraft = share.burst as i64 / OVERDRAFT_SHARE;
        let after = meter.level - units as f64;
        if after < -(overdraft as f64) {
            let missing = -(overdraft as f64) - after;
            let wait = (missing * 1000.0 / share.rate.max(1) as f64) as u64;
            return Err(clock::Millis::new(wait).min(LONGEST_WAIT));
        }
        meter.level = after;
        meter.spent += units as i64;
        Ok(())
    }

    /// Gives back the units of a request that did not run.
    pub fn give_back(&mut self, account: &id::ClientAccountId, units: u64) {
        if let Some(meter) = self.accounts.get_mut(account) {
            meter.level += units as f64;
            meter.spent -= units as i64;
        }
    }
}

impl Meter {
    fn new(now: clock::Millis, quota: document::Quota) -> Self {
        Self {
            quota,
            spent: 0,
            level: quota.burst as f64,
            at: now,
            alone: false,
        }
    }

    fn share(&self, gateways: u32) -> document::Quota {
        let parts = u64::from(gateways.max(1));
        document::Quota {
            unit: self.quota.unit,
            rate: self.quota.rate / parts,
            burst: self.quota.burst / parts,
        }
    }

    fn settle(&mut self, now: clock::Millis, quota: document::Quota) {
        let gained = quota.rate as f64 * (now - self.at).as_secs_f64();
        self.level = (self.level + gained).min(quota.burst as f64);
        self.at = self.at.max(now);
    }
}
