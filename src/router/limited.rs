//! Gets permits from the leader for calls to servers that name a limit.

use crate::clock;
use crate::fleet::permit;
use crate::id;
use crate::peer::message;
use crate::router::balancer;
use crate::router::core;
use crate::router::permits;

/// When a call can be sent, from now on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Span {
    pub earliest: clock::Millis,
    pub latest: clock::Millis,
}

impl Span {
    /// Makes the span of a call that can be sent at once, and must be sent within `latest`.
    pub const fn within(latest: clock::Millis) -> Self {
        Self {
            earliest: clock::Millis::ZERO,
            latest,
        }
    }
}

/// Gets a permit for a call to one of `candidates`, which are ordered from the best on; returns the
/// pick of that server.
///
/// # Errors
///
/// Fails when no candidate takes a further call within the span, or no leader answers.
pub async fn acquire(
    core: &core::Core,
    candidates: &[balancer::Pick],
    span: Span,
    request: &str,
) -> Result<balancer::Pick, permits::Denial> {
    let ids: Vec<id::BackendServerId> = candidates.iter().map(|p| p.id.clone()).collect();
    let now = core.clock.now();
    let latest = now + span.latest.min(permit::MAX_AHEAD);
    let pick = |id: &id::BackendServerId| {
        let pick = candidates.iter().find(|p| p.id == *id);
        pick.expect("a permit is for one of the candidates").clone()
    };
    let (askable, denial) = {
        let mut permits = core.permits();
        if let Some((server, permit)) = permits.take_spare(now, latest, &ids) {
            let permit = Some(permit);
            return Ok(balancer::Pick {
                permit,
                ..pick(&server)
            });
        }
        let askable = permits.askable(latest, &ids);
        let denial = askable.is_empty().then(|| permits.refuse(now, &ids));
        (askable, denial.flatten())
    };
    if let Some(denial) = denial {
        return Err(denied(core, request, denial));
    }
    match ask(core, &askable, span).await {
        permits::Verdict::Granted { server, permit } => Ok(balancer::Pick {
            permit: Some(permit),
            ..pick(&server)
        }),
        permits::Verdict::Unlimited { server } => Ok(pick(&server)),
        permits::Verdict::Denied(denial) => Err(denied(core, request, denial)),
    }
}

/// Asks the leader for a permit for a call to one of `servers`.
async fn ask(core: &core::Core, servers: &[id::BackendServerId], span: Span) -> permits::Verdict {
    let sent_at = core.clock.now();
    let begun = core.permits().begin_ask(sent_at, servers);
    let question = permit::Ask {
        number: begun.number,
        lost: begun.lost,
        servers: servers.to_vec(),
        news: core.balancer().limit_news_of(sent_at, servers),
        sent_at: core.leader_time(sent_at),
        earliest: span.earliest,
        latest: span.latest,
        calls: begun.calls,
        refused: begun.refused,
    };
    let question = message::Request::Permit(Box::new(question));
    let reply = match core.leader() {
        Some(leader) => core
            .links
            .request(leader, &question, permit::ASK_TIMEOUT)
            .await
            .ok(),
        None => None,
    };
    let now = core.clock.now();
    let verdict = match reply {
        Some(message::Reply::Permit(answer)) => core.permits().apply(now, sent_at, servers, answer),
        _ => permits::Verdict::Denied(core.permits().fail(now, begun.number, servers)),
    };
    if let permits::Verdict::Unlimited { server } = &verdict {
        core.balancer().end_limit(sent_at, server);
    }
    let outcome = match &verdict {
        permits::Verdict::Granted { .. } => "granted",
        permits::Verdict::Unlimited { .. } => "unlimited",
        permits::Verdict::Denied(_) => "denied",
    };
    metrics::counter!("buckthorncleat_permits_total", "outcome" => outcome).increment(1);
    verdict
}

/// Logs that a request got no permit.
fn denied(core: &core::Core, request: &str, denial: permits::Denial) -> permits::Denial {
    log::info!(
        event = "no_permit",
        request = request,
        wait_ms = (denial.next_at - core.clock.now()).as_u64(),
        retry_after_ms = denial.retry_after.as_u64();
        "the servers that have capacity take no further call in time, by the limits that they name"
    );
    denial
}
