//! The lines of the log on a request, one for each decision.

use crate::clock;
use crate::fleet::budget;
use crate::fleet::quota;
use crate::id;
use crate::logging;
use crate::router::balancer;
use crate::router::core;
use crate::router::request;

use request::Refusal;

/// A whole answer of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Served {
    /// The answer that the caller asked for.
    Answered,
    /// The server's own failure, which is handed on.
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

/// What is logged of a request.
#[derive(Debug, Default)]
pub struct LogContext {
    /// The caller's name of the request.
    pub request_id: String,
    /// The route.
    pub route: String,
}

impl LogContext {
    /// Logs that the request was refused.
    pub fn log_refused(&self, core: &core::Core, received_at: clock::Millis, refusal: Refusal) {
        let retry_after = match refusal {
            Refusal::NotRun(_, retry_after) | Refusal::OverQuota(retry_after) => {
                retry_after.as_u64()
            }
            _ => 0,
        };
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

/// Logs that an account has used up its quota.
pub fn log_over_quota(request: &str, account: &id::ClientAccountId, shortage: quota::Shortage) {
    log::info!(
        event = "over_quota",
        request = request,
        account = account.as_str(),
        units = shortage.units,
        left = shortage.left,
        rate = shortage.quota.rate,
        burst = shortage.quota.burst,
        share_alone = shortage.alone,
        fresh_for_ms = shortage.fresh_for.as_u64(),
        wait_ms = shortage.wait.as_u64();
        "the account has used up its quota"
    );
}

impl request::Request {
    /// Logs what the retry budget said.
    pub(super) fn log_retry(&self, verdict: budget::Verdict) {
        metrics::counter!("buckthorncleat_repeats_total", "granted" => verdict.granted.to_string())
            .increment(1);
        log::info!(
            event = "repeat",
            request = self.log_id(),
            service = self.service.id.as_str(),
            granted = verdict.granted,
            used = verdict.used,
            allowed = verdict.allowed,
            age_ms = self.age().as_u64();
            "another attempt is asked of the retry budget"
        );
    }

    /// Logs a whole answer of a server.
    pub fn log_served(&self, served: Served, pick: &balancer::Pick, attempts: u32) {
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
