//! Deserialization errors that can be repaired.

use std::fmt;

use serde::de::{self, Expected, Unexpected};

use crate::field::{FieldPath, Step};

/// Cause of a deserialization error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Problem {
    /// The object lacks this required field.
    Missing(&'static str),
    /// The object has this field, which is not one of its type's fields.
    Unknown(Box<str>, &'static [&'static str]),
    /// The value has the wrong type or content; holds what is allowed.
    Value(Box<str>),
}

/// Deserialization error and the path of its value.
#[derive(Debug)]
pub(crate) struct Mismatch {
    /// Steps from the value to the root, since they are added while the error propagates.
    reversed_steps: Vec<Step>,
    pub(crate) problem: Problem,
}

impl Mismatch {
    fn new(problem: Problem) -> Self {
        Self {
            reversed_steps: Vec::new(),
            problem,
        }
    }

    /// Adds the step that leads from the enclosing value to the current one.
    pub(crate) fn prepend_step(mut self, step: Step) -> Self {
        self.reversed_steps.push(step);
        self
    }

    /// Returns the path of the object or value with the problem.
    pub(crate) fn path(&self) -> FieldPath {
        FieldPath {
            steps: self.reversed_steps.iter().rev().cloned().collect(),
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
