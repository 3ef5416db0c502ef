//! Parsed text with line numbers.

use std::collections::HashSet;
use std::sync::Arc;

use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

use crate::error::Error;
use crate::fault::{FAULT_LIMIT, Fault, shorten};
use crate::field::{FieldPath, Step};

const PARSE_OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// A value and the line where it begins.
#[derive(Debug)]
pub(crate) struct Tree {
    pub(crate) line: usize,
    pub(crate) kind: Kind,
}

/// What a value is.
#[derive(Debug)]
pub(crate) enum Kind {
    Null,
    Bool(bool),
    Number(Box<str>),
    Text(Box<str>),
    Array(Vec<Tree>),
    Object(Vec<(Box<str>, Tree)>),
    /// Stands for a value with a fault that is already known.
    Hole,
}

impl Tree {
    /// Parses a text; fields that stand twice in an object are faults.
    pub(crate) fn parse(text: &str) -> Result<(Self, Vec<Fault>), Error> {
        let parsed = parse_to_ast(text, &CollectOptions::default(), &PARSE_OPTIONS)
            .map_err(|e| syntax(&e))?;
        let mut builder = Builder::new(text);
        let tree = match parsed.value {
            Some(value) => builder.value(&value),
            None => Self {
                line: 1,
                kind: Kind::Null,
            },
        };
        Ok((tree, builder.faults))
    }

    fn child(&self, step: &Step) -> Option<&Self> {
        match (&self.kind, step) {
            (Kind::Object(fields), Step::Field(name)) => {
                fields.iter().find(|(n, _)| **n == **name).map(|(_, t)| t)
            }
            (Kind::Array(elements), Step::Index(index)) => elements.get(*index),
            _ => None,
        }
    }

    fn child_mut(&mut self, step: &Step) -> Option<&mut Self> {
        match (&mut self.kind, step) {
            (Kind::Object(fields), Step::Field(name)) => fields
                .iter_mut()
                .find(|(n, _)| **n == **name)
                .map(|(_, t)| t),
            (Kind::Array(elements), Step::Index(index)) => elements.get_mut(*index),
            _ => None,
        }
    }

    /// The value at a path.
    pub(crate) fn get(&self, path: &FieldPath) -> Option<&Self> {
        path.steps.iter().try_fold(self, |tree, s| tree.child(s))
    }

    /// The value at a path, to be replaced.
    pub(crate) fn get_mut(&mut self, path: &FieldPath) -> Option<&mut Self> {
        path.steps
            .iter()
            .try_fold(self, |tree, s| tree.child_mut(s))
    }

    /// Line of a path, or of the nearest value around it.
    pub(crate) fn line(&self, path: &FieldPath) -> usize {
        let mut tree = self;
        for step in &path.steps {
            let Some(child) = tree.child(step) else { break };
            tree = child;
        }
        tree.line
    }

    /// Whether the path leads to or through a value with a known fault.
    pub(crate) fn is_hole(&self, path: &FieldPath) -> bool {
        let mut tree = self;
        for step in &path.steps {
            let Some(child) = tree.child(step) else { break };
            tree = child;
        }
        matches!(tree.kind, Kind::Hole)
    }

    /// The value in words, shortened.
    pub(crate) fn describe(&self) -> String {
        match &self.kind {
            Kind::Null => String::from("null"),
            Kind::Bool(value) => value.to_string(),
            Kind::Number(number) => shorten(number),
            Kind::Text(text) => format!("{:?}", shorten(text)),
            Kind::Array(_) => String::from("an array"),
            Kind::Object(_) => String::from("an object"),
            Kind::Hole => String::from("a faulty value"),
        }
    }
}

fn syntax(error: &jsonc_parser::errors::ParseError) -> Error {
    Error::Syntax(
        error.line_display(),
        error.column_display(),
        Arc::from(error.kind().to_string()),
    )
}

/// Builds a tree, and knows the path of the value that it is at.
#[derive(Debug)]
struct Builder {
    line_starts: Vec<usize>,
    path: FieldPath,
    faults: Vec<Fault>,
}

impl Builder {
    fn new(text: &str) -> Self {
        let newlines = text.match_indices('\n').map(|(at, _)| at + 1);
        Self {
            line_starts: std::iter::once(0).chain(newlines).collect(),
            path: FieldPath::default(),
            faults: Vec::new(),
        }
    }

    fn line(&self, at: usize) -> usize {
        self.line_starts.partition_point(|start| *start <= at)
    }

    fn value(&mut self, value: &ast::Value<'_>) -> Tree {
        let kind = match value {
            ast::Value::NullKeyword(_) => Kind::Null,
            ast::Value::BooleanLit(literal) => Kind::Bool(literal.value),
            ast::Value::NumberLit(literal) => Kind::Number(Box::from(literal.value)),
            ast::Value::StringLit(literal) => Kind::Text(Box::from(&*literal.value)),
            ast::Value::Array(array) => Kind::Array(self.elements(array)),
            ast::Value::Object(object) => Kind::Object(self.fields(object)),
        };
        Tree {
            line: self.line(value.range().start),
            kind,
        }
    }

    fn below(&mut self, step: Step, value: &ast::Value<'_>) -> Tree {
        self.path.steps.push(step);
        let tree = self.value(value);
        self.path.steps.pop();
        tree
    }

    fn elements(&mut self, array: &ast::Array<'_>) -> Vec<Tree> {
        let elements = array.elements.iter().enumerate();
        elements
            .map(|(index, element)| self.below(Step::Index(index), element))
            .collect()
    }

    fn fields(&mut self, object: &ast::Object<'_>) -> Vec<(Box<str>, Tree)> {
        let mut names = HashSet::new();
        let mut fields = Vec::with_capacity(object.properties.len());
        for property in &object.properties {
            let name = property.name.as_str();
            if !names.insert(name) {
                self.second(name, property.range.start);
                continue;
            }
            let tree = self.below(Step::Field(Arc::from(name)), &property.value);
            fields.push((Box::from(name), tree));
        }
        fields
    }

    /// A field that stands twice in its object.
    fn second(&mut self, name: &str, at: usize) {
        if self.faults.len() >= FAULT_LIMIT {
            return;
        }
        self.faults.push(Fault {
            path: self.path.field(name),
            line: Some(self.line(at)),
            found: Arc::from("the field for a second time"),
            allowed: Arc::from("each field once"),
        });
    }
}
