//! Answers one request of the admin interface.

use std::sync;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Limited;
use hyper::Method;
use hyper::header;

use crate::clock;
use crate::error;
use crate::event;
use crate::http::admin::read;
use crate::http::admin::reply;
use crate::http::admin::target;
use crate::http::admin::token;
use crate::http::admin::wire;
use crate::http::admin::write;
use crate::replica;
use crate::state::command;

/// The largest body of a request, in bytes.
pub const MAX_BODY_BYTES: usize = 8 << 20;

/// The longest time for a body to arrive.
pub const BODY_TIMEOUT: clock::Millis = clock::Millis::from_secs(10);

/// What the admin interface answers from.
#[derive(Clone, Debug)]
pub struct Service {
    group: replica::Group,
    operators: token::Operators,
    recorder: sync::Arc<event::Recorder>,
    metrics: Option<metrics_exporter_prometheus::PrometheusHandle>,
}

impl Service {
    /// Makes a service over a control group.
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
        }
    }

    /// Answers a request; a refusal is an answer too.
    pub async fn answer<B>(&self, req: hyper::Request<B>) -> reply::Reply
    where
        B: hyper::body::Body,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let (head, body) = req.into_parts();
        let (target, operator) = match self.admit(&head) {
            Ok(admitted) => admitted,
            Err(refusal) => return *refusal,
        };
        if head.method == Method::GET {
            return self.read(&head, &target).await;
        }
        let body = match read_body(&head, body).await {
            Ok(body) => body,
            Err(refusal) => return *refusal,
        };
        match write::operation(operator, &head, &target, &body) {
            Ok(operation) => self.write(operation).await,
            Err(e) => reply::from_error(&e, None),
        }
    }

    /// Checks path, method, headers and token.
    fn admit(
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
            reply::set(&mut refusal, header::WWW_AUTHENTICATE, "Bearer");
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
            reply::set(&mut refusal, header::ALLOW, &allow);
            return Err(Box::new(refusal));
        }
        Ok((target, operator))
    }

    fn operator(&self, headers: &header::HeaderMap) -> Option<&str> {
        let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
        let token = value.strip_prefix("Bearer ")?;
        self.operators.name_of(token.trim().as_bytes())
    }

    async fn write(&self, operation: command::Operation) -> reply::Reply {
        let command = command::Command::Operate(operation);
        match self.group.propose(command).await {
            Ok(answer) => write::answer(answer),
            Err(e) => self.fail(&e),
        }
    }

    async fn read(
        &self,
        head: &hyper::http::request::Parts,
        target: &target::Target,
    ) -> reply::Reply {
        match self.try_read(head, target).await {
            Ok(answer) => answer,
            Err(e) => self.fail(&e),
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
                self.group.confirm().await?;
                let list = |s: &command::State| read::collection(s.config(), *kind);
                Ok(self.group.with_state(list))
            }
            target::Target::Item(kind, name) => {
                self.group.confirm().await?;
                let show = |s: &command::State| read::item(s.config(), *kind, name);
                self.group.with_state(show)
            }
            target::Target::Config => {
                self.group.confirm().await?;
                let copy = |s: &command::State| wire::Config::from_config(s.config());
                let config = self.group.with_state(copy);
                Ok(reply::at_revision(config.revision, &config))
            }
            target::Target::Audit => {
                let since = read::since_revision(query)?;
                self.group.confirm().await?;
                let copy = |s: &command::State| s.audit().entries_after(since).cloned().collect();
                let entries = self.group.with_state(copy);
                Ok(ok(&wire::Audit { entries }))
            }
            target::Target::Changes => {
                Err(error::Error::missing("page", "changes", "send POST here"))
            }
        }
    }

    fn render_metrics(&self) -> String {
        self.metrics
            .as_ref()
            .map_or_else(String::new, |m| m.render())
    }

    fn fail(&self, e: &error::Error) -> reply::Reply {
        reply::from_error(e, self.group.status().leader)
    }
}

fn ok<T: serde::Serialize>(body: &T) -> reply::Reply {
    reply::json(hyper::StatusCode::OK, body)
}

async fn read_body<B>(
    head: &hyper::http::request::Parts,
    body: B,
) -> Result<Bytes, Box<reply::Reply>>
where
    B: hyper::body::Body,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let length = head.headers.get(header::CONTENT_LENGTH);
    let length: Option<u64> = length.and_then(|v| v.to_str().ok()?.parse().ok());
    if length.is_some_and(|n| n > MAX_BODY_BYTES as u64) {
        return Err(Box::new(too_large()));
    }
    let whole = Limited::new(body, MAX_BODY_BYTES).collect();
    match tokio::time::timeout(BODY_TIMEOUT.as_duration(), whole).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => Err(Box::new(too_large())),
        Ok(Err(e)) => {
            let message = format!("body: {e}; send it whole");
            Err(Box::new(reply::refuse(wire::Reason::BadRequest, message)))
        }
        Err(_) => {
            let message = format!("body: send it within {BODY_TIMEOUT}");
            let mut refusal = reply::refuse(wire::Reason::Timeout, message);
            reply::set(&mut refusal, header::CONNECTION, "close");
            Err(Box::new(refusal))
        }
    }
}

fn too_large() -> reply::Reply {
    let message = format!("body: send at most {MAX_BODY_BYTES} bytes");
    let mut refusal = reply::refuse(wire::Reason::TooLarge, message);
    reply::set(&mut refusal, header::CONNECTION, "close");
    refusal
}
