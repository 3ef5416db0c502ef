//! Findings about a document.

use std::fmt;

use briarbank_config::{Error as ConfigError, FieldPath, lines_of};
use serde::{Serialize, Serializer};

/// Whether a node could serve callers wrongly.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// A node refuses the document, or could serve or refuse callers other than meant.
    Error,
    /// Nodes serve callers as the document says, but it may not be what was meant.
    Warning,
}

/// A fault of a document, or a part of it that may not be what was meant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Whether a node could serve callers wrongly.
    pub severity: Severity,
    /// Line of the field or of the innermost value around it, from 1.
    pub line: Option<usize>,
    /// Path of the field.
    #[serde(rename = "field", serialize_with = "serialize_path")]
    pub path: Option<FieldPath>,
    /// What was found and what is allowed.
    pub message: String,
}

impl Finding {
    /// Creates an error that concerns no field.
    #[must_use]
    pub fn error(line: Option<usize>, message: String) -> Self {
        Self {
            severity: Severity::Error,
            line,
            path: None,
            message,
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.severity == Severity::Warning {
            f.write_str("warning: ")?;
        }
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        if let Some(path) = &self.path {
            write!(f, "field {path}: ")?;
        }
        f.write_str(&self.message)
    }
}

#[expect(clippy::ref_option, reason = "serde passes a reference to the field")]
fn serialize_path<S: Serializer>(
    path: &Option<FieldPath>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    match path {
        Some(path) => serializer.collect_str(path),
        None => serializer.serialize_none(),
    }
}

/// Collects findings.
#[derive(Debug, Default)]
pub(crate) struct Findings {
    list: Vec<Finding>,
}

impl Findings {
    pub(crate) fn error(
        &mut self,
        path: FieldPath,
        found: impl fmt::Display,
        allowed: impl fmt::Display,
    ) {
        self.add(Severity::Error, Some(path), found, allowed);
    }

    pub(crate) fn warning(
        &mut self,
        path: FieldPath,
        found: impl fmt::Display,
        allowed: impl fmt::Display,
    ) {
        self.add(Severity::Warning, Some(path), found, allowed);
    }

    pub(crate) fn add(
        &mut self,
        severity: Severity,
        path: Option<FieldPath>,
        found: impl fmt::Display,
        allowed: impl fmt::Display,
    ) {
        self.list.push(Finding {
            severity,
            line: None,
            path,
            message: one_line(&format!("found {found}; allowed: {allowed}")),
        });
    }

    pub(crate) fn into_vec(self) -> Vec<Finding> {
        self.list
    }
}

/// Escapes control characters, so that a name from a document can't begin a line.
pub(crate) fn one_line(text: &str) -> String {
    let mut line = String::with_capacity(text.len());
    for c in text.chars() {
        if c.is_control() {
            line.extend(c.escape_default());
        } else {
            line.push(c);
        }
    }
    line
}

/// Adds the lines of the fields in the text of the document, and sorts by them.
pub fn add_lines(text: &str, findings: &mut [Finding]) {
    let paths: Vec<_> = findings.iter().filter_map(|f| f.path.as_ref()).collect();
    let lines = lines_of(text, &paths);
    let with_path = findings.iter_mut().filter(|f| f.path.is_some());
    for (finding, line) in with_path.zip(lines) {
        finding.line = line;
    }
    findings.sort_by_key(|f| f.line);
}

/// Returns the findings that an error of parsing a document stands for.
#[must_use]
pub fn findings_of(error: &ConfigError) -> Vec<Finding> {
    match error {
        ConfigError::Faults(faults) => {
            let findings = faults.iter().map(|fault| Finding {
                severity: Severity::Error,
                line: fault.line,
                path: Some(fault.path.clone()),
                message: format!("found {}; allowed: {}", fault.found, fault.allowed),
            });
            findings.collect()
        }
        ConfigError::Encoding(line) | ConfigError::Syntax(line, ..) => {
            let text = error.to_string();
            let message = text
                .strip_prefix(&format!("line {line}: "))
                .unwrap_or(&text);
            vec![Finding::error(Some(*line), message.to_owned())]
        }
        ConfigError::Size(_) => vec![Finding::error(None, error.to_string())],
    }
}
