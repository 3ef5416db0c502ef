//! Parsed text with line numbers.

use std::borrow::Cow;
use std::collections::HashSet;
use std::sync::Arc;

use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

use crate::error::Error;
use crate::fault::{FAULT_LIMIT, Fault, shorten};
use crate::field::{FieldPath, Step};

/// Objects of this size are searched faster than hashed.
const FEW_PROPERTIES: usize = 16;
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
pub(crate) struct Tree<'t> {
    pub(crate) line: usize,
    pub(crate) kind: Kind<'t>,
}

/// What a value is.
#[derive(Debug)]
pub(crate) enum Kind<'t> {
    Null,
    Bool(bool),
    Number(&'t str),
    Text(Cow<'t, str>),
    Array(Vec<Tree<'t>>),
    Object(Vec<Field<'t>>),
    /// Stands for a value with a fault that is already known.
    Placeholder,
}

/// Field of an object.
#[derive(Debug)]
pub(crate) struct Field<'t> {
    pub(crate) name: Cow<'t, str>,
    pub(crate) value: Tree<'t>,
}

impl<'t> Tree<'t> {
    /// Parses a text; fields that stand twice in an object are faults.
    pub(crate) fn parse(text: &'t str) -> Result<(Self, Vec<Fault>), Error> {
        let parsed = parse_to_ast(text, &CollectOptions::default(), &PARSE_OPTIONS)
            .map_err(|e| syntax(&e))?;
        let mut builder = Builder::new(text);
        let tree = match parsed.value {
            Some(value) => builder.value(value),
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
                fields.iter().find(|f| f.name == *name).map(|f| &f.value)
            }
            (Kind::Array(elements), Step::Index(index)) => elements.get(*index),
            _ => None,
        }
    }

    fn child_mut(&mut self, step: &Step) -> Option<&mut Self> {
        match (&mut self.kind, step) {
            (Kind::Object(fields), Step::Field(name)) => fields
                .iter_mut()
                .find(|f| f.name == *name)
                .map(|f| &mut f.value),
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
    pub(crate) fn is_placeholder(&self, path: &FieldPath) -> bool {
        let mut tree = self;
        for step in &path.steps {
            let Some(child) = tree.child(step) else { break };
            tree = child;
        }
        matches!(tree.kind, Kind::Placeholder)
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
            Kind::Placeholder => String::from("a faulty value"),
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

/// One step to the value that the builder is at.
#[derive(Debug)]
enum Below<'t> {
    Field(Cow<'t, str>),
    Index(usize),
}

/// Builds a tree, and knows the path of the value that it is at.
#[derive(Debug)]
struct Builder<'t> {
    line_starts: Vec<usize>,
    path: Vec<Below<'t>>,
    faults: Vec<Fault>,
}

impl<'t> Builder<'t> {
    fn new(text: &str) -> Self {
        let newlines = text.match_indices('\n').map(|(at, _)| at + 1);
        Self {
            line_starts: std::iter::once(0).chain(newlines).collect(),
            path: Vec::new(),
            faults: Vec::new(),
        }
    }

    fn line(&self, at: usize) -> usize {
        self.line_starts.partition_point(|start| *start <= at)
    }

    fn value(&mut self, value: ast::Value<'t>) -> Tree<'t> {
        let line = self.line(value.range().start);
        let kind = match value {
            ast::Value::NullKeyword(_) => Kind::Null,
            ast::Value::BooleanLit(literal) => Kind::Bool(literal.value),
            ast::Value::NumberLit(literal) => Kind::Number(literal.value),
            ast::Value::StringLit(literal) => Kind::Text(literal.value),
            ast::Value::Array(array) => Kind::Array(self.elements(array)),
            ast::Value::Object(object) => Kind::Object(self.fields(object)),
        };
        Tree { line, kind }
    }

    fn elements(&mut self, array: ast::Array<'t>) -> Vec<Tree<'t>> {
        let elements = array.elements.into_iter().enumerate();
        let trees = elements.map(|(index, element)| {
            self.path.push(Below::Index(index));
            let tree = self.value(element);
            self.path.pop();
            tree
        });
        trees.collect()
    }

    fn fields(&mut self, object: ast::Object<'t>) -> Vec<Field<'t>> {
        let seconds = seconds(&object.properties);
        let mut fields = Vec::with_capacity(object.properties.len());
        for (index, property) in object.properties.into_iter().enumerate() {
            let name = match property.name {
                ast::ObjectPropName::String(literal) => literal.value,
                ast::ObjectPropName::Word(literal) => Cow::Borrowed(literal.value),
            };
            if seconds.contains(&index) {
                self.second(&name, property.range.start);
                continue;
            }
            self.path.push(Below::Field(name));
            let value = self.value(property.value);
            if let Some(Below::Field(name)) = self.path.pop() {
                fields.push(Field { name, value });
            }
        }
        fields
    }

    /// A field that stands twice in its object.
    fn second(&mut self, name: &str, at: usize) {
        if self.faults.len() >= FAULT_LIMIT {
            return;
        }
        let above = self.path.iter().map(|below| match below {
            Below::Field(name) => Step::Field(Cow::Owned(shorten(name))),
            Below::Index(index) => Step::Index(*index),
        });
        let steps = above.chain([Step::Field(Cow::Owned(shorten(name)))]);
        self.faults.push(Fault {
            path: FieldPath {
                steps: steps.collect(),
            },
            line: Some(self.line(at)),
            found: Arc::from("the field for a second time"),
            allowed: Arc::from("each field once"),
        });
    }
}

/// Positions of the properties whose names stand before them already.
fn seconds(properties: &[ast::ObjectProp<'_>]) -> HashSet<usize> {
    let names = properties.iter().map(|p| p.name.as_str()).enumerate();
    if properties.len() <= FEW_PROPERTIES {
        let is_second = |(index, name): &(usize, &str)| {
            let before = properties.iter().take(*index);
            before.into_iter().any(|p| p.name.as_str() == *name)
        };
        return names.filter(is_second).map(|(index, _)| index).collect();
    }
    let mut seen = HashSet::with_capacity(properties.len());
    names
        .filter(|(_, name)| !seen.insert(*name))
        .map(|(index, _)| index)
        .collect()
}
