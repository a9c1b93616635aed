//! Explains one request from the logs of several instances.

use std::{collections, fmt, fs};

use crate::error::{Error, Result};

/// One line of a log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// Where it was read.
    pub source: String,
    /// Its fields.
    pub fields: collections::BTreeMap<String, String>,
}

impl Line {
    /// Parses a line of key=value pairs; words without a key are passed over.
    pub fn parse(source: &str, text: &str) -> Line {
        let mut fields = collections::BTreeMap::new();
        let mut rest = text.trim_start();
        while !rest.is_empty() {
            let (word, after) = next_word(rest);
            if let Some((key, value)) = word.split_once('=') {
                let value = value.trim_matches('"').replace("\\\"", "\"");
                fields.insert(key.to_owned(), value);
            }
            rest = after.trim_start();
        }
        Line {
            source: source.to_owned(),
            fields,
        }
    }

    fn get(&self, key: &str) -> &str {
        self.fields.get(key).map_or("", String::as_str)
    }
}

/// Splits off the next word; a quoted value may hold spaces.
fn next_word(text: &str) -> (&str, &str) {
    let mut quoted = false;
    let mut escaped = false;
    for (at, char) in text.char_indices() {
        match char {
            _ if escaped => escaped = false,
            '\\' => escaped = true,
            '"' => quoted = !quoted,
            ' ' if !quoted => return (&text[..at], &text[at..]),
            _ => {}
        }
    }
    (text, "")
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} {} {}",
            self.get("ts"),
            self.source,
            self.get("event")
        )?;
        let inputs = self
            .fields
            .iter()
            .filter(|(key, _)| !HEADS.contains(&key.as_str()));
        for (key, value) in inputs {
            write!(f, " {key}={value}")?;
        }
        Ok(())
    }
}

/// Fields that every line has.
const HEADS: [&str; 5] = ["ts", "level", "target", "event", "request"];

/// What is known of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Story {
    /// Its lines in their order.
    pub lines: Vec<Line>,
}

impl Story {
    /// Collects the lines of a request.
    pub fn of(request: &str, lines: Vec<Line>) -> Story {
        let mut lines: Vec<_> = lines
            .into_iter()
            .filter(|line| line.get("request") == request)
            .collect();
        lines.sort_by(|a, b| a.get("ts").cmp(b.get("ts")));
        Story { lines }
    }

    /// Returns the line that decided how the request ended: its last failure or refusal.
    pub fn deciding(&self) -> Option<&Line> {
        let decides = |line: &&Line| {
            matches!(
                line.get("event"),
                "attempt_failed" | "plan_refused" | "request_denied"
            )
        };
        self.lines.iter().rev().find(decides)
    }

    /// Returns the line with which the request ended.
    pub fn end(&self) -> Option<&Line> {
        let ends = |line: &&Line| matches!(line.get("event"), "request_ended" | "request_denied");
        self.lines.iter().rev().find(ends)
    }
}

impl fmt::Display for Story {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            writeln!(f, "{line}")?;
        }
        match self.end() {
            Some(end) => {
                let reason = end.get("reason");
                let reason = if reason.is_empty() { "-" } else { reason };
                writeln!(f, "ended: {} reason={reason}", end.get("result"))?;
            }
            None => writeln!(f, "ended: no line of its end; the instance may have died")?,
        }
        match self.deciding() {
            Some(line) => writeln!(f, "decided by: {line}"),
            None => writeln!(f, "decided by: nothing failed or was refused"),
        }
    }
}

/// Prints the story of a request from log files.
///
/// # Errors
///
/// Fails if a file cannot be read or no line names the request.
pub fn run(request: &str, files: &[String]) -> Result<()> {
    let mut lines = Vec::new();
    for file in files {
        let text = fs::read_to_string(file).map_err(|e| Error::File(file.clone(), e))?;
        lines.extend(text.lines().map(|line| Line::parse(file, line)));
    }
    let story = Story::of(request, lines);
    if story.lines.is_empty() {
        return Err(Error::NoEntry(format!("request {request}")));
    }
    print!("{story}");
    Ok(())
}
