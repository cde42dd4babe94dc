//! The output of a command, as text and as JSON.

use std::fmt;

use serde::Serialize;
use serde_json::Value;

use crate::error;

/// The output of a command, in both forms.
#[derive(Clone, Debug, Default)]
pub struct Output {
    /// The output as text, without a final newline.
    pub text: String,
    /// The output as JSON, for `--json`.
    pub json: Value,
}

impl Output {
    /// Makes an output from its text and the value to print as JSON.
    ///
    /// # Errors
    ///
    /// Fails if the value can't be encoded as JSON, which is a fault in the program.
    pub fn new<T: Serialize>(text: impl Into<String>, value: &T) -> error::Result<Self> {
        let json = serde_json::to_value(value).map_err(|e| {
            error::Error::damaged(format!("command output ({e})"), "report this fault")
        })?;
        let text = text.into();
        Ok(Self { text, json })
    }
}

/// A text table with aligned columns.
#[derive(Clone, Debug)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Makes a table that has only its header.
    pub fn new(header: &[&str]) -> Self {
        let header = header.iter().map(|name| (*name).to_owned()).collect();
        Self { rows: vec![header] }
    }

    /// Adds a row, which must have as many cells as the header.
    pub fn push(&mut self, row: &[&dyn fmt::Display]) {
        self.rows
            .push(row.iter().map(ToString::to_string).collect());
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let columns = self.rows[0].len();
        let width = |i: usize| self.rows.iter().map(|row| row[i].len()).max().unwrap_or(0);
        let widths: Vec<_> = (0..columns).map(width).collect();
        for (i, row) in self.rows.iter().enumerate() {
            let cells = row.iter().zip(&widths);
            let line: Vec<_> = cells
                .map(|(cell, width)| format!("{cell:width$}"))
                .collect();
            let end = if i + 1 == self.rows.len() { "" } else { "\n" };
            write!(f, "{}{end}", line.join("  ").trim_end())?;
        }
        Ok(())
    }
}
