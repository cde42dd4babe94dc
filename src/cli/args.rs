//! The command line of the operators' tool.

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

/// Drives buckthorncleat: accounts, keys, models, servers, routes, the day's sheet, and what runs.
#[derive(Debug, Parser)]
#[command(name = "buckthorncleat", version)]
pub struct Cli {
    /// Where and as whom to connect.
    #[command(flatten)]
    pub connection: Connection,
    /// Print JSON.
    #[arg(long, global = true)]
    pub json: bool,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// Where and as whom to connect.
#[derive(Args, Clone, Debug)]
pub struct Connection {
    /// A settings file with admin and gateway addresses and the token file
    /// [environment: BUCKTHORNCLEAT_OPERATOR].
    #[arg(long, global = true, value_name = "FILE")]
    pub operator: Option<path::PathBuf>,
    /// Admin addresses of the control group [environment: BUCKTHORNCLEAT_ADMIN].
    #[arg(long, global = true, value_name = "ADDRESS", value_delimiter = ',')]
    pub admin: Vec<net::SocketAddr>,
    /// Status addresses of the gateways [environment: BUCKTHORNCLEAT_GATEWAYS].
    #[arg(long, global = true, value_name = "ADDRESS", value_delimiter = ',')]
    pub gateways: Vec<net::SocketAddr>,
    /// The file with the operator's token; its last word counts
    /// [environment: BUCKTHORNCLEAT_TOKEN_FILE].
    #[arg(long, global = true, value_name = "FILE")]
    pub token_file: Option<path::PathBuf>,
    /// How long to try, in milliseconds.
    #[arg(long, global = true, value_name = "MS")]
    pub timeout_ms: Option<clock::Millis>,
    /// Change only if the configuration still has this revision.
    #[arg(long, global = true, value_name = "REVISION")]
    pub expected: Option<id::Revision>,
    /// The name of this request; give the same one to send it again.
    #[arg(long, global = true, value_name = "NAME")]
    pub operation: Option<id::OperationId>,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Check settings files, alone and together.
    Check {
        /// The files.
        #[arg(required = true)]
        files: Vec<path::PathBuf>,
    },
    /// Make a file with a new secret that all processes share.
    Secret {
        /// The file to make.
        file: path::PathBuf,
    },
    /// Add an operator with a new token to an operators file.
    Token {
        /// The name of the operator.
        name: String,
        /// The operators file.
        file: path::PathBuf,
    },
    /// Tell what became of a request, from the structured logs of several processes.
    Explain {
        /// The request, as its caller named it.
        #[arg(long, value_name = "ID")]
        request: String,
        /// The log files; standard input when there are none.
        files: Vec<path::PathBuf>,
    },
    /// Client accounts.
    #[command(subcommand)]
    Account(Account),
    /// Keys of client accounts.
    #[command(subcommand)]
    Key(Key),
    /// Models.
    #[command(subcommand)]
    Model(Model),
    /// Backend servers.
    #[command(subcommand)]
    Server(Server),
    /// Routes to plain services.
    #[command(subcommand)]
    Route(Route),
    /// Requests that crash backend servers.
    #[command(subcommand)]
    Quarantine(Quarantine),
    /// The planners' sheet.
    #[command(subcommand)]
    Sheet(Sheet),
    /// Members of the control group.
    #[command(subcommand)]
    Control(Control),
    /// Entry instances.
    #[command(subcommand)]
    Member(Member),
    /// Show what every process knows of itself.
    Status,
    /// Show who changed what.
    Audit {
        /// Only changes after this revision.
        #[arg(long, default_value = "0")]
        since: id::Revision,
    },
    /// Show the events of all processes in causal order.
    Timeline {
        /// Only events of this request.
        #[arg(long)]
        request: Option<id::RequestId>,
        /// Only events after this time, `WALL` or `WALL.COUNTER` in milliseconds since 1970.
        #[arg(long, value_parser = read::parse_stamp)]
        since: Option<event::Stamp>,
    },
    /// Send one request as a caller would.
    #[command(subcommand)]
    Ask(Ask),
    /// Let a gateway end its work and stop.
    Drain {
        /// The name of the gateway's instance.
        instance: id::InstanceId,
    },
}

/// What to send as a caller.
#[derive(Debug, Subcommand)]
pub enum Ask {
    /// Ask which entries to use.
    Entries {
        /// The caller address of a gateway.
        #[arg(long)]
        entry: net::SocketAddr,
    },
    /// Ask a model and print its answer as it comes.
    Chat(Chat),
    /// Call a plain service.
    Call(Call),
}

/// A question to a model.
#[derive(Args, Debug)]
pub struct Chat {
    /// The caller address of a gateway.
    #[arg(long)]
    pub entry: net::SocketAddr,
    /// The file with the caller's key.
    #[arg(long)]
    pub key_file: path::PathBuf,
    /// The model.
    #[arg(long)]
    pub model: id::ModelId,
    /// The most tokens of the answer.
    #[arg(long, default_value = "200")]
    pub max_tokens: u64,
    /// The question.
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
    /// Names the call, so that it runs once however often it is sent.
    #[arg(long)]
    pub idempotency_key: Option<String>,
    /// The JSON body.
    #[arg(long)]
    pub body: Option<String>,
    /// The method, such as GET or POST.
    pub method: String,
    /// The path, with the query.
    pub path: String,
}

/// What to do with client accounts.
#[derive(Debug, Subcommand)]
pub enum Account {
    /// List all.
    List,
    /// Create or replace one.
    Put {
        /// The name of the account.
        id: id::ClientAccountId,
        /// The tokens a second over the whole fleet.
        #[arg(long)]
        rate: unit::TokensPerSecond,
        /// The tokens at once after a pause; at least one second of the rate.
        #[arg(long)]
        burst: unit::Tokens,
        /// The priority: low, normal or high.
        #[arg(long, default_value = "normal")]
        priority: model::Priority,
        /// The weight among accounts of the same priority.
        #[arg(long, default_value = "1")]
        weight: u32,
    },
    /// Remove one with its keys.
    Remove {
        /// The name of the account.
        id: id::ClientAccountId,
    },
}

/// What to do with keys.
#[derive(Debug, Subcommand)]
pub enum Key {
    /// List all, without secrets.
    List,
    /// Make a key and print its secret, once.
    Grant {
        /// The account that the key speaks for.
        account: id::ClientAccountId,
        /// The name of the key.
        id: id::KeyId,
        /// Keep the secret in this file rather than printing it; a file that is there is used.
        #[arg(long, value_name = "FILE")]
        secret_file: Option<path::PathBuf>,
    },
    /// Withdraw a key.
    Withdraw {
        /// The name of the key.
        id: id::KeyId,
    },
}

/// What to do with models.
#[derive(Debug, Subcommand)]
pub enum Model {
    /// List all.
    List,
    /// Create or replace one.
    Put {
        /// The name of the model.
        id: id::ModelId,
        /// The longest time to the first token, in milliseconds.
        #[arg(long)]
        first_token_ms: clock::Millis,
        /// The longest mean time between tokens, in milliseconds.
        #[arg(long)]
        between_tokens_ms: clock::Millis,
        /// The most tokens of one answer.
        #[arg(long)]
        max_output: unit::Tokens,
        /// The bytes of KV cache of one token.
        #[arg(long)]
        kv_bytes_per_token: unit::Bytes,
    },
    /// Remove one that no server has.
    Remove {
        /// The name of the model.
        id: id::ModelId,
    },
}

/// What to do with backend servers.
#[derive(Debug, Subcommand)]
pub enum Server {
    /// List all.
    List,
    /// Create or replace one.
    Put(Box<ServerPut>),
    /// Give one no new work; running work ends.
    Leave {
        /// The name of the server.
        id: id::BackendServerId,
    },
    /// Remove one.
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
    /// Where it listens.
    #[arg(long)]
    pub address: net::SocketAddr,
    /// The data centre that it stands in.
    #[arg(long)]
    pub data_centre: id::DataCentre,
    /// The work that it does: prefill, decode or plain.
    #[arg(long)]
    pub role: model::Role,
    /// The models that it serves.
    #[arg(long = "model", value_delimiter = ',')]
    pub models: Vec<id::ModelId>,
    /// The routes that it serves.
    #[arg(long = "route", value_delimiter = ',')]
    pub routes: Vec<id::RouteId>,
    /// Whether it takes work: in-service, leaving or out.
    #[arg(long, default_value = "in-service")]
    pub state: model::ServerState,
    /// The requests that it runs at once.
    #[arg(long)]
    pub slots: u32,
    /// Its memory for KV cache in pieces.
    #[arg(long, default_value = "0")]
    pub memory: unit::Pieces,
    /// The bytes a second of its link for KV transfers.
    #[arg(long, default_value = "0")]
    pub link: unit::BytesPerSecond,
    /// It refuses orders with an old fencing number.
    #[arg(long)]
    pub checks_fencing: bool,
}

/// What to do with routes.
#[derive(Debug, Subcommand)]
pub enum Route {
    /// List all.
    List,
    /// Create or replace one.
    Put(Box<RoutePut>),
    /// Remove one that no server has.
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
    /// Anyone may use it, without a key.
    #[arg(long)]
    pub open: bool,
    /// The methods that may be repeated.
    #[arg(long = "idempotent-method", value_delimiter = ',')]
    pub idempotent_methods: Vec<String>,
    /// Other calls must carry an `Idempotency-Key`.
    #[arg(long)]
    pub require_idempotency_key: bool,
    /// The longest time to the answer, in milliseconds.
    #[arg(long)]
    pub deadline_ms: clock::Millis,
    /// The tokens that one call takes from the account's bucket.
    #[arg(long, default_value = "0")]
    pub cost: unit::Tokens,
}

/// What to do with quarantined requests.
#[derive(Debug, Subcommand)]
pub enum Quarantine {
    /// List all.
    List,
    /// Let one run again.
    Release {
        /// The fingerprint in hex, as listed.
        fingerprint: model::Fingerprint,
    },
}

/// What to do with members of the control group.
#[derive(Debug, Subcommand)]
pub enum Control {
    /// Admit a new instance: it catches up first and votes by itself then.
    Admit {
        /// The name of the instance, whose settings say `joins`.
        instance: id::InstanceId,
        /// Its peer address.
        peer_address: net::SocketAddr,
    },
    /// Take an instance out; `status` must show its replacement among the voters before.
    Dismiss {
        /// The name of the instance.
        instance: id::InstanceId,
    },
}

/// What to do with entry instances.
#[derive(Debug, Subcommand)]
pub enum Member {
    /// List all.
    List,
}

/// What to do with the planners' sheet.
#[derive(Debug, Subcommand)]
pub enum Sheet {
    /// Check a sheet by itself.
    Check(SheetFile),
    /// Show what a sheet would change.
    Diff(SheetFile),
    /// Make the changes of a sheet, together or not at all.
    Apply(SheetFile),
}

/// A sheet and the rows of it that count.
#[derive(Args, Debug)]
pub struct SheetFile {
    /// The CSV file.
    pub file: path::PathBuf,
    /// Take the rows that are in effect at this time of day, `HH:MM`; without it, only rows
    /// without a time.
    #[arg(long, value_name = "HH:MM")]
    pub at: Option<String>,
    /// Also remove accounts, models, servers and routes that the sheet does not name.
    #[arg(long)]
    pub prune: bool,
}
