//! Refusals: how a request ends without a server's answer.

use hyper::header;

use crate::clock;
use crate::fleet::forward;
use crate::http::body;
use crate::router::balancer;
use crate::router::permits;
use crate::router::protocol;
use crate::router::request;
use crate::router::retry_after;

/// The statuses by which an answer promises its caller that the request has not run and never will.
const PROMISES: [hyper::StatusCode; 4] = [
    hyper::StatusCode::REQUEST_TIMEOUT,
    hyper::StatusCode::MISDIRECTED_REQUEST,
    hyper::StatusCode::TOO_MANY_REQUESTS,
    hyper::StatusCode::SERVICE_UNAVAILABLE,
];

/// Returns whether a status promises that the request has not run.
pub fn is_promise(status: hyper::StatusCode) -> bool {
    PROMISES.contains(&status)
}

/// Why a request ends without a server's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The request did not run and will not; the caller may send it again after the given time.
    NotRun(&'static str, clock::Millis),
    /// No server could be reached, and the request did not run; the caller may send it again after the given
    /// time.
    Unreached(&'static str, clock::Millis),
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

/// How a request ends here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ended {
    pub refusal: Refusal,
    /// What was done with the request, if another router may serve it; `None` if it must be refused.
    pub pass_on: Option<forward::Progress>,
}

/// The attempts of a request at servers.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    /// The servers that got the request, or a prefill of it.
    pub sent: u32,
    pub may_have_run: bool,
    /// Whether a further attempt is allowed.
    pub may_go_on: bool,
    pub is_timed_out: bool,
}

impl Ended {
    /// Returns how a request ends after its attempts, when there is no further one here for the reason of
    /// `refusal`.
    pub const fn new(refusal: Refusal, attempts: Attempts) -> Self {
        let pass_on = match refusal {
            Refusal::Unreached(..) if attempts.sent == 0 => Some(forward::Progress::Admitted),
            Refusal::Unreached(..) if attempts.may_go_on => Some(forward::Progress::Sent),
            _ => None,
        };
        let refusal = match refusal {
            _ if attempts.may_have_run && attempts.is_timed_out => {
                Refusal::TimedOut("server silent")
            }
            _ if attempts.may_have_run => Refusal::MayHaveRun("server failed"),
            // It was sent to servers, which refused it.
            Refusal::Unreached(reason, delay) if attempts.sent > 0 => {
                Refusal::NotRun(reason, delay)
            }
            refusal => refusal,
        };
        Self { refusal, pass_on }
    }

    /// Returns the answer of the router to which the request was passed on.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the answer promises that the request has not run, which the other router can't
    /// know of the attempts here.
    pub fn accept(self, response: request::Response) -> Result<request::Response, Refusal> {
        if is_promise(response.status()) && !self.refusal.is_not_run() {
            Err(self.refusal)
        } else {
            Ok(response)
        }
    }
}

/// Returns whether another router's answer with a promise is that router's own refusal.
///
/// A router of an earlier release also passes on what servers answer with such a status after they have run
/// the request. Its own refusals have no header but the time to send again.
pub fn is_own_refusal(status: hyper::StatusCode, headers: &header::HeaderMap) -> bool {
    let is_own_status = matches!(
        status,
        hyper::StatusCode::SERVICE_UNAVAILABLE | hyper::StatusCode::TOO_MANY_REQUESTS
    );
    is_own_status && headers.len() == 1 && headers.contains_key(header::RETRY_AFTER)
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
            balancer::PickError::NoServer => return Self::unreached("no server"),
        };
        Self::NotRun(reason, request::draw_retry_after(cause))
    }

    /// Returns the refusal of a request for which no server could be reached.
    pub fn unreached(reason: &'static str) -> Self {
        let delay = request::draw_retry_after(retry_after::Cause::ServersFailed);
        Self::Unreached(reason, delay)
    }

    /// Returns the refusal of a request for which the servers take no call in time, by the limits
    /// that they name.
    pub const fn limited(denial: permits::Denial) -> Self {
        Self::NotRun("servers limit calls", denial.retry_after)
    }

    pub const fn status(self) -> hyper::StatusCode {
        match self {
            Self::NotRun(..) | Self::Unreached(..) => hyper::StatusCode::SERVICE_UNAVAILABLE,
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
            Self::NotRun(reason, _)
            | Self::Unreached(reason, _)
            | Self::MayHaveRun(reason)
            | Self::TimedOut(reason) => reason,
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

    /// Returns whether no server could be reached, so that another router may serve the request.
    pub const fn is_unreached(self) -> bool {
        matches!(self, Self::Unreached(..))
    }

    /// Returns the time after which the caller may send again; `None` when it is not told any.
    pub const fn retry_after(self) -> Option<clock::Millis> {
        match self {
            Self::NotRun(_, delay) | Self::Unreached(_, delay) | Self::OverQuota(delay) => {
                Some(delay)
            }
            _ => None,
        }
    }

    pub(super) fn into_response(self, codec: &dyn protocol::Codec) -> request::Response {
        let mut response = body::answer(self.status(), self.reason());
        if let Some(retry_after) = self.retry_after() {
            codec.write_retry_after(response.headers_mut(), retry_after);
        }
        response
    }
}
