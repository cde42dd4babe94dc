//! Commands that work on local files, without the control group.

use std::fs;
use std::io;
use std::io::Write as _;
use std::os::unix::fs::OpenOptionsExt as _;
use std::path;

use serde_json::json;

use crate::cli::output;
use crate::config::check;
use crate::config::file;
use crate::error;
use crate::http::admin::token;
use crate::id;

/// The number of random bytes in a secret or token.
const SECRET_BYTES: usize = 32;

/// The file mode of secrets: only the owner may read or write them.
const SECRET_MODE: u32 = 0o600;

/// Checks settings files, each by itself and as one deployment.
///
/// # Errors
///
/// Fails if there are faults; the error names all of them.
pub fn check(files: &[path::PathBuf]) -> error::Result<output::Output> {
    let mut valid = Vec::new();
    let mut faults = Vec::new();
    for path in files {
        match file::Settings::from_file(path) {
            Ok(cfg) => valid.push(cfg),
            Err(e) => {
                let text = format!("{}:\n{e}", path.display());
                faults.push(error::Error::bad_value(
                    "file",
                    text,
                    "correct the fields named",
                ));
            }
        }
    }
    faults.extend(check::deployment(&valid));
    if !faults.is_empty() {
        return Err(error::Error::several(faults));
    }
    output::Output::new("ok", &json!({ "ok": true }))
}

/// Creates a file with a new secret.
///
/// # Errors
///
/// Fails if the file exists, which is then left unchanged, or can't be written.
pub fn make_secret(path: &path::Path) -> error::Result<output::Output> {
    let mut options = fs::OpenOptions::new();
    options.write(true).create_new(true).mode(SECRET_MODE);
    let text = format!("{}\n", random_hex());
    options
        .open(path)
        .and_then(|mut file| write_synced(&mut file, &text))
        .map_err(|e| error::Error::io(format!("making secret {}", path.display()), e))?;
    let text = format!("made {}", path.display());
    output::Output::new(text, &json!({ "file": path }))
}

/// Adds an operator with a new token to an operators file.
///
/// # Errors
///
/// Fails if the name is invalid or taken, or the file can't be read or written.
pub fn add_token(name: &str, path: &path::Path) -> error::Result<output::Output> {
    id::check_name("operator", name)?;
    let existing = match fs::read_to_string(path) {
        Ok(text) => text,
        Err(e) if e.kind() == io::ErrorKind::NotFound => String::new(),
        Err(e) => return Err(error::Error::io(format!("reading {}", path.display()), e)),
    };
    let line = format!("{name} {}\n", random_hex());
    let separator = if existing.is_empty() || existing.ends_with('\n') {
        ""
    } else {
        "\n"
    };
    token::Operators::from_text(&format!("{existing}{separator}{line}"))?;
    let mut options = fs::OpenOptions::new();
    options.append(true).create(true).mode(SECRET_MODE);
    options
        .open(path)
        .and_then(|mut file| write_synced(&mut file, &format!("{separator}{line}")))
        .map_err(|e| error::Error::io(format!("adding to {}", path.display()), e))?;
    let text = format!("added {name} to {}", path.display());
    output::Output::new(text, &json!({ "operator": name, "file": path }))
}

/// Returns a new random secret for a key: `bck_` and 64 hex digits.
pub fn random_key_secret() -> String {
    format!("bck_{}", random_hex())
}

/// Reads the secret of a key from a file, or creates the file with a new secret.
///
/// # Errors
///
/// Fails if the file can't be read or written, or does not contain such a secret.
pub fn key_secret_from_file(path: &path::Path) -> error::Result<String> {
    let io = |e| error::Error::io(format!("key secret {}", path.display()), e);
    let mut options = fs::OpenOptions::new();
    options.write(true).create_new(true).mode(SECRET_MODE);
    match options.open(path) {
        Ok(mut file) => {
            let secret = random_key_secret();
            write_synced(&mut file, &format!("{secret}\n")).map_err(io)?;
            Ok(secret)
        }
        Err(e) if e.kind() == io::ErrorKind::AlreadyExists => {
            let secret = fs::read_to_string(path).map_err(io)?.trim().to_owned();
            check_key_secret(path, secret)
        }
        Err(e) => Err(io(e)),
    }
}

fn check_key_secret(path: &path::Path, secret: String) -> error::Result<String> {
    let digits = secret.strip_prefix("bck_").unwrap_or_default();
    if digits.len() == 2 * SECRET_BYTES && digits.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Ok(secret);
    }
    let remedy = "remove the file so that a new secret is made";
    Err(error::Error::bad_value(
        "secret_file",
        path.display(),
        remedy,
    ))
}

fn write_synced(file: &mut fs::File, text: &str) -> io::Result<()> {
    file.write_all(text.as_bytes())?;
    file.sync_all()
}

fn random_hex() -> String {
    hex::encode(rand::random::<[u8; SECRET_BYTES]>())
}
