//! Reports to the leader of the control group and takes in its summaries.

use std::net;
use std::sync;

use tokio::sync::watch;
use tokio::time;

use crate::clock;
use crate::fleet::message;
use crate::id;
use crate::peer::link;
use crate::peer::message as peer_message;
use crate::router::core;
use crate::router::directory;
use crate::router::discovery;
use crate::router::http_server;
use crate::router::protocol;
use crate::sorted;

/// How long a member may take to answer a report: several round trips and a sync of its disk, and
/// short against the time in which a document must be in force.
const REPORT_LIMIT: clock::Millis = clock::Millis::new(350);

/// The pause after a report that nobody answered.
const RETRY_PAUSE: clock::Millis = clock::Millis::new(60);

/// How long to be without a summary until this router reads the platform's list itself.
const LIST_FALLBACK: clock::Millis = clock::Millis::new(1_500);

/// The time between two readings of the list by one router, for each router that may do so too.
const FALLBACK_PER_ROUTER: clock::Millis = clock::Millis::new(250);

/// The exchange of one router with the leader.
pub struct Sharing {
    core: sync::Arc<core::Core>,
    links: link::Links,
    /// The members that the settings name.
    seeds: watch::Receiver<Vec<net::SocketAddr>>,
    /// The members that the last summary named.
    members: Vec<net::SocketAddr>,
    /// Whom to ask next.
    target: Option<net::SocketAddr>,
    /// The list in force, and the term of the leader that gave it.
    list: Option<(id::Term, message::ListNumber)>,
    heard_at: Option<clock::Millis>,
    fallback_at: clock::Millis,
    gateways: u32,
    turn: usize,
}

impl Sharing {
    /// Makes an exchange that has asked nobody yet.
    pub fn new(
        core: sync::Arc<core::Core>,
        links: link::Links,
        seeds: watch::Receiver<Vec<net::SocketAddr>>,
    ) -> Self {
        Self {
            core,
            links,
            seeds,
            members: Vec::new(),
            target: None,
            list: None,
            heard_at: None,
            fallback_at: clock::Millis::ZERO,
            gateways: 1,
            turn: rand::random_range(0..64),
        }
    }

    /// Reports until the shutdown is over.
    pub async fn run(mut self, mut stop: watch::Receiver<core::Phase>) {
        loop {
            let pause = self.report().await;
            self.read_list_if_alone().await;
            let mut phase = self.core.watch_phase();
            let before = self.core.phase();
            tokio::select! {
                () = time::sleep(pause.as_duration()) => {}
                // A change of the phase is told at once, so that callers are sent elsewhere.
                _ = phase.wait_for(|p| *p != before) => {}
                () = http_server::until_closing(&mut stop) => return,
            }
        }
    }

    /// Sends one report and returns the pause until the next.
    async fn report(&mut self) -> clock::Millis {
        let address = self.next_target();
        let Some(address) = address else {
            return RETRY_PAUSE;
        };
        let report = self.make_report();
        let spent = report.spent.clone();
        let losses = report.losses.clone();
        let request = peer_message::Request::Report(Box::new(report));
        let reply = self.links.request(address, &request, REPORT_LIMIT).await;
        match reply {
            Ok(peer_message::Reply::Summary(summary)) => {
                let pause = summary.sums.next;
                self.take_in(address, &spent, *summary);
                return pause;
            }
            Ok(peer_message::Reply::NotLeader(leader)) => {
                self.target = leader.map(|l| l.peer_address).filter(|a| *a != address);
            }
            Ok(_) => self.target = None,
            Err(e) => {
                log::debug!("report to {address}: {e}");
                self.target = None;
            }
        }
        self.core.restore_losses(losses);
        self.note_silence();
        RETRY_PAUSE
    }

    fn next_target(&mut self) -> Option<net::SocketAddr> {
        if self.target.is_some() {
            return self.target;
        }
        let mut known = self.seeds.borrow().clone();
        known.extend(self.members.iter().copied());
        known.sort();
        known.dedup();
        self.turn = self.turn.wrapping_add(1);
        known.get(self.turn % known.len().max(1)).copied()
    }

    fn make_report(&self) -> message::Report {
        let core = &self.core;
        let now = core.clock.now();
        let (gateways, spent, recent) = {
            let mut quotas = core.quotas();
            (quotas.gateways(), quotas.spent(), quotas.recent(now))
        };
        let (loads, unreached) = {
            let balancer = core.balancer();
            (balancer.loads(), balancer.unreachable(now))
        };
        message::Report {
            incarnation: self.links.identity().incarnation,
            address: core.settings.caller_address,
            data_centre: core.settings.data_centre.clone(),
            accepts: directory::is_ready(core),
            document: core.version(),
            list: self.list,
            gateways,
            spent,
            recent,
            attempts: core.budget().attempts(now),
            loads,
            losses: core.take_losses(),
            unreached,
        }
    }

    fn take_in(
        &mut self,
        from: net::SocketAddr,
        spent: &sorted::Map<id::ClientAccountId, i64>,
        summary: message::Summary,
    ) {
        let core = &self.core;
        let now = core.clock.now();
        if self.target != Some(from) || self.heard_at.is_none() {
            log::info!(event = "leader", address = from.to_string(), term = summary.term.as_u64(); "reports to a leader");
        }
        self.target = Some(from);
        self.heard_at = Some(now);
        core::set_timestamp_gauge("buckthorncleat_summary_timestamp_seconds");
        let sums = summary.sums;
        self.gateways = sums.gateways;
        self.members = summary.members;
        if let Some(packed) = &summary.document {
            match protocol::read_packed(&*core.codec, packed) {
                Ok(document) => core.set_document(document),
                Err(e) => log::error!("a document of the leader: {e}"),
            }
        }
        if let Some(list) = &summary.list {
            core.balancer().set_list(&list.servers);
            core::set_timestamp_gauge("buckthorncleat_list_timestamp_seconds");
            self.list = Some((summary.term, list.number));
            log::info!(event = "servers", number = list.number.as_u64(), count = list.servers.len(); "list of servers");
        }
        core.quotas()
            .learn(now, spent, &sums.left, sums.gateways, sums.next);
        core.budget().learn(now, sums.attempts, sums.gateways);
        {
            let mut balancer = core.balancer();
            balancer.set_remote_loads(now, sums.loads);
            balancer.set_ejected(sums.unreached);
        }
        core.set_fleet(sums.entries, sums.barred);
        core.capacity_freed.notify_waiters();
    }

    fn note_silence(&mut self) {
        let now = self.core.clock.now();
        let lost = self.heard_at.is_some_and(|at| now >= at + LIST_FALLBACK);
        if lost {
            self.heard_at = None;
            self.fallback_at = now;
            log::warn!(event = "leader_lost"; "no leader answers; serving by what is known");
        }
    }

    /// Reads the platform's list while no leader hands it on.
    async fn read_list_if_alone(&mut self) {
        let now = self.core.clock.now();
        if self.heard_at.is_some() || now < self.fallback_at.max(LIST_FALLBACK) {
            return;
        }
        let pause = FALLBACK_PER_ROUTER * u64::from(self.gateways.max(8));
        self.fallback_at = now + pause + clock::Millis::new(rand::random_range(0..500));
        let settings = &self.core.settings.list;
        match discovery::read(&*self.core.codec, settings).await {
            Ok(listed) => {
                self.core.balancer().set_list(&listed.servers);
                core::set_timestamp_gauge("buckthorncleat_list_timestamp_seconds");
                self.list = None;
                log::info!(event = "servers", count = listed.servers.len(); "list of servers, read without a leader");
            }
            Err(e) => log::warn!("{e}"),
        }
    }
}
