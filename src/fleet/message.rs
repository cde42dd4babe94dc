//! Messages between gateways and the leader: reports and summaries.

use std::net;

use crate::clock;
use crate::document;
use crate::error;
use crate::fleet::budget;
use crate::fleet::call_limit;
use crate::fleet::cold;
use crate::fleet::crashes;
use crate::fleet::evacuation;
use crate::fleet::listing;
use crate::fleet::permit;
use crate::fleet::share;
use crate::fleet::totals;
use crate::id;
use crate::macros;
use crate::peer::trailer;
use crate::sorted;
use crate::state::model;
use crate::unit;

macros::data! {
    /// A gateway's state and usage, sent to the leader.
    pub struct Report {
        pub incarnation: id::Incarnation,
        /// Where callers connect.
        pub address: net::SocketAddr,
        pub data_centre: id::DataCentre,
        /// Whether callers should be sent to this gateway.
        pub accepts_callers: bool,
        /// The version of the document in force.
        pub document: Option<document::DocumentVersion>,
        /// The list of servers that the gateway uses; `None` when it has none.
        pub list: Option<listing::ListDigest>,
        /// The last change of the fleet's state that the gateway has applied, and the term of the
        /// leader that sent it; `None` before the first summary.
        pub known: Option<(id::Term, totals::Sequence)>,
        /// The number of gateways among which quotas are shared, from the last summary.
        pub gateways: u32,
        /// The quota units that each account spent at this gateway since the process started.
        pub spent: sorted::Map<id::ClientAccountId, i64>,
        /// The quota units that each account spent at this gateway in the quota window, with their
        /// ages.
        pub spent_in_window: sorted::Map<id::ClientAccountId, Vec<(clock::Millis, i64)>>,
        /// The time since the process started.
        pub uptime: clock::Millis,
        /// The requests since the process started, by service.
        pub requests: sorted::Map<document::ServiceId, u64>,
        /// The gateway's requests and retries in the budget window, by service.
        pub attempts: sorted::Map<document::ServiceId, Attempts>,
        /// Shares of the retry budget that were used or never will be.
        pub settled: Vec<budget::Settled>,
        /// The gateway's load on each server.
        pub loads: sorted::Map<id::BackendServerId, Load>,
        /// Servers that were lost under runs that had just begun, as far as the leader was not told.
        pub losses: Vec<crashes::Loss>,
        /// The time since the last run that went on began, for fingerprints with a standing.
        pub sound: Vec<(model::Fingerprint, clock::Millis)>,
        /// Servers that the gateway recently failed to reach.
        pub unreachable: Vec<id::BackendServerId>,
        /// How the gateway's calls to each server ended lately.
        pub endings: sorted::Map<id::BackendServerId, Endings>,
        /// Servers that told this gateway that they are leaving.
        pub leaving: Vec<id::BackendServerId>,
        /// What the answers of servers said of their limits of calls lately.
        pub limits: Vec<(id::BackendServerId, call_limit::News)>,
        /// The leader's time when the report was sent; `None` before the first summary.
        pub sent_at: Option<permit::LeaderTime>,
        /// What is not part of the first release; it travels in the trailer.
        #[serde(skip)]
        pub extension: ReportExtension,
    }
}

macros::data! {
    /// What reports have beyond those of the first release.
    pub struct ReportExtension {
        /// The protocol version of the gateway.
        pub version: trailer::ProtocolVersion,
        /// The revision of the evacuations that is in force at the gateway; `None` before the first
        /// notice of them.
        pub evacuations: Option<evacuation::Revision>,
        /// The gateway's use of quotas; `None` from one that knows no shares.
        pub quotas: Option<share::Claims>,
        /// What its calls say of servers that may be cold; nothing from a gateway of version 1.
        pub cold: cold::Evidence,
        /// The services of which it reaches no server, with their servers, sorted.
        pub lost: sorted::Map<document::ServiceId, Vec<id::BackendServerId>>,
        /// The digests of servers that were lost under a run and then refused connections, as far as the
        /// leader was not told.
        pub ended: Vec<u64>,
    }
}

impl Default for ReportExtension {
    /// Makes what a build of the first release adds, which is nothing.
    fn default() -> Self {
        Self {
            version: trailer::FIRST,
            evacuations: None,
            quotas: None,
            cold: cold::Evidence::default(),
            lost: sorted::Map::new(),
            ended: Vec::new(),
        }
    }
}

impl ReportExtension {
    /// Makes what this build adds to a report.
    pub fn new() -> Self {
        Self {
            version: trailer::CURRENT,
            ..Self::default()
        }
    }

    /// Encodes the sections.
    ///
    /// # Errors
    ///
    /// Fails when a section can't be encoded, which is a bug.
    pub fn to_trailer(&self) -> error::Result<trailer::Trailer> {
        let mut trailer = trailer::Trailer::new();
        if let Some(revision) = &self.evacuations {
            trailer.add(trailer::section::EVACUATIONS, revision)?;
        }
        if let Some(quotas) = &self.quotas {
            trailer.add(trailer::section::QUOTAS, quotas)?;
        }
        if self.cold != cold::Evidence::default() {
            trailer.add(trailer::section::COLD_SERVERS, &self.cold)?;
        }
        if !self.lost.is_empty() {
            trailer.add(trailer::section::PATHS, &self.lost)?;
        }
        if !self.ended.is_empty() {
            trailer.add(trailer::section::ENDED, &self.ended)?;
        }
        Ok(trailer)
    }

    /// Decodes the sections.
    ///
    /// # Errors
    ///
    /// Fails when a section can't be decoded.
    pub fn from_trailer(trailer: &trailer::Trailer) -> error::Result<Self> {
        Ok(Self {
            version: trailer.version,
            evacuations: trailer.get(trailer::section::EVACUATIONS)?,
            quotas: trailer.get(trailer::section::QUOTAS)?,
            cold: trailer
                .get(trailer::section::COLD_SERVERS)?
                .unwrap_or_default(),
            lost: trailer.get(trailer::section::PATHS)?.unwrap_or_default(),
            ended: trailer.get(trailer::section::ENDED)?.unwrap_or_default(),
        })
    }
}

impl Report {
    /// Makes the report of a gateway that accepts callers and knows and does nothing.
    pub fn idle(
        incarnation: id::Incarnation,
        address: net::SocketAddr,
        data_centre: id::DataCentre,
    ) -> Self {
        Self {
            incarnation,
            address,
            data_centre,
            accepts_callers: true,
            document: None,
            list: None,
            known: None,
            gateways: 1,
            spent: sorted::Map::new(),
            spent_in_window: sorted::Map::new(),
            uptime: clock::Millis::ZERO,
            requests: sorted::Map::new(),
            attempts: sorted::Map::new(),
            settled: Vec::new(),
            loads: sorted::Map::new(),
            losses: Vec::new(),
            sound: Vec::new(),
            unreachable: Vec::new(),
            endings: sorted::Map::new(),
            leaving: Vec::new(),
            limits: Vec::new(),
            sent_at: None,
            extension: ReportExtension::new(),
        }
    }
}

macros::data! {copy
    /// The requests for a service and their retries.
    #[derive(Default)]
    pub struct Attempts {
        pub requests: u64,
        /// The retries that were sent and those that may still be, in either case with a leader's
        /// share.
        pub retries: u64,
    }
}

macros::data! {copy
    /// How calls to a server ended.
    #[derive(Default)]
    pub struct Endings {
        pub calls: u32,
        /// The calls whose connection broke, or that got no answer in time.
        pub lost: u32,
    }
}

macros::data! {copy
    /// The work that a server was given.
    #[derive(Default)]
    pub struct Load {
        /// The requests that were sent and have not ended.
        pub requests: u32,
        /// The memory that these requests are expected to need, in tokens.
        pub memory: unit::Tokens,
        /// The prompt tokens that wait for prefill.
        pub prompts: unit::Tokens,
    }
}

macros::data! {
    /// The leader's reply to a report.
    pub struct Summary {
        pub term: id::Term,
        /// The leader's time when it answered.
        pub time: clock::Millis,
        /// The configuration document, if it is newer than the one in the report.
        pub document: Option<document::Packed>,
        /// Makes the newest list of servers of the one in the report, if they differ.
        pub list: Option<listing::Update>,
        pub sums: Sums,
        /// The services of which several software versions may have begun streams, sorted.
        pub mixed: Vec<document::ServiceId>,
        /// The addresses of the members of the control group.
        pub members: Vec<net::SocketAddr>,
        /// What is not part of the first release; it travels in the trailer.
        #[serde(skip)]
        pub extension: SummaryExtension,
    }
}

macros::data! {
    /// What summaries have beyond those of the first release.
    pub struct SummaryExtension {
        /// The protocol version of the leader.
        pub version: trailer::ProtocolVersion,
        /// The evacuations; `None` from a leader of the first release, which knows none.
        pub evacuated: Option<evacuation::Notice>,
        /// The time since the leader began to read the newest list of servers; `None` before it has
        /// one, and from a leader of the first release.
        pub list_age: Option<clock::Millis>,
        /// What the gateway may charge; `None` from a leader that issues no shares.
        pub quotas: Option<share::Shares>,
        /// What the leader knows of servers that may be cold; `None` when no service has a cold start,
        /// and from a leader of version 1.
        pub cold: Option<cold::Word>,
        /// The time until verdicts on what crashes servers end, of the next ones. What an operator
        /// quarantined is not named.
        pub verdict_ends: Vec<(model::Fingerprint, clock::Millis)>,
    }
}

impl Default for SummaryExtension {
    /// Makes what a build of the first release adds, which is nothing.
    fn default() -> Self {
        Self {
            version: trailer::FIRST,
            evacuated: None,
            list_age: None,
            quotas: None,
            cold: None,
            verdict_ends: Vec::new(),
        }
    }
}

impl SummaryExtension {
    /// Makes what this build adds to a summary.
    pub fn new() -> Self {
        Self {
            version: trailer::CURRENT,
            ..Self::default()
        }
    }

    /// Encodes the sections.
    ///
    /// # Errors
    ///
    /// Fails when a section can't be encoded, which is a bug.
    pub fn to_trailer(&self) -> error::Result<trailer::Trailer> {
        let mut trailer = trailer::Trailer::new();
        if let Some(notice) = &self.evacuated {
            trailer.add(trailer::section::EVACUATIONS, notice)?;
        }
        if let Some(list_age) = &self.list_age {
            trailer.add(trailer::section::ORIGINS, list_age)?;
        }
        if let Some(quotas) = &self.quotas {
            trailer.add(trailer::section::QUOTAS, quotas)?;
        }
        if let Some(cold) = &self.cold {
            trailer.add(trailer::section::COLD_SERVERS, cold)?;
        }
        if !self.verdict_ends.is_empty() {
            trailer.add(trailer::section::VERDICTS, &self.verdict_ends)?;
        }
        Ok(trailer)
    }

    /// Decodes the sections.
    ///
    /// # Errors
    ///
    /// Fails when a section can't be decoded.
    pub fn from_trailer(trailer: &trailer::Trailer) -> error::Result<Self> {
        Ok(Self {
            version: trailer.version,
            evacuated: trailer.get(trailer::section::EVACUATIONS)?,
            list_age: trailer.get(trailer::section::ORIGINS)?,
            quotas: trailer.get(trailer::section::QUOTAS)?,
            cold: trailer.get(trailer::section::COLD_SERVERS)?,
            verdict_ends: trailer.get(trailer::section::VERDICTS)?.unwrap_or_default(),
        })
    }
}

macros::data! {
    /// The sums over the reports, as sent to one gateway.
    pub struct Sums {
        /// The time until the next report.
        pub report_interval: clock::Millis,
        /// The gateways that callers may be sent to and the loads of all gateways, this one
        /// included, as changes against the state named in the report.
        pub changes: totals::Changes,
        /// The number of gateways among which quotas are shared, this one included.
        pub gateways: u32,
        /// The remaining units of each account's quota, over the whole fleet.
        pub remaining: sorted::Map<id::ClientAccountId, i64>,
        /// The requests and retries of all other gateways in the budget window, by service.
        pub attempts: sorted::Map<document::ServiceId, Attempts>,
        /// Whether this gateway does not reach the servers that others reach, so that callers are sent
        /// to the others.
        pub is_cut_off: bool,
        /// Servers that several other gateways can't reach, or that lose the calls of several,
        /// sorted.
        pub unreachable: Vec<id::BackendServerId>,
        /// Servers that told another gateway that they are leaving, sorted.
        pub leaving: Vec<id::BackendServerId>,
    }
}

macros::data! {
    /// A backend server as the platform lists it.
    pub struct Server {
        /// The name of the server's current incarnation.
        pub id: id::BackendServerId,
        /// The service that it belongs to.
        pub service: document::ServiceId,
        /// Where it listens.
        pub address: net::SocketAddr,
        pub data_centre: id::DataCentre,
        /// The maximum number of requests that it runs at once.
        pub slots: u32,
        pub state: ServerState,
        /// The software version that it runs; `None` when the list does not say.
        pub version: Option<id::SoftwareVersion>,
        /// The stage that a model server is limited to.
        pub stage: Option<Stage>,
        /// When this incarnation started; `None` when the list does not say.
        pub started_at: Option<StartTime>,
    }
}

macros::number! {
    /// The time of day at which a server started, by its own clock, in milliseconds since 1970.
    StartTime
}

macros::data! {copy
    /// Whether a server takes new work.
    pub enum ServerState {
        /// It takes new work.
        Ready,
        /// It completes its running work and takes no new work.
        Leaving,
    }
}

macros::data! {copy
    /// The stage of generation that a model server performs.
    pub enum Stage {
        /// It computes the KV cache of prompts.
        Prefill,
        /// It generates tokens.
        Decode,
    }
}

macros::data! {
    /// A gateway that callers may connect to.
    pub struct Entry {
        /// Where callers connect.
        pub address: net::SocketAddr,
        pub data_centre: id::DataCentre,
    }
}
