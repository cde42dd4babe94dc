//! The error of a command, with its exit code.

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
    /// The control group or a gateway refused the request.
    Refused(Box<wire::Problem>),
    /// The command failed in another way, such as by invalid input or for want of an answer.
    Error(error::Error),
    /// A change got no answer, and may have been made; the text says how to send it again.
    Unanswered(error::Error, String),
}

impl Failure {
    /// Makes the failure for an answer whose status is not a success.
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

    /// Adds how to send the change again, if it got no answer.
    #[must_use]
    pub fn with_resend_hint(self, write: &client::Write) -> Self {
        match self {
            Self::Error(e) if e.is_unavailable() => {
                let hint = format!(
                    "the change may have been made; run the same command again with \
                     `--operation {}`",
                    write.operation
                );
                Self::Unanswered(e, hint)
            }
            other => other,
        }
    }

    /// Returns the exit code: 1 if refused, 3 if unavailable, 2 on other errors such as bad input.
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

    /// Returns whether the change was refused because the configuration had changed meanwhile.
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
            Self::Unanswered(e, hint) => write!(f, "{e}\n{hint}"),
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
