//! The planners' sheet: one CSV file that describes the day.

pub mod cells;
pub mod plan;
pub mod row;
pub mod time;

use std::fmt;
use std::fs;
use std::path;

use crate::error;
use crate::sorted;
use crate::state::change;
use crate::state::check;
use crate::state::subject;

/// The columns of a sheet, in order.
pub const COLUMNS: [&str; 27] = [
    "kind",
    "name",
    "from",
    "rate",
    "burst",
    "priority",
    "weight",
    "first_token_ms",
    "between_tokens_ms",
    "max_output",
    "kv_bytes_per_token",
    "address",
    "data_centre",
    "role",
    "models",
    "routes",
    "state",
    "slots",
    "memory",
    "link",
    "checks_fencing",
    "prefix",
    "access",
    "idempotent_methods",
    "require_idempotency_key",
    "deadline_ms",
    "cost",
];

/// The largest sheet, in bytes.
pub const MAX_BYTES: u64 = 8 << 20;

/// A sheet whose rows are well formed.
#[derive(Clone, Debug)]
pub struct Sheet {
    rows: Vec<row::Row>,
    digest: u64,
}

/// Gathers faults with their line and column.
#[derive(Debug, Default)]
pub struct Faults {
    errors: Vec<error::Error>,
}

impl Faults {
    /// Adds a fault.
    pub fn push(
        &mut self,
        line: u64,
        column: &str,
        value: impl fmt::Display,
        remedy: impl Into<String>,
    ) {
        let field = format!("line {line}, column {column}");
        self.errors
            .push(error::Error::bad_value(field, value, remedy));
    }

    fn into_result<T>(self, value: T) -> error::Result<T> {
        if self.errors.is_empty() {
            return Ok(value);
        }
        Err(error::Error::several(self.errors))
    }
}

impl Sheet {
    /// Reads and checks a sheet.
    ///
    /// # Errors
    ///
    /// Names line, column, value and remedy of every fault.
    pub fn from_file(path: &path::Path) -> error::Result<Self> {
        let io = |e| error::Error::io(format!("reading sheet {}", path.display()), e);
        let size = fs::metadata(path).map_err(io)?.len();
        if size > MAX_BYTES {
            let remedy = format!("keep a sheet below {MAX_BYTES} bytes");
            return Err(error::Error::bad_value("sheet", size, remedy));
        }
        Self::from_csv(&fs::read(path).map_err(io)?)
    }

    /// Reads and checks the bytes of a sheet.
    ///
    /// # Errors
    ///
    /// Names line, column, value and remedy of every fault.
    pub fn from_csv(bytes: &[u8]) -> error::Result<Self> {
        let mut faults = Faults::default();
        let rows = read_rows(bytes, &mut faults);
        let sheet = Self {
            rows,
            digest: xxhash_rust::xxh3::xxh3_64(bytes),
        };
        check_once(&sheet.rows, &mut faults);
        for row in &sheet.rows {
            check_values(row, &mut faults);
        }
        let at_once = [time::TimeOfDay::MIDNIGHT];
        for at in at_once.into_iter().chain(sheet.times()) {
            sheet.duplicates(at, &mut faults);
        }
        faults.into_result(sheet)
    }

    /// Returns the digest of the sheet's bytes.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the times of day that rows name, in order.
    pub fn times(&self) -> Vec<time::TimeOfDay> {
        let mut times: Vec<_> = self.rows.iter().filter_map(|r| r.from).collect();
        times.sort_unstable();
        times.dedup();
        times
    }

    /// Returns the rows in effect at a time of day: of the rows for the same thing the one with
    /// the latest time that has come; rows without a time come before all others.
    ///
    /// With no time given, only rows without a time count.
    pub fn rows_at(&self, at: Option<time::TimeOfDay>) -> Vec<&row::Row> {
        let mut chosen: sorted::Map<subject::Subject, &row::Row> = sorted::Map::new();
        for row in self.rows.iter().filter(|r| r.from <= at) {
            let best = chosen.get_or_insert_with(row.subject(), || row);
            if row.from > best.from {
                *best = row;
            }
        }
        chosen.values().copied().collect()
    }

    /// Tells whether any row, at whatever time, names the subject.
    pub fn names(&self, subject: &subject::Subject) -> bool {
        self.rows.iter().any(|row| row.subject() == *subject)
    }

    fn duplicates(&self, at: time::TimeOfDay, faults: &mut Faults) {
        let mut config = change::Config::default();
        let rows = self.rows_at(Some(at));
        for row in &rows {
            config.apply_change(&row.put);
        }
        for fault in check::duplicates(&config) {
            let line = rows
                .iter()
                .filter(|row| fault.field.starts_with(&format!("{}: ", row.title())));
            let line = line.map(|row| row.line).next().unwrap_or(1);
            faults.push(line, column_of(&fault), &fault.value, &fault.remedy);
        }
    }
}

fn read_rows(bytes: &[u8], faults: &mut Faults) -> Vec<row::Row> {
    let mut reader = csv::ReaderBuilder::new()
        .has_headers(false)
        .flexible(true)
        .trim(csv::Trim::All)
        .from_reader(bytes);
    let mut rows = Vec::new();
    let mut header_seen = false;
    for record in reader.records() {
        let record = match record {
            Ok(record) => record,
            Err(e) => {
                let line = e.position().map_or(1, csv::Position::line);
                faults.push(line, "(all)", e, "save the sheet as CSV in UTF-8");
                continue;
            }
        };
        let line = record.position().map_or(1, csv::Position::line);
        if !header_seen {
            header_seen = true;
            check_header(line, &record, faults);
        } else if record.len() != COLUMNS.len() {
            let remedy = format!("give each of the {} columns, empty or not", COLUMNS.len());
            faults.push(line, "(all)", record.len(), remedy);
        } else if let Some(row) = row::Row::from_cells(cells::Cells::new(line, &record), faults) {
            rows.push(row);
        }
    }
    if !header_seen {
        faults.push(1, "(all)", "(empty)", "begin with the documented header");
    }
    rows
}

fn check_header(line: u64, record: &csv::StringRecord, faults: &mut Faults) {
    if record.len() != COLUMNS.len() {
        let remedy = format!("use the header {}", COLUMNS.join(","));
        faults.push(line, "(header)", record.len(), remedy);
        return;
    }
    // A spreadsheet may put a byte order mark before the first name.
    let names = record
        .iter()
        .map(|name| name.trim_start_matches('\u{feff}'));
    for (name, column) in names.zip(COLUMNS) {
        if name != column {
            faults.push(line, column, name, format!("name this column `{column}`"));
        }
    }
}

fn check_once(rows: &[row::Row], faults: &mut Faults) {
    let mut seen = sorted::Map::new();
    for row in rows {
        if let Some(line) = seen.insert((row.subject(), row.from), row.line) {
            let remedy = format!("name it once for each time; line {line} does so too");
            faults.push(row.line, "name", &row.subject().name, remedy);
        }
    }
}

fn check_values(row: &row::Row, faults: &mut Faults) {
    for fault in check::standalone(&row.put) {
        faults.push(row.line, column_of(&fault), &fault.value, &fault.remedy);
    }
}

/// Finds the column that a fault of the state machine's checks is about.
fn column_of(fault: &check::Fault) -> &'static str {
    let name = fault.field.rsplit(": ").next().unwrap_or_default();
    let is_it = |column: &&&str| **column == name || column.strip_suffix("_ms") == Some(name);
    COLUMNS.iter().find(is_it).copied().unwrap_or("name")
}
