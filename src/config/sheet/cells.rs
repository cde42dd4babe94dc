//! The cells of one row of a sheet.

use std::str;

use crate::config::sheet;
use crate::error;

/// One row, read cell by cell.
#[derive(Clone, Copy, Debug)]
pub struct Cells<'a> {
    /// The line of the row in the file; the header has 1.
    pub line: u64,
    record: &'a csv::StringRecord,
}

impl<'a> Cells<'a> {
    /// Wraps a record that has all columns.
    ///
    /// # Panics
    ///
    /// Panics if the record does not have one cell for each column of the sheet.
    pub fn new(line: u64, record: &'a csv::StringRecord) -> Self {
        assert_eq!(record.len(), sheet::COLUMNS.len());
        Self { line, record }
    }

    /// Returns the text of a cell.
    pub fn text(&self, column: &str) -> &'a str {
        let at = sheet::COLUMNS.iter().position(|name| *name == column);
        at.and_then(|at| self.record.get(at)).unwrap_or_default()
    }

    /// Reads a cell that must be filled; a fault is reported and gives `None`.
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

    /// Reads a cell that may be empty; `Some(None)` is an empty one, `None` a reported fault.
    pub fn optional<T>(&self, column: &str, faults: &mut sheet::Faults) -> Option<Option<T>>
    where
        T: str::FromStr<Err = error::Error>,
    {
        match self.text(column) {
            "" => Some(None),
            text => self.parse(column, text, faults).map(Some),
        }
    }

    /// Reads a cell with names separated by spaces.
    pub fn list<T>(&self, column: &str, faults: &mut sheet::Faults) -> Option<Vec<T>>
    where
        T: str::FromStr<Err = error::Error>,
    {
        let words = self.text(column).split_whitespace();
        let items: Vec<_> = words.map(|word| self.parse(column, word, faults)).collect();
        items.into_iter().collect()
    }

    /// Reads a cell that says `yes` or `no`.
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

    /// Reports every filled cell outside `columns`.
    pub fn only(&self, columns: &[&str], faults: &mut sheet::Faults) {
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

/// Takes the remedy out of `field: bad value `x`: remedy`.
fn remedy_of(e: &error::Error) -> String {
    let message = e.to_string();
    match message.rsplit_once("`: ") {
        Some((_, remedy)) => remedy.to_owned(),
        None => message,
    }
}
