//! The error of the crate: one boxed type with a private code.

use std::fmt;
use std::io;
use std::result;

use crate::clock;
use crate::id;

/// A result with the error of this crate.
pub type Result<T> = result::Result<T, Error>;

/// An error whose message names what is wrong and the remedy.
pub struct Error {
    code: Box<ErrorCode>,
}

/// The broad kind of an [`Error`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Category {
    /// A setting, sheet or request carries a bad value.
    Input,
    /// A change was made on top of an older revision, or clashes with another.
    Conflict,
    /// The thing named does not exist.
    Missing,
    /// The work can't be done now; try again later or elsewhere.
    Unavailable,
    /// The data on disk or on the wire is damaged or not authentic.
    Data,
    /// The operating system reported an error.
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
    #[error("not available: {reason}; try again in {after}")]
    Unavailable {
        reason: String,
        after: clock::Millis,
    },
    #[error("{what} is damaged: {remedy}")]
    Damaged { what: String, remedy: String },
    #[error("{doing}: {source}")]
    Io { doing: String, source: io::Error },
}

impl Error {
    /// Reports a bad value: the field, what it holds and what to do about it.
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

    /// Joins several errors into one that prints them a line each.
    pub fn several(errors: Vec<Self>) -> Self {
        ErrorCode::Several(errors).into()
    }

    /// Reports a change that lost against another.
    pub fn conflict(current: id::Revision, reason: impl Into<String>) -> Self {
        let reason = reason.into();
        ErrorCode::Conflict { current, reason }.into()
    }

    /// Reports a name that is not known.
    pub fn missing(kind: &'static str, name: impl fmt::Display, remedy: &'static str) -> Self {
        let name = name.to_string();
        ErrorCode::Missing { kind, name, remedy }.into()
    }

    /// Reports work that can't be done now, and when to try again.
    pub fn unavailable(reason: impl Into<String>, after: clock::Millis) -> Self {
        let reason = reason.into();
        ErrorCode::Unavailable { reason, after }.into()
    }

    /// Reports data that fails its checks.
    pub fn damaged(what: impl Into<String>, remedy: impl Into<String>) -> Self {
        ErrorCode::Damaged {
            what: what.into(),
            remedy: remedy.into(),
        }
        .into()
    }

    /// Wraps an error of the operating system with what was being done.
    pub fn io(doing: impl Into<String>, source: io::Error) -> Self {
        let doing = doing.into();
        ErrorCode::Io { doing, source }.into()
    }

    /// Returns the broad kind of the error.
    pub fn classify(&self) -> Category {
        match &*self.code {
            ErrorCode::BadValue { .. } | ErrorCode::Several(_) => Category::Input,
            ErrorCode::Conflict { .. } => Category::Conflict,
            ErrorCode::Missing { .. } => Category::Missing,
            ErrorCode::Unavailable { .. } => Category::Unavailable,
            ErrorCode::Damaged { .. } => Category::Data,
            ErrorCode::Io { .. } => Category::Io,
        }
    }

    /// Tells whether the error is a conflict with another change.
    pub fn is_conflict(&self) -> bool {
        self.classify() == Category::Conflict
    }

    /// Tells whether the work may succeed when tried again later.
    pub fn is_unavailable(&self) -> bool {
        self.classify() == Category::Unavailable
    }

    /// Returns when to try again, for an error that is [unavailable](Self::is_unavailable).
    pub fn retry_after(&self) -> Option<clock::Millis> {
        match &*self.code {
            ErrorCode::Unavailable { after, .. } => Some(*after),
            _ => None,
        }
    }

    /// Returns the revision that won, for an error that is a [conflict](Self::is_conflict).
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
