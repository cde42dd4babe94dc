//! Why an engine does not do what it is asked.

/// A refusal; nothing was started unless it says so.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The header with the fencing number is missing or no number.
    #[error("no fencing number: send it in the header x-fencing-number")]
    NoFencing,
    /// The model is not loaded here.
    #[error("the model is not loaded here")]
    UnknownModel,
    /// The request is not known, or ended too long ago.
    #[error("the request is not known")]
    UnknownRequest,
    /// The exported KV cache expired, was fetched, or never was.
    #[error("the export is not known or has expired")]
    UnknownExport,
    /// The order carries a fencing number below the highest seen.
    #[error("the fencing number is below {seen}")]
    OldFencing {
        /// The highest number seen.
        seen: buckthorncleat::id::FencingNumber,
    },
    /// The request is held here already.
    #[error("the request is held already")]
    AlreadyHeld,
    /// The request was cancelled.
    #[error("the request was cancelled")]
    Cancelled,
    /// No slot or memory is free.
    #[error("no free slot or memory")]
    Full,
    /// The engine does other work now.
    #[error("the engine has another role")]
    OtherRole,
    /// The engine was told to fail.
    #[error("the engine was told to refuse this import")]
    ToldToFail,
    /// The transfer of the KV cache broke; nothing is held here.
    #[error("the transfer broke")]
    TransferBroke,
}

impl Refusal {
    /// Returns the HTTP status.
    pub fn status(&self) -> hyper::StatusCode {
        match self {
            Self::NoFencing => hyper::StatusCode::BAD_REQUEST,
            Self::UnknownModel | Self::UnknownRequest | Self::UnknownExport => {
                hyper::StatusCode::NOT_FOUND
            }
            Self::OldFencing { .. } | Self::AlreadyHeld => hyper::StatusCode::CONFLICT,
            Self::Cancelled => hyper::StatusCode::GONE,
            Self::Full | Self::OtherRole | Self::ToldToFail => {
                hyper::StatusCode::SERVICE_UNAVAILABLE
            }
            Self::TransferBroke => hyper::StatusCode::BAD_GATEWAY,
        }
    }
}
