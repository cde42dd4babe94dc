//! The settings of an engine: its role, its capacity and the time that its work takes.

use buckthorncleat::clock;
use buckthorncleat::id;
use buckthorncleat::state::model;
use buckthorncleat::unit;

/// The settings of `buckthorncleat-stand-in engine`.
#[derive(Clone, Debug, clap::Args)]
pub struct Settings {
    /// Name of the engine, used in its log.
    #[arg(long)]
    pub id: id::BackendServerId,
    /// Role of the engine: `prefill` or `decode`.
    #[arg(long)]
    pub role: model::Role,
    /// A model that is loaded at the start; may be given several times.
    #[arg(long = "model", required = true)]
    pub models: Vec<id::ModelId>,
    /// Most requests held at once; a prefill engine counts queued and exported ones too.
    #[arg(long, default_value_t = 20)]
    pub slots: u32,
    /// Memory for KV cache, in pieces of 4,096 tokens.
    #[arg(long, default_value_t = 128)]
    pub memory_pieces: u64,
    /// Rate of the link for transfers of KV cache, in bytes per second.
    #[arg(long, default_value = "1250000000")]
    pub link_bytes_per_second: unit::BytesPerSecond,
    /// Stated size of the KV cache of one token, in bytes.
    #[arg(long, default_value_t = 131_072)]
    pub kv_bytes_per_token: u64,
    /// Prompt tokens that a prefill computes per second.
    #[arg(long, default_value = "4000")]
    pub prefill_tokens_per_second: unit::TokensPerSecond,
    /// Time of one decode step with an empty batch, in milliseconds.
    #[arg(long, default_value_t = 8.0)]
    pub token_ms: f64,
    /// Time that each request of the batch adds to a decode step, in milliseconds.
    #[arg(long, default_value_t = 0.6)]
    pub token_ms_per_slot: f64,
    /// Age of the load reports, in milliseconds.
    #[arg(long, default_value = "200")]
    pub load_lag_ms: clock::Millis,
    /// Age at which changes of the prefix cache are published, in milliseconds.
    #[arg(long, default_value = "300")]
    pub event_lag_ms: clock::Millis,
    /// Share of the changes that are never published, in percent.
    #[arg(long, default_value_t = 5)]
    pub event_gap_percent: u64,
    /// How long exported KV cache waits to be fetched, in milliseconds.
    #[arg(long, default_value = "800")]
    pub export_expiry_ms: clock::Millis,
    /// How long loading a model or an adapter takes, in milliseconds.
    #[arg(long, default_value = "200")]
    pub load_model_ms: clock::Millis,
    /// Weight store that models and adapters are loaded from, as `IP:port`.
    #[arg(long)]
    pub weights: Option<std::net::SocketAddr>,
    /// Obeys orders with an old fencing number.
    #[arg(long)]
    pub ignore_fencing: bool,
    /// Mark in a prompt that crashes the engine that prefills it.
    #[arg(long, default_value = "[crash]")]
    pub crash_on: String,
}

/// Mark in a prompt that crashes the engine that decodes it.
pub const CRASH_DECODE_MARK: &str = "[crash-decode]";

/// A parser that fills in the defaults of [`Settings`] without a command line.
#[derive(clap::Parser)]
struct Defaults {
    #[command(flatten)]
    settings: Settings,
}

impl Settings {
    /// Returns the default settings, whose costs are those in docs/ENGINES.md.
    pub fn with_stated_costs() -> Self {
        let args = [
            "", "--id", "engine", "--role", "prefill", "--model", "model",
        ];
        <Defaults as clap::Parser>::parse_from(args).settings
    }

    /// Returns the time to compute `tokens` prompt tokens, in microseconds.
    pub fn prefill_us(&self, tokens: unit::Tokens) -> u64 {
        let rate = self.prefill_tokens_per_second.as_u64().max(1);
        (tokens.as_u64() * 1_000_000).div_ceil(rate)
    }

    /// Returns the time of a decode step with `batch` requests, in microseconds; at least 1.
    pub fn step_us(&self, batch: usize) -> u64 {
        let ms = self.token_ms + self.token_ms_per_slot * batch as f64;
        ((ms * 1000.0) as u64).max(1)
    }

    /// Returns the stated size of the KV cache of `tokens` tokens.
    pub fn kv_bytes(&self, tokens: unit::Tokens) -> unit::Bytes {
        unit::Bytes::new(tokens.as_u64() * self.kv_bytes_per_token)
    }
}
