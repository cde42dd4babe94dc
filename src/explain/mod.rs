//! Explains how a request was handled, from the logs of several processes.
//!
//! Each line carries the hybrid logical clock of its process, which every message between processes
//! passes on. Sorting lines by it puts causes before their effects.

pub mod line;

mod describe;

use std::fmt::Write as _;

use crate::clock;
use crate::error;
use crate::sorted;

use line::Entry;

/// Events that set the state by which a process handles requests. The last one of each before a
/// request began is part of the request's explanation.
const STATE_EVENTS: [&str; 7] = [
    "leader",
    "leader_lost",
    "document",
    "servers",
    "evacuations",
    "phase",
    "log_sampled",
];

/// Events of any process that may affect requests elsewhere: changes to what the leader sends to
/// the other processes, starts of processes and losses of log lines.
const CHANGE_EVENTS: [&str; 9] = [
    "list",
    "list_lost",
    "list_regained",
    "document_put",
    "evacuation",
    "leads",
    "lead_lost",
    "process",
    "log_dropped",
];

/// The time before a request in which events of other processes are included; longer than a list of
/// servers takes to reach all processes.
const LOOKBACK: clock::Millis = clock::Millis::from_secs(2);

/// The log lines of several processes that are relevant to one request.
#[derive(Debug)]
pub struct Explanation {
    request: String,
    entries: Vec<Entry>,
}

impl Explanation {
    /// Starts without lines; `request` is the request's name as its caller gave it.
    pub fn new(request: impl Into<String>) -> Self {
        Self {
            request: request.into(),
            entries: Vec::new(),
        }
    }

    /// Adds one line of a log if it is relevant; `source` is its file and line number, for errors.
    ///
    /// # Errors
    ///
    /// Fails when the line is neither empty nor accepted by [`Entry::from_text`].
    pub fn add(&mut self, text: &str, source: &str) -> error::Result<()> {
        if text.trim().is_empty() {
            return Ok(());
        }
        let entry = Entry::from_text(text, source)?;
        let relevant = entry.is_about(&self.request)
            || STATE_EVENTS.contains(&entry.event.as_str())
            || CHANGE_EVENTS.contains(&entry.event.as_str())
            || entry.event == "server_lost";
        if relevant {
            self.entries.push(entry);
        }
        Ok(())
    }

    /// Returns only the lines about the request, in causal order.
    pub fn request_lines(&self) -> Vec<&Entry> {
        let about_request = self.entries.iter().filter(|e| e.is_about(&self.request));
        let mut request_lines: Vec<&Entry> = about_request.collect();
        request_lines.sort_by_key(|e| e.sort_key());
        request_lines
    }

    /// Renders the explanation as text, with one decision per line.
    ///
    /// # Errors
    ///
    /// Fails when no line is about the request.
    pub fn to_text(&self) -> error::Result<String> {
        let request_lines = self.request_lines();
        let (Some(first), Some(last)) = (request_lines.first(), request_lines.last()) else {
            let remedy = "give the logs of all gateways; under load, successful requests are only \
                          logged as a sample, see log_sampled";
            return Err(error::Error::missing("request", &self.request, remedy));
        };
        let (begin, end) = (first.at.wall, last.at.wall);
        let mut out = format!("request {}\n", self.request);
        for instance in instances(&request_lines) {
            self.write_state(&mut out, instance, begin);
        }
        let period = begin.saturating_sub(LOOKBACK.as_u64())..=end;
        let mut lines: Vec<&Entry> = self
            .entries
            .iter()
            .filter(|e| e.is_about(&self.request) || self.may_affect(e, &request_lines, &period))
            .collect();
        lines.sort_by_key(|e| e.sort_key());
        for entry in lines {
            let after = entry.at.wall as i64 - begin as i64;
            let mut sentence = describe::sentence(entry);
            if !entry.is_about(&self.request) {
                sentence = format!("({sentence})");
            }
            // Writing to a string does not fail.
            let _ = writeln!(out, "{after:>+8} ms  {}  {sentence}", entry.instance);
        }
        Ok(out.trim_end().to_owned())
    }

    /// Returns whether a line that is not about the request may have affected it: a change of
    /// state, or the loss of a server that the request used.
    fn may_affect(
        &self,
        entry: &Entry,
        request_lines: &[&Entry],
        period: &std::ops::RangeInclusive<u64>,
    ) -> bool {
        if !period.contains(&entry.at.wall) {
            return false;
        }
        if entry.event == "server_lost" {
            let server = entry.text("server");
            return request_lines.iter().any(|e| e.text("server") == server);
        }
        let same_instance = request_lines.iter().any(|e| e.instance == entry.instance);
        let after_start = request_lines.first().is_some_and(|e| e.at <= entry.at);
        CHANGE_EVENTS.contains(&entry.event.as_str()) || (same_instance && after_start)
    }

    /// Writes the state of an instance when the request began.
    fn write_state(&self, out: &mut String, instance: &str, begin: u64) {
        for event in STATE_EVENTS {
            let before = self
                .entries
                .iter()
                .filter(|e| e.event == event && e.instance == instance && e.at.wall <= begin);
            if let Some(entry) = before.max_by_key(|e| e.sort_key()) {
                let age = clock::Millis::new(begin - entry.at.wall);
                let sentence = describe::sentence(entry);
                let _ = writeln!(out, "  {age} before  {instance}  {sentence}");
            }
        }
    }
}

fn instances<'a>(request_lines: &[&'a Entry]) -> Vec<&'a str> {
    let mut names = sorted::Map::new();
    for entry in request_lines {
        names.get_or_insert_with(entry.instance.as_str(), || ());
    }
    names.keys().copied().collect()
}
