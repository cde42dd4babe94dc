//! Describes log lines in sentences.

use crate::explain::line::Entry;

/// Describes a line in a sentence; for an event without one, returns its name and fields.
pub fn sentence(entry: &Entry) -> String {
    let text = |name: &str| entry.text(name);
    let value = |name: &str| entry.value(name);
    match entry.event.as_str() {
        "refused" => refused(entry),
        "over_quota" => format!(
            "account {} asked for {} units with {} left of its quota (rate {}, this gateway's share only: {})",
            text("account"),
            value("units"),
            value("left"),
            value("rate"),
            value("share_alone")
        ),
        "no_room" => format!(
            "no server had memory for {} tokens after {} ms: {} of {} servers were available, the \
             least loaded {} % full by a report {} ms old",
            value("memory"),
            value("waited_ms"),
            value("sound"),
            value("servers"),
            value("least_percent"),
            value("report_age_ms")
        ),
        "stream_begun" => stream_begun(entry),
        "served" => format!(
            "{} with status {} by server {} at attempt {}, {} ms after arrival; the server was {} % busy \
             by a report {} ms old, document {}",
            text("outcome"),
            value("status"),
            text("server"),
            value("tries"),
            value("age_ms"),
            value("busy_percent"),
            value("report_age_ms"),
            value("document")
        ),
        "answer_withheld" => format!(
            "server {} answered {}, {} ms after arrival, without the statement that the request did not \
             run; the caller must not take it for that",
            text("server"),
            value("status"),
            value("age_ms")
        ),
        "attempt_failed" | "server_lost" => format!(
            "server {} {} under request {}, {} ms after its arrival, with {} attempts sent before",
            text("server"),
            failure(text("failure")),
            text("request"),
            value("age_ms"),
            value("tries")
        ),
        "server_refused" => format!(
            "server {} refused attempt {}, so nothing ran there (address reused: {})",
            text("server"),
            value("tries"),
            value("address_reused")
        ),
        "no_permit" => format!(
            "the servers with capacity limit their calls and take the next one in {} ms, which is too \
             late; callers that were told to return before have the calls of {} ms",
            value("wait_ms"),
            value("retry_after_ms")
        ),
        "prefill_failed" => format!(
            "prefill server {} did not prefill the prompt: predicted {} ms, abandoned after {} ms; the \
             decode server prefills it",
            text("server"),
            value("predicted_ms"),
            value("took_ms")
        ),
        "repeat" => format!(
            "another attempt for service {} was {} by the retry budget ({})",
            text("service"),
            if value("granted") == "true" {
                "granted"
            } else {
                "refused"
            },
            text("purpose")
        ),
        "crashes_servers" => format!(
            "servers were lost under each run with {}, which is quarantined; the caller is told not to \
             return soon",
            text("fingerprint")
        ),
        "retry_sent" => format!(
            "a {} call beyond the first of the request went to server {}",
            text("purpose"),
            text("server")
        ),
        "not_resumed" => format!(
            "the stream was not resumed after event {}: {}",
            value("last_event"),
            text("reason")
        ),
        "stream_end" => format!(
            "the stream ended: {}, {} pieces in {} ms, first event after {} ms, longest pause {} ms",
            text("outcome"),
            value("pieces"),
            value("age_ms"),
            value("first_event_ms"),
            value("longest_pause_ms")
        ),
        "forwarded" => format!(
            "passed on through router {} after {} ms: {}",
            text("router"),
            value("age_ms"),
            match text("outcome") {
                "answered" => format!("it answered {}", value("status")),
                "declined" => "it declined, and nothing was sent to a server".to_owned(),
                _ => "it stopped replying; the request may have run".to_owned(),
            }
        ),
        "forward_end" => format!(
            "the answer from the other router ended after {} ms: {}",
            value("age_ms"),
            text("outcome")
        ),
        _ => state_change(entry),
    }
}

fn refused(entry: &Entry) -> String {
    let ran = match entry.value("status").as_str() {
        "502" | "504" => "it may have run",
        _ => "it did not run",
    };
    format!(
        "answered {} after {} ms, reason: {} ({ran}; retry after {} ms; document {})",
        entry.value("status"),
        entry.value("age_ms"),
        entry.text("reason"),
        entry.value("retry_after_ms"),
        entry.value("document")
    )
}

fn stream_begun(entry: &Entry) -> String {
    let prompt = match entry.text("prompt_server") {
        "" => "which prefilled the prompt itself".to_owned(),
        server => format!("after prefill server {server} prefilled the prompt"),
    };
    format!(
        "the stream began at decode server {}, {prompt}: placed after {} ms, first event after {} ms; \
         the server was {} % full with it by a report {} ms old; {} tokens of memory expected, \
         account {} had {} left, document {}",
        entry.text("server"),
        entry.value("waited_ms"),
        entry.value("age_ms"),
        entry.value("busy_percent"),
        entry.value("report_age_ms"),
        entry.value("expected_memory"),
        entry.text("account"),
        entry.value("quota_left"),
        entry.value("document")
    )
}

fn failure(failure: &str) -> &str {
    match failure {
        "not sent" => "could not be reached",
        "broken off" => "broke off",
        "silent" => "was silent for too long",
        other => other,
    }
}

fn state_change(entry: &Entry) -> String {
    let value = |name: &str| entry.value(name);
    match entry.event.as_str() {
        "document" => format!("document {} came into force", value("version")),
        "servers" => format!("applied a list of {} servers", value("count")),
        "list" => format!("the platform's list changed: {} servers", value("servers")),
        "path_lost" => format!(
            "no server of service {} could be reached; passes its requests on",
            entry.text("service")
        ),
        "path_restored" => format!(
            "server {} of service {} could be reached again after {} ms",
            entry.text("server"),
            entry.text("service"),
            value("after_ms")
        ),
        "leader" => format!(
            "reports to the leader at {} in term {}",
            entry.text("address"),
            value("term")
        ),
        "server_limit" => format!(
            "server {} named another limit of calls from all routers: {}",
            entry.text("server"),
            entry.text("limit")
        ),
        "evacuations" => format!(
            "the data centres being evacuated were now: {} (revision {})",
            match entry.text("data_centres") {
                "" => "none",
                names => names,
            },
            value("revision")
        ),
        "evacuation" => format!(
            "an operator's call to {} the evacuation of data centre {}: {}",
            entry.text("action"),
            entry.text("data_centre"),
            entry.text("outcome")
        ),
        "leader_lost" => "no leader answers; serves with the last known state".to_owned(),
        "process" => format!(
            "the process started: build {}, settings {}",
            entry.text("build"),
            entry.text("settings")
        ),
        "document_put" => format!(
            "an operator's document {}: {}",
            value("version"),
            entry.text("outcome")
        ),
        "leads" => format!("leads the control group in term {}", value("term")),
        "lead_lost" => format!("no longer leads in term {}", value("term")),
        "log_sampled" => format!(
            "lines of successful requests are kept for one request in {}",
            value("one_in")
        ),
        "log_dropped" => format!("{} lines of this log were dropped", value("lines")),
        _ => fields(entry),
    }
}

fn fields(entry: &Entry) -> String {
    let shown = entry.fields.iter().filter(|(name, _)| {
        !["ts", "n", "instance", "level", "event", "msg"].contains(&name.as_str())
    });
    let shown: Vec<String> = shown.map(|(name, v)| format!(" {name}={v}")).collect();
    let name = match entry.event.as_str() {
        "" => entry.text("msg"),
        event => event,
    };
    format!("{name}{}", shown.concat())
}
