//! Answers routers' reports while this member leads: adds them up and sends newer documents and
//! server lists.

mod evacuations;
mod known_servers;
mod origins;

use std::sync;

use tokio::sync::watch;
use tokio::time;

use crate::clock;
use crate::document;
use crate::fleet::allowance;
use crate::fleet::budget;
use crate::fleet::cold;
use crate::fleet::evacuation;
use crate::fleet::known;
use crate::fleet::ledger;
use crate::fleet::listing;
use crate::fleet::message as fleet;
use crate::fleet::origin;
use crate::fleet::permit;
use crate::fleet::upgrade;
use crate::id;
use crate::keeper::level;
use crate::peer::message;
use crate::peer::server;
use crate::peer::trailer;
use crate::replica::group;
use crate::router::core;
use crate::router::discovery;
use crate::router::protocol;
use crate::state::command;
use crate::state::model;

/// Interval between two confirmations that this member still leads.
const CONFIRM_INTERVAL: clock::Millis = clock::Millis::new(100);

/// Age of a confirmation after which reports are no longer answered. Together with
/// [`CONFIRM_INTERVAL`] and the routers' own timeouts it keeps the time in which a former leader
/// answers below the time in which a document must be in force.
const MAX_CONFIRMATION_AGE: clock::Millis = clock::Millis::new(700);

/// Shortest interval between two reads of the platform's server list; the list itself lags behind
/// by more than that.
const LIST_READ_INTERVAL: clock::Millis = clock::Millis::new(500);

/// Interval between two checks whether this member has become the leader and must read the server
/// list.
const LEADER_CHECK_INTERVAL: clock::Millis = clock::Millis::new(40);

/// Interval between two checks whether routers may get the servers of a version that is held back.
const RELEASE_CHECK_INTERVAL: clock::Millis = clock::Millis::new(50);

/// Share of the allowed calls to the server list that one leader uses.
const LIST_CALL_SHARE: f64 = 0.5;

/// The part of a control member that serves routers.
pub struct Aggregator {
    pub(super) group: group::Group,
    codec: sync::Arc<dyn protocol::Codec>,
    list_settings: core::ListSettings,
    pub(super) quota_window: clock::Millis,
    budget: budget::Settings,
    cold: Option<cold::Settings>,
    pub(super) clock: clock::Clock,
    leader_state: sync::Mutex<LeaderState>,
    /// Kept over terms: a member sees evacuations end also while it follows.
    evacuation_ends: sync::Mutex<evacuation::EndTimes>,
}

/// State of a leader, kept in memory for the length of its term.
#[derive(Debug, Default)]
pub(super) struct LeaderState {
    pub(super) term: Option<id::Term>,
    confirmed_at: Option<clock::Millis>,
    pub(super) ledger: ledger::Ledger,
    pub(super) configured_version: Option<document::DocumentVersion>,
    /// The revision of the replicated configuration whose quarantine the ledger has.
    config_revision: Option<id::Revision>,
    /// The number of changes of the replicated verdicts that the ledger has.
    verdict_changes: Option<u64>,
    lists: listing::History,
    /// When the read of the newest list began.
    list_read_at: Option<clock::Millis>,
    /// The servers that the list named; `None` before the first read in the term.
    known_servers: Option<known::Known>,
    known_saved_at: Option<clock::Millis>,
    /// The numbers of damaged entries and of servers recovered from them in the last list that had some.
    list_damage: Option<(usize, usize)>,
    origins: origin::Registry,
    upgrade: upgrade::Watch,
    /// The revision of the evacuations that routers are told.
    evacuations_told: Option<evacuation::Revision>,
    /// The revision of the evacuations that is in force at all routers.
    evacuations_in_force: Option<evacuation::Revision>,
    pub(super) allowances: allowance::Planner,
}

impl Aggregator {
    pub fn new(
        group: group::Group,
        codec: sync::Arc<dyn protocol::Codec>,
        list_settings: core::ListSettings,
        quota_window: clock::Millis,
        budget: budget::Settings,
        clock: clock::Clock,
    ) -> Self {
        Self {
            group,
            codec,
            list_settings,
            quota_window,
            budget,
            cold: None,
            clock,
            leader_state: sync::Mutex::default(),
            evacuation_ends: sync::Mutex::default(),
        }
    }

    /// Sets the bounds for calls to cold servers; without them, cold servers are called like others.
    #[must_use]
    pub fn with_cold(self, cold: Option<cold::Settings>) -> Self {
        Self { cold, ..self }
    }

    pub(super) fn leader_state(&self) -> sync::MutexGuard<'_, LeaderState> {
        self.leader_state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Confirms repeatedly that this member leads, until `stop` becomes true.
    pub async fn confirm_leadership(&self, mut stop: watch::Receiver<bool>) {
        let mut interval = time::interval(CONFIRM_INTERVAL.as_duration());
        interval.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = interval.tick() => {}
                () = server::stopped(&mut stop) => return,
            }
            self.check_evacuations();
            let leader_term = self.group.watch().borrow().leads;
            self.set_term(leader_term);
            if leader_term.is_none() {
                continue;
            }
            let confirm_started_at = self.clock.now();
            if self.group.ensure_linearizable().await.is_ok() {
                let mut leader_state = self.leader_state();
                if leader_state.term == leader_term {
                    if leader_state.confirmed_at.is_none() {
                        self.take_over_use(&mut leader_state);
                    }
                    leader_state.confirmed_at = Some(confirm_started_at);
                }
            }
            self.save_judgements().await;
            self.raise_level().await;
        }
    }

    /// Reads the platform's server list while this member leads, until `stop` becomes true.
    pub async fn read_lists(&self, mut stop: watch::Receiver<bool>) {
        let mut interval = LEADER_CHECK_INTERVAL;
        let mut reachable = true;
        // The last list of which routers got a part.
        let mut held: Option<(id::Term, discovery::Listed)> = None;
        loop {
            let delay = held.as_ref().map_or(interval, |_| RELEASE_CHECK_INTERVAL);
            tokio::select! {
                () = time::sleep(delay.min(interval).as_duration()) => {}
                () = server::stopped(&mut stop) => return,
            }
            interval = interval - delay;
            if let Some((term, listed)) = held.take_if(|_| interval > clock::Millis::ZERO) {
                if self.publish(term, &listed) {
                    held = Some((term, listed));
                }
                continue;
            }
            if !self.is_confirmed() {
                interval = LEADER_CHECK_INTERVAL;
                continue;
            }
            interval = LIST_READ_INTERVAL;
            let read_at = self.clock.now();
            match discovery::read(&*self.codec, &self.list_settings).await {
                Ok(listed) => {
                    if !reachable {
                        log::info!(event = "list_regained"; "the platform's server list can be read again");
                    }
                    reachable = true;
                    let min_interval_ms = f64::from(listed.calls) * 1_000.0
                        / (self.list_settings.calls_per_second * LIST_CALL_SHARE).max(0.1);
                    interval = interval.max(clock::Millis::new(min_interval_ms as u64));
                    held = self.set_list(read_at, listed).await;
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

    fn set_term(&self, leader_term: Option<id::Term>) {
        let mut leader_state = self.leader_state();
        if leader_state.term != leader_term {
            *leader_state = LeaderState {
                term: leader_term,
                ledger: ledger::Ledger::new(leader_term.unwrap_or_default(), self.quota_window)
                    .with_budget(self.budget)
                    .with_cold(self.cold.unwrap_or_default()),
                ..LeaderState::default()
            };
        }
    }

    fn is_confirmed(&self) -> bool {
        let leader_state = self.leader_state();
        leader_state.is_confirmed(self.clock.now())
    }

    /// Answers a report with a summary, or names the leader if this member's leadership is not
    /// confirmed.
    pub fn report(&self, from: &id::InstanceId, report: fleet::Report) -> message::Reply {
        let now = self.clock.now();
        let current_version = self.group.with_state(|s| s.document().map(|d| d.version));
        let mut leader_state = self.leader_state();
        let Some(term) = leader_state.term.filter(|_| leader_state.is_confirmed(now)) else {
            return message::Reply::NotLeader(self.group.status().leader_peer());
        };
        self.update_document(&mut leader_state);
        self.update_quarantine(&mut leader_state);
        let version = report.extension.version;
        level::record_router(&self.group, &mut leader_state.upgrade, now, from, version);
        let router_list = report.list;
        let router_document = report.document;
        let is_first = report.known.is_none();
        let evacuated = self.evacuation_notice();
        if leader_state.evacuations_told != Some(evacuated.revision) {
            // Before any router learns that it may use a data centre again.
            leader_state.evacuations_told = Some(evacuated.revision);
            let ledger = &mut leader_state.ledger;
            ledger.set_data_centres_back(now, &evacuated.ended);
        }
        let sums = leader_state.ledger.report(now, from, report);
        // Documents can be large, and almost every report comes with the newest version, so the
        // document is copied only when it is needed.
        let newer_document = (router_document < current_version)
            .then(|| self.document())
            .flatten();
        leader_state.origins.record_summary(now, from, is_first);
        let origins = &leader_state.origins;
        let mixed = self
            .group
            .with_state(|s| origins.told_services(s.origins()));
        let list = leader_state.lists.update_for(router_list);
        let list = list.unwrap_or_else(|e| {
            log::error!("{e}; the router keeps its list until the next report");
            None
        });
        let extension = fleet::SummaryExtension {
            evacuated: Some(evacuated),
            list_age: leader_state.list_read_at.map(|at| now - at),
            quotas: leader_state.ledger.shares(now, from),
            cold: leader_state
                .ledger
                .cold_word(now, leader_state.lists.newest()),
            verdict_ends: leader_state.ledger.verdict_ends(now),
            ..fleet::SummaryExtension::new()
        };
        message::Reply::Summary(Box::new(fleet::Summary {
            term,
            time: now,
            document: newer_document,
            list,
            sums,
            mixed,
            members: self.group.status().addresses,
            extension,
        }))
    }

    /// Raises the feature level once no process of an older version is left.
    async fn raise_level(&self) {
        let now = self.clock.now();
        let next = {
            let mut leader_state = self.leader_state();
            let is_confirmed = leader_state.is_confirmed(now);
            let Some(term) = leader_state.term.filter(|_| is_confirmed) else {
                return;
            };
            level::next(&self.group, &mut leader_state.upgrade, now).map(|next| (term, next))
        };
        if let Some((term, next)) = next {
            level::raise(&self.group, term, next).await;
        }
    }

    /// Answers a question for permits, or names the leader if this member's leadership was not
    /// confirmed just now.
    pub fn ask(&self, from: &id::InstanceId, ask: &permit::Ask) -> message::Reply {
        let now = self.clock.now();
        let mut leader_state = self.leader_state();
        if leader_state.is_confirmed_within(now, permit::MAX_CONFIRMATION_AGE) {
            message::Reply::Permit(leader_state.ledger.ask(now, from, ask))
        } else {
            message::Reply::NotLeader(self.group.status().leader_peer())
        }
    }

    /// Answers a question for a share of the retry budget, or names the leader if this member's
    /// leadership was not confirmed just now.
    pub fn ask_retry(&self, from: &id::InstanceId, ask: &budget::Ask) -> message::Reply {
        let now = self.clock.now();
        let mut leader_state = self.leader_state();
        if leader_state.is_confirmed_within(now, budget::MAX_CONFIRMATION_AGE) {
            message::Reply::Retry(leader_state.ledger.ask_retry(now, from, ask))
        } else {
            message::Reply::NotLeader(self.group.status().leader_peer())
        }
    }

    /// Answers whether a request may run, or names the leader if this member's leadership was not
    /// confirmed just now.
    pub fn ask_run(&self, fingerprints: &[model::Fingerprint]) -> message::Reply {
        let now = self.clock.now();
        let mut leader_state = self.leader_state();
        if leader_state.is_confirmed_within(now, permit::MAX_CONFIRMATION_AGE) {
            message::Reply::Run(leader_state.ledger.ask_run(now, fingerprints))
        } else {
            message::Reply::NotLeader(self.group.status().leader_peer())
        }
    }

    /// Saves changes of verdicts in the replicated log, so that they outlast this leader.
    async fn save_judgements(&self) {
        let (term, judgements) = {
            let leader_state = self.leader_state();
            let judgements = leader_state.ledger.judgements();
            (leader_state.term, judgements.to_vec())
        };
        let level = self.group.with_state(command::State::feature_level);
        let is_due = !judgements.is_empty() && level.0 >= trailer::CURRENT;
        let Some(term) = term.filter(|_| is_due) else {
            return;
        };
        let command = command::Command::Judge(judgements.clone());
        match self.group.submit_in_term(term, &command).await {
            Ok(group::Outcome::Applied(_)) => {
                let mut leader_state = self.leader_state();
                if leader_state.term == Some(term) {
                    self.update_quarantine(&mut leader_state);
                    leader_state.ledger.remove_judgements(&judgements);
                }
            }
            Ok(_) => log::warn!("a verdict was not committed yet; trying again"),
            Err(e) => log::error!("a verdict can't be committed: {e}"),
        }
    }

    /// Applies the quarantine and the verdicts of the replicated state, if they have changed.
    fn update_quarantine(&self, leader_state: &mut LeaderState) {
        let now = self.clock.now();
        self.group.with_state(|state| {
            let config = state.config();
            if leader_state.config_revision != Some(config.revision) {
                leader_state.config_revision = Some(config.revision);
                let quarantined = config.quarantined.keys().copied();
                leader_state.ledger.set_quarantined(now, quarantined);
            }
            let verdicts = state.verdicts();
            if leader_state.verdict_changes != Some(verdicts.changes()) {
                leader_state.verdict_changes = Some(verdicts.changes());
                leader_state.ledger.set_verdicts(now, verdicts);
            }
        });
    }

    fn document(&self) -> Option<document::Packed> {
        self.group.with_state(|s| s.document().cloned())
    }

    /// Applies the document of the replicated state, if that has changed.
    fn update_document(&self, leader_state: &mut LeaderState) {
        let current_version = self.group.with_state(|s| s.document().map(|d| d.version));
        if leader_state.configured_version != current_version {
            self.configure(leader_state);
        }
    }

    pub(super) fn configure(&self, leader_state: &mut LeaderState) {
        let Some(packed) = self.document() else {
            return;
        };
        leader_state.configured_version = Some(packed.version);
        match protocol::read_packed(&*self.codec, &packed) {
            Ok(document) => {
                leader_state.ledger.configure(&document.accounts);
                leader_state.origins.set_routes(&document.routes);
                if self.cold.is_some() {
                    leader_state.ledger.configure_cold(&document.services);
                }
            }
            Err(e) => log::error!(
                "can't decode the document of the replicated log; keeping the accounts known before: {e}"
            ),
        }
    }
}

impl LeaderState {
    pub(super) fn is_confirmed(&self, now: clock::Millis) -> bool {
        self.is_confirmed_within(now, MAX_CONFIRMATION_AGE)
    }

    fn is_confirmed_within(&self, now: clock::Millis, max_age: clock::Millis) -> bool {
        self.confirmed_at.is_some_and(|at| now < at + max_age)
    }
}

impl server::Handler for Aggregator {
    async fn handle(&self, from: id::InstanceId, request: message::Request) -> message::Reply {
        match request {
            message::Request::Replica(bytes) => match self.group.handle_message(&from, &bytes) {
                Ok(()) => message::Reply::Accepted,
                Err(e) => {
                    log::warn!("refusing a replication message from {from}: {e}");
                    message::Reply::Unsupported
                }
            },
            message::Request::Report(report) => self.report(&from, *report),
            message::Request::Permit(ask) => self.ask(&from, &ask),
            message::Request::Retry(ask) => self.ask_retry(&from, &ask),
            message::Request::Run(fingerprints) => self.ask_run(&fingerprints),
            message::Request::Begun(streams) => self.record_begun(streams),
            message::Request::Origin(question) => self.ask_origin(&question),
            message::Request::Ping => message::Reply::Accepted,
            _ => message::Reply::Unsupported,
        }
    }
}
