//! The settings of the daemons and of the operators' tool, as written in their JSON files.

use std::net;
use std::path;

use crate::clock;
use crate::id;
use crate::macros;

macros::data! {
    /// The settings of `buckthorncleat-gateway`.
    #[serde(deny_unknown_fields)]
    pub struct Gateway {
        pub instance: id::InstanceId,
        /// The data centre in which this instance runs.
        pub data_centre: id::DataCentre,
        /// The address to listen on for callers.
        pub caller_address: net::SocketAddr,
        /// The address to listen on for other processes of the system.
        pub peer_address: net::SocketAddr,
        /// The address to listen on for operators, who read metrics, events and status there and
        /// may drain the gateway.
        pub status_address: net::SocketAddr,
        /// The members of the control group to connect to.
        pub control: Vec<ControlPeer>,
        /// The file with the secret that all processes of the system share.
        pub secret_file: path::PathBuf,
        /// The address at which the platform lists its live instances; `None` if it does not.
        #[serde(default)]
        pub platform_address: Option<net::SocketAddr>,
        /// How servers are chosen for requests.
        #[serde(default)]
        pub placement: Placement,
        /// What placement favours when not all requests can meet their targets.
        #[serde(default)]
        pub objective: Objective,
        /// Where the limits of client accounts are counted.
        #[serde(default)]
        pub limits: Limits,
        /// Timeouts and size limits.
        #[serde(default)]
        pub timing: GatewayTiming,
    }
}

macros::data! {
    /// One member of the control group.
    #[serde(deny_unknown_fields)]
    pub struct ControlPeer {
        pub instance: id::InstanceId,
        /// The address on which it listens for other processes of the system.
        pub peer_address: net::SocketAddr,
    }
}

macros::data! {copy
    /// How backend servers are chosen for requests.
    #[derive(Default)]
    #[serde(rename_all = "kebab-case")]
    pub enum Placement {
        /// Prefill server, decode server and link are chosen together, by predicted time.
        #[default]
        Joint,
        /// The server with the fewest requests.
        LeastLoaded,
        /// Each server in turn.
        RoundRobin,
    }
}

macros::data! {copy
    /// What placement favours when not all requests can meet their targets.
    #[derive(Default)]
    #[serde(rename_all = "kebab-case")]
    pub enum Objective {
        /// The client account that received the least of its share.
        #[default]
        WorstServedAccount,
        /// As many requests as possible within their targets.
        Goodput,
    }
}

macros::data! {copy
    /// Where the limits of client accounts are counted.
    #[derive(Default)]
    #[serde(rename_all = "kebab-case")]
    pub enum Limits {
        /// The account's limiter owner counts the requests of all gateways.
        #[default]
        Fleet,
        /// Each gateway counts its own requests against an equal share of rate and burst.
        StaticShare,
    }
}

macros::data! {
    /// Timeouts and size limits of a gateway.
    #[serde(deny_unknown_fields, default)]
    pub struct GatewayTiming {
        /// How long a configuration counts as fresh after it was confirmed.
        pub freshness_lease_ms: clock::Millis,
        /// The longest time to wait for another process to answer a message.
        pub peer_timeout_ms: clock::Millis,
        /// The longest time a caller may take to send the head of a request, and again its body.
        pub caller_read_timeout_ms: clock::Millis,
        /// How long a connection to another process may be silent before it is replaced.
        pub silence_bound_ms: clock::Millis,
        /// How long a graceful shutdown waits for running requests.
        pub drain_ms: clock::Millis,
        /// The largest request body, in bytes.
        pub max_body_bytes: usize,
        /// The most requests that may run or wait at the same time.
        pub max_requests: usize,
    }
}

impl Default for GatewayTiming {
    fn default() -> Self {
        Self {
            freshness_lease_ms: clock::Millis::new(2_000),
            peer_timeout_ms: clock::Millis::new(500),
            caller_read_timeout_ms: clock::Millis::new(10_000),
            silence_bound_ms: clock::Millis::new(1_500),
            drain_ms: clock::Millis::new(120_000),
            max_body_bytes: 1 << 20,
            max_requests: 4_096,
        }
    }
}

macros::data! {
    /// The settings of `buckthorncleat-control`.
    #[serde(deny_unknown_fields)]
    pub struct Control {
        /// The name of this instance; one of `members`, unless `joins` is true.
        pub instance: id::InstanceId,
        /// The data centre in which this instance runs.
        pub data_centre: id::DataCentre,
        /// The address to listen on for other processes of the system.
        pub peer_address: net::SocketAddr,
        /// The address to listen on for operators.
        pub admin_address: net::SocketAddr,
        /// The initial members of the control group.
        pub members: Vec<ControlPeer>,
        /// Whether this instance joins the group later, as a learner, when an operator admits it.
        #[serde(default)]
        pub joins: bool,
        /// The folder of the replicated log and its snapshots.
        pub data_folder: path::PathBuf,
        /// The file with the secret that all processes of the system share.
        pub secret_file: path::PathBuf,
        /// The file with the operators' tokens, one `name token` pair per line.
        pub operators_file: path::PathBuf,
        /// Timeouts and size limits.
        #[serde(default)]
        pub timing: ControlTiming,
    }
}

macros::data! {
    /// Timeouts and size limits of a control member.
    #[serde(deny_unknown_fields, default)]
    pub struct ControlTiming {
        /// The shortest election timeout: the time without a message from the leader after which a
        /// member starts an election. The longest is twice as long.
        pub election_ms: clock::Millis,
        /// The time between heartbeats of the leader.
        pub heartbeat_ms: clock::Millis,
        /// How long a gateway may be silent before it is removed from the membership.
        ///
        /// It must be longer than the gateways' `freshness_lease_ms`, so that a gateway stops
        /// acting as an owner before its ownerships are handed over.
        pub session_ms: clock::Millis,
        /// The number of log entries between two snapshots.
        pub snapshot_entries: u64,
    }
}

impl Default for ControlTiming {
    fn default() -> Self {
        Self {
            election_ms: clock::Millis::new(300),
            heartbeat_ms: clock::Millis::new(60),
            session_ms: clock::Millis::new(2_500),
            snapshot_entries: 4_096,
        }
    }
}

macros::data! {
    /// The settings of the operators' tool `buckthorncleat`.
    #[serde(deny_unknown_fields)]
    pub struct Operator {
        /// The admin addresses of the control group.
        pub admin: Vec<net::SocketAddr>,
        /// The status addresses of the gateways.
        #[serde(default)]
        pub gateways: Vec<net::SocketAddr>,
        /// The file with the operator's token.
        pub token_file: path::PathBuf,
        /// How long a command tries to get an answer before it fails.
        #[serde(default = "default_timeout")]
        pub timeout_ms: clock::Millis,
    }
}

/// Returns the default of [`Operator::timeout_ms`].
pub fn default_timeout() -> clock::Millis {
    clock::Millis::new(10_000)
}
