//! The command `explain`: reports what happened to a request from log files.

use std::fs;
use std::io;
use std::path;

use serde_json::json;

use crate::cli::output;
use crate::error;
use crate::explain;

/// Merges log files, or reads standard input if there are none, and explains what happened to a
/// request.
///
/// # Errors
///
/// Fails if a file can't be read, a line is not a structured log line of this system, or no line is
/// about the request.
pub fn explain(request: &str, files: &[path::PathBuf]) -> error::Result<output::Output> {
    let mut explanation = explain::Explanation::new(request);
    if files.is_empty() {
        read(&mut explanation, io::stdin().lock(), "standard input")?;
    }
    for path in files {
        let name = path.display().to_string();
        let file =
            fs::File::open(path).map_err(|e| error::Error::io(format!("reading {name}"), e))?;
        read(&mut explanation, io::BufReader::new(file), &name)?;
    }
    let text = explanation.to_text()?;
    let lines: Vec<_> = explanation
        .request_lines()
        .iter()
        .map(|e| &e.fields)
        .collect();
    output::Output::new(text, &json!({ "request": request, "lines": lines }))
}

fn read(
    explanation: &mut explain::Explanation,
    lines: impl io::BufRead,
    name: &str,
) -> error::Result<()> {
    for (i, line) in lines.lines().enumerate() {
        let line = line.map_err(|e| error::Error::io(format!("reading {name}"), e))?;
        explanation.add(&line, &format!("{name}:{}", i + 1))?;
    }
    Ok(())
}
