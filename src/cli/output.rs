//! What a command prints.

use std::fmt;

use serde::Serialize;
use serde_json::Value;

use crate::error;

/// What a command prints, for people and for programs.
#[derive(Clone, Debug, Default)]
pub struct Output {
    /// Lines for people.
    pub text: String,
    /// The same for programs.
    pub json: Value,
}

impl Output {
    /// Pairs lines with their value.
    ///
    /// # Errors
    ///
    /// Fails when the value has no JSON form, which points to a fault in the program.
    pub fn new<T: Serialize>(text: impl Into<String>, value: &T) -> error::Result<Self> {
        let json = serde_json::to_value(value)
            .map_err(|e| error::Error::damaged(format!("output: {e}"), "report this fault"))?;
        let text = text.into();
        Ok(Self { text, json })
    }
}

/// Rows of text with aligned columns.
#[derive(Clone, Debug)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Starts a table with its header.
    pub fn new(header: &[&str]) -> Self {
        let header = header.iter().map(|name| (*name).to_owned()).collect();
        Self { rows: vec![header] }
    }

    /// Adds a row.
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
