//! Parses lines of structured logs.

use crate::error;
use crate::event;

/// One line of a process's structured log.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The time of the line on the hybrid logical clock.
    pub at: event::Stamp,
    /// The instance that wrote the line.
    pub instance: String,
    /// The name of the event; empty for a line with a message only.
    pub event: String,
    /// All fields of the line, including those above.
    pub fields: serde_json::Map<String, serde_json::Value>,
}

impl Entry {
    /// Parses a line; text before the first brace, such as the prefix of a log collector, is
    /// skipped.
    ///
    /// # Errors
    ///
    /// Fails when the line is not JSON or has no `ts`, `n` or `instance`; `source` names the line
    /// in the error.
    pub fn from_text(text: &str, source: &str) -> error::Result<Self> {
        let invalid = |why: &str| {
            let remedy =
                "give log files that hold only what our processes write to standard output";
            error::Error::damaged(format!("{source}: {why}"), remedy)
        };
        let start = text.find('{').ok_or_else(|| invalid("no JSON object"))?;
        let fields: serde_json::Map<String, serde_json::Value> =
            serde_json::from_str(&text[start..]).map_err(|e| invalid(&e.to_string()))?;
        let number = |name: &str| fields.get(name).and_then(serde_json::Value::as_u64);
        let string = |name: &str| fields.get(name).and_then(serde_json::Value::as_str);
        let wall = number("ts").ok_or_else(|| invalid("no `ts`"))?;
        let instance = string("instance").ok_or_else(|| invalid("no `instance`"))?;
        let counter = number("n").ok_or_else(|| invalid("no `n`"))?;
        Ok(Self {
            at: event::Stamp {
                wall,
                counter: u32::try_from(counter).unwrap_or(u32::MAX),
            },
            instance: instance.to_owned(),
            event: string("event").unwrap_or_default().to_owned(),
            fields,
        })
    }

    /// Returns whether the line is about a request.
    pub fn is_about(&self, request: &str) -> bool {
        self.text("request") == request
    }

    /// Returns the key that sorts lines in causal order.
    pub fn sort_key(&self) -> (event::Stamp, &str) {
        (self.at, &self.instance)
    }

    /// Returns the value of a text field, or an empty text when the line has no such field.
    pub fn text(&self, name: &str) -> &str {
        let field = self.fields.get(name);
        field
            .and_then(serde_json::Value::as_str)
            .unwrap_or_default()
    }

    /// Returns the JSON of a field, or `unknown` when the line has none; for numbers and booleans.
    pub fn value(&self, name: &str) -> String {
        let field = self.fields.get(name);
        field.map_or_else(|| "unknown".to_owned(), ToString::to_string)
    }
}
