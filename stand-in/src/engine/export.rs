//! What one engine tells another with the KV cache.

use buckthorncleat::id;
use buckthorncleat::unit;

/// The real bytes sent are the stated size divided by this; the time is that of the stated size.
pub const SIZE_SCALE: u64 = 1024;

/// The first line of `GET /v1/exports/{name}`; scaled-down KV cache follows.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Head {
    /// The request.
    pub request: id::RequestId,
    /// The model.
    pub model: id::ModelId,
    /// The prompt, which fixes the answer.
    pub prompt: String,
    /// How many tokens of the answer the caller has.
    pub delivered: u64,
    /// The tokens of the KV cache.
    pub tokens: unit::Tokens,
    /// The tokens that were computed for it and not found in the prefix cache.
    pub computed: unit::Tokens,
    /// The stated size of the KV cache.
    pub kv_bytes: unit::Bytes,
}

impl Head {
    /// Returns how many real bytes follow the head.
    pub fn real_bytes(&self) -> u64 {
        self.kv_bytes.as_u64() / SIZE_SCALE
    }
}
