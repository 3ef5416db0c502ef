//! The story of one request, from the logs of gateways.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write, stdin};
use std::path::{Path, PathBuf};

use crate::Error;

/// Beginnings of the messages that tell what a node believes.
const BELIEFS: [&str; 6] = [
    "values: configuration",
    "values: server",
    "store:",
    "node:",
    "settings:",
    "peer:",
];

/// A line of the story.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Line {
    time: String,
    log: String,
    text: String,
}

/// Prints, in order of time, what the logs tell of a request, and before each
/// line what its node had come to believe since the line before.
///
/// # Errors
///
/// [`Error::LogRead`] when a log can't be read, [`Error::UnknownRequest`] when
/// none tells of the request.
pub fn explain(id: &str, logs: &[PathBuf], out: &mut dyn Write) -> Result<(), Error> {
    let mut story = Vec::new();
    for path in logs {
        let read = open(path).and_then(|log| collect(id, path, log));
        story.extend(read.map_err(|error| Error::LogRead(path.clone(), error))?);
    }
    if story.is_empty() {
        return Err(Error::UnknownRequest(id.to_owned()));
    }
    story.sort();
    for line in story {
        writeln!(out, "{}  {}", line.log, line.text)?;
    }
    Ok(())
}

fn open(path: &Path) -> std::io::Result<Box<dyn Read>> {
    if path.as_os_str() == "-" {
        return Ok(Box::new(stdin()));
    }
    Ok(Box::new(File::open(path)?))
}

fn collect(id: &str, path: &Path, log: Box<dyn Read>) -> std::io::Result<Vec<Line>> {
    let name = path.file_stem().map(|n| n.to_string_lossy().into_owned());
    let name = name.unwrap_or_default();
    let mut beliefs: BTreeMap<String, Line> = BTreeMap::new();
    let mut story = Vec::new();
    for bytes in BufReader::new(log).split(b'\n') {
        let text = String::from_utf8_lossy(&bytes?).into_owned();
        let line = Line {
            time: time(&text),
            log: name.clone(),
            text,
        };
        if line.text.contains("call:") && line.text.contains(id) {
            story.extend(std::mem::take(&mut beliefs).into_values());
            story.push(line);
        } else if let Some(kind) = belief(&line.text) {
            beliefs.insert(kind, line);
        }
    }
    Ok(story)
}

/// What a line tells the belief about; a later line of the same kind replaces it.
fn belief(text: &str) -> Option<String> {
    let start = BELIEFS.iter().find(|start| text.contains(**start))?;
    let server = text
        .split(['=', ':', ',', ' '])
        .skip_while(|word| word.trim_matches('"') != "server");
    let server = server
        .skip(1)
        .find(|word| !word.is_empty())
        .unwrap_or_default();
    Some(format!("{start} {}", server.trim_matches('"')))
}

/// The time stamp of a line, which sorts as text.
fn time(text: &str) -> String {
    let is_time = |word: &&str| word.len() > 20 && word.as_bytes().get(10) == Some(&b'T');
    let mut words = text.split(['"', ' ', ',']);
    words.find(is_time).unwrap_or_default().to_owned()
}
