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
    /// A client account, with its quota and the priority of its requests.
    pub struct ClientAccount {
        pub id: id::ClientAccountId,
        /// Tokens per second that the account may use, over all gateways together.
        pub rate: unit::TokensPerSecond,
        /// Most tokens that the account may use at once after it has been idle.
        pub burst: unit::Tokens,
        pub priority: Priority,
        /// The weight among accounts of the same priority; at least 1.
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
        /// Work that goes before all other work.
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
    /// A key of a client account; its secret is shown once and never stored.
    pub struct Key {
        /// The public name of the key.
        pub id: id::KeyId,
        /// The account of callers that present the key.
        pub account: id::ClientAccountId,
        /// The digest of the key's secret.
        pub hash: KeyHash,
    }
}

macros::data! {
    /// A model that callers may name, and its latency targets.
    pub struct Model {
        /// The name that callers use.
        pub id: id::ModelId,
        /// Target for the time to the first token.
        pub first_token: clock::Millis,
        /// Target for the mean time between tokens.
        pub between_tokens: clock::Millis,
        /// Most tokens of output that one request may generate.
        pub max_output: unit::Tokens,
        /// Size of the KV cache of one token of the prompt.
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
        /// Runs a plain HTTP service.
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
    /// Whether a backend server accepts work.
    #[serde(rename_all = "kebab-case")]
    pub enum ServerState {
        /// Accepts new work.
        InService,
        /// Finishes its running work and accepts no new work.
        Leaving,
        /// Has no work and accepts none.
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
        pub id: id::BackendServerId,
        /// The address that it listens on.
        pub address: net::SocketAddr,
        pub data_centre: id::DataCentre,
        pub role: Role,
        /// The models that it serves; empty for a plain service.
        pub models: Vec<id::ModelId>,
        /// The routes that it serves; empty for a model engine.
        pub routes: Vec<id::RouteId>,
        pub state: ServerState,
        /// Most requests that it runs at once.
        pub slots: u32,
        /// Memory for KV cache.
        pub memory: unit::Pieces,
        /// Bandwidth of its link for KV transfers.
        pub link: unit::BytesPerSecond,
        /// Whether it refuses orders with an old fencing number.
        pub checks_fencing: bool,
    }
}

macros::data! {
    /// A path prefix that is routed to plain services.
    pub struct Route {
        pub id: id::RouteId,
        /// The path prefix, such as `/shop/orders`.
        pub prefix: String,
        pub access: Access,
        /// Methods whose calls may be sent again after a failure that leaves open whether they ran.
        pub idempotent_methods: Vec<String>,
        /// Whether calls by other methods must carry an `Idempotency-Key`.
        pub require_idempotency_key: bool,
        /// Longest time until the answer.
        pub deadline: clock::Millis,
        /// Tokens that one call takes from the account's bucket.
        pub cost: unit::Tokens,
    }
}

macros::data! {copy
    /// Who may use a route.
    #[serde(rename_all = "kebab-case")]
    pub enum Access {
        /// Anyone, without a key.
        Open,
        /// Callers with a valid key.
        Keyed,
    }
}

macros::data! {
    /// A gateway that has a live session with the control group.
    pub struct Member {
        pub id: id::InstanceId,
        pub incarnation: id::Incarnation,
        pub data_centre: id::DataCentre,
        /// The address that callers connect to.
        pub caller_address: net::SocketAddr,
        /// The address that other processes of the system connect to.
        pub peer_address: net::SocketAddr,
        /// Whether it is shutting down; it then accepts no new callers and takes over no roles.
        pub leaving: bool,
    }
}

macros::data! {copy
    /// What requests have in common: the digest of an account and a request, which recognises one that
    /// is sent again, or a part of a prompt.
    #[serde(transparent)]
    pub struct Fingerprint(u64);
}

impl Fingerprint {
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Makes the fingerprint of a part of a prompt: its id if that is a hexadecimal number of 64 bits,
    /// else a digest of it.
    pub fn from_part(id: &str) -> Self {
        let number = u64::from_str_radix(id, 16);
        Self(number.unwrap_or_else(|_| xxhash_rust::xxh3::xxh3_64(id.as_bytes())))
    }

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
    /// A report that a backend server was lost while it ran a request.
    pub struct LossReport {
        pub fingerprint: Fingerprint,
        /// The lost server.
        pub server: id::BackendServerId,
        /// The revision that the gateway had applied when the request began at the server.
        pub began: id::Revision,
    }
}

macros::data! {
    /// A request that was running when a backend server was lost, and its first recorded loss.
    pub struct Suspect {
        /// The lost server.
        pub server: id::BackendServerId,
        /// The revision that recorded the loss.
        pub recorded: id::Revision,
    }
}

impl Suspect {
    /// Returns whether a report is of another loss than the recorded one.
    ///
    /// Several gateways may report the same loss. A report is of another loss when it names another
    /// server, or when the request began after its gateway had applied the recorded loss.
    pub fn is_other_loss(&self, report: &LossReport) -> bool {
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
