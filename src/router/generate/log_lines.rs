//! Log lines and metrics of a stream, one line for each decision.

use crate::clock;
use crate::logging;
use crate::router::availability;
use crate::router::balancer;
use crate::router::generate;
use crate::router::protocol;
use crate::router::relay;
use crate::router::upstream;
use crate::unit;

/// Returns the software version of a picked server for the log, empty when it is not known.
fn log_version(pick: &balancer::Pick) -> &str {
    pick.version.as_ref().map_or("", |v| v.as_str())
}

impl generate::StreamRequest {
    pub(super) fn log_begun(&self, opened: &generate::OpenStream) {
        log::info!(
            target: logging::ROUTINE,
            event = "stream_begun",
            request = self.req.log_id(),
            route = self.req.route.name.as_str(),
            account = self.req.log_account(),
            quota_left = self.req.quota_left,
            server = opened.pick.id.as_str(),
            version = log_version(&opened.pick),
            resumes = self.req.caller.resumes.as_deref().unwrap_or(""),
            busy_percent = opened.pick.utilisation_percent,
            report_age_ms = opened.pick.report_age.as_u64(),
            waited_ms = self.waited.as_u64(),
            reservation_calls = self.reservation_calls,
            prompt_server = self.prefill_server.as_ref().map_or("", |s| s.as_str()),
            expected_memory = self.expected_memory().as_u64(),
            returning = self.req.is_resend(),
            tries = self.attempts,
            resume_after = self.resume_after().unwrap_or_default(),
            age_ms = self.req.age().as_u64(),
            document = self.req.core.version_number();
            "stream began"
        );
    }

    /// Logs that no decode server had capacity within the time in which the answer could begin.
    pub(super) fn log_no_room(&self, now: clock::Millis, memory: unit::Tokens) {
        let req = &self.req;
        let status = req.core.balancer().decode_status(now, &req.service);
        log::info!(
            event = "no_room",
            request = req.log_id(),
            service = req.service.id.as_str(),
            servers = status.servers as u64,
            sound = status.available as u64,
            least_percent = status.min_utilisation_percent,
            report_age_ms = status.report_age.as_u64(),
            memory = memory.as_u64(),
            reservation_calls = self.reservation_calls,
            waited_ms = req.age().as_u64();
            "no decode server has free capacity; refusing the request"
        );
    }

    /// Logs and counts that a server refused the request without running it.
    pub(super) fn log_not_run(
        &self,
        pick: &balancer::Pick,
        execution: protocol::Execution,
        exported: bool,
    ) {
        metrics::counter!("buckthorncleat_server_refusals_total").increment(1);
        log::info!(
            event = "server_refused",
            request = self.req.log_id(),
            server = pick.id.as_str(),
            address_reused = (execution == protocol::Execution::Misdirected),
            prompt_read_ahead = exported,
            tries = self.attempts,
            age_ms = self.req.age().as_u64();
            "a server refused the request without running it"
        );
    }

    /// Logs that a server could not be reached, or did not answer a reservation call.
    pub(super) fn log_attempt_failed(
        &self,
        pick: &balancer::Pick,
        purpose: availability::Purpose,
        failure: upstream::Failure,
    ) {
        log::info!(
            event = "attempt_failed",
            request = self.req.log_id(),
            route = self.req.route.name.as_str(),
            service = self.req.service.id.as_str(),
            server = pick.id.as_str(),
            purpose = purpose.as_str(),
            failure = failure.to_string(),
            fingerprints = self.req.log_fingerprints(),
            tries = self.attempts,
            age_ms = self.req.age().as_u64();
            "attempt at a server failed"
        );
    }

    /// Logs that a server was lost while it ran the stream.
    pub(super) fn log_lost(&self, pick: &balancer::Pick, failure: upstream::Failure) {
        log::info!(
            event = "server_lost",
            request = self.req.log_id(),
            server = pick.id.as_str(),
            version = log_version(pick),
            failure = failure.to_string(),
            fingerprints = self.req.log_fingerprints(),
            tries = self.attempts,
            age_ms = self.req.age().as_u64();
            "lost the connection to a server during a stream"
        );
    }

    /// Logs that the stream goes on at another server within one answer.
    pub fn log_resumed(&self, opened: &generate::OpenStream) {
        metrics::counter!("buckthorncleat_streams_resumed_total").increment(1);
        log::info!(
            event = "resumed",
            request = self.req.log_id(),
            server = opened.pick.id.as_str(),
            version = log_version(&opened.pick),
            last_event = self.resume_after().unwrap_or_default(),
            tries = self.attempts,
            age_ms = self.req.age().as_u64();
            "a broken stream goes on at another server"
        );
    }

    /// Logs and counts the end of the stream.
    pub fn log_end(&self, outcome: &'static str, stats: relay::Stats, first_event: clock::Millis) {
        metrics::counter!("buckthorncleat_streams_total", "outcome" => outcome).increment(1);
        let pause = stats.longest_pause.as_secs_f64();
        metrics::histogram!("buckthorncleat_longest_pause_seconds").record(pause);
        let generation = self.req.caller.generation.unwrap_or_default();
        let target = match outcome {
            relay::COMPLETE => logging::ROUTINE,
            _ => module_path!(),
        };
        log::info!(
            target: target,
            event = "stream_end",
            request = self.req.log_id(),
            route = self.req.route.name.as_str(),
            outcome = outcome,
            framing = stats.progress.map_or("", |p| p.framing().as_str()),
            inside_event = stats.progress.is_some_and(|p| p.is_inside_event()),
            tries = self.attempts,
            first_event_ms = first_event.as_u64(),
            longest_pause_ms = stats.longest_pause.as_u64(),
            pieces = stats.chunks,
            prompt_tokens = generation.prompt.as_u64(),
            most_tokens = generation.max_output.as_u64(),
            likely_tokens = generation.expected_output.unwrap_or_default().as_u64(),
            expected_memory = self.expected_memory().as_u64(),
            returning = self.req.is_resend(),
            patience_ms = self.req.caller.max_wait.unwrap_or_default().as_u64(),
            limit_ms = self.req.route.time_limit.as_u64(),
            age_ms = self.req.age().as_u64();
            "stream ended"
        );
    }
}
