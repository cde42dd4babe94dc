//! Explains what became of a request from the logs of several processes.
//!
//! Lines carry the hybrid logical clock of their process, which every message between processes
//! hands on, so that sorting by it puts causes before their effects.

pub mod line;

mod words;

use std::fmt::Write as _;

use crate::clock;
use crate::error;
use crate::sorted;

use line::Entry;

/// The events that say what a process believes; the last of each before a request decides with it.
const BELIEFS: [&str; 6] = [
    "leader",
    "leader_lost",
    "document",
    "servers",
    "phase",
    "log_sampled",
];

/// The events of a leader that change what it tells the others, beside losses of lines.
const CHANGES: [&str; 8] = [
    "list",
    "list_lost",
    "list_regained",
    "document_put",
    "leads",
    "lead_lost",
    "process",
    "log_dropped",
];

/// How long before a request changes elsewhere are shown: longer than a list takes to get round.
const BEFORE: clock::Millis = clock::Millis::from_secs(2);

/// The lines of several processes that matter for one request.
#[derive(Debug)]
pub struct Story {
    request: String,
    entries: Vec<Entry>,
}

impl Story {
    /// Starts the story of a request, named as its caller named it.
    pub fn new(request: impl Into<String>) -> Self {
        Self {
            request: request.into(),
            entries: Vec::new(),
        }
    }

    /// Takes in one line of a log; `source` names its file and number for errors.
    ///
    /// # Errors
    ///
    /// Fails when the line is none of ours.
    pub fn add(&mut self, text: &str, source: &str) -> error::Result<()> {
        if text.trim().is_empty() {
            return Ok(());
        }
        let entry = Entry::from_text(text, source)?;
        let told = entry.is_of(&self.request)
            || BELIEFS.contains(&entry.event.as_str())
            || CHANGES.contains(&entry.event.as_str())
            || entry.event == "server_lost";
        if told {
            self.entries.push(entry);
        }
        Ok(())
    }

    /// Returns the lines of the request alone, in causal order.
    pub fn own(&self) -> Vec<&Entry> {
        let of_request = self.entries.iter().filter(|e| e.is_of(&self.request));
        let mut own: Vec<&Entry> = of_request.collect();
        own.sort_by_key(|e| e.order());
        own
    }

    /// Tells the story in plain words, a decision a line.
    ///
    /// # Errors
    ///
    /// Fails when no line is of the request.
    pub fn tell(&self) -> error::Result<String> {
        let own = self.own();
        let (Some(first), Some(last)) = (own.first(), own.last()) else {
            let remedy = "give the logs of all gateways; under load only one request in some that \
                          went well is kept, see log_sampled";
            return Err(error::Error::missing("request", &self.request, remedy));
        };
        let (begin, end) = (first.at.wall, last.at.wall);
        let mut out = format!("request {}\n", self.request);
        for instance in instances(&own) {
            self.tell_beliefs(&mut out, instance, begin);
        }
        let around = begin.saturating_sub(BEFORE.as_u64())..=end;
        let mut lines: Vec<&Entry> = self
            .entries
            .iter()
            .filter(|e| e.is_of(&self.request) || self.bears_on(e, &own, &around))
            .collect();
        lines.sort_by_key(|e| e.order());
        for entry in lines {
            let after = entry.at.wall as i64 - begin as i64;
            let mut words = words::describe(entry);
            if !entry.is_of(&self.request) {
                words = format!("({words})");
            }
            // Writing to a string does not fail.
            let _ = writeln!(out, "{after:>+8} ms  {}  {words}", entry.instance);
        }
        Ok(out.trim_end().to_owned())
    }

    /// Tells whether a line that is not of the request may have decided about it: a change of what
    /// was believed, or the loss of a server that it used.
    fn bears_on(
        &self,
        entry: &Entry,
        own: &[&Entry],
        around: &std::ops::RangeInclusive<u64>,
    ) -> bool {
        if !around.contains(&entry.at.wall) {
            return false;
        }
        if entry.event == "server_lost" {
            let server = entry.text("server");
            return own.iter().any(|e| e.text("server") == server);
        }
        let here = own.iter().any(|e| e.instance == entry.instance);
        let began = own.first().is_some_and(|e| e.at <= entry.at);
        CHANGES.contains(&entry.event.as_str()) || (here && began)
    }

    /// Tells what an instance believed when the request came.
    fn tell_beliefs(&self, out: &mut String, instance: &str, begin: u64) {
        for event in BELIEFS {
            let before = self
                .entries
                .iter()
                .filter(|e| e.event == event && e.instance == instance && e.at.wall <= begin);
            if let Some(entry) = before.max_by_key(|e| e.order()) {
                let age = clock::Millis::new(begin - entry.at.wall);
                let words = words::describe(entry);
                let _ = writeln!(out, "  {age} before  {instance}  {words}");
            }
        }
    }
}

fn instances<'a>(own: &[&'a Entry]) -> Vec<&'a str> {
    let mut names = sorted::Map::new();
    for entry in own {
        names.get_or_insert_with(entry.instance.as_str(), || ());
    }
    names.keys().copied().collect()
}
