//! Counters of an engine since its start.

use buckthorncleat::unit;

/// The answer to `GET /_stand-in/totals`.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Totals {
    /// Prefills that ran to their end.
    pub prefills: u64,
    /// Prompt tokens computed, the computed part of cancelled prefills included.
    pub computed_tokens: unit::Tokens,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: unit::Tokens,
    /// Exports that expired before they were fetched.
    pub expired_exports: u64,
    /// Exports that were fetched completely.
    pub fetched_exports: u64,
    /// Prompt tokens that were computed by the prefill engines for requests that were decoded here.
    pub decoded_from_tokens: unit::Tokens,
    /// Answer tokens generated.
    pub generated_tokens: unit::Tokens,
    /// Answers generated to their end.
    pub answers: u64,
    /// Requests cancelled while they took a slot.
    pub cancelled: u64,
    /// Requests refused because no slot or too little memory was free.
    pub refused_full: u64,
    /// Prefills whose delivered tokens were not the first ones of the answer.
    pub wrong_delivered: u64,
}
