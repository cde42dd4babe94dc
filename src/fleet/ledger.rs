//! Aggregates the reports of all gateways at the leader.

use crate::clock;
use crate::document;
use crate::fleet::message;
use crate::fleet::quota;
use crate::fleet::window;
use crate::id;
use crate::sorted;

/// The longest time since a gateway's last report for which callers are sent to it. A caller that
/// is sent to a failed gateway loses a second.
const MAX_ENTRY_AGE: clock::Millis = clock::Millis::new(900);

/// The number of missed reports after which a gateway counts as silent and its share of each quota
/// is reserved for it.
///
/// One less than [`quota::STALE_REPORTS`], so that the share is reserved before the gateway falls
/// back to it.
const MAX_MISSED_REPORTS: u64 = quota::STALE_REPORTS - 1;

/// How long a silent gateway is kept: as long as its attempts may count in a budget window of the
/// other gateways.
const GATEWAY_RETENTION: clock::Millis = clock::Millis::from_secs(12);

/// The longest time for which the load that a silent gateway reported is counted.
const MAX_LOAD_AGE: clock::Millis = clock::Millis::from_secs(3);

/// The number of servers lost while they ran a request after which the request is quarantined.
const QUARANTINE_LOSSES: usize = 3;

/// How long the losses of a request are kept after the last one.
const LOSS_RETENTION: clock::Millis = clock::Millis::from_secs(120);

/// The maximum number of requests whose losses are kept.
const MAX_SUSPECTS: usize = 4_096;

/// The maximum number of quarantined requests in one summary.
const MAX_QUARANTINED: usize = 256;

/// The number of gateways that must report a server as unreachable before the others are told; a
/// single gateway may be cut off itself.
const MIN_REPORTERS: usize = 2;

/// The number of data centres that these gateways must be in, if the fleet has as many; a single
/// data centre may be cut off itself.
const MIN_REPORTER_DATA_CENTRES: usize = 2;

const MIN_REPORT_INTERVAL: clock::Millis = clock::Millis::new(100);

/// The report interval grows by this for each gateway, which bounds the leader's load.
const REPORT_INTERVAL_PER_GATEWAY: clock::Millis = clock::Millis::new(2);

/// The reports that one leader received during its term; a new leader starts with an empty ledger.
#[derive(Debug, Default)]
pub struct Ledger {
    gateways: sorted::Map<id::InstanceId, Gateway>,
    /// The last reports of gateways that have restarted since; their attempts still count.
    previous_incarnations: Vec<Gateway>,
    /// The highest number of gateways that a previous leader counted, taken from the reports.
    previous_gateway_count: u32,
    /// When all live gateways must have reported to this leader; from then on
    /// `previous_gateway_count` is ignored.
    previous_count_until: Option<clock::Millis>,
    quota_window: clock::Millis,
    accounts: sorted::Map<id::ClientAccountId, Account>,
    suspects: sorted::Map<message::Fingerprint, Suspect>,
}

#[derive(Debug)]
struct Gateway {
    report: message::Report,
    received_at: clock::Millis,
}

#[derive(Debug)]
struct Account {
    quota: document::Quota,
    used: window::Window,
}

#[derive(Debug)]
struct Suspect {
    servers: Vec<u64>,
    last_loss_at: clock::Millis,
}

impl Ledger {
    /// Makes a ledger without reports or accounts.
    pub fn new(quota_window: clock::Millis) -> Self {
        Self {
            quota_window,
            ..Self::default()
        }
    }

    /// Replaces the accounts by those of a document; their use so far is kept.
    pub fn configure(&mut self, accounts: &[document::Account]) {
        self.accounts
            .retain(|id, _| accounts.iter().any(|a| a.id == *id && a.quota.is_some()));
        let window = self.quota_window;
        for account in accounts {
            let Some(quota) = account.quota else { continue };
            let fresh = || Account {
                quota,
                used: window::Window::new(window),
            };
            let entry = self.accounts.get_or_insert_with(account.id.clone(), fresh);
            entry.quota = quota;
        }
    }

    /// Records a report and returns the sums for its sender.
    pub fn report(
        &mut self,
        now: clock::Millis,
        from: &id::InstanceId,
        report: message::Report,
    ) -> message::Sums {
        self.record_spending(now, from, &report);
        self.record_gateway_count(now, report.gateways);
        self.record_losses(now, &report.losses);
        let received = Gateway {
            report,
            received_at: now,
        };
        let incarnation = received.report.incarnation;
        let previous = self.gateways.insert(from.clone(), received);
        let restarted = previous.filter(|b| b.report.incarnation != incarnation);
        self.previous_incarnations.extend(restarted);
        self.previous_incarnations
            .retain(|g| now < g.received_at + GATEWAY_RETENTION);
        self.gateways
            .retain(|_, g| now < g.received_at + GATEWAY_RETENTION);
        self.sums(now, from)
    }

    fn record_spending(
        &mut self,
        now: clock::Millis,
        from: &id::InstanceId,
        report: &message::Report,
    ) {
        let previous = self.gateways.get(from).map(|g| &g.report);
        let previous = previous.filter(|b| b.incarnation == report.incarnation);
        for (id, spent) in report.spent.iter() {
            let Some(account) = self.accounts.get_mut(id) else {
                continue;
            };
            if let Some(counted) = previous.and_then(|b| b.spent.get(id)) {
                account.used.add(now, spent - counted);
                continue;
            }
            // This incarnation has not reported this account to this leader before: what it spent
            // in the window, it spent under a previous leader.
            for (age, units) in report.spent_in_window.get(id).into_iter().flatten() {
                account.used.add_past(now - *age, *units);
            }
        }
    }

    /// Returns the number of gateways among which quotas are shared.
    ///
    /// A new leader has not heard from all of them yet, so it uses the previous leader's count if
    /// that is higher: gateways that can't reach the leader spend their shares all the same.
    fn gateway_count(&self, now: clock::Millis) -> u32 {
        let own = (self.gateways.len() as u32).max(1);
        if self.previous_count_until.is_some_and(|until| now < until) {
            own.max(self.previous_gateway_count)
        } else {
            own
        }
    }

    fn record_gateway_count(&mut self, now: clock::Millis, count: u32) {
        if *self
            .previous_count_until
            .get_or_insert(now + GATEWAY_RETENTION)
            > now
        {
            self.previous_gateway_count = self.previous_gateway_count.max(count);
        }
    }

    /// Returns the remaining units of each quota, less the shares of silent gateways.
    fn remaining(&mut self, now: clock::Millis) -> sorted::Map<id::ClientAccountId, i64> {
        let gateway_count = i64::from(self.gateway_count(now));
        let active =
            |g: &&Gateway| now < g.received_at + self.report_interval() * MAX_MISSED_REPORTS;
        let active = self.gateways.values().filter(active).count() as i64;
        let silent = (gateway_count - active).max(0);
        let window = self.quota_window;
        let ids: Vec<id::ClientAccountId> = self.accounts.keys().cloned().collect();
        let remaining = self.accounts.values_mut().map(|account| {
            let limit = account.quota.limit(window);
            limit - limit * silent / gateway_count - account.used.sum(now)
        });
        ids.into_iter().zip(remaining).collect()
    }

    fn record_losses(&mut self, now: clock::Millis, losses: &[message::Loss]) {
        self.suspects
            .retain(|_, s| now < s.last_loss_at + LOSS_RETENTION);
        for loss in losses {
            if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains(&loss.fingerprint) {
                log::warn!(
                    "{MAX_SUSPECTS} requests have lost servers; losses of others are dropped"
                );
                return;
            }
            let fresh = Suspect {
                servers: Vec::new(),
                last_loss_at: now,
            };
            let suspect = self.suspects.get_or_insert_with(loss.fingerprint, || fresh);
            suspect.last_loss_at = now;
            suspect.servers.push(loss.server);
        }
    }

    fn sums(&mut self, now: clock::Millis, asker: &id::InstanceId) -> message::Sums {
        let remaining = self.remaining(now);
        let others = || self.gateways.iter().filter(|(id, _)| *id != asker);
        let mut attempts = sorted::Map::<document::ServiceId, message::Attempts>::new();
        let mut loads = sorted::Map::<id::BackendServerId, message::Load>::new();
        let counted = others().map(|(_, g)| g).chain(&self.previous_incarnations);
        for (service, count) in counted.flat_map(|g| g.report.attempts.iter()) {
            let sum = attempts.get_or_insert_with(service.clone(), Default::default);
            sum.requests += count.requests;
            sum.retries += count.retries;
        }
        for (_, gateway) in others() {
            if now >= gateway.received_at + MAX_LOAD_AGE {
                continue;
            }
            for (server, load) in gateway.report.loads.iter() {
                loads
                    .get_or_insert_with(server.clone(), Default::default)
                    .add(*load);
            }
        }
        message::Sums {
            report_interval: self.report_interval(),
            entries: self.entries(now),
            gateways: self.gateway_count(now),
            remaining,
            attempts,
            loads,
            quarantined: self.quarantined(),
            unreachable: self.unreachable(now, asker),
        }
    }

    /// Returns the servers that at least [`MIN_REPORTERS`] gateways other than `asker` can't reach,
    /// from at least [`MIN_REPORTER_DATA_CENTRES`] data centres, sorted.
    fn unreachable(&self, now: clock::Millis, asker: &id::InstanceId) -> Vec<id::BackendServerId> {
        let fresh = |g: &Gateway| now < g.received_at + self.report_interval() * MAX_MISSED_REPORTS;
        let others = self.gateways.iter().filter(|(id, _)| *id != asker);
        let mut reported: Vec<(&id::BackendServerId, &id::DataCentre)> = others
            .filter(|(_, g)| fresh(g))
            .flat_map(|(_, g)| {
                g.report
                    .unreachable
                    .iter()
                    .map(|s| (s, &g.report.data_centre))
            })
            .collect();
        reported.sort();
        let min_centres = self.data_centres().min(MIN_REPORTER_DATA_CENTRES);
        reported
            .chunk_by(|a, b| a.0 == b.0)
            .filter(|reports| {
                let reporting_centres = 1 + reports.windows(2).filter(|w| w[0].1 != w[1].1).count();
                reports.len() >= MIN_REPORTERS && reporting_centres >= min_centres
            })
            .map(|reports| reports[0].0.clone())
            .collect()
    }

    /// Counts the data centres that have gateways.
    fn data_centres(&self) -> usize {
        let mut centres: Vec<&id::DataCentre> = self
            .gateways
            .values()
            .map(|g| &g.report.data_centre)
            .collect();
        centres.sort();
        centres.dedup();
        centres.len()
    }

    fn report_interval(&self) -> clock::Millis {
        MIN_REPORT_INTERVAL.max(REPORT_INTERVAL_PER_GATEWAY * self.gateways.len() as u64)
    }

    /// Returns the gateways that accept callers and have reported recently.
    pub fn entries(&self, now: clock::Millis) -> Vec<message::Entry> {
        let alive = |g: &&Gateway| g.report.accepts_callers && now < g.received_at + MAX_ENTRY_AGE;
        let alive = self.gateways.values().filter(alive);
        alive
            .map(|g| message::Entry {
                address: g.report.address,
                data_centre: g.report.data_centre.clone(),
            })
            .collect()
    }

    fn quarantined(&self) -> Vec<message::Fingerprint> {
        let suspects = self.suspects.iter();
        suspects
            .filter(|(_, s)| s.servers.len() >= QUARANTINE_LOSSES)
            .map(|(f, _)| *f)
            .take(MAX_QUARANTINED)
            .collect()
    }
}

impl message::Load {
    pub fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.memory = self.memory + other.memory;
        self.prompts = self.prompts + other.prompts;
    }
}
