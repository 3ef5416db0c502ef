//! Why settings or a document can't be used.

use std::fmt::Write;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use quick_error::quick_error;

use crate::fault::Fault;

quick_error! {
    /// Why a text is not valid settings or a valid document.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The text is too large.
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
        /// Fields are unknown, missing or hold what isn't allowed.
        Faults(faults: Vec<Fault>) {
            display("{}", lines(faults))
        }
    }
}

impl Error {
    /// Faults of fields; none when the text could not be read at all.
    #[must_use]
    pub fn faults(&self) -> &[Fault] {
        match self {
            Self::Faults(faults) => faults,
            _ => &[],
        }
    }
}

fn lines(faults: &[Fault]) -> String {
    let lines: Vec<_> = faults.iter().map(Fault::to_string).collect();
    lines.join("\n")
}

quick_error! {
    /// Why a file can't be used; each line names the file.
    #[derive(Debug)]
    pub enum FileError {
        /// The file can't be read.
        Read(path: PathBuf, error: io::Error) {
            source(error)
            display("{}: can't be read: {error}", path.display())
        }
        /// The file's text is not valid.
        Invalid(path: PathBuf, error: Error) {
            source(error)
            display("{}", with_path(path, error))
        }
    }
}

fn with_path(path: &Path, error: &Error) -> String {
    let mut text = String::new();
    for (number, line) in error.to_string().lines().enumerate() {
        let end = if number == 0 { "" } else { "\n" };
        let _ = write!(text, "{end}{}: {line}", path.display());
    }
    text
}
