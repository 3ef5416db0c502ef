//! Errors of deserialization that can be repaired.

use std::fmt;

use serde::de::{self, Expected, Unexpected};

use crate::field::{FieldPath, Step};

/// What does not fit at a place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Problem {
    /// The object lacks this field.
    Missing(&'static str),
    /// The object has this field, which its type doesn't know.
    Unknown(Box<str>, &'static [&'static str]),
    /// The value has the wrong type or content; what is allowed.
    Value(Box<str>),
}

/// A problem and its place; the steps are in reverse order while it is passed up.
#[derive(Debug)]
pub(crate) struct Mismatch {
    reversed: Vec<Step>,
    pub(crate) problem: Problem,
}

impl Mismatch {
    fn new(problem: Problem) -> Self {
        Self {
            reversed: Vec::new(),
            problem,
        }
    }

    pub(crate) fn below(mut self, step: Step) -> Self {
        self.reversed.push(step);
        self
    }

    /// Place of the object or value with the problem.
    pub(crate) fn path(&self) -> FieldPath {
        FieldPath {
            steps: self.reversed.iter().rev().cloned().collect(),
        }
    }
}

impl fmt::Display for Mismatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {}", self.problem, self.path())
    }
}

impl std::error::Error for Mismatch {}

impl de::Error for Mismatch {
    fn custom<T: fmt::Display>(text: T) -> Self {
        Self::new(Problem::Value(Box::from(text.to_string())))
    }

    fn invalid_type(_found: Unexpected<'_>, expected: &dyn Expected) -> Self {
        Self::custom(expected)
    }

    fn invalid_value(_found: Unexpected<'_>, expected: &dyn Expected) -> Self {
        Self::custom(expected)
    }

    fn invalid_length(_found: usize, expected: &dyn Expected) -> Self {
        Self::custom(expected)
    }

    fn unknown_variant(_found: &str, expected: &'static [&'static str]) -> Self {
        Self::custom(format!("one of {}", expected.join(", ")))
    }

    fn unknown_field(field: &str, expected: &'static [&'static str]) -> Self {
        Self::new(Problem::Unknown(Box::from(field), expected))
    }

    fn missing_field(field: &'static str) -> Self {
        Self::new(Problem::Missing(field))
    }
}
