//! The records of the replicated configuration.

use std::fmt;
use std::net;
use std::str;

use sha2::Digest as _;

use crate::clock;
use crate::error;
use crate::id;
use crate::macros;
use crate::unit;

macros::data! {
    /// A client account: who pays, how fast it may go, how it ranks.
    pub struct ClientAccount {
        /// The name of the account.
        pub id: id::ClientAccountId,
        /// The tokens a second that the account may use over the whole fleet.
        pub rate: unit::TokensPerSecond,
        /// The tokens that the account may use at once after a pause.
        pub burst: unit::Tokens,
        /// The priority of its requests.
        pub priority: Priority,
        /// Its weight among accounts of the same priority; at least 1.
        pub weight: u32,
    }
}

macros::data! {copy
    /// The priority of a request; higher goes first.
    #[derive(Default)]
    #[serde(rename_all = "kebab-case")]
    pub enum Priority {
        /// Work that can wait.
        Low,
        /// The usual priority.
        #[default]
        Normal,
        /// Work that goes before all other.
        High,
    }
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Low => "low",
            Self::Normal => "normal",
            Self::High => "high",
        })
    }
}

impl str::FromStr for Priority {
    type Err = error::Error;

    fn from_str(s: &str) -> error::Result<Self> {
        match s {
            "low" => Ok(Self::Low),
            "normal" => Ok(Self::Normal),
            "high" => Ok(Self::High),
            _ => Err(error::Error::bad_value(
                "priority",
                s,
                "use `low`, `normal` or `high`",
            )),
        }
    }
}

macros::data! {copy
    /// The SHA-256 digest of a key's secret.
    #[serde(into = "String", try_from = "String")]
    pub struct KeyHash([u8; 32]);
}

impl KeyHash {
    /// Hashes the secret that a caller presents.
    pub fn from_secret(secret: &[u8]) -> Self {
        Self(sha2::Sha256::digest(secret).into())
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl From<KeyHash> for String {
    fn from(hash: KeyHash) -> Self {
        hash.to_string()
    }
}

impl TryFrom<String> for KeyHash {
    type Error = error::Error;

    fn try_from(s: String) -> error::Result<Self> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(&s, &mut bytes)
            .map_err(|_| error::Error::bad_value("key hash", &s, "use 64 hex digits"))?;
        Ok(Self(bytes))
    }
}

macros::data! {
    /// A key of a client account; the secret is shown once and never stored.
    pub struct Key {
        /// The public name of the key.
        pub id: id::KeyId,
        /// The account that the key speaks for.
        pub account: id::ClientAccountId,
        /// The digest that a presented secret is compared with.
        pub hash: KeyHash,
    }
}

macros::data! {
    /// A model that callers may name, and its latency targets.
    pub struct Model {
        /// The name that callers use.
        pub id: id::ModelId,
        /// The longest time to the first token.
        pub first_token: clock::Millis,
        /// The longest mean time between tokens.
        pub between_tokens: clock::Millis,
        /// The most tokens of one answer.
        pub max_output: unit::Tokens,
        /// The bytes of KV cache of one token of the prompt.
        pub kv_bytes_per_token: unit::Bytes,
    }
}

macros::data! {copy
    /// The work that a backend server does.
    #[serde(rename_all = "kebab-case")]
    pub enum Role {
        /// Computes KV cache from prompts.
        Prefill,
        /// Generates tokens from KV cache.
        Decode,
        /// Does plain application work.
        Plain,
    }
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Prefill => "prefill",
            Self::Decode => "decode",
            Self::Plain => "plain",
        })
    }
}

impl str::FromStr for Role {
    type Err = error::Error;

    fn from_str(s: &str) -> error::Result<Self> {
        match s {
            "prefill" => Ok(Self::Prefill),
            "decode" => Ok(Self::Decode),
            "plain" => Ok(Self::Plain),
            _ => Err(error::Error::bad_value(
                "role",
                s,
                "use `prefill`, `decode` or `plain`",
            )),
        }
    }
}

macros::data! {copy
    /// Whether a backend server takes work.
    #[serde(rename_all = "kebab-case")]
    pub enum ServerState {
        /// It takes new work.
        InService,
        /// It ends its running work and takes no new work.
        Leaving,
        /// It has no work and takes none.
        Out,
    }
}

impl fmt::Display for ServerState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::InService => "in-service",
            Self::Leaving => "leaving",
            Self::Out => "out",
        })
    }
}

impl str::FromStr for ServerState {
    type Err = error::Error;

    fn from_str(s: &str) -> error::Result<Self> {
        match s {
            "in-service" => Ok(Self::InService),
            "leaving" => Ok(Self::Leaving),
            "out" => Ok(Self::Out),
            _ => Err(error::Error::bad_value(
                "state",
                s,
                "use `in-service`, `leaving` or `out`",
            )),
        }
    }
}

macros::data! {
    /// A backend server that the system routes to.
    pub struct BackendServer {
        /// The name of the server.
        pub id: id::BackendServerId,
        /// Where it listens.
        pub address: net::SocketAddr,
        /// The data centre that it stands in.
        pub data_centre: id::DataCentre,
        /// The work that it does.
        pub role: Role,
        /// The models that it serves; empty for a plain service.
        pub models: Vec<id::ModelId>,
        /// The routes that it serves; empty for a model engine.
        pub routes: Vec<id::RouteId>,
        /// Whether it takes work.
        pub state: ServerState,
        /// The requests that it runs at once.
        pub slots: u32,
        /// Its memory for KV cache.
        pub memory: unit::Pieces,
        /// The rate of its link for KV transfers.
        pub link: unit::BytesPerSecond,
        /// Whether it refuses orders with an old fencing number.
        pub checks_fencing: bool,
    }
}

macros::data! {
    /// A path prefix that is routed to plain services.
    pub struct Route {
        /// The name of the route.
        pub id: id::RouteId,
        /// The path prefix, such as `/shop/orders`.
        pub prefix: String,
        /// Whether the route needs a key.
        pub access: Access,
        /// The methods that may be repeated after an unclear failure.
        pub idempotent_methods: Vec<String>,
        /// Whether other calls must carry an `Idempotency-Key`.
        pub require_idempotency_key: bool,
        /// The longest time to the answer.
        pub deadline: clock::Millis,
        /// The tokens that one call takes from the account's bucket.
        pub cost: unit::Tokens,
    }
}

macros::data! {copy
    /// Who may use a route.
    #[serde(rename_all = "kebab-case")]
    pub enum Access {
        /// Anyone, without a key.
        Open,
        /// Callers with a key in force.
        Keyed,
    }
}

macros::data! {
    /// An entry instance that holds a live session with the control group.
    pub struct Member {
        /// The name of the instance.
        pub id: id::InstanceId,
        /// The life of the process.
        pub incarnation: id::Incarnation,
        /// The data centre that it stands in.
        pub data_centre: id::DataCentre,
        /// Where callers connect.
        pub caller_address: net::SocketAddr,
        /// Where other processes of the system connect.
        pub peer_address: net::SocketAddr,
        /// Whether it is shutting down and takes no new callers or ownerships.
        pub leaving: bool,
    }
}

macros::data! {copy
    /// The digest of an account and a request body, to recognise a request sent again.
    #[serde(transparent)]
    pub struct Fingerprint(u64);
}

impl Fingerprint {
    /// Digests the account and the body of a request.
    pub fn from_request(account: &id::ClientAccountId, body: &[u8]) -> Self {
        let mut hasher = xxhash_rust::xxh3::Xxh3::new();
        hasher.update(account.as_str().as_bytes());
        hasher.update(&[0]);
        hasher.update(body);
        Self(hasher.digest())
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

macros::data! {
    /// The report that a backend server was lost while it ran a request.
    pub struct Suspicion {
        /// The request.
        pub fingerprint: Fingerprint,
        /// The server that was lost.
        pub server: id::BackendServerId,
        /// The revision that the gateway had in force when the request began there.
        pub began: id::Revision,
    }
}

macros::data! {
    /// A request whose first loss of a backend server is on record.
    pub struct Suspect {
        /// The server that was lost.
        pub server: id::BackendServerId,
        /// The revision that recorded the loss.
        pub recorded: id::Revision,
    }
}

impl Suspect {
    /// Tells whether a report concerns another loss than the one on record.
    ///
    /// Several gateways may report one loss. A report is of another loss when it names another
    /// server, or when the request began after the first loss was known there.
    pub fn is_other_loss(&self, report: &Suspicion) -> bool {
        report.server != self.server || report.began >= self.recorded
    }
}

impl str::FromStr for Fingerprint {
    type Err = error::Error;

    fn from_str(s: &str) -> error::Result<Self> {
        u64::from_str_radix(s, 16)
            .map(Self)
            .map_err(|_| error::Error::bad_value("fingerprint", s, "use up to 16 hex digits"))
    }
}
