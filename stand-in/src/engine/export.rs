//! The head that is sent before exported KV cache.

use buckthorncleat::id;
use buckthorncleat::unit;

/// The stated size of KV cache divided by the bytes that are really sent for it. A transfer takes
/// the time of the stated size.
pub const SIZE_SCALE: u64 = 1024;

/// The first line of `GET /v1/exports/{name}`; scaled-down KV cache follows.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Head {
    pub request: id::RequestId,
    pub model: id::ModelId,
    /// The prompt, from which the decode engine derives the answer.
    pub prompt: String,
    /// The number of answer tokens that were delivered to the caller before.
    pub delivered: u64,
    /// The tokens that the KV cache covers.
    pub tokens: unit::Tokens,
    /// The tokens among them that were computed, not found in the prefix cache.
    pub computed: unit::Tokens,
    /// The stated size of the KV cache.
    pub kv_bytes: unit::Bytes,
}

impl Head {
    /// Returns the number of bytes that follow the head.
    pub fn real_bytes(&self) -> u64 {
        self.kv_bytes.as_u64() / SIZE_SCALE
    }
}
