//! Errors of reading settings and published documents.

use std::fmt::Write;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use quick_error::quick_error;

use crate::fault::Fault;

quick_error! {
    /// Error of parsing settings or a published document.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The text exceeds the size limit.
        Size(limit_bytes: usize) {
            display("found more than {limit_bytes} bytes; allowed: at most {limit_bytes} bytes")
        }
        /// The text is not UTF-8.
        Encoding(line: usize) {
            display("line {line}: found bytes that are not UTF-8; allowed: JSON with comments in UTF-8")
        }
        /// The text is not JSON with comments.
        Syntax(line: usize, column: usize, error: Arc<str>) {
            display("line {line}: column {column}: not valid JSON with comments: {error}")
        }
        /// Fields are unknown, missing or invalid.
        Faults(faults: Vec<Fault>) {
            display("{}", join_lines(faults))
        }
    }
}

impl Error {
    /// Returns the faults of fields; empty if the text could not be parsed.
    #[must_use]
    pub fn faults(&self) -> &[Fault] {
        match self {
            Self::Faults(faults) => faults,
            _ => &[],
        }
    }
}

fn join_lines(faults: &[Fault]) -> String {
    let lines: Vec<_> = faults.iter().map(Fault::to_string).collect();
    lines.join("\n")
}

quick_error! {
    /// Error of loading a file; each line of the message names the file.
    #[derive(Debug)]
    pub enum FileError {
        /// The file cannot be read.
        Read(path: PathBuf, error: io::Error) {
            source(error)
            display("{}: can't be read: {error}", path.display())
        }
        /// The content of the file is invalid.
        Invalid(path: PathBuf, error: Error) {
            source(error)
            display("{}", prefix_lines(path, error))
        }
    }
}

fn prefix_lines(path: &Path, error: &Error) -> String {
    let mut text = String::new();
    for (number, line) in error.to_string().lines().enumerate() {
        let separator = if number == 0 { "" } else { "\n" };
        let _ = write!(text, "{separator}{}: {line}", path.display());
    }
    text
}
