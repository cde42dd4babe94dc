//! Finds out where a stream began that a caller takes up, and tells the leader of those that begin
//! here.

use std::sync;

use tokio::sync::watch;
use tokio::time;

use crate::clock;
use crate::document;
use crate::fleet::origin;
use crate::fleet::permit;
use crate::id;
use crate::peer::message;
use crate::router::core;
use crate::router::http_server;
use crate::router::origins;
use crate::router::protocol;
use crate::router::request;
use crate::router::retry_after;

use request::Refusal;

/// How long streams that begin are collected before the leader is told of them.
const BATCH_TIME: clock::Millis = clock::Millis::new(10);

/// The time after which the leader is told again when it did not answer.
const RETRY_INTERVAL: clock::Millis = clock::Millis::new(100);

/// Returns the origin of the stream that a caller takes up, and its id; `None` for a new stream.
///
/// # Errors
///
/// Returns a refusal if the origin is not known for certain.
pub async fn find(
    core: &core::Core,
    account: Option<&id::ClientAccountId>,
    caller: &protocol::CallerHead,
    route: &document::Route,
) -> Result<Option<(Option<origin::StreamId>, origin::Origin)>, Refusal> {
    if caller.resume_after.is_none() {
        return Ok(None);
    }
    let begun_by = caller.resumes.as_deref();
    let stream = begun_by.map(|request| origin::StreamId::new(account, request));
    let own = stream.and_then(|stream| core.origins().get(&stream).cloned());
    let found = match own.map(origin::Answer::Known) {
        Some(own) => match origins::decide(Some(own), clock::Millis::ZERO, &route.split) {
            origins::Step::GoOn(origin) => Ok(origin),
            _ => Err(retry_after::Cause::OriginUnknown),
        },
        None => ask_leader(core, stream, route).await,
    };
    let outcome = match &found {
        Ok(_) => "known",
        Err(retry_after::Cause::OriginLate) => "late",
        Err(_) => "unknown",
    };
    metrics::counter!("buckthorncleat_streams_taken_up_total", "origin" => outcome).increment(1);
    let origin = found.map_err(refusal)?;
    Ok(Some((stream, origin)))
}

/// Refuses a stream whose origin can't be used. The answer does not tell why: the stream may be another
/// account's.
fn refusal(cause: retry_after::Cause) -> Refusal {
    let reason = match cause {
        retry_after::Cause::OriginLate => "origin of the stream not known yet",
        _ => "origin of the stream unknown",
    };
    Refusal::NotRun(reason, request::draw_retry_after(cause))
}

async fn ask_leader(
    core: &core::Core,
    stream: Option<origin::StreamId>,
    route: &document::Route,
) -> Result<origin::Origin, retry_after::Cause> {
    let services = route.split.iter().map(|s| s.service.clone());
    let question = message::Request::Origin(origin::Question {
        stream,
        services: services.collect(),
    });
    let asked_at = core.clock.now();
    loop {
        let answer = ask(core, &question).await;
        let waited = core.clock.now() - asked_at;
        match origins::decide(answer, waited, &route.split) {
            origins::Step::GoOn(origin) => return Ok(origin),
            origins::Step::RefuseUnknown => return Err(retry_after::Cause::OriginUnknown),
            origins::Step::RefuseLate => return Err(retry_after::Cause::OriginLate),
            origins::Step::AskAgain => time::sleep(origins::ASK_INTERVAL.as_duration()).await,
        }
    }
}

async fn ask(core: &core::Core, question: &message::Request) -> Option<origin::Answer> {
    let asked = core
        .links
        .request(core.leader()?, question, permit::ASK_TIMEOUT);
    match asked.await {
        Ok(message::Reply::Origin(answer)) => Some(answer),
        Ok(_) | Err(_) => None,
    }
}

/// Tells the leader of the streams that begin, until the shutdown reaches [`core::Phase::Closing`].
pub async fn tell_leader(core: sync::Arc<core::Core>, mut stop: watch::Receiver<core::Phase>) {
    loop {
        tokio::select! {
            () = core.origins_due.notified() => {}
            () = http_server::until_closing(&mut stop) => return,
        }
        time::sleep(BATCH_TIME.as_duration()).await;
        while let Some((term, records)) = untold(&core) {
            if !tell(&core, term, records).await {
                time::sleep(RETRY_INTERVAL.as_duration()).await;
            }
            if core.phase() >= core::Phase::Closing {
                return;
            }
        }
    }
}

fn untold(core: &core::Core) -> Option<(id::Term, Vec<origin::Record>)> {
    core.origins().untold(core.clock.now())
}

/// Tells the leader of streams; returns whether it knows them now.
async fn tell(core: &core::Core, term: id::Term, records: Vec<origin::Record>) -> bool {
    let Some(leader) = core.leader() else {
        return false;
    };
    let request = message::Request::Begun(records.clone());
    let reply = core.links.request(leader, &request, permit::ASK_TIMEOUT);
    let Ok(message::Reply::Begun(told)) = reply.await else {
        return false;
    };
    if told == term {
        core.origins().confirm(term, &records);
    }
    told == term
}
