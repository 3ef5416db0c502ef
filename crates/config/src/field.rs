//! Path of a value within a text.

use std::borrow::Cow;
use std::fmt;

use crate::fault::shorten;

/// Step from a value to one of its children.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// Field of an object.
    Field(Cow<'static, str>),
    /// Element of an array, from 0.
    Index(usize),
}

/// Path from the root of a text to a field, such as `profiles[2].tier`.
///
/// # Examples
///
/// ```
/// let path = briarbank_config::FieldPath::default()
///     .field("profiles")
///     .index(2)
///     .field("tier");
/// assert_eq!(path.to_string(), "profiles[2].tier");
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FieldPath {
    pub(crate) steps: Vec<Step>,
}

impl FieldPath {
    /// Returns the path of the named field below this path.
    #[must_use]
    pub fn field(&self, name: &'static str) -> Self {
        self.with_step(Step::Field(Cow::Borrowed(name)))
    }

    /// Returns the path of the element at an index below this path.
    #[must_use]
    pub fn index(&self, index: usize) -> Self {
        self.with_step(Step::Index(index))
    }

    /// Returns this path extended by one step.
    pub(crate) fn with_step(&self, step: Step) -> Self {
        let mut steps = Vec::with_capacity(self.steps.len() + 1);
        steps.extend_from_slice(&self.steps);
        steps.push(step);
        Self { steps }
    }

    /// Returns whether the path leads to the named field or through it.
    #[must_use]
    pub fn contains(&self, name: &str) -> bool {
        let is_named = |step: &Step| matches!(step, Step::Field(field) if *field == *name);
        self.steps.iter().any(is_named)
    }

    /// Shortens the path to the first field of that name, if it leads through one.
    pub fn truncate_at(&mut self, name: &str) {
        let is_named = |step: &Step| matches!(step, Step::Field(field) if *field == *name);
        if let Some(position) = self.steps.iter().position(is_named) {
            self.steps.truncate(position + 1);
        }
    }

    /// Returns whether the last step is the named field.
    pub(crate) fn ends_with(&self, name: &str) -> bool {
        matches!(self.steps.last(), Some(Step::Field(field)) if *field == *name)
    }
}

impl fmt::Display for FieldPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.steps.is_empty() {
            return f.write_str("(whole text)");
        }
        for (position, step) in self.steps.iter().enumerate() {
            match step {
                Step::Field(name) if position == 0 => f.write_str(&shorten(name))?,
                Step::Field(name) => write!(f, ".{}", shorten(name))?,
                Step::Index(index) => write!(f, "[{index}]")?,
            }
        }
        Ok(())
    }
}
