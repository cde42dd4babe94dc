//! Aggregates the reports of all gateways at the leader.

mod cold_servers;
mod quotas;
mod runs;
mod servers;

use crate::clock;
use crate::document;
use crate::fleet::budget;
use crate::fleet::cold;
use crate::fleet::crashes;
use crate::fleet::evacuation;
use crate::fleet::failing;
use crate::fleet::message;
use crate::fleet::permit;
use crate::fleet::quota;
use crate::fleet::reach;
use crate::fleet::totals;
use crate::id;
use crate::sorted;

/// The longest time since a gateway's last report for which callers are sent to it, in addition to
/// one report interval. A caller that is sent to a failed gateway loses a second.
const MAX_ENTRY_DELAY: clock::Millis = clock::Millis::new(800);

/// The number of missed reports after which a gateway counts as silent and its share of each quota
/// is reserved for it.
///
/// One less than [`quota::STALE_REPORTS`], so that the share is reserved before the gateway falls
/// back to it.
const MAX_MISSED_REPORTS: u64 = quota::STALE_REPORTS - 1;

/// How long a silent gateway is kept: as long as its attempts may count in a budget window of the
/// other gateways.
const GATEWAY_RETENTION: clock::Millis = clock::Millis::from_secs(12);

/// How long the share of a silent gateway in each quota is reserved: it spends it for
/// [`quota::MAX_SHARE_TIME`] after its last summary is stale, 3 s at 300 gateways, and what it spent
/// counts for a window of 8 s.
const QUOTA_RETENTION: clock::Millis = clock::Millis::from_secs(42);

/// The longest time for which the load that a silent gateway reported is counted.
const MAX_LOAD_AGE: clock::Millis = clock::Millis::from_secs(3);

/// The time between two searches for gateways that have become silent.
const EXPIRY_INTERVAL: clock::Millis = clock::Millis::new(100);

const MIN_REPORT_INTERVAL: clock::Millis = clock::Millis::new(100);

/// The report interval grows by this for each gateway, which bounds the leader's load.
const REPORT_INTERVAL_PER_GATEWAY: clock::Millis = clock::Millis::new(2);

/// The reports that one leader received during its term; a new leader starts with an empty ledger.
#[derive(Debug, Default)]
pub struct Ledger {
    /// The term of the leader; changes are numbered within it.
    term: id::Term,
    gateways: sorted::Map<id::InstanceId, Gateway>,
    totals: totals::Totals,
    /// The sums of the attempts of all gateways and previous incarnations.
    attempts: sorted::Map<document::ServiceId, message::Attempts>,
    next_expiry: clock::Millis,
    failing: failing::Failing,
    /// Which gateways don't reach the servers that others reach. Callers are not sent to those that are cut
    /// off, and what they say of servers does not count.
    reach: reach::Reach,
    permits: permit::Issuer,
    retries: budget::Issuer,
    /// The last reports of gateways that have restarted since; their attempts still count.
    previous_incarnations: Vec<Gateway>,
    /// The highest number of gateways that a previous leader counted, taken from the reports.
    previous_gateway_count: u32,
    /// When all live gateways must have reported to this leader; from then on
    /// `previous_gateway_count` is ignored.
    previous_count_until: Option<clock::Millis>,
    quota_window: clock::Millis,
    accounts: sorted::Map<id::ClientAccountId, quotas::Account>,
    /// When this leader took over what the replicated log has of the accounts' use.
    taken_over_at: Option<clock::Millis>,
    /// Gateways that have been silent for longer than [`GATEWAY_RETENTION`] and may still spend their
    /// shares of quotas, and until when that counts.
    absent: sorted::Map<id::InstanceId, clock::Millis>,
    /// Whether gateways may use only what the replicated log allows.
    is_use_logged: bool,
    /// Whether the reports to this leader name all use before its term.
    is_use_known: bool,
    crashes: crashes::Crashes,
    cold: cold::Registry,
    next_standings: clock::Millis,
}

#[derive(Debug)]
struct Gateway {
    report: message::Report,
    received_at: clock::Millis,
    /// Whether its loads are contained in the totals.
    has_counted_loads: bool,
    /// The units that it may charge to each account without a further summary.
    held: sorted::Map<id::ClientAccountId, u64>,
    /// The units of each account that it was asked for lately in a report interval.
    demand: sorted::Map<id::ClientAccountId, u64>,
}

/// How many routers have a revision of the evacuations in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Progress {
    /// The number of routers that report.
    pub routers: usize,
    /// Those of them that have not reported the revision yet, sorted.
    pub behind: Vec<id::InstanceId>,
}

impl Ledger {
    /// Makes the ledger of the leader in `term`, without reports or accounts.
    pub fn new(term: id::Term, quota_window: clock::Millis) -> Self {
        Self {
            term,
            quota_window,
            ..Self::default()
        }
    }

    /// Sets the retry budget of each service; without it, there are no retries.
    #[must_use]
    pub fn with_budget(mut self, budget: budget::Settings) -> Self {
        self.retries = budget::Issuer::new(self.term, budget);
        self
    }

    /// Sets the bounds for calls to cold servers.
    #[must_use]
    pub fn with_cold(mut self, settings: cold::Settings) -> Self {
        self.cold = cold::Registry::new(settings);
        self
    }

    /// Records a report and returns the sums for its sender.
    pub fn report(
        &mut self,
        now: clock::Millis,
        from: &id::InstanceId,
        mut report: message::Report,
    ) -> message::Sums {
        self.keep_newest_claims(from, &mut report);
        self.record_spending(now, from, &report);
        self.record_gateway_count(now, report.gateways);
        let demand = self.demand(now, from, &report);
        let known = report.known.filter(|(term, _)| *term == self.term);
        let sent_at = self.own_time(report.sent_at);
        self.record_runs(now, sent_at, &report);
        self.permits.hear(now, sent_at, &report.limits);
        self.cold.record(now, sent_at, &report.extension.cold);
        self.retries
            .hear(now, sent_at, known.is_some(), from, &report);
        self.store(now, from, report, demand);
        self.find_continuity(now);
        if now >= self.next_expiry {
            self.next_expiry = now + EXPIRY_INTERVAL;
            self.expire(now);
            self.find_cut_off(now);
            self.find_failing(now);
            self.update_limits(now);
            self.update_standings(now);
        }
        self.sums(now, from, known.map(|(_, sequence)| sequence))
    }

    /// Answers a question for permits.
    pub fn ask(
        &mut self,
        now: clock::Millis,
        from: &id::InstanceId,
        ask: &permit::Ask,
    ) -> permit::Answer {
        let sent_at = self.own_time(ask.sent_at);
        self.limit_cold(now, &ask.servers);
        self.permits.ask(now, sent_at, from, ask)
    }

    /// Answers a question for a share of the retry budget.
    pub fn ask_retry(
        &mut self,
        now: clock::Millis,
        from: &id::InstanceId,
        ask: &budget::Ask,
    ) -> budget::Answer {
        let routers = self.gateway_count(now);
        self.retries.ask(now, from, routers, ask)
    }

    /// Returns a time of this leader; `None` if it is of another one.
    fn own_time(&self, time: Option<permit::LeaderTime>) -> Option<clock::Millis> {
        time.filter(|t| t.term == self.term).map(|t| t.at)
    }

    /// Brings the limits in the totals up to date.
    fn update_limits(&mut self, now: clock::Millis) {
        self.update_cold(now);
        self.permits.expire(now);
        let limits: sorted::Map<_, _> = self.permits.limits(now).collect();
        for server in self.totals.limited() {
            if !limits.contains(&&server) {
                self.totals.set_limit(now, &server, None);
            }
        }
        for (server, rate) in limits.iter() {
            self.totals.set_limit(now, server, *rate);
        }
    }

    /// Replaces the last report of a gateway and updates the totals.
    fn store(
        &mut self,
        now: clock::Millis,
        from: &id::InstanceId,
        report: message::Report,
        demand: sorted::Map<id::ClientAccountId, u64>,
    ) {
        let none = sorted::Map::new();
        let is_repeated = self.is_repeated(from, &report);
        let mut repeated_held = None;
        let previous = self.gateways.remove(from);
        let counted = previous.as_ref().filter(|g| g.has_counted_loads);
        let before = counted.map_or(&none, |g| &g.report.loads);
        self.totals.replace_loads(now, before, &report.loads);
        if let Some(previous) = previous {
            if previous.report.address != report.address {
                self.totals.set_entry(now, previous.report.address, None);
            }
            if previous.report.incarnation == report.incarnation {
                self.remove_attempts(&previous.report);
                if is_repeated {
                    repeated_held = Some(previous.held);
                } else {
                    self.release_held(&previous.held);
                }
            } else {
                self.previous_incarnations.push(previous);
            }
        }
        let accepts_callers = report.accepts_callers && !self.is_cut_off(from);
        let entry = accepts_callers.then_some(&report.data_centre);
        self.totals.set_entry(now, report.address, entry);
        for (service, count) in report.attempts.iter().filter(|(_, c)| !c.is_zero()) {
            self.attempts
                .get_or_insert_with(service.clone(), Default::default)
                .add(*count);
        }
        let held = repeated_held.unwrap_or_else(|| self.hold(&report));
        let received = Gateway {
            report,
            received_at: now,
            has_counted_loads: true,
            held,
            demand,
        };
        self.absent.remove(from);
        self.gateways.insert(from.clone(), received);
    }

    /// Removes silent gateways from the totals: first from the entries, then their loads, last
    /// their attempts.
    fn expire(&mut self, now: clock::Millis) {
        let max_entry_age = self.max_entry_age();
        for gateway in self.gateways.values_mut() {
            if now >= gateway.received_at + max_entry_age {
                self.totals.set_entry(now, gateway.report.address, None);
            }
            if gateway.has_counted_loads && now >= gateway.received_at + MAX_LOAD_AGE {
                gateway.has_counted_loads = false;
                let none = sorted::Map::new();
                self.totals.replace_loads(now, &gateway.report.loads, &none);
            }
        }
        self.totals.prune(now);
        let is_silent = |g: &Gateway| now >= g.received_at + GATEWAY_RETENTION;
        let gateways = self.gateways.iter();
        let silent: Vec<id::InstanceId> = gateways
            .filter(|(_, g)| is_silent(g))
            .map(|(id, _)| id.clone())
            .collect();
        self.absent.retain(|_, until| now < *until);
        let mut removed = Vec::new();
        for id in silent {
            if let Some(gateway) = self.gateways.remove(&id) {
                self.absent
                    .insert(id, gateway.received_at + QUOTA_RETENTION);
                removed.push(gateway);
            }
        }
        removed.extend(self.previous_incarnations.extract_if(.., |g| is_silent(g)));
        for gateway in removed {
            self.remove_attempts(&gateway.report);
            self.release_held(&gateway.held);
        }
    }

    fn remove_attempts(&mut self, report: &message::Report) {
        for (service, count) in report.attempts.iter().filter(|(_, c)| !c.is_zero()) {
            let sum = self.attempts.get_mut(service);
            sum.expect("every stored report is contained in the sums")
                .subtract(*count);
        }
        self.attempts.retain(|_, sum| !sum.is_zero());
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

    fn sums(
        &mut self,
        now: clock::Millis,
        asker: &id::InstanceId,
        known: Option<totals::Sequence>,
    ) -> message::Sums {
        let remaining = self.remaining(now);
        let mut attempts = self.attempts.clone();
        let own = self.gateways.get(asker);
        for (service, count) in own.into_iter().flat_map(|g| g.report.attempts.iter()) {
            if let Some(sum) = attempts.get_mut(service) {
                sum.subtract(*count);
            }
        }
        attempts.retain(|_, sum| !sum.is_zero());
        message::Sums {
            report_interval: self.report_interval(),
            changes: self.totals.changes_since(known),
            gateways: self.gateway_count(now),
            remaining,
            attempts,
            is_cut_off: self.is_cut_off(asker),
            unreachable: self.unreachable(now, asker),
            leaving: self.leaving(now, asker),
        }
    }

    /// Returns the gateways that have not missed several reports.
    fn fresh_gateways(
        &self,
        now: clock::Millis,
    ) -> impl Iterator<Item = (&id::InstanceId, &Gateway)> {
        let max_age = self.report_interval() * MAX_MISSED_REPORTS;
        let gateways = self.gateways.iter();
        gateways.filter(move |(_, g)| now < g.received_at + max_age)
    }

    /// Returns which of the gateways that report have a revision of the evacuations in force.
    pub fn evacuation_progress(
        &self,
        now: clock::Millis,
        revision: evacuation::Revision,
    ) -> Progress {
        let is_behind = |g: &Gateway| g.report.extension.evacuations < Some(revision);
        let fresh = || self.fresh_gateways(now);
        let behind = fresh().filter(|(_, g)| is_behind(g));
        Progress {
            routers: fresh().count(),
            behind: behind.map(|(id, _)| id.clone()).collect(),
        }
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

    fn max_entry_age(&self) -> clock::Millis {
        self.report_interval() + MAX_ENTRY_DELAY
    }

    /// Returns the gateways that accept callers and have reported recently.
    pub fn entries(&mut self, now: clock::Millis) -> Vec<message::Entry> {
        self.expire(now);
        self.totals.entries()
    }
}

impl message::Attempts {
    fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.retries += other.retries;
    }

    /// Subtracts a part of these attempts.
    fn subtract(&mut self, part: Self) {
        self.requests -= part.requests;
        self.retries -= part.retries;
    }

    fn is_zero(self) -> bool {
        self == Self::default()
    }
}

impl message::Load {
    pub fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.memory = self.memory + other.memory;
        self.prompts = self.prompts + other.prompts;
    }

    /// Subtracts a part of this load; the result is not less than zero.
    #[must_use]
    pub fn less(self, part: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(part.requests),
            memory: self.memory.saturating_sub(part.memory),
            prompts: self.prompts.saturating_sub(part.prompts),
        }
    }
}
