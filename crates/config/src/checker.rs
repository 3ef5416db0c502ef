//! Validation of values beyond deserialization, with all faults collected.

use std::collections::HashSet;
use std::fmt::Display;
use std::hash::Hash;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;

use crate::fault::{FAULT_LIMIT, Fault, shorten};
use crate::field::FieldPath;

/// Maximum number of faults that are collected for one value.
///
/// Exceeds the reported maximum, since faults of placeholders are dropped later.
const COLLECTED_FAULT_LIMIT: usize = 16 * FAULT_LIMIT;
const NAME_LIMIT_CHARS: usize = 128;

/// Type whose values must satisfy rules beyond deserialization.
pub trait Validate {
    /// Adds every fault of the value to the checker.
    fn validate(&self, checker: &mut Checker);
}

/// Collects the faults of one value.
///
/// # Examples
///
/// ```
/// use briarbank_config::{Checker, FieldPath};
///
/// let mut checker = Checker::default();
/// checker.check_range(&FieldPath::default().field("tier"), 7, 0..=5);
/// assert_eq!(checker.into_faults().len(), 1);
/// ```
#[derive(Debug, Default)]
pub struct Checker {
    faults: Vec<Fault>,
}

impl Checker {
    /// Returns the collected faults, without line numbers.
    #[must_use]
    pub fn into_faults(self) -> Vec<Fault> {
        self.faults
    }

    /// Adds a fault, unless the maximum number of faults is reached.
    pub fn add_fault(&mut self, path: &FieldPath, found: impl Display, allowed: impl Display) {
        if self.faults.len() >= COLLECTED_FAULT_LIMIT {
            return;
        }
        self.faults.push(Fault {
            path: path.clone(),
            line: None,
            found: Arc::from(found.to_string()),
            allowed: Arc::from(allowed.to_string()),
        });
    }

    /// Requires a number in a range.
    pub fn check_range<T: PartialOrd + Display>(
        &mut self,
        path: &FieldPath,
        value: T,
        range: RangeInclusive<T>,
    ) {
        if !range.contains(&value) {
            let allowed = format!("{} to {}", range.start(), range.end());
            self.add_fault(path, value, allowed);
        }
    }

    /// Requires a name that is valid in a header.
    pub fn check_name(&mut self, path: &FieldPath, name: &str) {
        let visible = name.bytes().all(|b| b.is_ascii_graphic() && b != b'"');
        if name.is_empty() || name.len() > NAME_LIMIT_CHARS || !visible {
            let allowed =
                format!("1 to {NAME_LIMIT_CHARS} visible ASCII characters without quotes");
            self.add_fault(path, format!("{:?}", shorten(name)), allowed);
        }
    }

    /// Requires an address that other hosts can connect to.
    pub fn check_reachable(&mut self, path: &FieldPath, address: SocketAddr) {
        if address.port() == 0 || address.ip().is_unspecified() {
            self.add_fault(
                path,
                address,
                "the IP address of one host and a port above 0",
            );
        }
    }

    /// Requires distinct values; `path` returns the path of the value at an index.
    pub fn check_unique<T: Eq + Hash + Display>(
        &mut self,
        values: impl IntoIterator<Item = T>,
        path: impl Fn(usize) -> FieldPath,
    ) {
        let mut seen = HashSet::new();
        for (index, value) in values.into_iter().enumerate() {
            if seen.contains(&value) {
                let found = format!("{:?} for a second time", shorten(&value.to_string()));
                self.add_fault(&path(index), found, "each value once");
            }
            seen.insert(value);
        }
    }
}
