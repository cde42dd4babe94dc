//! Gets shares of the retry budget: from the leader, or from the part that is set aside.

use crate::document;
use crate::fleet::budget;
use crate::peer::message;
use crate::router::core;
use crate::router::retries;

/// Gets the right to send one retry for a service; `None` when there is none in time.
pub async fn acquire(
    core: &core::Core,
    service: &document::ServiceId,
    purpose: budget::Purpose,
) -> Option<retries::Share> {
    let share = ask(core, service, purpose).await;
    let now = core.clock.now();
    match (share, purpose) {
        (Some(share), _) => Some(share),
        (None, budget::Purpose::Required) => core.retries().take_set_aside(now, service),
        (None, budget::Purpose::Optional) => None,
    }
}

async fn ask(
    core: &core::Core,
    service: &document::ServiceId,
    purpose: budget::Purpose,
) -> Option<retries::Share> {
    let leader = core.leader()?;
    let sent_at = core.clock.now();
    let number = core.retries().begin_ask(sent_at, service, purpose)?;
    let ask = budget::Ask {
        number,
        service: service.clone(),
        purpose,
    };
    let question = message::Request::Retry(ask.clone());
    let reply = core.links.request(leader, &question, budget::ASK_TIMEOUT);
    let answer = match reply.await {
        Ok(message::Reply::Retry(answer)) => Some(answer),
        Ok(_) | Err(_) => None,
    };
    let outcome = match answer {
        Some(budget::Answer::Granted { .. }) => "granted",
        Some(budget::Answer::Denied) => "denied",
        None => "unanswered",
    };
    metrics::counter!("buckthorncleat_retry_shares_total", "outcome" => outcome).increment(1);
    core.retries()
        .apply(core.clock.now(), sent_at, &ask, answer)
}
