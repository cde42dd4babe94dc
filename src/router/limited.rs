//! Gets permits from the leader for calls to servers that name a limit.

use crate::clock;
use crate::fleet::permit;
use crate::id;
use crate::peer::message;
use crate::router::balancer;
use crate::router::core;
use crate::router::permits;

/// What a call needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Need {
    /// The time from now at which the call can be sent at the earliest.
    pub earliest: clock::Millis,
    /// The time from now at which the call must be sent at the latest.
    pub latest: clock::Millis,
    /// Whether its caller is refused without it.
    pub refuses: bool,
}

impl Need {
    /// Makes the need of a call that can be sent at once, and is sent within `latest` or not at all;
    /// its caller is served otherwise.
    pub const fn optional(latest: clock::Millis) -> Self {
        Self {
            earliest: clock::Millis::ZERO,
            latest,
            refuses: false,
        }
    }
}

/// Returns a limited server that has not been asked for a call for long, so that it is to be called
/// although others are free: only calls tell that a limit has ended.
fn to_refresh(core: &core::Core, limited: &[balancer::Pick]) -> Option<balancer::Pick> {
    if limited.is_empty() {
        return None;
    }
    let routers = core.quotas().gateways();
    let now = core.clock.now();
    let is_open = |p: &&balancer::Pick| {
        let balancer = core.balancer();
        !balancer.may_be_cold(now, &p.id) || balancer.is_open(now, &p.id)
    };
    let servers: Vec<&balancer::Pick> = limited.iter().filter(is_open).collect();
    let permits = core.permits();
    let due = servers
        .into_iter()
        .find(|p| permits.needs_refresh(now, &p.id, routers));
    due.cloned()
}

/// Returns the limited servers of which one is to be called although there is a server that needs no
/// permit: one that has not been asked for long, or those that may be cold and are preferred to it;
/// `None` when there is none.
pub fn to_call_beside(
    core: &core::Core,
    limited: &[balancer::Pick],
    is_preferred: impl Fn(&balancer::Pick) -> bool,
) -> Option<Vec<balancer::Pick>> {
    if let Some(server) = to_refresh(core, limited) {
        return Some(vec![server]);
    }
    let cold = preferred_cold(core, limited, is_preferred);
    (!cold.is_empty()).then_some(cold)
}

/// Returns those of `limited` that may be cold and are preferred to a server that needs no permit. They
/// take few calls, but these they take as well as any other server.
fn preferred_cold(
    core: &core::Core,
    limited: &[balancer::Pick],
    is_preferred: impl Fn(&balancer::Pick) -> bool,
) -> Vec<balancer::Pick> {
    if limited.is_empty() || core.leader().is_none() {
        return Vec::new();
    }
    let now = core.clock.now();
    let balancer = core.balancer();
    let is_usable = |p: &&balancer::Pick| {
        is_preferred(p) && balancer.may_be_cold(now, &p.id) && balancer.is_open(now, &p.id)
    };
    limited.iter().filter(is_usable).cloned().collect()
}

/// Refuses a caller that has waited for one of `candidates` in vain, after `denial`.
pub fn refuse(
    core: &core::Core,
    candidates: &[balancer::Pick],
    denial: permits::Denial,
    request: &str,
) -> permits::Denial {
    let ids: Vec<id::BackendServerId> = candidates.iter().map(|p| p.id.clone()).collect();
    let refused = core.permits().refuse(core.clock.now(), &ids);
    let denial = refused.unwrap_or(denial);
    log_no_permit(core, request, denial);
    denial
}

/// Gets a permit for a call to one of `candidates`, which are ordered from the best on; returns the
/// pick of that server.
///
/// # Errors
///
/// Fails when no candidate takes a further call in time, or no leader answers.
pub async fn acquire(
    core: &core::Core,
    candidates: &[balancer::Pick],
    need: Need,
    request: &str,
) -> Result<balancer::Pick, permits::Denial> {
    let ids: Vec<id::BackendServerId> = candidates.iter().map(|p| p.id.clone()).collect();
    let now = core.clock.now();
    let latest = now + need.latest.min(permit::MAX_AHEAD);
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
        let denial = match (askable.is_empty(), need.refuses) {
            (false, _) => None,
            (true, true) => permits.refuse(now, &ids),
            (true, false) => permits.denial(now, &ids),
        };
        (askable, denial)
    };
    let denial = match denial {
        Some(denial) => denial,
        None => match ask(core, &askable, need).await {
            permits::Verdict::Granted { server, permit } => {
                let permit = Some(permit);
                return Ok(balancer::Pick {
                    permit,
                    ..pick(&server)
                });
            }
            permits::Verdict::Unlimited { server } => return Ok(pick(&server)),
            permits::Verdict::Denied(denial) => denial,
        },
    };
    if need.refuses {
        log_no_permit(core, request, denial);
    }
    Err(denial)
}

/// Asks the leader for a permit for a call to one of `servers`.
async fn ask(core: &core::Core, servers: &[id::BackendServerId], need: Need) -> permits::Verdict {
    let sent_at = core.clock.now();
    let begun = core.permits().begin_ask(sent_at, servers);
    let question = permit::Ask {
        number: begun.number,
        lost: begun.lost,
        servers: servers.to_vec(),
        news: core.balancer().limit_news_of(sent_at, servers),
        sent_at: core.leader_time(sent_at),
        earliest: need.earliest,
        latest: need.latest,
        refuses: need.refuses,
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

/// Logs that a caller is refused, since its request got no permit.
fn log_no_permit(core: &core::Core, request: &str, denial: permits::Denial) {
    log::info!(
        event = "no_permit",
        request = request,
        wait_ms = (denial.next_at - core.clock.now()).as_u64(),
        retry_after_ms = denial.retry_after.as_u64();
        "the servers that have capacity take no further call in time, by the limits that they name"
    );
}
