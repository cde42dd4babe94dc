//! The settings of the daemons, read from JSON files.

use std::net;
use std::path;

use crate::clock;
use crate::id;
use crate::macros;

macros::data! {
    /// The settings of `buckthorncleat-gateway`.
    #[serde(deny_unknown_fields)]
    pub struct Gateway {
        /// The name of this instance.
        pub instance: id::InstanceId,
        /// The data centre that it stands in.
        pub data_centre: id::DataCentre,
        /// Where callers connect.
        pub caller_address: net::SocketAddr,
        /// Where other processes of the system connect.
        pub peer_address: net::SocketAddr,
        /// Where operators read metrics, events and status.
        pub status_address: net::SocketAddr,
        /// The members of the control group.
        pub control: Vec<ControlPeer>,
        /// The file with the secret that all processes of the system share.
        pub secret_file: path::PathBuf,
        /// Where the platform lists its live instances, if it does.
        #[serde(default)]
        pub platform_address: Option<net::SocketAddr>,
        /// How requests are placed on backend servers.
        #[serde(default)]
        pub placement: Placement,
        /// What placement serves first.
        #[serde(default)]
        pub objective: Objective,
        /// How the limits of client accounts are kept.
        #[serde(default)]
        pub limits: Limits,
        /// Bounds and timeouts.
        #[serde(default)]
        pub timing: GatewayTiming,
    }
}

macros::data! {
    /// One member of the control group.
    #[serde(deny_unknown_fields)]
    pub struct ControlPeer {
        /// The name of its instance.
        pub instance: id::InstanceId,
        /// Where other processes of the system connect.
        pub peer_address: net::SocketAddr,
    }
}

macros::data! {copy
    /// How requests are placed on backend servers.
    #[derive(Default)]
    #[serde(rename_all = "kebab-case")]
    pub enum Placement {
        /// Prefill, decode and link are chosen together by predicted time.
        #[default]
        Joint,
        /// The server with the least requests.
        LeastLoaded,
        /// One server after the other.
        RoundRobin,
    }
}

macros::data! {copy
    /// What placement serves first when not all requests can meet their targets.
    #[derive(Default)]
    #[serde(rename_all = "kebab-case")]
    pub enum Objective {
        /// The client account that got the least of its share.
        #[default]
        WorstServedAccount,
        /// The most requests within their targets.
        Goodput,
    }
}

macros::data! {copy
    /// How the limits of client accounts are kept.
    #[derive(Default)]
    #[serde(rename_all = "kebab-case")]
    pub enum Limits {
        /// One owner for each account counts over the whole fleet.
        #[default]
        Fleet,
        /// Each gateway counts by itself with an equal share of rate and burst.
        StaticShare,
    }
}

macros::data! {
    /// Bounds and timeouts of a gateway.
    #[serde(deny_unknown_fields, default)]
    pub struct GatewayTiming {
        /// How long a confirmed configuration counts as fresh.
        pub freshness_lease_ms: clock::Millis,
        /// How long a message to another process may take.
        pub peer_timeout_ms: clock::Millis,
        /// How long a caller may take to send its request's head, and then its body.
        pub caller_read_timeout_ms: clock::Millis,
        /// How long a connection may be silent before it is replaced.
        pub silence_bound_ms: clock::Millis,
        /// How long running work may take to end in a graceful shutdown.
        pub drain_ms: clock::Millis,
        /// The largest body of a request, in bytes.
        pub max_body_bytes: usize,
        /// The most requests that run or wait at once.
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
        /// The name of this instance; one of `members`, unless it joins as a learner.
        pub instance: id::InstanceId,
        /// The data centre that it stands in.
        pub data_centre: id::DataCentre,
        /// Where other processes of the system connect.
        pub peer_address: net::SocketAddr,
        /// Where operators connect.
        pub admin_address: net::SocketAddr,
        /// The members that the group starts with.
        pub members: Vec<ControlPeer>,
        /// Whether this instance is none of them, and waits until an operator admits it.
        #[serde(default)]
        pub joins: bool,
        /// The folder that holds the log and the snapshots.
        pub data_folder: path::PathBuf,
        /// The file with the secret that all processes of the system share.
        pub secret_file: path::PathBuf,
        /// The file with the operators' tokens, a `name token` pair a line.
        pub operators_file: path::PathBuf,
        /// Bounds and timeouts.
        #[serde(default)]
        pub timing: ControlTiming,
    }
}

macros::data! {
    /// Bounds and timeouts of a control member.
    #[serde(deny_unknown_fields, default)]
    pub struct ControlTiming {
        /// The shortest time without a leader's message before an election; the longest is twice it.
        pub election_ms: clock::Millis,
        /// The time between a leader's messages.
        pub heartbeat_ms: clock::Millis,
        /// How long a gateway may be silent before it is taken out of the membership.
        ///
        /// It must be longer than the gateways' `freshness_lease_ms`, so that a gateway stops
        /// before its ownerships pass on.
        pub session_ms: clock::Millis,
        /// The log entries between two snapshots.
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
        /// How long a command may try until it gives up.
        #[serde(default = "default_timeout")]
        pub timeout_ms: clock::Millis,
    }
}

/// Returns how long a command of the operators' tool tries when nothing else is said.
pub fn default_timeout() -> clock::Millis {
    clock::Millis::new(10_000)
}
