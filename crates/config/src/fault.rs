//! Faults of settings and published documents.

use std::fmt;
use std::sync::Arc;

use crate::field::FieldPath;

/// Maximum number of faults that are reported for one text.
pub(crate) const FAULT_LIMIT: usize = 64;

const SHOWN_MAX_CHARS: usize = 60;

/// Invalid, unknown or missing field, or one that occurs twice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Path of the field.
    pub path: FieldPath,
    /// Line of the field or of the innermost value around it, from 1.
    ///
    /// `None` for faults across files and for values that were built in code.
    pub line: Option<usize>,
    /// Description of what was found.
    pub found: Arc<str>,
    /// Description of what is allowed.
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

/// Truncates a text from a file, to bound the size of a fault.
pub(crate) fn shorten(text: &str) -> String {
    match text.char_indices().nth(SHOWN_MAX_CHARS) {
        Some((end, _)) => format!("{}…", &text[..end]),
        None => String::from(text),
    }
}
