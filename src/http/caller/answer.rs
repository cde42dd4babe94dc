//! Responses to callers; each states in a header whether the request ran.

use std::fmt;

use bytes::Bytes;
use hyper::header;

use crate::clock;
use crate::http::body;
use crate::id;
use crate::macros;

/// The header that holds the [`Outcome`] of the request.
pub const OUTCOME_HEADER: &str = "buckthorncleat-outcome";
/// The header that holds the request id, which the `timeline` command takes.
pub const REQUEST_HEADER: &str = "buckthorncleat-request";
/// The header that lists addresses of other gateways to use instead.
pub const ENTRIES_HEADER: &str = "buckthorncleat-entries";

pub type Response = hyper::Response<body::Body>;

macros::data! {copy
    /// Whether a request ran.
    pub enum Outcome {
        /// A backend server answered the request, or is answering it.
        Ran,
        /// The request did not run and will not.
        NotRun,
        /// The request may have run.
        Unknown,
    }
}

impl Outcome {
    /// Returns the value of the outcome header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

/// An error response: the status, the reason and when to send the request again.
#[derive(Clone, Debug)]
pub struct Refusal {
    pub status: u16,
    /// The error code, for programs.
    pub code: &'static str,
    /// The message for people, with the remedy.
    pub message: String,
    pub outcome: Outcome,
    /// How long to wait before sending the request again; `None` when a retry does not help.
    pub retry_after: Option<clock::Millis>,
    /// Addresses of other gateways to use instead.
    pub entries: Vec<std::net::SocketAddr>,
}

impl Refusal {
    /// Makes a refusal of a request that did not run.
    pub fn not_run(status: u16, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            outcome: Outcome::NotRun,
            retry_after: None,
            entries: Vec::new(),
        }
    }

    /// Makes an error response for a request that may have run.
    pub fn unknown(status: u16, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::Unknown,
            ..Self::not_run(status, code, message)
        }
    }

    /// Sets how long the caller should wait before sending the request again.
    #[must_use]
    pub fn retry_after(self, after: clock::Millis) -> Self {
        Self {
            retry_after: Some(after),
            ..self
        }
    }

    /// Sets the addresses of other gateways to use instead.
    #[must_use]
    pub fn entries(self, entries: Vec<std::net::SocketAddr>) -> Self {
        Self { entries, ..self }
    }

    /// Returns the JSON body, an `error` object as in common completion APIs.
    pub fn to_json(&self) -> serde_json::Value {
        serde_json::json!({
            "error": {
                "message": self.message,
                "type": error_type(self.status),
                "code": self.code,
            }
        })
    }

    /// Makes the HTTP response, with the wait in `retry-after` (seconds) and `retry-after-ms`.
    pub fn into_response(self, request: id::RequestId) -> Response {
        let body = Bytes::from(self.to_json().to_string());
        let mut builder = head(self.status, self.outcome, request)
            .header(header::CONTENT_TYPE, "application/json");
        if let Some(after) = self.retry_after {
            builder = builder
                .header(header::RETRY_AFTER, whole_seconds(after))
                .header("retry-after-ms", after.as_u64());
        }
        if !self.entries.is_empty() {
            let list: Vec<_> = self.entries.iter().map(ToString::to_string).collect();
            builder = builder.header(ENTRIES_HEADER, list.join(", "));
        }
        finish(builder, body::Body::from_bytes(body))
    }
}

fn error_type(status: u16) -> &'static str {
    match status {
        401 | 403 => "authentication_error",
        429 => "rate_limit_error",
        400..=499 => "invalid_request_error",
        _ => "server_error",
    }
}

/// Rounds up, so that a caller that waits this long does not retry too early; at least one second.
fn whole_seconds(time: clock::Millis) -> u64 {
    time.as_u64().div_ceil(1000).max(1)
}

/// Starts a response with the headers that every response has.
pub fn head(
    status: u16,
    outcome: Outcome,
    request: id::RequestId,
) -> hyper::http::response::Builder {
    hyper::Response::builder()
        .status(status)
        .header(OUTCOME_HEADER, outcome.as_str())
        .header(REQUEST_HEADER, request.to_string())
}

/// Completes a response; one with an invalid header becomes an empty response with status 500.
pub fn finish(builder: hyper::http::response::Builder, body: body::Body) -> Response {
    builder.body(body).unwrap_or_else(|_| {
        let mut response = hyper::Response::new(body::Body::Full(None));
        *response.status_mut() = hyper::StatusCode::INTERNAL_SERVER_ERROR;
        response
    })
}

/// Makes a response with `value` as its JSON body.
pub fn json<T: serde::Serialize>(
    status: u16,
    outcome: Outcome,
    request: id::RequestId,
    value: &T,
) -> Response {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let builder = head(status, outcome, request).header(header::CONTENT_TYPE, "application/json");
    finish(builder, body::Body::from_bytes(body))
}
