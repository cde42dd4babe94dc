//! What a leader does for routers: it adds up their reports and hands on documents and lists.

use std::sync;

use tokio::sync::watch;
use tokio::time;

use crate::clock;
use crate::document;
use crate::fleet::ledger;
use crate::fleet::message as fleet;
use crate::id;
use crate::peer::message;
use crate::peer::server;
use crate::replica::group;
use crate::router::core;
use crate::router::discovery;
use crate::router::protocol;

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

/// A member's service to routers.
pub struct Hub {
    group: group::Group,
    codec: sync::Arc<dyn protocol::Codec>,
    list_settings: core::ListSettings,
    quota_window: clock::Millis,
    clock: clock::Clock,
    lead: sync::Mutex<Lead>,
}

/// What a leader keeps in memory for the length of its term.
#[derive(Debug, Default)]
struct Lead {
    term: Option<id::Term>,
    proven_at: Option<clock::Millis>,
    ledger: ledger::Ledger,
    configured: Option<document::DocumentVersion>,
    list: Option<fleet::List>,
}

impl Hub {
    /// Makes the service of a member.
    pub fn new(
        group: group::Group,
        codec: sync::Arc<dyn protocol::Codec>,
        list_settings: core::ListSettings,
        quota_window: clock::Millis,
        clock: clock::Clock,
    ) -> Self {
        Self {
            group,
            codec,
            list_settings,
            quota_window,
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
            match discovery::read(&*self.codec, &self.list_settings).await {
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
        let mut lead = self.lead();
        let before = lead.list.as_ref();
        if before.is_some_and(|l| l.servers == servers) {
            return;
        }
        let number = before.map_or(fleet::ListNumber::new(1), |l| l.number.next());
        log::info!(
            event = "list",
            number = number.as_u64(),
            servers = servers.len(),
            damaged = listed.damaged;
            "the platform's list changed"
        );
        lead.list = Some(fleet::List { number, servers });
    }

    fn enter_term(&self, leads: Option<id::Term>) {
        let mut lead = self.lead();
        if lead.term != leads {
            *lead = Lead {
                term: leads,
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
        let held = self.group.with_state(|s| s.document().map(|d| d.version));
        let mut lead = self.lead();
        let Some(term) = lead.term.filter(|_| lead.is_proven(now)) else {
            return message::Reply::NotLeader(self.group.status().leader_peer());
        };
        if lead.configured != held {
            self.configure(&mut lead);
        }
        let has_list = report.list;
        let has_document = report.document;
        let sums = lead.ledger.report(now, from, report);
        // Documents can be large, and almost every report comes with the newest version.
        let newer = (has_document < held).then(|| self.document()).flatten();
        let list = lead.list.as_ref();
        let list = list.filter(|l| has_list != Some((term, l.number)));
        message::Reply::Summary(Box::new(fleet::Summary {
            term,
            document: newer,
            list: list.cloned(),
            sums,
            members: self.group.status().addresses,
        }))
    }

    fn document(&self) -> Option<document::Packed> {
        self.group.with_state(|s| s.document().cloned())
    }

    fn configure(&self, lead: &mut Lead) {
        let Some(packed) = self.document() else {
            return;
        };
        lead.configured = Some(packed.version);
        match protocol::read_packed(&*self.codec, &packed) {
            Ok(document) => lead.ledger.configure(&document.accounts),
            Err(e) => log::error!("the document of the log: {e}"),
        }
    }
}

impl Lead {
    fn is_proven(&self, now: clock::Millis) -> bool {
        self.proven_at.is_some_and(|at| now < at + PROOF_LIFE)
    }
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
