//! The use of quotas over all gateways, and the share of each gateway in what remains.

use crate::clock;
use crate::document;
use crate::fleet::allowance;
use crate::fleet::ledger;
use crate::fleet::message;
use crate::fleet::share;
use crate::fleet::window;
use crate::id;
use crate::sorted;

/// The time after which a new leader may take the gateways that have reported for all: a report
/// interval at 300 gateways, and the search for the leader.
const TAKEOVER_TIME: clock::Millis = clock::Millis::new(1_500);

/// The part of a limit by which shares may exceed it. Gateways use up their shares only in part, and
/// use counts from its report on, so without it an account at its limit gets 0.8 of it at 300
/// gateways. Deployments allow a tenth over the limit.
const OVERISSUE_PART: i64 = 12;

/// An account with less than this part of its limit remaining is contended: a gateway gets only a
/// part of what remains at once.
const CONTENDED_PART: i64 = 8;

/// The part of what remains that a gateway gets of a contended account beyond what its requests wait
/// for.
const CONTENDED_SHARE_PART: u64 = 4;

/// The requests that a gateway must get in a report interval to hold units of a contended account.
const MIN_REQUESTS: u64 = 2;

/// The part of what remains that all gateways without demand hold together.
const IDLE_SHARE_PART: u64 = 8;

/// The report intervals for whose demand a gateway gets units, as one report may be lost.
const SHARE_INTERVALS: u64 = 2;

/// The use of one account.
#[derive(Debug)]
pub(super) struct Account {
    /// `None` when the document has none; what was used stays counted.
    quota: Option<document::Quota>,
    /// What was reported to this leader as used in its term.
    used: window::Window,
    /// What was reported to this leader as used before its term.
    inherited: window::Window,
    /// What the replicated log says may have been used before its term.
    logged: window::Window,
    /// The units that were reported as charged in this term.
    charged: u64,
    /// The units that gateways may charge without a further summary.
    held: u64,
    /// The units that may be charged in this term as far as the replicated log has it.
    allowed: u64,
}

impl Account {
    fn new(window: clock::Millis) -> Self {
        Self {
            quota: None,
            used: window::Window::new(window),
            inherited: window::Window::new(window),
            logged: window::Window::new(window),
            charged: 0,
            held: 0,
            allowed: 0,
        }
    }

    /// Returns what was or may have been used in the window.
    fn used(&mut self, now: clock::Millis, is_use_known: bool) -> i64 {
        let inherited = self.inherited.sum(now);
        let logged = self.logged.sum(now);
        let before = if is_use_known {
            inherited
        } else {
            inherited.max(logged)
        };
        before + self.used.sum(now)
    }
}

/// Gateways that don't report, whose shares are reserved.
#[derive(Clone, Debug)]
struct Silent {
    /// The number of gateways among which quotas are shared.
    gateways: i64,
    count: i64,
    /// What they hold anyway.
    held: sorted::Map<id::ClientAccountId, u64>,
}

impl Silent {
    /// Returns the units to reserve beyond what the silent gateways hold.
    fn reserve(&self, account: &id::ClientAccountId, limit: i64) -> i64 {
        let held = self.held.get(account).copied().unwrap_or_default();
        (limit * self.count / self.gateways - held as i64).max(0)
    }
}

impl ledger::Ledger {
    /// Replaces the accounts by those of a document; their use so far is kept, also that of accounts
    /// which are removed, so that one which is added again has not forgotten it.
    pub fn configure(&mut self, accounts: &[document::Account]) {
        for account in self.accounts.values_mut() {
            account.quota = None;
        }
        let window = self.quota_window;
        for account in accounts.iter().filter(|a| a.quota.is_some()) {
            let make = || Account::new(window);
            let entry = self.accounts.get_or_insert_with(account.id.clone(), make);
            entry.quota = account.quota;
        }
    }

    /// Counts what the replicated log says may have been used before this term; returns the number of
    /// accounts with such use. Called once, before the first report.
    pub fn take_over(&mut self, now: clock::Millis, allowances: &allowance::Allowances) -> usize {
        let window = self.quota_window;
        let at = self.quota_time(now);
        for (id, used) in allowances.used() {
            let account = self
                .accounts
                .get_or_insert_with(id.clone(), || Account::new(window));
            for used in used.iter().filter(|u| u.units > 0) {
                account.logged.add_past(at - used.age, used.units as i64);
            }
            account.charged = account.charged.max(allowances.allowed(self.term, &id));
        }
        self.taken_over_at = Some(now);
        let at = self.quota_time(now);
        let accounts = self.accounts.values_mut();
        accounts
            .filter_map(|a| (a.logged.sum(at) > 0).then_some(()))
            .count()
    }

    /// Sets what the replicated log allows in this term. Before the first call there is no limit.
    pub fn set_allowed(&mut self, allowances: &allowance::Allowances) {
        self.is_use_logged = true;
        for (id, account) in self.accounts.iter_mut() {
            account.allowed = allowances.allowed(self.term, id);
        }
    }

    /// Returns the state of all accounts with a quota, for the replicated log.
    pub fn standings(&mut self, now: clock::Millis) -> Vec<allowance::Standing> {
        let silent = self.silent(now);
        let (at, window) = (self.quota_time(now), self.quota_window);
        let is_use_known = self.is_use_known;
        let accounts = self.accounts.iter_mut();
        let standings = accounts.filter_map(|(id, account)| {
            let limit = account.quota?.limit(window);
            let reserve = silent.reserve(id, limit);
            let used = account.used(at, is_use_known) + account.held as i64 + reserve;
            Some(allowance::Standing {
                account: id.clone(),
                used: account.charged,
                // Without what is reserved for silent gateways. A new leader hears of all of them
                // within its first second, and until then would log nearly the whole limit as issued.
                issued: account.charged + account.held,
                limit: limit as u64,
                remaining: (issue_limit(limit) - used).max(0) as u64,
            })
        });
        standings.collect()
    }

    /// Returns a time for the windows of quotas: use that is older than this process has a time, too.
    fn quota_time(&self, now: clock::Millis) -> clock::Millis {
        now + self.quota_window
    }

    /// Replaces what a late report says of quotas by what the newest said.
    pub(super) fn keep_newest_claims(&self, from: &id::InstanceId, report: &mut message::Report) {
        let Some(newest) = self.previous(from, report) else {
            return;
        };
        if number(report).is_some() && number(report) < number(newest) {
            report.extension.quotas = newest.extension.quotas.clone();
            report.spent = newest.spent.clone();
        }
    }

    /// Returns whether a report says the same of quotas as the one before, which was answered.
    pub(super) fn is_repeated(&self, from: &id::InstanceId, report: &message::Report) -> bool {
        let previous = self.previous(from, report);
        previous.is_some_and(|b| number(b).is_some() && number(b) == number(report))
    }

    /// Returns the newest report of the same incarnation.
    fn previous(
        &self,
        from: &id::InstanceId,
        report: &message::Report,
    ) -> Option<&message::Report> {
        let previous = self.gateways.get(from).map(|g| &g.report);
        previous.filter(|b| b.incarnation == report.incarnation)
    }

    pub(super) fn record_spending(
        &mut self,
        now: clock::Millis,
        from: &id::InstanceId,
        report: &message::Report,
    ) {
        let at = self.quota_time(now);
        let term_age = self.taken_over_at.map(|taken| now - taken);
        let previous = self.gateways.get(from).map(|g| &g.report);
        let previous = previous.filter(|b| b.incarnation == report.incarnation);
        for (id, spent) in report.spent.iter() {
            let Some(account) = self.accounts.get_mut(id) else {
                continue;
            };
            let Some(counted) = previous.and_then(|b| b.spent.get(id)) else {
                // This incarnation has not reported this account to this leader before.
                for (age, units) in report.spent_in_window.get(id).into_iter().flatten() {
                    if term_age.is_some_and(|term_age| *age < term_age) {
                        account.used.add_past(at - *age, *units);
                        account.charged += (*units).max(0) as u64;
                    } else {
                        account.inherited.add_past(at - *age, *units);
                    }
                }
                continue;
            };
            let charged = claim(report, id).map(|c| c.charged);
            let before = previous.and_then(|b| claim(b, id)).map(|c| c.charged);
            let change = spent - counted;
            let charged = match (charged, before) {
                (Some(now), Some(before)) => now.saturating_sub(before) as i64,
                _ => change.max(0),
            };
            // Nothing was charged after the last charge, so all of it may count from then on.
            let idle = claim(report, id).map_or(clock::Millis::ZERO, |c| c.idle);
            if charged > 0 {
                account.used.add_past(at - idle, charged);
            }
            account.charged += charged as u64;
            account.used.remove(at, charged - change);
        }
    }

    /// Returns the units of each account that a gateway was asked for in a report interval.
    pub(super) fn demand(
        &self,
        now: clock::Millis,
        from: &id::InstanceId,
        report: &message::Report,
    ) -> sorted::Map<id::ClientAccountId, u64> {
        let Some(claims) = &report.extension.quotas else {
            return sorted::Map::new();
        };
        let previous = self.previous(from, report);
        let gateway = self.gateways.get(from).filter(|_| previous.is_some());
        let accounts = claims.accounts.iter().map(|(id, claimed)| {
            let asked_before = previous.and_then(|b| claim(b, id)).map(|c| c.asked);
            let asked = claimed.asked - asked_before.unwrap_or_default().min(claimed.asked);
            let interval = self.report_interval();
            // A report before its time says little of the demand in an interval.
            let time = gateway.map_or(interval, |g| (now - g.received_at).max(interval));
            let recent = asked * interval.as_u64() / time.as_u64();
            let average = gateway.and_then(|g| g.demand.get(id)).copied();
            let average = average.unwrap_or_default();
            (id.clone(), recent.max((average * 3 + recent) / 4))
        });
        accounts.filter(|(_, units)| *units > 0).collect()
    }

    /// Counts what the sender of a report may charge without a further summary.
    pub(super) fn hold(
        &mut self,
        report: &message::Report,
    ) -> sorted::Map<id::ClientAccountId, u64> {
        let mut held = sorted::Map::new();
        let claims = report.extension.quotas.iter();
        for (id, claimed) in claims.flat_map(|q| q.accounts.iter()) {
            if let Some(account) = self.accounts.get_mut(id).filter(|_| claimed.open() > 0) {
                account.held += claimed.open();
                held.insert(id.clone(), claimed.open());
            }
        }
        held
    }

    /// Stops counting what a gateway may charge.
    pub(super) fn release_held(&mut self, held: &sorted::Map<id::ClientAccountId, u64>) {
        for (id, units) in held.iter() {
            let account = self.accounts.get_mut(id);
            let account = account.expect("accounts are never removed");
            assert!(account.held >= *units, "what gateways hold is in the sum");
            account.held -= units;
        }
    }

    /// Finds out whether all gateways that may have used units before this term have reported them:
    /// as many as the former leader counted, all running for longer than a window.
    pub(super) fn find_continuity(&mut self, now: clock::Millis) {
        let is_settled = |at: &clock::Millis| now >= *at + TAKEOVER_TIME;
        let taken_over_at = self.taken_over_at.filter(is_settled);
        let Some(taken_over_at) = taken_over_at.filter(|_| !self.is_use_known) else {
            return;
        };
        let is_all = self.gateways.len() as u32 >= self.previous_gateway_count;
        let needed = now - taken_over_at + self.quota_window;
        let covers = |g: &ledger::Gateway| g.report.uptime + (now - g.received_at) >= needed;
        let is_known = is_all && self.gateways.values().all(covers);
        self.is_use_known = is_known && self.previous_incarnations.is_empty();
    }

    fn silent(&self, now: clock::Millis) -> Silent {
        let gateways = i64::from(self.gateway_count(now)) + self.absent.len() as i64;
        let max_age = self.report_interval() * ledger::MAX_MISSED_REPORTS;
        let is_active = |g: &&ledger::Gateway| now < g.received_at + max_age;
        let active = self.gateways.values().filter(is_active).count() as i64;
        let mut held = sorted::Map::new();
        for gateway in self.gateways.values().filter(|g| !is_active(g)) {
            for (id, units) in gateway.held.iter() {
                *held.get_or_insert_with(id.clone(), || 0) += units;
            }
        }
        Silent {
            gateways,
            count: (gateways - active).max(0),
            held,
        }
    }

    /// Returns the remaining units of each quota, less the shares of silent gateways.
    pub(super) fn remaining(
        &mut self,
        now: clock::Millis,
    ) -> sorted::Map<id::ClientAccountId, i64> {
        let silent = self.silent(now);
        let (at, window) = (self.quota_time(now), self.quota_window);
        let is_use_known = self.is_use_known;
        let accounts = self.accounts.iter_mut();
        let remaining = accounts.filter_map(|(id, account)| {
            let limit = account.quota?.limit(window);
            let issued = account.held as i64 + silent.reserve(id, limit);
            let left = limit - issued - account.used(at, is_use_known);
            Some((id.clone(), left))
        });
        remaining.collect()
    }

    /// Issues the shares of a gateway that has just reported; `None` for one that knows no shares.
    pub fn shares(&mut self, now: clock::Millis, asker: &id::InstanceId) -> Option<share::Shares> {
        let silent = self.silent(now);
        let (at, window) = (self.quota_time(now), self.quota_window);
        let is_use_known = self.is_use_known;
        let gateway = self.gateways.get_mut(asker)?;
        let claims = gateway.report.extension.quotas.as_ref()?;
        let mut shares = sorted::Map::new();
        for (id, account) in self.accounts.iter_mut() {
            let Some(quota) = account.quota else { continue };
            // A gateway that has yet to get the document which adds the account names no use of it.
            let claimed = claims.accounts.get(id).copied().unwrap_or_default();
            let limit = quota.limit(window);
            let own = gateway.held.get(id).copied().unwrap_or_default();
            let held = (account.held - own) as i64;
            let reserve = silent.reserve(id, limit);
            let left = issue_limit(limit) - held - reserve - account.used(at, is_use_known);
            let room = if self.is_use_logged {
                left.min(account.allowed as i64 - account.charged as i64 - held)
            } else {
                left
            };
            let free = room.max(0) as u64;
            let demand = gateway.demand.get(id).copied().unwrap_or_default();
            let is_contended = left < limit / CONTENDED_PART;
            let share = share(free, claimed, demand, is_contended, silent.gateways as u64);
            // The answer may be lost, so the former mark counts until the gateway names the new one.
            let held = share.max(own);
            account.held = account.held - own + held;
            gateway.held.insert(id.clone(), held);
            let share = share::Share {
                mark: claimed.charged + share,
                free: (left - held as i64).max(0) as u64,
            };
            shares.insert(id.clone(), share);
        }
        Some(share::Shares {
            number: claims.number,
            gateways: silent.gateways as u32,
            accounts: shares,
        })
    }
}

/// Returns the units that shares may reach together with what was used.
fn issue_limit(limit: i64) -> i64 {
    limit + limit / OVERISSUE_PART
}

/// Returns the units that a gateway may charge until its next report.
fn share(free: u64, claimed: share::Claim, demand: u64, is_contended: bool, gateways: u64) -> u64 {
    let idle = free / IDLE_SHARE_PART / gateways.max(1);
    // Units that wait for a request to come are lost to the others. So of a contended account a
    // gateway that gets a request only now and then gets units when it asks for them.
    let is_rare = demand < claimed.largest * MIN_REQUESTS;
    let expected = match (is_contended, demand) {
        (_, 0) => 0,
        (true, _) if is_rare => 0,
        (true, demand) => demand,
        (false, demand) => demand * SHARE_INTERVALS + claimed.largest,
    };
    let wanted = (expected + claimed.wanted).max(idle);
    let most = if is_contended {
        claimed.wanted.max(free / CONTENDED_SHARE_PART)
    } else {
        free
    };
    wanted.min(most).min(free)
}

/// Returns the number of what a report says of shares.
fn number(report: &message::Report) -> Option<u64> {
    report.extension.quotas.as_ref().map(|q| q.number)
}

fn claim<'a>(
    report: &'a message::Report,
    account: &id::ClientAccountId,
) -> Option<&'a share::Claim> {
    let claims = report.extension.quotas.as_ref();
    claims.and_then(|q| q.accounts.get(account))
}
