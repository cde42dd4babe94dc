//! Servers that are or may be cold: what the leader knows of each, and what a router needs to know
//! before it calls one without a permit.
//!
//! A server that restarts is down for [`MIN_DOWN_TIME`] or longer. So an answer, or a part of one,
//! proves that its server has not started anew until that time after it. A router calls a server
//! without a permit only while its newest proof that the server is warm is younger than
//! [`MAX_EVIDENCE_AGE`], which is less. See `docs/design/cold-servers.md`.

use crate::clock;
use crate::document;
use crate::fleet::listing;
use crate::fleet::message;
use crate::fleet::permit;
use crate::id;
use crate::macros;
use crate::sorted;
use crate::unit;

/// The shortest time for which a server is down when it restarts.
pub const MIN_DOWN_TIME: clock::Millis = clock::Millis::new(2_000);

/// The age of the newest proof that a server is warm up to which it is called without a permit. The
/// rest of [`MIN_DOWN_TIME`] covers the way of the call to the server.
pub const MAX_EVIDENCE_AGE: clock::Millis = clock::Millis::new(1_900);

/// The time that a summary may take beyond one report interval until the next one replaces it.
const SUMMARY_MARGIN: clock::Millis = clock::Millis::new(300);

/// The age up to which a proof counts at the leader at most. A router that is told that a server needs no
/// permit takes the proof for that old, since leaders differ in how old they let it become.
pub const MAX_PROOF_AGE: clock::Millis = clock::Millis::new(1_500);

/// The age of a proof that the leader passes on at least, in fleets with a long report interval.
const MIN_PROOF_AGE: clock::Millis = clock::Millis::new(500);

/// How long what is known of a server is kept after it has left the list.
const UNLISTED_RETENTION: clock::Millis = clock::Millis::from_secs(60);

/// The calls that a schedule of permits may bring in a second beyond its rate: its burst, and one
/// that the limits of the second cut.
const PERMIT_BURST: u64 = 3_000;

/// The bounds for calls to cold servers in any one second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Settings {
    /// The factor by which the calls may exceed the rate.
    pub overage: f64,
    /// The calls that are allowed in addition.
    pub slack: unit::CallRate,
}

impl Settings {
    /// Returns the rate at which permits are issued: that of the document, or a lower one when the
    /// calls of a second, with those whose permits were valid a while, would exceed the bound.
    fn permit_rate(self, rate: unit::CallRate) -> unit::CallRate {
        let bound = rate.as_millicalls() as f64 * self.overage + self.slack.as_millicalls() as f64;
        let without_burst = (bound as u64).saturating_sub(PERMIT_BURST);
        let second = 1_000;
        let safe = without_burst * second / (second + permit::LIFETIME.as_u64());
        rate.min(unit::CallRate::from_millicalls(safe))
    }
}

macros::data! {
    /// When a server last proved to a router that it has not restarted.
    pub struct Proof {
        pub server: id::BackendServerId,
        /// The time from the proof to the sending of the report.
        pub age: clock::Millis,
        /// Whether the router knows that the server was warm then.
        pub is_warm: bool,
    }
}

macros::data! {
    /// A server that was lost under a router's calls.
    pub struct Loss {
        pub server: id::BackendServerId,
        /// The time from the loss to the sending of the report.
        pub age: clock::Millis,
    }
}

macros::data! {
    /// What a router's calls say of servers of services with a cold start.
    #[derive(Default)]
    pub struct Evidence {
        pub proofs: Vec<Proof>,
        pub losses: Vec<Loss>,
    }
}

macros::data! {copy
    /// What the leader knows of a listed server.
    pub enum Standing {
        /// Nothing proves that it is warm, or that it is cold.
        Unknown,
        /// As [`Self::Unknown`], and it answers calls.
        Answering,
        /// It was warm at the age of [`Word::proof_age`].
        Warm,
        /// It is or may be cold.
        Cold,
        /// As [`Self::Cold`], and it answers calls.
        ColdAnswering,
    }
}

macros::data! {
    /// The leader's word on all listed servers.
    pub struct Word {
        /// The list that `standings` follows; `None` while the leader has none.
        pub list: Option<listing::ListDigest>,
        /// The age of the oldest proof that counts.
        pub proof_age: clock::Millis,
        /// By the order of the list.
        pub standings: Vec<Standing>,
    }
}

/// What is known of the warmth of one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Unknown,
    Warm,
    Cold,
}

/// What the leader knows of one server.
#[derive(Debug)]
struct Record {
    /// `None` until a list names the server.
    service: Option<document::ServiceId>,
    data_centre: Option<id::DataCentre>,
    started_at: Option<message::StartTime>,
    /// `None` for a server of a service without a cold start.
    cold_start: Option<document::ColdStart>,
    state: State,
    /// The last proof; the true time or an earlier one.
    alive_at: Option<clock::Millis>,
    /// When the first one of the proofs without a gap was received.
    alive_since: clock::Millis,
    /// Proofs up to this time say nothing of the server's present start.
    lost_at: Option<clock::Millis>,
    /// Until when the list or the end of an evacuation says that it is cold.
    cold_until: clock::Millis,
    /// When a list named it last.
    listed_at: clock::Millis,
    is_listed: bool,
}

/// What one leader knows of servers that are or may be cold, during its term.
#[derive(Debug, Default)]
pub struct Registry {
    settings: Settings,
    services: sorted::Map<document::ServiceId, document::ColdStart>,
    /// The longest time and the lowest rate of all services, for servers that no list has named.
    strictest: Option<document::ColdStart>,
    servers: sorted::Map<id::BackendServerId, Record>,
    report_interval: clock::Millis,
}

impl Registry {
    /// Makes the registry of a leader that knows nothing yet.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Returns whether any service has a cold start.
    pub fn is_active(&self) -> bool {
        self.strictest.is_some()
    }

    /// Replaces the services by those of a document.
    pub fn configure(&mut self, services: &[document::Service]) {
        let with_cold = services
            .iter()
            .filter_map(|s| Some((s.id.clone(), s.cold_start?)));
        self.services = with_cold.collect();
        let all = self.services.values().copied();
        self.strictest = all.reduce(|a, b| document::ColdStart {
            time: a.time.max(b.time),
            rate: a.rate.min(b.rate),
        });
        for record in self.servers.values_mut() {
            record.cold_start = match &record.service {
                Some(service) => self.services.get(service).copied(),
                None => self.strictest,
            };
        }
    }

    /// Applies the platform's list; `cold` has the servers that it names as cold, and for how much
    /// longer.
    pub fn set_list(
        &mut self,
        now: clock::Millis,
        servers: &[message::Server],
        cold: &[(id::BackendServerId, clock::Millis)],
    ) {
        for record in self.servers.values_mut() {
            record.is_listed = false;
        }
        for server in servers {
            self.list(now, server);
        }
        for (server, remaining) in cold {
            if let Some(record) = self.servers.get_mut(server) {
                record.cold_until = record.cold_until.max(now + *remaining);
                record.mark(server, "list");
            }
        }
        self.servers
            .retain(|_, r| r.is_listed || now < r.listed_at + UNLISTED_RETENTION);
    }

    fn list(&mut self, now: clock::Millis, server: &message::Server) {
        let cold_start = self.services.get(&server.service).copied();
        let is_known = self.servers.contains(&server.id);
        let fresh = || Record::new(now, cold_start);
        let record = self.servers.get_or_insert_with(server.id.clone(), fresh);
        let is_restarted = record.started_at.is_some() && server.started_at > record.started_at;
        if is_known && is_restarted {
            record.restart(now);
            record.mark(&server.id, "restarted");
        }
        record.cold_start = cold_start;
        record.service = Some(server.service.clone());
        record.started_at = server.started_at.or(record.started_at);
        record.data_centre = Some(server.data_centre.clone());
        record.listed_at = now;
        record.is_listed = true;
    }

    /// Applies which data centres are in use again after an evacuation, and since when.
    pub fn set_data_centres_back(
        &mut self,
        now: clock::Millis,
        data_centres_back: &[(id::DataCentre, clock::Millis)],
    ) {
        for (data_centre, ago) in data_centres_back {
            let back_at = now - *ago;
            for (server, record) in self.servers.iter_mut() {
                let is_there = record.data_centre.as_ref() == Some(data_centre);
                let Some(cold_start) = record.cold_start.filter(|_| is_there) else {
                    continue;
                };
                if now < back_at + cold_start.time && record.lost_at < Some(back_at) {
                    record.restart(back_at);
                    record.cold_until = record.cold_until.max(back_at + cold_start.time);
                    record.mark(server, "data centre back");
                }
            }
        }
    }

    /// Applies a router's evidence. The report was sent at `sent_at` or later, `None` if that is not
    /// known; then only losses count, since the proofs may be older than they say.
    pub fn record(
        &mut self,
        now: clock::Millis,
        sent_at: Option<clock::Millis>,
        evidence: &Evidence,
    ) {
        for loss in &evidence.losses {
            if let Some(record) = self.servers.get_mut(&loss.server) {
                record.lose(now - loss.age, &loss.server);
            }
        }
        let Some(sent_at) = sent_at else { return };
        let strictest = self.strictest;
        for proof in &evidence.proofs {
            let fresh = || Record::new(now, strictest);
            let record = self.servers.get_or_insert_with(proof.server.clone(), fresh);
            record.prove(now, sent_at - proof.age, proof);
        }
    }

    /// Sets the interval between two reports of one router.
    pub fn set_report_interval(&mut self, interval: clock::Millis) {
        self.report_interval = interval;
    }

    /// Returns the age up to which a proof counts at the leader, so that it is still fresh at a router
    /// until its next summary.
    fn max_proof_age(&self) -> clock::Millis {
        let age = MAX_EVIDENCE_AGE - self.report_interval - SUMMARY_MARGIN;
        age.clamp(MIN_PROOF_AGE, MAX_PROOF_AGE)
    }

    /// Returns the rate of permits for a server that is not known to be warm; `None` for one that is,
    /// and for one of a service without a cold start.
    pub fn limit(
        &self,
        now: clock::Millis,
        server: &id::BackendServerId,
    ) -> Option<unit::CallRate> {
        let cold_start = match self.servers.get(server) {
            Some(record) if record.is_proven(now, self.max_proof_age()) => None,
            Some(record) => record.cold_start,
            None => self.strictest,
        };
        Some(self.settings.permit_rate(cold_start?.rate))
    }

    /// Returns the servers that are or may be cold, with the rate of permits for each. Routers need
    /// permits for these whatever they know themselves.
    pub fn cold(&self) -> impl Iterator<Item = (&id::BackendServerId, unit::CallRate)> {
        let servers = self.servers.iter();
        servers.filter_map(|(server, record)| {
            let cold_start = record.cold_start.filter(|_| record.state == State::Cold)?;
            Some((server, self.settings.permit_rate(cold_start.rate)))
        })
    }

    /// Returns the word for routers that have the list `list`; `None` when no service has a cold start.
    pub fn word(&self, now: clock::Millis, list: Option<&listing::List>) -> Option<Word> {
        if !self.is_active() {
            return None;
        }
        let proof_age = self.max_proof_age();
        let standing = |server: &message::Server| {
            let record = self.servers.get(&server.id);
            record.map_or(Standing::Unknown, |r| r.standing(now, proof_age))
        };
        let servers = list.map(listing::List::servers).unwrap_or_default();
        Some(Word {
            list: list.map(listing::List::digest),
            proof_age,
            standings: servers.iter().map(standing).collect(),
        })
    }
}

impl Record {
    fn new(now: clock::Millis, cold_start: Option<document::ColdStart>) -> Self {
        Self {
            service: None,
            data_centre: None,
            started_at: None,
            cold_start,
            state: State::Unknown,
            alive_at: None,
            alive_since: now,
            lost_at: None,
            cold_until: clock::Millis::ZERO,
            listed_at: now,
            is_listed: false,
        }
    }

    /// Forgets the proofs up to a time.
    fn restart(&mut self, at: clock::Millis) {
        self.lost_at = self.lost_at.max(Some(at));
        self.alive_at = None;
    }

    /// Marks the server as cold.
    fn mark(&mut self, server: &id::BackendServerId, cause: &'static str) {
        if self.state == State::Cold || self.cold_start.is_none() {
            return;
        }
        self.state = State::Cold;
        metrics::counter!("buckthorncleat_servers_cold_total", "cause" => cause).increment(1);
        log::info!(event = "server_cold", server = server.as_str(), cause = cause; "a server is or may be cold; it gets calls with permits only");
    }

    fn lose(&mut self, at: clock::Millis, server: &id::BackendServerId) {
        // Reports repeat a loss. One from before the present proofs began is known already, unless it
        // is the first that this leader hears of.
        let is_known = self.lost_at >= Some(at) || self.alive_at.is_some() && self.alive_since > at;
        if self.lost_at.is_some() && is_known {
            return;
        }
        self.restart(at);
        self.mark(server, "lost");
    }

    fn prove(&mut self, now: clock::Millis, at: clock::Millis, proof: &Proof) {
        if self.lost_at >= Some(at) {
            return;
        }
        let is_continuous = self.alive_at.is_some_and(|last| at < last + MIN_DOWN_TIME);
        if !is_continuous {
            self.alive_since = now;
            if self.state == State::Warm {
                self.state = State::Unknown;
            }
        }
        self.alive_at = self.alive_at.max(Some(at));
        let Some(cold_start) = self.cold_start.filter(|_| now >= self.cold_until) else {
            return;
        };
        let is_past_cold_start = at >= self.alive_since + cold_start.time;
        // Routers that have not heard of a loss yet do not outweigh it.
        let is_known_warm = proof.is_warm && self.state == State::Unknown;
        if self.state != State::Warm && (is_known_warm || is_past_cold_start) {
            if self.state == State::Cold {
                let server = proof.server.as_str();
                log::info!(event = "server_warm", server = server; "a server is warm; it gets calls without permits");
            }
            self.state = State::Warm;
        }
    }

    fn is_proven(&self, now: clock::Millis, max_age: clock::Millis) -> bool {
        self.state == State::Warm && self.alive_at.is_some_and(|at| now <= at + max_age)
    }

    fn standing(&self, now: clock::Millis, max_age: clock::Millis) -> Standing {
        let is_answering = self.alive_at.is_some_and(|at| now < at + MIN_DOWN_TIME);
        match (self.state, is_answering) {
            (State::Cold, false) => Standing::Cold,
            (State::Cold, true) => Standing::ColdAnswering,
            _ if self.is_proven(now, max_age) => Standing::Warm,
            (_, true) => Standing::Answering,
            (_, false) => Standing::Unknown,
        }
    }
}
