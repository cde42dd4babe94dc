//! Decides whether a request may run at a server: not if it, or a part of its prompt, crashes servers.

use tokio::time;

use crate::clock;
use crate::fleet::crashes;
use crate::fleet::permit;
use crate::peer::message;
use crate::router::core;
use crate::router::request;
use crate::router::retry_after;
use crate::state::model;

use request::Refusal;

/// How long a request that lost a server waits until the leader knows it.
const MAX_NEWS_WAIT: clock::Millis = clock::Millis::new(300);

/// The time between two questions whether a suspect may run.
const ASK_INTERVAL: clock::Millis = clock::Millis::new(100);

/// The time after which a caller may send a request again of which only an operator's release changes
/// the answer.
const QUARANTINE_RETRY_AFTER: clock::Millis = clock::Millis::from_secs(3_600);

/// Returns the refusal of a request that crashes servers.
pub fn quarantined(core: &core::Core, fingerprints: &[model::Fingerprint]) -> Refusal {
    let left = core
        .suspects()
        .quarantine_left(core.clock.now(), fingerprints);
    let retry_after = match left {
        None => QUARANTINE_RETRY_AFTER,
        // The term has just ended, or the leader knows more than its last summary said.
        Some(clock::Millis::ZERO) => request::draw_retry_after(retry_after::Cause::Suspect),
        Some(left) => retry_after::delay_after(left, rand::random()),
    };
    Refusal::NotRun("request crashes servers", retry_after)
}

/// Waits until this router's losses are known to the leader, but not for long.
pub async fn wait_until_reported(core: &core::Core) {
    let reported = async {
        loop {
            let answered = core.report_answered.notified();
            if !core.suspects().has_news() {
                return;
            }
            answered.await;
        }
    };
    let _ = time::timeout(MAX_NEWS_WAIT.as_duration(), reported).await;
}

/// Waits until a request with these fingerprints may run, at most until `deadline`. Returns until when
/// its run may begin; `None` for any time.
///
/// # Errors
///
/// Returns a refusal if it must not run, or not by then.
pub async fn admit(
    core: &core::Core,
    fingerprints: &[model::Fingerprint],
    deadline: clock::Millis,
) -> Result<Option<clock::Millis>, Refusal> {
    loop {
        let standing = core.suspects().standing(fingerprints);
        match standing {
            None | Some(crashes::Standing::Watched) => return Ok(None),
            Some(crashes::Standing::Quarantined) => return Err(quarantined(core, fingerprints)),
            Some(crashes::Standing::Suspect) => {}
        }
        let asked_at = core.clock.now();
        match ask(core, fingerprints).await {
            Some(crashes::Answer::Granted) => return Ok(Some(asked_at + crashes::PROBE_TIME)),
            Some(crashes::Answer::Quarantined) => return Err(quarantined(core, fingerprints)),
            Some(crashes::Answer::Wait) | None => {}
        }
        let now = core.clock.now();
        if now + ASK_INTERVAL >= deadline {
            let retry_after = request::draw_retry_after(retry_after::Cause::Suspect);
            return Err(Refusal::NotRun("request may crash servers", retry_after));
        }
        time::sleep(ASK_INTERVAL.as_duration()).await;
    }
}

async fn ask(core: &core::Core, fingerprints: &[model::Fingerprint]) -> Option<crashes::Answer> {
    let question = message::Request::Run(fingerprints.to_vec());
    let reply = core
        .links
        .request(core.leader()?, &question, permit::ASK_TIMEOUT);
    match reply.await {
        Ok(message::Reply::Run(answer)) => Some(answer),
        Ok(_) | Err(_) => None,
    }
}
