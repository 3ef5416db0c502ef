//! Parsed text as a tree with line numbers.

use std::borrow::Cow;
use std::collections::HashSet;
use std::sync::Arc;

use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

use crate::error::Error;
use crate::fault::{FAULT_LIMIT, Fault, shorten};
use crate::field::{FieldPath, Step};

/// Up to this size, comparing all names is faster than hashing them.
const PAIRWISE_MAX_PROPERTIES: usize = 16;
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

/// Value and the line on which it begins.
#[derive(Debug)]
pub(crate) struct Tree<'t> {
    pub(crate) line: usize,
    pub(crate) kind: Kind<'t>,
}

/// Type and content of a value.
#[derive(Debug)]
pub(crate) enum Kind<'t> {
    Null,
    Bool(bool),
    Number(&'t str),
    Text(Cow<'t, str>),
    Array(Vec<Tree<'t>>),
    Object(Vec<Field<'t>>),
    /// Replaces a value whose fault is already recorded.
    Placeholder,
}

/// Field of an object.
#[derive(Debug)]
pub(crate) struct Field<'t> {
    pub(crate) name: Cow<'t, str>,
    pub(crate) value: Tree<'t>,
}

impl<'t> Tree<'t> {
    /// Parses a text; a field that occurs twice in an object is a fault.
    pub(crate) fn parse(text: &'t str) -> Result<(Self, Vec<Fault>), Error> {
        let parsed = parse_to_ast(text, &CollectOptions::default(), &PARSE_OPTIONS)
            .map_err(|e| syntax_error(&e))?;
        let mut builder = Builder::new(text);
        let tree = match parsed.value {
            Some(value) => builder.convert_value(value),
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

    /// Returns the value at a path.
    pub(crate) fn get(&self, path: &FieldPath) -> Option<&Self> {
        path.steps.iter().try_fold(self, |tree, s| tree.child(s))
    }

    /// Returns a mutable reference to the value at a path.
    pub(crate) fn get_mut(&mut self, path: &FieldPath) -> Option<&mut Self> {
        path.steps
            .iter()
            .try_fold(self, |tree, s| tree.child_mut(s))
    }

    /// Returns the line of the value at a path or of the innermost value around it.
    pub(crate) fn line(&self, path: &FieldPath) -> usize {
        let mut tree = self;
        for step in &path.steps {
            let Some(child) = tree.child(step) else { break };
            tree = child;
        }
        tree.line
    }

    /// Returns whether the path leads to or through a placeholder.
    pub(crate) fn is_placeholder(&self, path: &FieldPath) -> bool {
        let mut tree = self;
        for step in &path.steps {
            let Some(child) = tree.child(step) else { break };
            tree = child;
        }
        matches!(tree.kind, Kind::Placeholder)
    }

    /// Describes the value, shortened.
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

fn syntax_error(error: &jsonc_parser::errors::ParseError) -> Error {
    Error::Syntax(
        error.line_display(),
        error.column_display(),
        Arc::from(error.kind().to_string()),
    )
}

/// Step of the builder's path, with a name borrowed from the text.
#[derive(Debug)]
enum PathStep<'t> {
    Field(Cow<'t, str>),
    Index(usize),
}

/// Builds a tree and tracks the path of the current value.
#[derive(Debug)]
struct Builder<'t> {
    line_starts: Vec<usize>,
    path: Vec<PathStep<'t>>,
    faults: Vec<Fault>,
}

impl<'t> Builder<'t> {
    fn new(text: &str) -> Self {
        let newlines = text.match_indices('\n').map(|(offset, _)| offset + 1);
        Self {
            line_starts: std::iter::once(0).chain(newlines).collect(),
            path: Vec::new(),
            faults: Vec::new(),
        }
    }

    fn line(&self, offset: usize) -> usize {
        self.line_starts.partition_point(|start| *start <= offset)
    }

    fn convert_value(&mut self, value: ast::Value<'t>) -> Tree<'t> {
        let line = self.line(value.range().start);
        let kind = match value {
            ast::Value::NullKeyword(_) => Kind::Null,
            ast::Value::BooleanLit(literal) => Kind::Bool(literal.value),
            ast::Value::NumberLit(literal) => Kind::Number(literal.value),
            ast::Value::StringLit(literal) => Kind::Text(literal.value),
            ast::Value::Array(array) => Kind::Array(self.convert_elements(array)),
            ast::Value::Object(object) => Kind::Object(self.convert_fields(object)),
        };
        Tree { line, kind }
    }

    fn convert_elements(&mut self, array: ast::Array<'t>) -> Vec<Tree<'t>> {
        let elements = array.elements.into_iter().enumerate();
        let trees = elements.map(|(index, element)| {
            self.path.push(PathStep::Index(index));
            let tree = self.convert_value(element);
            self.path.pop();
            tree
        });
        trees.collect()
    }

    fn convert_fields(&mut self, object: ast::Object<'t>) -> Vec<Field<'t>> {
        let duplicates = find_duplicates(&object.properties);
        let mut fields = Vec::with_capacity(object.properties.len());
        for (index, property) in object.properties.into_iter().enumerate() {
            let name = match property.name {
                ast::ObjectPropName::String(literal) => literal.value,
                ast::ObjectPropName::Word(literal) => Cow::Borrowed(literal.value),
            };
            if duplicates.contains(&index) {
                self.add_duplicate(&name, property.range.start);
                continue;
            }
            self.path.push(PathStep::Field(name));
            let value = self.convert_value(property.value);
            if let Some(PathStep::Field(name)) = self.path.pop() {
                fields.push(Field { name, value });
            }
        }
        fields
    }

    /// Adds a fault for a field that occurs twice in its object.
    fn add_duplicate(&mut self, name: &str, offset: usize) {
        if self.faults.len() >= FAULT_LIMIT {
            return;
        }
        let parent_steps = self.path.iter().map(|step| match step {
            PathStep::Field(name) => Step::Field(Cow::Owned(shorten(name))),
            PathStep::Index(index) => Step::Index(*index),
        });
        let steps = parent_steps.chain([Step::Field(Cow::Owned(shorten(name)))]);
        self.faults.push(Fault {
            path: FieldPath {
                steps: steps.collect(),
            },
            line: Some(self.line(offset)),
            found: Arc::from("the field for a second time"),
            allowed: Arc::from("each field once"),
        });
    }
}

/// Returns the indices of the properties whose names occur before them.
fn find_duplicates(properties: &[ast::ObjectProp<'_>]) -> HashSet<usize> {
    let names = properties.iter().map(|p| p.name.as_str()).enumerate();
    if properties.len() <= PAIRWISE_MAX_PROPERTIES {
        let is_duplicate = |(index, name): &(usize, &str)| {
            let earlier = properties.iter().take(*index);
            earlier.into_iter().any(|p| p.name.as_str() == *name)
        };
        return names.filter(is_duplicate).map(|(index, _)| index).collect();
    }
    let mut seen = HashSet::with_capacity(properties.len());
    names
        .filter(|(_, name)| !seen.insert(*name))
        .map(|(index, _)| index)
        .collect()
}
