//! The leader's sums over the reports of all gateways.

use crate::clock;
use crate::document;
use crate::fleet::message;
use crate::id;
use crate::sorted;

/// The silence after which a gateway is no longer named as an entry; callers of a gateway that is
/// gone lose a second each.
const ENTRY_SILENCE: clock::Millis = clock::Millis::new(900);

/// The silence after which a gateway spends only its share, which is then set aside for it.
const SHARE_SILENCE: clock::Millis = clock::Millis::new(800);

/// How long a silent gateway counts: as long as its attempts may count in a window of others.
const GATEWAY_LIFE: clock::Millis = clock::Millis::from_secs(12);

/// How long the load that a silent gateway reported counts.
const LOAD_LIFE: clock::Millis = clock::Millis::from_secs(3);

/// The servers lost under one request after which it must not run any more.
const MAX_LOSSES: usize = 3;

/// How long losses are remembered.
const LOSS_LIFE: clock::Millis = clock::Millis::from_secs(120);

/// The most requests with losses that are remembered.
const MAX_SUSPECTS: usize = 4_096;

/// The most barred requests that a summary names.
const MAX_BARRED: usize = 256;

/// The shortest time between two reports of a gateway.
const MIN_REPORT: clock::Millis = clock::Millis::new(100);

/// The time between two reports that each gateway adds, so that the leader's work stays bounded.
const REPORT_PER_GATEWAY: clock::Millis = clock::Millis::new(5);

/// The sums of one leader; another leader starts with an empty one.
#[derive(Debug, Default)]
pub struct Ledger {
    gateways: sorted::Map<id::InstanceId, Gateway>,
    accounts: sorted::Map<id::ClientAccountId, Bucket>,
    suspects: sorted::Map<message::Fingerprint, Suspect>,
}

#[derive(Debug)]
struct Gateway {
    report: message::Report,
    heard_at: clock::Millis,
}

#[derive(Debug)]
struct Bucket {
    quota: document::Quota,
    level: f64,
    at: clock::Millis,
}

#[derive(Debug)]
struct Suspect {
    servers: Vec<u64>,
    last_at: clock::Millis,
}

/// What a summary holds of the ledger.
#[derive(Debug)]
pub struct Sums {
    /// When to report again.
    pub next: clock::Millis,
    /// Where callers may connect.
    pub entries: Vec<message::Entry>,
    /// The gateways that count for shares.
    pub gateways: u32,
    /// What is left of each quota.
    pub levels: sorted::Map<id::ClientAccountId, i64>,
    /// The attempts of the others.
    pub attempts: sorted::Map<document::ServiceId, message::Attempts>,
    /// The loads by the others.
    pub loads: sorted::Map<id::BackendServerId, message::Load>,
    /// Requests that must not run.
    pub barred: Vec<message::Fingerprint>,
}

impl Ledger {
    /// Takes in the accounts of a document; new accounts start with a full bucket.
    pub fn configure(&mut self, now: clock::Millis, accounts: &[document::Account]) {
        self.accounts
            .retain(|id, _| accounts.iter().any(|a| a.id == *id && a.quota.is_some()));
        for account in accounts {
            let Some(quota) = account.quota else { continue };
            let level = quota.burst as f64;
            let fresh = Bucket {
                quota,
                level,
                at: now,
            };
            let bucket = self
                .accounts
                .get_or_insert_with(account.id.clone(), || fresh);
            bucket.quota = quota;
            bucket.level = bucket.level.min(level);
        }
    }

    /// Takes in a report and returns the sums for its sender.
    pub fn report(
        &mut self,
        now: clock::Millis,
        from: &id::InstanceId,
        report: message::Report,
    ) -> Sums {
        self.refill(now);
        self.spend(from, &report);
        self.note_losses(now, &report.losses);
        let heard = Gateway {
            report,
            heard_at: now,
        };
        self.gateways.insert(from.clone(), heard);
        self.gateways.retain(|_, g| now < g.heard_at + GATEWAY_LIFE);
        self.sums(now, from)
    }

    fn refill(&mut self, now: clock::Millis) {
        let known = self.gateways.len().max(1) as f64;
        let silent = |g: &&Gateway| now >= g.heard_at + SHARE_SILENCE;
        let silent = self.gateways.values().filter(silent).count() as f64;
        let in_touch = 1.0 - silent / known;
        for bucket in self.accounts.values_mut() {
            let gained = bucket.quota.rate as f64 * (now - bucket.at).as_secs_f64() * in_touch;
            bucket.level = (bucket.level + gained).min(bucket.quota.burst as f64);
            bucket.at = now;
        }
    }

    fn spend(&mut self, from: &id::InstanceId, report: &message::Report) {
        let before = self.gateways.get(from).map(|g| &g.report);
        let before = before.filter(|b| b.incarnation == report.incarnation);
        for (account, spent) in report.spent.iter() {
            let Some(bucket) = self.accounts.get_mut(account) else {
                continue;
            };
            // A gateway that this leader meets for the first time spent an unknown part earlier.
            let counted = before.and_then(|b| b.spent.get(account)).copied();
            bucket.level -= (spent - counted.unwrap_or(*spent)) as f64;
        }
    }

    fn note_losses(&mut self, now: clock::Millis, losses: &[message::Loss]) {
        self.suspects.retain(|_, s| now < s.last_at + LOSS_LIFE);
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

    fn sums(&self, now: clock::Millis, asker: &id::InstanceId) -> Sums {
        let others = || self.gateways.iter().filter(|(id, _)| *id != asker);
        let mut attempts = sorted::Map::<document::ServiceId, message::Attempts>::new();
        let mut loads = sorted::Map::<id::BackendServerId, message::Load>::new();
        for (_, gateway) in others() {
            for (service, count) in gateway.report.attempts.iter() {
                let sum = attempts.get_or_insert_with(service.clone(), Default::default);
                sum.requests += count.requests;
                sum.repeats += count.repeats;
            }
            if now >= gateway.heard_at + LOAD_LIFE {
                continue;
            }
            for (server, load) in gateway.report.loads.iter() {
                loads
                    .get_or_insert_with(server.clone(), Default::default)
                    .add(*load);
            }
        }
        let levels = self.accounts.iter();
        Sums {
            next: MIN_REPORT.max(REPORT_PER_GATEWAY * self.gateways.len() as u64),
            entries: self.entries(now),
            gateways: self.gateways.len() as u32,
            levels: levels.map(|(id, b)| (id.clone(), b.level as i64)).collect(),
            attempts,
            loads,
            barred: self.barred(),
        }
    }

    /// Returns the gateways that callers may be sent to.
    pub fn entries(&self, now: clock::Millis) -> Vec<message::Entry> {
        let alive = |g: &&Gateway| g.report.accepts && now < g.heard_at + ENTRY_SILENCE;
        let alive = self.gateways.values().filter(alive);
        alive
            .map(|g| message::Entry {
                address: g.report.address,
                data_centre: g.report.data_centre.clone(),
            })
            .collect()
    }

    fn barred(&self) -> Vec<message::Fingerprint> {
        let barred = self.suspects.iter();
        barred
            .filter(|(_, s)| s.servers.len() >= MAX_LOSSES)
            .map(|(f, _)| *f)
            .take(MAX_BARRED)
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
