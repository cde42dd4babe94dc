//! What an engine did since its start.

use buckthorncleat::unit;

/// `GET /_stand-in/totals`.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Totals {
    /// Prefills that ended.
    pub prefills: u64,
    /// Prompt tokens computed, those of broken-off prefills included.
    pub computed_tokens: unit::Tokens,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: unit::Tokens,
    /// Exports that expired before they were fetched.
    pub expired_exports: u64,
    /// Exports that were fetched whole.
    pub fetched_exports: u64,
    /// Computed prompt tokens of the requests that this engine decoded from.
    pub decoded_from_tokens: unit::Tokens,
    /// Answer tokens generated.
    pub generated_tokens: unit::Tokens,
    /// Answers generated to their end.
    pub answers: u64,
    /// Requests cancelled while they were held.
    pub cancelled: u64,
    /// Requests refused for want of a slot or memory.
    pub refused_full: u64,
    /// Prefills whose delivered tokens were not those of the answer.
    pub wrong_delivered: u64,
}
