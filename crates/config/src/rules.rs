//! Rules that go beyond the types, with all of their faults collected.

use std::collections::HashSet;
use std::fmt::Display;
use std::hash::Hash;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;

use crate::fault::Fault;
use crate::field::FieldPath;

const NAME_LIMIT_CHARS: usize = 128;

/// A type whose values obey rules of their own.
pub trait Validate {
    /// Adds each fault of the value.
    fn validate(&self, rules: &mut Rules);
}

/// Collects the faults of one value.
///
/// ```
/// use briarbank_config::{FieldPath, Rules};
///
/// let mut rules = Rules::default();
/// rules.within(&FieldPath::default().field("tier"), 7, 0..=5);
/// assert_eq!(rules.into_faults().len(), 1);
/// ```
#[derive(Debug, Default)]
pub struct Rules {
    faults: Vec<Fault>,
}

impl Rules {
    /// The faults so far, without lines.
    #[must_use]
    pub fn into_faults(self) -> Vec<Fault> {
        self.faults
    }

    /// Adds a fault.
    pub fn refuse(&mut self, path: &FieldPath, found: impl Display, allowed: impl Display) {
        self.faults.push(Fault {
            path: path.clone(),
            line: None,
            found: Arc::from(found.to_string()),
            allowed: Arc::from(allowed.to_string()),
        });
    }

    /// Requires a number in a range.
    pub fn within<T: PartialOrd + Display>(
        &mut self,
        path: &FieldPath,
        value: T,
        range: RangeInclusive<T>,
    ) {
        if !range.contains(&value) {
            let allowed = format!("{} to {}", range.start(), range.end());
            self.refuse(path, value, allowed);
        }
    }

    /// Requires a name that can stand in a header.
    pub fn name(&mut self, path: &FieldPath, name: &str) {
        let visible = name.bytes().all(|b| b.is_ascii_graphic() && b != b'"');
        if name.is_empty() || name.len() > NAME_LIMIT_CHARS || !visible {
            let allowed =
                format!("1 to {NAME_LIMIT_CHARS} visible ASCII characters without quotes");
            let shown: String = name.chars().take(NAME_LIMIT_CHARS).collect();
            self.refuse(path, format!("{shown:?}"), allowed);
        }
    }

    /// Requires an address that others can reach.
    pub fn reachable(&mut self, path: &FieldPath, address: SocketAddr) {
        if address.port() == 0 || address.ip().is_unspecified() {
            self.refuse(
                path,
                address,
                "the IP address of one host and a port above 0",
            );
        }
    }

    /// Requires values that differ from each other; the path leads from an index to its value.
    pub fn unique<T: Eq + Hash + Display>(
        &mut self,
        values: impl IntoIterator<Item = T>,
        path: impl Fn(usize) -> FieldPath,
    ) {
        let mut seen = HashSet::new();
        for (index, value) in values.into_iter().enumerate() {
            if seen.contains(&value) {
                let found = format!("\"{value}\" for a second time");
                self.refuse(&path(index), found, "each value once");
            }
            seen.insert(value);
        }
    }
}
