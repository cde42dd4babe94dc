//! Answers routers' reports while this member leads: adds them up and sends newer documents and
//! server lists.

use std::sync;

use tokio::sync::watch;
use tokio::time;

use crate::clock;
use crate::document;
use crate::fleet::budget;
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
use crate::replica::group;
use crate::router::core;
use crate::router::discovery;
use crate::router::protocol;
use crate::state::change;
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

/// Interval between two commits of the origins of streams.
const SAVE_INTERVAL: clock::Millis = clock::Millis::new(200);

/// Share of the allowed calls to the server list that one leader uses.
const LIST_CALL_SHARE: f64 = 0.5;

/// The part of a control member that serves routers.
pub struct Aggregator {
    group: group::Group,
    codec: sync::Arc<dyn protocol::Codec>,
    list_settings: core::ListSettings,
    quota_window: clock::Millis,
    budget: budget::Settings,
    clock: clock::Clock,
    leader_state: sync::Mutex<LeaderState>,
}

/// State of a leader, kept in memory for the length of its term.
#[derive(Debug, Default)]
struct LeaderState {
    term: Option<id::Term>,
    confirmed_at: Option<clock::Millis>,
    ledger: ledger::Ledger,
    configured_version: Option<document::DocumentVersion>,
    /// The revision of the replicated configuration whose quarantine the ledger has.
    config_revision: Option<id::Revision>,
    lists: listing::History,
    origins: origin::Registry,
    upgrade: upgrade::Watch,
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
            clock,
            leader_state: sync::Mutex::default(),
        }
    }

    fn leader_state(&self) -> sync::MutexGuard<'_, LeaderState> {
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
            let leader_term = self.group.watch().borrow().leads;
            self.set_term(leader_term);
            if leader_term.is_none() {
                continue;
            }
            let confirm_started_at = self.clock.now();
            if self.group.ensure_linearizable().await.is_ok() {
                let mut leader_state = self.leader_state();
                if leader_state.term == leader_term {
                    leader_state.confirmed_at = Some(confirm_started_at);
                }
            }
            self.save_verdicts().await;
            self.raise_level().await;
        }
    }

    /// Reads the platform's server list while this member leads, until `stop` becomes true.
    pub async fn read_lists(&self, mut stop: watch::Receiver<bool>) {
        let mut interval = LEADER_CHECK_INTERVAL;
        let mut reachable = true;
        loop {
            tokio::select! {
                () = time::sleep(interval.as_duration()) => {}
                () = server::stopped(&mut stop) => return,
            }
            if !self.is_confirmed() {
                interval = LEADER_CHECK_INTERVAL;
                continue;
            }
            interval = LIST_READ_INTERVAL;
            match discovery::read(&*self.codec, &self.list_settings).await {
                Ok(listed) => {
                    if !reachable {
                        log::info!(event = "list_regained"; "the platform's server list can be read again");
                    }
                    reachable = true;
                    let min_interval_ms = f64::from(listed.calls) * 1_000.0
                        / (self.list_settings.calls_per_second * LIST_CALL_SHARE).max(0.1);
                    interval = interval.max(clock::Millis::new(min_interval_ms as u64));
                    self.set_list(listed).await;
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

    async fn set_list(&self, mut listed: discovery::Listed) {
        self.admit_versions(&mut listed.servers).await;
        let list = match listing::List::new(listed.servers) {
            Ok(list) => list,
            Err(e) => return log::error!("{e}"),
        };
        let (digest, servers) = (list.digest().0, list.servers().len());
        if self.leader_state().lists.set(list) {
            log::info!(
                event = "list",
                digest = digest,
                servers = servers,
                damaged = listed.damaged;
                "the platform's server list changed"
            );
        }
    }

    /// Commits the software versions of a list that are new. Servers whose version is not committed are
    /// left out until it is.
    async fn admit_versions(&self, servers: &mut Vec<fleet::Server>) {
        let now = self.clock.now();
        let (term, new) = {
            let mut leader_state = self.leader_state();
            let new = self
                .group
                .with_state(|s| leader_state.origins.set_listed(now, servers, s.origins()));
            (leader_state.term, new)
        };
        let Some(term) = term.filter(|_| !new.is_empty()) else {
            return;
        };
        let batch = origin::Batch {
            versions: new.clone(),
            ..Default::default()
        };
        if self.commit_origins(term, batch).await {
            return;
        }
        let is_new = |o| new.binary_search(&o).is_ok();
        servers.retain(|s| !origin::Origin::from_server(s).is_some_and(is_new));
        log::warn!(
            event = "versions_not_committed",
            count = new.len();
            "new software versions are not committed; leaving out their servers until the next list"
        );
    }

    /// Commits the origins of streams while this member leads, until `stop` becomes true.
    pub async fn save_origins(&self, mut stop: watch::Receiver<bool>) {
        let mut interval = time::interval(SAVE_INTERVAL.as_duration());
        interval.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = interval.tick() => {}
                () = server::stopped(&mut stop) => return,
            }
            let now = self.clock.now();
            let (term, batch) = {
                let mut leader_state = self.leader_state();
                let batch = self
                    .group
                    .with_state(|s| leader_state.origins.next_batch(now, s.origins()));
                (leader_state.term, batch)
            };
            if let (Some(term), Some(batch)) = (term, batch) {
                self.commit_origins(term, batch).await;
            }
        }
    }

    /// Commits a change of the origins; returns whether that is certain.
    async fn commit_origins(&self, term: id::Term, batch: origin::Batch) -> bool {
        let command = command::Command::Origins(batch);
        match self.group.submit_in_term(term, &command).await {
            Ok(group::Outcome::Applied(_)) => true,
            Ok(_) => false,
            Err(e) => {
                log::error!("origins of streams can't be committed: {e}");
                false
            }
        }
    }

    fn set_term(&self, leader_term: Option<id::Term>) {
        let mut leader_state = self.leader_state();
        if leader_state.term != leader_term {
            *leader_state = LeaderState {
                term: leader_term,
                ledger: ledger::Ledger::new(leader_term.unwrap_or_default(), self.quota_window)
                    .with_budget(self.budget),
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
        if leader_state.configured_version != current_version {
            self.configure(&mut leader_state);
        }
        self.update_quarantine(&mut leader_state);
        let version = report.extension.version;
        level::record_router(&self.group, &mut leader_state.upgrade, now, from, version);
        let router_list = report.list;
        let router_document = report.document;
        let sums = leader_state.ledger.report(now, from, report);
        // Documents can be large, and almost every report comes with the newest version, so the
        // document is copied only when it is needed.
        let newer_document = (router_document < current_version)
            .then(|| self.document())
            .flatten();
        let list = leader_state.lists.update_for(router_list);
        let list = list.unwrap_or_else(|e| {
            log::error!("{e}; the router keeps its list until the next report");
            None
        });
        message::Reply::Summary(Box::new(fleet::Summary {
            term,
            time: now,
            document: newer_document,
            list,
            sums,
            mixed: self.group.with_state(|s| s.origins().mixed()),
            members: self.group.status().addresses,
            extension: fleet::SummaryExtension::new(),
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

    /// Takes note of streams that began at a router, or names the leader if this member's leadership is
    /// not confirmed.
    pub fn record_begun(&self, streams: Vec<origin::Record>) -> message::Reply {
        let mut leader_state = self.leader_state();
        let is_confirmed = leader_state.is_confirmed(self.clock.now());
        match leader_state.term.filter(|_| is_confirmed) {
            Some(term) => {
                leader_state.origins.record(streams);
                message::Reply::Begun(term)
            }
            None => message::Reply::NotLeader(self.group.status().leader_peer()),
        }
    }

    /// Answers where a stream began, or names the leader if this member's leadership was not confirmed
    /// just now.
    pub fn ask_origin(&self, question: &origin::Question) -> message::Reply {
        let now = self.clock.now();
        let leader_state = self.leader_state();
        if leader_state.is_confirmed_within(now, permit::MAX_CONFIRMATION_AGE) {
            let origins = &leader_state.origins;
            let answer = |s: &command::State| origins.answer(now, s.origins(), question);
            message::Reply::Origin(self.group.with_state(answer))
        } else {
            message::Reply::NotLeader(self.group.status().leader_peer())
        }
    }

    /// Saves new verdicts in the replicated log, so that they outlast this leader.
    async fn save_verdicts(&self) {
        let (term, verdicts) = {
            let leader_state = self.leader_state();
            (leader_state.term, leader_state.ledger.verdicts().to_vec())
        };
        let Some(term) = term.filter(|_| !verdicts.is_empty()) else {
            return;
        };
        let changes = verdicts.iter().map(|f| change::Change::Quarantine(*f));
        let command = command::Command::System(changes.collect());
        match self.group.submit_in_term(term, &command).await {
            Ok(group::Outcome::Applied(_)) => {
                let mut leader_state = self.leader_state();
                if leader_state.term == Some(term) {
                    self.update_quarantine(&mut leader_state);
                    leader_state.ledger.remove_verdicts(&verdicts);
                }
            }
            Ok(_) => log::warn!("a quarantine was not committed yet; trying again"),
            Err(e) => log::error!("a quarantine can't be committed: {e}"),
        }
    }

    /// Applies the quarantine of the replicated state, if that has changed.
    fn update_quarantine(&self, leader_state: &mut LeaderState) {
        let now = self.clock.now();
        self.group.with_state(|state| {
            let config = state.config();
            if leader_state.config_revision != Some(config.revision) {
                leader_state.config_revision = Some(config.revision);
                let quarantined = config.quarantined.keys().copied();
                leader_state.ledger.set_quarantined(now, quarantined);
            }
        });
    }

    fn document(&self) -> Option<document::Packed> {
        self.group.with_state(|s| s.document().cloned())
    }

    fn configure(&self, leader_state: &mut LeaderState) {
        let Some(packed) = self.document() else {
            return;
        };
        leader_state.configured_version = Some(packed.version);
        match protocol::read_packed(&*self.codec, &packed) {
            Ok(document) => {
                leader_state.ledger.configure(&document.accounts);
                let streams = document
                    .routes
                    .iter()
                    .filter(|r| r.retry_policy.is_stream());
                let longest = streams.map(|r| r.time_limit).max().unwrap_or_default();
                leader_state.origins.set_time_limit(longest);
            }
            Err(e) => log::error!(
                "can't decode the document of the replicated log; keeping the accounts known before: {e}"
            ),
        }
    }
}

impl LeaderState {
    fn is_confirmed(&self, now: clock::Millis) -> bool {
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
