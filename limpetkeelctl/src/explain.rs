//! Reconstructs the course of one relayed request from the logs of several instances.

use std::{collections, fmt, fs};

use crate::error::{Error, Result};

/// One log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// The log file that contains the line.
    pub source: String,
    /// The fields of the line, by key.
    pub fields: collections::BTreeMap<String, String>,
}

impl LogLine {
    /// Parses a line of `key=value` pairs. Words without a key are ignored.
    pub fn parse(source: &str, text: &str) -> LogLine {
        let mut fields = collections::BTreeMap::new();
        let mut rest = text.trim_start();
        while !rest.is_empty() {
            let (word, remainder) = next_word(rest);
            if let Some((key, value)) = word.split_once('=') {
                let value = value.trim_matches('"').replace("\\\"", "\"");
                fields.insert(key.to_owned(), value);
            }
            rest = remainder.trim_start();
        }
        LogLine {
            source: source.to_owned(),
            fields,
        }
    }

    /// Returns the value of a field; empty if the line does not have the field.
    fn get(&self, key: &str) -> &str {
        self.fields.get(key).map_or("", String::as_str)
    }
}

/// Splits off the next word. A quoted value may contain spaces.
fn next_word(text: &str) -> (&str, &str) {
    let mut quoted = false;
    let mut escaped = false;
    for (index, char) in text.char_indices() {
        match char {
            _ if escaped => escaped = false,
            '\\' => escaped = true,
            '"' => quoted = !quoted,
            ' ' if !quoted => return (&text[..index], &text[index..]),
            _ => {}
        }
    }
    (text, "")
}

impl fmt::Display for LogLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} {} {}",
            self.get("ts"),
            self.source,
            self.get("event")
        )?;
        let fields = self
            .fields
            .iter()
            .filter(|(key, _)| !HEADER_FIELDS.contains(&key.as_str()));
        for (key, value) in fields {
            write!(f, " {key}={value}")?;
        }
        Ok(())
    }
}

/// Fields that [`LogLine`] does not print as `key=value`: the timestamp and the event are printed
/// at the start of the line, the others are omitted.
const HEADER_FIELDS: [&str; 5] = ["ts", "level", "target", "event", "request"];

/// The log lines of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestTrace {
    /// The lines, ordered by timestamp.
    pub lines: Vec<LogLine>,
}

impl RequestTrace {
    /// Selects the lines of a request and sorts them by timestamp.
    pub fn new(request: &str, lines: Vec<LogLine>) -> RequestTrace {
        let mut lines: Vec<_> = lines
            .into_iter()
            .filter(|line| line.get("request") == request)
            .collect();
        lines.sort_by(|a, b| a.get("ts").cmp(b.get("ts")));
        RequestTrace { lines }
    }

    /// Returns the line that determined the outcome: the last failure or refusal of the request.
    pub fn deciding_line(&self) -> Option<&LogLine> {
        let is_deciding = |line: &&LogLine| {
            matches!(
                line.get("event"),
                "attempt_failed" | "plan_refused" | "request_denied"
            )
        };
        self.lines.iter().rev().find(is_deciding)
    }

    /// Returns the line that records the end of the request.
    pub fn final_line(&self) -> Option<&LogLine> {
        let is_final =
            |line: &&LogLine| matches!(line.get("event"), "request_ended" | "request_denied");
        self.lines.iter().rev().find(is_final)
    }
}

impl fmt::Display for RequestTrace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            writeln!(f, "{line}")?;
        }
        match self.final_line() {
            Some(end) => {
                let reason = end.get("reason");
                let reason = if reason.is_empty() { "-" } else { reason };
                writeln!(f, "ended: {} reason={reason}", end.get("result"))?;
            }
            None => writeln!(
                f,
                "ended: no log line records the end; the instance may have stopped unexpectedly"
            )?,
        }
        match self.deciding_line() {
            Some(line) => writeln!(f, "decided by: {line}"),
            None => writeln!(f, "decided by: nothing failed or was refused"),
        }
    }
}

/// Prints the log lines of a request and how it ended.
///
/// # Errors
///
/// Returns an error if a file cannot be read or no line belongs to the request.
pub fn print_trace(request: &str, files: &[String]) -> Result<()> {
    let mut lines = Vec::new();
    for file in files {
        let text = fs::read_to_string(file).map_err(|e| Error::File(file.clone(), e))?;
        lines.extend(text.lines().map(|line| LogLine::parse(file, line)));
    }
    let trace = RequestTrace::new(request, lines);
    if trace.lines.is_empty() {
        return Err(Error::NotFound(format!("request {request}")));
    }
    print!("{trace}");
    Ok(())
}
