//! Report of the offline checks, as text or JSON.

use std::io::Write;
use std::path::{Path, PathBuf};

use briarbank_check::{Change, Finding, Severity, findings_of};
use briarbank_config::{Error as ConfigError, Fault, FileError, Validate, load};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Error;

/// Findings about one file.
#[derive(Debug, Serialize)]
struct FileReport {
    #[serde(rename = "file")]
    path: PathBuf,
    is_valid: bool,
    findings: Vec<Finding>,
}

/// Differences of a file from the version in force.
#[derive(Debug, Serialize)]
struct Comparison {
    #[serde(rename = "file")]
    path: PathBuf,
    changes: Vec<Change>,
}

/// Findings about all files, in the order of the checks.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Report {
    files: Vec<FileReport>,
    comparison: Option<Comparison>,
}

impl Report {
    /// Checks files of a kind.
    pub(crate) fn check_files<T: DeserializeOwned + Validate>(&mut self, paths: &[PathBuf]) {
        for path in paths {
            self.check_file::<T>(path);
        }
    }

    /// Checks a file; returns its value if it is valid.
    pub(crate) fn check_file<T: DeserializeOwned + Validate>(&mut self, path: &Path) -> Option<T> {
        let loaded = load(path);
        let findings = loaded.as_ref().err().map(describe).unwrap_or_default();
        self.add_file(path, findings);
        loaded.ok()
    }

    /// Adds findings about a file.
    pub(crate) fn add_file(&mut self, path: &Path, findings: Vec<Finding>) {
        let is_valid = findings.iter().all(|f| f.severity != Severity::Error);
        match self.files.iter_mut().find(|file| file.path == path) {
            Some(file) => {
                file.is_valid &= is_valid;
                file.findings.extend(findings);
            }
            None => self.files.push(FileReport {
                path: path.to_owned(),
                is_valid,
                findings,
            }),
        }
    }

    /// Adds faults of a file that another file shows.
    pub(crate) fn add_faults(&mut self, path: &Path, faults: Vec<Fault>) {
        if !faults.is_empty() {
            self.add_file(path, findings_of(&ConfigError::Faults(faults)));
        }
    }

    /// Adds an error of reading a file.
    pub(crate) fn add_file_error(&mut self, path: &Path, error: &FileError) {
        self.add_file(path, describe(error));
    }

    /// Adds an error whose text begins with the file.
    pub(crate) fn add_text_error(&mut self, path: &Path, text: &str) {
        let prefix = format!("{}: ", path.display());
        let message = text.strip_prefix(&prefix).unwrap_or(text).trim_end();
        self.add_file(path, vec![Finding::error(None, message.to_owned())]);
    }

    /// Sets the differences from the version in force.
    pub(crate) fn set_changes(&mut self, path: &Path, changes: Vec<Change>) {
        self.comparison = Some(Comparison {
            path: path.to_owned(),
            changes,
        });
    }

    /// Prints the report.
    pub(crate) fn print(&self, is_json: bool, out: &mut dyn Write) -> Result<(), Error> {
        if is_json {
            let text = serde_json::to_string_pretty(self).map_err(std::io::Error::from)?;
            return Ok(writeln!(out, "{text}")?);
        }
        for file in &self.files {
            let path = file.path.display();
            for finding in &file.findings {
                writeln!(out, "{path}: {finding}")?;
            }
            if file.is_valid {
                writeln!(out, "{path}: valid")?;
            }
        }
        let Some(comparison) = &self.comparison else {
            return Ok(());
        };
        let path = comparison.path.display();
        for change in &comparison.changes {
            writeln!(out, "{path}: differs: {change}")?;
        }
        if comparison.changes.is_empty() {
            writeln!(out, "{path}: no differences")?;
        }
        Ok(())
    }

    /// Returns an error if a file is invalid or none was checked.
    pub(crate) fn result(&self) -> Result<(), Error> {
        let invalid = self.files.iter().filter(|file| !file.is_valid).count();
        match (self.files.len(), invalid) {
            (0, _) => Err(Error::NothingToCheck),
            (_, 0) => Ok(()),
            (_, invalid) => Err(Error::Invalid(invalid)),
        }
    }
}

fn describe(error: &FileError) -> Vec<Finding> {
    match error {
        FileError::Read(_, error) => {
            vec![Finding::error(None, format!("can't be read: {error}"))]
        }
        FileError::Invalid(_, error) => findings_of(error),
    }
}
