//! Parsing and validation of a text, with all of its faults.

use std::borrow::Cow;
use std::fs::File;
use std::io::Read;
use std::path::Path;
use std::sync::Arc;

use serde::de::DeserializeOwned;

use crate::checker::{Checker, Validate};
use crate::error::{Error, FileError};
use crate::fault::{FAULT_LIMIT, Fault};
use crate::field::{FieldPath, Step};
use crate::mismatch::{Mismatch, Problem};
use crate::tree::{Field, Kind, Tree};

/// Size limit of settings files and published documents.
pub const SIZE_LIMIT_BYTES: usize = 1 << 20;

/// Fields whose values never appear in a fault.
const SECRET_FIELDS: [&str; 1] = ["shared_key"];

/// Parses JSON with comments and validates the value.
///
/// # Errors
///
/// Returns [`Error::Faults`] with all faults, or another [`Error`] if the text cannot be
/// parsed.
///
/// # Examples
///
/// ```
/// use briarbank_config::{PlatformSettings, parse};
///
/// let error = parse::<PlatformSettings>(r#"{"address": 7, "rate_per_s": 0}"#).unwrap_err();
/// assert_eq!(error.faults().len(), 2);
/// ```
pub fn parse<T: DeserializeOwned + Validate>(text: &str) -> Result<T, Error> {
    if text.len() > SIZE_LIMIT_BYTES {
        return Err(Error::Size(SIZE_LIMIT_BYTES));
    }
    let (mut tree, mut faults) = Tree::parse(text)?;
    let value = deserialize_with_repairs::<T>(&mut tree, &mut faults);
    if let Some(value) = &value {
        check_value(value, &tree, &mut faults);
    }
    faults.sort_by_key(|f| f.line);
    faults.truncate(FAULT_LIMIT);
    match value {
        Some(value) if faults.is_empty() => Ok(value),
        _ => Err(Error::Faults(faults)),
    }
}

/// Validates a value that was built in code.
///
/// # Errors
///
/// Returns [`Error::Faults`] with all faults, without line numbers.
pub fn validate<T: Validate>(value: &T) -> Result<(), Error> {
    let mut checker = Checker::default();
    value.validate(&mut checker);
    let mut faults = checker.into_faults();
    faults.truncate(FAULT_LIMIT);
    if faults.is_empty() {
        return Ok(());
    }
    Err(Error::Faults(faults))
}

/// Parses UTF-8 bytes like [`parse`].
pub(crate) fn parse_bytes<T: DeserializeOwned + Validate>(bytes: &[u8]) -> Result<T, Error> {
    if bytes.len() > SIZE_LIMIT_BYTES {
        return Err(Error::Size(SIZE_LIMIT_BYTES));
    }
    let text = std::str::from_utf8(bytes).map_err(|error| {
        let valid = &bytes[..error.valid_up_to()];
        Error::Encoding(valid.split(|b| *b == b'\n').count())
    })?;
    parse(text)
}

/// Reads and parses a file like [`parse`].
///
/// # Errors
///
/// Returns [`FileError`], which names the file and its faults.
pub fn load<T: DeserializeOwned + Validate>(path: &Path) -> Result<T, FileError> {
    let bytes = read(path, SIZE_LIMIT_BYTES)?;
    parse_bytes(&bytes).map_err(|e| FileError::Invalid(path.to_path_buf(), e))
}

/// Reads a file, and at most one byte beyond the limit.
///
/// # Errors
///
/// Returns [`FileError::Read`], which names the file.
pub fn read(path: &Path, limit_bytes: usize) -> Result<Vec<u8>, FileError> {
    let read = || {
        let mut bytes = Vec::new();
        let limit = limit_bytes as u64 + 1;
        File::open(path)?.take(limit).read_to_end(&mut bytes)?;
        Ok(bytes)
    };
    read().map_err(|e| FileError::Read(path.to_path_buf(), e))
}

/// Returns the line of each field, or of the innermost value around it, from 1.
///
/// The lines are `None` if the text cannot be parsed.
#[must_use]
pub fn lines_of(text: &str, paths: &[&FieldPath]) -> Vec<Option<usize>> {
    let Ok((tree, _)) = Tree::parse(text) else {
        return vec![None; paths.len()];
    };
    paths.iter().map(|path| Some(tree.line(path))).collect()
}

/// Deserializes the tree, repairing it after each fault to find the remaining ones.
fn deserialize_with_repairs<T: DeserializeOwned>(
    tree: &mut Tree<'_>,
    faults: &mut Vec<Fault>,
) -> Option<T> {
    while faults.len() < FAULT_LIMIT {
        let mismatch = match T::deserialize(&*tree) {
            Ok(value) => return Some(value),
            Err(mismatch) => mismatch,
        };
        faults.push(describe_mismatch(&mismatch, tree));
        if !repair_tree(&mismatch, tree) {
            return None;
        }
    }
    None
}

/// Validates the value and adds its faults, except those of placeholders.
fn check_value<T: Validate>(value: &T, tree: &Tree<'_>, faults: &mut Vec<Fault>) {
    let mut checker = Checker::default();
    value.validate(&mut checker);
    let found = checker.into_faults().into_iter();
    faults.extend(
        found
            .filter(|f| !tree.is_placeholder(&f.path))
            .map(|f| Fault {
                line: Some(tree.line(&f.path)),
                ..f
            }),
    );
}

fn describe_mismatch(mismatch: &Mismatch, tree: &Tree<'_>) -> Fault {
    let base = mismatch.path();
    let (path, found, allowed) = match &mismatch.problem {
        Problem::Missing(field) => (
            base.field(field),
            String::from("nothing"),
            String::from("a value, since the field is required"),
        ),
        Problem::Unknown(field, expected) => (
            base.with_step(Step::Field(Cow::Owned(field.to_string()))),
            String::from("an unknown field"),
            format!("only {}", expected.join(", ")),
        ),
        Problem::Value(allowed) => {
            let found = tree.get(&base).map_or_else(String::new, Tree::describe);
            let secret = SECRET_FIELDS.iter().any(|name| base.ends_with(name));
            let found = if secret {
                String::from("another value")
            } else {
                found
            };
            (base, found, describe_expected(allowed))
        }
    };
    Fault {
        line: Some(tree.line(&path)),
        path,
        found: Arc::from(found),
        allowed: Arc::from(allowed),
    }
}

/// Repairs a fault in the tree; returns false if that is impossible.
///
/// An unknown field is removed; a missing or invalid value becomes a placeholder.
fn repair_tree(mismatch: &Mismatch, tree: &mut Tree<'_>) -> bool {
    let Some(target) = tree.get_mut(&mismatch.path()) else {
        return false;
    };
    let line = target.line;
    match (&mismatch.problem, &mut target.kind) {
        (Problem::Missing(field), Kind::Object(fields)) => {
            let name = Cow::Borrowed(*field);
            let kind = Kind::Placeholder;
            let value = Tree { line, kind };
            fields.push(Field { name, value });
            true
        }
        (Problem::Unknown(field, _), Kind::Object(fields)) => {
            fields.retain(|f| *f.name != **field);
            true
        }
        (Problem::Value(_), Kind::Placeholder) => false,
        (Problem::Value(_), kind) => {
            *kind = Kind::Placeholder;
            true
        }
        _ => false,
    }
}

/// Rewords serde's description of an expected type.
fn describe_expected(expected: &str) -> String {
    let words = match expected {
        "u8" => "a whole number from 0 to 255",
        "u16" => "a whole number from 0 to 65535",
        "u32" => "a whole number from 0 to 4294967295",
        "u64" | "usize" => "a whole number from 0 to 18446744073709551615",
        "f64" => "a number",
        "a boolean" => "true or false",
        "a string" | "str" => "a text in quotes",
        "a sequence" => "an array",
        "invalid socket address syntax" | "socket address" => {
            "an IP address and a port, such as \"127.0.0.1:7000\""
        }
        other => other,
    };
    String::from(words)
}
