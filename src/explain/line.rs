//! One structured line of a log.

use crate::error;
use crate::event;

/// A line of a process's structured log.
#[derive(Clone, Debug)]
pub struct Entry {
    /// When, on the hybrid logical clock.
    pub at: event::Stamp,
    /// The instance that wrote it.
    pub instance: String,
    /// The name of the event, or nothing for a line of plain text.
    pub event: String,
    /// All fields.
    pub fields: serde_json::Map<String, serde_json::Value>,
}

impl Entry {
    /// Reads a line; what a collector put before the first brace is left out.
    ///
    /// # Errors
    ///
    /// Fails when the line is none of ours; `source` names it.
    pub fn from_text(text: &str, source: &str) -> error::Result<Self> {
        let foreign = |why: &str| {
            let remedy = "give files with the lines that our processes write on standard output";
            error::Error::damaged(format!("{source}: {why}"), remedy)
        };
        let start = text.find('{').ok_or_else(|| foreign("no JSON object"))?;
        let fields: serde_json::Map<String, serde_json::Value> =
            serde_json::from_str(&text[start..]).map_err(|e| foreign(&e.to_string()))?;
        let number = |name: &str| fields.get(name).and_then(serde_json::Value::as_u64);
        let word = |name: &str| fields.get(name).and_then(serde_json::Value::as_str);
        let wall = number("ts").ok_or_else(|| foreign("no `ts`"))?;
        let instance = word("instance").ok_or_else(|| foreign("no `instance`"))?;
        let counter = number("n").ok_or_else(|| foreign("no `n`"))?;
        Ok(Self {
            at: event::Stamp {
                wall,
                counter: u32::try_from(counter).unwrap_or(u32::MAX),
            },
            instance: instance.to_owned(),
            event: word("event").unwrap_or_default().to_owned(),
            fields,
        })
    }

    /// Tells whether the line is of a request.
    pub fn is_of(&self, request: &str) -> bool {
        self.text("request") == request
    }

    /// Returns what sorts lines in causal order.
    pub fn order(&self) -> (event::Stamp, &str) {
        (self.at, &self.instance)
    }

    /// Returns a field of text, or nothing when there is none.
    pub fn text(&self, name: &str) -> &str {
        let field = self.fields.get(name);
        field
            .and_then(serde_json::Value::as_str)
            .unwrap_or_default()
    }

    /// Returns a field that is a number or a truth value, as it prints.
    pub fn value(&self, name: &str) -> String {
        let field = self.fields.get(name);
        field.map_or_else(|| "unknown".to_owned(), ToString::to_string)
    }
}
