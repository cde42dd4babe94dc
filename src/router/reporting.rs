//! Reports to the leader of the control group and applies its summaries.

use std::net;
use std::sync;

use tokio::sync::watch;
use tokio::time;

use crate::clock;
use crate::document;
use crate::fleet::known;
use crate::fleet::listing;
use crate::fleet::message;
use crate::fleet::origin;
use crate::fleet::permit;
use crate::fleet::totals;
use crate::id;
use crate::peer::message as peer_message;
use crate::peer::trailer;
use crate::router::core;
use crate::router::directory;
use crate::router::discovery;
use crate::router::http_server;
use crate::router::protocol;
use crate::router::server_check;
use crate::router::suspects;
use crate::sorted;
use crate::unit;

/// Timeout of a report: several round trips and a disk sync, and short against the time in which a
/// document must be in force.
const REPORT_TIMEOUT: clock::Millis = clock::Millis::new(350);

/// Shortest time between two reports.
const MIN_REPORT_GAP: clock::Millis = clock::Millis::new(50);

/// Longest delay after a report that was not answered; the shortest is half of it.
const RETRY_DELAY: clock::Millis = clock::Millis::new(60);

/// Time without a summary after which the leader counts as lost and this router reads the
/// platform's server list itself.
const SUMMARY_TIMEOUT: clock::Millis = clock::Millis::new(1_500);

/// Shortest interval between two reads of the server list by one router.
const MIN_LIST_READ_INTERVAL: clock::Millis = clock::Millis::new(2_000);

/// What servers said of their limits is reported for this time beyond two report intervals, so that
/// a lost report costs nothing.
const NEWS_MARGIN: clock::Millis = clock::Millis::new(1_000);

/// The age that a list has at most which a leader of the first release sends, as far as is known.
const UNNAMED_LIST_AGE: clock::Millis = clock::Millis::new(2_000);
/// Losses of servers are reported for at most this time, which is longer than a leader change takes.
const MAX_LOSS_AGE: clock::Millis = clock::Millis::from_secs(5);

/// What a report said of this router, which the summaries that answer it contain.
struct Reported {
    /// When the report was made.
    sent_at: clock::Millis,
    spent: sorted::Map<id::ClientAccountId, i64>,
    loads: sorted::Map<id::BackendServerId, message::Load>,
}

/// Sends one router's reports and applies the summaries.
pub struct Reporter {
    core: sync::Arc<core::Core>,
    /// Addresses of control members from the settings.
    seeds: watch::Receiver<Vec<net::SocketAddr>>,
    /// Addresses of control members from the last summary.
    members: Vec<net::SocketAddr>,
    /// The member that answered last or was named as leader; `None` after a failure.
    leader: Option<net::SocketAddr>,
    /// The server list in force.
    list: Option<listing::List>,
    /// The fleet's state as of the last summary.
    view: totals::View,
    /// `None` until the first summary, and again after [`SUMMARY_TIMEOUT`] without one.
    last_summary_at: Option<clock::Millis>,
    /// Earliest time at which this router may read the server list itself.
    next_list_read: clock::Millis,
    /// Number of gateways, from the last summary.
    gateways: u32,
    /// The time between two reports, from the last summary.
    report_interval: clock::Millis,
    /// Counts up while no leader is known, so that the members are asked in turn.
    next_member: usize,
}

impl Reporter {
    /// Creates a reporter that knows no leader yet.
    pub fn new(core: sync::Arc<core::Core>, seeds: watch::Receiver<Vec<net::SocketAddr>>) -> Self {
        Self {
            core,
            seeds,
            members: Vec::new(),
            leader: None,
            list: None,
            view: totals::View::default(),
            last_summary_at: None,
            next_list_read: clock::Millis::ZERO,
            gateways: 1,
            report_interval: clock::Millis::ZERO,
            next_member: rand::random_range(0..64),
        }
    }

    /// Reports until the shutdown reaches [`core::Phase::Closing`].
    pub async fn run(mut self, mut stop: watch::Receiver<core::Phase>) {
        loop {
            let delay = self.send_report().await;
            self.read_list_without_leader().await;
            let mut phase = self.core.watch_phase();
            let phase_before = self.core.phase();
            tokio::select! {
                () = time::sleep(delay.as_duration()) => {}
                () = self.wait_for_news(delay) => {}
                // Report a change of the phase at once, so that callers are sent elsewhere.
                _ = phase.wait_for(|p| *p != phase_before) => {}
                () = http_server::until_closing(&mut stop) => return,
            }
        }
    }

    /// Waits until something is to be reported before its time.
    async fn wait_for_news(&self, delay: clock::Millis) {
        time::sleep(MIN_REPORT_GAP.min(delay).as_duration()).await;
        while !self.core.suspects().has_news() && !self.core.quotas().wants_share() {
            self.core.report_due.notified().await;
        }
    }

    /// Sends one report and returns the delay until the next.
    async fn send_report(&mut self) -> clock::Millis {
        let address = self.next_address();
        let Some(address) = address else {
            return RETRY_DELAY;
        };
        let (report, told) = self.report();
        let settled = report.settled.clone();
        let reported = Reported {
            // The clock starts with the process.
            sent_at: report.uptime,
            spent: report.spent.clone(),
            loads: report.loads.clone(),
        };
        let request = peer_message::Request::Report(Box::new(report));
        let links = &self.core.links;
        let reply = links.request(address, &request, REPORT_TIMEOUT).await;
        match reply {
            Ok(peer_message::Reply::Summary(summary)) => {
                let delay = summary.sums.report_interval;
                self.core.suspects().confirm(&told, summary.term);
                self.apply_summary(address, &reported, *summary);
                self.core.report_answered.notify_waiters();
                return delay;
            }
            Ok(peer_message::Reply::NotLeader(leader)) => {
                self.leader = leader.map(|l| l.peer_address).filter(|a| *a != address);
            }
            Ok(_) => self.leader = None,
            Err(e) => {
                log::debug!("report to {address}: {e}");
                self.leader = None;
            }
        }
        self.core.suspects().repeat();
        self.core.retries().restore_settled(settled);
        self.check_leader_timeout();
        // Routers that lost the leader at the same time do not all ask again at the same time.
        clock::Millis::new(RETRY_DELAY.as_u64() * rand::random_range(50..=100) / 100)
    }

    fn next_address(&mut self) -> Option<net::SocketAddr> {
        if self.leader.is_some() {
            return self.leader;
        }
        let mut known = self.seeds.borrow().clone();
        known.extend(self.members.iter().copied());
        known.sort();
        known.dedup();
        self.next_member = self.next_member.wrapping_add(1);
        known.get(self.next_member % known.len().max(1)).copied()
    }

    /// Makes a report, and what to record of it when it was answered.
    fn report(&self) -> (message::Report, suspects::Reported) {
        let core = &self.core;
        let now = core.clock.now();
        let (gateways, spent, spent_in_window, claims) = {
            let mut quotas = core.quotas();
            (
                quotas.gateways(),
                quotas.spent(),
                quotas.spent_in_window(now),
                quotas.next_claims(now),
            )
        };
        let max_news_age = self.max_news_age();
        let (loads, unreachable, endings, leaving, limits, cold) = {
            let balancer = core.balancer();
            (
                balancer.loads(),
                balancer.unreachable(now),
                balancer.endings(now),
                balancer.leaving(),
                balancer.limit_news(now, max_news_age),
                balancer.cold_evidence(now, max_news_age.min(MAX_LOSS_AGE)),
            )
        };
        let (requests, attempts, settled) = {
            let mut retries = core.retries();
            (
                retries.requests(),
                retries.attempts(now),
                retries.take_settled(),
            )
        };
        let known = self.view.known();
        let (losses, told, ended, sound) = {
            let term = known.map(|(term, _)| term);
            let mut suspects = core.suspects();
            let (losses, told) = suspects.losses(now, term);
            (losses, told, suspects.ended(term), suspects.sound(now))
        };
        let lost = self.lost();
        let report = message::Report {
            incarnation: core.links.identity().incarnation,
            address: core.settings.caller_address,
            data_centre: core.settings.data_centre.clone(),
            accepts_callers: directory::is_ready(core),
            document: core.version(),
            list: self.list.as_ref().map(listing::List::digest),
            known,
            gateways,
            spent,
            spent_in_window,
            uptime: now,
            requests,
            attempts,
            settled,
            loads,
            losses,
            sound,
            unreachable,
            endings,
            leaving,
            limits,
            sent_at: core.leader_time(now),
            extension: message::ReportExtension {
                evacuations: core.balancer().evacuations_revision(),
                quotas: Some(claims),
                cold,
                lost,
                ended,
                ..message::ReportExtension::new()
            },
        };
        (report, told)
    }

    /// Returns the servers of the services that this router does not reach.
    fn lost(&self) -> sorted::Map<document::ServiceId, Vec<id::BackendServerId>> {
        let services: Vec<_> = self.core.paths().lost().cloned().collect();
        let balancer = self.core.balancer();
        let servers = services.into_iter().map(|service| {
            let servers = balancer.servers_of(&service);
            (service, servers.into_iter().map(|(id, _)| id).collect())
        });
        servers.collect()
    }

    /// Returns the age up to which a report has what servers said of their limits: that of the last
    /// reports, and everything for a leader that had none yet.
    fn max_news_age(&self) -> clock::Millis {
        if self.last_summary_at.is_none() || self.leader.is_none() {
            clock::Millis::MAX
        } else {
            self.report_interval * 2 + NEWS_MARGIN
        }
    }

    fn apply_summary(
        &mut self,
        from: net::SocketAddr,
        reported: &Reported,
        summary: message::Summary,
    ) {
        let core = &self.core;
        let now = core.clock.now();
        if self.leader != Some(from) || self.last_summary_at.is_none() {
            log::info!(event = "leader", address = from.to_string(), term = summary.term.as_u64(); "reporting to a leader");
        }
        self.leader = Some(from);
        self.last_summary_at = Some(now);
        // Before the document and the list of this summary are used: they may be this router's first.
        if let Some(notice) = &summary.extension.evacuated {
            core.apply_evacuations(notice);
        }
        core::set_timestamp_gauge("buckthorncleat_summary_timestamp_seconds");
        let sums = summary.sums;
        self.gateways = sums.gateways;
        self.report_interval = sums.report_interval;
        let time = permit::LeaderTime {
            term: summary.term,
            at: summary.time,
        };
        core.set_leader(Some((from, time)));
        self.members = summary.members;
        if let Some(packed) = &summary.document {
            match protocol::read_packed(&*core.codec, packed) {
                Ok(document) => core.set_document(document),
                Err(e) => {
                    log::error!("can't decode the leader's document; keeping the one in force: {e}")
                }
            }
        }
        core.origins().apply_summary(summary.term, summary.mixed);
        core.origins_due.notify_one();
        if let Some(update) = &summary.list {
            self.update_list(update);
        }
        let list_age = match summary.extension.version {
            trailer::FIRST => Some(UNNAMED_LIST_AGE),
            _ => summary.extension.list_age,
        };
        if let (Some(list_age), Some(_)) = (list_age, &self.list) {
            let read_at = reported.sent_at - list_age;
            self.core.balancer().set_list_read_at(read_at);
        }
        let is_new_term = self
            .view
            .known()
            .is_none_or(|(term, _)| term < summary.term);
        self.view.apply(summary.term, &sums.changes);
        let core = &self.core;
        {
            let mut suspects = core.suspects();
            suspects.set_standings(self.view.standings());
            suspects.set_verdict_ends(now, &summary.extension.verdict_ends);
            if is_new_term {
                suspects.repeat();
            }
        }
        {
            let mut quotas = core.quotas();
            quotas.apply_summary(
                reported.sent_at,
                &reported.spent,
                &sums.remaining,
                sums.gateways,
                sums.report_interval,
            );
            if let Some(shares) = &summary.extension.quotas {
                quotas.apply_shares(shares);
            }
        }
        let window_s = core.settings.budget.window.as_secs_f64();
        let rates = sums.attempts.iter().map(|(service, attempts)| {
            let rate = (attempts.requests as f64 / window_s).round() as u64;
            (service.clone(), unit::RequestsPerSecond::new(rate))
        });
        let rates = rates.collect();
        core.retries().apply_summary(summary.term, sums.gateways);
        {
            let mut balancer = core.balancer();
            balancer.set_remote_rates(rates, sums.report_interval);
            balancer.set_remote_loads(now, self.view.loads_of_others(&reported.loads));
            balancer.set_ejected(sums.unreachable);
            balancer.set_leaving(sums.leaving);
            balancer.set_limits(self.view.limits());
            let word = summary.extension.cold.as_ref();
            let list = self.list.as_ref();
            let list = list.filter(|l| word.is_some_and(|w| w.list == Some(l.digest())));
            let servers = list.map(listing::List::servers).unwrap_or_default();
            balancer.apply_cold(reported.sent_at, servers, word);
            core.permits().retain(|id| balancer.is_limited(now, id));
        }
        core.set_entries(self.view.entries(), sums.is_cut_off);
        core.capacity_freed.notify_waiters();
    }

    fn update_list(&mut self, update: &listing::Update) {
        match listing::List::from_update(self.list.as_ref(), update) {
            Ok(list) => {
                let versions = list
                    .servers()
                    .iter()
                    .filter_map(origin::Origin::from_server);
                self.core.origins().admit(versions);
                self.put_list(list, "leader");
            }
            Err(e) => {
                log::warn!("{e}");
                // The next report names no list, so that the whole one comes. Placement keeps the
                // servers known so far.
                self.list = None;
            }
        }
    }

    /// Puts a server list in force; `source` says for the log who sent it.
    fn put_list(&mut self, list: listing::List, source: &str) {
        let now = self.core.clock.now();
        self.core.balancer().set_list(now, list.servers());
        server_check::apply_list(&self.core);
        core::set_timestamp_gauge("buckthorncleat_list_timestamp_seconds");
        log::info!(
            event = "servers",
            digest = list.digest().0,
            count = list.servers().len(),
            source = source;
            "new server list in force"
        );
        self.list = Some(list);
    }

    fn check_leader_timeout(&mut self) {
        let now = self.core.clock.now();
        let timed_out = self
            .last_summary_at
            .is_some_and(|at| now >= at + SUMMARY_TIMEOUT);
        if timed_out {
            self.last_summary_at = None;
            self.core.set_leader(None);
            self.next_list_read = now + random_part(self.list_read_interval());
            log::warn!(event = "leader_lost"; "no leader answers; serving with the last known state");
        }
    }

    /// Returns the interval in which all routers may read the server list once.
    fn list_read_interval(&self) -> clock::Millis {
        let servers = self.list.as_ref().map_or(0, |l| l.servers().len());
        let calls_per_second = self.core.settings.list.calls_per_second;
        discovery::read_interval(self.gateways, servers, calls_per_second)
    }

    /// Returns whether a server that no leader listed may be used: not a model server of a software
    /// version that no leader listed, since the fleet would not know where its streams began.
    fn may_use(&self, server: &message::Server) -> bool {
        let table = self.core.table();
        let service = table.as_ref().and_then(|t| t.service(&server.service));
        let runs_model = service.is_some_and(|s| s.engine.is_some());
        let origin = origin::Origin::from_server(server).filter(|_| runs_model);
        origin.is_none_or(|o| self.core.origins().is_admitted(&o))
    }

    /// Adds the servers to a list that only entries within damaged ones name, as far as the list in force
    /// has them.
    fn recover_servers(&self, listed: &mut discovery::Listed) {
        let servers = self.list.as_ref().map_or(&[][..], |l| l.servers());
        let recovered = known::Known::from_servers(servers).and_then(|k| k.recover(listed));
        if let Err(e) = recovered {
            log::error!("{e}; using no server of a damaged entry");
        }
        if listed.damaged > 0 {
            listed.log_damage();
        }
    }

    /// Reads the platform's server list while there is no leader that sends it. A router without a
    /// document can't serve anyway, and leaves the calls to the next leader.
    async fn read_list_without_leader(&mut self) {
        let now = self.core.clock.now();
        if self.last_summary_at.is_some()
            || now < self.next_list_read
            || self.core.version().is_none()
        {
            return;
        }
        let interval = self.list_read_interval().max(MIN_LIST_READ_INTERVAL);
        self.next_list_read = now + interval + random_part(interval);
        let read_at = now;
        let settings = &self.core.settings.list;
        match discovery::read(&*self.core.codec, settings).await {
            Ok(mut listed) => {
                self.recover_servers(&mut listed);
                let versions = listed.servers.iter();
                let versions = versions.filter_map(origin::Origin::from_server);
                let mut versions: Vec<_> = versions.collect();
                versions.sort();
                self.core.origins().retain_admitted(&versions);
                listed.servers.retain(|s| self.may_use(s));
                match listing::List::new(listed.servers) {
                    Ok(list) => {
                        self.put_list(list, "platform");
                        self.core.balancer().set_list_read_at(read_at);
                    }
                    Err(e) => log::error!("{e}"),
                }
            }
            Err(e) => log::warn!("{e}"),
        }
    }
}

/// Returns a random part of a time.
fn random_part(time: clock::Millis) -> clock::Millis {
    clock::Millis::new(rand::random_range(0..=time.as_u64()))
}
