//! Log lines and metrics of a request, one line for each decision.

use crate::clock;
use crate::fleet::budget;
use crate::fleet::crashes;
use crate::fleet::quota;
use crate::id;
use crate::logging;
use crate::router::availability;
use crate::router::balancer;
use crate::router::core;
use crate::router::request;
use crate::state::model;

use request::Refusal;

/// Kind of a server's complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Served {
    Answered,
    /// The server's own error, which is passed on to the caller.
    FailedAtServer,
}

impl Served {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::FailedAtServer => "failed at server",
        }
    }
}

/// What is known of a request when it is refused.
#[derive(Debug, Default)]
pub struct LogContext {
    /// The caller's request id; empty until it is read or when there is none.
    pub request_id: String,
    /// Name of the route; empty until it is found.
    pub route: String,
}

impl LogContext {
    /// Logs and counts a refused request.
    pub fn log_refused(&self, core: &core::Core, received_at: clock::Millis, refusal: Refusal) {
        let retry_after = refusal.retry_after().unwrap_or_default().as_u64();
        metrics::counter!("buckthorncleat_refused_total", "reason" => refusal.reason())
            .increment(1);
        log::info!(
            event = "refused",
            request = self.request_id.as_str(),
            route = self.route.as_str(),
            reason = refusal.reason(),
            status = refusal.status().as_u16(),
            age_ms = (core.clock.now() - received_at).as_u64(),
            retry_after_ms = retry_after,
            document = core.version_number();
            "request refused"
        );
    }
}

/// Logs that an account is over its quota.
pub fn log_over_quota(request: &str, account: &id::ClientAccountId, exceeded: quota::Exceeded) {
    log::info!(
        event = "over_quota",
        request = request,
        account = account.as_str(),
        units = exceeded.units,
        left = exceeded.remaining,
        rate = exceeded.quota.rate,
        burst = exceeded.quota.burst,
        share_alone = exceeded.share_only,
        fresh_for_ms = exceeded.fresh_for.as_u64(),
        wait_ms = exceeded.retry_after.as_u64();
        "the account is over its quota; refusing the request"
    );
}

/// Logs which fingerprint of a request is quarantined.
pub fn log_quarantined(core: &core::Core, request: &str, fingerprints: &[model::Fingerprint]) {
    let suspects = core.suspects();
    let is_quarantined = |f: &&model::Fingerprint| {
        suspects.standing(std::slice::from_ref(*f)) == Some(crashes::Standing::Quarantined)
    };
    let fingerprint = fingerprints.iter().find(is_quarantined);
    log::info!(
        event = "crashes_servers",
        request = request,
        fingerprint = fingerprint.map(|f| f.to_string()).unwrap_or_default();
        "servers were lost under each run with this fingerprint; refusing the request"
    );
}

impl request::Request {
    /// Logs and counts a decision of the retry budget.
    pub(super) fn log_retry(&self, purpose: budget::Purpose, granted: bool) {
        metrics::counter!("buckthorncleat_repeats_total", "granted" => granted.to_string())
            .increment(1);
        log::info!(
            event = "repeat",
            request = self.log_id(),
            service = self.service.id.as_str(),
            purpose = purpose.as_str(),
            granted = granted,
            age_ms = self.age().as_u64();
            "retry requested from the budget"
        );
    }

    /// Logs and counts an arrival beyond the first of the request.
    pub(super) fn log_retry_sent(&self, pick: &balancer::Pick, purpose: availability::Purpose) {
        metrics::counter!("buckthorncleat_retries_sent_total", "purpose" => purpose.as_str())
            .increment(1);
        log::info!(
            event = "retry_sent",
            request = self.log_id(),
            service = self.service.id.as_str(),
            server = pick.id.as_str(),
            purpose = purpose.as_str(),
            age_ms = self.age().as_u64();
            "sending a call beyond the first of the request"
        );
    }

    /// Logs and counts an answer of a server that does not reach the caller, since its status promises that
    /// the request has not run, which the server does not state.
    pub fn log_withheld(&self, status: hyper::StatusCode, pick: &balancer::Pick) {
        let label = status.as_str().to_owned();
        metrics::counter!("buckthorncleat_answers_withheld_total", "status" => label).increment(1);
        log::info!(
            event = "answer_withheld",
            request = self.log_id(),
            route = self.route.name.as_str(),
            service = self.service.id.as_str(),
            server = pick.id.as_str(),
            status = status.as_u16(),
            age_ms = self.age().as_u64();
            "the server may have run the request, and its status promises the opposite"
        );
    }

    /// Logs and counts a complete answer of a server.
    pub fn log_served(
        &self,
        served: Served,
        status: hyper::StatusCode,
        pick: &balancer::Pick,
        attempts: u32,
    ) {
        let outcome = served.as_str();
        metrics::counter!("buckthorncleat_served_total", "outcome" => outcome).increment(1);
        metrics::histogram!("buckthorncleat_answer_seconds").record(self.age().as_secs_f64());
        let target = match served {
            Served::Answered => logging::ROUTINE,
            Served::FailedAtServer => module_path!(),
        };
        log::info!(
            target: target,
            event = "served",
            request = self.log_id(),
            route = self.route.name.as_str(),
            account = self.log_account(),
            quota_left = self.quota_left,
            outcome = outcome,
            status = status.as_u16(),
            server = pick.id.as_str(),
            busy_percent = pick.utilisation_percent,
            report_age_ms = pick.report_age.as_u64(),
            tries = attempts,
            age_ms = self.age().as_u64(),
            document = self.core.version_number();
            "request served"
        );
    }
}
