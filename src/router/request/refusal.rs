//! Refusals: how a request ends without a server's answer.

use crate::clock;
use crate::http::body;
use crate::router::balancer;
use crate::router::permits;
use crate::router::protocol;
use crate::router::request;
use crate::router::retry_after;

/// Why a request ends without a server's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The request did not run and will not; the caller may send it again after the given time.
    NotRun(&'static str, clock::Millis),
    /// The account is over its quota; the request did not run. The caller may send again after the
    /// given time.
    OverQuota(clock::Millis),
    /// The request may have run.
    MayHaveRun(&'static str),
    /// The request may have run, and its deadline has passed.
    TimedOut(&'static str),
    /// No route matches.
    NoRoute,
    /// The API key is missing or unknown.
    InvalidKey,
    /// The head or the body can't be read, or the body did not arrive in time.
    Malformed,
    /// The body is over the size limit.
    TooLarge,
}

impl Refusal {
    /// Returns the refusal of a request for which no server can be picked; `full` is the cause when
    /// all are at capacity.
    pub fn no_server(
        now: clock::Millis,
        error: balancer::PickError,
        full: retry_after::Cause,
    ) -> Self {
        let (reason, cause) = match error {
            balancer::PickError::Quiet { until } => {
                let delay = retry_after::delay_after(until - now, rand::random());
                return Self::NotRun("servers want no calls", delay);
            }
            balancer::PickError::Full => ("servers full", full),
            // Not known here when they take a call; see `limited`.
            balancer::PickError::Limited => ("servers limit calls", full),
            balancer::PickError::Leaving => ("servers leaving", retry_after::Cause::ServersLeaving),
            balancer::PickError::Evacuated => {
                ("data centre evacuated", retry_after::Cause::Evacuated)
            }
            balancer::PickError::NoServer => ("no server", retry_after::Cause::ServersFailed),
        };
        Self::NotRun(reason, request::draw_retry_after(cause))
    }

    /// Returns the refusal of a request for which the servers take no call in time, by the limits
    /// that they name.
    pub const fn limited(denial: permits::Denial) -> Self {
        Self::NotRun("servers limit calls", denial.retry_after)
    }

    pub const fn status(self) -> hyper::StatusCode {
        match self {
            Self::NotRun(..) => hyper::StatusCode::SERVICE_UNAVAILABLE,
            Self::OverQuota(_) => hyper::StatusCode::TOO_MANY_REQUESTS,
            Self::MayHaveRun(_) => hyper::StatusCode::BAD_GATEWAY,
            Self::TimedOut(_) => hyper::StatusCode::GATEWAY_TIMEOUT,
            Self::NoRoute => hyper::StatusCode::NOT_FOUND,
            Self::InvalidKey => hyper::StatusCode::UNAUTHORIZED,
            Self::Malformed => hyper::StatusCode::BAD_REQUEST,
            Self::TooLarge => hyper::StatusCode::PAYLOAD_TOO_LARGE,
        }
    }

    /// Returns the reason for logs, metrics and the body of the answer.
    pub const fn reason(self) -> &'static str {
        match self {
            Self::NotRun(reason, _) | Self::MayHaveRun(reason) | Self::TimedOut(reason) => reason,
            Self::OverQuota(_) => "over quota",
            Self::NoRoute => "no route",
            Self::InvalidKey => "unknown key",
            Self::Malformed => "unreadable request",
            Self::TooLarge => "body too large",
        }
    }

    /// Returns whether the request certainly did not run.
    pub const fn is_not_run(self) -> bool {
        !matches!(self, Self::MayHaveRun(_) | Self::TimedOut(_))
    }

    pub(super) fn into_response(self, codec: &dyn protocol::Codec) -> request::Response {
        let mut response = body::answer(self.status(), self.reason());
        let retry_after = match self {
            Self::NotRun(_, retry_after) | Self::OverQuota(retry_after) => retry_after,
            _ => return response,
        };
        codec.write_retry_after(response.headers_mut(), retry_after);
        response
    }
}
