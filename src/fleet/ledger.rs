//! The leader's sums over the reports of all gateways.

use crate::clock;
use crate::document;
use crate::fleet::message;
use crate::fleet::quota;
use crate::fleet::window;
use crate::id;
use crate::sorted;

/// The silence after which a gateway is no longer named as an entry; callers of a gateway that is
/// gone lose a second each.
const MAX_ENTRY_AGE: clock::Millis = clock::Millis::new(900);

/// The reports that a gateway misses until its share is set aside for it, one less than after which
/// it spends no more than that.
const MAX_MISSED_REPORTS: u64 = quota::STALE_REPORTS - 1;

/// How long a silent gateway counts: as long as its attempts may count in a window of others.
const GATEWAY_RETENTION: clock::Millis = clock::Millis::from_secs(12);

/// How long the load that a silent gateway reported counts.
const MAX_LOAD_AGE: clock::Millis = clock::Millis::from_secs(3);

/// The servers lost under one request after which it must not run any more.
const QUARANTINE_LOSSES: usize = 3;

/// How long losses are remembered.
const LOSS_RETENTION: clock::Millis = clock::Millis::from_secs(120);

/// The most requests with losses that are remembered.
const MAX_SUSPECTS: usize = 4_096;

/// The most barred requests that a summary names.
const MAX_QUARANTINED: usize = 256;

/// The gateways that can't reach a server until the others leave it alone; one may be cut off.
const MIN_REPORTERS: usize = 2;

/// The data centres that these must stand in, if there are as many; one may be cut off.
const MIN_REPORTER_DATA_CENTRES: usize = 2;

/// The shortest time between two reports of a gateway.
const MIN_REPORT_INTERVAL: clock::Millis = clock::Millis::new(100);

/// The time between two reports that each gateway adds, so that the leader's work stays bounded.
const REPORT_INTERVAL_PER_GATEWAY: clock::Millis = clock::Millis::new(2);

/// The sums of one leader; another leader starts with an empty one.
#[derive(Debug, Default)]
pub struct Ledger {
    gateways: sorted::Map<id::InstanceId, Gateway>,
    /// The last reports of gateways that have started anew since; their attempts count on.
    previous_incarnations: Vec<Gateway>,
    /// The gateways that another leader counted, until all that live must have reported here.
    previous_gateway_count: u32,
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
    last_at: clock::Millis,
}

impl Ledger {
    /// Starts without reports.
    pub fn new(quota_window: clock::Millis) -> Self {
        Self {
            quota_window,
            ..Self::default()
        }
    }

    /// Takes in the accounts of a document.
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

    /// Takes in a report and returns the sums for its sender.
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
        let before = self.gateways.insert(from.clone(), received);
        let restarted = before.filter(|b| b.report.incarnation != incarnation);
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
        let before = self.gateways.get(from).map(|g| &g.report);
        let before = before.filter(|b| b.incarnation == report.incarnation);
        for (id, spent) in report.spent.iter() {
            let Some(account) = self.accounts.get_mut(id) else {
                continue;
            };
            if let Some(counted) = before.and_then(|b| b.spent.get(id)) {
                account.used.add(now, spent - counted);
                continue;
            }
            // A router that this leader meets for the first time spent its part of the window
            // under another leader.
            for (age, units) in report.recent.get(id).into_iter().flatten() {
                account.used.add_past(now - *age, *units);
            }
        }
    }

    /// Returns the gateways that count for shares. A new leader has not heard all of them yet, and
    /// those that can't reach it spend their shares all the same.
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

    /// Returns what is left of each quota, without the shares of silent routers.
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
            .retain(|_, s| now < s.last_at + LOSS_RETENTION);
        for loss in losses {
            if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains(&loss.fingerprint) {
                log::warn!("too many requests lost their servers; {MAX_SUSPECTS} are remembered");
                return;
            }
            let fresh = Suspect {
                servers: Vec::new(),
                last_at: now,
            };
            let suspect = self.suspects.get_or_insert_with(loss.fingerprint, || fresh);
            suspect.last_at = now;
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

    /// Returns the servers that enough other gateways can't reach.
    fn unreachable(&self, now: clock::Millis, asker: &id::InstanceId) -> Vec<id::BackendServerId> {
        let fresh = |g: &Gateway| now < g.received_at + self.report_interval() * MAX_MISSED_REPORTS;
        let others = self.gateways.iter().filter(|(id, _)| *id != asker);
        let mut named: Vec<(&id::BackendServerId, &id::DataCentre)> = others
            .filter(|(_, g)| fresh(g))
            .flat_map(|(_, g)| {
                g.report
                    .unreachable
                    .iter()
                    .map(|s| (s, &g.report.data_centre))
            })
            .collect();
        named.sort();
        let centres = self.data_centres().min(MIN_REPORTER_DATA_CENTRES);
        named
            .chunk_by(|a, b| a.0 == b.0)
            .filter(|same| {
                let from = 1 + same.windows(2).filter(|w| w[0].1 != w[1].1).count();
                same.len() >= MIN_REPORTERS && from >= centres
            })
            .map(|same| same[0].0.clone())
            .collect()
    }

    /// Returns the number of data centres with gateways.
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

    /// Returns the time between two reports of a gateway.
    fn report_interval(&self) -> clock::Millis {
        MIN_REPORT_INTERVAL.max(REPORT_INTERVAL_PER_GATEWAY * self.gateways.len() as u64)
    }

    /// Returns the gateways that callers may be sent to.
    pub fn entries(&self, now: clock::Millis) -> Vec<message::Entry> {
        let alive = |g: &&Gateway| g.report.accepts && now < g.received_at + MAX_ENTRY_AGE;
        let alive = self.gateways.values().filter(alive);
        alive
            .map(|g| message::Entry {
                address: g.report.address,
                data_centre: g.report.data_centre.clone(),
            })
            .collect()
    }

    fn quarantined(&self) -> Vec<message::Fingerprint> {
        let quarantined = self.suspects.iter();
        quarantined
            .filter(|(_, s)| s.servers.len() >= QUARANTINE_LOSSES)
            .map(|(f, _)| *f)
            .take(MAX_QUARANTINED)
            .collect()
    }
}

impl message::Load {
    /// Adds another load.
    pub fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.memory = self.memory + other.memory;
        self.prompts = self.prompts + other.prompts;
    }
}
