//! Authentication of operators by bearer tokens.

use std::fs;
use std::path;

use sha2::Digest as _;

use crate::error;
use crate::id;

pub const MIN_TOKEN_BYTES: usize = 16;

/// The operators that may use the admin interface.
///
/// Stores only the SHA-256 digests of their tokens. The digest of a presented token is compared
/// with every entry in full, so that the time taken reveals nothing about the tokens.
#[derive(Clone, Debug)]
pub struct Operators {
    entries: Vec<Entry>,
}

#[derive(Clone, Debug)]
struct Entry {
    name: String,
    digest: [u8; 32],
}

impl Operators {
    /// Reads a file with one `name token` pair per line; empty lines and lines with `#` are
    /// skipped.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be read, has no pair or has invalid lines; lists every invalid
    /// line without its token.
    pub fn from_file(path: &path::Path) -> error::Result<Self> {
        let text = fs::read_to_string(path)
            .map_err(|e| error::Error::io(format!("reading operators {}", path.display()), e))?;
        Self::from_text(&text)
    }

    /// Parses the text of an operators file; see [`Self::from_file`].
    ///
    /// # Errors
    ///
    /// Fails when the text has no pair or has invalid lines; lists every invalid line without its
    /// token.
    pub fn from_text(text: &str) -> error::Result<Self> {
        let mut entries: Vec<Entry> = Vec::new();
        let mut faults = Vec::new();
        for (i, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            match read_line(line) {
                Ok(entry) if entries.iter().any(|e| e.name == entry.name) => {
                    faults.push(fault(i, &entry.name, "name each operator once"));
                }
                Ok(entry) => entries.push(entry),
                Err(remedy) => faults.push(fault(i, "(hidden)", remedy)),
            }
        }
        if entries.is_empty() && faults.is_empty() {
            faults.push(fault(0, "(empty)", "write one `name token` pair a line"));
        }
        if faults.is_empty() {
            return Ok(Self { entries });
        }
        Err(error::Error::several(faults))
    }

    /// Returns the name of the operator to whom a token belongs.
    pub fn name_of(&self, token: &[u8]) -> Option<&str> {
        let digest: [u8; 32] = sha2::Sha256::digest(token).into();
        let mut found = None;
        for entry in &self.entries {
            if is_equal(&entry.digest, &digest) {
                found = Some(entry.name.as_str());
            }
        }
        found
    }
}

fn read_line(line: &str) -> Result<Entry, &'static str> {
    let mut words = line.split_whitespace();
    let (Some(name), Some(token), None) = (words.next(), words.next(), words.next()) else {
        return Err("write a name, a space and a token");
    };
    if id::check_name("operator", name).is_err() {
        return Err("use 1 to 64 of the characters a-z A-Z 0-9 . _ : - in the name");
    }
    if token.len() < MIN_TOKEN_BYTES {
        return Err("use a token of at least 16 random characters");
    }
    Ok(Entry {
        name: name.to_owned(),
        digest: sha2::Sha256::digest(token.as_bytes()).into(),
    })
}

fn fault(line: usize, value: &str, remedy: &str) -> error::Error {
    error::Error::bad_value(format!("operators_file line {}", line + 1), value, remedy)
}

fn is_equal(a: &[u8; 32], b: &[u8; 32]) -> bool {
    let difference = a.iter().zip(b).fold(0, |bits, (x, y)| bits | (x ^ y));
    difference == 0
}
