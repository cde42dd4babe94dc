//! The command-line arguments of the operators' tool.

use std::net;
use std::path;

use clap::Args;
use clap::Parser;
use clap::Subcommand;

use crate::clock;
use crate::event;
use crate::http::admin::read;
use crate::id;
use crate::state::model;
use crate::unit;

/// Manage buckthorncleat: accounts, keys, models, servers, routes, planners' sheets and daemons.
#[derive(Debug, Parser)]
#[command(name = "buckthorncleat", version)]
pub struct Cli {
    /// How to connect, and as which operator.
    #[command(flatten)]
    pub connection: Connection,
    /// Print JSON.
    #[arg(long, global = true)]
    pub json: bool,
    /// The command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// How to connect, and as which operator.
#[derive(Args, Clone, Debug)]
pub struct Connection {
    /// A settings file with the admin and gateway addresses and the token file
    /// [environment: BUCKTHORNCLEAT_OPERATOR].
    #[arg(long, global = true, value_name = "FILE")]
    pub operator: Option<path::PathBuf>,
    /// Admin addresses of the control group [environment: BUCKTHORNCLEAT_ADMIN].
    #[arg(long, global = true, value_name = "ADDRESS", value_delimiter = ',')]
    pub admin: Vec<net::SocketAddr>,
    /// Status addresses of the gateways [environment: BUCKTHORNCLEAT_GATEWAYS].
    #[arg(long, global = true, value_name = "ADDRESS", value_delimiter = ',')]
    pub gateways: Vec<net::SocketAddr>,
    /// The file with the operator's token, which is its last word
    /// [environment: BUCKTHORNCLEAT_TOKEN_FILE].
    #[arg(long, global = true, value_name = "FILE")]
    pub token_file: Option<path::PathBuf>,
    /// How long to try to get an answer, in milliseconds.
    #[arg(long, global = true, value_name = "MS")]
    pub timeout_ms: Option<clock::Millis>,
    /// Make the change only if the configuration is still at this revision.
    #[arg(long = "expected", global = true, value_name = "REVISION")]
    pub expected_revision: Option<id::Revision>,
    /// The name of this request; a change that is sent again under the same name is made once.
    #[arg(long, global = true, value_name = "NAME")]
    pub operation: Option<id::OperationId>,
}

/// The commands of the tool.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Check settings files, each by itself and as one deployment.
    Check {
        /// The settings files.
        #[arg(required = true)]
        files: Vec<path::PathBuf>,
    },
    /// Create a file with a new secret, for all processes to share.
    Secret {
        /// The file to create; it must not exist.
        file: path::PathBuf,
    },
    /// Add an operator with a new token to an operators file.
    Token {
        /// The name of the operator.
        name: String,
        /// The operators file; it is created if it does not exist.
        file: path::PathBuf,
    },
    /// Explain what happened to a request, from the structured logs of several processes.
    Explain {
        /// The id of the request, as its caller gave it.
        #[arg(long, value_name = "ID")]
        request: String,
        /// The log files; without any, standard input is read.
        files: Vec<path::PathBuf>,
    },
    /// Manage client accounts.
    #[command(subcommand)]
    Account(Account),
    /// Manage the keys of client accounts.
    #[command(subcommand)]
    Key(Key),
    /// Manage models.
    #[command(subcommand)]
    Model(Model),
    /// Manage backend servers.
    #[command(subcommand)]
    Server(Server),
    /// Manage routes to plain services.
    #[command(subcommand)]
    Route(Route),
    /// Manage the quarantine of requests that crash backend servers.
    #[command(subcommand)]
    Quarantine(Quarantine),
    /// Manage the evacuations of data centres, with control members of a platform deployment.
    #[command(subcommand)]
    Evacuation(Evacuation),
    /// Check and apply planners' sheets.
    #[command(subcommand)]
    Sheet(Sheet),
    /// Manage the members of the control group.
    #[command(subcommand)]
    Control(Control),
    /// List the gateways that callers can use.
    #[command(subcommand)]
    Member(Member),
    /// Show the status of all processes.
    Status,
    /// Show the changes to the configuration, with the operators who made them.
    Audit {
        /// Show only changes after this revision.
        #[arg(long, default_value = "0")]
        since: id::Revision,
    },
    /// Show the events of all processes in causal order.
    Timeline {
        /// Show only events of this request.
        #[arg(long)]
        request: Option<id::RequestId>,
        /// Show only events after this time: `WALL` or `WALL.COUNTER`, with `WALL` in milliseconds
        /// since 1970.
        #[arg(long, value_parser = read::parse_stamp)]
        since: Option<event::Stamp>,
    },
    /// Send one request as a caller would.
    #[command(subcommand)]
    Ask(Ask),
    /// Tell a gateway to finish its running requests and stop.
    Drain {
        /// The name of the gateway's instance.
        instance: id::InstanceId,
    },
}

/// The requests that can be sent as a caller.
#[derive(Debug, Subcommand)]
pub enum Ask {
    /// Ask a gateway for the addresses that callers should use.
    Entries {
        /// The caller address of a gateway.
        #[arg(long)]
        entry: net::SocketAddr,
    },
    /// Send a prompt to a model and print the answer as it arrives.
    Chat(Chat),
    /// Call a plain service.
    Call(Call),
}

/// A prompt for a model.
#[derive(Args, Debug)]
pub struct Chat {
    /// The caller address of a gateway.
    #[arg(long)]
    pub entry: net::SocketAddr,
    /// The file with the caller's key.
    #[arg(long)]
    pub key_file: path::PathBuf,
    /// The name of the model.
    #[arg(long)]
    pub model: id::ModelId,
    /// The most tokens that the answer may have.
    #[arg(long, default_value = "200")]
    pub max_tokens: u64,
    /// The prompt.
    pub text: String,
}

/// A call to a plain service.
#[derive(Args, Debug)]
pub struct Call {
    /// The caller address of a gateway.
    #[arg(long)]
    pub entry: net::SocketAddr,
    /// The file with the caller's key, for routes that need one.
    #[arg(long)]
    pub key_file: Option<path::PathBuf>,
    /// The idempotency key: a call that is sent again with the same key runs once.
    #[arg(long)]
    pub idempotency_key: Option<String>,
    /// The JSON body.
    #[arg(long)]
    pub body: Option<String>,
    /// The HTTP method, such as GET or POST.
    pub method: String,
    /// The path, with the query if there is one.
    pub path: String,
}

/// The commands on client accounts.
#[derive(Debug, Subcommand)]
pub enum Account {
    /// List all accounts.
    List,
    /// Create or replace an account.
    Put {
        /// The name of the account.
        id: id::ClientAccountId,
        /// The tokens per second that it may use over all gateways.
        #[arg(long)]
        rate: unit::TokensPerSecond,
        /// The tokens that it may use at once after a pause; at least one second of the rate.
        #[arg(long)]
        burst: unit::Tokens,
        /// The priority: low, normal or high.
        #[arg(long, default_value = "normal")]
        priority: model::Priority,
        /// The weight among accounts of the same priority.
        #[arg(long, default_value = "1")]
        weight: u32,
    },
    /// Remove an account and its keys.
    Remove {
        /// The name of the account.
        id: id::ClientAccountId,
    },
}

/// The commands on keys.
#[derive(Debug, Subcommand)]
pub enum Key {
    /// List all keys, without their secrets.
    List,
    /// Create a key and print its secret, which can't be shown again.
    Grant {
        /// The account that requests with this key are charged to.
        account: id::ClientAccountId,
        /// The name of the key.
        id: id::KeyId,
        /// Write the secret to this file instead of printing it; if the file exists, use the secret
        /// in it.
        #[arg(long, value_name = "FILE")]
        secret_file: Option<path::PathBuf>,
    },
    /// Withdraw a key.
    Withdraw {
        /// The name of the key.
        id: id::KeyId,
    },
}

/// The commands on models.
#[derive(Debug, Subcommand)]
pub enum Model {
    /// List all models.
    List,
    /// Create or replace a model.
    Put {
        /// The name of the model.
        id: id::ModelId,
        /// The target for the longest time to the first token, in milliseconds.
        #[arg(long)]
        first_token_ms: clock::Millis,
        /// The target for the longest mean time between tokens, in milliseconds.
        #[arg(long)]
        between_tokens_ms: clock::Millis,
        /// The most tokens that one answer may have.
        #[arg(long)]
        max_output: unit::Tokens,
        /// The bytes of KV cache that one token takes.
        #[arg(long)]
        kv_bytes_per_token: unit::Bytes,
    },
    /// Remove a model that no server serves.
    Remove {
        /// The name of the model.
        id: id::ModelId,
    },
}

/// The commands on backend servers.
#[derive(Debug, Subcommand)]
pub enum Server {
    /// List all servers.
    List,
    /// Create or replace a server.
    Put(Box<ServerPut>),
    /// Send a server no new requests; the running ones finish.
    Leave {
        /// The name of the server.
        id: id::BackendServerId,
    },
    /// Remove a server.
    Remove {
        /// The name of the server.
        id: id::BackendServerId,
    },
}

/// A backend server to create or replace.
#[derive(Args, Debug)]
pub struct ServerPut {
    /// The name of the server.
    pub id: id::BackendServerId,
    /// The address on which it listens.
    #[arg(long)]
    pub address: net::SocketAddr,
    /// The data centre in which it runs.
    #[arg(long)]
    pub data_centre: id::DataCentre,
    /// Its role: prefill, decode or plain.
    #[arg(long)]
    pub role: model::Role,
    /// The models that it serves, separated by commas.
    #[arg(long = "model", value_delimiter = ',')]
    pub models: Vec<id::ModelId>,
    /// The routes that it serves, separated by commas.
    #[arg(long = "route", value_delimiter = ',')]
    pub routes: Vec<id::RouteId>,
    /// Its state: in-service, leaving (no new requests) or out.
    #[arg(long, default_value = "in-service")]
    pub state: model::ServerState,
    /// The most requests that it runs at once.
    #[arg(long)]
    pub slots: u32,
    /// Its memory for KV cache, in pieces of 4096 tokens.
    #[arg(long, default_value = "0")]
    pub memory: unit::Pieces,
    /// The bandwidth of its link for KV transfers, in bytes per second.
    #[arg(long, default_value = "0")]
    pub link: unit::BytesPerSecond,
    /// The server refuses orders with an old fencing number.
    #[arg(long)]
    pub checks_fencing: bool,
}

/// The commands on routes.
#[derive(Debug, Subcommand)]
pub enum Route {
    /// List all routes.
    List,
    /// Create or replace a route.
    Put(Box<RoutePut>),
    /// Remove a route that no server serves.
    Remove {
        /// The name of the route.
        id: id::RouteId,
    },
}

/// A route to create or replace.
#[derive(Args, Debug)]
pub struct RoutePut {
    /// The name of the route.
    pub id: id::RouteId,
    /// The path prefix, such as `/shop/orders`.
    #[arg(long)]
    pub prefix: String,
    /// Allow requests without a key.
    #[arg(long)]
    pub open: bool,
    /// The idempotent methods, whose calls may be retried, separated by commas.
    #[arg(long = "idempotent-method", value_delimiter = ',')]
    pub idempotent_methods: Vec<String>,
    /// Require an `Idempotency-Key` header on calls of all other methods.
    #[arg(long)]
    pub require_idempotency_key: bool,
    /// The longest time until the answer, in milliseconds.
    #[arg(long)]
    pub deadline_ms: clock::Millis,
    /// The tokens that one call is charged to its account.
    #[arg(long, default_value = "0")]
    pub cost: unit::Tokens,
}

/// The commands on quarantined requests.
#[derive(Debug, Subcommand)]
pub enum Quarantine {
    /// List all quarantined requests.
    List,
    /// Keep a request, or requests with a part of a prompt, from all servers.
    Put {
        /// The fingerprint of the request or part in hex, as log lines name it.
        fingerprint: model::Fingerprint,
    },
    /// Allow a quarantined request to run again.
    Release {
        /// The fingerprint of the request in hex, as `list` shows it.
        fingerprint: model::Fingerprint,
    },
}

/// The commands on evacuations of data centres.
#[derive(Debug, Subcommand)]
pub enum Evacuation {
    /// List the data centres that are being evacuated, and the routers where that is not in force yet.
    List,
    /// Send nothing more to the servers of a data centre; the running requests finish.
    Start {
        /// The name of the data centre.
        data_centre: id::DataCentre,
    },
    /// Use the servers of a data centre again.
    Finish {
        /// The name of the data centre.
        data_centre: id::DataCentre,
    },
}

/// The commands on the members of the control group.
#[derive(Debug, Subcommand)]
pub enum Control {
    /// Admit a new instance, which starts to vote once it has caught up with the log.
    Admit {
        /// The name of the instance, whose settings have `joins` set to true.
        instance: id::InstanceId,
        /// The peer address of the instance.
        peer_address: net::SocketAddr,
    },
    /// Remove an instance, only after `status` shows its replacement among the voters.
    Dismiss {
        /// The name of the instance.
        instance: id::InstanceId,
    },
}

/// The commands on gateways that callers can use.
#[derive(Debug, Subcommand)]
pub enum Member {
    /// List the gateways that hold a session.
    List,
}

/// The commands on planners' sheets.
#[derive(Debug, Subcommand)]
pub enum Sheet {
    /// Check a sheet without contacting the control group.
    Check(SheetFile),
    /// Show the changes that a sheet would make.
    Diff(SheetFile),
    /// Make all changes of a sheet, or none if one is refused.
    Apply(SheetFile),
}

/// A sheet, and which of its rows to take.
#[derive(Args, Debug)]
pub struct SheetFile {
    /// The CSV file.
    pub file: path::PathBuf,
    /// Take the rows in effect at this time of day, `HH:MM`; without it, only rows without a time
    /// are taken.
    #[arg(long, value_name = "HH:MM")]
    pub at: Option<String>,
    /// Also remove accounts, models, servers and routes that the sheet does not name.
    #[arg(long)]
    pub prune: bool,
}
