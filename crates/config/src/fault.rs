//! One fault of a text.

use std::fmt;
use std::sync::Arc;

use crate::field::FieldPath;

/// Most faults of one text that are reported.
pub(crate) const FAULT_LIMIT: usize = 64;

const SHOWN_CHARS: usize = 60;

/// Where a value is not allowed, what it is and what it may be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Field at fault.
    pub path: FieldPath,
    /// Line of the field, or of the nearest value around it, from 1; unknown for
    /// faults between files.
    pub line: Option<usize>,
    /// What was found.
    pub found: Arc<str>,
    /// What is allowed.
    pub allowed: Arc<str>,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        let Self {
            path,
            found,
            allowed,
            ..
        } = self;
        write!(f, "field {path}: found {found}; allowed: {allowed}")
    }
}

/// Bounds a text that comes from a file.
pub(crate) fn shorten(text: &str) -> String {
    match text.char_indices().nth(SHOWN_CHARS) {
        Some((end, _)) => format!("{}…", &text[..end]),
        None => String::from(text),
    }
}
