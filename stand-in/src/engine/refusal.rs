//! The errors of an engine's calls.

/// The reason why a call was refused. Nothing was started unless a variant says so.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The header with the fencing number is missing or is not a number.
    #[error("no fencing number: send it in the header x-fencing-number")]
    MissingFencingNumber,
    #[error("the model is not loaded: load it by an order, or ask another engine")]
    UnknownModel,
    /// The request never came here, is in another phase, or has ended and expired.
    #[error("the request is unknown here, has expired, or is in another phase")]
    UnknownRequest,
    /// The exported KV cache expired, was fetched or cancelled, or never existed.
    #[error("the export is unknown, has expired or was fetched: prefill again")]
    UnknownExport,
    /// The order carries a fencing number below the highest seen.
    #[error("the fencing number is below {seen}, the highest one seen")]
    StaleFencingNumber {
        seen: buckthorncleat::id::FencingNumber,
    },
    /// The request takes a slot already.
    #[error("the request is held here already: cancel it before it is sent again")]
    AlreadyHeld,
    /// The request was cancelled less than `machine::CANCELLED_TTL` ago.
    #[error("the request was cancelled")]
    Cancelled,
    /// No slot or memory is free.
    #[error("no slot or too little memory is free: retry later or at another engine")]
    Full,
    /// The engine has the other of the roles `prefill` and `decode`.
    #[error("the engine does not have the role for this call")]
    WrongRole,
    /// An injected fault made this import fail.
    #[error("the import was refused by an injected fault")]
    InjectedFailure,
    /// The transfer of the KV cache failed; the slot and memory taken for it are free again.
    #[error("the transfer of the KV cache failed: retry the import or prefill again")]
    TransferFailed,
}

impl Refusal {
    pub fn status(&self) -> hyper::StatusCode {
        match self {
            Self::MissingFencingNumber => hyper::StatusCode::BAD_REQUEST,
            Self::UnknownModel | Self::UnknownRequest | Self::UnknownExport => {
                hyper::StatusCode::NOT_FOUND
            }
            Self::StaleFencingNumber { .. } | Self::AlreadyHeld => hyper::StatusCode::CONFLICT,
            Self::Cancelled => hyper::StatusCode::GONE,
            Self::Full | Self::WrongRole | Self::InjectedFailure => {
                hyper::StatusCode::SERVICE_UNAVAILABLE
            }
            Self::TransferFailed => hyper::StatusCode::BAD_GATEWAY,
        }
    }
}
