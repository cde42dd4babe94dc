//! Builds the responses of the admin interface.

use bytes::Bytes;
use http_body_util::Full;
use hyper::StatusCode;
use hyper::header;
use serde::Serialize;

use crate::error;
use crate::http::admin::wire;
use crate::id;

/// A response with a complete body.
pub type Reply = hyper::Response<Full<Bytes>>;

/// Returns a JSON response; an empty one with status 500 when `body` can't be serialised.
pub fn json<T: Serialize>(status: StatusCode, body: &T) -> Reply {
    let body = match serde_json::to_vec(body) {
        Ok(body) => body,
        Err(_) => return empty(StatusCode::INTERNAL_SERVER_ERROR),
    };
    let mut reply = hyper::Response::new(Full::new(Bytes::from(body)));
    *reply.status_mut() = status;
    set_header(&mut reply, header::CONTENT_TYPE, "application/json");
    reply
}

/// Returns a JSON response with status 200 whose `ETag` is the revision it was read at.
pub fn at_revision<T: Serialize>(revision: id::Revision, body: &T) -> Reply {
    let mut reply = json(StatusCode::OK, body);
    set_header(&mut reply, header::ETAG, &format!("\"{revision}\""));
    reply
}

/// Returns a text response in the Prometheus exposition format, version 0.0.4.
pub fn text(body: String) -> Reply {
    let mut reply = hyper::Response::new(Full::new(Bytes::from(body)));
    set_header(
        &mut reply,
        header::CONTENT_TYPE,
        "text/plain; version=0.0.4",
    );
    reply
}

/// Returns an error response with the status that belongs to the reason.
pub fn problem(problem: &wire::Problem) -> Reply {
    json(status_of(problem.reason), problem)
}

/// Returns an error response with a reason and a message only.
pub fn refuse(reason: wire::Reason, message: impl Into<String>) -> Reply {
    problem(&wire::Problem::new(reason, message))
}

/// Returns an error response. `leader` is included when the error is that this member can't serve
/// the request now, and the wait before a retry when the error has one.
pub fn from_error(error: &error::Error, leader: Option<id::InstanceId>) -> Reply {
    let reason = match error.classify() {
        error::Category::Input => wire::Reason::BadRequest,
        error::Category::Conflict => wire::Reason::Conflict,
        error::Category::Missing => wire::Reason::NotFound,
        error::Category::Unavailable => wire::Reason::Unavailable,
        error::Category::Data | error::Category::Io => wire::Reason::Internal,
    };
    let mut body = wire::Problem::new(reason, error.to_string());
    body.revision = error.current_revision();
    if reason == wire::Reason::Unavailable {
        body.leader = leader;
    }
    let mut reply = problem(&body);
    if let Some(after) = error.retry_after() {
        let seconds = after.as_u64().div_ceil(1000).max(1);
        set_header(&mut reply, header::RETRY_AFTER, &seconds.to_string());
    }
    reply
}

/// Sets a header; does nothing when the value is not valid in a header.
pub fn set_header(reply: &mut Reply, name: header::HeaderName, value: &str) {
    if let Ok(value) = header::HeaderValue::from_str(value) {
        reply.headers_mut().insert(name, value);
    }
}

fn empty(status: StatusCode) -> Reply {
    let mut reply = hyper::Response::new(Full::new(Bytes::new()));
    *reply.status_mut() = status;
    reply
}

fn status_of(reason: wire::Reason) -> StatusCode {
    match reason {
        wire::Reason::BadRequest => StatusCode::BAD_REQUEST,
        wire::Reason::Unauthorised => StatusCode::UNAUTHORIZED,
        wire::Reason::NotFound => StatusCode::NOT_FOUND,
        wire::Reason::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
        wire::Reason::Timeout => StatusCode::REQUEST_TIMEOUT,
        wire::Reason::OperationReused => StatusCode::CONFLICT,
        wire::Reason::Conflict => StatusCode::PRECONDITION_FAILED,
        wire::Reason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        wire::Reason::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
        wire::Reason::Internal => StatusCode::INTERNAL_SERVER_ERROR,
    }
}
