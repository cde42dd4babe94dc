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
    let mut story = explain::Story::new(request);
    if files.is_empty() {
        read(&mut story, io::stdin().lock(), "standard input")?;
    }
    for path in files {
        let name = path.display().to_string();
        let file =
            fs::File::open(path).map_err(|e| error::Error::io(format!("reading {name}"), e))?;
        read(&mut story, io::BufReader::new(file), &name)?;
    }
    let text = story.tell()?;
    let lines: Vec<_> = story.own().iter().map(|e| &e.fields).collect();
    output::Output::new(text, &json!({ "request": request, "lines": lines }))
}

fn read(story: &mut explain::Story, lines: impl io::BufRead, name: &str) -> error::Result<()> {
    for (i, line) in lines.lines().enumerate() {
        let line = line.map_err(|e| error::Error::io(format!("reading {name}"), e))?;
        story.add(&line, &format!("{name}:{}", i + 1))?;
    }
    Ok(())
}
