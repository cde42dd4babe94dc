//! JSON messages of the HTTP interface of model engines; docs/ENGINES.md describes it.

use crate::clock;
use crate::id;
use crate::macros;
use crate::state::model;
use crate::unit;

/// The header with the fencing number of the process that sends an [`Order`].
pub const FENCING_HEADER: &str = "x-fencing-number";

macros::data! {
    /// `POST /v1/prefill`: computes the KV cache of a prompt; the response comes when it is done.
    pub struct Prefill {
        pub request: id::RequestId,
        pub model: id::ModelId,
        /// The complete prompt as text; each four bytes are one token, the last may be shorter.
        pub prompt: String,
        /// Tokens that the caller got from an earlier, broken stream; they follow the prompt.
        #[serde(default)]
        pub delivered: Vec<String>,
        /// The priority in the engine's queue.
        pub priority: model::Priority,
    }
}

macros::data! {
    /// The response to [`Prefill`]; the engine drops the KV cache after `expires_ms`.
    pub struct Prefilled {
        /// The name of the KV cache, for [`Import`].
        pub export: String,
        /// The number of tokens of the prompt, including delivered tokens.
        pub tokens: unit::Tokens,
        /// The number of those tokens that were found in the prefix cache.
        pub cached: unit::Tokens,
        pub kv_bytes: unit::Bytes,
        /// The longest time that the KV cache is kept; under a second.
        pub expires_ms: clock::Millis,
    }
}

macros::data! {
    /// `POST /v1/import`: makes a decode engine fetch KV cache; the response comes when it holds
    /// it.
    pub struct Import {
        pub request: id::RequestId,
        pub model: id::ModelId,
        /// The address of the prefill engine, as `IP:port`.
        pub from: std::net::SocketAddr,
        /// The name of the KV cache at the prefill engine.
        pub export: String,
    }
}

macros::data! {
    /// `POST /v1/decode`: generates tokens from imported KV cache, as server-sent events.
    ///
    /// Each event is a [`Token`], except the last, a [`Done`] with the event name `done`.
    pub struct Decode {
        /// The request, whose KV cache was imported before.
        pub request: id::RequestId,
        /// The most tokens of the output, including those delivered earlier.
        pub max_tokens: unit::Tokens,
        /// The priority in the engine's queue.
        pub priority: model::Priority,
    }
}

macros::data! {
    /// One generated token.
    pub struct Token {
        /// Its position in the output, from 0, counting those delivered earlier.
        pub index: u64,
        pub text: String,
    }
}

macros::data! {
    /// The last event of a complete stream.
    pub struct Done {
        pub finish_reason: FinishReason,
        /// The number of tokens of the complete output.
        pub tokens: unit::Tokens,
    }
}

macros::data! {copy
    /// Why the output ended.
    #[serde(rename_all = "snake_case")]
    pub enum FinishReason {
        /// The model ended the output.
        Stop,
        /// The output reached `max_tokens`.
        Length,
    }
}

macros::data! {
    /// The response to `DELETE /v1/requests/{id}`, which frees all that the engine holds for a
    /// request.
    ///
    /// The engine refuses later calls for the same request with status 410 for at least ten
    /// seconds.
    pub struct Cancelled {
        /// The phase of the request when it was cancelled.
        pub was: Phase,
    }
}

macros::data! {copy
    /// The phase of a request at a model engine.
    #[serde(rename_all = "snake_case")]
    pub enum Phase {
        /// The engine does not know the request, or it has ended.
        Unknown,
        /// It waits for its prefill, which has not started.
        Queued,
        /// Its prefill is running.
        Prefilling,
        /// Its KV cache is ready to be fetched by a decode engine.
        Exported,
        /// This engine is fetching its KV cache, or has fetched it.
        Imported,
        /// Its output is being generated.
        Decoding,
    }
}

macros::data! {
    /// The response to `GET /v1/held`: everything that the engine holds.
    pub struct Held {
        /// One entry per request and phase.
        pub requests: Vec<Holding>,
    }
}

macros::data! {
    /// What an engine holds for one request.
    pub struct Holding {
        pub request: id::RequestId,
        pub phase: Phase,
        /// The memory that it takes.
        pub pieces: unit::Pieces,
        /// How long the engine has held it.
        pub age_ms: clock::Millis,
    }
}

macros::data! {
    /// The response to `GET /v1/load`: the engine's load, `age_ms` ago.
    pub struct Load {
        /// The current role of the engine.
        pub role: model::Role,
        /// The loaded models.
        pub models: Vec<id::ModelId>,
        /// The number of running requests.
        pub running: u32,
        /// The number of waiting requests.
        pub waiting: u32,
        /// The prompt tokens that wait for prefill.
        pub waiting_tokens: unit::Tokens,
        /// The memory in use, without what the prefix cache could free.
        pub used: unit::Pieces,
        pub memory: unit::Pieces,
        /// The age of the report.
        pub age_ms: clock::Millis,
    }
}

macros::data! {
    /// The response to `GET /v1/cache-events?after=N`: changes of the prefix cache.
    ///
    /// They may come late and with gaps.
    pub struct CacheEvents {
        /// The events numbered above N; a missing number is a gap.
        pub events: Vec<CacheEvent>,
    }
}

macros::data! {
    /// One change of the prefix cache.
    pub struct CacheEvent {
        pub number: u64,
        /// The digest of the prompt up to the end of the piece of KV memory ([`prefix_digests`]).
        pub prefix: u64,
        /// `true` when the piece was stored, `false` when it was dropped.
        pub stored: bool,
    }
}

macros::data! {
    /// `POST /v1/orders`: an order to the engine, with a fencing number in [`FENCING_HEADER`].
    ///
    /// An engine that checks fencing answers 409 to a number below the highest that it has seen.
    #[serde(rename_all = "snake_case", tag = "order")]
    pub enum Order {
        /// Loads a version of a model.
        LoadModel {
            model: id::ModelId,
            version: String,
        },
        /// Loads an adapter of a model.
        LoadAdapter {
            model: id::ModelId,
            adapter: String,
        },
        UnloadModel {
            model: id::ModelId,
        },
        ChangeRole {
            role: model::Role,
        },
    }
}

/// Returns one digest per complete piece of a prompt, of the prompt up to the end of that piece.
///
/// A last piece of fewer than [`unit::PIECE_TOKENS`] tokens has none.
pub fn prefix_digests(prompt: &str) -> Vec<u64> {
    let piece_bytes = (unit::PIECE_TOKENS * unit::BYTES_PER_TOKEN) as usize;
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    prompt
        .as_bytes()
        .chunks_exact(piece_bytes)
        .map(|piece| {
            hasher.update(piece);
            hasher.digest()
        })
        .collect()
}
