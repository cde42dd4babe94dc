//! What a leader does for routers: it adds up their reports and hands on documents and lists.

use std::mem;
use std::net;
use std::sync;

use tokio::sync::watch;
use tokio::time;

use crate::clock;
use crate::config::settings;
use crate::document;
use crate::fleet::ledger;
use crate::fleet::message as fleet;
use crate::fleet::roles;
use crate::id;
use crate::keeper::orders;
use crate::peer::message;
use crate::peer::server;
use crate::replica::group;
use crate::router::core;
use crate::router::discovery;
use crate::router::edge;

/// The time between two proofs that this member still leads.
const PROOF_PAUSE: clock::Millis = clock::Millis::new(100);

/// The age of a proof after which reports are no longer answered; with the pause above and the
/// routers' own limits it keeps an old leader's answers under the time in which a document must
/// be in force.
const PROOF_LIFE: clock::Millis = clock::Millis::new(700);

/// The time between two readings of the platform's list; it lags by more than that itself.
const LIST_PAUSE: clock::Millis = clock::Millis::new(500);

/// The time between two looks whether this member has begun to lead and must read the list.
const LEAD_PAUSE: clock::Millis = clock::Millis::new(40);

/// The part of the allowed calls to the list that one leader uses.
const LIST_SHARE: f64 = 0.5;

/// The settings of a hub.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The platform's list of servers.
    pub list: core::ListSettings,
    /// The window in which quotas are counted.
    pub quota_window: clock::Millis,
    /// The time that must lie between orders of two leaders.
    pub order_lease: clock::Millis,
}

/// A member's service to routers.
pub struct Hub {
    group: group::Group,
    dialect: sync::Arc<dyn edge::Dialect>,
    list_settings: core::ListSettings,
    quota_window: clock::Millis,
    order_lease: clock::Millis,
    clock: clock::Clock,
    lead: sync::Mutex<Lead>,
}

/// A change of a model server that is due.
#[derive(Clone, Debug)]
pub struct DueChange {
    /// The change.
    pub change: roles::Change,
    /// Where the server listens.
    pub address: net::SocketAddr,
    /// The term of the leader that orders it.
    pub term: id::Term,
    /// How long the change takes.
    pub takes: clock::Millis,
}

/// What a leader keeps in memory for the length of its term.
#[derive(Debug, Default)]
struct Lead {
    term: Option<id::Term>,
    proven_at: Option<clock::Millis>,
    ledger: ledger::Ledger,
    began_at: clock::Millis,
    configured: Option<document::DocumentVersion>,
    engines: Vec<(document::ServiceId, document::Engine)>,
    /// The platform's list as it was read.
    listed: Vec<fleet::Server>,
    /// The list as routers get it: servers that change their work count as leaving.
    list: Option<fleet::List>,
    roles: roles::Roles,
    /// Whether another leader has ordered with a higher fencing number.
    fenced: bool,
}

impl Hub {
    /// Makes the service of a member.
    pub fn new(
        group: group::Group,
        dialect: sync::Arc<dyn edge::Dialect>,
        settings: Settings,
        clock: clock::Clock,
    ) -> Self {
        Self {
            group,
            dialect,
            list_settings: settings.list,
            quota_window: settings.quota_window,
            order_lease: settings.order_lease,
            clock,
            lead: sync::Mutex::default(),
        }
    }

    fn lead(&self) -> sync::MutexGuard<'_, Lead> {
        self.lead
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Proves the lead again and again, until `stop` turns true.
    pub async fn prove(&self, mut stop: watch::Receiver<bool>) {
        let mut pause = time::interval(PROOF_PAUSE.as_duration());
        pause.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = pause.tick() => {}
                () = server::stopped(&mut stop) => return,
            }
            let leads = self.group.watch().borrow().leads;
            self.enter_term(leads);
            if leads.is_none() {
                continue;
            }
            let asked_at = self.clock.now();
            if self.group.confirm().await.is_ok() {
                let mut lead = self.lead();
                if lead.term == leads {
                    lead.proven_at = Some(asked_at);
                }
            }
        }
    }

    /// Reads the platform's list while this member leads, until `stop` turns true.
    pub async fn read_lists(&self, mut stop: watch::Receiver<bool>) {
        let mut pause = LEAD_PAUSE;
        let mut reachable = true;
        loop {
            tokio::select! {
                () = time::sleep(pause.as_duration()) => {}
                () = server::stopped(&mut stop) => return,
            }
            if !self.is_proven() {
                pause = LEAD_PAUSE;
                continue;
            }
            pause = LIST_PAUSE;
            match discovery::read(&*self.dialect, &self.list_settings).await {
                Ok(listed) => {
                    if !reachable {
                        log::info!(event = "list_regained"; "the platform's list answers again");
                    }
                    reachable = true;
                    let needed = f64::from(listed.calls) * 1_000.0
                        / (self.list_settings.calls_per_second * LIST_SHARE).max(0.1);
                    pause = pause.max(clock::Millis::new(needed as u64));
                    self.set_list(listed);
                }
                Err(e) => {
                    if reachable {
                        log::warn!(event = "list_lost"; "{e}");
                    }
                    reachable = false;
                }
            }
        }
    }

    fn set_list(&self, listed: discovery::Listed) {
        let mut servers = listed.servers;
        servers.sort_by(|a, b| a.id.cmp(&b.id));
        let now = self.clock.now();
        let mut lead = self.lead();
        lead.listed = servers;
        lead.show_list(now, listed.damaged);
    }

    /// Takes a sample of the model servers' work and returns the changes that are due.
    pub fn due_changes(&self) -> Vec<DueChange> {
        let now = self.clock.now();
        let mut lead = self.lead();
        let Some(term) = lead.term.filter(|_| self.may_order_now(&lead, now)) else {
            return Vec::new();
        };
        let mut roles = mem::take(&mut lead.roles);
        let views = lead.views(now);
        let due = orders::sample(&mut roles, now, &views);
        drop(views);
        lead.roles = roles;
        let with_address = |change: roles::Change| {
            let server = lead.listed.iter().find(|s| s.id == change.server)?;
            let engine = lead.engines.iter().find(|(id, _)| *id == server.service)?;
            Some(DueChange {
                address: server.address,
                term,
                takes: engine.1.change_time,
                change,
            })
        };
        due.into_iter().filter_map(with_address).collect()
    }

    /// Tells whether this member may order in a term.
    pub fn may_order(&self, term: id::Term) -> bool {
        let lead = self.lead();
        lead.term == Some(term) && self.may_order_now(&lead, self.clock.now())
    }

    /// An old leader orders as long as its proof lives; a new one waits that out and the lease.
    fn may_order_now(&self, lead: &Lead, now: clock::Millis) -> bool {
        let waited = now >= lead.began_at + PROOF_LIFE + self.order_lease * 2;
        waited && !lead.fenced && lead.is_proven(now)
    }

    /// Notes that an order was sent and may have been accepted.
    pub fn note_order(&self, due: &DueChange) {
        let now = self.clock.now();
        let mut lead = self.lead();
        lead.roles.note_order(now, &due.change, due.takes);
        lead.show_list(now, 0);
    }

    /// Gives no more orders in a term, since another leader has a higher fencing number.
    pub fn stop_orders(&self, term: id::Term) {
        let mut lead = self.lead();
        lead.fenced |= lead.term == Some(term);
    }

    /// Returns how the platform speaks.
    pub fn dialect(&self) -> &dyn edge::Dialect {
        &*self.dialect
    }

    fn enter_term(&self, leads: Option<id::Term>) {
        let mut lead = self.lead();
        if lead.term != leads {
            *lead = Lead {
                term: leads,
                began_at: self.clock.now(),
                ledger: ledger::Ledger::new(self.quota_window),
                ..Lead::default()
            };
        }
    }

    fn is_proven(&self) -> bool {
        let lead = self.lead();
        lead.is_proven(self.clock.now())
    }

    /// Answers a report, or names the leader.
    pub fn report(&self, from: &id::InstanceId, report: fleet::Report) -> message::Reply {
        let now = self.clock.now();
        let document = self.group.with_state(|s| s.document().cloned());
        let mut lead = self.lead();
        let Some(term) = lead.term.filter(|_| lead.is_proven(now)) else {
            return message::Reply::NotLeader(leader_of(&self.group));
        };
        if let Some(packed) = &document {
            self.configure(&mut lead, packed);
        }
        let has_list = report.list;
        let has_document = report.document;
        let sums = lead.ledger.report(now, from, report);
        let newer = document.filter(|d| has_document < Some(d.version));
        let list = lead.list.as_ref();
        let list = list.filter(|l| has_list != Some((term, l.number)));
        message::Reply::Summary(Box::new(fleet::Summary {
            term,
            next: sums.next,
            document: newer,
            list: list.cloned(),
            entries: sums.entries,
            gateways: sums.gateways,
            left: sums.left,
            attempts: sums.attempts,
            loads: sums.loads,
            barred: sums.barred,
            members: self.group.status().addresses,
        }))
    }

    fn configure(&self, lead: &mut Lead, packed: &document::Packed) {
        if lead.configured == Some(packed.version) {
            return;
        }
        lead.configured = Some(packed.version);
        let plain = packed.to_plain();
        match plain.and_then(|plain| self.dialect.read_document(&plain)) {
            Ok(document) => {
                lead.ledger.configure(&document.accounts);
                let engine = |s: document::Service| Some((s.id, s.engine?));
                lead.engines = document.services.into_iter().filter_map(engine).collect();
            }
            Err(e) => log::error!("the document of the log: {e}"),
        }
    }
}

impl Lead {
    /// Makes the list for routers anew, with a new number if it is another one.
    fn show_list(&mut self, now: clock::Millis, damaged: usize) {
        self.roles.settle(now, &self.listed);
        let mut servers = self.listed.clone();
        for server in &mut servers {
            if self.roles.is_changing(&server.id) {
                server.state = fleet::ServerState::Leaving;
            }
        }
        let before = self.list.as_ref();
        if before.is_some_and(|l| l.servers == servers) {
            return;
        }
        let number = before.map_or(fleet::ListNumber::new(1), |l| l.number.next());
        log::info!(
            event = "list",
            number = number.as_u64(),
            servers = servers.len(),
            damaged = damaged;
            "the list of servers changed"
        );
        self.list = Some(fleet::List { number, servers });
    }

    /// Returns what the servers of each model service do.
    fn views(&self, now: clock::Millis) -> Vec<roles::View<'_>> {
        let mut views = Vec::with_capacity(self.engines.len());
        for (service, engine) in &self.engines {
            let servers = self.listed.iter().filter(|s| s.service == *service);
            views.push(roles::View {
                service,
                capacity: engine.memory,
                prompts_total: self.ledger.prompts(service),
                servers: servers.map(|s| (s, self.ledger.load(now, &s.id))).collect(),
            });
        }
        views
    }

    fn is_proven(&self, now: clock::Millis) -> bool {
        self.proven_at.is_some_and(|at| now < at + PROOF_LIFE)
    }
}

/// Returns the leader as far as this member knows.
pub fn leader_of(group: &group::Group) -> Option<settings::ControlPeer> {
    let status = group.status();
    let (instance, peer_address) = status.leader.zip(status.leader_address)?;
    Some(settings::ControlPeer {
        instance,
        peer_address,
    })
}

impl server::Handler for Hub {
    async fn handle(&self, from: id::InstanceId, request: message::Request) -> message::Reply {
        match request {
            message::Request::Replica(bytes) => match self.group.handle_message(&from, &bytes) {
                Ok(()) => message::Reply::Accepted,
                Err(e) => {
                    log::warn!("message of the log from {from}: {e}");
                    message::Reply::Unsupported
                }
            },
            message::Request::Report(report) => self.report(&from, *report),
            message::Request::Ping => message::Reply::Accepted,
            _ => message::Reply::Unsupported,
        }
    }
}
