//! Reads the cells of a row of a sheet.

use std::str;

use crate::config::sheet;
use crate::error;

/// Reads the cells of one row by the names of their columns.
#[derive(Clone, Copy, Debug)]
pub struct Reader<'a> {
    /// The line number of the row in the file, counted from 1.
    pub line: u64,
    record: &'a csv::StringRecord,
}

impl<'a> Reader<'a> {
    /// Makes a reader for a record that has all columns.
    ///
    /// # Panics
    ///
    /// Panics if the record does not have one cell for each of [`sheet::COLUMNS`].
    pub fn new(line: u64, record: &'a csv::StringRecord) -> Self {
        assert_eq!(record.len(), sheet::COLUMNS.len());
        Self { line, record }
    }

    /// Returns the text of a cell; empty if there is no such column.
    pub fn text(&self, column: &str) -> &'a str {
        let at = sheet::COLUMNS.iter().position(|name| *name == column);
        at.and_then(|at| self.record.get(at)).unwrap_or_default()
    }

    /// Parses a cell that must not be empty; returns `None` after adding a fault.
    pub fn required<T>(&self, column: &str, faults: &mut sheet::Faults) -> Option<T>
    where
        T: str::FromStr<Err = error::Error>,
    {
        let text = self.text(column);
        if text.is_empty() {
            let kind = self.text("kind");
            let remedy = format!("fill it in; a row of kind {kind} needs it");
            faults.push(self.line, column, "(empty)", remedy);
            return None;
        }
        self.parse(column, text, faults)
    }

    /// Parses a cell that may be empty.
    ///
    /// Returns `Some(None)` for an empty cell, and `None` after adding a fault.
    pub fn optional<T>(&self, column: &str, faults: &mut sheet::Faults) -> Option<Option<T>>
    where
        T: str::FromStr<Err = error::Error>,
    {
        match self.text(column) {
            "" => Some(None),
            text => self.parse(column, text, faults).map(Some),
        }
    }

    /// Parses a cell of values separated by spaces; returns `None` after adding a fault.
    pub fn list<T>(&self, column: &str, faults: &mut sheet::Faults) -> Option<Vec<T>>
    where
        T: str::FromStr<Err = error::Error>,
    {
        let words = self.text(column).split_whitespace();
        let items: Vec<_> = words.map(|word| self.parse(column, word, faults)).collect();
        items.into_iter().collect()
    }

    /// Parses a cell that is `yes` or `no`; returns `None` after adding a fault.
    pub fn yes_or_no(&self, column: &str, faults: &mut sheet::Faults) -> Option<bool> {
        match self.text(column) {
            "yes" => Some(true),
            "no" => Some(false),
            text => {
                faults.push(self.line, column, text, "use `yes` or `no`");
                None
            }
        }
    }

    /// Adds a fault for each non-empty cell outside `columns`, `kind`, `name` and `from`.
    pub fn allow_only(&self, columns: &[&str], faults: &mut sheet::Faults) {
        for (column, text) in sheet::COLUMNS.iter().zip(self.record) {
            let allowed = columns.contains(column) || ["kind", "name", "from"].contains(column);
            if !allowed && !text.is_empty() {
                let kind = self.text("kind");
                let remedy = format!("leave it empty; a row of kind {kind} has none");
                faults.push(self.line, column, text, remedy);
            }
        }
    }

    fn parse<T>(&self, column: &str, text: &str, faults: &mut sheet::Faults) -> Option<T>
    where
        T: str::FromStr<Err = error::Error>,
    {
        match text.parse() {
            Ok(value) => Some(value),
            Err(e) => {
                faults.push(self.line, column, text, remedy_of(&e));
                None
            }
        }
    }
}

/// Returns the remedy of an error whose message is ``field: bad value `x`: remedy``.
fn remedy_of(e: &error::Error) -> String {
    let message = e.to_string();
    match message.rsplit_once("`: ") {
        Some((_, remedy)) => remedy.to_owned(),
        None => message,
    }
}
