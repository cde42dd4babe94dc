//! What all tasks of a router share.

use std::collections;
use std::net;
use std::sync;
use std::sync::atomic;

use tokio::sync::Notify;
use tokio::sync::watch;

use crate::clock;
use crate::document;
use crate::fleet::budget;
use crate::fleet::message;
use crate::fleet::quota;
use crate::id;
use crate::router::balancer;
use crate::router::output;
use crate::router::protocol;
use crate::router::table;

/// The most losses that wait to be reported.
const MAX_LOSSES: usize = 256;

/// The settings of a router.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of this instance.
    pub instance: id::InstanceId,
    /// Where it stands.
    pub data_centre: id::DataCentre,
    /// Where callers connect.
    pub caller_address: net::SocketAddr,
    /// Where the platform asks whether this instance is ready.
    pub ready_address: net::SocketAddr,
    /// Where callers ask where to connect, if they may ask here.
    pub entry_address: Option<net::SocketAddr>,
    /// The platform's list of servers.
    pub list: ListSettings,
    /// The bound on attempts.
    pub budget: budget::Settings,
    /// The window in which quotas are counted.
    pub quota_window: clock::Millis,
    /// How long callers keep an answer that names entries.
    pub entry_ttl: clock::Millis,
    /// The time from the signal to stop until the process is killed.
    pub grace: clock::Millis,
}

/// Where and how often the platform's list of servers may be read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListSettings {
    /// The address of the list.
    pub address: net::SocketAddr,
    /// The calls a second that all processes together may make.
    pub calls_per_second: f64,
}

/// How far a shutdown has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// No shutdown.
    Serving,
    /// Callers are no longer sent here; those that come are served.
    Leaving,
    /// No new connections; what runs is ended.
    Closing,
}

/// The shared state of a router.
pub struct Core {
    /// How the platform speaks.
    pub codec: sync::Arc<dyn protocol::Codec>,
    /// The settings.
    pub settings: Settings,
    /// The clock of the process.
    pub clock: clock::Clock,
    /// Woken when a place at a server may have become free.
    pub capacity_freed: Notify,
    table: watch::Sender<Option<sync::Arc<table::Table>>>,
    phase: watch::Sender<Phase>,
    balancer: sync::Mutex<balancer::Balancer>,
    tokens_per_event: sync::Mutex<output::TokensPerEvent>,
    quotas: sync::Mutex<quota::Quotas>,
    budget: sync::Mutex<budget::Budget>,
    fleet: sync::Mutex<Fleet>,
    waiting: sync::Mutex<collections::BTreeSet<Ticket>>,
    tickets: atomic::AtomicU64,
    streams: sync::Mutex<tokio::task::JoinSet<()>>,
}

/// What is known of the rest of the fleet.
#[derive(Debug, Default)]
struct Fleet {
    entries: Vec<message::Entry>,
    quarantined: Vec<message::Fingerprint>,
    losses: Vec<message::Loss>,
}

/// The place of a request that waits for a server: by rank, then by arrival.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    service: document::ServiceId,
    priority: u16,
    number: u64,
}

/// Sets a gauge to the time of day, from which readers get the age of what it stands for.
pub fn set_timestamp_gauge(name: &'static str) {
    metrics::gauge!(name).set(clock::wall_millis() as f64 / 1_000.0);
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

impl Core {
    /// Makes the state of a router that knows nothing yet.
    pub fn new(
        codec: sync::Arc<dyn protocol::Codec>,
        settings: Settings,
        clock: clock::Clock,
    ) -> Self {
        let balancer = balancer::Balancer::new(settings.data_centre.clone());
        Self {
            codec,
            clock,
            capacity_freed: Notify::new(),
            table: watch::Sender::new(None),
            phase: watch::Sender::new(Phase::Serving),
            balancer: sync::Mutex::new(balancer),
            tokens_per_event: sync::Mutex::default(),
            quotas: sync::Mutex::new(quota::Quotas::new(settings.quota_window)),
            budget: sync::Mutex::new(budget::Budget::new(settings.budget)),
            fleet: sync::Mutex::default(),
            waiting: sync::Mutex::default(),
            tickets: atomic::AtomicU64::new(0),
            streams: sync::Mutex::default(),
            settings,
        }
    }

    /// Returns the document in force.
    pub fn table(&self) -> Option<sync::Arc<table::Table>> {
        self.table.borrow().clone()
    }

    /// Returns the version of the document in force.
    pub fn version(&self) -> Option<document::DocumentVersion> {
        self.table.borrow().as_ref().map(|t| t.document().version)
    }

    /// Returns the version of the document in force for the log, 0 without one.
    pub fn version_number(&self) -> u64 {
        self.version().map_or(0, document::DocumentVersion::as_u64)
    }

    /// Puts a document in force, unless a newer one is.
    ///
    /// # Panics
    ///
    /// Panics if the document's version is not higher than the version in force.
    pub fn set_document(&self, document: document::Document) {
        let version = document.version;
        if self.version() >= Some(version) {
            return;
        }
        self.quotas().configure(&document.accounts);
        let routes = document.routes.len();
        let next = sync::Arc::new(table::Table::new(document));
        let previous = self.table.send_replace(Some(next));
        let previous = previous.map(|t| t.document().version);
        assert!(previous < Some(version), "the document went back");
        log::info!(event = "document", version = version.as_u64(), routes = routes; "document in force");
        metrics::gauge!("buckthorncleat_document_version").set(version.as_u64() as f64);
        set_timestamp_gauge("buckthorncleat_document_timestamp_seconds");
    }

    /// Returns the places at servers.
    pub fn balancer(&self) -> sync::MutexGuard<'_, balancer::Balancer> {
        lock(&self.balancer)
    }

    /// Notes that a server has less room than it seems to have.
    pub fn mark_full(&self, server: &id::BackendServerId) {
        self.balancer().mark_full(self.clock.now(), server);
    }

    /// Notes that a server is not what the list says.
    pub fn mark_misdirected(&self, server: &id::BackendServerId) {
        self.balancer().mark_misdirected(self.clock.now(), server);
    }

    /// Returns what is known of the tokens of an event.
    pub fn tokens_per_event(&self) -> sync::MutexGuard<'_, output::TokensPerEvent> {
        lock(&self.tokens_per_event)
    }

    /// Returns the quotas of accounts.
    pub fn quotas(&self) -> sync::MutexGuard<'_, quota::Quotas> {
        lock(&self.quotas)
    }

    /// Returns the retry budget.
    pub fn budget(&self) -> sync::MutexGuard<'_, budget::Budget> {
        lock(&self.budget)
    }

    /// Returns how far a shutdown has come.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Moves a shutdown on.
    pub fn set_phase(&self, phase: Phase) {
        log::info!(event = "phase", phase = format!("{phase:?}"); "shutdown goes on");
        self.phase.send_replace(phase);
    }

    /// Follows a shutdown.
    pub fn watch_phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Takes in where callers may connect and which requests must not run.
    pub fn set_fleet(&self, entries: Vec<message::Entry>, quarantined: Vec<message::Fingerprint>) {
        let mut fleet = lock(&self.fleet);
        fleet.entries = entries;
        fleet.quarantined = quarantined;
    }

    /// Returns where callers may connect.
    pub fn entries(&self) -> Vec<message::Entry> {
        lock(&self.fleet).entries.clone()
    }

    /// Tells whether a request must not run.
    pub fn is_quarantined(&self, fingerprint: message::Fingerprint) -> bool {
        lock(&self.fleet).quarantined.contains(&fingerprint)
    }

    /// Notes that a server was lost under a request.
    pub fn record_loss(&self, fingerprint: message::Fingerprint, server: &id::BackendServerId) {
        let server = xxhash_rust::xxh3::xxh3_64(server.as_str().as_bytes());
        let mut fleet = lock(&self.fleet);
        if fleet.losses.len() < MAX_LOSSES {
            fleet.losses.push(message::Loss {
                fingerprint,
                server,
            });
        } else {
            log::warn!("{MAX_LOSSES} losses of servers wait to be reported; one more is dropped");
        }
    }

    /// Takes the losses that are to be reported.
    pub fn take_losses(&self) -> Vec<message::Loss> {
        std::mem::take(&mut lock(&self.fleet).losses)
    }

    /// Puts losses back whose report was not answered.
    pub fn restore_losses(&self, losses: Vec<message::Loss>) {
        let mut fleet = lock(&self.fleet);
        fleet.losses.extend(losses);
        fleet.losses.truncate(MAX_LOSSES);
    }

    /// Joins the queue for a service's servers.
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

    /// Runs a stream to its end, also when the connection that asked for it is gone.
    pub fn spawn_stream(&self, work: impl Future<Output = ()> + Send + 'static) {
        let mut streams = lock(&self.streams);
        while streams.try_join_next().is_some() {}
        streams.spawn(work);
    }

    /// Takes all streams, to join them.
    pub fn take_streams(&self) -> tokio::task::JoinSet<()> {
        std::mem::take(&mut *lock(&self.streams))
    }
}

/// A request's place in the queue; it leaves the queue when this is dropped.
pub struct Queued<'a> {
    core: &'a Core,
    ticket: Ticket,
}

impl Queued<'_> {
    /// Tells whether no other request goes before.
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
