//! Handles one request of the admin interface.

use std::sync;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Limited;
use hyper::Method;
use hyper::header;

use crate::clock;
use crate::error;
use crate::event;
use crate::http::admin::member;
use crate::http::admin::read;
use crate::http::admin::reply;
use crate::http::admin::target;
use crate::http::admin::token;
use crate::http::admin::wire;
use crate::http::admin::write;
use crate::replica;
use crate::replica::core::members;
use crate::state::command;

/// Limits on the time and size of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The longest wait for a request's head, also on an idle connection.
    pub head_timeout: clock::Millis,
    /// The longest wait for a complete body.
    pub body_timeout: clock::Millis,
    /// How long running requests may go on after a stop.
    pub stop_timeout: clock::Millis,
    pub max_body_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_timeout: clock::Millis::from_secs(10),
            body_timeout: clock::Millis::from_secs(10),
            stop_timeout: clock::Millis::from_secs(15),
            max_body_bytes: 8 << 20,
        }
    }
}

/// The admin interface over a control group.
#[derive(Clone, Debug)]
pub struct Service {
    group: replica::Group,
    operators: token::Operators,
    recorder: sync::Arc<event::Recorder>,
    metrics: Option<metrics_exporter_prometheus::PrometheusHandle>,
    limits: Limits,
}

impl Service {
    /// Makes a service with the default limits; without `metrics`, `/metrics` is empty.
    pub fn new(
        group: replica::Group,
        operators: token::Operators,
        recorder: sync::Arc<event::Recorder>,
        metrics: Option<metrics_exporter_prometheus::PrometheusHandle>,
    ) -> Self {
        Self {
            group,
            operators,
            recorder,
            metrics,
            limits: Limits::default(),
        }
    }

    #[must_use]
    pub fn with_limits(self, limits: Limits) -> Self {
        Self { limits, ..self }
    }

    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Handles a request; an error becomes an error response.
    pub async fn handle<B>(&self, req: hyper::Request<B>) -> reply::Reply
    where
        B: hyper::body::Body,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let (head, body) = req.into_parts();
        let (target, operator) = match self.check_head(&head) {
            Ok(checked) => checked,
            Err(refusal) => return *refusal,
        };
        if head.method == Method::GET {
            return self.read(&head, &target).await;
        }
        let body = match read_body(&head, body, self.limits).await {
            Ok(body) => body,
            Err(refusal) => return *refusal,
        };
        if let target::Target::ControlMember(name) = &target {
            let change = member::change(&head.method, name, &body);
            return match change {
                Ok(change) => self.change_members(operator, change).await,
                Err(e) => reply::from_error(&e, None),
            };
        }
        match write::operation(operator, &head, &target, &body) {
            Ok(operation) => self.write(operation).await,
            Err(e) => reply::from_error(&e, None),
        }
    }

    /// Checks headers, token, path and method; returns the target and the operator's name.
    fn check_head(
        &self,
        head: &hyper::http::request::Parts,
    ) -> Result<(target::Target, &str), Box<reply::Reply>> {
        let refuse = |reason, message: &str| Box::new(reply::refuse(reason, message));
        if let Some((name, _)) = head.headers.iter().find(|(_, v)| v.to_str().is_err()) {
            let message = format!("header {name}: use visible ASCII only");
            return Err(refuse(wire::Reason::BadRequest, &message));
        }
        let Some(operator) = self.operator(&head.headers) else {
            let message = "send `Authorization: Bearer` with an operator's token";
            let mut refusal = reply::refuse(wire::Reason::Unauthorised, message);
            reply::set_header(&mut refusal, header::WWW_AUTHENTICATE, "Bearer");
            return Err(Box::new(refusal));
        };
        let Some(target) = target::Target::from_path(head.uri.path()) else {
            let message = "unknown path; docs/ADMIN.md lists all";
            return Err(refuse(wire::Reason::NotFound, message));
        };
        if !target.methods().contains(&head.method) {
            let methods: Vec<_> = target.methods().iter().map(Method::as_str).collect();
            let allow = methods.join(", ");
            let message = format!("use {allow} here");
            let mut refusal = reply::refuse(wire::Reason::MethodNotAllowed, message);
            reply::set_header(&mut refusal, header::ALLOW, &allow);
            return Err(Box::new(refusal));
        }
        Ok((target, operator))
    }

    fn operator(&self, headers: &header::HeaderMap) -> Option<&str> {
        let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
        let token = value.strip_prefix("Bearer ")?;
        self.operators.name_of(token.trim().as_bytes())
    }

    async fn change_members(&self, operator: &str, change: members::MemberChange) -> reply::Reply {
        log::info!("operator {operator} changes the membership of the control group: {change:?}");
        if let Err(e) = self.group.change_members(change).await {
            return self.error_reply(&e);
        }
        let revision = self.group.with_state(|s| s.config().revision);
        ok(&wire::Written { revision })
    }

    async fn write(&self, operation: command::Operation) -> reply::Reply {
        let command = command::Command::Operate(operation);
        match self.group.propose(command).await {
            Ok(answer) => write::answer(answer),
            Err(e) => self.error_reply(&e),
        }
    }

    async fn read(
        &self,
        head: &hyper::http::request::Parts,
        target: &target::Target,
    ) -> reply::Reply {
        match self.try_read(head, target).await {
            Ok(reply) => reply,
            Err(e) => self.error_reply(&e),
        }
    }

    async fn try_read(
        &self,
        head: &hyper::http::request::Parts,
        target: &target::Target,
    ) -> error::Result<reply::Reply> {
        let query = head.uri.query();
        match target {
            target::Target::Status => Ok(ok(&read::status(&self.group))),
            target::Target::Events => {
                let since = read::since_stamp(query)?;
                let events = self.recorder.events_since(since);
                Ok(ok(&wire::Events { events }))
            }
            target::Target::Metrics => Ok(reply::text(self.render_metrics())),
            target::Target::Collection(kind) => {
                self.group.ensure_linearizable().await?;
                let list = |s: &command::State| read::collection(s.config(), *kind);
                Ok(self.group.with_state(list))
            }
            target::Target::Item(kind, name) => {
                self.group.ensure_linearizable().await?;
                let show = |s: &command::State| read::item(s.config(), *kind, name);
                self.group.with_state(show)
            }
            target::Target::Config => {
                self.group.ensure_linearizable().await?;
                let copy = |s: &command::State| wire::Config::from_config(s.config());
                let config = self.group.with_state(copy);
                Ok(reply::at_revision(config.revision, &config))
            }
            target::Target::Audit => {
                let since = read::since_revision(query)?;
                self.group.ensure_linearizable().await?;
                let copy = |s: &command::State| s.audit().entries_after(since).cloned().collect();
                let entries = self.group.with_state(copy);
                Ok(ok(&wire::Audit { entries }))
            }
            target::Target::Changes | target::Target::ControlMember(_) => Err(
                error::Error::missing("page", "to read", "send a change here"),
            ),
        }
    }

    fn render_metrics(&self) -> String {
        self.metrics
            .as_ref()
            .map_or_else(String::new, |m| m.render())
    }

    fn error_reply(&self, e: &error::Error) -> reply::Reply {
        reply::from_error(e, self.group.status().leader)
    }
}

fn ok<T: serde::Serialize>(body: &T) -> reply::Reply {
    reply::json(hyper::StatusCode::OK, body)
}

async fn read_body<B>(
    head: &hyper::http::request::Parts,
    body: B,
    limits: Limits,
) -> Result<Bytes, Box<reply::Reply>>
where
    B: hyper::body::Body,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let length = head.headers.get(header::CONTENT_LENGTH);
    let length: Option<u64> = length.and_then(|v| v.to_str().ok()?.parse().ok());
    if length.is_some_and(|n| n > limits.max_body_bytes as u64) {
        return Err(Box::new(too_large(limits)));
    }
    let collecting = Limited::new(body, limits.max_body_bytes).collect();
    match tokio::time::timeout(limits.body_timeout.as_duration(), collecting).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => {
            Err(Box::new(too_large(limits)))
        }
        Ok(Err(e)) => {
            let message = format!("body: {e}; send the whole body");
            Err(Box::new(reply::refuse(wire::Reason::BadRequest, message)))
        }
        Err(_) => {
            let message = format!("body: send it within {}", limits.body_timeout);
            let mut refusal = reply::refuse(wire::Reason::Timeout, message);
            reply::set_header(&mut refusal, header::CONNECTION, "close");
            Err(Box::new(refusal))
        }
    }
}

fn too_large(limits: Limits) -> reply::Reply {
    let message = format!("body: send at most {} bytes", limits.max_body_bytes);
    let mut refusal = reply::refuse(wire::Reason::TooLarge, message);
    reply::set_header(&mut refusal, header::CONNECTION, "close");
    refusal
}
