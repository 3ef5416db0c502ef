//! Timeline of one request, from the logs of gateways.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write, stdin};
use std::path::{Path, PathBuf};

use crate::Error;

/// Prefixes of messages that report a change of a node's state.
const STATE_PREFIXES: [&str; 6] = [
    "values: configuration",
    "values: server",
    "store:",
    "node:",
    "settings:",
    "peer:",
];

/// Log line with its timestamp and the name of its log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LogLine {
    timestamp: String,
    log: String,
    text: String,
}

/// Prints the log lines about a request, sorted by timestamp.
///
/// Each line is preceded by the latest state changes of its node since the
/// line before.
///
/// # Errors
///
/// [`Error::LogRead`] when a log can't be read, [`Error::UnknownRequest`] when
/// none mentions the request.
pub fn explain(id: &str, logs: &[PathBuf], out: &mut dyn Write) -> Result<(), Error> {
    let mut timeline = Vec::new();
    for path in logs {
        let lines = open_log(path).and_then(|log| collect_lines(id, path, log));
        timeline.extend(lines.map_err(|error| Error::LogRead(path.clone(), error))?);
    }
    if timeline.is_empty() {
        return Err(Error::UnknownRequest(id.to_owned()));
    }
    timeline.sort();
    for line in timeline {
        writeln!(out, "{}  {}", line.log, line.text)?;
    }
    Ok(())
}

fn open_log(path: &Path) -> std::io::Result<Box<dyn Read>> {
    if path.as_os_str() == "-" {
        return Ok(Box::new(stdin()));
    }
    Ok(Box::new(File::open(path)?))
}

fn collect_lines(id: &str, path: &Path, log: Box<dyn Read>) -> std::io::Result<Vec<LogLine>> {
    let name = path.file_stem().map(|n| n.to_string_lossy().into_owned());
    let name = name.unwrap_or_default();
    let mut state_changes: BTreeMap<String, LogLine> = BTreeMap::new();
    let mut timeline = Vec::new();
    for bytes in BufReader::new(log).split(b'\n') {
        let text = String::from_utf8_lossy(&bytes?).into_owned();
        let line = LogLine {
            timestamp: timestamp(&text),
            log: name.clone(),
            text,
        };
        if line.text.contains("call:") && line.text.contains(id) {
            timeline.extend(std::mem::take(&mut state_changes).into_values());
            timeline.push(line);
        } else if let Some(subject) = state_subject(&line.text) {
            state_changes.insert(subject, line);
        }
    }
    Ok(timeline)
}

/// Returns the message prefix and server that a state change is about.
///
/// A later line with the same prefix and server replaces an earlier one.
/// Returns `None` for lines that report no state change.
fn state_subject(text: &str) -> Option<String> {
    let prefix = STATE_PREFIXES
        .iter()
        .find(|prefix| text.contains(**prefix))?;
    let server = text
        .split(['=', ':', ',', ' '])
        .skip_while(|word| word.trim_matches('"') != "server");
    let server = server
        .skip(1)
        .find(|word| !word.is_empty())
        .unwrap_or_default();
    Some(format!("{prefix} {}", server.trim_matches('"')))
}

/// Returns the timestamp of a line, which sorts as text.
fn timestamp(text: &str) -> String {
    let is_timestamp = |word: &&str| word.len() > 20 && word.as_bytes().get(10) == Some(&b'T');
    let mut words = text.split(['"', ' ', ',']);
    words.find(is_timestamp).unwrap_or_default().to_owned()
}
