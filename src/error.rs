//! The error type of the crate: a boxed, private code and its category.

use std::fmt;
use std::io;
use std::result;

use crate::clock;
use crate::id;

/// A result whose error is [`Error`].
pub type Result<T> = result::Result<T, Error>;

/// An error whose message names the field or operation, the value that came and the remedy.
pub struct Error {
    code: Box<ErrorCode>,
}

/// The category of an [`Error`], as returned by [`Error::classify`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Category {
    /// A setting, a sheet or a request contains an invalid value.
    Input,
    /// A change was based on an older revision or conflicts with another change.
    Conflict,
    /// The item named does not exist.
    Missing,
    /// The operation can't be done now; it may succeed later or at another instance.
    Unavailable,
    /// Data on disk or from the network is corrupt or fails authentication.
    Data,
    /// The operating system returned an error.
    Io,
}

#[derive(Debug, thiserror::Error)]
enum ErrorCode {
    #[error("{field}: bad value `{value}`: {remedy}")]
    BadValue {
        field: String,
        value: String,
        remedy: String,
    },
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
    Several(Vec<Error>),
    #[error("conflict at revision {current}: {reason}; read the current state and try again")]
    Conflict {
        current: id::Revision,
        reason: String,
    },
    #[error("{kind} `{name}` not found: {remedy}")]
    Missing {
        kind: &'static str,
        name: String,
        remedy: &'static str,
    },
    #[error("not available: {reason}; try again in {retry_after}")]
    Unavailable {
        reason: String,
        retry_after: clock::Millis,
    },
    #[error("{what} is damaged: {remedy}")]
    Damaged { what: String, remedy: String },
    #[error("{what} can't be read: {remedy}")]
    Unreadable { what: String, remedy: String },
    #[error("{action}: {source}")]
    Io { action: String, source: io::Error },
}

impl Error {
    /// Makes the error for an invalid value, with its field and the remedy.
    pub fn bad_value(
        field: impl Into<String>,
        value: impl fmt::Display,
        remedy: impl Into<String>,
    ) -> Self {
        ErrorCode::BadValue {
            field: field.into(),
            value: value.to_string(),
            remedy: remedy.into(),
        }
        .into()
    }

    /// Joins several errors into one that prints each on its own line.
    pub fn several(errors: Vec<Self>) -> Self {
        ErrorCode::Several(errors).into()
    }

    /// Makes the error for a change that conflicts with the state at revision `current`.
    pub fn conflict(current: id::Revision, reason: impl Into<String>) -> Self {
        let reason = reason.into();
        ErrorCode::Conflict { current, reason }.into()
    }

    /// Makes the error for an item that does not exist.
    pub fn missing(kind: &'static str, name: impl fmt::Display, remedy: &'static str) -> Self {
        let name = name.to_string();
        ErrorCode::Missing { kind, name, remedy }.into()
    }

    /// Makes the error for an operation that can't be done now, and may be tried again after
    /// `retry_after`.
    pub fn unavailable(reason: impl Into<String>, retry_after: clock::Millis) -> Self {
        let reason = reason.into();
        ErrorCode::Unavailable {
            reason,
            retry_after,
        }
        .into()
    }

    /// Makes the error for data that is corrupt or fails authentication.
    pub fn damaged(what: impl Into<String>, remedy: impl Into<String>) -> Self {
        ErrorCode::Damaged {
            what: what.into(),
            remedy: remedy.into(),
        }
        .into()
    }

    /// Makes the error for intact data that this build can't read.
    pub fn unreadable(what: impl Into<String>, remedy: impl Into<String>) -> Self {
        ErrorCode::Unreadable {
            what: what.into(),
            remedy: remedy.into(),
        }
        .into()
    }

    /// Wraps an error of the operating system; `action` names the failed operation.
    pub fn io(action: impl Into<String>, source: io::Error) -> Self {
        let action = action.into();
        ErrorCode::Io { action, source }.into()
    }

    pub fn classify(&self) -> Category {
        match &*self.code {
            ErrorCode::BadValue { .. } | ErrorCode::Several(_) => Category::Input,
            ErrorCode::Conflict { .. } => Category::Conflict,
            ErrorCode::Missing { .. } => Category::Missing,
            ErrorCode::Unavailable { .. } => Category::Unavailable,
            ErrorCode::Damaged { .. } | ErrorCode::Unreadable { .. } => Category::Data,
            ErrorCode::Io { .. } => Category::Io,
        }
    }

    /// Returns whether the error is a conflict with another change.
    pub fn is_conflict(&self) -> bool {
        self.classify() == Category::Conflict
    }

    /// Returns whether the operation may succeed when tried again later.
    pub fn is_unavailable(&self) -> bool {
        self.classify() == Category::Unavailable
    }

    /// Returns whether an operation failed since there is no space left on the disk.
    pub fn is_storage_full(&self) -> bool {
        let ErrorCode::Io { source, .. } = &*self.code else {
            return false;
        };
        matches!(
            source.kind(),
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded
        )
    }

    /// Returns the time after which to try again, if the error is
    /// [unavailable](Self::is_unavailable).
    pub fn retry_after(&self) -> Option<clock::Millis> {
        match &*self.code {
            ErrorCode::Unavailable { retry_after, .. } => Some(*retry_after),
            _ => None,
        }
    }

    /// Returns the revision that was current when a change was refused, if the error is a
    /// [conflict](Self::is_conflict).
    pub fn current_revision(&self) -> Option<id::Revision> {
        match &*self.code {
            ErrorCode::Conflict { current, .. } => Some(*current),
            _ => None,
        }
    }
}

impl From<ErrorCode> for Error {
    fn from(code: ErrorCode) -> Self {
        Self {
            code: Box::new(code),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.code.fmt(f)
    }
}

impl fmt::Debug for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Error({self})")
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match &*self.code {
            ErrorCode::Io { source, .. } => Some(source),
            _ => None,
        }
    }
}
