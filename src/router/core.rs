//! State that all tasks of a router share.

use std::collections;
use std::net;
use std::sync;
use std::sync::atomic;

use tokio::sync::Notify;
use tokio::sync::watch;

use crate::clock;
use crate::document;
use crate::fleet::budget;
use crate::fleet::evacuation;
use crate::fleet::message;
use crate::fleet::permit;
use crate::fleet::quota;
use crate::id;
use crate::peer::link;
use crate::router::availability;
use crate::router::balancer;
use crate::router::departures;
use crate::router::helpers;
use crate::router::origins;
use crate::router::output;
use crate::router::paths;
use crate::router::permits;
use crate::router::protocol;
use crate::router::retries;
use crate::router::suspects;
use crate::router::table;

#[derive(Clone, Debug)]
pub struct Settings {
    pub instance: id::InstanceId,
    pub data_centre: id::DataCentre,
    /// Address for callers.
    pub caller_address: net::SocketAddr,
    /// Address for the other routers. They use the same port, and the IP address of `caller_address`.
    pub router_address: net::SocketAddr,
    /// Address for the platform's readiness probes.
    pub ready_address: net::SocketAddr,
    /// Address for callers that ask for gateway addresses, if they may ask here.
    pub entry_address: Option<net::SocketAddr>,
    /// How the platform's server list is read.
    pub list: ListSettings,
    /// The retry budget.
    pub budget: budget::Settings,
    /// Length of the quota window.
    pub quota_window: clock::Millis,
    /// How long callers may cache an answer with gateway addresses.
    pub entry_ttl: clock::Millis,
    /// Time from the stop signal until the process is killed.
    pub grace: clock::Millis,
}

/// Where and how often the platform's server list may be read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListSettings {
    pub address: net::SocketAddr,
    /// Calls per second that all processes together may make.
    pub calls_per_second: f64,
}

/// Phase of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// No shutdown is in progress.
    Serving,
    /// Gateway addresses no longer name this instance; new connections are still served.
    Leaving,
    /// No new connections are accepted; running requests finish.
    Closing,
    /// Requests that are still being read are refused; running ones finish.
    Draining,
}

pub struct Core {
    /// Encodes and decodes the platform's messages.
    pub codec: sync::Arc<dyn protocol::Codec>,
    pub settings: Settings,
    pub clock: clock::Clock,
    /// Links to the control members.
    pub links: link::Links,
    /// Notified when capacity at a server may have become free.
    pub capacity_freed: Notify,
    table: watch::Sender<Option<sync::Arc<table::Table>>>,
    phase: watch::Sender<Phase>,
    balancer: sync::Mutex<balancer::Balancer>,
    tokens_per_event: sync::Mutex<output::TokensPerEvent>,
    quotas: sync::Mutex<quota::Quotas>,
    retries: sync::Mutex<retries::Retries>,
    permits: sync::Mutex<permits::Permits>,
    departures: sync::Mutex<departures::Departures>,
    suspects: sync::Mutex<suspects::Suspects>,
    paths: sync::Mutex<paths::Paths>,
    helpers: sync::Mutex<helpers::Helpers>,
    /// Notified when the path to a service is lost.
    pub path_lost: Notify,
    origins: sync::Mutex<origins::Origins>,
    /// Notified when the leader may have to be told of streams that began.
    pub origins_due: Notify,
    /// Notified when a report should not wait for its time, and when one was answered.
    pub report_due: Notify,
    pub report_answered: Notify,
    fleet: sync::Mutex<Fleet>,
    waiting: sync::Mutex<collections::BTreeSet<Ticket>>,
    tickets: atomic::AtomicU64,
    streams: sync::Mutex<tokio::task::JoinSet<()>>,
}

/// What the leader's summaries say about the fleet, and what is to be reported to it.
#[derive(Debug, Default)]
struct Fleet {
    entries: Vec<message::Entry>,
    /// Whether this router does not reach the servers that others reach.
    is_cut_off: bool,
    /// `None` while no leader answers.
    leader: Option<Leader>,
}

/// The leader that sent the last summary.
#[derive(Clone, Copy, Debug)]
struct Leader {
    address: net::SocketAddr,
    /// Its time in that summary.
    time: permit::LeaderTime,
    summary_at: clock::Millis,
}

/// Position of a waiting request, ordered by service, priority and arrival.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    service: document::ServiceId,
    priority: u16,
    number: u64,
}

/// Sets a gauge to the current wall-clock time in seconds, from which readers get the age of the
/// thing it stands for.
pub fn set_timestamp_gauge(name: &'static str) {
    metrics::gauge!(name).set(clock::wall_millis() as f64 / 1_000.0);
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

impl Core {
    /// Creates the state of a router that has no document, server list or summary yet.
    pub fn new(
        codec: sync::Arc<dyn protocol::Codec>,
        settings: Settings,
        clock: clock::Clock,
        links: link::Links,
    ) -> Self {
        let balancer = balancer::Balancer::new(settings.data_centre.clone());
        let retries = retries::Retries::new(clock.now(), settings.budget, rand::random());
        Self {
            codec,
            clock,
            links,
            capacity_freed: Notify::new(),
            table: watch::Sender::new(None),
            phase: watch::Sender::new(Phase::Serving),
            balancer: sync::Mutex::new(balancer),
            tokens_per_event: sync::Mutex::default(),
            quotas: sync::Mutex::new(quota::Quotas::new(settings.quota_window)),
            retries: sync::Mutex::new(retries),
            permits: sync::Mutex::new(permits::Permits::new(rand::random())),
            departures: sync::Mutex::default(),
            suspects: sync::Mutex::default(),
            paths: sync::Mutex::default(),
            helpers: sync::Mutex::default(),
            path_lost: Notify::new(),
            origins: sync::Mutex::default(),
            origins_due: Notify::new(),
            report_due: Notify::new(),
            report_answered: Notify::new(),
            fleet: sync::Mutex::default(),
            waiting: sync::Mutex::default(),
            tickets: atomic::AtomicU64::new(0),
            streams: sync::Mutex::default(),
            settings,
        }
    }

    /// Returns the document in force; `None` until the first one arrives.
    pub fn table(&self) -> Option<sync::Arc<table::Table>> {
        self.table.borrow().clone()
    }

    pub fn version(&self) -> Option<document::DocumentVersion> {
        self.table.borrow().as_ref().map(|t| t.document().version)
    }

    /// Returns the version of the document in force for the log, 0 without one.
    pub fn version_number(&self) -> u64 {
        self.version().map_or(0, document::DocumentVersion::as_u64)
    }

    /// Puts a document in force, unless the version in force is as high or higher.
    ///
    /// # Panics
    ///
    /// Panics if another task puts a document of the same or a higher version in force meanwhile.
    pub fn set_document(&self, document: document::Document) {
        let version = document.version;
        if self.version() >= Some(version) {
            return;
        }
        self.quotas().configure(&document.accounts);
        self.balancer().configure_cold(&document.services);
        let routes = document.routes.len();
        let next = sync::Arc::new(table::Table::new(document));
        let previous = self.table.send_replace(Some(next));
        let previous = previous.map(|t| t.document().version);
        assert!(
            previous < Some(version),
            "the version of the document in force must not go down"
        );
        log::info!(event = "document", version = version.as_u64(), routes = routes; "document in force");
        metrics::gauge!("buckthorncleat_document_version").set(version.as_u64() as f64);
        set_timestamp_gauge("buckthorncleat_document_timestamp_seconds");
    }

    pub fn balancer(&self) -> sync::MutexGuard<'_, balancer::Balancer> {
        lock(&self.balancer)
    }

    /// Applies a leader's notice of the evacuations, unless this router knows a newer one. Waiting
    /// requests look for a server again.
    pub fn apply_evacuations(&self, notice: &evacuation::Notice) {
        if !self.balancer().set_evacuations(notice) {
            return;
        }
        if notice.revision == evacuation::Revision::default() {
            return;
        }
        let names: Vec<&str> = notice.data_centres.iter().map(|d| d.as_str()).collect();
        metrics::gauge!("buckthorncleat_evacuated_data_centres").set(names.len() as f64);
        metrics::gauge!("buckthorncleat_evacuations_revision").set(notice.revision.as_u64() as f64);
        log::info!(
            event = "evacuations",
            revision = notice.revision.as_u64(),
            data_centres = names.join(" ");
            "the evacuated data centres changed; sending their servers nothing new"
        );
        self.capacity_freed.notify_waiters();
    }

    /// Excludes a server from new streams for a short time, after it refused work for lack of
    /// capacity.
    pub fn mark_full(&self, server: &id::BackendServerId) {
        self.balancer().mark_full(self.clock.now(), server);
    }

    /// Ejects a server for a short time, after another server answered at its address or its role
    /// was not the listed one.
    pub fn mark_misdirected(&self, server: &id::BackendServerId) {
        self.balancer().mark_misdirected(self.clock.now(), server);
    }

    /// Returns whether a server wants no calls at present. It may be tried again after that.
    pub fn is_quiet(&self, server: &id::BackendServerId) -> bool {
        let state = self.balancer().state(self.clock.now(), server);
        matches!(state, availability::State::Quiet { .. })
    }

    /// Returns the outcome of work that a server ended with an error of its own; one by which it
    /// asks for no calls is no failure.
    pub fn failure_outcome(&self, server: &id::BackendServerId) -> availability::Outcome {
        if self.is_quiet(server) {
            availability::Outcome::Neutral
        } else {
            availability::Outcome::Failed
        }
    }

    /// Applies what the head of an answer says of its server; logs and counts what is new.
    pub fn record_answer(&self, server: &id::BackendServerId, answer: &protocol::ServerAnswer) {
        let now = self.clock.now();
        // An answer from another server at the address says nothing of this one.
        if answer.execution != protocol::Execution::Misdirected {
            self.record_limit(now, server, answer.limit);
        }
        let change = self.balancer().record_answer(now, server, answer);
        match change {
            None => {}
            Some(availability::Change::Leaving) => {
                metrics::counter!("buckthorncleat_servers_leaving_total").increment(1);
                log::info!(event = "server_leaving", server = server.as_str(); "a server says that it is leaving; sending it nothing new");
            }
            Some(availability::Change::Quiet { until }) => {
                metrics::counter!("buckthorncleat_servers_quiet_total").increment(1);
                log::info!(
                    event = "server_quiet",
                    server = server.as_str(),
                    quiet_ms = (until - now).as_u64();
                    "a server wants no calls for a time; sending it nothing until then"
                );
            }
        }
    }

    fn record_limit(
        &self,
        now: clock::Millis,
        server: &id::BackendServerId,
        limit: protocol::Limit,
    ) {
        let Some(limit) = self.balancer().record_limit(now, server, limit) else {
            return;
        };
        metrics::counter!("buckthorncleat_server_limits_total").increment(1);
        log::info!(
            event = "server_limit",
            server = server.as_str(),
            limit = limit.map_or_else(|| "none".to_owned(), |rate| rate.to_string());
            "a server names another limit of calls from all routers"
        );
    }

    /// Returns the estimate of tokens per event.
    pub fn tokens_per_event(&self) -> sync::MutexGuard<'_, output::TokensPerEvent> {
        lock(&self.tokens_per_event)
    }

    pub fn quotas(&self) -> sync::MutexGuard<'_, quota::Quotas> {
        lock(&self.quotas)
    }

    pub fn retries(&self) -> sync::MutexGuard<'_, retries::Retries> {
        lock(&self.retries)
    }

    pub fn permits(&self) -> sync::MutexGuard<'_, permits::Permits> {
        lock(&self.permits)
    }

    /// Sets the leader that sent a summary, and its time then; `None` while no leader answers.
    pub fn set_leader(&self, leader: Option<(net::SocketAddr, permit::LeaderTime)>) {
        let summary_at = self.clock.now();
        lock(&self.fleet).leader = leader.map(|(address, time)| Leader {
            address,
            time,
            summary_at,
        });
    }

    /// Returns the address of the leader; `None` while none answers.
    pub fn leader(&self) -> Option<net::SocketAddr> {
        lock(&self.fleet).leader.map(|l| l.address)
    }

    /// Returns the leader's time as this router knows it, which is not later than the true one.
    pub fn leader_time(&self, now: clock::Millis) -> Option<permit::LeaderTime> {
        let leader = lock(&self.fleet).leader?;
        Some(permit::LeaderTime {
            at: leader.time.at + (now - leader.summary_at),
            ..leader.time
        })
    }

    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Enters a phase of the shutdown and notifies all that watch it.
    pub fn set_phase(&self, phase: Phase) {
        log::info!(event = "phase", phase = format!("{phase:?}"); "the shutdown entered a new phase");
        self.phase.send_replace(phase);
    }

    /// Returns a receiver that sees each change of the phase.
    pub fn watch_phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Sets the gateways that callers may connect to, and whether this one reaches no servers that others
    /// reach.
    pub fn set_entries(&self, entries: Vec<message::Entry>, is_cut_off: bool) {
        let mut fleet = lock(&self.fleet);
        fleet.entries = entries;
        fleet.is_cut_off = is_cut_off;
    }

    /// Returns whether this router does not reach the servers that others reach, by the last summary.
    pub fn is_cut_off(&self) -> bool {
        let fleet = lock(&self.fleet);
        fleet.is_cut_off && fleet.leader.is_some()
    }

    /// Returns the gateways that callers may connect to, as listed in the last summary.
    pub fn entries(&self) -> Vec<message::Entry> {
        lock(&self.fleet).entries.clone()
    }

    pub fn suspects(&self) -> sync::MutexGuard<'_, suspects::Suspects> {
        lock(&self.suspects)
    }

    pub fn departures(&self) -> sync::MutexGuard<'_, departures::Departures> {
        lock(&self.departures)
    }

    pub fn paths(&self) -> sync::MutexGuard<'_, paths::Paths> {
        lock(&self.paths)
    }

    pub fn helpers(&self) -> sync::MutexGuard<'_, helpers::Helpers> {
        lock(&self.helpers)
    }

    /// Returns the origins of the streams that this router has begun or taken up.
    pub fn origins(&self) -> sync::MutexGuard<'_, origins::Origins> {
        lock(&self.origins)
    }

    /// Adds a request to the queue for a service's servers.
    pub fn enqueue(&self, service: &document::ServiceId, priority: u16) -> Queued<'_> {
        let ticket = Ticket {
            service: service.clone(),
            priority,
            number: self.tickets.fetch_add(1, atomic::Ordering::Relaxed),
        };
        lock(&self.waiting).insert(ticket.clone());
        metrics::gauge!("buckthorncleat_waiting").increment(1.0);
        Queued { core: self, ticket }
    }

    /// Runs a task to its end, also after the connection that started it is gone.
    pub fn spawn_stream(&self, work: impl Future<Output = ()> + Send + 'static) {
        let mut streams = lock(&self.streams);
        while streams.try_join_next().is_some() {}
        streams.spawn(work);
    }

    /// Takes all spawned tasks, so that the caller can wait for them.
    pub fn take_streams(&self) -> tokio::task::JoinSet<()> {
        std::mem::take(&mut *lock(&self.streams))
    }
}

/// A request's position in the queue; dropping it removes the request and wakes the others.
pub struct Queued<'a> {
    core: &'a Core,
    ticket: Ticket,
}

impl Queued<'_> {
    /// Returns whether no other request for the service is ahead.
    pub fn is_first(&self) -> bool {
        let waiting = lock(&self.core.waiting);
        let lowest = Ticket {
            service: self.ticket.service.clone(),
            priority: 0,
            number: 0,
        };
        waiting.range(lowest..).next() == Some(&self.ticket)
    }
}

impl Drop for Queued<'_> {
    fn drop(&mut self) {
        lock(&self.core.waiting).remove(&self.ticket);
        metrics::gauge!("buckthorncleat_waiting").decrement(1.0);
        self.core.capacity_freed.notify_waiters();
    }
}
