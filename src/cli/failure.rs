//! Why a command of the operators' tool failed.

use std::fmt;
use std::result;

use crate::cli::client;
use crate::error;
use crate::http::admin::wire;

/// A result with a [`Failure`].
pub type Result<T> = result::Result<T, Failure>;

/// Why a command failed.
#[derive(Debug)]
pub enum Failure {
    /// The control group refused it.
    Refused(Box<wire::Problem>),
    /// It could not be done.
    Error(error::Error),
    /// No answer came to a change; it may have been made.
    Unanswered(error::Error, String),
}

impl Failure {
    /// Reads a refusal.
    pub fn from_answer(answer: &client::Answer) -> Self {
        match serde_json::from_slice(&answer.body) {
            Ok(problem) => Self::Refused(Box::new(problem)),
            Err(_) => {
                let text = String::from_utf8_lossy(&answer.body);
                let message = format!("{}: {text}", answer.status);
                let reason = wire::Reason::Internal;
                Self::Refused(Box::new(wire::Problem::new(reason, message)))
            }
        }
    }

    /// Adds how to send a change again, when no answer came to it.
    #[must_use]
    pub fn of(self, write: &client::Write) -> Self {
        match self {
            Self::Error(e) if e.is_unavailable() => {
                let again = format!(
                    "the change may have been made; run the same command again with \
                     `--operation {}`",
                    write.operation
                );
                Self::Unanswered(e, again)
            }
            other => other,
        }
    }

    /// Returns the exit code: 1 refused, 2 bad input, 3 not available.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Refused(problem) if problem.reason == wire::Reason::Unavailable => 3,
            Self::Refused(_) => 1,
            Self::Unanswered(..) => 3,
            Self::Error(e) if e.is_unavailable() => 3,
            Self::Error(e) if e.is_conflict() => 1,
            Self::Error(_) => 2,
        }
    }

    /// Tells whether the configuration changed since it was read.
    pub fn is_conflict(&self) -> bool {
        matches!(self, Self::Refused(p) if p.reason == wire::Reason::Conflict)
    }
}

impl From<error::Error> for Failure {
    fn from(e: error::Error) -> Self {
        Self::Error(e)
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(problem) => write_problem(f, problem),
            Self::Error(e) => e.fmt(f),
            Self::Unanswered(e, again) => write!(f, "{e}\n{again}"),
        }
    }
}

fn write_problem(f: &mut fmt::Formatter<'_>, problem: &wire::Problem) -> fmt::Result {
    f.write_str(&problem.message)?;
    if let Some(revision) = problem.revision {
        write!(f, "\ncurrent revision: {revision}")?;
    }
    for subject in &problem.changed {
        write!(f, "\nchanged since: {subject}")?;
    }
    Ok(())
}
