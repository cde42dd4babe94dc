//! The deployment's document: routes, services, limits and client accounts under one version.
//!
//! Operators replace it as a whole. The replicated log stores it as it was sent, compressed; each
//! process decodes it with the codec of its platform.

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
    /// The version of a document; a higher version replaces a lower one.
    DocumentVersion
}

macros::name! {
    /// The name of a service, a set of servers that run the same software.
    ServiceId
}

/// Largest document before compression: the most that an operator may send.
const MAX_PLAIN_BYTES: u64 = 16 << 20;

macros::data! {
    /// A document as the replicated log stores it.
    pub struct Packed {
        pub version: DocumentVersion,
        /// The document as the operator sent it, compressed.
        pub content: Vec<u8>,
    }
}

impl Packed {
    /// Compresses a document as an operator sent it.
    ///
    /// # Errors
    ///
    /// Fails when there is not enough memory.
    pub fn from_plain(version: DocumentVersion, plain: &[u8]) -> error::Result<Self> {
        let mut encoder = write::DeflateEncoder::new(Vec::new(), flate2::Compression::fast());
        let packed = encoder.write_all(plain).and_then(|()| encoder.finish());
        let content = packed.map_err(|e| error::Error::io("compressing a document", e))?;
        Ok(Self { version, content })
    }

    /// Decompresses the document to what the operator sent.
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
    /// A decoded document.
    pub struct Document {
        pub version: DocumentVersion,
        pub routes: Vec<Route>,
        pub services: Vec<Service>,
        pub limits: CallerLimits,
        /// If there are none, no request needs a key.
        pub accounts: Vec<Account>,
    }
}

macros::data! {copy
    /// Whether a request may be sent again after a failure, and whether its answer is a stream.
    pub enum RetryPolicy {
        /// The request may run more than once.
        Always,
        /// The request may run at most once.
        Never,
        /// The answer is a stream of events; another server may resume it after the last event that
        /// was delivered.
        StreamByResuming,
        /// The answer is a stream of events and the request may run at most once.
        StreamNever,
    }
}

impl RetryPolicy {
    /// Returns whether the answer is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::StreamByResuming | Self::StreamNever)
    }

    /// Returns whether a request that may have run may be sent again.
    pub const fn allows_retry(self) -> bool {
        matches!(self, Self::Always | Self::StreamByResuming)
    }
}

macros::data! {
    /// Selects requests by host and path, and says which services they go to and how.
    pub struct Route {
        /// The name, as logs show it.
        pub name: String,
        /// In lower case.
        pub host: String,
        pub prefix: String,
        pub retry_policy: RetryPolicy,
        /// The most time that a request may take; at least 1 ms.
        pub time_limit: clock::Millis,
        /// Target for the time to the answer, or to its first event.
        pub target_latency: clock::Millis,
        /// Target for the longest time between two events.
        pub target_gap: clock::Millis,
        /// The priority of its requests; 0 goes first.
        pub priority: u8,
        /// The services that share the requests.
        pub split: Vec<Share>,
        /// The most attempts of one request.
        pub max_attempts: u32,
        /// Whether requests need no key.
        pub open: bool,
    }
}

macros::data! {
    /// The share of a route's requests that a service gets.
    pub struct Share {
        pub service: ServiceId,
        /// The weight among the shares of the route; 0 gets no requests.
        pub weight: u32,
    }
}

macros::data! {
    /// A service and the capacity of its servers.
    pub struct Service {
        pub id: ServiceId,
        /// The connections that one of its servers accepts, over all clients together.
        pub connections: u32,
        /// `None` for a service that runs no model.
        pub engine: Option<Engine>,
        /// `None` for a service whose servers are never cold.
        pub cold_start: Option<ColdStart>,
    }
}

macros::data! {copy
    /// The time after its start in which a server takes few calls, and how many.
    pub struct ColdStart {
        pub time: clock::Millis,
        /// The calls a second from all routers together; above 0.
        pub rate: unit::CallRate,
    }
}

macros::data! {
    /// The capacity of a model server.
    pub struct Engine {
        /// The most requests that run at once.
        pub slots: u32,
        /// The tokens that fit into its KV cache.
        pub memory: unit::Tokens,
        /// How long it keeps an exported KV cache.
        pub export_ttl: clock::Millis,
        /// How long capacity may be reserved ahead of a request; zero if it can't be.
        pub max_reservation_ttl: clock::Millis,
    }
}

macros::data! {
    /// Limits on what callers may send.
    pub struct CallerLimits {
        /// The largest head of a request.
        pub max_head_bytes: usize,
        /// The largest body of a request.
        pub max_body_bytes: usize,
        /// The most time to receive a head.
        pub head_timeout: clock::Millis,
        /// The most time that a connection may be idle.
        pub idle_timeout: clock::Millis,
    }
}

macros::data! {
    pub struct Account {
        /// The name, which is sent to servers.
        pub id: id::ClientAccountId,
        /// The digests of its keys.
        pub keys: Vec<model::KeyHash>,
        /// The priority of its requests; 0 goes first. Compared before the route's.
        pub priority: u8,
        /// `None` if the account is not limited.
        pub quota: Option<Quota>,
    }
}

macros::data! {copy
    /// The limit of an account, over all gateways together.
    pub struct Quota {
        pub unit: QuotaUnit,
        /// Units per second.
        pub rate: u64,
        /// The most units at once after the account has been idle.
        pub burst: u64,
    }
}

macros::data! {copy
    /// What requests count against a quota.
    pub enum QuotaUnit {
        /// Each request counts as one unit.
        Requests,
        /// A generation counts as the tokens of its prompt plus its maximum output; any other
        /// request as a fixed number.
        Tokens {
            /// The units of a request that is not a generation.
            plain: u64,
        },
    }
}

impl Document {
    /// Checks references between routes and services, duplicate locations, weights, time limits
    /// and keys.
    ///
    /// # Errors
    ///
    /// Returns the first fault: the field, its value and the remedy.
    pub fn check(&self) -> error::Result<()> {
        let mut services: Vec<&ServiceId> = self.services.iter().map(|s| &s.id).collect();
        services.sort();
        for route in &self.routes {
            route.check(&services)?;
        }
        let mut locations: Vec<_> = self.routes.iter().map(|r| (&r.host, &r.prefix)).collect();
        locations.sort();
        if let Some(pair) = locations.windows(2).find(|pair| pair[0] == pair[1]) {
            let location = format!("{}{}", pair[0].0, pair[0].1);
            let remedy = "give each pair of host and path prefix to one route";
            return Err(error::Error::bad_value("routes", location, remedy));
        }
        self.check_keys()
    }

    fn check_keys(&self) -> error::Result<()> {
        let keys_of = |account: usize| {
            let keys = self.accounts[account].keys.iter();
            keys.map(move |key| (key, account))
        };
        let mut keys: Vec<_> = (0..self.accounts.len()).flat_map(keys_of).collect();
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
            return fault("0", "give at least one service a weight above 0");
        }
        for share in &self.split {
            if services.binary_search(&&share.service).is_err() {
                return fault(share.service.as_str(), "name a service of the document");
            }
        }
        Ok(())
    }
}
