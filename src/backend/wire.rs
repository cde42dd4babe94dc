//! The messages of the model engines' HTTP interface, as JSON; docs/ENGINES.md describes it.

use crate::clock;
use crate::id;
use crate::macros;
use crate::state::model;
use crate::unit;

/// The header that names the sender's fencing number on orders.
pub const FENCING_HEADER: &str = "x-fencing-number";

macros::data! {
    /// `POST /v1/prefill`: computes the KV cache of a prompt; answered when it is done.
    pub struct Prefill {
        /// The request.
        pub request: id::RequestId,
        /// The model.
        pub model: id::ModelId,
        /// The whole prompt as text; four bytes make one token, the last may be shorter.
        pub prompt: String,
        /// Tokens of an earlier, broken stream that follow the prompt.
        #[serde(default)]
        pub delivered: Vec<String>,
        /// The priority in the engine's queue.
        pub priority: model::Priority,
    }
}

macros::data! {
    /// The answer to [`Prefill`]; the engine drops the KV cache after `expires_ms`.
    pub struct Prefilled {
        /// Names the KV cache for [`Import`].
        pub export: String,
        /// The tokens of the prompt, delivered tokens included.
        pub tokens: unit::Tokens,
        /// The tokens found in the prefix cache.
        pub cached: unit::Tokens,
        /// The size of the KV cache.
        pub kv_bytes: unit::Bytes,
        /// How long the KV cache is kept, at most; under a second.
        pub expires_ms: clock::Millis,
    }
}

macros::data! {
    /// `POST /v1/import`: makes a decode engine fetch KV cache; answered when it holds it.
    pub struct Import {
        /// The request.
        pub request: id::RequestId,
        /// The model.
        pub model: id::ModelId,
        /// The prefill engine, as `IP:port`.
        pub from: std::net::SocketAddr,
        /// The name of the KV cache there.
        pub export: String,
    }
}

macros::data! {
    /// `POST /v1/decode`: generates tokens from imported KV cache, as server-sent events.
    ///
    /// Each event is a [`Token`], but the last is a [`Done`] with the event name `done`.
    pub struct Decode {
        /// The request, imported before.
        pub request: id::RequestId,
        /// The most tokens of the answer, earlier delivered ones included.
        pub max_tokens: unit::Tokens,
        /// The priority in the engine's queue.
        pub priority: model::Priority,
    }
}

macros::data! {
    /// One generated token.
    pub struct Token {
        /// Its position in the answer, from 0, earlier delivered ones included.
        pub index: u64,
        /// Its text.
        pub text: String,
    }
}

macros::data! {
    /// The end of a stream.
    pub struct Done {
        /// Why the answer ended.
        pub finish_reason: FinishReason,
        /// The tokens of the whole answer.
        pub tokens: unit::Tokens,
    }
}

macros::data! {copy
    /// Why an answer ended.
    #[serde(rename_all = "snake_case")]
    pub enum FinishReason {
        /// The model ended it.
        Stop,
        /// It reached the most tokens allowed.
        Length,
    }
}

macros::data! {
    /// `DELETE /v1/requests/{id}`: frees all that the engine holds for a request.
    ///
    /// A later call for the same request is refused with status 410 for at least ten seconds.
    pub struct Cancelled {
        /// What the request was doing.
        pub was: Phase,
    }
}

macros::data! {copy
    /// What an engine does for a request.
    #[serde(rename_all = "snake_case")]
    pub enum Phase {
        /// Nothing; the engine does not know it, or it ended before.
        Unknown,
        /// It waits for a prefill that has not started.
        Queued,
        /// Its prompt is prefilled.
        Prefilling,
        /// Its KV cache waits to be fetched.
        Exported,
        /// Its KV cache is being fetched or was.
        Imported,
        /// Its answer is generated.
        Decoding,
    }
}

macros::data! {
    /// `GET /v1/held`: all that the engine holds.
    pub struct Held {
        /// One entry for each request and phase.
        pub requests: Vec<Holding>,
    }
}

macros::data! {
    /// What an engine holds for one request.
    pub struct Holding {
        /// The request.
        pub request: id::RequestId,
        /// What it does.
        pub phase: Phase,
        /// The memory it takes.
        pub pieces: unit::Pieces,
        /// How long it has been there.
        pub age_ms: clock::Millis,
    }
}

macros::data! {
    /// `GET /v1/load`: the engine's load, some time ago.
    pub struct Load {
        /// The work that it does now.
        pub role: model::Role,
        /// The models that it has loaded.
        pub models: Vec<id::ModelId>,
        /// Requests that run.
        pub running: u32,
        /// Requests that wait.
        pub waiting: u32,
        /// Prompt tokens that wait to be prefilled.
        pub waiting_tokens: unit::Tokens,
        /// Memory in use, without what the prefix cache could free.
        pub used: unit::Pieces,
        /// All memory.
        pub memory: unit::Pieces,
        /// How old the report is.
        pub age_ms: clock::Millis,
    }
}

macros::data! {
    /// `GET /v1/cache-events?after=N`: changes of the prefix cache, late and with gaps.
    pub struct CacheEvents {
        /// Events numbered above N; a missing number is a gap.
        pub events: Vec<CacheEvent>,
    }
}

macros::data! {
    /// One change of the prefix cache.
    pub struct CacheEvent {
        /// The number of the event.
        pub number: u64,
        /// The piece, named by the digest of the prompt up to its end ([`prefix_digests`]).
        pub prefix: u64,
        /// Whether the piece was stored or dropped.
        pub stored: bool,
    }
}

macros::data! {
    /// `POST /v1/orders`: an order to the engine, with its number in [`FENCING_HEADER`].
    ///
    /// An engine that checks fencing answers 409 to a number below the highest it has seen.
    #[serde(rename_all = "snake_case", tag = "order")]
    pub enum Order {
        /// Loads a version of a model.
        LoadModel {
            /// The model.
            model: id::ModelId,
            /// The version.
            version: String,
        },
        /// Loads an adapter of a model.
        LoadAdapter {
            /// The model.
            model: id::ModelId,
            /// The adapter.
            adapter: String,
        },
        /// Unloads a model.
        UnloadModel {
            /// The model.
            model: id::ModelId,
        },
        /// Changes the engine's role.
        ChangeRole {
            /// The new role.
            role: model::Role,
        },
    }
}

/// Returns the digests of a prompt's whole pieces; each covers the prompt up to the piece's end.
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
