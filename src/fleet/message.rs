//! The reports of gateways and the leader's summaries.

use std::net;

use crate::clock;
use crate::document;
use crate::id;
use crate::macros;
use crate::sorted;
use crate::unit;

macros::number! {
    /// The number of a list of servers at one leader; it grows with every change.
    ListNumber
}

macros::data! {copy
    /// The digest of a request's account, path and body, which is the same for each resend.
    pub struct Fingerprint(pub u64);
}

macros::data! {
    /// What a gateway tells the leader.
    pub struct Report {
        /// The life of the gateway.
        pub incarnation: id::Incarnation,
        /// Where callers connect.
        pub address: net::SocketAddr,
        /// Where the gateway stands.
        pub data_centre: id::DataCentre,
        /// Whether callers should be sent there.
        pub accepts: bool,
        /// The version of the document in force.
        pub document: Option<document::DocumentVersion>,
        /// The list of servers that the gateway has, and the term of the leader that gave it.
        pub list: Option<(id::Term, ListNumber)>,
        /// The gateways that count for shares, as the last summary told.
        pub gateways: u32,
        /// Quota units spent by each account since the start of the process.
        pub spent: sorted::Map<id::ClientAccountId, i64>,
        /// Quota units spent by each account in the window of quotas.
        pub recent: sorted::Map<id::ClientAccountId, Vec<(clock::Millis, i64)>>,
        /// The attempts in the budget window, by service.
        pub attempts: sorted::Map<document::ServiceId, Attempts>,
        /// What the gateway keeps each server busy with.
        pub loads: sorted::Map<id::BackendServerId, Load>,
        /// Requests that were running at a server when it was lost.
        pub losses: Vec<Loss>,
        /// Servers that the gateway could not reach a moment ago.
        pub unreachable: Vec<id::BackendServerId>,
    }
}

macros::data! {copy
    /// Requests for a service and the attempts beyond the first of each.
    #[derive(Default)]
    pub struct Attempts {
        /// The requests.
        pub requests: u64,
        /// The attempts beyond the first.
        pub retries: u64,
    }
}

macros::data! {copy
    /// What keeps a server busy.
    #[derive(Default)]
    pub struct Load {
        /// The requests sent and not ended.
        pub requests: u32,
        /// The memory that they will need, in tokens.
        pub memory: unit::Tokens,
        /// The prompt tokens that wait to be read.
        pub prompts: unit::Tokens,
    }
}

macros::data! {copy
    /// A server lost while it ran a request.
    pub struct Loss {
        /// The request.
        pub fingerprint: Fingerprint,
        /// A digest of the server's name.
        pub server: u64,
    }
}

macros::data! {
    /// What the leader tells a gateway.
    pub struct Summary {
        /// The leader's term.
        pub term: id::Term,
        /// A newer document.
        pub document: Option<document::Packed>,
        /// A newer list of servers.
        pub list: Option<List>,
        /// The sums over the reports.
        pub sums: Sums,
        /// Where the members of the control group listen.
        pub members: Vec<net::SocketAddr>,
    }
}

macros::data! {
    /// The sums over the reports, for one gateway.
    pub struct Sums {
        /// When to report again.
        pub report_interval: clock::Millis,
        /// Where callers may connect.
        pub entries: Vec<Entry>,
        /// The gateways that count for shares, this one among them.
        pub gateways: u32,
        /// What is left of each account's quota, in units.
        pub remaining: sorted::Map<id::ClientAccountId, i64>,
        /// The attempts of all other gateways in the budget window.
        pub attempts: sorted::Map<document::ServiceId, Attempts>,
        /// What all other gateways keep each server busy with.
        pub loads: sorted::Map<id::BackendServerId, Load>,
        /// Requests that must not run any more.
        pub quarantined: Vec<Fingerprint>,
        /// Servers that several other gateways can't reach, in order.
        pub unreachable: Vec<id::BackendServerId>,
    }
}

macros::data! {
    /// A list of backend servers.
    pub struct List {
        /// Its number at the leader.
        pub number: ListNumber,
        /// The servers, in no particular order.
        pub servers: Vec<Server>,
    }
}

macros::data! {
    /// A backend server as the platform lists it.
    pub struct Server {
        /// The name of its present life.
        pub id: id::BackendServerId,
        /// The service that it belongs to.
        pub service: document::ServiceId,
        /// Where it listens.
        pub address: net::SocketAddr,
        /// Where it stands.
        pub data_centre: id::DataCentre,
        /// The requests that it runs at once.
        pub slots: u32,
        /// Whether it takes new work.
        pub state: ServerState,
        /// What a model server does.
        pub stage: Option<Stage>,
    }
}

macros::data! {copy
    /// Whether a server takes new work.
    pub enum ServerState {
        /// It does.
        Ready,
        /// It ends what runs and leaves.
        Leaving,
    }
}

macros::data! {copy
    /// What a model server does.
    pub enum Stage {
        /// It reads prompts.
        Prefill,
        /// It generates.
        Decode,
    }
}

macros::data! {
    /// A gateway that callers may connect to.
    pub struct Entry {
        /// Where callers connect.
        pub address: net::SocketAddr,
        /// Where the gateway stands.
        pub data_centre: id::DataCentre,
    }
}
