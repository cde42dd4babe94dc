//! The deployment's document: routes, services, limits and client accounts under one version.
//!
//! Operators replace it as a whole. The replicated log keeps it as it was sent, compressed; each
//! process decodes it at its edge.

use std::io::Read as _;
use std::io::Write as _;

use flate2::read;
use flate2::write;

use crate::clock;
use crate::error;
use crate::id;
use crate::macros;
use crate::state::model;
use crate::unit;

macros::number! {
    /// The version of a document; a higher one replaces a lower one.
    DocumentVersion
}

macros::name! {
    /// The name of a service: servers that run the same software.
    ServiceId
}

/// The largest document before compression, in bytes: what an operator may send.
const MAX_PLAIN_BYTES: u64 = 16 << 20;

macros::data! {
    /// A document as the log keeps it.
    pub struct Packed {
        /// Its version.
        pub version: DocumentVersion,
        /// What the operator sent, compressed.
        pub content: Vec<u8>,
    }
}

impl Packed {
    /// Compresses what an operator sent.
    ///
    /// # Errors
    ///
    /// Fails when there is no memory for it.
    pub fn from_plain(version: DocumentVersion, plain: &[u8]) -> error::Result<Self> {
        let mut encoder = write::DeflateEncoder::new(Vec::new(), flate2::Compression::fast());
        let packed = encoder.write_all(plain).and_then(|()| encoder.finish());
        let content = packed.map_err(|e| error::Error::io("compressing a document", e))?;
        Ok(Self { version, content })
    }

    /// Returns what the operator sent.
    ///
    /// # Errors
    ///
    /// Fails when the content was not made by [`Self::from_plain`].
    pub fn to_plain(&self) -> error::Result<Vec<u8>> {
        let mut plain = Vec::new();
        read::DeflateDecoder::new(self.content.as_slice())
            .take(MAX_PLAIN_BYTES)
            .read_to_end(&mut plain)
            .map_err(|e| error::Error::io("decompressing a document", e))?;
        Ok(plain)
    }
}

macros::data! {
    /// The document in force.
    pub struct Document {
        /// Its version.
        pub version: DocumentVersion,
        /// The routes.
        pub routes: Vec<Route>,
        /// The services.
        pub services: Vec<Service>,
        /// What callers may send.
        pub limits: CallerLimits,
        /// The client accounts; without any, no request needs a key.
        pub accounts: Vec<Account>,
    }
}

macros::data! {copy
    /// What may be repeated of a request.
    pub enum Repeats {
        /// It may run more than once.
        Freely,
        /// It may run at most once.
        Never,
        /// It is answered by events; another run may go on after the last event that was delivered.
        ByResuming,
        /// It is answered by events and may run at most once.
        NeverStreamed,
    }
}

impl Repeats {
    /// Tells whether the answer is a series of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::ByResuming | Self::NeverStreamed)
    }

    /// Tells whether a request that may have run may be sent again.
    pub const fn is_allowed(self) -> bool {
        matches!(self, Self::Freely | Self::ByResuming)
    }
}

macros::data! {
    /// Which requests go where, and how.
    pub struct Route {
        /// The name, for logs.
        pub name: String,
        /// The host of the requests, in lower case.
        pub host: String,
        /// What the paths of the requests begin with.
        pub prefix: String,
        /// What may be repeated.
        pub repeats: Repeats,
        /// The longest time that a request may take.
        pub time_limit: clock::Millis,
        /// The time to the answer, or to its first event, that callers expect.
        pub target: clock::Millis,
        /// The longest pause between events that callers expect.
        pub longest_pause: clock::Millis,
        /// The rank; 0 goes first.
        pub rank: u8,
        /// Where the requests go.
        pub split: Vec<Share>,
        /// The most servers that one request is sent to.
        pub attempts: u32,
        /// Whether the requests need no key.
        pub open: bool,
    }
}

macros::data! {
    /// A service's share of a route.
    pub struct Share {
        /// The service.
        pub service: ServiceId,
        /// Its weight among the shares of the route.
        pub weight: u32,
    }
}

macros::data! {
    /// A service.
    pub struct Service {
        /// The name.
        pub id: ServiceId,
        /// The connections that one of its servers takes from all callers together.
        pub connections: u32,
        /// What its servers can do, if they run a model.
        pub engine: Option<Engine>,
    }
}

macros::data! {
    /// What a model server can do.
    pub struct Engine {
        /// The requests that run at once.
        pub slots: u32,
        /// The tokens that the memory holds.
        pub memory: unit::Tokens,
        /// How long an exported KV cache is kept.
        pub export_life: clock::Millis,
        /// How long room may be reserved ahead of a request; zero where it can't be.
        pub longest_hold: clock::Millis,
    }
}

macros::data! {
    /// What callers may send.
    pub struct CallerLimits {
        /// The largest head, in bytes.
        pub head_bytes: usize,
        /// The largest body, in bytes.
        pub body_bytes: usize,
        /// The longest time for a head.
        pub head_time: clock::Millis,
        /// The longest time that a connection may be idle.
        pub idle_time: clock::Millis,
    }
}

macros::data! {
    /// A client account.
    pub struct Account {
        /// The name, which servers are told.
        pub id: id::ClientAccountId,
        /// The digests of its keys.
        pub keys: Vec<model::KeyHash>,
        /// The rank of its requests, before that of the route; 0 goes first.
        pub rank: u8,
        /// What it may use, if that is limited.
        pub quota: Option<Quota>,
    }
}

macros::data! {copy
    /// What an account may use, over all gateways together.
    pub struct Quota {
        /// What requests count.
        pub unit: QuotaUnit,
        /// Units a second.
        pub rate: u64,
        /// Units at once after a pause.
        pub burst: u64,
    }
}

macros::data! {copy
    /// What requests count against a quota.
    pub enum QuotaUnit {
        /// Each request counts one.
        Requests,
        /// A generation counts its prompt and most output; another request a fixed number.
        Tokens {
            /// The count of a request that is no generation.
            plain: u64,
        },
    }
}

impl Document {
    /// Checks what a decoder can't: references, places used twice, weights, time limits, keys.
    ///
    /// # Errors
    ///
    /// Names the first field at fault and the remedy.
    pub fn check(&self) -> error::Result<()> {
        let mut services: Vec<&ServiceId> = self.services.iter().map(|s| &s.id).collect();
        services.sort();
        for route in &self.routes {
            route.check(&services)?;
        }
        let mut places: Vec<_> = self.routes.iter().map(|r| (&r.host, &r.prefix)).collect();
        places.sort();
        if let Some(pair) = places.windows(2).find(|pair| pair[0] == pair[1]) {
            let place = format!("{}{}", pair[0].0, pair[0].1);
            let remedy = "give each pair of host and path prefix to one route";
            return Err(error::Error::bad_value("routes", place, remedy));
        }
        self.check_keys()
    }

    fn check_keys(&self) -> error::Result<()> {
        let of = |account: usize| {
            let keys = self.accounts[account].keys.iter();
            keys.map(move |key| (key, account))
        };
        let mut keys: Vec<_> = (0..self.accounts.len()).flat_map(of).collect();
        keys.sort();
        let shared =
            |pair: &&[(&model::KeyHash, usize)]| pair[0].0 == pair[1].0 && pair[0].1 != pair[1].1;
        if let Some(pair) = keys.windows(2).find(shared) {
            let account = &self.accounts[pair[1].1].id;
            let remedy = "give each key to one account";
            return Err(error::Error::bad_value("accounts", account, remedy));
        }
        Ok(())
    }
}

impl Route {
    fn check(&self, services: &[&ServiceId]) -> error::Result<()> {
        let fault = |value: &str, remedy: &str| {
            let field = format!("route `{}`", self.name);
            Err(error::Error::bad_value(field, value, remedy))
        };
        if self.time_limit == clock::Millis::ZERO {
            return fault("0", "give a time limit of at least 1 ms");
        }
        if self.split.iter().map(|s| u64::from(s.weight)).sum::<u64>() == 0 {
            return fault("0", "give at least one service a weight over 0");
        }
        for share in &self.split {
            if services.binary_search(&&share.service).is_err() {
                return fault(share.service.as_str(), "name a service of the document");
            }
        }
        Ok(())
    }
}
