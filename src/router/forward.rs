//! Passes requests on through another router, for services whose servers this one does not reach.

use std::net;
use std::sync;

use bytes::Bytes;

use crate::clock;
use crate::fleet::forward;
use crate::fleet::origin;
use crate::http::body;
use crate::http::hop;
use crate::logging;
use crate::peer::message;
use crate::router::core;
use crate::router::event_reader;
use crate::router::generate;
use crate::router::helper;
use crate::router::relay;
use crate::router::request;

use request::Refusal;

/// Timeout for opening the connection to another router.
const CONNECT_TIMEOUT: clock::Millis = clock::Millis::new(200);

/// Timeout of a reply, in addition to the time for which the other router may hold it.
const REPLY_TIMEOUT: clock::Millis = clock::Millis::new(600);

/// How often a stream goes on through another router, after the one before was lost.
const MAX_RESUMES: u32 = 2;

/// Chunks of an answer that are buffered for a slow caller.
const MAX_BUFFERED_CHUNKS: usize = 16;

/// An answer that another router fetches. Dropping it ends the request there.
pub struct Exchange {
    core: sync::Arc<core::Core>,
    helper: net::SocketAddr,
    id: forward::ExchangeId,
    /// Whether the other router has nothing more to do.
    is_over: bool,
}

/// An answer whose head has arrived.
pub struct Opened {
    pub head: forward::Head,
    pub first: forward::Part,
    pub exchange: Exchange,
}

/// Why another router sent no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    /// It declined the request, or could not be reached: nothing was sent to a server.
    Declined,
    /// It stopped replying; the request may have run.
    Lost,
}

/// What became of a request that was to be passed on.
pub enum Outcome {
    Answered(request::Response),
    /// The request may have run and has no answer.
    Refused(Refusal),
    /// No other router can serve the request, and nothing was sent to a server.
    Unserved(Box<request::Request>),
}

/// Serves a request through another router; `progress` is what was done with it here.
pub async fn serve(req: Box<request::Request>, progress: forward::Progress) -> Outcome {
    let opened = match open(&req, None, progress).await {
        Ok(Some(opened)) => opened,
        Ok(None) => return Outcome::Unserved(req),
        Err(refusal) => return Outcome::Refused(refusal),
    };
    let (status, headers) = (
        status_of(&opened.head),
        helper::read_headers(&opened.head.headers),
    );
    if req.withholds(status) && !request::is_own_refusal(status, &headers) {
        return Outcome::Refused(Refusal::MayHaveRun("server failed"));
    }
    let mut response = hyper::Response::new(body::Body::Full(None));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    if opened.first.end == Some(forward::End::Complete) {
        *response.body_mut() = body::Body::from_bytes(opened.first.chunks.concat());
        return Outcome::Answered(response);
    }
    let (tx, body) = body::Body::channel(MAX_BUFFERED_CHUNKS);
    *response.body_mut() = body;
    let relay = Relay {
        begun_by: req.log_id().to_owned(),
        origin: None,
        events: event_reader::EventReader::resuming(req.caller.resume_after),
        resumes: 0,
    };
    let core = sync::Arc::clone(&req.core);
    core.spawn_stream(async move {
        let outcome = relay.run(&req, opened, &tx).await;
        log_end(&req, outcome);
    });
    Outcome::Answered(response)
}

/// Lets a stream that broke off go on through other routers, to its end; `None` when no other router took it
/// up.
pub async fn resume(stream: &generate::StreamRequest, tx: &body::Sender) -> Option<&'static str> {
    let req = &stream.req;
    let begun_by = req.caller.resumes.as_deref().unwrap_or(req.log_id());
    let relay = Relay {
        begun_by: begun_by.to_owned(),
        origin: stream.origin().cloned(),
        events: event_reader::EventReader::new(stream.events.sequence().clone()),
        resumes: 0,
    };
    let opened = relay.open_again(req, tx).await?;
    Some(relay.run(req, opened, tx).await)
}

/// Passes the request on to one router after the other, until one answers.
async fn open(
    req: &request::Request,
    resume: Option<forward::Resume>,
    progress: forward::Progress,
) -> Result<Option<Opened>, Refusal> {
    let core = &req.core;
    let service = &req.service.id;
    let own = (core.settings.caller_address, &core.settings.data_centre);
    let now = core.clock.now();
    let entries = core.entries();
    let candidates = core
        .helpers()
        .candidates(now, service, own, &entries, rand::random());
    if candidates.is_empty() {
        return Ok(None);
    }
    for router in candidates {
        if req.time_left() == clock::Millis::ZERO {
            return Ok(None);
        }
        let begun = begin(req, router, resume.clone(), progress).await;
        let now = core.clock.now();
        log_forwarded(req, router, &begun);
        match begun {
            Ok(opened) => {
                core.helpers().record_served(now, service, router);
                core.paths().record_served_elsewhere(now, service);
                return Ok(Some(opened));
            }
            Err(Failure::Declined) => core.helpers().record_declined(now, service, router),
            Err(Failure::Lost) => {
                core.helpers().record_declined(now, service, router);
                return Err(if req.time_left() == clock::Millis::ZERO {
                    Refusal::TimedOut("router silent")
                } else {
                    Refusal::MayHaveRun("router broke off")
                });
            }
        }
    }
    core.helpers().record_none(core.clock.now(), service);
    Ok(None)
}

async fn begin(
    req: &request::Request,
    router: net::SocketAddr,
    resume: Option<forward::Resume>,
    progress: forward::Progress,
) -> Result<Opened, Failure> {
    let core = &req.core;
    let port = core.settings.router_address.port();
    let helper = net::SocketAddr::new(router.ip(), port);
    let connected = core.links.connect(helper, CONNECT_TIMEOUT).await;
    connected.map_err(|_| Failure::Declined)?;
    let target = hop::path_only(&req.head.uri);
    let id = forward::ExchangeId::new(rand::random());
    let forwarded = forward::Forwarded {
        exchange: id,
        method: req.head.method.to_string(),
        target: target.to_string(),
        headers: helper::write_headers(&hop::end_to_end(&req.head.headers)),
        body: req.body.to_vec(),
        service: req.service.id.clone(),
        time_left: req.time_left(),
        resume,
        progress,
    };
    let mut exchange = Exchange {
        core: sync::Arc::clone(core),
        helper,
        id,
        is_over: false,
    };
    let mut ask = forward::Ask::Begin(Box::new(forwarded));
    loop {
        match exchange.ask(ask).await {
            Some(forward::Answer::Head(head, first)) => {
                exchange.is_over = first.end.is_some();
                return Ok(Opened {
                    head,
                    first,
                    exchange,
                });
            }
            Some(forward::Answer::Pending) => ask = forward::Ask::Next(id),
            Some(forward::Answer::Declined) => {
                exchange.is_over = true;
                return Err(Failure::Declined);
            }
            Some(forward::Answer::Part(_) | forward::Answer::Unknown) | None => {
                return Err(Failure::Lost);
            }
        }
    }
}

fn status_of(head: &forward::Head) -> hyper::StatusCode {
    hyper::StatusCode::from_u16(head.status).unwrap_or(hyper::StatusCode::BAD_GATEWAY)
}

impl Exchange {
    /// Sends an ask and returns the answer; `None` when it does not come in time.
    async fn ask(&self, ask: forward::Ask) -> Option<forward::Answer> {
        let request = message::Request::Forward(Box::new(ask));
        let timeout = helper::MAX_HOLD + REPLY_TIMEOUT;
        let reply = self.core.links.request(self.helper, &request, timeout);
        match reply.await {
            Ok(message::Reply::Forward(answer)) => Some(*answer),
            Ok(_) => None,
            Err(e) => {
                log::debug!("passing a request on through {}: {e}", self.helper);
                None
            }
        }
    }

    /// Returns the next part of the body; `None` when the other router is lost.
    async fn next_part(&mut self) -> Option<forward::Part> {
        loop {
            match self.ask(forward::Ask::Next(self.id)).await? {
                forward::Answer::Part(part) => {
                    self.is_over = part.end.is_some();
                    return Some(part);
                }
                forward::Answer::Pending => {}
                _ => return None,
            }
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if self.is_over {
            return;
        }
        let core = sync::Arc::clone(&self.core);
        let helper = self.helper;
        let request = message::Request::Forward(Box::new(forward::Ask::Cancel(self.id)));
        self.core.spawn_stream(async move {
            // The other router ends the request by itself when it is asked for nothing more.
            let _ = core.links.request(helper, &request, REPLY_TIMEOUT).await;
        });
    }
}

/// The relay of an answer that other routers fetch.
struct Relay {
    /// The id of the request that brought the first event.
    begun_by: String,
    /// Where the stream began; `None` when it began through another router.
    origin: Option<origin::Origin>,
    /// What the caller has of the stream.
    events: event_reader::EventReader,
    resumes: u32,
}

/// How the relay of one router's answer ended.
enum Relayed {
    Complete,
    CallerGone,
    Lost,
}

impl Relay {
    /// Relays an answer to its end, over as many routers as it takes; returns the outcome.
    async fn run(
        mut self,
        req: &request::Request,
        opened: Opened,
        tx: &body::Sender,
    ) -> &'static str {
        let mut opened = opened;
        let resumes = generate::can_resume(&req.route);
        loop {
            let relayed = if resumes {
                self.relay_events(opened, tx).await
            } else {
                relay_chunks(opened, tx).await
            };
            match relayed {
                Relayed::Complete => return relay::COMPLETE,
                Relayed::CallerGone => return "caller gone",
                Relayed::Lost => {}
            }
            let sequence = self.events.sequence();
            let may_resume = resumes
                && sequence.has_delivered()
                && sequence.may_resume()
                && self.resumes < MAX_RESUMES;
            let next = if may_resume {
                self.resumes += 1;
                self.events.begin_run();
                self.open_again(req, tx).await
            } else {
                None
            };
            let Some(next) = next else {
                let reason = "router broke off";
                let sent = tx.send(Err(body::Truncated(reason))).await;
                return if sent.is_ok() { reason } else { "caller gone" };
            };
            opened = next;
        }
    }

    /// Lets another router take up the stream after the last event; `None` when none does.
    async fn open_again(&self, req: &request::Request, tx: &body::Sender) -> Option<Opened> {
        let resume = forward::Resume {
            after: self.events.sequence().last()?,
            begun_by: self.begun_by.clone(),
            origin: self.origin.clone(),
        };
        let opened = tokio::select! {
            opened = open(req, Some(resume), forward::Progress::Sent) => opened,
            () = tx.closed() => return None,
        };
        let opened = opened.ok().flatten()?;
        // A head of another kind belongs to an answer of its own, which the caller must not see here.
        status_of(&opened.head).is_success().then_some(opened)
    }

    /// Relays whole events, so that another router can go on after the last one.
    async fn relay_events(&mut self, opened: Opened, tx: &body::Sender) -> Relayed {
        let mut exchange = opened.exchange;
        let mut part = opened.first;
        loop {
            for chunk in &part.chunks {
                let read = self.events.push(chunk);
                for piece in read.pieces {
                    if tx.send(Ok(piece)).await.is_err() {
                        return Relayed::CallerGone;
                    }
                }
                if read.failure.is_some() {
                    return Relayed::Lost;
                }
            }
            match part.end {
                None => {}
                Some(forward::End::Truncated) => return Relayed::Lost,
                Some(forward::End::Complete) => {
                    let Ok(rest) = self.events.finish() else {
                        return Relayed::Lost;
                    };
                    for bytes in rest {
                        if tx.send(Ok(bytes)).await.is_err() {
                            return Relayed::CallerGone;
                        }
                    }
                    return Relayed::Complete;
                }
            }
            part = match next_part(&mut exchange, tx).await {
                Ok(part) => part,
                Err(end) => return end,
            };
        }
    }
}

/// Relays a body that can't go on elsewhere.
async fn relay_chunks(opened: Opened, tx: &body::Sender) -> Relayed {
    let mut exchange = opened.exchange;
    let mut part = opened.first;
    loop {
        for chunk in part.chunks {
            if tx.send(Ok(Bytes::from(chunk))).await.is_err() {
                return Relayed::CallerGone;
            }
        }
        match part.end {
            None => {}
            Some(forward::End::Truncated) => return Relayed::Lost,
            Some(forward::End::Complete) => return Relayed::Complete,
        }
        part = match next_part(&mut exchange, tx).await {
            Ok(part) => part,
            Err(end) => return end,
        };
    }
}

async fn next_part(exchange: &mut Exchange, tx: &body::Sender) -> Result<forward::Part, Relayed> {
    tokio::select! {
        part = exchange.next_part() => part.ok_or(Relayed::Lost),
        () = tx.closed() => Err(Relayed::CallerGone),
    }
}

/// Logs and counts that a request was passed on, and how the other router took it.
fn log_forwarded(req: &request::Request, router: net::SocketAddr, begun: &Result<Opened, Failure>) {
    let (outcome, status) = match begun {
        Ok(opened) => ("answered", opened.head.status),
        Err(Failure::Declined) => ("declined", 0),
        Err(Failure::Lost) => ("lost", 0),
    };
    metrics::counter!("buckthorncleat_forwarded_total", "outcome" => outcome).increment(1);
    let target = match begun {
        Ok(_) => logging::ROUTINE,
        Err(_) => module_path!(),
    };
    log::info!(
        target: target,
        event = "forwarded",
        request = req.log_id(),
        route = req.route.name.as_str(),
        service = req.service.id.as_str(),
        router = router.to_string(),
        outcome = outcome,
        status = status,
        age_ms = req.age().as_u64();
        "passed a request on through another router"
    );
}

/// Logs the end of an answer that came in several parts.
fn log_end(req: &request::Request, outcome: &'static str) {
    let target = match outcome {
        relay::COMPLETE => logging::ROUTINE,
        _ => module_path!(),
    };
    log::info!(
        target: target,
        event = "forward_end",
        request = req.log_id(),
        route = req.route.name.as_str(),
        outcome = outcome,
        age_ms = req.age().as_u64();
        "the answer from another router ended"
    );
}
